package task

import (
	"errors"
	"fmt"
	"hash/fnv"
	"time"
)

// Idempotency is the effect of running a slot twice.
type Idempotency int

// Degrees of idempotency.
const (
	Idempotent      Idempotency = iota // running a slot again does no harm
	IdempotentByKey                    // the servers ignore a repeated request while they remember its idempotency key
	NonIdempotent                      // running a slot again does harm
)

// MissedPolicy determines which missed slots are run later. A slot is missed if no process could run it when it was due.
type MissedPolicy string

// Policies for missed slots.
const (
	MissedSkip      MissedPolicy = "skip" // a slot is left out once it has been due for longer than Spec.Deadline
	MissedRunNewest MissedPolicy = "once" // the newest slot is run, however late, and older slots are left out
	MissedRunEach   MissedPolicy = "each" // the newest MaxMissedSlots slots are run in order
)

// MaxMissedSlots is the largest number of missed slots that MissedRunEach runs. Older slots are left out.
const MaxMissedSlots = 100

// Spec is the configuration of a task.
type Spec struct {
	Name     string
	Interval time.Duration // between two slots
	Offset   time.Duration // offset of the slots within a day; slots are counted from 1970-01-01 UTC
	// Spread bounds a further offset that is derived from the name, so that tasks with the same schedule don't run at the same time.
	Spread      time.Duration
	Missed      MissedPolicy
	Idempotency Idempotency
	// DedupWindow is how long the servers remember an idempotency key (IdempotentByKey).
	DedupWindow time.Duration
	// DedupEverywhere reports whether each server drops the repeats of a request that another server has executed (IdempotentByKey).
	// Otherwise only the servers of its zone or cell do.
	DedupEverywhere bool
	Deadline        time.Duration // timeout of each request
	MaxAttempts     int           // bound on the requests for one slot, if a repeat does no harm
	MaxClockDrift   float64       // bound on the deviation of each clock's rate from true time, as a fraction
	MaxOpen         int           // bound on the open slots of all tasks in the fleet; 0: no bound
	Priority        int           // tasks that wait because of MaxOpen are admitted by descending priority
	Budget          Budget
}

// Validate returns an error that names the first invalid value, or nil.
func (s *Spec) Validate() error {
	if err := s.validateSchedule(); err != nil {
		return err
	}
	switch {
	case s.Deadline <= 0:
		return fmt.Errorf("task %q: the deadline must be above 0", s.Name)
	case s.MaxOpen < 0 || s.MaxAttempts < 0:
		return fmt.Errorf("task %q: the bounds on open slots and on attempts must not be negative", s.Name)
	case s.Budget.Period > 0 && s.Budget.MaxRequests == 0 && s.Budget.MaxRequestTime == 0:
		return fmt.Errorf("task %q: the budget bounds neither requests nor time", s.Name)
	case s.Budget.Period == 0 && (s.Budget.MaxRequests != 0 || s.Budget.MaxRequestTime != 0), s.Budget.Period < 0, s.Budget.MaxRequests < 0, s.Budget.MaxRequestTime < 0:
		return fmt.Errorf("task %q: the budget must have a period above 0 and no negative bound", s.Name)
	case s.Idempotency == IdempotentByKey && s.DedupWindow <= s.Deadline:
		return fmt.Errorf("task %q: the servers remember an idempotency key for %v, want longer than the deadline of %v", s.Name, s.DedupWindow, s.Deadline)
	}
	return nil
}

// validateSchedule checks the name and the times of the slots.
func (s *Spec) validateSchedule() error {
	switch {
	case s.Name == "":
		return errors.New("the task has no name")
	case s.Interval < time.Millisecond:
		return fmt.Errorf("task %q: every is %v, want at least 1ms", s.Name, s.Interval)
	case s.Offset < 0 || s.Offset >= max(s.Interval, 24*time.Hour):
		return fmt.Errorf("task %q: at is %v, want at least 0 and below a day, or below the interval if the interval is longer", s.Name, s.Offset)
	case s.Spread < 0 || s.Spread > s.Interval:
		return fmt.Errorf("task %q: the spread is %v, want from 0 to the interval of %v", s.Name, s.Spread, s.Interval)
	}
	return nil
}

// dropsRepeats reports whether a slot that may have run may be sent again while its idempotency key is remembered: its next request may go
// to any server.
func (s *Spec) dropsRepeats() bool { return s.Idempotency == IdempotentByKey && s.DedupEverywhere }

// KeyLifetime returns how long the idempotency key of a slot may be sent again, counted by this process's clock from a time before its first
// run. A request may run as late as its deadline. The servers must still remember the key of the first run at that time.
func (s *Spec) KeyLifetime() time.Duration {
	return time.Duration(float64(s.DedupWindow)*(1-s.MaxClockDrift)/(1+s.MaxClockDrift)) - s.Deadline
}

// IdempotencyKey returns the key of a slot's requests. It does not depend on the process that sends them.
func (s *Spec) IdempotencyKey(slot int64) string { return fmt.Sprintf("%s-%d", s.Name, slot) }

// SlotAt returns the newest slot that is due at a wall clock time, and when the slot became due. The wall clock only determines slot
// numbers. The registry ensures that each slot is begun once, so a wrong clock makes a slot early, late or skipped, but never runs it
// twice.
func (s *Spec) SlotAt(wall time.Time) (slot int64, due time.Time) {
	since := wall.Sub(time.Unix(0, 0)) - s.slotOffset()
	slot = int64(since / s.Interval)
	return slot, s.DueAt(slot)
}

// DueAt returns the wall clock time at which a slot becomes due.
func (s *Spec) DueAt(slot int64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(slot)*s.Interval + s.slotOffset())
}

// slotOffset returns the offset of a slot within its interval.
func (s *Spec) slotOffset() time.Duration {
	offset := s.Offset % s.Interval
	if s.Spread > 0 {
		h := fnv.New64a()
		h.Write([]byte(s.Name))
		offset += time.Duration(h.Sum64() % uint64(s.Spread))
	}
	return offset
}
