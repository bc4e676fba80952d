// Package discovery implements the sources of a pool's endpoint list: the platform's discovery service, or a list that the operator
// configures. A watch of a source delivers lists and changes until it ends. The decision module decides when to watch again. The package
// does not depend on pools or on connections to endpoints.
package discovery

import "context"

// Source is a source of endpoint lists.
type Source interface {
	// Watch calls receive with the changes after version since or with the complete list, and then with each change. It returns once ctx
	// is done or the source fails; its error is never nil. Once ctx is done it does not call receive, except for a call that has already
	// begun or begins at the same moment.
	Watch(ctx context.Context, since int64, receive func(*EndpointList)) error
}
