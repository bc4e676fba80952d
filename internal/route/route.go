// Package route selects the pool of a request by host, path and class. It is pure: a Table is built once from the operator's routes, and
// a lookup does not allocate memory. The package knows pools by name only.
package route

import "errors"

// The errors of Table.Find. Their texts are sent to clients.
var (
	// ErrInvalidHost is returned for a malformed Host header. The response has status 400.
	ErrInvalidHost = errors.New("the Host cannot be read")
	// ErrAmbiguousPath is returned for a path that servers could interpret in different ways. The response has status 400.
	ErrAmbiguousPath = errors.New("the path has dot segments or a hidden /")
	// ErrUnknownHost is returned if no route matches the host. The response has status 421.
	ErrUnknownHost = errors.New("no route for this host")
	// ErrUnknownPath is returned if no route of the host matches the path. The response has status 404.
	ErrUnknownPath = errors.New("no route for this path")
)

// Route sends the requests that match it to a pool.
type Route struct {
	Name      string
	Hosts     []string // each a host, "*.example.org" for all hosts below a domain, or "*" for any; empty: any
	Path      string   // whole leading segments of the request's path; "/": any path
	Classes   []string // first segments of the request's path below Path; empty: any
	Pool      string
	StripPath bool // Path is removed from the path that is sent to the pool
}

// Error is an error in the configuration of a route.
type Error struct {
	RouteIndex int    // in the list of routes passed to New
	Key        string // the invalid key of the route in the operator's file
	Text       string
}

// Error returns Text.
func (e Error) Error() string { return e.Text }
