package pool

import (
	"sync"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/metrics"
	"sorrelrudder/policy"
)

// attempt is one attempt to have an endpoint serve a request. A goroutine of its own executes runAttempt.
type attempt struct {
	request  *request
	number   int // from 0, counted over the attempts of all sites
	endpoint policy.EndpointID
	zone     string // of the endpoint
	cell     int
	deadline time.Time

	// Guarded by Pool.mu.
	sentAt    policy.Time
	completed bool
	status    policy.Status // valid once completed

	// mu guards the fields below. It may be locked while Pool.mu is held, never the other way round.
	mu        sync.Mutex
	canceled  bool
	interrupt func() // ends the blocking operation in progress; nil: there is none
}

// cancel marks the attempt as canceled and interrupts it. Its goroutine still reports the result.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.canceled = true
	if a.interrupt != nil {
		a.interrupt()
	}
}

// abort interrupts the attempt without marking it as canceled: the result is that of a broken connection.
func (a *attempt) abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.interrupt != nil {
		a.interrupt()
	}
}

// setInterrupt sets the function that ends the blocking operation in progress. It returns false if the attempt has been canceled.
func (a *attempt) setInterrupt(interrupt func()) (wanted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.interrupt = interrupt
	return !a.canceled
}

func (a *attempt) isCanceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canceled
}

// logAttrs returns the attributes of a log line about the attempt.
func (a *attempt) logAttrs() []any {
	return []any{
		"request", a.request.xRequestID, "class", a.request.policyRequest.Class, "attempt", a.number, "upstream", a.endpoint,
		"left_ms", time.Until(a.deadline).Milliseconds(),
	}
}

// mayHaveExecuted reports whether the endpoint may have executed the request. It is true while the attempt is in flight. The caller
// holds Pool.mu.
func (a *attempt) mayHaveExecuted() bool { return !a.completed || !a.status.NotExecuted() }

// completeAttempt reports the result of an attempt to the decision module. With StatusOK, response is the response for the client, and
// used reports whether it became the request's final response.
func (p *Pool) completeAttempt(a *attempt, status policy.Status, load *policy.LoadReport, response httpmsg.Response) (used bool) {
	p.runEvent(func(now policy.Time) { used = p.completeAttemptLocked(now, a, status, load, response) })
	return used
}

// failAttempt reports the result of an attempt that has no response for the client.
func (p *Pool) failAttempt(a *attempt, status policy.Status, load *policy.LoadReport) {
	p.completeAttempt(a, status, load, httpmsg.Response{})
}

// completeAttemptLocked is completeAttempt for a caller that runs within an event and holds mu.
func (p *Pool) completeAttemptLocked(
	now policy.Time, a *attempt, status policy.Status, load *policy.LoadReport, response httpmsg.Response,
) (used bool) {
	if a.completed { // each attempt has one result
		return false
	}
	r := a.request
	a.completed, a.status = true, status
	r.attemptsInFlight--
	p.countAttempt(status)
	if status == policy.StatusOK && !r.ended {
		r.ended, used = true, true
		p.respond(r, response, metrics.Succeeded)
	}
	delay := now - a.sentAt
	p.balancer.HandleAttemptResult(now, policy.AttemptResult{
		ID: r.id, Attempt: a.number, Endpoint: a.endpoint, Status: status, Latency: delay, RequestEnded: r.ended, Load: load,
	}, p)
	p.reachability.record(a.endpoint, status)
	p.zoneOutcomes.add(a.zone, status, delay)
	p.removeFinished(r)
	return used
}
