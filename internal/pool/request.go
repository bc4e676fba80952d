package pool

import (
	"net/http"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/metrics"
	"sorrelrudder/internal/statslog"
	"sorrelrudder/policy"
)

// request is one request of a client, from its last byte until all its attempts have ended. The pool's mu guards what changes.
//
// It is open until respond sends its one response and sets ended, or cancelRequest sets ended without one, since the client has left. It stays in
// Pool.requests until nothing of it goes on: attemptsInFlight is 0, forwarding is nil and streaming is false (removeFinished).
type request struct {
	id               policy.RequestID
	xRequestID       string
	method           string
	uri              string // as it is forwarded
	host             string
	header           http.Header
	body             []byte
	streamedBody     httpmsg.BodyStream // what follows body; nil: nothing
	timeout          time.Duration      // how long the client waits once all of it is sent
	releaseBody      func()             // gives the memory of body back
	clientGone       func() bool        // whether the client has left; nil: nobody can tell
	response         chan httpmsg.Response
	policyRequest    policy.Request // as the decision module was given it
	acceptedAt       policy.Time
	forwarded        bool // by another site: it is not forwarded further
	attempts         []*attempt
	attemptsInFlight int
	ended            bool
	forwarding       *RejectedRequest  // not nil: it has ended here and is forwarded; its response is still to come
	lastFailure      *httpmsg.Response // of an EndToEndProtocol: the last failing response of an endpoint
	streaming        bool              // the client has the first part of a long response
}

// errPoolClosed rejects a request that comes after the pool has ended. It has not been executed.
var errPoolClosed = httpmsg.RejectionError{Status: http.StatusServiceUnavailable, Text: "the pool is being removed", RetryAfter: 100 * time.Millisecond}

// errNoEndpoint rejects a request that was admitted just before the list went empty. It has not been executed.
var errNoEndpoint = httpmsg.RejectionError{Status: http.StatusServiceUnavailable, Text: "the pool has no ready server", RetryAfter: time.Second}

// errIDInUse rejects a request whose id an open request has.
var errIDInUse = httpmsg.RejectionError{Status: http.StatusConflict, Text: "a request with this X-Request-ID is open"}

// submit hands a request, whose last byte has just come, to the decision module. The error is an httpmsg.RejectionError.
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
		if !p.requestIDs.open(now, r.xRequestID) {
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

// addRequest makes r one of the open requests. The caller holds mu.
func (p *Pool) addRequest(now policy.Time, r *request, q policy.Request, timeout time.Duration) {
	p.lastRequestID++
	r.id, r.timeout = p.lastRequestID, timeout
	q.ID, q.Expires = r.id, now+timeout
	q.StreamedBody = r.streamedBody != nil
	r.policyRequest, r.acceptedAt = q, now
	p.requests[r.id] = r
	p.stats.Add(statslog.Requests, 1)
}

// cancelRequest tells the decision module that the client has left, and reports whether the request was still open.
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
		p.balancer.HandleRequestAbandoned(now, r.id, p)
		p.removeFinished(r)
	})
	return open
}

// finish gives r its final response, unless it has one. The caller holds mu.
func (p *Pool) finish(r *request, response httpmsg.Response) {
	if r == nil || r.ended {
		return
	}
	r.ended = true
	p.respond(r, response, metrics.OutcomeOfStatus(response.Status))
	p.deferred = append(p.deferred, func(policy.Time) { p.removeFinished(r) })
}

// respond hands the final response of r over and counts it. The caller holds mu.
func (p *Pool) respond(r *request, response httpmsg.Response, outcome metrics.Outcome) {
	if response.Remainder != nil {
		r.streaming = true
	} else {
		p.metrics.RecordOutcome(r.policyRequest.Class, outcome)
	}
	p.stats.Add(p.requestStat(r, outcome), 1)
	r.response <- response
}

// finishStream notes the end of a long response. The caller holds mu.
func (p *Pool) finishStream(r *request, complete bool) {
	outcome := metrics.Succeeded
	if !complete {
		outcome = metrics.Failed
	}
	p.metrics.RecordOutcome(r.policyRequest.Class, outcome)
	r.streaming = false
	p.removeFinished(r)
}

// removeFinished drops a request that has ended once no attempt needs its body. The caller holds mu.
func (p *Pool) removeFinished(r *request) {
	if !r.ended || r.attemptsInFlight > 0 || r.forwarding != nil || r.streaming || p.requests[r.id] != r {
		return
	}
	delete(p.requests, r.id)
	p.requestIDs.close(p.clock.now(), r.xRequestID)
	r.body = nil
	r.releaseBody()
}

// rejectUnsent rejects the requests of which nothing was sent, once the list names no endpoint and they are not to wait for one: the
// decision module would hold them until their deadline. The caller holds mu.
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

// lastFailureOr returns the response for the client of r once its attempts have failed: the last failing response of an endpoint, or else
// the response given. A status that invites a retry is passed on only if nothing was executed.
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
