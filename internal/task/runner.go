package task

import "time"

// Action is what a runner wants done.
type Action struct {
	FetchRecord bool         // ask for the task's page
	Command     *Command     // ask the council for it
	Send        *SlotRequest // send the slot's request; its end comes back by Sent
}

// SlotRequest is the request of a slot.
type SlotRequest struct {
	Slot     int64
	Key      string
	Token    uint64
	Attempt  int           // from 1, of this process
	Deadline time.Duration // by the process' monotonic clock: nothing of it goes out later
}

// Runner does one task at one process, while that holds the task's lease: it looks at the book, begins what is due, has it sent and
// writes down what came of it. What it can't know it takes for the worst. Its times are of the process' monotonic clock; the wall clock
// only numbers slots.
type Runner struct {
	spec          Spec
	retryInterval time.Duration // how long an answer of the council is waited for
	pollInterval  time.Duration // how often a process that does not hold the lease looks at the book

	recordKnown   bool
	record        Record
	recordToken   uint64        // with which the page was read
	recordAskedAt time.Duration // the newest look whose page is known: when it was asked
	notBegunAt    time.Duration // the newest look that showed a smaller slot than the page does; below 0: none did

	pending      *Command // begin or finish, until it has an answer
	pendingSince time.Duration
	fetching     bool
	fetchedAt    time.Duration
	nextFetch    time.Duration

	slot             int64 // that is being run here; 0: none
	inFlight         bool  // its request is out
	attempts         int
	rerun            bool    // another has begun it before
	outcome          Outcome // to be written down
	retryAt          time.Duration
	sentAt           time.Duration
	requestTime      time.Duration // that the slot's requests were out
	admissionRetryAt time.Duration // no room among the tasks until then: not to be asked for before
	budgetExhausted  bool
}

// NewRunner returns one that knows nothing yet.
func NewRunner(s Spec, retry, watch time.Duration) *Runner {
	return &Runner{spec: s, retryInterval: retry, pollInterval: watch, notBegunAt: -1, recordAskedAt: -1}
}

// InFlightSlot is the slot whose request is out, 0 if none is.
func (r *Runner) InFlightSlot() int64 {
	if r.inFlight {
		return r.slot
	}
	return 0
}

// Busy reports whether something is out, or has come back and is not written down yet.
func (r *Runner) Busy() bool { return r.inFlight || r.outcome != "" || r.slot != 0 }

// Next decides what is done now, and when to ask again at the latest. token and until are of the task's lease, 0 without it.
func (r *Runner) Next(now time.Duration, wall time.Time, token uint64, until time.Duration) (a Action, at time.Duration) {
	if r.inFlight {
		return a, now + r.spec.Deadline
	}
	if token == 0 || token != r.recordToken {
		// What was being done was done under another token. Whoever has the lease now sees it in the book.
		if r.pending != nil && r.pending.Op == OpBegin {
			r.pending = nil
		}
		if r.slot != 0 && r.outcome == "" {
			r.slot = 0
		}
		if token == 0 && r.pending == nil {
			return r.fetch(now, now >= r.nextFetch)
		}
		if token != 0 {
			r.recordToken, r.recordKnown, r.nextFetch = token, false, now
		}
	}
	if r.pending != nil {
		if now < r.pendingSince+r.retryInterval {
			return a, r.pendingSince + r.retryInterval
		}
		r.pendingSince = now
		c := *r.pending
		return Action{Command: &c}, now + r.retryInterval
	}
	switch {
	case r.outcome != "":
		return r.finish(now, wall, token)
	case token == 0:
		return r.fetch(now, now >= r.nextFetch)
	case r.slot != 0:
		return r.send(now, wall, token, until)
	case !r.recordKnown:
		return r.fetch(now, true)
	}
	if r.record.Open && r.record.BegunBy == token {
		// Begun here, by a token that no other process and no other start of this one has, and nothing of it is out: the answer came
		// while the lease had lapsed for a moment.
		r.slot, r.attempts, r.requestTime, r.retryAt, r.rerun = r.record.Slot, 0, 0, 0, r.record.Attempts > 1
		return r.send(now, wall, token, until)
	}
	unopened := time.Duration(-1)
	if r.notBegunAt >= 0 {
		unopened = now - r.notBegunAt
	}
	step := r.spec.Next(r.record, token, wall, unopened)
	r.budgetExhausted = step.BudgetExhausted
	switch {
	case step.Abandon != 0:
		c := Command{Op: OpFinish, Task: r.spec.Name, Slot: step.Abandon, Token: token, Outcome: OutcomeUnknown}
		r.chargeBudget(&c, wall, r.record.Attempts)
		return r.propose(now, c)
	case step.Begin != 0 && now < r.admissionRetryAt && !step.Rerun:
		return a, r.admissionRetryAt
	case step.Begin != 0:
		return r.propose(now, Command{
			Op: OpBegin, Task: r.spec.Name, Slot: step.Begin, Token: token, Rerun: step.Rerun, Skipped: step.Skipped, MaxOpen: r.spec.MaxOpen, Priority: r.spec.Priority,
		})
	}
	at = now + max(time.Millisecond, step.WaitUntil.Sub(wall))
	if now >= r.nextFetch { // an operator may have called for the next slot
		a, _ = r.fetch(now, true)
	}
	return a, min(at, r.nextFetch)
}

// BudgetExhausted reports whether the task waits for the next period of its budget, as far as is known here.
func (r *Runner) BudgetExhausted() bool { return r.budgetExhausted }

// finish writes down what came of the slot, and what it cost.
func (r *Runner) finish(now time.Duration, wall time.Time, token uint64) (Action, time.Duration) {
	c := Command{Op: OpFinish, Task: r.spec.Name, Slot: r.slot, Token: token, Outcome: r.outcome}
	others := 0
	if r.rerun {
		others = max(0, r.record.Attempts-1)
	}
	r.chargeBudget(&c, wall, others)
	return r.propose(now, c)
}

// chargeBudget reckons what a slot cost: what was sent here, and of others that have begun it as much as they may have.
func (r *Runner) chargeBudget(c *Command, wall time.Time, others int) {
	if r.spec.Budget.Period == 0 {
		return
	}
	tries := max(1, r.spec.MaxAttempts)
	c.Period, c.Requests = r.spec.Budget.periodAt(wall), others*tries
	took := time.Duration(others*tries) * r.spec.Deadline
	if c.Slot == r.slot {
		c.Requests += r.attempts
		took += r.requestTime
	}
	c.TookMs = took.Milliseconds()
}

func (r *Runner) propose(now time.Duration, c Command) (Action, time.Duration) {
	r.pending, r.pendingSince = &c, now
	copied := c
	return Action{Command: &copied}, now + r.retryInterval
}

func (r *Runner) fetch(now time.Duration, wanted bool) (Action, time.Duration) {
	if r.fetching && now < r.fetchedAt+r.retryInterval {
		return Action{}, r.fetchedAt + r.retryInterval
	}
	if !wanted {
		return Action{}, r.nextFetch
	}
	r.fetching, r.fetchedAt, r.nextFetch = true, now, now+r.pollInterval
	return Action{FetchRecord: true}, now + r.retryInterval
}

// send has the request of the slot sent, if there is time for an answer.
func (r *Runner) send(now time.Duration, wall time.Time, token uint64, until time.Duration) (Action, time.Duration) {
	if now < r.retryAt {
		return Action{}, r.retryAt
	}
	if r.rerun && r.spec.Idempotency == IdempotentByKey && now >= r.notBegunAt+r.spec.KeyLifetime() {
		// The council's answer came late: by now the servers may have forgotten the key.
		r.outcome = OutcomeUnknown
		return r.finish(now, wall, token)
	}
	deadline := min(now+r.spec.Deadline, until)
	if deadline <= now {
		return Action{}, now + r.retryInterval
	}
	r.attempts++
	r.inFlight, r.sentAt = true, now
	return Action{Send: &SlotRequest{Slot: r.slot, Key: r.spec.IdempotencyKey(r.slot), Token: token, Attempt: r.attempts, Deadline: deadline}}, deadline
}

// HandleRecord takes a page that was asked for at askedAt.
func (r *Runner) HandleRecord(askedAt time.Duration, p Record) {
	if askedAt < r.recordAskedAt {
		return // a newer one is known
	}
	r.fetching = false
	r.updateRecord(askedAt, p)
}

// updateRecord notes a page. askedAt is when it was asked for: it was true later than that.
func (r *Runner) updateRecord(askedAt time.Duration, p Record) {
	if p.Revision < r.record.Revision {
		return // overtaken on the way: a slot that was finished since may be open in it
	}
	if r.recordKnown || r.recordAskedAt >= 0 {
		if p.Slot > r.record.Slot || p.Slot == r.record.Slot && p.Open && !r.record.Open {
			r.notBegunAt = r.recordAskedAt
		}
	}
	r.record, r.recordAskedAt, r.recordKnown = p, askedAt, true
}

// FetchedAt is when the look that is out was asked.
func (r *Runner) FetchedAt() time.Duration { return r.fetchedAt }

// HandleResult takes what became of a command. token is that of the lease now, 0 without it.
func (r *Runner) HandleResult(now time.Duration, c Command, res Result, token uint64) {
	if r.pending == nil || *r.pending != c {
		return
	}
	r.pending = nil
	r.updateRecord(r.pendingSince, res.Record)
	switch {
	case c.Op == OpFinish:
		if c.Slot == r.slot {
			r.slot, r.outcome, r.attempts, r.requestTime = 0, "", 0, 0
		}
		if res.Refusal != "" {
			r.recordKnown = false
		}
	case res.Refusal == RefusedConcurrencyLimit:
		r.admissionRetryAt = now + r.retryInterval
	case res.Refusal != "":
		r.recordKnown = false
		r.nextFetch = now
	case token == c.Token:
		r.slot, r.attempts, r.requestTime, r.outcome, r.retryAt, r.rerun = c.Slot, 0, 0, "", 0, c.Rerun
	}
	// A slot that was begun under a token that is gone stays open: nothing of it has been sent, but only this process knows. If the same
	// token is in force again later, Next sends it; whoever has another treats it as one that may have run.
}

// HandleOutcome takes the end of the request that was out. again is when it may be sent again, if its outcome is Refused.
func (r *Runner) HandleOutcome(now time.Duration, o Outcome, again time.Duration) {
	if !r.inFlight {
		return
	}
	r.inFlight = false
	r.requestTime += now - r.sentAt
	repeats := o == OutcomeRejected || (o == OutcomeUnknown || o == OutcomeFailed) && r.spec.Idempotency == Idempotent
	if repeats && r.attempts < r.spec.MaxAttempts {
		r.retryAt = again
		return
	}
	r.outcome = o
}
