package emulator

import (
	"time"

	"sorrelrudder/policy"
)

// attempt is a single attempt of an instance to execute a request at a backend.
type attempt struct {
	request     *request
	number      int      // index within the request, from 0
	backend     *backend // nil: the instance has no backend of that name
	sentAt      policy.Time
	transmitted bool // the request was written to a connection
	executed    bool // the backend has started to execute it
	finished    bool // the result was passed to the balancer
}

// countAttempt counts an attempt when it starts.
func (in *instance) countAttempt(a *attempt) {
	counts := in.emulation.counts()
	counts.Attempts++
	if a.number > 0 {
		counts.Retries++
	}
	if a.backend == nil {
		return
	}
	if a.backend.capacityFraction(in.emulation) < 1 {
		counts.WarmingAttempts++
	}
	if a.backend.zone != in.zone {
		counts.CrossZoneAttempts++
	}
}

// delayTo returns the one-way network delay to a backend.
func (in *instance) delayTo(target *backend) time.Duration {
	if target.zone == in.zone {
		return in.emulation.scenario.SameZoneDelay
	}
	return in.emulation.scenario.CrossZoneDelay
}

// connect reuses an idle connection to a backend or opens a new one, and then calls done.
func (in *instance) connect(target *backend, done func(connected bool)) {
	e := in.emulation
	if in.idleConnections[target] > 0 && !target.stopped {
		in.idleConnections[target]--
		e.scheduler.After(0, func() { done(true) })
		return
	}
	e.counts().Dials++
	roundTrip := 2 * in.delayTo(target)
	switch {
	case target.silent || target.collapsed || target.partitioned:
		e.scheduler.After(e.scenario.Policy.DialTimeout, func() { done(false) })
	case target.stopped, e.scenario.MaxConnections > 0 && target.connections >= e.scenario.MaxConnections:
		e.scheduler.After(roundTrip, func() { done(false) })
	default:
		target.connections++
		e.scheduler.After(roundTrip+e.scenario.HandshakeDuration, func() { done(true) })
	}
}

// transmit writes the request to the connection. It ends the attempt if there is no connection, and keeps the connection idle if the
// attempt has already ended.
func (in *instance) transmit(a *attempt, connected bool) {
	switch {
	case !connected:
		in.finish(a, policy.StatusConnectFailed)
		return
	case a.finished:
		in.idleConnections[a.backend]++
		return
	}
	e := in.emulation
	a.transmitted = true
	e.scheduler.After(in.delayTo(a.backend), func() { a.backend.receive(e, a) })
	if e.resetFraction > 0 && e.rng.Float64() < e.resetFraction {
		e.scheduler.After(2*in.delayTo(a.backend), func() { in.finish(a, policy.StatusReset) })
	}
}

// respond sends the backend's response to the instance. The response may be lost if responses are being dropped.
func (a *attempt) respond(e *Emulation, status policy.Status) {
	in := a.request.instance
	if status == policy.StatusOK && e.dropFraction > 0 && e.rng.Float64() < e.dropFraction {
		return
	}
	e.scheduler.After(in.delayTo(a.backend), func() { in.finish(a, status) })
}

// finish ends an attempt and passes its result to the balancer. Only the first result of an attempt counts.
func (in *instance) finish(a *attempt, status policy.Status) {
	if a.finished {
		return
	}
	a.finished = true
	if in.emulation.onAttemptFinished != nil {
		in.emulation.onAttemptFinished(a, status)
	}
	in.countResult(status)
	in.releaseConnection(a, status)
	in.handle(func(now policy.Time) { in.handleResult(now, a, status) })
}

// countResult counts how an attempt ended.
func (in *instance) countResult(status policy.Status) {
	counts := in.emulation.counts()
	switch status {
	case policy.StatusConnectFailed:
		counts.ConnectFailures++
	case policy.StatusTimeout:
		counts.Timeouts++
	case policy.StatusApplicationError:
		counts.ApplicationErrors++
	case policy.StatusOverloaded:
		counts.Overloaded++
	}
}

// releaseConnection keeps the attempt's connection as an idle one if the backend has responded on it. Otherwise it closes the connection.
func (in *instance) releaseConnection(a *attempt, status policy.Status) {
	if status == policy.StatusConnectFailed && !a.transmitted {
		return
	}
	switch status {
	case policy.StatusOK, policy.StatusApplicationError, policy.StatusOverloaded:
		in.idleConnections[a.backend]++
	default:
		a.backend.connections--
	}
}

// handleResult answers the client if the attempt was successful, and passes the result to the balancer and the other instances.
func (in *instance) handleResult(now policy.Time, a *attempt, status policy.Status) {
	r := a.request
	if status == policy.StatusOK && !r.ended {
		r.answer(answerServed, 0)
	}
	in.emulation.observer.attemptFinished(a, status)
	in.balancer.HandleAttemptResult(now, policy.AttemptResult{
		ID:           r.id,
		Attempt:      a.number,
		Endpoint:     policy.EndpointID(a.backend.id),
		Status:       status,
		Latency:      now - a.sentAt,
		RequestEnded: r.ended,
	}, in)
	in.forget(r)
	in.shareFailure(now, a.backend, status)
}

// resetConnections resets all connections to a backend whose process has ended or which was partitioned.
func (in *instance) resetConnections(target *backend) {
	delete(in.idleConnections, target)
	for _, r := range in.openRequests() {
		for _, a := range r.attempts {
			if a.backend == target && !a.finished && a.transmitted {
				in.emulation.scheduler.After(in.delayTo(target), func() { in.finish(a, policy.StatusReset) })
			}
		}
	}
}
