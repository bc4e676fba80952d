package fleet

import (
	"maps"
	"slices"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/task"
	"sorrelrudder/internal/zonefailover"
	"sorrelrudder/internal/zoneview"
)

// Status is what a process tells operators about itself.
type Status struct {
	Name         string                 `json:"name"`
	Incarnation  string                 `json:"incarnation"`
	Session      uint64                 `json:"session"`
	Superseded   bool                   `json:"superseded,omitempty"` // another process has taken over its name
	HeldLeases   map[string]HeldLease   `json:"holds,omitempty"`      // by name of the lease
	RunningSlots map[string]int64       `json:"running,omitempty"`    // slots with a request in flight, by task
	Fleet        string                 `json:"fleet,omitempty"`
	Leader       string                 `json:"leader,omitempty"`
	LinkErrors   map[string]string      `json:"link_errors,omitempty"` // by member: the last error of each, also of links that work again
	SentFrames   int64                  `json:"sent_frames"`
	SentBytes    int64                  `json:"sent_bytes"`
	Syncs        int64                  `json:"syncs,omitempty"`   // of the store, since the start
	Voter        *consensus.Status      `json:"council,omitempty"` // of its voter, if it has one
	VoterError   string                 `json:"failed,omitempty"`  // why its voter has stopped
	Tasks        map[string]task.Record `json:"tasks,omitempty"`
	SharedState  *SharedStateStatus     `json:"copies,omitempty"`
}

// HeldLease is a lease that a process may act on.
type HeldLease struct {
	Token  uint64 `json:"token"`   // fencing token
	LeftMs int64  `json:"left_ms"` // until the process must not act on it any more, unless it is renewed
}

// status calls then with what this process knows, without asking others: at once, or from the consensus goroutine if there is a voter.
func (h *Host) status(then func(*Status)) {
	s := h.localStatus()
	if h.store == nil {
		then(s)
		return
	}
	h.enqueue(func(v *voter) {
		if v.err != nil {
			s.VoterError = v.err.Error()
		}
		if v.node != nil {
			s.Voter = v.node.Status()
			s.Voter.StateMachine = s.Voter.StateMachine.Clone()
		}
		then(s)
	})
}

// localStatus is the status without that of the voter.
func (h *Host) localStatus() *Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	s := &Status{
		Name:         h.cfg.Name,
		Incarnation:  h.session.Incarnation(),
		Session:      h.session.SessionID(),
		Superseded:   h.session.Superseded(),
		HeldLeases:   map[string]HeldLease{},
		RunningSlots: map[string]int64{},
		Fleet:        h.fleetID,
		Leader:       h.leader.Leader(),
		LinkErrors:   maps.Clone(h.linkErrors),
		SentFrames:   h.traffic.frames.Load(),
		SentBytes:    h.traffic.bytes.Load(),
		SharedState:  h.sharedStateStatus(now),
	}
	if h.store != nil {
		s.Syncs = h.store.Syncs()
	}
	for _, name := range slices.Clone(h.session.Held(now)) {
		if token, until, ok := h.session.Token(now, name); ok {
			s.HeldLeases[name] = HeldLease{token, (until - now).Milliseconds()}
		}
	}
	for name, r := range h.runners {
		if slot := r.core.InFlightSlot(); slot != 0 {
			s.RunningSlots[name] = slot
		}
	}
	return s
}

// SharedStateStatus is what a process tells operators about its copy of the shared state.
type SharedStateStatus struct {
	Incarnation uint64              `json:"incarnation"`
	Members     map[string]string   `json:"members"`    // by name: alive, suspect, dead, left, unheard of
	Health      int                 `json:"health"`     // 0: healthy; more: by how much it lengthens its timeouts, since it is slow itself
	InStepMs    int64               `json:"in_step_ms"` // since its copy was seen to equal another's; below 0: not since the start
	DecidedMs   int64               `json:"decided_ms"` // age of the newest moment up to which all decisions are known here; below 0: not known
	Entries     []SharedEntryStatus `json:"entries"`
	Hints       []string            `json:"hints,omitempty"`           // endpoints that pools are told are unreachable
	NotApplied  []string            `json:"not_carried_out,omitempty"` // pools whose exclusions would leave no ready endpoint
	Hinted      int                 `json:"hinted"`                    // hints given since the start
	Zones       []ZoneStatus        `json:"zones,omitempty"`
	Digests     map[string]uint64   `json:"sums"` // digests, by kind of entry
	Stats       gossip.Stats        `json:"figures"`
	Counts      gossip.Counts       `json:"refused"`
}

// SharedEntryStatus is an entry of the shared state.
type SharedEntryStatus struct {
	Owner       string   `json:"owner"`
	Key         string   `json:"key"`
	Incarnation uint64   `json:"inc"` // incarnation and sequence number of its owner
	Sequence    uint64   `json:"seq"`
	Values      []string `json:"values,omitempty"` // none: deleted; several: conflicting contents of one version
}

// maxStatusEntries bounds the entries that a status lists.
const maxStatusEntries = 20000

// sharedStateStatus returns the status of the shared state, nil if the process has none. The caller has mu.
func (h *Host) sharedStateStatus(now time.Duration) *SharedStateStatus {
	shared := h.shared
	if shared == nil {
		return nil
	}
	s := &SharedStateStatus{
		Incarnation: shared.node.Incarnation(),
		Members:     map[string]string{},
		Health:      shared.node.HealthScore(),
		Hints:       shared.evidence.Hints(shared.node),
		Hinted:      shared.hinted,
		Zones:       shared.zonesStatus(),
		Digests:     map[string]uint64{},
		Stats:       shared.node.Stats,
		Counts:      shared.node.Store().Counts,
	}
	s.InStepMs, s.DecidedMs = shared.ages(now)
	for name := range h.cfg.Members {
		s.Members[name] = shared.node.Member(name).State.String()
	}
	for _, kind := range append([]string{gossip.UnreachableKind, zoneview.ZoneCheckKind, zoneview.GrayFailureKind}, consensus.DecisionKinds...) {
		s.Digests[kind] = shared.node.Store().Digest(kind)
	}
	for pool, notApplied := range shared.notApplied {
		if notApplied {
			s.NotApplied = append(s.NotApplied, pool)
		}
	}
	slices.Sort(s.NotApplied)
	shared.node.Store().ForEach("", func(e *gossip.Entry) bool {
		entry := SharedEntryStatus{Owner: e.Owner, Key: e.Key, Incarnation: e.Incarnation, Sequence: e.Sequence}
		for _, v := range e.Values() {
			entry.Values = append(entry.Values, string(v))
		}
		s.Entries = append(s.Entries, entry)
		return len(s.Entries) < maxStatusEntries
	})
	return s
}

// ZoneStatus is what a process tells operators about a zone of a pool.
type ZoneStatus struct {
	Pool      string `json:"pool"`
	Zone      string `json:"zone"`
	Endpoints int    `json:"servers"` // ready endpoints
	Excluded  int    `json:"avoided"` // those that are excluded here
	Epoch     uint64 `json:"epoch"`   // number of the last decision on the zone; 0: none
	Step      int    `json:"step"`    // of the recovery ramp: 0, the zone is left, to 4, it is wholly in use
	Pinned    bool   `json:"pinned,omitempty"`
	WarmingUp bool   `json:"cold,omitempty"`  // wholly in use, and its endpoints may still warm up
	Relapses  int    `json:"falls,omitempty"` // relapses during recovery
	Reason    string `json:"why,omitempty"`
	Cause     string `json:"cause,omitempty"` // of the latest verdict, at the process that judges
}

// zonesStatus returns the status of all zones of all pools. The caller has Host.mu.
func (s *sharedState) zonesStatus() (all []ZoneStatus) {
	for _, pool := range slices.Sorted(maps.Keys(s.zones.endpointZones)) {
		states, numbers := zoneview.ZoneStates(s.node, pool)
		ready, excluded := map[string]int{}, map[string]int{}
		for endpoint, zone := range s.zones.endpointZones[pool] {
			ready[zone]++
			if s.excluded[pool].excluded[endpoint] {
				excluded[zone]++
			}
		}
		for _, zone := range slices.Sorted(maps.Keys(ready)) {
			if zone == "" {
				continue
			}
			state, decided := states[zone]
			if !decided {
				state.Step = zonefailover.FullStep
			}
			all = append(all, ZoneStatus{
				Pool: pool, Zone: zone, Endpoints: ready[zone], Excluded: excluded[zone], Epoch: numbers[zone],
				Step: state.Step, Pinned: state.Manual, WarmingUp: state.WarmingUp, Relapses: state.Relapses, Reason: state.Reason,
				Cause: string(s.zones.lastCauses[pool+"/"+zone]),
			})
		}
	}
	return all
}
