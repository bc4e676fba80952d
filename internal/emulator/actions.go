package emulator

import (
	"time"

	"sorrelrudder/policy"
)

var _ policy.Actions = (*instance)(nil)

// StartAttempt sends a request to a backend.
func (in *instance) StartAttempt(id policy.RequestID, endpoint policy.EndpointID, timeout time.Duration) {
	r, target := in.requests[id], in.backends[endpoint]
	if r == nil {
		in.emulation.observer.unknownRequestSent(in)
		return
	}
	a := &attempt{request: r, number: len(r.attempts), backend: target, sentAt: in.emulation.scheduler.Now()}
	in.emulation.observer.attemptStarted(a, endpoint)
	r.attempts = append(r.attempts, a)
	in.countAttempt(a)
	if target == nil {
		in.rejectUnknownEndpoint(a, endpoint)
		return
	}
	in.emulation.scheduler.After(timeout, func() { in.finish(a, policy.StatusTimeout) })
	in.connect(target, func(connected bool) { in.transmit(a, connected) })
}

// rejectUnknownEndpoint ends an attempt at an endpoint for which the instance has no backend.
func (in *instance) rejectUnknownEndpoint(a *attempt, endpoint policy.EndpointID) {
	a.finished = true
	in.deferred = append(in.deferred, func() {
		in.balancer.HandleAttemptResult(in.emulation.scheduler.Now(), policy.AttemptResult{
			ID:           a.request.id,
			Attempt:      a.number,
			Endpoint:     endpoint,
			Status:       policy.StatusNotSent,
			RequestEnded: a.request.ended,
		}, in)
		in.forget(a.request)
	})
}

// Reject answers a request with a rejection.
func (in *instance) Reject(id policy.RequestID, retryAfter time.Duration) {
	in.end(id, answerRejected, retryAfter)
}

// Fail answers a request with an error.
func (in *instance) Fail(id policy.RequestID) { in.end(id, answerFailed, 0) }

// end answers a request as the balancer has decided.
func (in *instance) end(id policy.RequestID, outcome answer, retryAfter time.Duration) {
	if r := in.requests[id]; r != nil {
		r.answer(outcome, retryAfter)
		in.deferred = append(in.deferred, func() { in.forget(r) })
	}
}

// CancelAttempt ends an attempt. The backend continues to execute it.
func (in *instance) CancelAttempt(id policy.RequestID, number int) {
	if r := in.requests[id]; r != nil && number < len(r.attempts) {
		a := r.attempts[number]
		in.deferred = append(in.deferred, func() { in.finish(a, policy.StatusCanceled) })
	}
}

// SetTimer schedules a timer of the balancer. The timer does not fire after the instance has been killed.
func (in *instance) SetTimer(delay time.Duration, token string) {
	balancer := in.balancer
	in.emulation.scheduler.After(delay, func() {
		if in.balancer == balancer {
			in.handle(func(now policy.Time) { balancer.HandleTimer(now, token, in) })
		}
	})
}

// WatchEndpoints cancels the open watch of the endpoint list, if any. If open is true, it then opens a new watch.
func (in *instance) WatchEndpoints(open bool) {
	if in.watch != nil {
		in.watch.canceled = true
		in.watch = nil
	}
	if open {
		in.watch = in.emulation.discovery.watch(in)
	}
}

// Log discards the balancer's log messages.
func (in *instance) Log(string) {}
