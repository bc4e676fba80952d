package task

import "time"

// Action is what a runner wants done.
type Action struct {
	Look    bool     // ask for the task's page
	Command *Command // ask the council for it
	Send    *Send    // send the slot's request; its end comes back by Sent
}

// Send is the request of a slot.
type Send struct {
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
	spec  Spec
	retry time.Duration // how long an answer of the council is waited for
	watch time.Duration // how often a process that does not hold the lease looks at the book

	known  bool
	page   Page
	token  uint64        // with which the page was read
	lookAt time.Duration // the newest look whose page is known: when it was asked
	before time.Duration // the newest look that showed a smaller slot than the page does; below 0: none did

	asking   *Command // begin or finish, until it has an answer
	askedAt  time.Duration
	looking  bool
	lookedAt time.Duration
	nextLook time.Duration

	slot    int64 // that is being run here; 0: none
	out     bool  // its request is out
	sent    int
	again   bool    // another has begun it before
	outcome Outcome // to be written down
	pause   time.Duration
	sentAt  time.Duration
	took    time.Duration // that the slot's requests were out
	full    time.Duration // no room among the tasks until then: not to be asked for before
	spent   bool
}

// NewRunner returns one that knows nothing yet.
func NewRunner(s Spec, retry, watch time.Duration) *Runner {
	return &Runner{spec: s, retry: retry, watch: watch, before: -1, lookAt: -1}
}

// Running is the slot whose request is out, 0 if none is.
func (r *Runner) Running() int64 {
	if r.out {
		return r.slot
	}
	return 0
}

// Busy reports whether something is out, or has come back and is not written down yet.
func (r *Runner) Busy() bool { return r.out || r.outcome != "" || r.slot != 0 }

// Next decides what is done now, and when to ask again at the latest. token and until are of the task's lease, 0 without it.
func (r *Runner) Next(now time.Duration, wall time.Time, token uint64, until time.Duration) (a Action, at time.Duration) {
	if r.out {
		return a, now + r.spec.Deadline
	}
	if token == 0 || token != r.token {
		// What was being done was done under another token. Whoever has the lease now sees it in the book.
		if r.asking != nil && r.asking.Op == Begin {
			r.asking = nil
		}
		if r.slot != 0 && r.outcome == "" {
			r.slot = 0
		}
		if token == 0 && r.asking == nil {
			return r.look(now, now >= r.nextLook)
		}
		if token != 0 {
			r.token, r.known, r.nextLook = token, false, now
		}
	}
	if r.asking != nil {
		if now < r.askedAt+r.retry {
			return a, r.askedAt + r.retry
		}
		r.askedAt = now
		c := *r.asking
		return Action{Command: &c}, now + r.retry
	}
	switch {
	case r.outcome != "":
		return r.finish(now, wall, token)
	case token == 0:
		return r.look(now, now >= r.nextLook)
	case r.slot != 0:
		return r.send(now, wall, token, until)
	case !r.known:
		return r.look(now, true)
	}
	if r.page.Open && r.page.By == token {
		// Begun here, by a token that no other process and no other start of this one has, and nothing of it is out: the answer came
		// while the lease had lapsed for a moment.
		r.slot, r.sent, r.took, r.pause, r.again = r.page.Slot, 0, 0, 0, r.page.Begun > 1
		return r.send(now, wall, token, until)
	}
	unopened := time.Duration(-1)
	if r.before >= 0 {
		unopened = now - r.before
	}
	step := r.spec.Next(r.page, token, wall, unopened)
	r.spent = step.Spent
	switch {
	case step.Finish != 0:
		c := Command{Op: Finish, Task: r.spec.Name, Slot: step.Finish, Token: token, Outcome: Unknown}
		r.charge(&c, wall, r.page.Begun)
		return r.ask(now, c)
	case step.Begin != 0 && now < r.full && !step.Again:
		return a, r.full
	case step.Begin != 0:
		return r.ask(now, Command{
			Op: Begin, Task: r.spec.Name, Slot: step.Begin, Token: token, Again: step.Again, Skipped: step.Skipped, Most: r.spec.Most, Priority: r.spec.Priority,
		})
	}
	at = now + max(time.Millisecond, step.Until.Sub(wall))
	if now >= r.nextLook { // an operator may have called for the next slot
		a, _ = r.look(now, true)
	}
	return a, min(at, r.nextLook)
}

// Spent reports whether the task waits for the next period of its budget, as far as is known here.
func (r *Runner) Spent() bool { return r.spent }

// finish writes down what came of the slot, and what it cost.
func (r *Runner) finish(now time.Duration, wall time.Time, token uint64) (Action, time.Duration) {
	c := Command{Op: Finish, Task: r.spec.Name, Slot: r.slot, Token: token, Outcome: r.outcome}
	others := 0
	if r.again {
		others = max(0, r.page.Begun-1)
	}
	r.charge(&c, wall, others)
	return r.ask(now, c)
}

// charge reckons what a slot cost: what was sent here, and of others that have begun it as much as they may have.
func (r *Runner) charge(c *Command, wall time.Time, others int) {
	if r.spec.Budget.Per == 0 {
		return
	}
	tries := max(1, r.spec.Tries)
	c.Period, c.Requests = r.spec.Budget.period(wall), others*tries
	took := time.Duration(others*tries) * r.spec.Deadline
	if c.Slot == r.slot {
		c.Requests += r.sent
		took += r.took
	}
	c.TookMs = took.Milliseconds()
}

func (r *Runner) ask(now time.Duration, c Command) (Action, time.Duration) {
	r.asking, r.askedAt = &c, now
	copied := c
	return Action{Command: &copied}, now + r.retry
}

func (r *Runner) look(now time.Duration, wanted bool) (Action, time.Duration) {
	if r.looking && now < r.lookedAt+r.retry {
		return Action{}, r.lookedAt + r.retry
	}
	if !wanted {
		return Action{}, r.nextLook
	}
	r.looking, r.lookedAt, r.nextLook = true, now, now+r.watch
	return Action{Look: true}, now + r.retry
}

// send has the request of the slot sent, if there is time for an answer.
func (r *Runner) send(now time.Duration, wall time.Time, token uint64, until time.Duration) (Action, time.Duration) {
	if now < r.pause {
		return Action{}, r.pause
	}
	if r.again && r.spec.Effect == Keyed && now >= r.before+r.spec.Fresh() {
		// The council's answer came late: by now the servers may have forgotten the key.
		r.outcome = Unknown
		return r.finish(now, wall, token)
	}
	deadline := min(now+r.spec.Deadline, until)
	if deadline <= now {
		return Action{}, now + r.retry
	}
	r.sent++
	r.out, r.sentAt = true, now
	return Action{Send: &Send{Slot: r.slot, Key: r.spec.Key(r.slot), Token: token, Attempt: r.sent, Deadline: deadline}}, deadline
}

// Looked takes a page that was asked for at askedAt.
func (r *Runner) Looked(now, askedAt time.Duration, p Page) {
	if askedAt < r.lookAt {
		return // a newer one is known
	}
	r.looking = false
	r.take(askedAt, p)
}

// take notes a page. askedAt is when it was asked for: it was true later than that.
func (r *Runner) take(askedAt time.Duration, p Page) {
	if p.Rev < r.page.Rev {
		return // overtaken on the way: a slot that was finished since may be open in it
	}
	if r.known || r.lookAt >= 0 {
		if p.Slot > r.page.Slot || p.Slot == r.page.Slot && p.Open && !r.page.Open {
			r.before = r.lookAt
		}
	}
	r.page, r.lookAt, r.known = p, askedAt, true
}

// LookedAt is when the look that is out was asked.
func (r *Runner) LookedAt() time.Duration { return r.lookedAt }

// Answered takes what became of a command. token is that of the lease now, 0 without it.
func (r *Runner) Answered(now time.Duration, c Command, res Result, token uint64) {
	if r.asking == nil || *r.asking != c {
		return
	}
	r.asking = nil
	r.take(r.askedAt, res.State)
	switch {
	case c.Op == Finish:
		if c.Slot == r.slot {
			r.slot, r.outcome, r.sent, r.took = 0, "", 0, 0
		}
		if res.Why != "" {
			r.known = false
		}
	case res.Why == Crowded:
		r.full = now + r.retry
	case res.Why != "":
		r.known = false
		r.nextLook = now
	case token == c.Token:
		r.slot, r.sent, r.took, r.outcome, r.pause, r.again = c.Slot, 0, 0, "", 0, c.Again
	}
	// A slot that was begun under a token that is gone stays open: nothing of it has been sent, but only this process knows. If the same
	// token is in force again later, Next sends it; whoever has another treats it as one that may have run.
}

// Sent takes the end of the request that was out. again is when it may be sent again, if its outcome is Refused.
func (r *Runner) Sent(now time.Duration, o Outcome, again time.Duration) {
	if !r.out {
		return
	}
	r.out = false
	r.took += now - r.sentAt
	repeats := o == Refused || (o == Unknown || o == Failed) && r.spec.Effect == Safe
	if repeats && r.sent < r.spec.Tries {
		r.pause = again
		return
	}
	r.outcome = o
}
