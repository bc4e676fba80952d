// Package classify finds the class of a request to an ordinary HTTP service, by its method, host, path and the header fields that are
// present. It is pure, and does not know the meaning of a class. A path that servers could interpret in different ways matches only
// rules and patterns for any path. Such a request usually gets the class of all other requests, which the caller treats as not
// idempotent.
package classify

// The methods of RFC 9110 that patterns treat specially: a pattern for GET matches HEAD too.
const (
	methodGet  = "GET"
	methodHead = "HEAD"
)

// Rule assigns a class to the requests that match one of its patterns and have all of its header fields.
type Rule struct {
	Class    string
	Patterns []Pattern // empty: any request
	Headers  []string  // names of header fields that must be present
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

// Request has the properties of a request by which it is classified.
type Request struct {
	Method    string
	Host      string // as sent by the client
	Path      string // as sent by the client, without the query
	HasHeader func(name string) bool
}

// Match is the rule and the pattern that match a request.
type Match struct {
	RuleIndex    int
	PatternIndex int // in the rule; -1 if the rule has no patterns
	segments     []string
	pattern      []Segment
}

// Value returns the decoded path segment that the wildcard {name} matched, or "" if the pattern has no such wildcard.
func (m Match) Value(name string) string {
	for i, s := range m.pattern {
		if s.IsWildcard && s.Text == name {
			return m.segments[i]
		}
	}
	return ""
}

// Find returns the first rule that matches q, and whether there is one.
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

// matchesAuthority reports whether the pattern matches a method and a normalized host. GET matches HEAD too.
func (p *Pattern) matchesAuthority(method, host string) bool {
	matchesMethod := p.Method == "" || p.Method == method || p.Method == methodGet && method == methodHead
	return matchesMethod && (p.Host == "" || p.Host == host)
}

// matchesPath reports whether the pattern matches the segments of a path. Only a pattern for any path matches an ambiguous path.
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
