package classify

import (
	"errors"
	"fmt"
	"strings"
)

// MaxSegments is the maximum number of path segments of a pattern. It bounds the cost of a lookup.
const MaxSegments = 64

// Pattern is a pattern in the syntax of net/http.ServeMux: "[METHOD ][HOST]/[PATH]". A segment of the path may be {name}, and the last
// segment {name...}. A path that ends in a slash matches all paths below it. {$} matches only the end of a path. GET matches HEAD too.
type Pattern struct {
	Method string // empty: any
	Host   string // empty: any
	Path   []Segment
	Prefix bool // matches all paths that begin with Path and a slash
	text   string
}

// Segment is a segment of a pattern's path: literal text, which is empty for {$}, or a wildcard that matches any non-empty segment.
type Segment struct {
	Text       string // the name of a wildcard
	IsWildcard bool
}

// String returns the pattern as it was written.
func (p Pattern) String() string { return p.text }

// ParsePattern parses a pattern. The error describes the invalid part without repeating the whole pattern.
func ParsePattern(text string) (Pattern, error) {
	p := Pattern{text: text}
	rest := strings.TrimSpace(text)
	if method, afterMethod, ok := strings.Cut(rest, " "); ok {
		if !isMethod(method) {
			return Pattern{}, fmt.Errorf("invalid method %q; expected capital letters", method)
		}
		p.Method, rest = method, strings.TrimLeft(afterMethod, " ")
	}
	slash := strings.IndexByte(rest, '/')
	if slash < 0 {
		return Pattern{}, errors.New("path is missing; expected [METHOD ][HOST]/[PATH]")
	}
	p.Host = strings.ToLower(rest[:slash])
	if strings.ContainsAny(p.Host, "{}* ") {
		return Pattern{}, fmt.Errorf("host %q must not contain a wildcard or a space", p.Host)
	}
	if err := p.parsePath(rest[slash+1:]); err != nil {
		return Pattern{}, err
	}
	return p, nil
}

// parsePath parses the path of a pattern, without its leading slash.
func (p *Pattern) parsePath(path string) error {
	if strings.ContainsAny(path, " ?#%") {
		return fmt.Errorf("path /%s must not contain a space, ?, # or %%", path)
	}
	if path == "" {
		p.Prefix = true
		return nil
	}
	segments := strings.Split(path, "/")
	if len(segments) > MaxSegments {
		return fmt.Errorf("path has %d segments, more than the maximum of %d", len(segments), MaxSegments)
	}
	names := map[string]bool{}
	for i, segment := range segments {
		isLast := i == len(segments)-1
		switch {
		case isLast && segment == "":
			p.Prefix = true
		case isLast && segment == "{$}":
			p.Path = append(p.Path, Segment{})
		case segment == "" || segment == "." || segment == "..":
			return fmt.Errorf("path segment %q must not be empty or a dot segment", segment)
		case !strings.ContainsAny(segment, "{}"):
			p.Path = append(p.Path, Segment{Text: segment})
		default:
			if err := p.parseWildcard(segment, isLast, names); err != nil {
				return err
			}
		}
	}
	return nil
}

// parseWildcard parses a segment {name}, or {name...} if it is the last. names are the wildcard names of the pattern so far.
func (p *Pattern) parseWildcard(segment string, isLast bool, names map[string]bool) error {
	name, opened := strings.CutPrefix(segment, "{")
	name, closed := strings.CutSuffix(name, "}")
	name, matchesRest := strings.CutSuffix(name, "...")
	if !opened || !closed || !isName(name) || matchesRest && !isLast {
		return fmt.Errorf("invalid path segment %q; expected text, {name}, or {name...} at the end", segment)
	}
	if names[name] {
		return fmt.Errorf("duplicate wildcard {%s}", name)
	}
	names[name] = true
	if matchesRest {
		p.Prefix = true
	} else {
		p.Path = append(p.Path, Segment{Text: name, IsWildcard: true})
	}
	return nil
}

// isName reports whether s is a valid wildcard name: letters, digits and _, not beginning with a digit.
func isName(s string) bool {
	for i, r := range s {
		if r != '_' && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (i == 0 || r < '0' || r > '9') {
			return false
		}
	}
	return s != ""
}

// isMethod reports whether s consists of capital letters, like the methods of HTTP.
func isMethod(s string) bool {
	return s != "" && strings.IndexFunc(s, func(r rune) bool { return r < 'A' || r > 'Z' }) < 0
}
