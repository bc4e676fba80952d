package route

import (
	"fmt"
	"strings"
)

// maxPathBytes bounds a route's path, and so the cost of a lookup.
const maxPathBytes = 256

// Table finds the pool of a request. Of the routes that match, the most specific host has precedence: a host before a pattern, a
// longer pattern before a shorter one, any host last; routes of other hosts are not considered then. Of that host's routes the
// longest path has precedence, and of one path a route that names the class. A Table is never changed, and safe for concurrent use.
type Table struct {
	hosts        map[string]*hostRoutes // by host, and for patterns by suffix, such as ".example.org"
	anyHost      *hostRoutes
	matchesPaths bool // some route has a path: ambiguous paths are rejected
}

// hostRoutes are the routes of one host.
type hostRoutes struct {
	paths   map[string]*pathRoutes // by path, without a slash at its end
	longest int                    // path, in bytes
}

// pathRoutes are the routes of one host and path.
type pathRoutes struct {
	classes  map[string]*Match
	anyClass *Match
}

// Match is a route that was found for a request.
type Match struct {
	RouteIndex int // of the route, in the list that New got
	Pool       string
	StripPath  bool
	path       string // without a slash at its end
}

// New returns the table of routes, or all their errors.
func New(routes []Route) (*Table, []Error) {
	b := tableBuilder{table: &Table{hosts: map[string]*hostRoutes{}}, routes: routes}
	for i := range routes {
		b.add(i)
	}
	if len(b.errs) > 0 {
		return nil, b.errs
	}
	return b.table, nil
}

// tableBuilder makes a table and collects the errors of its routes.
type tableBuilder struct {
	table  *Table
	routes []Route
	errs   []Error
}

func (b *tableBuilder) fail(route int, key, format string, args ...any) {
	b.errs = append(b.errs, Error{route, key, fmt.Sprintf(format, args...)})
}

// add adds a route for each of its hosts.
func (b *tableBuilder) add(index int) {
	r := &b.routes[index]
	path := strings.TrimSuffix(r.Path, "/")
	if err := checkPath(r.Path, path); err != nil {
		b.fail(index, "path", "%v", err)
		return
	}
	b.table.matchesPaths = b.table.matchesPaths || path != ""
	m := &Match{RouteIndex: index, Pool: r.Pool, StripPath: r.StripPath && path != "", path: path}
	hosts := r.Hosts
	if len(hosts) == 0 {
		hosts = []string{"*"}
	}
	for _, host := range hosts {
		key, err := parseHostPattern(host)
		if err != nil {
			b.fail(index, "hosts", "host %q: %v", host, err)
			continue
		}
		b.addClasses(m, host, b.table.host(key).path(path))
	}
}

// addClasses adds a route to those of one of its hosts and its path.
func (b *tableBuilder) addClasses(m *Match, host string, routes *pathRoutes) {
	classes := b.routes[m.RouteIndex].Classes
	if len(classes) == 0 {
		if routes.anyClass != nil {
			b.failTie(m, routes.anyClass, host, "any class")
			return
		}
		routes.anyClass = m
	}
	for _, class := range classes {
		switch other := routes.classes[class]; {
		case class == "" || strings.ContainsAny(class, "/%?#"):
			b.fail(m.RouteIndex, "classes", "class %q cannot be a segment of a path", class)
		case other != nil:
			b.failTie(m, other, host, fmt.Sprintf("class %q", class))
		default:
			routes.classes[class] = m
		}
	}
}

// failTie reports two routes that match the same requests.
func (b *tableBuilder) failTie(m, other *Match, host, class string) {
	if other.RouteIndex == m.RouteIndex {
		b.fail(m.RouteIndex, "hosts", "host %q is there twice", host)
		return
	}
	r := &b.routes[m.RouteIndex]
	otherName := b.routes[other.RouteIndex].Name
	b.fail(m.RouteIndex, "name", "routes %q and %q tie: host %q, path %q, %s lead to both", otherName, r.Name, host, r.Path, class)
}

// host returns the routes of a host, which are made if there are none. "" stands for any host.
func (t *Table) host(key string) *hostRoutes {
	if key == "" {
		if t.anyHost == nil {
			t.anyHost = &hostRoutes{paths: map[string]*pathRoutes{}}
		}
		return t.anyHost
	}
	h := t.hosts[key]
	if h == nil {
		h = &hostRoutes{paths: map[string]*pathRoutes{}}
		t.hosts[key] = h
	}
	return h
}

// path returns the routes of a path, which are made if there are none.
func (h *hostRoutes) path(path string) *pathRoutes {
	p := h.paths[path]
	if p == nil {
		p = &pathRoutes{classes: map[string]*Match{}}
		h.paths[path] = p
		h.longest = max(h.longest, len(path))
	}
	return p
}
