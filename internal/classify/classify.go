// Package classify decides to which class a request of an ordinary HTTP service belongs, by its method, host, path and the header
// fields that are present. It is pure, and does not know what a class means. A path that servers could read in different ways matches
// no pattern, so that the request gets the class for all others, which its user takes as not idempotent.
package classify

// The methods that patterns treat specially, of RFC 9110.
const (
	methodGet  = "GET"
	methodHead = "HEAD"
)

// Rule gives a class to the requests that match one of its patterns and have all of its header fields.
type Rule struct {
	Class    string
	Patterns []Pattern // none: any request
	Headers  []string  // names of header fields
}

// matchesHeaders reports whether a request has all header fields of the rule.
func (r *Rule) matchesHeaders(q Request) bool {
	for _, name := range r.Headers {
		if !q.HasHeader(name) {
			return false
		}
	}
	return true
}

// Request is what a request is classified by.
type Request struct {
	Method    string
	Host      string // as the client wrote it
	Path      string // as the client wrote it, without a query
	HasHeader func(name string) bool
}

// Match is the rule that matches a request.
type Match struct {
	RuleIndex    int
	PatternIndex int // in the rule; -1 if it has no patterns
	segments     []string
	pattern      []Segment
}

// Value returns the segment of the path that {name} of the pattern stands for; "" if there is no such name.
func (m Match) Value(name string) string {
	for i, s := range m.pattern {
		if s.IsWildcard && s.Text == name {
			return m.segments[i]
		}
	}
	return ""
}

// Find returns the first rule that matches, and whether there is one.
func Find(rules []Rule, q Request) (Match, bool) {
	segments, unambiguous := splitPath(q.Path)
	host := normalizeHost(q.Host)
	for i := range rules {
		r := &rules[i]
		if !r.matchesHeaders(q) {
			continue
		}
		if len(r.Patterns) == 0 {
			return Match{RuleIndex: i, PatternIndex: -1}, true
		}
		for j := range r.Patterns {
			p := &r.Patterns[j]
			if p.matchesAuthority(q.Method, host) && p.matchesPath(segments, unambiguous) {
				return Match{RuleIndex: i, PatternIndex: j, segments: segments, pattern: p.Path}, true
			}
		}
	}
	return Match{}, false
}

// matchesAuthority reports whether the pattern is for a method and a normalized host. GET matches HEAD too.
func (p *Pattern) matchesAuthority(method, host string) bool {
	matchesMethod := p.Method == "" || p.Method == method || p.Method == methodGet && method == methodHead
	return matchesMethod && (p.Host == "" || p.Host == host)
}

// matchesPath reports whether the pattern is for the segments of a path, or for any path.
func (p *Pattern) matchesPath(segments []string, unambiguous bool) bool {
	if len(p.Path) == 0 && p.Prefix { // any path, even an ambiguous one
		return true
	}
	if !unambiguous || len(segments) < len(p.Path) || len(segments) > len(p.Path) && !p.Prefix {
		return false
	}
	for i, s := range p.Path {
		if s.IsWildcard && segments[i] == "" || !s.IsWildcard && s.Text != segments[i] {
			return false
		}
	}
	return !p.Prefix || len(segments) > len(p.Path) // as with ServeMux, /a/ does not match /a
}
