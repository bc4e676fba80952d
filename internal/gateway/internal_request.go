package gateway

import (
	"context"
	"net/http"

	"sorrelrudder/internal/downstream"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/pool"
)

// errPoolCrowded rejects a request of the process itself while clients use a large part of the pool's quota, see
// quota.Admission.Crowded.
var errPoolCrowded = httpmsg.RejectionError{Status: http.StatusServiceUnavailable, Text: "the pool is taken by clients"}

// AttemptSummarizer is a downstream.Exchange that reports the attempts made for its request. The exchanges of pools implement it.
type AttemptSummarizer interface {
	// AttemptSummary returns the number of attempts made by the pool, and whether any attempt for the request may have been executed.
	AttemptSummary() (attempts int, mayHaveExecuted bool)
}

// Exchanges are tested for an AttemptSummarizer at run time, so this line checks at compile time that those of a pool implement it.
var _ AttemptSummarizer = (*pool.Exchange)(nil)

// Do sends a request of the process itself through the named pool and returns the response. Only the first
// httpmsg.MaxBufferedBodyBytes of a longer body are returned. Requests of clients take precedence: Do rejects the request while
// clients use a large part of the pool's quota. The error is an httpmsg.RejectionError if no endpoint can have received the
// request. Otherwise it is the error of ctx, and the request may have been executed.
func (g *Gateway) Do(ctx context.Context, name string, r *httpmsg.Request) (httpmsg.InternalResponse, error) {
	p := g.table.Load().pools[name]
	if p == nil {
		return httpmsg.InternalResponse{}, errNoSuchPool
	}
	if g.quotas.crowded(p.id) {
		return httpmsg.InternalResponse{}, errPoolCrowded
	}
	parsed, err := p.pool.ParseRequest(r, r.Path)
	a, _, err := g.admit(p, r, parsed, err)
	if err != nil {
		return httpmsg.InternalResponse{}, err
	}
	x, err := a.Dispatch(r.Body, nil)
	if err != nil {
		return httpmsg.InternalResponse{}, err
	}
	response, err := awaitResponse(ctx, x)
	if err != nil {
		return httpmsg.InternalResponse{}, err
	}
	if response.Remainder != nil {
		response.Remainder.Close(false)
		response.Remainder = nil
	}
	return httpmsg.InternalResponse{Response: response, MayHaveExecuted: mayHaveExecuted(x)}, nil
}

// mayHaveExecuted reports whether an endpoint may have executed the request of x, which has its response.
func mayHaveExecuted(x downstream.Exchange) bool {
	summarizer, ok := x.(AttemptSummarizer)
	if !ok {
		return true
	}
	_, executed := summarizer.AttemptSummary()
	return executed
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
