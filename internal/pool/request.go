package pool

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/metrics"
	"sorrelrudder/internal/statslog"
	"sorrelrudder/policy"
)

// request is a client's request, from its submission until all its attempts have ended. The pool's mu guards the fields that change
// after the submission.
//
// A request is open until ended is set. finish and completeAttempt set it with the one response. cancelRequest sets it without a response,
// since the client has disconnected. reject sets it while the response is still awaited from another site, see forwarding. The request
// stays in Pool.requests until attemptsInFlight is 0, forwarding is nil and streaming is false (removeFinished).
type request struct {
	id               policy.RequestID
	xRequestID       string
	method           string
	uri              string // the request target to forward
	host             string
	header           http.Header
	body             []byte
	streamedBody     httpmsg.RequestStream // the rest of the body, after body; nil: none
	timeout          time.Duration         // how long the client waits, counted from the end of its request
	releaseBody      func()                // releases the memory of body
	clientGone       func() bool           // reports whether the client has disconnected; nil: not known
	clientMayBeGone  func() bool           // reports whether clientGone may not see that; nil: it always does
	response         chan httpmsg.Response
	policyRequest    policy.Request // as passed to the decision module
	acceptedAt       policy.Time
	forwarded        bool // by another site: it must not be forwarded again
	attempts         []*attempt
	attemptsInFlight int
	ended            bool
	forwarding       *RejectedRequest  // not nil: this pool rejected the request, and its response is awaited from another site
	forwardExecuted  bool              // another site, to which the request was forwarded, may have executed it
	lastFailure      *httpmsg.Response // with an EndToEndProtocol: the last complete response that was a failure; nil: none
	streaming        bool              // a long response is being streamed to the client
	sendingBody      bool              // the rest of a long body is being sent
}

// errPoolClosed rejects a request that is submitted after Close or AbortRequests. The request has not been executed.
var errPoolClosed = httpmsg.RejectionError{Status: http.StatusServiceUnavailable, Text: "the pool is being removed", RetryAfter: 100 * time.Millisecond}

// errNoEndpoint rejects a request that was admitted just before the last ready endpoint was removed, if requests must not wait for
// another endpoint. It also rejects the requests without an attempt when AbortRequests is called. The request has not been executed.
var errNoEndpoint = httpmsg.RejectionError{Status: http.StatusServiceUnavailable, Text: "the pool has no ready server", RetryAfter: time.Second}

// errIDInUse rejects a request with the X-Request-ID of a request that is open or ended recently.
var errIDInUse = httpmsg.RejectionError{Status: http.StatusConflict, Text: "a request with this X-Request-ID is open"}

// submit passes a request to the decision module, or rejects it. The error is an httpmsg.RejectionError.
func (p *Pool) submit(r *request, q policy.Request, timeout time.Duration) error {
	var err error = errPoolClosed
	p.runEvent(func(now policy.Time) {
		if p.requestsAborted {
			return
		}
		accepted := p.acceptsRequests == nil || p.acceptsRequests()
		if !accepted && (p.forwardRejected == nil || r.forwarded) {
			err = errNoEndpoint
			return
		}
		err = nil
		if !p.openID(r.xRequestID, p.hasEffect(q.Class)) {
			err = errIDInUse
			return
		}
		p.addRequest(now, r, q, timeout)
		if !accepted {
			p.reject(r, errNoEndpoint.Response())
			return
		}
		p.balancer.HandleRequest(now, r.policyRequest, p)
	})
	return err
}

// hasEffect reports whether a request of a class must not be executed twice. An unknown class counts as not idempotent.
func (p *Pool) hasEffect(class string) bool {
	c, known := p.classes[class]
	return !known || c.Idempotency != policy.Idempotent
}

// addRequest adds r to the open requests. Its deadline is timeout from now. The caller holds mu.
func (p *Pool) addRequest(now policy.Time, r *request, q policy.Request, timeout time.Duration) {
	p.lastRequestID++
	r.id, r.timeout = p.lastRequestID, timeout
	q.ID, q.Expires = r.id, now+timeout
	q.StreamedBody = r.streamedBody != nil
	r.policyRequest, r.acceptedAt = q, now
	p.requests[r.id] = r
	p.stats.Add(statslog.Requests, 1)
}

// cancelRequest tells the decision module that the client has disconnected, and reports whether the request was still open.
func (p *Pool) cancelRequest(r *request) (open bool) {
	p.runEvent(func(now policy.Time) {
		if r.forwarding != nil {
			open = true
			p.stopForwarding(r)
			p.removeFinished(r)
		}
		if r.ended {
			return
		}
		open, r.ended = true, true
		p.stats.Add(statslog.ClientGone, 1)
		p.events.Info("client left", "request", r.xRequestID, "class", r.policyRequest.Class, "attempts", len(r.attempts))
		p.balancer.HandleRequestAbandoned(now, r.id, p)
		p.removeFinished(r)
	})
	return open
}

// finish sends the final response of r, unless r has already ended. The caller holds mu.
func (p *Pool) finish(r *request, response httpmsg.Response) {
	if r == nil || r.ended {
		return
	}
	r.ended = true
	p.respond(r, response, metrics.OutcomeOfStatus(response.Status))
	p.deferred = append(p.deferred, func(policy.Time) { p.removeFinished(r) })
}

// respond sends the final response of r to its receiver and counts its outcome. The outcome of a streamed response is counted by
// finishStream. The caller holds mu.
func (p *Pool) respond(r *request, response httpmsg.Response, outcome metrics.Outcome) {
	if response.Remainder != nil {
		r.streaming = true
	} else {
		p.metrics.RecordOutcome(r.policyRequest.Class, outcome)
	}
	p.stats.Add(p.requestStat(r, outcome), 1)
	switch {
	case outcome != metrics.Succeeded:
		p.logRequest("request not served", r, response.Status)
	case p.clock.now() > r.policyRequest.Expires:
		p.logRequest("request served late", r, response.Status)
	}
	r.response <- response
}

// logRequest logs the end of a request, with the results of its attempts. The caller holds mu.
func (p *Pool) logRequest(message string, r *request, status int) {
	results := make([]string, len(r.attempts))
	for i, a := range r.attempts {
		results[i] = string(a.endpoint) + ": in flight"
		if a.completed {
			results[i] = string(a.endpoint) + ": " + a.status.String()
		}
	}
	p.events.Info(message, "request", r.xRequestID, "class", r.policyRequest.Class, "status", status,
		"after_ms", (p.clock.now() - r.acceptedAt).Milliseconds(), "timeout_ms", r.timeout.Milliseconds(), "attempts", strings.Join(results, ", "))
}

// finishStream records the end of a streamed response and counts its outcome. The caller holds mu.
func (p *Pool) finishStream(r *request, complete bool) {
	outcome := metrics.Succeeded
	if !complete {
		outcome = metrics.Failed
		p.events.Info("long response not passed on completely", "request", r.xRequestID, "class", r.policyRequest.Class)
	}
	p.metrics.RecordOutcome(r.policyRequest.Class, outcome)
	r.streaming = false
	p.removeFinished(r)
}

// removeFinished removes a request that has ended, once no attempt, forwarding or streaming is in progress, and releases its body. The
// caller holds mu.
func (p *Pool) removeFinished(r *request) {
	if !r.ended || r.attemptsInFlight > 0 || r.forwarding != nil || r.streaming || p.requests[r.id] != r {
		return
	}
	delete(p.requests, r.id)
	p.requestIDs.close(r.xRequestID, p.hasEffect(r.policyRequest.Class), r.mayHaveExecuted())
	r.body = nil
	r.releaseBody()
}

// executedFromHere reports whether an endpoint of this pool, or another site that the request was forwarded to, may have executed the request.
// The caller holds mu.
func (r *request) executedFromHere() bool {
	return r.forwardExecuted || slices.ContainsFunc(r.attempts, (*attempt).mayHaveExecuted)
}

// mayHaveExecuted reports whether the request may have been executed anywhere. The caller holds mu.
func (r *request) mayHaveExecuted() bool {
	executed := func(a policy.PriorAttempt) bool { return !a.NotExecuted }
	return r.executedFromHere() || slices.ContainsFunc(r.policyRequest.PriorAttempts, executed)
}

// rejectUnsent rejects the requests that have no attempt yet. It is called by AbortRequests, and when no endpoint is ready and requests must
// not wait for one. In the latter case the decision module would hold them until their deadlines. The caller holds mu.
func (p *Pool) rejectUnsent(now policy.Time) {
	for _, r := range p.requests {
		if r.ended || len(r.attempts) > 0 {
			continue
		}
		p.balancer.HandleRequestAbandoned(now, r.id, p)
		rejection := errNoEndpoint.Response()
		if !p.settings.Config.RetryAfterHonored {
			rejection.RetryAfter = 0
		}
		p.reject(r, rejection)
	}
}

// lastFailureOr returns the response for the client once the attempts of r have failed: the last failure response of an endpoint, or the
// given response if there is none. A failure response with a status that invites a retry, 429 or 503, is passed on only if notExecuted.
func (r *request) lastFailureOr(response httpmsg.Response, notExecuted bool) httpmsg.Response {
	if r == nil || r.lastFailure == nil {
		return response
	}
	status := r.lastFailure.Status
	if !notExecuted && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		return response
	}
	return *r.lastFailure
}
