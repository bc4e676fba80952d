package task

import (
	"errors"
	"fmt"
	"hash/fnv"
	"time"
)

// Effect is what doing it twice would do.
type Effect int

const (
	Safe   Effect = iota // nothing
	Keyed                // nothing while the servers remember the key
	Unsafe               // harm
)

// Missed is what is done about slots that were due while nobody could do them.
type Missed string

const (
	Skip Missed = "skip" // a slot that is later than its deadline is left out
	Once Missed = "once" // the newest is done, however late, and the older are left out
	Each Missed = "each" // all are done in their order, MostBehind at most
)

// MostBehind bounds the slots that Each makes up for; older ones are left out.
const MostBehind = 100

// Spec is a task as the operator's file has it.
type Spec struct {
	Name     string
	Every    time.Duration // from slot to slot
	At       time.Duration // of the first in a day; slots are counted from midnight UTC of 1970-01-01 on
	Spread   time.Duration // a part of it, fixed by the name, is added: tasks of equal times do not come together
	Missed   Missed
	Effect   Effect
	Window   time.Duration // Keyed: how long the servers remember a key
	Deadline time.Duration // of each request
	Tries    int           // requests for one slot, where a repeat does no harm
	Drift    float64       // bounds how far each clock's rate is from true time
	Most     int           // slots of all tasks that may be open at once over the fleet; 0: no bound
	Priority int           // of those that wait for that the largest goes first
	Budget   Budget
}

// Budget bounds what a task may cost in each period. Once it is spent nothing more is begun until the next period, and the slots
// meanwhile are missed ones. A slot that has begun is not cut off by it, so that one may be overdrawn by one slot.
type Budget struct {
	Per      time.Duration // of a period, counted as slots are; 0: no budget
	Requests int64         // 0: any
	Time     time.Duration // that requests were out; 0: any
}

// period is which one it is by a wall clock.
func (b *Budget) period(wall time.Time) int64 {
	if b.Per == 0 {
		return 0
	}
	return int64(wall.Sub(time.Unix(0, 0)) / b.Per)
}

// spent reports whether a task has had its part of the present period, and when the next one begins.
func (b *Budget) spent(p Page, wall time.Time) (until time.Time, spent bool) {
	now := b.period(wall)
	if b.Per == 0 || p.Period < now {
		return until, false
	}
	until = time.Unix(0, 0).Add(time.Duration(p.Period+1) * b.Per)
	return until, b.Requests > 0 && p.Requests >= b.Requests || b.Time > 0 && p.TookMs >= b.Time.Milliseconds()
}

// Fresh is for how long after the newest moment at which a slot was surely not begun its key may be sent again, by this process' clock:
// what is sent then may run as late as its deadline, and the servers must remember the first run even then.
func (s *Spec) Fresh() time.Duration {
	return time.Duration(float64(s.Window)*(1-s.Drift)/(1+s.Drift)) - s.Deadline
}

// Check says what is wrong with s.
func (s *Spec) Check() error {
	switch {
	case s.Name == "":
		return errors.New("a task without a name")
	case s.Every < time.Millisecond:
		return fmt.Errorf("task %q: every %v is more often than every millisecond", s.Name, s.Every)
	case s.At < 0 || s.At >= max(s.Every, 24*time.Hour):
		return fmt.Errorf("task %q: at %v lies outside a day", s.Name, s.At)
	case s.Spread < 0 || s.Spread > s.Every:
		return fmt.Errorf("task %q: a spread of %v is not between 0 and %v", s.Name, s.Spread, s.Every)
	case s.Deadline <= 0:
		return fmt.Errorf("task %q: no deadline", s.Name)
	case s.Most < 0 || s.Tries < 0:
		return fmt.Errorf("task %q: a bound below 0", s.Name)
	case s.Budget.Per > 0 && s.Budget.Requests == 0 && s.Budget.Time == 0:
		return fmt.Errorf("task %q: a budget that names neither requests nor time", s.Name)
	case s.Budget.Per == 0 && (s.Budget.Requests != 0 || s.Budget.Time != 0), s.Budget.Per < 0, s.Budget.Requests < 0, s.Budget.Time < 0:
		return fmt.Errorf("task %q: a budget without the period that it is for", s.Name)
	case s.Effect == Keyed && s.Window <= s.Deadline:
		return fmt.Errorf("task %q: its servers forget a key after %v, no later than its deadline of %v", s.Name, s.Window, s.Deadline)
	}
	return nil
}

// offset is where in Every a slot begins.
func (s *Spec) offset() time.Duration {
	h := fnv.New64a()
	h.Write([]byte(s.Name))
	at := s.At % s.Every
	if s.Spread > 0 {
		at += time.Duration(h.Sum64() % uint64(s.Spread))
	}
	return at
}

// Slot is the newest slot that is due at a wall clock's time, and when it was due. Wall clocks only give slots their numbers: that a
// slot is begun once is the book's doing, so that a clock that is wrong makes a slot early, late or left out, and never doubled.
func (s *Spec) Slot(wall time.Time) (slot int64, due time.Time) {
	since := wall.Sub(time.Unix(0, 0)) - s.offset()
	slot = int64(since / s.Every)
	return slot, s.Due(slot)
}

// Due is when a slot is due, by a wall clock.
func (s *Spec) Due(slot int64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(slot)*s.Every + s.offset())
}

// Step is what the holder of a task's lease does next.
type Step struct {
	// Finish is a slot that was begun by another and can't be begun again: it is to be finished as Unknown. 0: none.
	Finish int64
	// Begin is the slot to begin; 0: none. Again: another has begun it, and a repeat does no harm.
	Begin   int64
	Again   bool
	Skipped int64     // slots before it that are left out
	Until   time.Time // nothing to do before, by the wall clock
	Spent   bool      // the budget is what is waited for
}

// Next decides what a holder with that token does. unopened is how long ago, by its own monotonic clock, the process knows for certain
// that the open slot had not been begun; below 0: it does not know, and takes the key for forgotten.
func (s *Spec) Next(p Page, token uint64, wall time.Time, unopened time.Duration) Step {
	if p.Open && p.By != token {
		again := false
		switch s.Effect {
		case Safe:
			again = true
		case Keyed:
			again = unopened >= 0 && unopened < s.Fresh()
		}
		if !again {
			return Step{Finish: p.Slot}
		}
		return Step{Begin: p.Slot, Again: true}
	}
	if p.Open { // it is this process' own, and runs
		return Step{Until: wall.Add(s.Deadline)}
	}
	slot, due := s.Slot(wall)
	if p.Called && p.Slot > 0 {
		first := max(p.Slot+1, slot)
		return Step{Begin: first, Skipped: first - p.Slot - 1}
	}
	next := Step{Until: s.Due(slot + 1)}
	if until, spent := s.Budget.spent(p, wall); spent {
		return Step{Until: until, Spent: true}
	}
	if slot <= p.Slot || slot <= 0 {
		if p.Slot > slot { // the clock here is behind that of who began it
			next.Until = s.Due(p.Slot + 1)
		}
		return next
	}
	switch {
	case p.Slot == 0: // the first ever: nothing was missed
		if s.Missed == Skip && wall.Sub(due) > s.Deadline {
			return next
		}
		return Step{Begin: slot}
	case s.Missed == Skip && wall.Sub(due) > s.Deadline:
		return next
	case s.Missed == Each:
		first := max(p.Slot+1, slot-MostBehind+1)
		return Step{Begin: first, Skipped: first - p.Slot - 1}
	}
	return Step{Begin: slot, Skipped: slot - p.Slot - 1}
}

// Key is the idempotency key of a slot: the same whoever asks for it.
func (s *Spec) Key(slot int64) string { return fmt.Sprintf("%s-%d", s.Name, slot) }
