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
	// zoneReportDelay is how long the lease holder may take to learn of a zone that is down, if nothing else fails.
	zoneReportDelay = 2500 * time.Millisecond
	// maxZoneReportDelay is how long it may take, whatever else fails.
	maxZoneReportDelay = 6 * time.Second
	// reportExpiry is how long members' reports of a server may outlive its recovery, including the time in which a member that has
	// ended is detected.
	reportExpiry = 9 * time.Second
	// faultAftermath is how long after its end a fault may still have effects.
	faultAftermath = 4 * time.Second
)

// zoneObserver is what the observer records of zone failover. It reads the consensus group's log and what processes exclude, and knows the
// true state of the servers.
type zoneObserver struct {
	lastDecision uint64            // that was read from the log
	decisions    map[uint64]string // by number: key and value
	states       [zoneCount]zonefailover.State
	decidedAt    [zoneCount]time.Duration
	exclusions   map[string]string // what the first process to apply some decisions excludes, by these decisions
}

func newZoneObserver() *zoneObserver {
	z := &zoneObserver{decisions: map[uint64]string{}, exclusions: map[string]string{}}
	for zone := range zoneCount {
		z.states[zone].Step = zonefailover.FullStep
	}
	return z
}

// zoneChange is a decision on a zone's state.
type zoneChange struct {
	zone          int
	before, after zonefailover.State
	since         time.Duration // of the state before
}

// forward reports whether the change is a step of the recovery ramp.
func (c zoneChange) forward() bool { return c.after.Step > c.before.Step }

// warmedUp reports whether the change ends the warming up after the last step.
func (c zoneChange) warmedUp() bool {
	return c.before.WarmingUp && !c.after.WarmingUp && c.after.Step == c.before.Step
}

// leaves reports whether the change shifts traffic away from a zone that was wholly in use.
func (c zoneChange) leaves() bool { return !c.forward() && c.before.Step == zonefailover.FullStep }

// decisionsApplied checks the decisions that are new in a voter's state.
func (o *observer) decisionsApplied(state *consensus.StateMachine) {
	z := o.zones
	if z == nil || state == nil || state.LastDecision <= z.lastDecision {
		return
	}
	complete := true // no decision before was overwritten in a snapshot
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

// zoneDecided checks a decision on a zone. An operator's may be any; of others the state before has to be known.
func (o *observer) zoneDecided(zone int, decided zonefailover.State, d consensus.Decision, complete bool) {
	z, s := o.zones, o.simulation
	change := zoneChange{zone: zone, before: z.states[zone], after: decided, since: z.decidedAt[zone]}
	z.states[zone], z.decidedAt[zone] = decided, s.now
	s.counts["zone_decisions"]++
	s.trace("decided: zone %s %s, number %d, token %d", zoneName(zone), decided.Encode(), d.Number, d.Token)
	if d.Token == 0 || !complete {
		return
	}
	o.checkZoneChange(change)
	o.checkRampPace(change)
	if change.warmedUp() {
		s.counts["zones_warm"]++
		return
	}
	if change.leaves() {
		s.counts["zones_left"]++
		o.checkOtherZonesInUse(change)
	}
	if !change.forward() && change.before.Step < zonefailover.FullStep {
		s.counts["zone_relapses"]++
	}
	if change.forward() && decided.Step == zonefailover.FullStep {
		s.counts["zones_returned"]++
	}
}

// checkZoneChange checks that a change is a legal one, and that the true state of the zone gives reason for it.
func (o *observer) checkZoneChange(c zoneChange) {
	s := o.simulation
	switch {
	case c.before.Manual:
		s.reportViolation("zone %s is decided by itself against an operator's word", zoneName(c.zone))
	case c.after.WarmingUp != (c.forward() && c.after.Step == zonefailover.FullStep):
		s.reportViolation("zone %s is decided to be at step %d, cold: %v", zoneName(c.zone), c.after.Step, c.after.WarmingUp)
	case c.warmedUp():
	case !legalStep(c.before.Step, c.after.Step, c.forward()):
		s.reportViolation("zone %s goes from step %d to %d", zoneName(c.zone), c.before.Step, c.after.Step)
	default:
		o.checkReasonToLeave(c)
		o.checkReasonToReturn(c)
	}
}

// checkReasonToLeave checks that a zone that is left was down, or seen so from two zones, within reportExpiry.
func (o *observer) checkReasonToLeave(c zoneChange) {
	if c.before.Step != zonefailover.FullStep {
		return
	}
	s := o.simulation
	last := s.servers.mostlyUnseenAt[c.zone]
	if s.now > last+reportExpiry && !s.servers.down[c.zone] {
		s.reportViolation("zone %s is left, and was well to all but one zone for %v", zoneName(c.zone), s.now-last)
	}
}

// checkReasonToReturn checks that a zone that recovers by a step is not known to be down.
func (o *observer) checkReasonToReturn(c zoneChange) {
	s := o.simulation
	if !c.forward() || !s.servers.down[c.zone] {
		return
	}
	since := s.servers.downChangedAt[c.zone]
	if s.now > since+maxZoneReportDelay || s.now > since+zoneReportDelay && s.onlyZoneFaultsSince(since-leaseTiming.TTL) {
		s.reportViolation("zone %s is returned to, to step %d, and has been down for %v", zoneName(c.zone), c.after.Step, s.now-since)
	}
}

// checkRampPace checks that a zone recovers no faster than the rules say, by any clock within the bound on drift.
func (o *observer) checkRampPace(c zoneChange) {
	if !c.forward() && !c.warmedUp() {
		return
	}
	s, rules := o.simulation, zoneRules()
	least := rules.StepDuration
	switch {
	case c.warmedUp():
		least = rules.WarmUp
	case c.before.Step == 0:
		least = min(rules.HoldDown<<min(c.before.Relapses, 20), rules.MaxHoldDown)
	}
	if passed := s.now - c.since; passed < time.Duration(float64(least)/(1+maxClockDrift)) {
		s.reportViolation("zone %s goes to step %d, cold: %v, after %v, %v at least", zoneName(c.zone), c.after.Step, c.after.WarmingUp, passed, least)
	}
}

// checkOtherZonesInUse checks that a zone is left only while all others are wholly in use, or were shifted by an operator.
func (o *observer) checkOtherZonesInUse(c zoneChange) {
	for other, state := range o.zones.states {
		if other != c.zone && state.Step < zonefailover.FullStep && !state.Manual {
			o.simulation.reportViolation("zone %s is left while zone %s is not wholly in use", zoneName(c.zone), zoneName(other))
		}
	}
}

// legalStep reports whether a zone may go from one step of the ramp to another: it is left, recovers by a step, or falls back by two.
func legalStep(from, to int, forward bool) bool {
	return from == zonefailover.FullStep && to == 0 ||
		forward && to == from+1 ||
		from > 0 && to == max(0, from-2)
}

// checkZoneDecisionsHeld checks that a process holds only decisions that the consensus group has made, and that it excludes the same
// servers as all other processes that hold the same decisions.
func (o *observer) checkZoneDecisionsHeld(p *process) {
	if o.zones == nil {
		return
	}
	ids := ""
	p.shared.node.Store().ForEachOf(gossip.ConsensusOwner, consensus.ZoneKind+"/", func(e *gossip.Entry) bool {
		ids += fmt.Sprint(e.Key, e.Sequence, " ")
		o.checkDecided(p, e)
		return true
	})
	if ids != p.shared.zoneDecisions.decisionIDs {
		p.shared.zoneDecisions.decisionIDs = ids
		o.checkExclusionsAgree(p, ids)
	}
}

// checkDecided checks that the consensus group has decided an entry.
func (o *observer) checkDecided(p *process, e *gossip.Entry) {
	decision, known := o.zones.decisions[e.Sequence]
	differs := known && len(e.Values()) == 1 && decision != e.Key+" "+string(e.Values()[0])
	if e.Sequence > o.zones.lastDecision || differs {
		o.simulation.reportViolation("%s holds %s by number %d, %q, which the council has not decided", p.name, e.Key, e.Sequence, e.Siblings)
	}
}

// checkExclusionsAgree checks that a process excludes the servers that the first process with the same decisions did.
func (o *observer) checkExclusionsAgree(p *process, ids string) {
	excluded := fmt.Sprint(slices.Sorted(maps.Keys(p.excludedServers())))
	if first, known := o.zones.exclusions[ids]; known && first != excluded {
		o.simulation.reportViolation("%s leaves out %s by the decisions by which others leave out %s", p.name, excluded, first)
	}
	o.zones.exclusions[ids] = excluded
}

// checkRelapses checks after each event that no zone stays at a step of its ramp that has been down for zoneReportDelay while nothing else
// failed.
func (o *observer) checkRelapses() {
	if o.zones == nil {
		return
	}
	s := o.simulation
	for zone, state := range o.zones.states {
		ramping := state.Step > 0 && state.Step < zonefailover.FullStep && !state.Manual
		if !ramping || !s.servers.down[zone] || o.failsWithAnother(zone) {
			continue
		}
		downSince := s.servers.downChangedAt[zone]
		overdue := s.now > downSince+zoneReportDelay && s.now > o.zones.decidedAt[zone]+zoneReportDelay
		if overdue && s.onlyZoneFaultsSince(s.now-zoneReportDelay-leaseTiming.TTL) {
			s.reportViolation("zone %s has been down for %v and is still used at step %d", zoneName(zone), s.now-downSince, state.Step)
		}
	}
}

// failsWithAnother reports whether another zone has failed of late; zones that fail together may not be left.
func (o *observer) failsWithAnother(zone int) bool {
	for other, last := range o.simulation.servers.mostlyUnseenAt {
		if other != zone && o.simulation.now <= last+zoneReportDelay+reportExpiry {
			return true
		}
	}
	return false
}

// onlyZoneFaultsSince reports whether nothing but servers has failed since then.
func (s *simulation) onlyZoneFaultsSince(since time.Duration) bool {
	for _, f := range s.faults {
		switch f.Kind {
		case FaultZoneDown, FaultZonePartition, FaultBadRelease, FaultZoneShift:
		default:
			if f.At <= s.now && f.At+f.Duration+faultAftermath > since {
				return false
			}
		}
	}
	return true
}

// checkZonesRecovered checks at the end that all zones are wholly in use, and that no process excludes servers.
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
