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
	// Crossing is where the refused requests of a pool may go; nil: nowhere. It is asked whenever an instance of the pool starts.
	Crossing(pool string) Crossing
	// Handler has the requests that come in at foreign listeners of g.
	Handler(g *Gateway) downstream.Handler
	// Identify and Wrap are for the connections there and the listeners themselves.
	Identify(net.Conn) string
	Wrap(net.Listener) net.Listener
	// Drain tells that the process takes nothing new soon, Close that it has ended.
	Drain()
	Close()
}

// Crossing is where requests may go that a pool refuses. Its methods are called from many goroutines at once.
type Crossing interface {
	// Offered tells of each request of the pool's clients.
	Offered(class string)
	// Cross answers a request that the pool has refused, once. It returns soon after ctx ends.
	Cross(ctx context.Context, h *pool.RejectedRequest)
}

func (g *Gateway) crosses(pool string) bool {
	return g.extension != nil && g.extension.Crossing(pool) != nil
}

// AdmitForeign is for the requests that another site hands over, to a pool by its name. They go no further than that.
func (g *Gateway) AdmitForeign(q *httpmsg.Request, name string, f pool.ForwardedAttributes) (downstream.Admission, downstream.Owner, error) {
	m := g.table.Load().pools[name]
	if m == nil {
		return nil, 0, httpmsg.Bad{Status: http.StatusNotFound, Text: "no such pool"}
	}
	ask, err := m.pool.ParseForwardedRequest(q, f)
	a, owner, err := g.admit(m, q, ask, err)
	if err != nil {
		return nil, owner, err
	}
	a.foreign = true
	return a, owner, nil
}

// Serves reports whether the pool of that name has a ready server, as far as its list tells.
func (g *Gateway) Serves(name string) bool {
	m := g.table.Load().pools[name]
	if m == nil {
		return false
	}
	g.shares.Lock()
	defer g.shares.Unlock()
	return g.admission.CanServe(m.key)
}

// besideClaim is what pools beside those of the configuration may have of the descriptors.
var besideClaim = quota.Claim{Limit: quota.Unlimited}

// Beside starts a pool beside those of the configuration, such as one whose servers are at another site. Its descriptors are
// of the common rest. The caller closes it.
func (g *Gateway) Beside(cfg pool.Config, dial func(context.Context, string) (net.Conn, error), log *slog.Logger) (*pool.Pool, error) {
	g.applying.Lock()
	g.lastKey++
	key := g.lastKey
	g.applying.Unlock()
	up := upstream.New(cfg.Settings.Config, g.descriptors.Pool(key))
	up.SetDialer(dial)
	g.descriptors.Register(key, besideClaim, up.EvictIdle)
	p, err := pool.New(cfg, up, log)
	if err != nil {
		g.descriptors.Unregister(key)
		return nil, fmt.Errorf("pool %q: %w", cfg.Name, err)
	}
	return p, nil
}

// Do sends a request of this process' own through a pool and its decision module, and returns the one answer. An error is a
// httpmsg.Bad, before any server could have had the request, or that of ctx: then it may have run. Work of the process' own gives way to
// that of clients: while the pool is short, it is refused.
func (g *Gateway) Do(ctx context.Context, name string, q *httpmsg.Request) (httpmsg.Answer, error) {
	m := g.table.Load().pools[name]
	if m == nil {
		return httpmsg.Answer{}, httpmsg.Bad{Status: http.StatusNotFound, Text: "no such pool"}
	}
	g.shares.Lock()
	yields := g.admission.Crowded(m.key)
	g.shares.Unlock()
	if yields {
		return httpmsg.Answer{}, httpmsg.Bad{Status: http.StatusServiceUnavailable, Text: "the pool is taken by clients"}
	}
	ask, err := m.pool.ParseRequest(q, q.Path)
	a, _, err := g.admit(m, q, ask, err)
	if err != nil {
		return httpmsg.Answer{}, err
	}
	x, err := a.Take(q.Body, nil)
	if err != nil {
		return httpmsg.Answer{}, err
	}
	var answer httpmsg.Answer
	select {
	case answer = <-x.Answer():
	case <-ctx.Done():
		if x.Withdraw() {
			return httpmsg.Answer{}, ctx.Err()
		}
		answer = <-x.Answer() // it was there already
	}
	if answer.Rest != nil { // nobody here reads a long answer
		answer.Rest.Close(false)
		answer.Rest = nil
	}
	return answer, nil
}
