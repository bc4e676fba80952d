package classify

import (
	"errors"
	"fmt"
	"strings"
)

// MaxSegments bounds a pattern, and so the cost of a lookup.
const MaxSegments = 64

// Pattern is written like those of net/http.ServeMux: "[METHOD ][HOST]/[PATH]", where a segment of the path may be {name}, and the
// last one {name...}. A path that ends in a slash matches all paths below, {$} only the end. GET matches HEAD too.
type Pattern struct {
	Method string // "": any
	Host   string // "": any
	Path   []Segment
	Prefix bool // paths below Path match, too
	text   string
}

// Segment is a segment of a pattern's path: a text, or a wildcard for any.
type Segment struct {
	Text       string // of a wildcard its name
	IsWildcard bool
}

// String returns the pattern as it was written.
func (p Pattern) String() string { return p.text }

// ParsePattern parses a pattern. The error says what is wrong with it.
func ParsePattern(text string) (Pattern, error) {
	p := Pattern{text: text}
	rest := strings.TrimSpace(text)
	if method, afterMethod, ok := strings.Cut(rest, " "); ok {
		if !isMethod(method) {
			return Pattern{}, fmt.Errorf("%q is no method", method)
		}
		p.Method, rest = method, strings.TrimLeft(afterMethod, " ")
	}
	slash := strings.IndexByte(rest, '/')
	if slash < 0 {
		return Pattern{}, errors.New("there is no path")
	}
	p.Host = strings.ToLower(rest[:slash])
	if strings.ContainsAny(p.Host, "{}* ") {
		return Pattern{}, fmt.Errorf("the host %q may have no wildcard", p.Host)
	}
	if err := p.parsePath(rest[slash+1:]); err != nil {
		return Pattern{}, err
	}
	return p, nil
}

// parsePath parses the path of a pattern, without the slash that it begins with.
func (p *Pattern) parsePath(path string) error {
	if strings.ContainsAny(path, " ?#%") {
		return fmt.Errorf("the path /%s may have no space, ?, # or %%", path)
	}
	if path == "" {
		p.Prefix = true
		return nil
	}
	segments := strings.Split(path, "/")
	if len(segments) > MaxSegments {
		return fmt.Errorf("%d segments, over %d", len(segments), MaxSegments)
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
			return fmt.Errorf("the segment %q says nothing", segment)
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

// parseWildcard parses {name}, or {name...} at the end. names are those of the pattern so far.
func (p *Pattern) parseWildcard(segment string, isLast bool, names map[string]bool) error {
	name, opened := strings.CutPrefix(segment, "{")
	name, closed := strings.CutSuffix(name, "}")
	name, matchesRest := strings.CutSuffix(name, "...")
	if !opened || !closed || !isName(name) || matchesRest && !isLast {
		return fmt.Errorf("the segment %q is neither text nor {name}, nor {name...} at the end", segment)
	}
	if names[name] {
		return fmt.Errorf("{%s} is there twice", name)
	}
	names[name] = true
	if matchesRest {
		p.Prefix = true
	} else {
		p.Path = append(p.Path, Segment{Text: name, IsWildcard: true})
	}
	return nil
}

// isName reports whether s is a name of a wildcard: letters, digits and _, with no digit at the start.
func isName(s string) bool {
	for i, r := range s {
		if r != '_' && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (i == 0 || r < '0' || r > '9') {
			return false
		}
	}
	return s != ""
}

// isMethod reports whether s is a method in capitals.
func isMethod(s string) bool {
	return s != "" && strings.IndexFunc(s, func(r rune) bool { return r < 'A' || r > 'Z' }) < 0
}
