package task

import "time"

// Action is an action that a [Runner] requests from its caller. At most one field is set.
type Action struct {
	FetchRecord bool         // read the task's record and pass it to HandleRecord
	Command     *Command     // send the command to the leader and pass the result to HandleResult
	Send        *SlotRequest // send the request and pass its outcome to HandleOutcome
}

// SlotRequest is a request to send for a slot.
type SlotRequest struct {
	Slot     int64
	Key      string // idempotency key
	Token    uint64
	Attempt  int           // counts the requests of this process for the slot, from 1
	Deadline time.Duration // no part of the request may be sent later; by the process's monotonic clock
}

// Runner runs one task at a process while the process holds the task's lease. It reads the task's record, begins due slots, returns the
// requests to send, and records the outcomes of the slots. Where it lacks information, it assumes the worst case. All times are readings
// of the process's monotonic clock; the wall clock only determines slot numbers. It is not safe for concurrent use.
//
// Invariant: a request is sent only for a slot that the record shows as open and begun by the current token.
type Runner struct {
	spec          Spec
	retryInterval time.Duration
	pollInterval  time.Duration

	view      recordView
	fetching  bool
	fetchedAt time.Duration
	nextFetch time.Duration

	pending          *Command // OpBegin or OpFinish without a result yet
	pendingSince     time.Duration
	run              slotRun
	suspended        slotRun       // the last run under the current token that was dropped between two requests
	admissionRetryAt time.Duration // after RefusedConcurrencyLimit
	budgetExhausted  bool
}

// recordView is the runner's copy of the task's record.
type recordView struct {
	record      Record
	known       bool          // record is recent enough to act on
	token       uint64        // fencing token of the lease that record was read under
	requestedAt time.Duration // when record was requested; below 0: never
	// notBegunAt is the request time of the newest record that did not show the current slot as begun; below 0: there was none.
	notBegunAt time.Duration
}

// update stores a record that was requested at requestedAt, unless the stored record is newer.
func (v *recordView) update(requestedAt time.Duration, record Record) {
	if record.Revision < v.record.Revision {
		return
	}
	begun := record.Slot > v.record.Slot || record.Slot == v.record.Slot && record.Open && !v.record.Open
	if begun && (v.known || v.requestedAt >= 0) {
		v.notBegunAt = v.requestedAt
	}
	v.record, v.requestedAt, v.known = record, requestedAt, true
}

// notBegunFor returns the time since the current slot was last known not to be begun. It is below 0 if there is no such time.
func (v *recordView) notBegunFor(now time.Duration) time.Duration {
	if v.notBegunAt < 0 {
		return -1
	}
	return now - v.notBegunAt
}

// NewRunner returns a runner for a task. It repeats an unanswered command or read after retryInterval, and reads the record every
// pollInterval.
func NewRunner(s Spec, retryInterval, pollInterval time.Duration) *Runner {
	return &Runner{
		spec:          s,
		retryInterval: retryInterval,
		pollInterval:  pollInterval,
		view:          recordView{requestedAt: -1, notBegunAt: -1},
	}
}

// InFlightSlot returns the slot whose request is in flight, 0 if none.
func (r *Runner) InFlightSlot() int64 {
	if r.run.inFlight {
		return r.run.slot
	}
	return 0
}

// Busy reports whether a slot is running or its outcome is not recorded yet.
func (r *Runner) Busy() bool { return r.run.slot != 0 }

// BudgetExhausted reports whether the task waits for the next period of its budget.
func (r *Runner) BudgetExhausted() bool { return r.budgetExhausted }

// FetchedAt returns the time of the last request for the record.
func (r *Runner) FetchedAt() time.Duration { return r.fetchedAt }

// Next returns the action to perform now and the latest time for the next call. token is the fencing token of the task's lease. until is
// the time up to which the process may act on the lease. Both are 0 without the lease.
func (r *Runner) Next(now time.Duration, wall time.Time, token uint64, until time.Duration) (a Action, at time.Duration) {
	if r.run.inFlight {
		return Action{}, now + r.spec.Deadline
	}
	if token == 0 || token != r.view.token {
		r.dropUnsent()
		if token == 0 && r.pending == nil {
			return r.poll(now)
		}
		if token != 0 {
			r.view.token, r.view.known, r.nextFetch = token, false, now
			r.suspended = slotRun{} // another process may have run the slot meanwhile
		}
	}
	switch {
	case r.pending != nil:
		return r.repeat(now)
	case r.run.outcome != "":
		return r.finish(now, wall, token)
	case r.run.slot != 0:
		return r.send(now, wall, token, until)
	case !r.view.known:
		return r.fetch(now)
	}
	if record := r.view.record; record.Open && record.BegunBy == token {
		r.resume(record)
		return r.send(now, wall, token, until)
	}
	step := r.spec.Next(r.view.record, token, wall, r.view.notBegunFor(now))
	r.budgetExhausted = step.BudgetExhausted
	return r.performStep(now, wall, token, step)
}

// dropUnsent drops a slot that was begun under another token and whose next request was not sent. The current holder learns of the slot from
// the record.
func (r *Runner) dropUnsent() {
	if r.pending != nil && r.pending.Op == OpBegin {
		r.pending = nil
	}
	if r.run.outcome != "" {
		return
	}
	if r.run.attempts > 0 {
		r.suspended = r.run
	}
	r.run = slotRun{}
}

// resume runs the open slot of the record, which the current token began. This process began it, because no other process and no other start
// of this one has the token. The lease had lapsed temporarily, either between two requests or before the result of OpBegin arrived.
func (r *Runner) resume(record Record) {
	if r.suspended.slot == record.Slot {
		r.run = r.suspended
		return
	}
	r.run = r.newRun(record.Slot, record.Attempts > 1)
}

// performStep returns the action for a step of the schedule.
func (r *Runner) performStep(now time.Duration, wall time.Time, token uint64, step Step) (Action, time.Duration) {
	switch {
	case step.Abandon != 0:
		c := Command{Op: OpFinish, Task: r.spec.Name, Slot: step.Abandon, Token: token, Outcome: OutcomeUnknown}
		r.chargeBudget(&c, wall, r.view.record.Attempts)
		return r.propose(now, c)
	case step.Begin != 0 && now < r.admissionRetryAt && !step.Rerun:
		return Action{}, r.admissionRetryAt
	case step.Begin != 0:
		return r.propose(now, Command{
			Op: OpBegin, Task: r.spec.Name, Slot: step.Begin, Token: token, Rerun: step.Rerun, Skipped: step.Skipped,
			MaxOpen: r.spec.MaxOpen, Priority: r.spec.Priority,
		})
	}
	at := now + max(time.Millisecond, step.WaitUntil.Sub(wall))
	var a Action
	if now >= r.nextFetch { // the new record shows whether an operator has triggered the next slot
		a, _ = r.fetch(now)
	}
	return a, min(at, r.nextFetch)
}

// propose sends a command and makes it pending until its result arrives.
func (r *Runner) propose(now time.Duration, c Command) (Action, time.Duration) {
	r.pending, r.pendingSince = &c, now
	sent := c
	return Action{Command: &sent}, now + r.retryInterval
}

// repeat sends the pending command again if there is no result after retryInterval.
func (r *Runner) repeat(now time.Duration) (Action, time.Duration) {
	if now < r.pendingSince+r.retryInterval {
		return Action{}, r.pendingSince + r.retryInterval
	}
	return r.propose(now, *r.pending)
}

// poll reads the record every pollInterval.
func (r *Runner) poll(now time.Duration) (Action, time.Duration) {
	if at, waiting := r.awaitsRecord(now); waiting {
		return Action{}, at
	}
	if now < r.nextFetch {
		return Action{}, r.nextFetch
	}
	return r.fetch(now)
}

// fetch reads the record, unless a read is in flight.
func (r *Runner) fetch(now time.Duration) (Action, time.Duration) {
	if at, waiting := r.awaitsRecord(now); waiting {
		return Action{}, at
	}
	r.fetching, r.fetchedAt, r.nextFetch = true, now, now+r.pollInterval
	return Action{FetchRecord: true}, now + r.retryInterval
}

// awaitsRecord reports whether a read of the record is in flight and not overdue, and the time from which it is overdue.
func (r *Runner) awaitsRecord(now time.Duration) (at time.Duration, waiting bool) {
	at = r.fetchedAt + r.retryInterval
	return at, r.fetching && now < at
}

// HandleRecord processes a record that was requested at requestedAt. It ignores a record that was requested before the stored one.
func (r *Runner) HandleRecord(requestedAt time.Duration, record Record) {
	if requestedAt < r.view.requestedAt {
		return
	}
	r.fetching = false
	r.view.update(requestedAt, record)
}

// HandleResult processes the result of a command. token is the current fencing token of the lease, 0 without the lease.
//
// A slot that was begun under a token other than the current one stays open. Its request was not sent, but only this process knows that. If
// the same token becomes current again, Next sends the request. A holder of another token must assume that the slot may have run.
func (r *Runner) HandleResult(now time.Duration, c Command, result Result, token uint64) {
	if r.pending == nil || *r.pending != c {
		return
	}
	r.pending = nil
	r.view.update(r.pendingSince, result.Record)
	switch {
	case c.Op == OpFinish:
		if c.Slot == r.run.slot {
			r.run = slotRun{}
		}
		if result.Refusal != "" {
			r.view.known = false
		}
	case result.Refusal == RefusedConcurrencyLimit:
		r.admissionRetryAt = now + r.retryInterval
	case result.Refusal != "":
		r.view.known = false
		r.nextFetch = now
	case token == c.Token:
		r.run = r.newRun(c.Slot, c.Rerun)
	}
}
