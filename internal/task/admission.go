package task

// staleWaiterRounds is the number of rounds of requests after which a waiting task that asks no more loses its place: its holder has died,
// or its slot is no longer due. The registry has no clock; all that wait ask about equally often.
const staleWaiterRounds = 8

// admit reports whether a slot may be begun beside those that are open in the whole fleet, by Command.MaxOpen. Of the tasks that wait the
// one of the largest priority goes first, then the one that has waited longest. A slot that a dead holder left open counts until another
// has taken it up.
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

func (record *Record) isAheadOf(other *Record) bool {
	if record.Priority != other.Priority {
		return record.Priority > other.Priority
	}
	return record.WaitingSince < other.WaitingSince
}

// passOver keeps a place for a waiting task, while another asks. It reports false, and gives the place up, if the task has not asked for
// staleWaiterRounds rounds, each of waiting others and the one that asks.
func (record *Record) passOver(waiting int) bool {
	record.PassedOver++
	if record.PassedOver > staleWaiterRounds*(waiting+1) {
		record.stopWaiting()
		return false
	}
	return true
}

func (record *Record) stopWaiting() { record.WaitingSince, record.PassedOver = 0, 0 }
