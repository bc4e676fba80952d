package pool

import (
	"net/http"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/metrics"
	"sorrelrudder/policy"
)

// RejectedRequest is a request that the decision module of this pool has rejected, and that may be served at another site instead. It is
// safe to retry, and this pool makes no further attempt. Respond must be called once.
type RejectedRequest struct {
	Message       httpmsg.Request
	ID            string                // its X-Request-ID
	PolicyRequest policy.Request        // as passed to the decision module; its PriorAttempts lack the attempts of this pool
	Deadline      time.Time             // when the client stops waiting
	Rejection     httpmsg.Response      // the response if no other site serves the request
	PriorAttempts []policy.PriorAttempt // all attempts so far, including those of this pool

	pool       *Pool
	request    *request
	clientGone chan struct{}
}

// ClientGone returns a channel that is closed once the response is no longer needed: the client has disconnected, or the process ends.
func (r *RejectedRequest) ClientGone() <-chan struct{} { return r.clientGone }

// Respond sets the final response of the request. mayHaveExecuted tells whether another site may have executed the request. If the response
// is no longer needed, Respond only closes its Remainder.
func (r *RejectedRequest) Respond(response httpmsg.Response, mayHaveExecuted bool) {
	used := false
	r.pool.runEvent(func(policy.Time) {
		if r.request.forwarding != r {
			return
		}
		r.request.forwardExecuted = mayHaveExecuted
		r.request.forwarding, used = nil, true
		r.pool.respond(r.request, response, metrics.OutcomeOfStatus(response.Status))
		if response.Remainder != nil { // the pool that served the request streams the remainder
			r.pool.finishStream(r.request, true)
		}
		r.pool.removeFinished(r.request)
	})
	if !used && response.Remainder != nil {
		response.Remainder.Close(false)
	}
}

// reject ends r with a rejection, or passes it to forwardRejected. The caller holds mu.
func (p *Pool) reject(r *request, rejection httpmsg.Response) {
	if !p.mayForward(r) {
		p.finish(r, rejection)
		return
	}
	rejected := p.newRejectedRequest(r, rejection)
	r.ended, r.forwarding = true, rejected
	p.spawn(func() { p.forwardRejected(p.ctx, rejected) })
}

// mayForward reports whether a rejected request may be forwarded to another site. A request that another site forwarded is not forwarded
// again, and a streamed body cannot be read twice. The caller holds mu.
func (p *Pool) mayForward(r *request) bool {
	return p.forwardRejected != nil && !p.closed && r != nil && !r.ended && !r.forwarded && r.streamedBody == nil
}

// newRejectedRequest returns r with its attempts so far, for forwarding to another site. The caller holds mu.
func (p *Pool) newRejectedRequest(r *request, rejection httpmsg.Response) *RejectedRequest {
	now := p.clock.now()
	header := r.header.Clone()
	if header == nil {
		header = http.Header{}
	}
	rejected := &RejectedRequest{
		Message: httpmsg.Request{Method: r.method, URI: r.uri, Host: r.host, Header: header, Body: r.body, ClientGone: r.clientGone, ClientMayBeGone: r.clientMayBeGone},
		ID:      r.xRequestID, PolicyRequest: r.policyRequest, Deadline: p.clock.origin.Add(r.policyRequest.Expires), Rejection: rejection,
		pool: p, request: r, clientGone: make(chan struct{}),
	}
	rejected.PriorAttempts = append(rejected.PriorAttempts, r.policyRequest.PriorAttempts...)
	dedupWindow := p.classes[r.policyRequest.Class].DedupWindow
	for _, a := range r.attempts {
		rejected.PriorAttempts = append(rejected.PriorAttempts, policy.PriorAttempt{
			Zone: a.zone, Cell: a.cell, NotExecuted: !a.mayHaveExecuted(), DedupRemaining: max(0, dedupWindow-(now-a.sentAt)),
		})
	}
	return rejected
}

// stopForwarding records that the response of r, which is being forwarded, is no longer needed. The caller holds mu.
func (p *Pool) stopForwarding(r *request) {
	rejected := r.forwarding
	r.forwarding = nil
	close(rejected.clientGone)
}

// SubmitRejected submits a request that another pool of this process has rejected; see Submit. timeout and maxAttempts replace
// those of the request. The error is an httpmsg.RejectionError.
func (p *Pool) SubmitRejected(rejected *RejectedRequest, timeout time.Duration, maxAttempts int) (*Exchange, error) {
	parsed := ParsedRequest{policyRequest: rejected.PolicyRequest, timeout: timeout, requestID: rejected.ID}
	parsed.policyRequest.PriorAttempts, parsed.policyRequest.MaxAttempts = rejected.PriorAttempts, maxAttempts
	return p.Submit(&rejected.Message, parsed, func() {})
}

// ForwardedAttributes are the attributes that another site sends with a request that it forwards.
type ForwardedAttributes struct {
	PolicyRequest policy.Request // without ID and Expires
	Timeout       time.Duration  // how long the client still waits
}

// ParseForwardedRequest is ParseRequest for a request that another site has forwarded with the given attributes. It checks that the class
// is known, that a request of an IdempotentByKey class has its key, and that no prior attempt may have executed a non-idempotent request.
// The error is an httpmsg.RejectionError.
func (p *Pool) ParseForwardedRequest(q *httpmsg.Request, attributes ForwardedAttributes) (ParsedRequest, error) {
	id, err := parseRequestID(q.Header)
	if err != nil {
		return ParsedRequest{}, err
	}
	request := attributes.PolicyRequest
	class, known := p.classes[request.Class]
	switch {
	case !known:
		return ParsedRequest{}, errUnknownClass
	case class.Idempotency == policy.IdempotentByKey && q.Header.Get("Idempotency-Key") == "":
		return ParsedRequest{}, errNoIdempotencyKey
	case class.Idempotency == policy.NonIdempotent && anyMayHaveExecuted(request.PriorAttempts):
		return ParsedRequest{}, errMayHaveExecuted
	}
	return ParsedRequest{
		policyRequest: request, timeout: min(attributes.Timeout, p.maxDeadline), requestID: id,
		idempotent: class.Idempotency == policy.Idempotent, forwarded: true,
	}, nil
}

// anyMayHaveExecuted reports whether an endpoint may have executed any of the attempts.
func anyMayHaveExecuted(attempts []policy.PriorAttempt) bool {
	for _, a := range attempts {
		if !a.NotExecuted {
			return true
		}
	}
	return false
}

// AbortAttempts interrupts the attempts in flight to an endpoint, and closes their connections. The endpoint may have executed an attempt
// that was sent completely.
func (p *Pool) AbortAttempts(endpoint policy.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.requests {
		for _, a := range r.attempts {
			if a.endpoint == endpoint && !a.completed {
				a.abort()
			}
		}
	}
}
