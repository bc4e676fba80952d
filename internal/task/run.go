package task

import "time"

// slotRun is the state of the slot that a runner runs, from its begin until its outcome is recorded in the registry.
type slotRun struct {
	slot         int64         // 0: none
	rerun        bool          // another process has begun the slot before
	mayHaveRun   bool          // by an earlier request, of this process or another
	keyUsedSince time.Duration // if mayHaveRun is set: a time before the first run
	attempts     int           // requests sent by this process
	inFlight     bool          // a request has no outcome yet
	sentAt       time.Duration
	retryAt      time.Duration // earliest time of the next request
	requestTime  time.Duration // sum of the times of all requests
	outcome      Outcome       // empty: not known yet
}

// newRun returns the state of a slot that this process has begun. rerun is set if another process has begun the slot before.
func (r *Runner) newRun(slot int64, rerun bool) slotRun {
	return slotRun{slot: slot, rerun: rerun, mayHaveRun: rerun, keyUsedSince: r.view.notBegunAt}
}

// send returns the next request of the slot. It returns no action while a retry is delayed or once the lease has expired. If the servers may
// have forgotten the idempotency key of a slot that may have run, it returns an OpFinish command with OutcomeUnknown instead.
func (r *Runner) send(now time.Duration, wall time.Time, token uint64, until time.Duration) (Action, time.Duration) {
	run := &r.run
	if now < run.retryAt {
		return Action{}, run.retryAt
	}
	if run.mayHaveRun && r.spec.Idempotency == IdempotentByKey && now >= run.keyUsedSince+r.spec.KeyLifetime() {
		run.outcome = OutcomeUnknown
		return r.finish(now, wall, token)
	}
	deadline := min(now+r.spec.Deadline, until)
	if deadline <= now {
		return Action{}, now + r.retryInterval
	}
	run.attempts++
	run.inFlight, run.sentAt = true, now
	request := &SlotRequest{Slot: run.slot, Key: r.spec.IdempotencyKey(run.slot), Token: token, Attempt: run.attempts, Deadline: deadline}
	return Action{Send: request}, deadline
}

// HandleOutcome processes the outcome of the request in flight. retryAt is the earliest time of a retry, if the outcome allows one.
func (r *Runner) HandleOutcome(now time.Duration, outcome Outcome, retryAt time.Duration) {
	run := &r.run
	if !run.inFlight {
		return
	}
	run.inFlight = false
	run.requestTime += now - run.sentAt
	if outcome != OutcomeRejected && !run.mayHaveRun {
		run.mayHaveRun, run.keyUsedSince = true, run.sentAt
	}
	if r.mayRetry(outcome) && run.attempts < r.spec.MaxAttempts {
		run.retryAt = retryAt
		return
	}
	run.outcome = outcome
	if outcome == OutcomeRejected && run.mayHaveRun {
		run.outcome = OutcomeUnknown // the last request did not run the slot, but an earlier one may have
	}
}

// mayRetry reports whether a request with an outcome may be sent again, because the request certainly did not run the slot or because
// running the slot again does no harm. For a slot whose repeats the servers drop, send also checks that they still do.
func (r *Runner) mayRetry(outcome Outcome) bool {
	switch outcome {
	case OutcomeRejected:
		return true
	case OutcomeUnknown:
		return r.spec.Idempotency == Idempotent || r.spec.dropsRepeats()
	case OutcomeFailed:
		return r.spec.Idempotency == Idempotent
	}
	return false
}

// finish proposes an OpFinish command with the outcome and the cost of the slot.
func (r *Runner) finish(now time.Duration, wall time.Time, token uint64) (Action, time.Duration) {
	c := Command{Op: OpFinish, Task: r.spec.Name, Slot: r.run.slot, Token: token, Outcome: r.run.outcome}
	earlierBegins := 0
	if r.run.rerun {
		earlierBegins = max(0, r.view.record.Attempts-1)
	}
	r.chargeBudget(&c, wall, earlierBegins)
	return r.propose(now, c)
}

// chargeBudget sets the cost of a slot in an OpFinish command: the requests of this process, plus the largest possible cost for each begin
// of the slot by another process, whose requests are not known.
func (r *Runner) chargeBudget(c *Command, wall time.Time, earlierBegins int) {
	if r.spec.Budget.Period == 0 {
		return
	}
	c.Period = r.spec.Budget.periodAt(wall)
	c.Requests = earlierBegins * max(1, r.spec.MaxAttempts)
	requestTime := time.Duration(c.Requests) * r.spec.Deadline
	if c.Slot == r.run.slot {
		c.Requests += r.run.attempts
		requestTime += r.run.requestTime
	}
	c.TookMs = requestTime.Milliseconds()
}
