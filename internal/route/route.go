// Package route decides which pool a request is for, by its host, its path and its class. It is pure: a Table is made once of the
// operator's routes, and a lookup allocates nothing. It knows pools by their names only.
package route

import "errors"

// The errors of a lookup.
var (
	// ErrInvalidHost says that the Host header is malformed; the response is 400.
	ErrInvalidHost = errors.New("the Host cannot be read")
	// ErrAmbiguousPath says that servers could read the path in different ways; the response is 400.
	ErrAmbiguousPath = errors.New("the path has dot segments or a hidden /")
	// ErrUnknownHost says that no route is for the host; the response is 421.
	ErrUnknownHost = errors.New("no route for this host")
	// ErrUnknownPath says that no route of the host is for the path; the response is 404.
	ErrUnknownPath = errors.New("no route for this path")
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

// Error is an error of a route.
type Error struct {
	RouteIndex int    // of the route, in the list that New got
	Key        string // of the operator's file
	Text       string
}

// Error returns the text.
func (e Error) Error() string { return e.Text }
