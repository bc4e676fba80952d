package task

import "time"

// Step is the next step of the holder of a task's lease: to abandon a slot, to begin a slot, or to wait.
type Step struct {
	// Abandon is a slot to finish as OutcomeUnknown, because another process began it and it can't be run again. 0: none.
	Abandon int64
	// Begin is the slot to begin. 0: none.
	Begin int64
	// Rerun is set if another process has begun the slot Begin and running the slot again does no harm.
	Rerun bool
	// Skipped is the number of slots that are left out before Begin.
	Skipped int64
	// WaitUntil is the wall clock time of the next decision, if there is no slot to abandon or begin.
	WaitUntil time.Time
	// BudgetExhausted is set if the task waits for the next period of its budget.
	BudgetExhausted bool
}

// Next returns the next step of the holder of token. notBegunFor is the time, by the process's monotonic clock, since the open slot was
// last known not to be begun. It is below 0 if no such time is known; the idempotency key then counts as forgotten by the servers.
func (s *Spec) Next(record Record, token uint64, wall time.Time, notBegunFor time.Duration) Step {
	switch {
	case record.Open && record.BegunBy != token:
		return s.takeOver(record, notBegunFor)
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
	case record.Slot == 0: // the first slot of the task, so there are no missed slots
		return Step{Begin: slot}
	case s.Missed == MissedRunEach:
		return beginFrom(record, max(record.Slot+1, slot-MaxMissedSlots+1))
	}
	return beginFrom(record, slot)
}

// takeOver returns the step for an open slot that another process began.
func (s *Spec) takeOver(record Record, notBegunFor time.Duration) Step {
	keyRemembered := notBegunFor >= 0 && notBegunFor < s.KeyLifetime()
	rerun := s.Idempotency == Idempotent || s.dropsRepeats() && keyRemembered
	if !rerun {
		return Step{Abandon: record.Slot}
	}
	return Step{Begin: record.Slot, Rerun: true}
}

// beginFrom returns the step that begins a slot and skips the slots between the record's slot and this one.
func beginFrom(record Record, slot int64) Step {
	return Step{Begin: slot, Skipped: slot - record.Slot - 1}
}
