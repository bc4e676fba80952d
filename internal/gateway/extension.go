package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"

	"sorrelrudder/internal/downstream"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/pool"
	"sorrelrudder/internal/quota"
	"sorrelrudder/internal/upstream"
)

// Extension is what a product adds to the process: where requests go that a pool's own servers do not serve, and who
// hands requests over. The sidecar has none, and links none.
type Extension interface {
	// Spillover is where the refused requests of a pool may go; nil: nowhere. It is asked whenever an instance of the pool starts.
	Spillover(pool string) Spillover
	// Handler has the requests that come in at foreign listeners of g.
	Handler(g *Gateway) downstream.Handler
	// PeerName and Wrap are for the connections there and the listeners themselves.
	PeerName(net.Conn) string
	WrapListener(net.Listener) net.Listener
	// Drain tells that the process takes nothing new soon, Close that it has ended.
	Drain()
	Close()
}

// Spillover is where requests may go that a pool refuses. Its methods are called from many goroutines at once.
type Spillover interface {
	// RecordRequest tells of each request of the pool's clients.
	RecordRequest(class string)
	// Forward answers a request that the pool has refused, once. It returns soon after ctx ends.
	Forward(ctx context.Context, h *pool.RejectedRequest)
}

func (g *Gateway) hasSpillover(pool string) bool {
	return g.extension != nil && g.extension.Spillover(pool) != nil
}

// AdmitFromSite is for the requests that another site hands over, to a pool by its name. They go no further than that.
func (g *Gateway) AdmitFromSite(q *httpmsg.Request, name string, f pool.ForwardedAttributes) (downstream.AdmittedRequest, downstream.PoolID, error) {
	m := g.table.Load().pools[name]
	if m == nil {
		return nil, 0, httpmsg.RejectionError{Status: http.StatusNotFound, Text: "no such pool"}
	}
	ask, err := m.pool.ParseForwardedRequest(q, f)
	a, owner, err := g.admit(m, q, ask, err)
	if err != nil {
		return nil, owner, err
	}
	a.fromSite = true
	return a, owner, nil
}

// HasReadyEndpoint reports whether the pool of that name has a ready server, as far as its list tells.
func (g *Gateway) HasReadyEndpoint(name string) bool {
	m := g.table.Load().pools[name]
	if m == nil {
		return false
	}
	g.quotaMu.Lock()
	defer g.quotaMu.Unlock()
	return g.admission.CanServe(m.key)
}

// auxiliaryClaim is what pools beside those of the configuration may have of the descriptors.
var auxiliaryClaim = quota.Claim{Limit: quota.Unlimited}

// NewAuxiliaryPool starts a pool beside those of the configuration, such as one whose servers are at another site. Its descriptors are
// of the common rest. The caller closes it.
func (g *Gateway) NewAuxiliaryPool(cfg pool.Config, dial func(context.Context, string) (net.Conn, error), log *slog.Logger) (*pool.Pool, error) {
	g.configMu.Lock()
	g.lastPoolKey++
	key := g.lastPoolKey
	g.configMu.Unlock()
	up := upstream.New(cfg.Settings.Config, g.descriptors.Pool(key))
	up.SetDialer(dial)
	g.descriptors.Register(key, auxiliaryClaim, up.EvictIdle)
	p, err := pool.New(cfg, up, log)
	if err != nil {
		g.descriptors.Unregister(key)
		return nil, fmt.Errorf("pool %q: %w", cfg.Name, err)
	}
	return p, nil
}

// Do sends a request of this process' own through a pool and its decision module, and returns the one answer. An error is a
// httpmsg.RejectionError, before any server could have had the request, or that of ctx: then it may have run. Work of the process' own gives way to
// that of clients: while the pool is short, it is refused.
func (g *Gateway) Do(ctx context.Context, name string, q *httpmsg.Request) (httpmsg.Response, error) {
	m := g.table.Load().pools[name]
	if m == nil {
		return httpmsg.Response{}, httpmsg.RejectionError{Status: http.StatusNotFound, Text: "no such pool"}
	}
	g.quotaMu.Lock()
	yields := g.admission.Crowded(m.key)
	g.quotaMu.Unlock()
	if yields {
		return httpmsg.Response{}, httpmsg.RejectionError{Status: http.StatusServiceUnavailable, Text: "the pool is taken by clients"}
	}
	ask, err := m.pool.ParseRequest(q, q.Path)
	a, _, err := g.admit(m, q, ask, err)
	if err != nil {
		return httpmsg.Response{}, err
	}
	x, err := a.Dispatch(q.Body, nil)
	if err != nil {
		return httpmsg.Response{}, err
	}
	var answer httpmsg.Response
	select {
	case answer = <-x.Response():
	case <-ctx.Done():
		if x.Cancel() {
			return httpmsg.Response{}, ctx.Err()
		}
		answer = <-x.Response() // it was there already
	}
	if answer.Remainder != nil { // nobody here reads a long answer
		answer.Remainder.Close(false)
		answer.Remainder = nil
	}
	return answer, nil
}
