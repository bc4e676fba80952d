package sitelink

import (
	"context"
	"net/http"
	"time"

	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/pool"
	"sorrelrudder/internal/spillover"
	"sorrelrudder/policy"
)

var _ gateway.Spillover = (*poolLink)(nil)

// returnMargin is the part of a request's remaining time that is reserved for returning the response to the client. The remote site
// accounts for the delay between the sites.
const returnMargin = 3 * time.Millisecond

// RecordRequest implements gateway.Spillover.
func (l *poolLink) RecordRequest(class string) {
	now := l.extension.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grant.RecordLocal(now)
	if l.remotePool != nil {
		l.spillover.RecordLocal(now, class, false)
	}
}

// Forward implements gateway.Spillover. It forwards the request to the peer if that is allowed, and otherwise responds with the rejection.
func (l *poolLink) Forward(ctx context.Context, r *pool.RejectedRequest) {
	if !l.tryForward(r) {
		r.Respond(r.Rejection, false)
		return
	}
	select {
	case l.forwarded <- struct{}{}:
	default:
	}
	response, mayHaveExecuted := l.submit(ctx, r)
	l.mu.Lock()
	l.spillover.RecordReturn(l.extension.now(), false, 0)
	l.mu.Unlock()
	if response.Status == http.StatusServiceUnavailable {
		response = r.Rejection // the local rejection is still valid, and its Retry-After applies to this site
	}
	r.Respond(response, mayHaveExecuted)
}

// tryForward records a rejected request and reports whether it may be forwarded. If so, the request counts as in flight.
func (l *poolLink) tryForward(r *pool.RejectedRequest) bool {
	now := l.extension.now()
	class := r.PolicyRequest.Class
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grant.RecordLocalRejected(now)
	if l.remotePool == nil {
		return false
	}
	l.spillover.RecordRejected(now, class)
	return time.Until(r.Deadline) > l.roundTrip+returnMargin &&
		spillover.MayForward(l.forwardRules(class), r.PriorAttempts, l.maxAttempts, l.roundTrip) &&
		l.spillover.TryForward(now, class)
}

// submit sends a request through the peer's pool and returns the response, and whether the peer may have executed the request. It returns the
// local rejection if the peer's pool does not accept the request, the client disconnects or ctx ends.
func (l *poolLink) submit(ctx context.Context, r *pool.RejectedRequest) (response httpmsg.Response, mayHaveExecuted bool) {
	response = r.Rejection
	x, err := l.remotePool.SubmitRejected(r, time.Until(r.Deadline), len(r.PriorAttempts)+1)
	if err != nil {
		return response, false
	}
	select {
	case response = <-x.Response():
	case <-r.ClientGone():
		x.Cancel()
	case <-ctx.Done():
		x.Cancel()
	}
	attempts, mayHaveExecuted := x.AttemptSummary()
	if attempts == 0 && response.Status == http.StatusServiceUnavailable {
		l.republishIfUnused()
	}
	return response, mayHaveExecuted
}

// republishIfUnused publishes the peer's endpoint again if the link is open, at most once per minPublishInterval. It is called when the
// decision module has rejected a request without an attempt although the peer grants credits. Without attempts, the module's assessment
// of its only endpoint could not improve.
func (l *poolLink) republishIfUnused() {
	l.mu.Lock()
	unused := l.spillover.State() == spillover.Open && l.extension.now()-l.publishedAt >= minPublishInterval
	l.mu.Unlock()
	if unused {
		l.publishEndpoint(healthActive)
	}
}

// forwardRules returns the rules for repeating requests of a class. It reads only immutable fields and needs no lock.
func (l *poolLink) forwardRules(class string) spillover.Rules {
	c, known := l.classes[class]
	return spillover.Rules{
		Idempotent:        known && c.Idempotency == policy.Idempotent,
		HasIdempotencyKey: known && c.Idempotency == policy.IdempotentByKey,
		SharedDedup:       l.sharesDedup(class),
	}
}
