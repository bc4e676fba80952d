package pool

import (
	"sync"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/metrics"
	"sorrelrudder/policy"
)

// attempt is one send of a request to an endpoint. Its goroutine carries it out; see runAttempt.
type attempt struct {
	request  *request
	number   int // counted over all sites
	endpoint policy.EndpointID
	zone     string // of the endpoint
	cell     int
	deadline time.Time

	// Guarded by Pool.mu.
	sentAt    policy.Time
	completed bool
	status    policy.Status // once completed

	// mu guards the fields below. It is taken under Pool.mu, and Pool.mu is not taken under it.
	mu        sync.Mutex
	canceled  bool
	interrupt func() // ends what the attempt waits for; nil: nothing
}

// cancel calls the attempt off. Its goroutine reports the result.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.canceled = true
	if a.interrupt != nil {
		a.interrupt()
	}
}

// abort ends what the attempt waits for, as a broken connection does.
func (a *attempt) abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.interrupt != nil {
		a.interrupt()
	}
}

// setInterrupt sets what ends the present wait, and reports whether the attempt is still wanted.
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

// mayHaveExecuted reports whether the endpoint may have executed the request. The caller holds Pool.mu.
func (a *attempt) mayHaveExecuted() bool { return !a.completed || !a.status.NotExecuted() }

// completeAttempt reports the result of an attempt; with StatusOK, response is its response. It reports whether that has become the
// request's.
func (p *Pool) completeAttempt(a *attempt, status policy.Status, load *policy.LoadReport, response httpmsg.Response) (used bool) {
	p.runEvent(func(now policy.Time) { used = p.completeAttemptLocked(now, a, status, load, response) })
	return used
}

// failAttempt reports the result of an attempt without a response for the client.
func (p *Pool) failAttempt(a *attempt, status policy.Status, load *policy.LoadReport) {
	p.completeAttempt(a, status, load, httpmsg.Response{})
}

// completeAttemptLocked is completeAttempt within an event. The caller holds mu.
func (p *Pool) completeAttemptLocked(
	now policy.Time, a *attempt, status policy.Status, load *policy.LoadReport, response httpmsg.Response,
) (used bool) {
	if a.completed { // guards against a second result of one attempt
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
	p.reachability.note(a.endpoint, status)
	p.zoneOutcomes.add(a.zone, status, delay)
	p.removeFinished(r)
	return used
}
