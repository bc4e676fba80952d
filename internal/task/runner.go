package task

import "time"

// Action is what a [Runner] wants done. One field is set, or none.
type Action struct {
	FetchRecord bool         // read the task's record, for HandleRecord
	Command     *Command     // send the command to the leader, for HandleResult
	Send        *SlotRequest // send the slot's request, for HandleOutcome
}

// SlotRequest is a request of a slot.
type SlotRequest struct {
	Slot     int64
	Key      string // idempotency key
	Token    uint64
	Attempt  int           // of this process, from 1
	Deadline time.Duration // by the process's monotonic clock: nothing of the request may be sent later
}

// Runner runs one task at one process while that holds the task's lease: it reads the record, begins what is due, has its request sent,
// and writes down the outcome. What it can't know it takes for the worst. Its times are of the process's monotonic clock; the wall clock
// only numbers slots. It is not safe for concurrent use.
//
// Invariant: a request goes out only for a slot that the record shows open, begun by the token in force.
type Runner struct {
	spec          Spec
	retryInterval time.Duration
	pollInterval  time.Duration

	view      recordView
	fetching  bool
	fetchedAt time.Duration
	nextFetch time.Duration

	pending          *Command // OpBegin or OpFinish without an answer
	pendingSince     time.Duration
	run              slotRun
	admissionRetryAt time.Duration // after RefusedConcurrencyLimit
	budgetExhausted  bool
}

// recordView is what a runner knows of the task's record.
type recordView struct {
	record  Record
	known   bool          // record may be acted on
	token   uint64        // of the lease that record is read for
	askedAt time.Duration // when record was asked for; below 0: never
	// notBegunAt is when the newest record was asked for that did not show the present slot as begun; below 0: none was seen.
	notBegunAt time.Duration
}

// update takes over a record that was asked for at askedAt, unless a newer one is known.
func (v *recordView) update(askedAt time.Duration, record Record) {
	if record.Revision < v.record.Revision {
		return
	}
	begun := record.Slot > v.record.Slot || record.Slot == v.record.Slot && record.Open && !v.record.Open
	if begun && (v.known || v.askedAt >= 0) {
		v.notBegunAt = v.askedAt
	}
	v.record, v.askedAt, v.known = record, askedAt, true
}

// notBegunFor is how long ago the present slot was known not to be begun; below 0: that is not known.
func (v *recordView) notBegunFor(now time.Duration) time.Duration {
	if v.notBegunAt < 0 {
		return -1
	}
	return now - v.notBegunAt
}

// NewRunner returns a runner that knows nothing yet. It repeats what has no answer after retryInterval, and reads the record every
// pollInterval.
func NewRunner(s Spec, retryInterval, pollInterval time.Duration) *Runner {
	return &Runner{
		spec:          s,
		retryInterval: retryInterval,
		pollInterval:  pollInterval,
		view:          recordView{askedAt: -1, notBegunAt: -1},
	}
}

// InFlightSlot is the slot whose request is out, 0 if none is.
func (r *Runner) InFlightSlot() int64 {
	if r.run.inFlight {
		return r.run.slot
	}
	return 0
}

// Busy reports whether a slot is being run, or its outcome is not written down yet.
func (r *Runner) Busy() bool { return r.run.slot != 0 }

// BudgetExhausted reports whether the task waits for the next period of its budget.
func (r *Runner) BudgetExhausted() bool { return r.budgetExhausted }

// FetchedAt is when the record was asked for last.
func (r *Runner) FetchedAt() time.Duration { return r.fetchedAt }

// Next returns what is to be done now, and the time by which to call it again. token and until, the time until which the process may act,
// are of the task's lease; 0 without it.
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
		// Begun here, since no other process and no other start of this one has the token, and not sent: the answer came while the lease
		// had lapsed for a moment.
		r.run = slotRun{slot: record.Slot, rerun: record.Attempts > 1}
		return r.send(now, wall, token, until)
	}
	step := r.spec.Next(r.view.record, token, wall, r.view.notBegunFor(now))
	r.budgetExhausted = step.BudgetExhausted
	return r.carryOut(now, wall, token, step)
}

// dropUnsent forgets what was begun under another token and not sent. The record tells the present holder of it.
func (r *Runner) dropUnsent() {
	if r.pending != nil && r.pending.Op == OpBegin {
		r.pending = nil
	}
	if r.run.outcome == "" {
		r.run = slotRun{}
	}
}

func (r *Runner) carryOut(now time.Duration, wall time.Time, token uint64, step Step) (Action, time.Duration) {
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
	if now >= r.nextFetch { // an operator may have triggered the next slot
		a, _ = r.fetch(now)
	}
	return a, min(at, r.nextFetch)
}

// propose sends a command until it has its answer.
func (r *Runner) propose(now time.Duration, c Command) (Action, time.Duration) {
	r.pending, r.pendingSince = &c, now
	sent := c
	return Action{Command: &sent}, now + r.retryInterval
}

// repeat sends the pending command again once its answer is overdue.
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

// fetch reads the record, unless its answer is awaited.
func (r *Runner) fetch(now time.Duration) (Action, time.Duration) {
	if at, waiting := r.awaitsRecord(now); waiting {
		return Action{}, at
	}
	r.fetching, r.fetchedAt, r.nextFetch = true, now, now+r.pollInterval
	return Action{FetchRecord: true}, now + r.retryInterval
}

// awaitsRecord reports whether the record was asked for and its answer is not overdue, and when it will be.
func (r *Runner) awaitsRecord(now time.Duration) (at time.Duration, waiting bool) {
	at = r.fetchedAt + r.retryInterval
	return at, r.fetching && now < at
}

// HandleRecord takes a record that was asked for at askedAt.
func (r *Runner) HandleRecord(askedAt time.Duration, record Record) {
	if askedAt < r.view.askedAt {
		return
	}
	r.fetching = false
	r.view.update(askedAt, record)
}

// HandleResult takes the result of a command. token is that of the lease now, 0 without it.
//
// A slot that was begun under a token that is gone stays open. Nothing of it was sent, but only this process knows: if the same token is
// in force again, Next sends it; a holder of another token treats it as one that may have run.
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
		r.run = slotRun{slot: c.Slot, rerun: c.Rerun}
	}
}
