package pool

import (
	"net/http"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/metrics"
	"sorrelrudder/policy"
)

// RejectedRequest is a request that the module has refused here, so that asking for it again is harmless, for whoever may have it
// served elsewhere. Nothing more goes out for it here. Answer must be called once.
type RejectedRequest struct {
	Message       httpmsg.Request
	ID            string                // its id
	PolicyRequest policy.Request        // as the module was told, Prior without the attempts made here
	Deadline      time.Time             // so long the client waits
	Rejection     httpmsg.Response      // what it is to be answered if it is served nowhere else
	PriorAttempts []policy.PriorAttempt // all attempts so far

	pool       *Pool
	request    *request
	clientGone chan struct{}
}

// ClientGone is closed once the client has gone, or the pool has: nobody waits for the answer any more.
func (h *RejectedRequest) ClientGone() <-chan struct{} { return h.clientGone }

// Respond gives the request its final answer. After the client has left it does nothing.
func (h *RejectedRequest) Respond(a httpmsg.Response) {
	taken := false
	h.pool.runEvent(func(policy.Time) {
		if h.request.forwarding != h {
			return
		}
		h.request.forwarding, taken = nil, true
		h.pool.respond(h.request, a, metrics.OutcomeOfStatus(a.Status))
		if a.Remainder != nil { // who has served it has the rest
			h.pool.finishStream(h.request, true)
		}
		h.pool.removeFinished(h.request)
	})
	if !taken && a.Remainder != nil {
		a.Remainder.Close(false)
	}
}

// reject ends r with a refusal, or hands it over.
func (p *Pool) reject(r *request, refusal httpmsg.Response) {
	if p.forwardRejected == nil || p.closed || r == nil || r.ended || r.forwarded || r.streamedBody != nil { // a long body cannot be read twice
		p.finish(r, refusal)
		return
	}
	now := p.now()
	h := &RejectedRequest{
		Message: httpmsg.Request{Method: r.method, URI: r.uri, Host: r.host, Header: r.header.Clone(), Body: r.body, ClientGone: r.clientGone},
		ID:      r.xRequestID, PolicyRequest: r.policyRequest, Deadline: p.clockOrigin.Add(r.policyRequest.Expires), Rejection: refusal, pool: p, request: r, clientGone: make(chan struct{}),
	}
	if h.Message.Header == nil {
		h.Message.Header = http.Header{}
	}
	h.PriorAttempts = append(h.PriorAttempts, r.policyRequest.PriorAttempts...)
	keep := p.dedupWindows[r.policyRequest.Class]
	for _, a := range r.attempts {
		h.PriorAttempts = append(h.PriorAttempts, policy.PriorAttempt{
			Zone: a.zone, Cell: a.cell, NotExecuted: a.completed && a.status.NotExecuted(), DedupRemaining: max(0, keep-(now-a.sentAt)),
		})
	}
	r.ended, r.forwarding = true, h
	p.spawn(func() { p.forwardRejected(p.ctx, h) })
}

// ForwardedAttributes is what another site says of a request that it hands over.
type ForwardedAttributes struct {
	PolicyRequest policy.Request // without ID and Expires
	Timeout       time.Duration
}

// ParseForwardedRequest is Legal for a request that another site has handed over: what it says of itself is in f.
func (p *Pool) ParseForwardedRequest(q *httpmsg.Request, f ForwardedAttributes) (ParsedRequest, error) {
	ask := ParsedRequest{policyRequest: f.PolicyRequest, forwarded: true, requestID: q.Header.Get("X-Request-Id")}
	bad := func(status int, text string) (ParsedRequest, error) {
		return ParsedRequest{}, httpmsg.RejectionError{Status: status, Text: text}
	}
	if ask.requestID == "" || len(ask.requestID) > maxRequestIDBytes {
		return bad(http.StatusBadRequest, "no usable X-Request-ID")
	}
	effect, known := p.idempotency[f.PolicyRequest.Class]
	switch {
	case !known:
		return bad(http.StatusNotFound, "no such class")
	case effect == policy.IdempotentByKey && q.Header.Get("Idempotency-Key") == "":
		return bad(http.StatusBadRequest, "no Idempotency-Key")
	case effect == policy.NonIdempotent:
		for _, prior := range f.PolicyRequest.PriorAttempts {
			if !prior.NotExecuted { // the other site must not have sent it at all
				return bad(http.StatusBadRequest, "an unsafe request that may have run")
			}
		}
	}
	ask.idempotent = effect == policy.Idempotent
	ask.timeout = min(f.Timeout, p.maxDeadline)
	return ask, nil
}

// SubmitRejected hands the module a request that another pool of this process has handed over, with so much time.
func (p *Pool) SubmitRejected(h *RejectedRequest, timeout time.Duration, most int) (*Exchange, error) {
	ask := ParsedRequest{policyRequest: h.PolicyRequest, timeout: timeout, requestID: h.ID}
	ask.policyRequest.PriorAttempts, ask.policyRequest.MaxAttempts = h.PriorAttempts, most
	return p.Submit(&h.Message, ask, func() {})
}

// AttemptSummary is how many attempts were made here for a request that has its answer, and whether any of them may have run.
func (e *Exchange) AttemptSummary() (spent int, ran bool) {
	p := e.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range e.request.attempts {
		ran = ran || !a.completed || !a.status.NotExecuted()
	}
	return len(e.request.attempts), ran
}

// AbortAttempts ends the connections on which attempts at a server are out: what was written whole may have run there.
func (p *Pool) AbortAttempts(server policy.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.requests {
		for _, a := range r.attempts {
			if a.endpoint == server && !a.completed {
				a.abort()
			}
		}
	}
}
