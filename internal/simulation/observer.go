package simulation

import (
	"bytes"
	"encoding/json"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/task"
	"sorrelrudder/internal/zoneview"
)

// maxSlotGap is the longest allowed time between the last slot that was sent and the end of a run.
const maxSlotGap = 3 * time.Second

// observer checks the invariants of a run. Of the processes it reads only the state that they act on, such as held leases and applied
// decisions. It records everything else itself.
type observer struct {
	simulation *simulation

	// Leases.
	leases      []leaseSlots
	clocks      []time.Duration   // clocks of the processes at the current event
	checkedAt   time.Duration     // time of the latest checkHolders
	tokenOwners map[uint64]string // by token: the incarnation that has held it
	maxTokens   map[string]uint64 // by lease: the largest token that its resource has accepted

	// Task.
	lastSlotSent time.Duration
	executions   map[int64][]time.Duration // by slot: times of its executions, without duplicates that the server dropped
	dedupKeys    map[string]time.Duration  // by idempotency key: when the server first received it

	zones *zoneObserver // nil without zone failover
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

// Checks of leases.

// checkHolders checks that no lease has more holders than slots. It runs after each event, and judges each process by the process's own
// clock and session. A paused process counts as a holder too, since it may use the lease as soon as it continues. The count unheld_s is the
// time without any holder, summed over all leases and divided by 3, the number of leases without zone failover.
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
		if holders == 0 && s.Now() > o.checkedAt {
			s.counts["unheld_s"] += (s.Now() - o.checkedAt).Seconds() / 3
		}
	}
	o.checkedAt = s.Now()
}

// readClocks stores the current time of each process's clock in clocks.
func (o *observer) readClocks() {
	o.clocks = o.clocks[:0]
	for _, p := range o.simulation.processes {
		o.clocks = append(o.clocks, p.clock())
	}
}

// checkTokenOwner checks that only one incarnation of one process ever holds a token.
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

// checkAccess checks an access to the resource that a lease protects. The resource rejects a token that is smaller than one that it has
// accepted before. Only a late access, delayed after the holder checked its lease, may be rejected. The resource of a lease with several
// slots accepts all tokens.
func (o *observer) checkAccess(l leaseSlots, p *process, token uint64, late bool) {
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

// checkAllHeld checks at the end of a run that all slots of each lease are held: every process wants every lease, and there are more
// processes than slots.
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

// Checks of the task.

// slotSent records that the request for a slot was sent.
func (o *observer) slotSent() {
	o.lastSlotSent = o.simulation.Now()
	o.simulation.counts["slots_sent"]++
}

// slotReceived records that a server received the request for a slot, and checks that a slot is executed only once unless the task is
// idempotent. The server drops duplicates of an idempotency key within the dedup window.
func (o *observer) slotReceived(slot task.SlotRequest) {
	s := o.simulation
	if s.task.Idempotency == task.IdempotentByKey {
		if first, received := o.dedupKeys[slot.Key]; received && s.Now() < first+s.task.DedupWindow {
			return
		}
		o.dedupKeys[slot.Key] = s.Now()
	}
	s.trace("slot %d is done", slot.Slot)
	o.executions[slot.Slot] = append(o.executions[slot.Slot], s.Now())
	s.counts["slots_done"]++
	if n := len(o.executions[slot.Slot]); n > 1 && s.task.Idempotency != task.Idempotent {
		s.reportViolation("slot %d was done %d times", slot.Slot, n)
	}
}

// checkSlotsSent checks at the end of a run that slots are still being sent.
func (o *observer) checkSlotsSent() {
	if idle := o.simulation.Now() - o.lastSlotSent; idle > maxSlotGap {
		o.simulation.reportViolation("no slot was sent in the last %v, and one is due every %v", idle, o.simulation.task.Interval)
	}
}

// checkSlotRecord checks at the end of a run that the task's record counts no more slots as done than were executed.
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

// Checks at the end of a run.

// finish runs the checks at the end of a run, when all faults have been over since healedAt.
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

// checkReplicasEqual checks that all voters that have applied the whole log hold the same state. It returns this state, or nil if there is
// no such voter.
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

// maxApplied returns the largest log index that any voter has applied.
func (o *observer) maxApplied() uint64 {
	var applied uint64
	for _, p := range o.simulation.processes {
		if p.node != nil {
			applied = max(applied, p.node.Status().Applied)
		}
	}
	return applied
}
