package task

import "time"

// slotRun is the slot that a runner runs: its requests, and their outcome until that is written down.
type slotRun struct {
	slot        int64 // 0: none
	rerun       bool  // another process has begun it before
	attempts    int   // requests sent
	inFlight    bool
	sentAt      time.Duration
	retryAt     time.Duration // the next request may not be sent before
	requestTime time.Duration // sum over the requests
	outcome     Outcome       // empty: not known yet
}

// send has the next request of the slot sent, if there is time for an answer.
func (r *Runner) send(now time.Duration, wall time.Time, token uint64, until time.Duration) (Action, time.Duration) {
	run := &r.run
	if now < run.retryAt {
		return Action{}, run.retryAt
	}
	if run.rerun && r.spec.Idempotency == IdempotentByKey && now >= r.view.notBegunAt+r.spec.KeyLifetime() {
		// The answer to OpBegin came late: by now the servers may have forgotten the key.
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

// HandleOutcome takes the end of the request that was out. retryAt is when it may be sent again, if it may.
func (r *Runner) HandleOutcome(now time.Duration, outcome Outcome, retryAt time.Duration) {
	run := &r.run
	if !run.inFlight {
		return
	}
	run.inFlight = false
	run.requestTime += now - run.sentAt
	if r.mayRetry(outcome) && run.attempts < r.spec.MaxAttempts {
		run.retryAt = retryAt
		return
	}
	run.outcome = outcome
}

// mayRetry reports whether a request with an outcome may be sent again: it has surely not run, or running it again does no harm.
func (r *Runner) mayRetry(outcome Outcome) bool {
	switch outcome {
	case OutcomeRejected:
		return true
	case OutcomeUnknown, OutcomeFailed:
		return r.spec.Idempotency == Idempotent
	}
	return false
}

// finish writes down the outcome of the slot, and its cost.
func (r *Runner) finish(now time.Duration, wall time.Time, token uint64) (Action, time.Duration) {
	c := Command{Op: OpFinish, Task: r.spec.Name, Slot: r.run.slot, Token: token, Outcome: r.run.outcome}
	othersAttempts := 0
	if r.run.rerun {
		othersAttempts = max(0, r.view.record.Attempts-1)
	}
	r.chargeBudget(&c, wall, othersAttempts)
	return r.propose(now, c)
}

// chargeBudget sets the cost of a slot: what was sent here, and for each time that others began it as much as they may have sent.
func (r *Runner) chargeBudget(c *Command, wall time.Time, othersAttempts int) {
	if r.spec.Budget.Period == 0 {
		return
	}
	c.Period = r.spec.Budget.periodAt(wall)
	c.Requests = othersAttempts * max(1, r.spec.MaxAttempts)
	requestTime := time.Duration(c.Requests) * r.spec.Deadline
	if c.Slot == r.run.slot {
		c.Requests += r.run.attempts
		requestTime += r.run.requestTime
	}
	c.TookMs = requestTime.Milliseconds()
}
