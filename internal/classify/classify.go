// Package classify decides which class a request to an ordinary HTTP service belongs to: by method, host, path and the fields that
// are present. It is pure, and knows neither sockets nor what a class means. What it cannot read in one way only it does not
// match, so that it falls to the class that takes all the rest, which its user holds for unsafe.
package classify

import (
	"errors"
	"fmt"
	"strings"
)

// Rule gives a class to the requests that one of its patterns fits, if they have all of its fields.
type Rule struct {
	Class    string
	Patterns []Pattern // none: any request
	Headers  []string  // that must be present
}

// Pattern is written as net/http.ServeMux has them: "[METHOD ][HOST]/[PATH]", where a segment of the path may be {name}, the last
// {name...}, a path that ends in a slash fits all below it, and {$} fits only its end. GET fits HEAD too.
type Pattern struct {
	Method string // "": any
	Host   string // "": any
	Path   []Segment
	Prefix bool // all below Path fits too
	text   string
}

// Segment is one of a path: a name that stands for any, or the text itself.
type Segment struct {
	Text       string
	IsWildcard bool
}

func (p Pattern) String() string { return p.text }

// MaxSegments bounds a pattern, and so what a look-up costs.
const MaxSegments = 64

// ParsePattern reads a pattern.
func ParsePattern(text string) (Pattern, error) {
	p := Pattern{text: text}
	rest := strings.TrimSpace(text)
	if method, more, ok := strings.Cut(rest, " "); ok {
		if !isMethod(method) {
			return Pattern{}, fmt.Errorf("%q is no method", method)
		}
		p.Method, rest = method, strings.TrimLeft(more, " ")
	}
	slash := strings.IndexByte(rest, '/')
	if slash < 0 {
		return Pattern{}, errors.New("there is no path")
	}
	p.Host = strings.ToLower(rest[:slash])
	if strings.ContainsAny(p.Host, "{}* ") {
		return Pattern{}, fmt.Errorf("the host %q may have no wildcard", p.Host)
	}
	path := rest[slash+1:]
	if strings.ContainsAny(path, " ?#%") {
		return Pattern{}, fmt.Errorf("the path /%s may have no space, ?, # or %%", path)
	}
	if path == "" {
		p.Prefix = true
		return p, nil
	}
	parts := strings.Split(path, "/")
	if len(parts) > MaxSegments {
		return Pattern{}, fmt.Errorf("%d segments, over %d", len(parts), MaxSegments)
	}
	names := map[string]bool{}
	for i, part := range parts {
		last := i == len(parts)-1
		switch {
		case last && part == "":
			p.Prefix = true
		case last && part == "{$}":
			p.Path = append(p.Path, Segment{})
		case part == "" || part == "." || part == "..":
			return Pattern{}, fmt.Errorf("the segment %q says nothing", part)
		case !strings.ContainsAny(part, "{}"):
			p.Path = append(p.Path, Segment{Text: part})
		default:
			name, ok := strings.CutPrefix(part, "{")
			name, closed := strings.CutSuffix(name, "}")
			name, all := strings.CutSuffix(name, "...")
			if !ok || !closed || !isName(name) || all && !last {
				return Pattern{}, fmt.Errorf("the segment %q is neither text nor {name}, nor {name...} at the end", part)
			}
			if names[name] {
				return Pattern{}, fmt.Errorf("{%s} is there twice", name)
			}
			names[name] = true
			if all {
				p.Prefix = true
			} else {
				p.Path = append(p.Path, Segment{Text: name, IsWildcard: true})
			}
		}
	}
	return p, nil
}

func isName(s string) bool {
	for i, r := range s {
		if r != '_' && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (i == 0 || r < '0' || r > '9') {
			return false
		}
	}
	return s != ""
}

func isMethod(s string) bool {
	return s != "" && strings.IndexFunc(s, func(r rune) bool { return r < 'A' || r > 'Z' }) < 0
}

// Request is what a request is classed by.
type Request struct {
	Method    string
	Host      string // as the client wrote it
	Path      string // as the client wrote it, without a query
	HasHeader func(field string) bool
}

// Match is the rule that takes a request.
type Match struct {
	RuleIndex    int // its place
	PatternIndex int // that of its pattern, -1 if the rule has none
	parts        []string
	names        []Segment
}

// Value is the segment of the path that a pattern's {name} stands for, "" if it has none of that name.
func (m Match) Value(name string) string {
	for i, s := range m.names {
		if s.IsWildcard && s.Text == name {
			return m.parts[i]
		}
	}
	return ""
}

// Find returns the first rule that fits, in their order.
func Find(rules []Rule, q Request) (Match, bool) {
	parts, plain := splitPath(q.Path)
	host := normalizeHost(q.Host)
	for i, r := range rules {
		missing := false
		for _, f := range r.Headers {
			missing = missing || !q.HasHeader(f)
		}
		if missing {
			continue
		}
		if len(r.Patterns) == 0 {
			return Match{RuleIndex: i, PatternIndex: -1}, true
		}
		for j := range r.Patterns {
			if p := &r.Patterns[j]; p.matches(q.Method, host, parts, plain) {
				return Match{RuleIndex: i, PatternIndex: j, parts: parts, names: p.Path}, true
			}
		}
	}
	return Match{}, false
}

func (p *Pattern) matches(method, host string, parts []string, plain bool) bool {
	if p.Method != "" && p.Method != method && (p.Method != "GET" || method != "HEAD") || p.Host != "" && p.Host != host {
		return false
	}
	if len(p.Path) == 0 && p.Prefix { // any path, however it may be read
		return true
	}
	if !plain || len(parts) < len(p.Path) || len(parts) > len(p.Path) && !p.Prefix {
		return false
	}
	for i, s := range p.Path {
		if s.IsWildcard && parts[i] == "" || !s.IsWildcard && s.Text != parts[i] {
			return false
		}
	}
	return !p.Prefix || len(parts) > len(p.Path) // as with ServeMux /a/ does not fit /a
}

// splitPath cuts a path into its segments, decoded. It is plain if it can be read in one way only: no segment is empty but the last,
// or stands for another, and none hides a slash.
func splitPath(path string) (parts []string, plain bool) {
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return nil, false
	}
	parts = strings.Split(rest, "/")
	for i, part := range parts {
		if strings.IndexByte(part, '%') >= 0 {
			if part, ok = percentDecode(part); !ok {
				return nil, false
			}
			parts[i] = part
		}
		if part == "." || part == ".." || part == "" && i < len(parts)-1 || strings.ContainsAny(part, "/\\\x00") {
			return nil, false
		}
	}
	return parts, true
}

func percentDecode(s string) (string, bool) {
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] != '%' {
			b.WriteByte(s[i])
			continue
		}
		if i+2 >= len(s) {
			return "", false
		}
		high, low := hexDigit(s[i+1]), hexDigit(s[i+2])
		if high < 0 || low < 0 {
			return "", false
		}
		b.WriteByte(byte(high<<4 | low))
		i += 2
	}
	return b.String(), true
}

func hexDigit(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// normalizeHost is a host without its port, in lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
