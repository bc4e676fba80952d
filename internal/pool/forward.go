package pool

import (
	"net/http"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/metrics"
	"sorrelrudder/policy"
)

// RejectedRequest is a request that the decision module has rejected here, for whoever may have it served at another site: asking for
// it again is harmless, and nothing more is sent for it here. Respond must be called once.
type RejectedRequest struct {
	Message       httpmsg.Request
	ID            string                // its X-Request-ID
	PolicyRequest policy.Request        // as the decision module was given it: PriorAttempts without those made here
	Deadline      time.Time             // so long the client waits
	Rejection     httpmsg.Response      // its response if it is served nowhere else
	PriorAttempts []policy.PriorAttempt // all attempts so far

	pool       *Pool
	request    *request
	clientGone chan struct{}
}

// ClientGone returns a channel that is closed once nobody waits for the response any more.
func (h *RejectedRequest) ClientGone() <-chan struct{} { return h.clientGone }

// Respond gives the request its final response. After the client has left it only closes the rest of a long one.
func (h *RejectedRequest) Respond(response httpmsg.Response) {
	used := false
	h.pool.runEvent(func(policy.Time) {
		if h.request.forwarding != h {
			return
		}
		h.request.forwarding, used = nil, true
		h.pool.respond(h.request, response, metrics.OutcomeOfStatus(response.Status))
		if response.Remainder != nil { // it is read from the pool that has served the request
			h.pool.finishStream(h.request, true)
		}
		h.pool.removeFinished(h.request)
	})
	if !used && response.Remainder != nil {
		response.Remainder.Close(false)
	}
}

// reject ends r with a rejection, or has it forwarded. The caller holds mu.
func (p *Pool) reject(r *request, rejection httpmsg.Response) {
	if !p.mayForward(r) {
		p.finish(r, rejection)
		return
	}
	rejected := p.newRejectedRequest(r, rejection)
	r.ended, r.forwarding = true, rejected
	p.spawn(func() { p.forwardRejected(p.ctx, rejected) })
}

// mayForward reports whether a request that is rejected here may be served at another site. A long body cannot be read twice. The
// caller holds mu.
func (p *Pool) mayForward(r *request) bool {
	return p.forwardRejected != nil && !p.closed && r != nil && !r.ended && !r.forwarded && r.streamedBody == nil
}

// newRejectedRequest describes r and its attempts for another site. The caller holds mu.
func (p *Pool) newRejectedRequest(r *request, rejection httpmsg.Response) *RejectedRequest {
	now := p.clock.now()
	header := r.header.Clone()
	if header == nil {
		header = http.Header{}
	}
	rejected := &RejectedRequest{
		Message: httpmsg.Request{Method: r.method, URI: r.uri, Host: r.host, Header: header, Body: r.body, ClientGone: r.clientGone},
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

// stopForwarding notes that nobody waits for the response of r, which is being forwarded. The caller holds mu.
func (p *Pool) stopForwarding(r *request) {
	rejected := r.forwarding
	r.forwarding = nil
	close(rejected.clientGone)
}

// SubmitRejected hands the decision module a request that another pool of this process has rejected, with the time and the greatest
// number of attempts given. The error is an httpmsg.RejectionError.
func (p *Pool) SubmitRejected(rejected *RejectedRequest, timeout time.Duration, maxAttempts int) (*Exchange, error) {
	parsed := ParsedRequest{policyRequest: rejected.PolicyRequest, timeout: timeout, requestID: rejected.ID}
	parsed.policyRequest.PriorAttempts, parsed.policyRequest.MaxAttempts = rejected.PriorAttempts, maxAttempts
	return p.Submit(&rejected.Message, parsed, func() {})
}

// ForwardedAttributes are what another site says of a request that it forwards.
type ForwardedAttributes struct {
	PolicyRequest policy.Request // without ID and Expires
	Timeout       time.Duration
}

// ParseForwardedRequest is ParseRequest for a request that another site has forwarded with the attributes given. The error is an
// httpmsg.RejectionError.
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

// anyMayHaveExecuted reports whether any of the attempts may have been executed.
func anyMayHaveExecuted(attempts []policy.PriorAttempt) bool {
	for _, a := range attempts {
		if !a.NotExecuted {
			return true
		}
	}
	return false
}

// AbortAttempts ends the connections of the attempts in flight at an endpoint. What was sent completely may have been executed there.
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
