package route

import (
	"fmt"
	"strings"
)

// Route leads requests to a pool.
type Route struct {
	Name    string
	Hosts   []string // a host, "*.example.org" for all hosts below one, or "*"; none: any
	Path    string   // whole leading segments of the path; "/": any path
	Classes []string // first segments of the path below Path; none: any
	Pool    string
	Strip   bool // the pool gets the path without Path
}

// mostPrefix bounds a route's path, and so what a look-up costs.
const mostPrefix = 256

// Error is what keeps a route from being used.
type Error struct {
	Route int    // its place
	Key   string // the key at fault
	Text  string
}

func (p Error) Error() string { return p.Text }

// Table finds the pool of a request. Of the routes that fit, the host that says most has precedence: a host before a
// pattern, a longer pattern before a shorter one, any host last; no other host is looked at then. Below that host the
// longest path has precedence, and of one path a route that names the class. A Table is not changed once it is made.
type Table struct {
	hosts  map[string]*hostEntry // exact hosts, and patterns by their suffix
	any    *hostEntry
	strict bool // paths matter: what could be read in two ways is turned away
}

// hostEntry is all routes of one host.
type hostEntry struct {
	paths   map[string]*pathEntry // by the path without a slash at its end
	longest int                   // of them
}

// pathEntry is all routes of one host and path.
type pathEntry struct {
	classes map[string]*Match
	any     *Match
}

// Match is a route as a request finds it.
type Match struct {
	Route int // its place in the list that the table was made of
	Pool  string
	Strip bool
	path  string // without a slash at its end
}

// New makes a table. It returns all problems of the routes; with any there is no table.
func New(routes []Route) (*Table, []Error) {
	t := &Table{hosts: map[string]*hostEntry{}}
	var problems []Error
	for i, r := range routes {
		bad := func(key, format string, args ...any) {
			problems = append(problems, Error{i, key, fmt.Sprintf(format, args...)})
		}
		path := strings.TrimSuffix(r.Path, "/")
		switch {
		case !strings.HasPrefix(r.Path, "/"):
			bad("path", "the path %q does not begin with /", r.Path)
			continue
		case len(path) > mostPrefix:
			bad("path", "the path has %d bytes, over %d", len(path), mostPrefix)
			continue
		case strings.Contains(path, "//") || hasDots(path) || strings.ContainsAny(path, "%?# "):
			bad("path", "the path %q is not in its plain form: no %%, ?, #, space, empty or dot segment", r.Path)
			continue
		}
		t.strict = t.strict || path != ""
		m := &Match{Route: i, Pool: r.Pool, Strip: r.Strip && path != "", path: path}
		hosts := r.Hosts
		if len(hosts) == 0 {
			hosts = []string{"*"}
		}
		for _, host := range hosts {
			key, err := pattern(host)
			if err != nil {
				bad("hosts", "host %q: %v", host, err)
				continue
			}
			at := t.entry(key).entry(path)
			tie := func(other *Match, what string) {
				if other.Route == i {
					bad("hosts", "host %q is there twice", host)
					return
				}
				bad("name", "routes %q and %q tie: host %q, path %q, %s lead to both", routes[other.Route].Name, r.Name, host, r.Path, what)
			}
			if len(r.Classes) == 0 {
				if at.any != nil {
					tie(at.any, "any class")
					continue
				}
				at.any = m
			}
			for _, c := range r.Classes {
				switch other := at.classes[c]; {
				case c == "" || strings.ContainsAny(c, "/%?#"):
					bad("classes", "class %q cannot be a segment of a path", c)
				case other != nil:
					tie(other, fmt.Sprintf("class %q", c))
				default:
					at.classes[c] = m
				}
			}
		}
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return t, nil
}

func (t *Table) entry(host string) *hostEntry {
	if host == "" {
		if t.any == nil {
			t.any = &hostEntry{paths: map[string]*pathEntry{}}
		}
		return t.any
	}
	h := t.hosts[host]
	if h == nil {
		h = &hostEntry{paths: map[string]*pathEntry{}}
		t.hosts[host] = h
	}
	return h
}

func (h *hostEntry) entry(path string) *pathEntry {
	p := h.paths[path]
	if p == nil {
		p = &pathEntry{classes: map[string]*Match{}}
		h.paths[path] = p
		h.longest = max(h.longest, len(path))
	}
	return p
}

// Find returns the route of a request and its path below that of the route. host is the request's Host header, path its
// path, decoded, and uri its target as the client wrote it. It allocates nothing.
func (t *Table) Find(host, path, uri string) (m *Match, rest string, err error) {
	var buf hostBuf
	h := t.any
	if len(t.hosts) > 0 {
		name, err := parseHost(host, &buf)
		if err != nil {
			return nil, "", err
		}
		h = t.host(name)
	}
	if h == nil {
		return nil, "", ErrUnknownHost
	}
	if t.strict && (hasDots(path) || hidesSlash(uri)) {
		return nil, "", ErrTarget
	}
	for i := min(len(path), h.longest); i >= 0; i-- {
		if i < len(path) && path[i] != '/' {
			continue
		}
		p := h.paths[path[:i]]
		if p == nil {
			continue
		}
		rest := path[i:]
		if len(p.classes) > 0 {
			if m := p.classes[firstSegment(rest)]; m != nil {
				return m, rest, nil
			}
		}
		if p.any != nil {
			return p.any, rest, nil
		}
	}
	return nil, "", ErrUnknownPath
}

// host returns the routes of the host that says most of name.
func (t *Table) host(name []byte) *hostEntry {
	if h := t.hosts[string(name)]; h != nil {
		return h
	}
	if name[0] == '[' {
		return t.any
	}
	for i, c := range name {
		if c != '.' {
			continue
		}
		if h := t.hosts[string(name[i:])]; h != nil {
			return h
		}
	}
	return t.any
}

// Below returns the target uri without the route's path, if the route takes that away: as many segments as it has.
func (m *Match) Below(uri string) string {
	if !m.Strip {
		return uri
	}
	i := 0
	for range strings.Count(m.path, "/") {
		next := strings.IndexAny(uri[i+1:], "/?")
		if next < 0 {
			return "/"
		}
		i += 1 + next
		if uri[i] == '?' {
			break
		}
	}
	if uri[i] == '?' {
		return "/" + uri[i:]
	}
	return uri[i:]
}

func firstSegment(path string) string {
	path = strings.TrimPrefix(path, "/")
	if i := strings.IndexByte(path, '/'); i >= 0 {
		return path[:i]
	}
	return path
}

// hasDots reports whether path has a segment "." or "..", which who resolves it would read as another path.
func hasDots(path string) bool {
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

// hidesSlash reports whether the path of uri has a slash or a backslash in an encoded form, or a backslash: some servers
// take them for the end of a segment, and others don't.
func hidesSlash(uri string) bool {
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
