// Package discovery holds the sources of a pool's endpoint list: the platform's discovery service, or a list of the operator's. A source
// is watched and sends what it knows until the watch ends; when to watch again is for the decision module to say. The package knows
// nothing of pools or of connections to endpoints.
package discovery

import "context"

// Source is where an endpoint list comes from.
type Source interface {
	// Watch calls receive with what has changed after version since, or with the complete list, and then with each change, until ctx
	// ends or the source fails; it returns why, never nil. Once ctx has ended it does not call receive, but for a call that crosses
	// that.
	Watch(ctx context.Context, since int64, receive func(*EndpointList)) error
}
