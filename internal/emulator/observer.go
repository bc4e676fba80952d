package emulator

import (
	"fmt"
	"time"

	"sorrelrudder/policy"
)

const (
	// maxViolationTexts is the maximum number of violations whose descriptions are kept.
	maxViolationTexts = 20
	// drainGrace is the time for which attempts may still go to an endpoint after the notification that it is draining or removed.
	drainGrace = 2 * time.Second
	// answerGrace is the time after the deadline of a request within which the request may still be answered.
	answerGrace = 50 * time.Millisecond
)

// rule is the number of a rule that each instance must follow.
type rule int

const (
	// ruleOneAnswer: each request gets exactly one answer, within its deadline. No attempt starts after the answer or the deadline.
	ruleOneAnswer rule = 1
	// ruleNoRepeat: a request that may have been executed is repeated or rejected only if its class allows that.
	ruleNoRepeat rule = 2
	// ruleDraining: no attempt goes to an endpoint that is draining or removed.
	ruleDraining rule = 3
	// ruleSlowStart: all instances together do not overload a backend that is warming up.
	ruleSlowStart rule = 4
)

// observer checks the rules. It keeps its own records and does not read the state of the balancers.
type observer struct {
	emulation *Emulation
	// notAccepting has the endpoints of which an instance was notified that they are draining or removed, with the time of the
	// notification.
	notAccepting map[*instance]map[policy.EndpointID]policy.Time
	requests     map[*request]*requestRecord
}

// requestRecord is the observer's record of a request.
type requestRecord struct {
	answers          int
	possiblyExecuted map[*attempt]bool // as far as the instance can tell
}

func newObserver(e *Emulation) *observer {
	return &observer{
		emulation:    e,
		notAccepting: map[*instance]map[policy.EndpointID]policy.Time{},
		requests:     map[*request]*requestRecord{},
	}
}

// violation records the violation of a rule.
func (o *observer) violation(broken rule, format string, args ...any) {
	result := &o.emulation.Result
	result.ViolationCount++
	if len(result.Violations) < maxViolationTexts {
		text := fmt.Sprintf(format, args...)
		result.Violations = append(result.Violations, fmt.Sprintf("%.3f s, rule %d: %s", o.emulation.Elapsed().Seconds(), broken, text))
	}
}

// Notifications of events, in the order of a request's lifecycle.

// endpointsUpdated records the endpoints to which an instance may no longer send attempts. It is called before the instance applies the
// update.
func (o *observer) endpointsUpdated(in *instance, kind policy.UpdateKind, endpoints []policy.Endpoint) {
	since := o.notAccepting[in]
	if since == nil {
		since = map[policy.EndpointID]policy.Time{}
		o.notAccepting[in] = since
	}
	listed := map[policy.EndpointID]bool{}
	for _, endpoint := range endpoints {
		listed[endpoint.ID] = true
		if endpoint.State == policy.Ready {
			delete(since, endpoint.ID)
		} else if _, known := since[endpoint.ID]; !known {
			since[endpoint.ID] = o.emulation.scheduler.Now()
		}
	}
	if kind != policy.UpdateFull {
		return
	}
	for id := range in.backends {
		if _, known := since[id]; !known && !listed[id] {
			since[id] = o.emulation.scheduler.Now()
		}
	}
}

// requestReceived records a request that an instance must answer.
func (o *observer) requestReceived(r *request) {
	o.requests[r] = &requestRecord{possiblyExecuted: map[*attempt]bool{}}
}

// instanceKilled deletes the record of a request whose instance was killed. The client may retry the request as if it had not been sent.
func (o *observer) instanceKilled(r *request) { delete(o.requests, r) }

// attemptStarted checks an attempt before it is added to the attempts of its request.
func (o *observer) attemptStarted(a *attempt, endpoint policy.EndpointID) {
	record := o.requests[a.request]
	if !o.checkRequestOpen(a, record) {
		return
	}
	o.checkStartsBeforeDeadline(a)
	o.checkEndpointAccepts(a, endpoint)
	for _, earlier := range a.request.attempts {
		if earlier.executed || record.possiblyExecuted[earlier] {
			o.checkRepeatAllowed(a, earlier)
		}
	}
	record.possiblyExecuted[a] = true
}

// attemptExecuted records that a backend has started to execute an attempt.
func (o *observer) attemptExecuted(a *attempt) { a.executed = true }

// attemptFinished records the result of an attempt. The statuses StatusOverloaded, StatusConnectFailed and StatusNotSent mean that the
// attempt was not executed. After any other status it may have been executed.
func (o *observer) attemptFinished(a *attempt, status policy.Status) {
	record := o.requests[a.request]
	if record == nil {
		return
	}
	switch status {
	case policy.StatusOverloaded, policy.StatusConnectFailed, policy.StatusNotSent:
		delete(record.possiblyExecuted, a)
		o.checkNotExecuted(a)
	}
}

// requestAnswered checks a final answer.
func (o *observer) requestAnswered(r *request, outcome answer) {
	record := o.requests[r]
	if record == nil {
		o.violation(ruleOneAnswer, "instance %d answered a request that it does not have", r.instance.index)
		return
	}
	record.answers++
	o.checkAnsweredOnce(r, record)
	o.checkAnsweredInTime(r)
	if outcome == answerRejected {
		o.checkRejectionAllowed(r, record)
	}
}

// clientTimedOut checks that a request is answered within answerGrace after its deadline.
func (o *observer) clientTimedOut(r *request) {
	o.emulation.scheduler.After(answerGrace, func() {
		if record := o.requests[r]; record != nil && record.answers == 0 {
			o.violation(ruleOneAnswer, "instance %d did not answer a request within its deadline", r.instance.index)
		}
	})
}

// finish checks at the end of the run that every request has been answered.
func (o *observer) finish() {
	unanswered := 0
	for r, record := range o.requests {
		if record.answers == 0 && o.emulation.scheduler.Now() > r.expires+answerGrace {
			unanswered++
		}
	}
	if unanswered > 0 {
		o.violation(ruleOneAnswer, "%d requests were not answered by the end of the run", unanswered)
	}
}

// Checks of ruleOneAnswer.

// unknownRequestSent records a violation by an instance that starts an attempt of a request that it does not have.
func (o *observer) unknownRequestSent(in *instance) {
	o.violation(ruleOneAnswer, "instance %d started an attempt of a request that it does not have", in.index)
}

// checkRequestOpen checks that the request of an attempt has not been answered. It returns the result of the check.
func (o *observer) checkRequestOpen(a *attempt, record *requestRecord) bool {
	open := record != nil && record.answers == 0
	if !open {
		o.violation(ruleOneAnswer, "instance %d started an attempt of a request that was already answered", a.request.instance.index)
	}
	return open
}

// checkStartsBeforeDeadline checks that no attempt starts at or after the request's deadline.
func (o *observer) checkStartsBeforeDeadline(a *attempt) {
	if o.emulation.scheduler.Now() >= a.request.expires {
		o.violation(ruleOneAnswer, "instance %d started an attempt at or after the deadline of the request", a.request.instance.index)
	}
}

// checkAnsweredOnce checks that an answer is the first one of its request.
func (o *observer) checkAnsweredOnce(r *request, record *requestRecord) {
	if record.answers > 1 {
		o.violation(ruleOneAnswer, "%d answers to one request, want 1 (instance %d)", record.answers, r.instance.index)
	}
}

// checkAnsweredInTime checks that a request is answered no later than answerGrace after its deadline.
func (o *observer) checkAnsweredInTime(r *request) {
	if o.emulation.scheduler.Now() > r.expires+answerGrace {
		o.violation(ruleOneAnswer, "answer %v after the deadline (instance %d)", o.emulation.scheduler.Now()-r.expires, r.instance.index)
	}
}

// Checks of ruleNoRepeat.

// checkRepeatAllowed checks an attempt that follows an earlier one that may have been executed. The class must be idempotent, or it must be
// idempotent by key and the attempt must be in the same dedup scope and within the dedup window.
func (o *observer) checkRepeatAllowed(a, earlier *attempt) {
	if a.backend == nil || earlier.backend == nil {
		return
	}
	class := a.request.class
	switch {
	case class.Idempotency == policy.NonIdempotent:
		o.violation(ruleNoRepeat, "class %s: a request that may have been executed was sent again", class.Name)
	case class.Idempotency == policy.IdempotentByKey && !sameDedupScope(class.DedupScope, a.backend, earlier.backend):
		o.violation(ruleNoRepeat, "class %s: a request that may have been executed was sent to another dedup group", class.Name)
	case class.Idempotency == policy.IdempotentByKey && o.emulation.scheduler.Now() > earlier.sentAt+class.DedupWindow:
		o.violation(ruleNoRepeat, "class %s: a request was sent again %v after an attempt that may have been executed, beyond the dedup window", class.Name, o.emulation.scheduler.Now()-earlier.sentAt)
	}
}

// sameDedupScope reports whether two backends deduplicate requests of the same key together.
func sameDedupScope(scope policy.DedupScope, a, b *backend) bool {
	switch scope {
	case policy.DedupZone:
		return a.zone == b.zone
	case policy.DedupCell:
		return a.cell == b.cell
	}
	return true
}

// checkRejectionAllowed checks that a request that may have been executed is rejected only if the client may repeat it at any backend: its
// class is idempotent, or all backends still drop its repeats.
func (o *observer) checkRejectionAllowed(r *request, record *requestRecord) {
	if r.class.Idempotency == policy.Idempotent {
		return
	}
	droppedEverywhere := r.class.Idempotency == policy.IdempotentByKey && r.class.DedupScope == policy.DedupEverywhere
	for earlier := range record.possiblyExecuted {
		switch {
		case !droppedEverywhere:
			o.violation(ruleNoRepeat, "class %s: a request that may have been executed was rejected", r.class.Name)
			return
		case o.emulation.scheduler.Now() > earlier.sentAt+r.class.DedupWindow:
			o.violation(ruleNoRepeat, "class %s: a request that may have been executed was rejected beyond the dedup window", r.class.Name)
			return
		}
	}
}

// checkNotExecuted checks the emulator itself: it must not report an executed attempt as not executed.
func (o *observer) checkNotExecuted(a *attempt) {
	if a.executed {
		o.violation(ruleNoRepeat, "emulator fault: an executed attempt was reported as not executed")
	}
}

// Check of ruleDraining.

// checkEndpointAccepts checks that an attempt starts no later than drainGrace after the instance was notified that the endpoint is draining
// or removed.
func (o *observer) checkEndpointAccepts(a *attempt, endpoint policy.EndpointID) {
	since, known := o.notAccepting[a.request.instance][endpoint]
	if known && o.emulation.scheduler.Now() > since+drainGrace {
		o.violation(ruleDraining, "endpoint %s received an attempt %v after the instance was notified that it is draining or removed", endpoint, o.emulation.scheduler.Now()-since)
	}
}

// Check of ruleSlowStart.

// backendCollapsed records a violation if a backend has collapsed under its load while warming up.
func (o *observer) backendCollapsed(b *backend) {
	o.violation(ruleSlowStart, "backend %s collapsed under its load while warming up", b.id)
}
