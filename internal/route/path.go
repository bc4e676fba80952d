package route

import (
	"fmt"
	"strings"
)

// checkPath checks the path of a route. written is the path in the operator's file, path the same without a trailing slash.
func checkPath(written, path string) error {
	switch {
	case !strings.HasPrefix(written, "/"):
		return fmt.Errorf("path %q must begin with /", written)
	case len(path) > maxPathBytes:
		return fmt.Errorf("path has %d bytes, more than the maximum of %d", len(path), maxPathBytes)
	case strings.Contains(path, "//") || hasDotSegments(path) || strings.ContainsAny(path, "%?# "):
		return fmt.Errorf("path %q is not normalized: it must not contain %%, ?, #, a space, an empty segment or a dot segment", written)
	}
	return nil
}

// firstSegment returns the first segment of a path, which may have a leading slash.
func firstSegment(path string) string {
	path = strings.TrimPrefix(path, "/")
	if i := strings.IndexByte(path, '/'); i >= 0 {
		return path[:i]
	}
	return path
}

// hasDotSegments reports whether path has a segment "." or "..", which some servers resolve and others do not.
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

// hasEncodedSlash reports whether the path of uri contains a backslash, or an encoded slash or backslash. Only some servers treat these as
// separators of segments.
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
