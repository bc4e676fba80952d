package route

import (
	"fmt"
	"strings"
)

// maxPathBytes is the maximum length of a route's path. It bounds the cost of a lookup.
const maxPathBytes = 256

// Table finds the pool of a request. The most specific host that matches has precedence: a host before a pattern, a longer pattern before
// a shorter one, and any host last. Only the routes of that host are considered. Of these that match, the one with the longest path has
// precedence; with the same path, a route that names the class has precedence. A Table is immutable and safe for concurrent use.
type Table struct {
	hosts        map[string]*hostRoutes // by host, and for patterns by suffix, such as ".example.org"
	anyHost      *hostRoutes            // nil if no route is for any host
	matchesPaths bool                   // at least one route has a path, so ambiguous paths are rejected
}

// hostRoutes are the routes of one host.
type hostRoutes struct {
	paths   map[string]*pathRoutes // by path, without a trailing slash
	longest int                    // bytes of the longest path
}

// pathRoutes are the routes of one host and path.
type pathRoutes struct {
	classes  map[string]*Match // by class
	anyClass *Match            // nil if no route is for any class
}

// Match is the route of a request.
type Match struct {
	RouteIndex int // in the list of routes passed to New
	Pool       string
	StripPath  bool
	path       string // without a trailing slash
}

// New returns the table of routes, or all errors of the routes.
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

// tableBuilder builds a table and collects the errors of its routes.
type tableBuilder struct {
	table  *Table
	routes []Route
	errs   []Error
}

// fail adds an error at a key of a route.
func (b *tableBuilder) fail(route int, key, format string, args ...any) {
	b.errs = append(b.errs, Error{route, key, fmt.Sprintf(format, args...)})
}

// add adds a route to the table for each of its hosts.
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

// addClasses adds a route to the routes of its path and of one of its hosts, for each of its classes.
func (b *tableBuilder) addClasses(m *Match, host string, routes *pathRoutes) {
	classes := b.routes[m.RouteIndex].Classes
	if len(classes) == 0 {
		if routes.anyClass != nil {
			b.failConflict(m, routes.anyClass, host, "any class")
			return
		}
		routes.anyClass = m
	}
	for _, class := range classes {
		switch other := routes.classes[class]; {
		case class == "" || strings.ContainsAny(class, "/%?#"):
			b.fail(m.RouteIndex, "classes", "class %q cannot be a path segment: it must not be empty or contain /, %%, ? or #", class)
		case other != nil:
			b.failConflict(m, other, host, fmt.Sprintf("class %q", class))
		default:
			routes.classes[class] = m
		}
	}
}

// failConflict adds an error for two routes that match the same requests, or for one route that lists a host or a class twice.
func (b *tableBuilder) failConflict(m, other *Match, host, class string) {
	if other.RouteIndex == m.RouteIndex {
		b.fail(m.RouteIndex, "hosts", "host %q, or a class of its route, is listed twice", host)
		return
	}
	r := &b.routes[m.RouteIndex]
	otherName := b.routes[other.RouteIndex].Name
	b.fail(m.RouteIndex, "name", "routes %q and %q conflict: both match host %q, path %q and %s", otherName, r.Name, host, r.Path, class)
}

// host returns the routes of a host, and creates an empty entry if there are none. An empty key stands for any host.
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

// path returns the routes of a path, and creates an empty entry if there are none.
func (h *hostRoutes) path(path string) *pathRoutes {
	p := h.paths[path]
	if p == nil {
		p = &pathRoutes{classes: map[string]*Match{}}
		h.paths[path] = p
		h.longest = max(h.longest, len(path))
	}
	return p
}
