package gateway

import (
	"context"
	"net/http"

	"sorrelrudder/internal/downstream"
	"sorrelrudder/internal/httpmsg"
)

// errPoolCrowded rejects a request of the process itself, to leave the pool to clients.
var errPoolCrowded = httpmsg.RejectionError{Status: http.StatusServiceUnavailable, Text: "the pool is taken by clients"}

// Do sends a request of the process itself through the pool of that name, and returns the response without the remainder
// of a long body. It is rejected while the pool is short of anything, so that clients go first. The error is a
// httpmsg.RejectionError if no server can have had the request, or that of ctx, after which it may have run.
func (g *Gateway) Do(ctx context.Context, name string, r *httpmsg.Request) (httpmsg.Response, error) {
	p := g.table.Load().pools[name]
	if p == nil {
		return httpmsg.Response{}, errNoSuchPool
	}
	if g.quotas.crowded(p.id) {
		return httpmsg.Response{}, errPoolCrowded
	}
	parsed, err := p.pool.ParseRequest(r, r.Path)
	a, _, err := g.admit(p, r, parsed, err)
	if err != nil {
		return httpmsg.Response{}, err
	}
	x, err := a.Dispatch(r.Body, nil)
	if err != nil {
		return httpmsg.Response{}, err
	}
	resp, err := awaitResponse(ctx, x)
	if resp.Remainder != nil {
		resp.Remainder.Close(false)
		resp.Remainder = nil
	}
	return resp, err
}

// awaitResponse waits for a response, or cancels the exchange as ctx ends.
func awaitResponse(ctx context.Context, x downstream.Exchange) (httpmsg.Response, error) {
	select {
	case resp := <-x.Response():
		return resp, nil
	case <-ctx.Done():
	}
	if x.Cancel() {
		return httpmsg.Response{}, ctx.Err()
	}
	return <-x.Response(), nil // it was there already
}
