package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zonefailover"
)

const (
	// zoneReportDelay bounds the time until the lease holder learns that a zone is down, if nothing else fails.
	zoneReportDelay = 2500 * time.Millisecond
	// maxZoneReportDelay bounds the same time under any other faults.
	maxZoneReportDelay = 6 * time.Second
	// reportExpiry bounds how long members' reports on a server outlive the server's recovery. It includes the time to detect the death of
	// a reporting member.
	reportExpiry = 9 * time.Second
	// faultEffectDuration bounds how long a fault has effects after its end.
	faultEffectDuration = 4 * time.Second
)

// zoneObserver holds the observer's records of zone failover. They come from the decisions in the consensus log and from the servers that
// processes exclude. The checks compare them with the true state of the servers.
type zoneObserver struct {
	lastDecision uint64            // number of the latest decision read from the log
	decisions    map[uint64]string // by number: key and value
	states       [zoneCount]zonefailover.State
	decidedAt    [zoneCount]time.Duration
	exclusions   map[string]string // by decisions: servers excluded by the first process that held these decisions
}

func newZoneObserver() *zoneObserver {
	z := &zoneObserver{decisions: map[uint64]string{}, exclusions: map[string]string{}}
	for zone := range zoneCount {
		z.states[zone].Step = zonefailover.FullStep
	}
	return z
}

// zoneChange is a decided transition of a zone's state.
type zoneChange struct {
	zone          int
	before, after zonefailover.State
	since         time.Duration // when the state before was decided
}

// advances reports whether the change is a step forward on the recovery ramp.
func (c zoneChange) advances() bool { return c.after.Step > c.before.Step }

// endsWarmUp reports whether the change ends the warm-up after the last step of the ramp.
func (c zoneChange) endsWarmUp() bool {
	return c.before.WarmingUp && !c.after.WarmingUp && c.after.Step == c.before.Step
}

// shifts reports whether the change shifts traffic away from a zone that was wholly in service.
func (c zoneChange) shifts() bool { return !c.advances() && c.before.Step == zonefailover.FullStep }

// decisionsApplied checks the decisions in a voter's state that no voter had applied before.
func (o *observer) decisionsApplied(state *consensus.StateMachine) {
	z := o.zones
	if z == nil || state == nil || state.LastDecision <= z.lastDecision {
		return
	}
	complete := true // false after a gap in the numbers: a snapshot lacks decisions that later ones have overwritten
	previous := z.lastDecision
	state.DecisionsSince(z.lastDecision, func(key string, d consensus.Decision) {
		complete = complete && d.Number == previous+1
		previous = d.Number
		z.decisions[d.Number] = key + " " + d.Value
		pool, name, ok := gossip.SplitPoolKey(key)
		if gossip.KindOf(key) != consensus.ZoneKind || !ok || pool != poolName {
			return
		}
		decided, err := zonefailover.Decode(d.Value)
		if err != nil {
			o.simulation.reportViolation("the council has decided %q: %v", d.Value, err)
			return
		}
		o.zoneDecided(zoneIndex(name), decided, d, complete)
	})
	z.lastDecision = state.LastDecision
}

// zoneDecided records and checks a decision on a zone. It does not check operators' decisions, which may set any state, nor decisions after
// a gap in the numbers, since the state before is then unknown.
func (o *observer) zoneDecided(zone int, decided zonefailover.State, d consensus.Decision, complete bool) {
	z, s := o.zones, o.simulation
	change := zoneChange{zone: zone, before: z.states[zone], after: decided, since: z.decidedAt[zone]}
	z.states[zone], z.decidedAt[zone] = decided, s.Now()
	s.counts["zone_decisions"]++
	s.trace("decided: zone %s %s, number %d, token %d", zoneName(zone), decided.Encode(), d.Number, d.Token)
	if d.Token == 0 || !complete {
		return
	}
	o.checkZoneChange(change)
	o.checkRampPace(change)
	if change.endsWarmUp() {
		s.counts["zones_warm"]++
		return
	}
	if change.shifts() {
		s.counts["zones_left"]++
		o.checkOtherZonesInUse(change)
	}
	if !change.advances() && change.before.Step < zonefailover.FullStep {
		s.counts["zone_relapses"]++
	}
	if change.advances() && decided.Step == zonefailover.FullStep {
		s.counts["zones_returned"]++
	}
}

// checkZoneChange checks that a change is a legal transition, and that the true state of the zone justifies it.
func (o *observer) checkZoneChange(c zoneChange) {
	s := o.simulation
	switch {
	case c.before.Manual:
		s.reportViolation("zone %s is decided by itself against an operator's word", zoneName(c.zone))
	case c.after.WarmingUp != (c.advances() && c.after.Step == zonefailover.FullStep):
		s.reportViolation("zone %s is decided to be at step %d, cold: %v", zoneName(c.zone), c.after.Step, c.after.WarmingUp)
	case c.endsWarmUp():
	case !legalStep(c.before.Step, c.after.Step, c.advances()):
		s.reportViolation("zone %s goes from step %d to %d", zoneName(c.zone), c.before.Step, c.after.Step)
	default:
		o.checkShiftReason(c)
		o.checkRecoveryReason(c)
	}
}

// checkShiftReason checks that a shift away from a zone is justified: the zone is down, or it was unreachable from two zones within
// reportExpiry.
func (o *observer) checkShiftReason(c zoneChange) {
	if c.before.Step != zonefailover.FullStep {
		return
	}
	s := o.simulation
	last := s.servers.widelyUnreachableAt[c.zone]
	if s.Now() > last+reportExpiry && !s.servers.down[c.zone] {
		s.reportViolation("zone %s is left, and was well to all but one zone for %v", zoneName(c.zone), s.Now()-last)
	}
}

// checkRecoveryReason checks that a zone does not advance on the recovery ramp after the lease holder must have learned that it is down.
func (o *observer) checkRecoveryReason(c zoneChange) {
	s := o.simulation
	if !c.advances() || !s.servers.down[c.zone] {
		return
	}
	since := s.servers.downChangedAt[c.zone]
	if s.Now() > since+maxZoneReportDelay || s.Now() > since+zoneReportDelay && s.onlyZoneFaultsSince(since-leaseTiming.TTL) {
		s.reportViolation("zone %s is returned to, to step %d, and has been down for %v", zoneName(c.zone), c.after.Step, s.Now()-since)
	}
}

// checkRampPace checks that a zone recovers no faster than the rules allow. A clock that is fast by maxClockDrift shortens the minimum
// durations in true time.
func (o *observer) checkRampPace(c zoneChange) {
	if !c.advances() && !c.endsWarmUp() {
		return
	}
	s, rules := o.simulation, zoneRules()
	least := rules.StepDuration
	switch {
	case c.endsWarmUp():
		least = rules.WarmUp
	case c.before.Step == 0:
		least = min(rules.HoldDown<<min(c.before.Relapses, 20), rules.MaxHoldDown)
	}
	if passed := s.Now() - c.since; passed < time.Duration(float64(least)/(1+maxClockDrift)) {
		s.reportViolation("zone %s goes to step %d, cold: %v, after %v, %v at least", zoneName(c.zone), c.after.Step, c.after.WarmingUp, passed, least)
	}
}

// checkOtherZonesInUse checks that traffic is shifted away from a zone only while all other zones are wholly in service or were shifted by
// an operator.
func (o *observer) checkOtherZonesInUse(c zoneChange) {
	for other, state := range o.zones.states {
		if other != c.zone && state.Step < zonefailover.FullStep && !state.Manual {
			o.simulation.reportViolation("zone %s is left while zone %s is not wholly in use", zoneName(c.zone), zoneName(other))
		}
	}
}

// legalStep reports whether a zone may go from one step of the recovery ramp to another. Legal transitions are a shift (to step 0), one
// step forward, and a relapse by two steps.
func legalStep(from, to int, recovery bool) bool {
	return from == zonefailover.FullStep && to == 0 ||
		recovery && to == from+1 ||
		from > 0 && to == max(0, from-2)
}

// checkZoneDecisionsHeld checks that a process holds only zone decisions that the consensus group has made, and that it excludes the same
// servers as all other processes with the same decisions.
func (o *observer) checkZoneDecisionsHeld(p *process) {
	if o.zones == nil {
		return
	}
	ids := ""
	p.shared.node.Store().ForEachOf(gossip.ConsensusOwner, consensus.ZoneKind+"/", func(e *gossip.Entry) bool {
		ids += fmt.Sprint(e.Key, e.Sequence, " ")
		o.checkEntryDecided(p, e)
		return true
	})
	if ids != p.shared.zoneFailover.decisionIDs {
		p.shared.zoneFailover.decisionIDs = ids
		o.checkExclusionsAgree(p, ids)
	}
}

// checkEntryDecided checks that an entry of the shared state is a decision of the consensus group.
func (o *observer) checkEntryDecided(p *process, e *gossip.Entry) {
	decision, known := o.zones.decisions[e.Sequence]
	differs := known && len(e.Values()) == 1 && decision != e.Key+" "+string(e.Values()[0])
	if e.Sequence > o.zones.lastDecision || differs {
		o.simulation.reportViolation("%s holds %s by number %d, %q, which the council has not decided", p.name, e.Key, e.Sequence, e.Siblings)
	}
}

// checkExclusionsAgree checks that a process excludes the same servers as the first process that held the same decisions.
func (o *observer) checkExclusionsAgree(p *process, ids string) {
	excluded := fmt.Sprint(slices.Sorted(maps.Keys(p.excludedServers())))
	if first, known := o.zones.exclusions[ids]; known && first != excluded {
		o.simulation.reportViolation("%s leaves out %s by the decisions by which others leave out %s", p.name, excluded, first)
	}
	o.zones.exclusions[ids] = excluded
}

// checkRelapses checks that a recovering zone that goes down again is taken out of service within zoneReportDelay, as long as nothing else
// fails. It runs after each event.
func (o *observer) checkRelapses() {
	if o.zones == nil {
		return
	}
	s := o.simulation
	for zone, state := range o.zones.states {
		ramping := state.Step > 0 && state.Step < zonefailover.FullStep && !state.Manual
		if !ramping || !s.servers.down[zone] || o.anotherZoneFailedRecently(zone) {
			continue
		}
		downSince := s.servers.downChangedAt[zone]
		overdue := s.Now() > downSince+zoneReportDelay && s.Now() > o.zones.decidedAt[zone]+zoneReportDelay
		if overdue && s.onlyZoneFaultsSince(s.Now()-zoneReportDelay-leaseTiming.TTL) {
			s.reportViolation("zone %s has been down for %v and is still used at step %d", zoneName(zone), s.Now()-downSince, state.Step)
		}
	}
}

// anotherZoneFailedRecently reports whether another zone may still be reported as failing. The rules allow no shift away from zones that
// fail together.
func (o *observer) anotherZoneFailedRecently(zone int) bool {
	for other, last := range o.simulation.servers.widelyUnreachableAt {
		if other != zone && o.simulation.Now() <= last+zoneReportDelay+reportExpiry {
			return true
		}
	}
	return false
}

// onlyZoneFaultsSince reports whether only faults of servers have had effects since the given time.
func (s *simulation) onlyZoneFaultsSince(since time.Duration) bool {
	for _, f := range s.faults {
		switch f.Kind {
		case FaultZoneDown, FaultZonePartition, FaultBadRelease, FaultZoneShift:
		default:
			if f.At <= s.Now() && f.At+f.Duration+faultEffectDuration > since {
				return false
			}
		}
	}
	return true
}

// checkZonesRecovered checks at the end of a run that all zones are wholly in service, and that no process excludes servers.
func (o *observer) checkZonesRecovered() {
	if o.zones == nil {
		return
	}
	for zone, state := range o.zones.states {
		if state.Recovering() {
			o.simulation.reportViolation("zone %s is at step %d (pinned: %v, cold: %v) at the end", zoneName(zone), state.Step, state.Manual, state.WarmingUp)
		}
	}
	for _, p := range o.simulation.processes {
		if p.up && len(p.excludedServers()) > 0 {
			o.simulation.reportViolation("%s leaves out %v at the end", p.name, slices.Sorted(maps.Keys(p.excludedServers())))
		}
	}
}
