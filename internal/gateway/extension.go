package gateway

import (
	"context"
	"net"
	"net/http"

	"sorrelrudder/internal/downstream"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/pool"
)

// errNoSuchPool rejects a request for a pool that is not configured.
var errNoSuchPool = httpmsg.RejectionError{Status: http.StatusNotFound, Text: "no such pool"}

// Extension connects the process with other sites: where requests go that a pool's own servers do not serve, and who
// receives those of other sites. The sidecar has none, and links none. Its methods are called from many goroutines at once.
type Extension interface {
	// Spillover returns where the rejected requests of a pool go; nil: nowhere. It is called for each instance of the pool.
	Spillover(pool string) Spillover
	// Handler returns the handler of the requests that come in at inter-site listeners of g.
	Handler(g *Gateway) downstream.Handler
	// PeerName returns the name of the site at the other end of a connection, once its first request has come.
	PeerName(net.Conn) string
	// WrapListener wraps an inter-site listener.
	WrapListener(net.Listener) net.Listener
	// Drain is called once as the process begins to shut down.
	Drain()
	// Close is called once all else has ended.
	Close()
}

// Spillover takes requests that a pool rejects. Its methods are called from many goroutines at once.
type Spillover interface {
	// RecordRequest is called for each request of the pool's own clients.
	RecordRequest(class string)
	// Forward answers a request that the pool has rejected, once. It returns soon after ctx ends.
	Forward(ctx context.Context, r *pool.RejectedRequest)
}

// hasSpillover reports whether the rejected requests of a pool may go elsewhere.
func (g *Gateway) hasSpillover(pool string) bool {
	return g.extension != nil && g.extension.Spillover(pool) != nil
}

// AdmitFromSite admits a request that another site has forwarded to the pool of that name. It is not forwarded any
// further. The error is a httpmsg.RejectionError.
func (g *Gateway) AdmitFromSite(r *httpmsg.Request, name string, f pool.ForwardedAttributes) (downstream.AdmittedRequest, downstream.PoolID, error) {
	p := g.table.Load().pools[name]
	if p == nil {
		return nil, downstream.PoolID(unassignedPool), errNoSuchPool
	}
	parsed, err := p.pool.ParseForwardedRequest(r, f)
	a, id, err := g.admit(p, r, parsed, err)
	if a != nil {
		a.fromSite = true
	}
	return asAdmitted(a, id, err)
}

// HasReadyEndpoint reports whether the pool of that name may take requests: its list names a ready endpoint, or its requests may wait for one,
// or it has just been removed.
func (g *Gateway) HasReadyEndpoint(name string) bool {
	p := g.table.Load().pools[name]
	return p != nil && g.quotas.mayTakeRequests(p.id)
}
