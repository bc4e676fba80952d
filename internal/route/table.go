package route

import (
	"fmt"
	"strings"
)

// Route leads requests to a pool.
type Route struct {
	Name      string
	Hosts     []string // a host, "*.example.org" for all hosts below one, or "*"; none: any
	Path      string   // whole leading segments of the path; "/": any path
	Classes   []string // first segments of the path below Path; none: any
	Pool      string
	StripPath bool // the pool gets the path without Path
}

// maxPathBytes bounds a route's path, and so what a look-up costs.
const maxPathBytes = 256

// Error is what keeps a route from being used.
type Error struct {
	RouteIndex int    // its place
	Key        string // the key at fault
	Text       string
}

func (p Error) Error() string { return p.Text }

// Table finds the pool of a request. Of the routes that fit, the host that says most has precedence: a host before a
// pattern, a longer pattern before a shorter one, any host last; no other host is looked at then. Below that host the
// longest path has precedence, and of one path a route that names the class. A Table is not changed once it is made.
type Table struct {
	hosts        map[string]*hostRoutes // exact hosts, and patterns by their suffix
	anyHost      *hostRoutes
	matchesPaths bool // paths matter: what could be read in two ways is turned away
}

// hostRoutes is all routes of one host.
type hostRoutes struct {
	paths   map[string]*pathRoutes // by the path without a slash at its end
	longest int                    // of them
}

// pathRoutes is all routes of one host and path.
type pathRoutes struct {
	classes  map[string]*Match
	anyClass *Match
}

// Match is a route as a request finds it.
type Match struct {
	RouteIndex int // its place in the list that the table was made of
	Pool       string
	StripPath  bool
	path       string // without a slash at its end
}

// New makes a table. It returns all problems of the routes; with any there is no table.
func New(routes []Route) (*Table, []Error) {
	t := &Table{hosts: map[string]*hostRoutes{}}
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
		case len(path) > maxPathBytes:
			bad("path", "the path has %d bytes, over %d", len(path), maxPathBytes)
			continue
		case strings.Contains(path, "//") || hasDotSegments(path) || strings.ContainsAny(path, "%?# "):
			bad("path", "the path %q is not in its plain form: no %%, ?, #, space, empty or dot segment", r.Path)
			continue
		}
		t.matchesPaths = t.matchesPaths || path != ""
		m := &Match{RouteIndex: i, Pool: r.Pool, StripPath: r.StripPath && path != "", path: path}
		hosts := r.Hosts
		if len(hosts) == 0 {
			hosts = []string{"*"}
		}
		for _, host := range hosts {
			key, err := parseHostPattern(host)
			if err != nil {
				bad("hosts", "host %q: %v", host, err)
				continue
			}
			at := t.entry(key).entry(path)
			tie := func(other *Match, what string) {
				if other.RouteIndex == i {
					bad("hosts", "host %q is there twice", host)
					return
				}
				bad("name", "routes %q and %q tie: host %q, path %q, %s lead to both", routes[other.RouteIndex].Name, r.Name, host, r.Path, what)
			}
			if len(r.Classes) == 0 {
				if at.anyClass != nil {
					tie(at.anyClass, "any class")
					continue
				}
				at.anyClass = m
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

func (t *Table) entry(host string) *hostRoutes {
	if host == "" {
		if t.anyHost == nil {
			t.anyHost = &hostRoutes{paths: map[string]*pathRoutes{}}
		}
		return t.anyHost
	}
	h := t.hosts[host]
	if h == nil {
		h = &hostRoutes{paths: map[string]*pathRoutes{}}
		t.hosts[host] = h
	}
	return h
}

func (h *hostRoutes) entry(path string) *pathRoutes {
	p := h.paths[path]
	if p == nil {
		p = &pathRoutes{classes: map[string]*Match{}}
		h.paths[path] = p
		h.longest = max(h.longest, len(path))
	}
	return p
}

// Find returns the route of a request and its path below that of the route. host is the request's Host header, path its
// path, decoded, and uri its target as the client wrote it. It allocates nothing.
func (t *Table) Find(host, path, uri string) (m *Match, rest string, err error) {
	var buf hostBuffer
	h := t.anyHost
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
	if t.matchesPaths && (hasDotSegments(path) || hasEncodedSlash(uri)) {
		return nil, "", ErrAmbiguousPath
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
		if p.anyClass != nil {
			return p.anyClass, rest, nil
		}
	}
	return nil, "", ErrUnknownPath
}

// host returns the routes of the host that says most of name.
func (t *Table) host(name []byte) *hostRoutes {
	if h := t.hosts[string(name)]; h != nil {
		return h
	}
	if name[0] == '[' {
		return t.anyHost
	}
	for i, c := range name {
		if c != '.' {
			continue
		}
		if h := t.hosts[string(name[i:])]; h != nil {
			return h
		}
	}
	return t.anyHost
}

// RewriteTarget returns the target uri without the route's path, if the route takes that away: as many segments as it has.
func (m *Match) RewriteTarget(uri string) string {
	if !m.StripPath {
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

// hasDotSegments reports whether path has a segment "." or "..", which who resolves it would read as another path.
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

// hasEncodedSlash reports whether the path of uri has a slash or a backslash in an encoded form, or a backslash: some servers
// take them for the end of a segment, and others don't.
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
