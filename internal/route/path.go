package route

import (
	"fmt"
	"strings"
)

// checkPath checks the path of a route, as written and without a slash at its end.
func checkPath(written, path string) error {
	switch {
	case !strings.HasPrefix(written, "/"):
		return fmt.Errorf("the path %q does not begin with /", written)
	case len(path) > maxPathBytes:
		return fmt.Errorf("the path has %d bytes, over %d", len(path), maxPathBytes)
	case strings.Contains(path, "//") || hasDotSegments(path) || strings.ContainsAny(path, "%?# "):
		return fmt.Errorf("the path %q is not in its plain form: no %%, ?, #, space, empty or dot segment", written)
	}
	return nil
}

// firstSegment returns the first segment of a path, with or without a slash before it.
func firstSegment(path string) string {
	path = strings.TrimPrefix(path, "/")
	if i := strings.IndexByte(path, '/'); i >= 0 {
		return path[:i]
	}
	return path
}

// hasDotSegments reports whether path has a segment "." or "..", which some servers resolve to another path.
func hasDotSegments(path string) bool {
	for i := range len(path) {
		if path[i] != '.' || i > 0 && path[i-1] != '/' {
			continue
		}
		n := i + 1
		if n < len(path) && path[n] == '.' {
			n++
		}
		if n == len(path) || path[n] == '/' {
			return true
		}
	}
	return false
}

// hasEncodedSlash reports whether the path of uri has a backslash, or an encoded slash or backslash, which only some servers take for
// the end of a segment.
func hasEncodedSlash(uri string) bool {
	for i := 0; i < len(uri) && uri[i] != '?'; i++ {
		switch {
		case uri[i] == '\\':
			return true
		case uri[i] == '%' && i+2 < len(uri):
			if c := uri[i+1 : i+3]; strings.EqualFold(c, "2f") || strings.EqualFold(c, "5c") {
				return true
			}
		}
	}
	return false
}
