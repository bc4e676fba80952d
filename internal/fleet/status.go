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

// Status is the status of a process, as reported to operators.
type Status struct {
	Name         string                 `json:"name"`
	Incarnation  string                 `json:"incarnation"`
	Session      uint64                 `json:"session"`
	Superseded   bool                   `json:"superseded,omitempty"` // another process has taken over its name
	HeldLeases   map[string]HeldLease   `json:"holds,omitempty"`      // by name of the lease
	RunningSlots map[string]int64       `json:"running,omitempty"`    // slots with a request in flight, by task
	Fleet        string                 `json:"fleet,omitempty"`
	Leader       string                 `json:"leader,omitempty"`
	LinkErrors   map[string]string      `json:"link_errors,omitempty"` // last error of each link by member, even if the link works again
	SentFrames   int64                  `json:"sent_frames"`
	SentBytes    int64                  `json:"sent_bytes"`
	Syncs        int64                  `json:"syncs,omitempty"`   // synced writes of the store since the start
	Voter        *consensus.Status      `json:"council,omitempty"` // status of the voter, if the process has one
	VoterError   string                 `json:"failed,omitempty"`  // why the voter has stopped
	Tasks        map[string]task.Record `json:"tasks,omitempty"`
	SharedState  *SharedStateStatus     `json:"copies,omitempty"`
}

// HeldLease is a lease that a process may act on.
type HeldLease struct {
	Token  uint64 `json:"token"`   // fencing token
	LeftMs int64  `json:"left_ms"` // until the process may no longer act on the lease, unless the lease is renewed
}

// status calls callback with this process's own view, without requests to other members. callback is called at once, or from the consensus
// goroutine if there is a voter.
func (h *Host) status(callback func(*Status)) {
	s := h.localStatus()
	if h.store == nil {
		callback(s)
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
		callback(s)
	})
}

// localStatus returns the status without the voter's part.
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

// SharedStateStatus is the status of a process's copy of the shared state, as reported to operators.
type SharedStateStatus struct {
	Incarnation uint64              `json:"incarnation"`
	Members     map[string]string   `json:"members"`    // by name: alive, suspect, dead, left, unheard of
	Health      int                 `json:"health"`     // 0: healthy; above 0: the process itself is slow, and multiplies its timeouts by 1+Health
	InStepMs    int64               `json:"in_step_ms"` // since the copy was last seen to equal another member's (InSync); negative: not since start
	DecidedMs   int64               `json:"decided_ms"` // since the copy was last known to contain all decisions; negative: not since the start
	Entries     []SharedEntryStatus `json:"entries"`
	Hints       []string            `json:"hints,omitempty"`           // keys of the endpoints about which pools get hints
	NotApplied  []string            `json:"not_carried_out,omitempty"` // pools whose exclusions would leave no ready endpoint
	Hinted      int                 `json:"hinted"`                    // hints since the start; each repetition of a hint counts
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

// sharedStateStatus returns the status of the shared state, nil if the process has none. The caller must hold mu.
func (h *Host) sharedStateStatus(now time.Duration) *SharedStateStatus {
	shared := h.shared
	if shared == nil {
		return nil
	}
	s := &SharedStateStatus{
		Incarnation: shared.node.Incarnation(),
		Members:     map[string]string{},
		Health:      shared.node.HealthScore(),
		Hints:       shared.failureReports.Hints(shared.node),
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

// ZoneStatus is the status of a zone of a pool, as reported to operators.
type ZoneStatus struct {
	Pool      string `json:"pool"`
	Zone      string `json:"zone"`
	Endpoints int    `json:"servers"`          // ready endpoints
	Excluded  int    `json:"avoided"`          // ready endpoints that this process excludes
	Epoch     uint64 `json:"epoch"`            // number of the last decision on the zone (Decision.Number); 0: none
	Step      int    `json:"step"`             // of the recovery ramp, from 0 (the zone is excluded) to 4 (fully in service)
	Pinned    bool   `json:"pinned,omitempty"` // set by an operator (State.Manual)
	WarmingUp bool   `json:"cold,omitempty"`   // fully in service, but the endpoints may still be warming up
	Relapses  int    `json:"falls,omitempty"`  // see zonefailover.State
	Reason    string `json:"why,omitempty"`
	Cause     string `json:"cause,omitempty"` // verdict of this process when it last held the zone lease; empty: not since the start
}

// zonesStatus returns the status of all zones of all pools. The caller must hold Host.mu.
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
