package gateway

import (
	"context"
	"net/http"

	"sorrelrudder/internal/downstream"
	"sorrelrudder/internal/httpmsg"
)

// errPoolCrowded rejects a request of the process itself while clients use a large part of the pool's quota, see
// quota.Admission.Crowded.
var errPoolCrowded = httpmsg.RejectionError{Status: http.StatusServiceUnavailable, Text: "the pool is taken by clients"}

// Do sends a request of the process itself through the named pool and returns the response. Only the first
// httpmsg.MaxBufferedBodyBytes of a longer body are returned. Requests of clients take precedence: Do rejects the request while
// clients use a large part of the pool's quota. The error is an httpmsg.RejectionError if no endpoint can have received the
// request. Otherwise it is the error of ctx, and the request may have been executed.
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

// awaitResponse waits for the response of x, and cancels x when ctx ends.
func awaitResponse(ctx context.Context, x downstream.Exchange) (httpmsg.Response, error) {
	select {
	case resp := <-x.Response():
		return resp, nil
	case <-ctx.Done():
	}
	if x.Cancel() {
		return httpmsg.Response{}, ctx.Err()
	}
	return <-x.Response(), nil // the response arrived before the cancellation
}
