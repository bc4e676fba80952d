package simulation

import (
	"bytes"
	"encoding/json"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/task"
	"sorrelrudder/internal/zoneview"
)

// maxSlotGap is how long before the end the last slot has to be sent.
const maxSlotGap = 3 * time.Second

// observer checks what has to hold at all times. Of the processes it sees only what they act on; the rest it records itself.
type observer struct {
	simulation *simulation

	// Leases.
	leases      []leaseSlots
	clocks      []time.Duration   // of the processes, at the present event
	checkedAt   time.Duration     // the last time
	tokenOwners map[uint64]string // the incarnation that has held each token
	maxTokens   map[string]uint64 // the largest that a resource has accepted, by lease

	// The task.
	lastSlotSent time.Duration
	executions   map[int64][]time.Duration // of slots, without the repeats that servers drop
	dedupKeys    map[string]time.Duration  // when servers first received a key

	zones *zoneObserver // nil: there are no zones
}

func newObserver(s *simulation) *observer {
	o := &observer{
		simulation:  s,
		leases:      append(append([]leaseSlots{}, s.leases...), leaseSlots{taskLease, 1}),
		tokenOwners: map[uint64]string{},
		maxTokens:   map[string]uint64{},
		executions:  map[int64][]time.Duration{},
		dedupKeys:   map[string]time.Duration{},
	}
	if s.servers != nil {
		o.leases = append(o.leases, leaseSlots{zoneview.LeaseName, 1})
		o.zones = newZoneObserver()
	}
	return o
}

// The checks of leases.

// checkHolders checks after each event that no lease has more holders than it has slots, by the clocks and the knowledge of the processes
// themselves. A process that is paused counts as one that acts the moment it goes on.
func (o *observer) checkHolders() {
	s := o.simulation
	o.readClocks()
	for _, l := range o.leases {
		holders := 0
		for i, p := range s.processes {
			if !p.up || o.clocks[i] >= p.session.ValidUntil() {
				continue
			}
			token, _, held := p.session.Token(o.clocks[i], l.name)
			if !held {
				continue
			}
			holders++
			o.checkTokenOwner(l, p, token)
		}
		if holders > l.limit {
			s.reportViolation("two holders: %d hold %q, of which %d may", holders, l.name, l.limit)
		}
		if holders == 0 && s.now > o.checkedAt {
			s.counts["unheld_s"] += (s.now - o.checkedAt).Seconds() / 3
		}
	}
	o.checkedAt = s.now
}

// readClocks reads the clocks of all processes.
func (o *observer) readClocks() {
	o.clocks = o.clocks[:0]
	for _, p := range o.simulation.processes {
		o.clocks = append(o.clocks, p.clock())
	}
}

// checkTokenOwner checks that a token belongs to one incarnation of one process for ever.
func (o *observer) checkTokenOwner(l leaseSlots, p *process, token uint64) {
	switch owner := o.tokenOwners[token]; owner {
	case "":
		o.tokenOwners[token] = p.incarnation
		o.simulation.trace("%s holds %s by %d", p.name, l.name, token)
	case p.incarnation:
	default:
		o.simulation.reportViolation("token %d is held by %s and was held by %s", token, p.incarnation, owner)
	}
}

// acted checks an act on a lease's resource, which accepts no token that is smaller than one before it. A holder that does not act late
// never has such a token. Resources of leases with several slots accept all.
func (o *observer) acted(l leaseSlots, p *process, token uint64, late bool) {
	s := o.simulation
	s.counts["acts"]++
	if l.limit > 1 {
		return
	}
	newest := o.maxTokens[l.name]
	if token >= newest {
		o.maxTokens[l.name] = token
		return
	}
	if s.options.Bug == BugNoFencing {
		s.reportViolation("an act with token %d was accepted after one with %d", token, newest)
	}
	s.counts["acts_refused_by_token"]++
	if !late {
		s.reportViolation("%s acted on %q with token %d while it held it, after an act with %d", p.name, l.name, token, newest)
	}
}

// checkAllHeld checks at the end that all slots of the leases are held, since there are enough processes that want them.
func (o *observer) checkAllHeld() {
	for _, l := range o.leases {
		holders := 0
		for _, p := range o.simulation.processes {
			if _, _, held := p.session.Token(p.clock(), l.name); held {
				holders++
			}
		}
		if holders != l.limit {
			o.simulation.reportViolation("%d hold %q at the end, where %d may and more want", holders, l.name, l.limit)
		}
	}
}

// The checks of the task.

// slotSent records that a slot's request was sent.
func (o *observer) slotSent() {
	o.lastSlotSent = o.simulation.now
	o.simulation.counts["slots_sent"]++
}

// slotReceived checks that a slot is executed only once, unless the task is idempotent. A server drops repeats of a key within the dedup
// window.
func (o *observer) slotReceived(slot task.SlotRequest) {
	s := o.simulation
	if s.task.Idempotency == task.IdempotentByKey {
		if first, received := o.dedupKeys[slot.Key]; received && s.now < first+s.task.DedupWindow {
			return
		}
		o.dedupKeys[slot.Key] = s.now
	}
	s.trace("slot %d is done", slot.Slot)
	o.executions[slot.Slot] = append(o.executions[slot.Slot], s.now)
	s.counts["slots_done"]++
	if n := len(o.executions[slot.Slot]); n > 1 && s.task.Idempotency != task.Idempotent {
		s.reportViolation("slot %d was done %d times", slot.Slot, n)
	}
}

// checkSlotsSent checks at the end that slots are still sent.
func (o *observer) checkSlotsSent() {
	if idle := o.simulation.now - o.lastSlotSent; idle > maxSlotGap {
		o.simulation.reportViolation("no slot was sent in the last %v, and one is due every %v", idle, o.simulation.task.Interval)
	}
}

// checkSlotRecord checks at the end that no slot is recorded as done that was not executed.
func (o *observer) checkSlotRecord(record task.Record) {
	s := o.simulation
	executed := int64(len(o.executions))
	if recorded := record.OutcomeCounts[task.OutcomeDone]; recorded > executed {
		s.reportViolation("%d slots are written down as done, and %d were", recorded, executed)
	}
	for outcome, n := range record.OutcomeCounts {
		s.counts["slots_"+string(outcome)+"_told"] += float64(n)
	}
}

// The checks of the end.

// finish checks the end of the run, by which all faults have been over for a while.
func (o *observer) finish() {
	decided := o.checkReplicasEqual()
	if o.simulation.options.SharedState {
		o.checkSharedStateEqual(decided)
		o.checkZonesRecovered()
	}
	o.checkAllHeld()
	o.checkSlotsSent()
	record := task.Record{}
	if decided != nil {
		if stored := decided.Tasks.Tasks[o.simulation.task.Name]; stored != nil {
			record = *stored
		}
	}
	o.checkSlotRecord(record)
}

// checkReplicasEqual checks that all voters that have applied the whole log hold the same state, and returns it; nil if there is none.
func (o *observer) checkReplicasEqual() *consensus.StateMachine {
	s := o.simulation
	applied := o.maxApplied()
	var first []byte
	var decided *consensus.StateMachine
	for _, p := range s.processes {
		if p.node == nil || p.node.Status().Applied != applied {
			continue
		}
		replica := p.node.StateMachine()
		data, err := json.Marshal(replica)
		if err != nil {
			s.reportViolation("%v", err)
		}
		if first != nil && !bytes.Equal(first, data) {
			s.reportViolation("two copies of the state differ at %d", applied)
		}
		first, decided = data, replica
	}
	return decided
}

// maxApplied returns the largest index that a voter has applied.
func (o *observer) maxApplied() uint64 {
	var applied uint64
	for _, p := range o.simulation.processes {
		if p.node != nil {
			applied = max(applied, p.node.Status().Applied)
		}
	}
	return applied
}
