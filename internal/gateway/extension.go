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

// Extension connects the process to other sites. It forwards requests that a pool's own endpoints cannot serve, and handles requests that
// other sites forward. The sidecar program has no extension and does not link an implementation. All methods must be safe for concurrent
// use.
type Extension interface {
	// Spillover returns the receiver of a pool's rejected requests, or nil if they are not forwarded. It is called for each instance of the
	// pool.
	Spillover(pool string) Spillover
	// Handler returns the handler for requests received on inter-site listeners of g.
	Handler(g *Gateway) downstream.Handler
	// PeerName returns the name of the site at the other end of a connection. It is called once the first request of the connection has
	// been received.
	PeerName(net.Conn) string
	// WrapListener wraps an inter-site listener.
	WrapListener(net.Listener) net.Listener
	// Drain is called once, when the process begins to shut down.
	Drain()
	// Close is called after everything else in the process has stopped.
	Close()
}

// Spillover forwards requests that a pool rejects. All methods must be safe for concurrent use.
type Spillover interface {
	// RecordRequest is called for each request from the pool's own clients.
	RecordRequest(class string)
	// Forward responds exactly once to a request that the pool has rejected. It returns soon after ctx ends.
	Forward(ctx context.Context, r *pool.RejectedRequest)
}

// hasSpillover reports whether rejected requests of a pool may be forwarded to other sites.
func (g *Gateway) hasSpillover(pool string) bool {
	return g.extension != nil && g.extension.Spillover(pool) != nil
}

// AdmitFromSite admits a request that another site has forwarded to the named pool. The request is not forwarded any further. The error is
// an httpmsg.RejectionError.
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

// HasReadyEndpoint reports whether the named pool accepts requests. It does if its endpoint list has a ready endpoint, if its requests may
// be queued until it has one, or if a reload has just removed the pool.
func (g *Gateway) HasReadyEndpoint(name string) bool {
	p := g.table.Load().pools[name]
	return p != nil && g.quotas.acceptsRequests(p.id)
}
