package task

import (
	"errors"
	"fmt"
	"hash/fnv"
	"time"
)

// Idempotency is what running a slot twice would do.
type Idempotency int

// Degrees of idempotency.
const (
	Idempotent      Idempotency = iota // running it again does no harm
	IdempotentByKey                    // the servers ignore a repeat while they remember its idempotency key
	NonIdempotent                      // running it again does harm
)

// MissedPolicy is what is done about slots that were due while nobody could run them.
type MissedPolicy string

// Policies for missed slots.
const (
	MissedSkip      MissedPolicy = "skip" // a slot that is later than its deadline is left out
	MissedRunNewest MissedPolicy = "once" // the newest is run, however late, and older ones are left out
	MissedRunEach   MissedPolicy = "each" // all are run in order, MaxMissedSlots at most
)

// MaxMissedSlots bounds the slots that MissedRunEach makes up for; older ones are left out.
const MaxMissedSlots = 100

// Spec is the configuration of a task.
type Spec struct {
	Name     string
	Interval time.Duration // from slot to slot
	Offset   time.Duration // of the slots within a day; they are counted from 1970-01-01 UTC
	// Spread bounds a further offset that is fixed by the name, so that tasks of equal times do not come together.
	Spread      time.Duration
	Missed      MissedPolicy
	Idempotency Idempotency
	// DedupWindow is how long the servers remember an idempotency key (IdempotentByKey).
	DedupWindow   time.Duration
	Deadline      time.Duration // of each request
	MaxAttempts   int           // requests for one slot, where a repeat does no harm
	MaxClockDrift float64       // bounds how far each clock's rate is from true time, as a fraction
	MaxOpen       int           // slots of all tasks that may be open at once in the fleet; 0: no bound
	Priority      int           // the largest goes first where MaxOpen is reached
	Budget        Budget
}

// Validate returns an error that names the value that can't be used.
func (s *Spec) Validate() error {
	if err := s.validateSchedule(); err != nil {
		return err
	}
	switch {
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

func (s *Spec) validateSchedule() error {
	switch {
	case s.Name == "":
		return errors.New("a task without a name")
	case s.Interval < time.Millisecond:
		return fmt.Errorf("task %q: every %v is more often than every millisecond", s.Name, s.Interval)
	case s.Offset < 0 || s.Offset >= max(s.Interval, 24*time.Hour):
		return fmt.Errorf("task %q: at %v lies outside a day", s.Name, s.Offset)
	case s.Spread < 0 || s.Spread > s.Interval:
		return fmt.Errorf("task %q: a spread of %v is not between 0 and %v", s.Name, s.Spread, s.Interval)
	}
	return nil
}

// KeyLifetime is how long after a slot was known not to be begun its idempotency key may be sent again, by this process's clock. What is
// sent then may run as late as its deadline, and the servers must remember the first run even then.
func (s *Spec) KeyLifetime() time.Duration {
	return time.Duration(float64(s.DedupWindow)*(1-s.MaxClockDrift)/(1+s.MaxClockDrift)) - s.Deadline
}

// IdempotencyKey is the key of a slot's requests, the same whichever process sends them.
func (s *Spec) IdempotencyKey(slot int64) string { return fmt.Sprintf("%s-%d", s.Name, slot) }

// SlotAt returns the newest slot that is due at a wall clock's time, and when it was due. The wall clock only numbers slots. That each is
// begun once is up to the registry: a clock that is wrong makes a slot early, late or left out, and never doubled.
func (s *Spec) SlotAt(wall time.Time) (slot int64, due time.Time) {
	since := wall.Sub(time.Unix(0, 0)) - s.slotOffset()
	slot = int64(since / s.Interval)
	return slot, s.DueAt(slot)
}

// DueAt is when a slot is due, by a wall clock.
func (s *Spec) DueAt(slot int64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(slot)*s.Interval + s.slotOffset())
}

// slotOffset is where in an interval its slot is due.
func (s *Spec) slotOffset() time.Duration {
	offset := s.Offset % s.Interval
	if s.Spread > 0 {
		h := fnv.New64a()
		h.Write([]byte(s.Name))
		offset += time.Duration(h.Sum64() % uint64(s.Spread))
	}
	return offset
}
