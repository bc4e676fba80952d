package task

// staleWaiterRounds is the number of rounds of OpBegin commands after which a waiting task that has sent none itself loses its place. The
// holder of such a task has died, or its slot is no longer due. Rounds replace a timeout, because the registry has no clock and all
// waiting tasks repeat OpBegin about equally often.
const staleWaiterRounds = 8

// admit reports whether a slot may be begun without exceeding Command.MaxOpen open slots in the whole fleet. Waiting tasks are admitted by
// descending priority, and for equal priorities by descending waiting time. A slot that a dead holder left open counts until another
// holder finishes it.
func (r *Registry) admit(record *Record, c Command) bool {
	if c.MaxOpen <= 0 {
		record.stopWaiting()
		return true
	}
	r.AdmissionSeq++
	record.PassedOver, record.Priority = 0, c.Priority
	if record.WaitingSince == 0 {
		record.WaitingSince = r.AdmissionSeq
	}
	open, waiting := 0, 0
	var ahead []*Record
	for _, other := range r.Tasks {
		if other == record {
			continue
		}
		if other.Open {
			open++
		}
		if other.WaitingSince != 0 {
			waiting++
			if other.isAheadOf(record) {
				ahead = append(ahead, other)
			}
		}
	}
	free := c.MaxOpen - open
	if free <= 0 {
		return false
	}
	for _, other := range ahead {
		if other.passOver(waiting) {
			free--
		}
	}
	if free <= 0 {
		return false
	}
	record.stopWaiting()
	return true
}

// isAheadOf reports whether a waiting task is admitted before another one.
func (record *Record) isAheadOf(other *Record) bool {
	if record.Priority != other.Priority {
		return record.Priority > other.Priority
	}
	return record.WaitingSince < other.WaitingSince
}

// passOver records an OpBegin command of another task, and reports whether a place stays reserved for this waiting task. The place is given
// up once the task has sent no command of its own for staleWaiterRounds rounds. waiting is the number of waiting tasks except the sender
// of the command, so a round has waiting+1 commands.
func (record *Record) passOver(waiting int) bool {
	record.PassedOver++
	if record.PassedOver > staleWaiterRounds*(waiting+1) {
		record.stopWaiting()
		return false
	}
	return true
}

// stopWaiting marks a task as no longer waiting.
func (record *Record) stopWaiting() { record.WaitingSince, record.PassedOver = 0, 0 }
