package task

import "time"

// Step is what the holder of a task's lease is to do next: abandon a slot, begin one, or wait.
type Step struct {
	// Abandon is a slot that another process began and that can't be run again: it is to be finished as OutcomeUnknown. 0: none.
	Abandon int64
	// Begin is the slot to begin. 0: none.
	Begin int64
	// Rerun tells that another process has begun the slot, and running it again does no harm.
	Rerun bool
	// Skipped is the number of slots before Begin that are left out.
	Skipped int64
	// WaitUntil is when there may be something to do, by the wall clock.
	WaitUntil time.Time
	// BudgetExhausted tells that the next period of the budget is waited for.
	BudgetExhausted bool
}

// Next decides what the holder of token does. notBegunFor is how long ago, by the process's monotonic clock, the process knows for
// certain that the open slot had not been begun; below 0: it does not know, and takes the idempotency key for forgotten.
func (s *Spec) Next(record Record, token uint64, wall time.Time, notBegunFor time.Duration) Step {
	switch {
	case record.Open && record.BegunBy != token:
		return s.stepForOthersSlot(record, notBegunFor)
	case record.Open:
		return Step{WaitUntil: wall.Add(s.Deadline)}
	}
	slot, due := s.SlotAt(wall)
	if record.Triggered && record.Slot > 0 {
		return beginFrom(record, max(record.Slot+1, slot))
	}
	if until, exhausted := s.Budget.exhausted(record, wall); exhausted {
		return Step{WaitUntil: until, BudgetExhausted: true}
	}
	if slot <= record.Slot || slot <= 0 {
		return Step{WaitUntil: s.DueAt(max(slot, record.Slot) + 1)}
	}
	late := wall.Sub(due) > s.Deadline
	switch {
	case s.Missed == MissedSkip && late:
		return Step{WaitUntil: s.DueAt(slot + 1)}
	case record.Slot == 0: // the first ever: nothing was missed
		return Step{Begin: slot}
	case s.Missed == MissedRunEach:
		return beginFrom(record, max(record.Slot+1, slot-MaxMissedSlots+1))
	}
	return beginFrom(record, slot)
}

// stepForOthersSlot decides about a slot that another process began and did not finish.
func (s *Spec) stepForOthersSlot(record Record, notBegunFor time.Duration) Step {
	rerun := false
	switch s.Idempotency {
	case Idempotent:
		rerun = true
	case IdempotentByKey:
		rerun = notBegunFor >= 0 && notBegunFor < s.KeyLifetime()
	}
	if !rerun {
		return Step{Abandon: record.Slot}
	}
	return Step{Begin: record.Slot, Rerun: true}
}

// beginFrom begins a slot and leaves out those between the newest and it.
func beginFrom(record Record, slot int64) Step {
	return Step{Begin: slot, Skipped: slot - record.Slot - 1}
}
