package task

import (
	"errors"
	"fmt"
	"hash/fnv"
	"time"
)

// Idempotency is what doing it twice would do.
type Idempotency int

const (
	Idempotent      Idempotency = iota // nothing
	IdempotentByKey                    // nothing while the servers remember the key
	NonIdempotent                      // harm
)

// MissedPolicy is what is done about slots that were due while nobody could do them.
type MissedPolicy string

const (
	MissedSkip      MissedPolicy = "skip" // a slot that is later than its deadline is left out
	MissedRunNewest MissedPolicy = "once" // the newest is done, however late, and the older are left out
	MissedRunEach   MissedPolicy = "each" // all are done in their order, MostBehind at most
)

// MaxMissedSlots bounds the slots that Each makes up for; older ones are left out.
const MaxMissedSlots = 100

// Spec is a task as the operator's file has it.
type Spec struct {
	Name          string
	Interval      time.Duration // from slot to slot
	Offset        time.Duration // of the first in a day; slots are counted from midnight UTC of 1970-01-01 on
	Spread        time.Duration // a part of it, fixed by the name, is added: tasks of equal times do not come together
	Missed        MissedPolicy
	Idempotency   Idempotency
	DedupWindow   time.Duration // Keyed: how long the servers remember a key
	Deadline      time.Duration // of each request
	MaxAttempts   int           // requests for one slot, where a repeat does no harm
	MaxClockDrift float64       // bounds how far each clock's rate is from true time
	MaxOpen       int           // slots of all tasks that may be open at once over the fleet; 0: no bound
	Priority      int           // of those that wait for that the largest goes first
	Budget        Budget
}

// Budget bounds what a task may cost in each period. Once it is spent nothing more is begun until the next period, and the slots
// meanwhile are missed ones. A slot that has begun is not cut off by it, so that one may be overdrawn by one slot.
type Budget struct {
	Period         time.Duration // of a period, counted as slots are; 0: no budget
	MaxRequests    int64         // 0: any
	MaxRequestTime time.Duration // that requests were out; 0: any
}

// periodAt is which one it is by a wall clock.
func (b *Budget) periodAt(wall time.Time) int64 {
	if b.Period == 0 {
		return 0
	}
	return int64(wall.Sub(time.Unix(0, 0)) / b.Period)
}

// exhausted reports whether a task has had its part of the present period, and when the next one begins.
func (b *Budget) exhausted(p Record, wall time.Time) (until time.Time, spent bool) {
	now := b.periodAt(wall)
	if b.Period == 0 || p.Period < now {
		return until, false
	}
	until = time.Unix(0, 0).Add(time.Duration(p.Period+1) * b.Period)
	return until, b.MaxRequests > 0 && p.Requests >= b.MaxRequests || b.MaxRequestTime > 0 && p.TookMs >= b.MaxRequestTime.Milliseconds()
}

// KeyLifetime is for how long after the newest moment at which a slot was surely not begun its key may be sent again, by this process' clock:
// what is sent then may run as late as its deadline, and the servers must remember the first run even then.
func (s *Spec) KeyLifetime() time.Duration {
	return time.Duration(float64(s.DedupWindow)*(1-s.MaxClockDrift)/(1+s.MaxClockDrift)) - s.Deadline
}

// Validate says what is wrong with s.
func (s *Spec) Validate() error {
	switch {
	case s.Name == "":
		return errors.New("a task without a name")
	case s.Interval < time.Millisecond:
		return fmt.Errorf("task %q: every %v is more often than every millisecond", s.Name, s.Interval)
	case s.Offset < 0 || s.Offset >= max(s.Interval, 24*time.Hour):
		return fmt.Errorf("task %q: at %v lies outside a day", s.Name, s.Offset)
	case s.Spread < 0 || s.Spread > s.Interval:
		return fmt.Errorf("task %q: a spread of %v is not between 0 and %v", s.Name, s.Spread, s.Interval)
	case s.Deadline <= 0:
		return fmt.Errorf("task %q: no deadline", s.Name)
	case s.MaxOpen < 0 || s.MaxAttempts < 0:
		return fmt.Errorf("task %q: a bound below 0", s.Name)
	case s.Budget.Period > 0 && s.Budget.MaxRequests == 0 && s.Budget.MaxRequestTime == 0:
		return fmt.Errorf("task %q: a budget that names neither requests nor time", s.Name)
	case s.Budget.Period == 0 && (s.Budget.MaxRequests != 0 || s.Budget.MaxRequestTime != 0), s.Budget.Period < 0, s.Budget.MaxRequests < 0, s.Budget.MaxRequestTime < 0:
		return fmt.Errorf("task %q: a budget without the period that it is for", s.Name)
	case s.Idempotency == IdempotentByKey && s.DedupWindow <= s.Deadline:
		return fmt.Errorf("task %q: its servers forget a key after %v, no later than its deadline of %v", s.Name, s.DedupWindow, s.Deadline)
	}
	return nil
}

// slotOffset is where in Every a slot begins.
func (s *Spec) slotOffset() time.Duration {
	h := fnv.New64a()
	h.Write([]byte(s.Name))
	at := s.Offset % s.Interval
	if s.Spread > 0 {
		at += time.Duration(h.Sum64() % uint64(s.Spread))
	}
	return at
}

// SlotAt is the newest slot that is due at a wall clock's time, and when it was due. Wall clocks only give slots their numbers: that a
// slot is begun once is the book's doing, so that a clock that is wrong makes a slot early, late or left out, and never doubled.
func (s *Spec) SlotAt(wall time.Time) (slot int64, due time.Time) {
	since := wall.Sub(time.Unix(0, 0)) - s.slotOffset()
	slot = int64(since / s.Interval)
	return slot, s.DueAt(slot)
}

// DueAt is when a slot is due, by a wall clock.
func (s *Spec) DueAt(slot int64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(slot)*s.Interval + s.slotOffset())
}

// Step is what the holder of a task's lease does next.
type Step struct {
	// Abandon is a slot that was begun by another and can't be begun again: it is to be finished as Unknown. 0: none.
	Abandon int64
	// Begin is the slot to begin; 0: none. Again: another has begun it, and a repeat does no harm.
	Begin           int64
	Rerun           bool
	Skipped         int64     // slots before it that are left out
	WaitUntil       time.Time // nothing to do before, by the wall clock
	BudgetExhausted bool      // the budget is what is waited for
}

// Next decides what a holder with that token does. unopened is how long ago, by its own monotonic clock, the process knows for certain
// that the open slot had not been begun; below 0: it does not know, and takes the key for forgotten.
func (s *Spec) Next(p Record, token uint64, wall time.Time, unopened time.Duration) Step {
	if p.Open && p.BegunBy != token {
		again := false
		switch s.Idempotency {
		case Idempotent:
			again = true
		case IdempotentByKey:
			again = unopened >= 0 && unopened < s.KeyLifetime()
		}
		if !again {
			return Step{Abandon: p.Slot}
		}
		return Step{Begin: p.Slot, Rerun: true}
	}
	if p.Open { // it is this process' own, and runs
		return Step{WaitUntil: wall.Add(s.Deadline)}
	}
	slot, due := s.SlotAt(wall)
	if p.Triggered && p.Slot > 0 {
		first := max(p.Slot+1, slot)
		return Step{Begin: first, Skipped: first - p.Slot - 1}
	}
	next := Step{WaitUntil: s.DueAt(slot + 1)}
	if until, spent := s.Budget.exhausted(p, wall); spent {
		return Step{WaitUntil: until, BudgetExhausted: true}
	}
	if slot <= p.Slot || slot <= 0 {
		if p.Slot > slot { // the clock here is behind that of who began it
			next.WaitUntil = s.DueAt(p.Slot + 1)
		}
		return next
	}
	switch {
	case p.Slot == 0: // the first ever: nothing was missed
		if s.Missed == MissedSkip && wall.Sub(due) > s.Deadline {
			return next
		}
		return Step{Begin: slot}
	case s.Missed == MissedSkip && wall.Sub(due) > s.Deadline:
		return next
	case s.Missed == MissedRunEach:
		first := max(p.Slot+1, slot-MaxMissedSlots+1)
		return Step{Begin: first, Skipped: first - p.Slot - 1}
	}
	return Step{Begin: slot, Skipped: slot - p.Slot - 1}
}

// IdempotencyKey is the idempotency key of a slot: the same whoever asks for it.
func (s *Spec) IdempotencyKey(slot int64) string { return fmt.Sprintf("%s-%d", s.Name, slot) }
