package zonefailover

// Cause is the verdict of Rules.Judge on one zone. Its text says why traffic is or is not shifted away from the zone, and is shown
// to operators.
type Cause string

// The verdicts. CauseDown and CauseGrayFailure require a shift.
const (
	CauseHealthy              Cause = "its servers answer"
	CauseMinorityPartition    Cause = "most members are not there to this one: it may be cut off itself"
	CausePathBroken           Cause = "only members of one zone get no answer: the way between is broken"
	CauseFailingEverywhere    Cause = "servers of other zones are silent too: a release, or too much load"
	CauseInsufficientCapacity Cause = "too few servers would be left"
	CauseAwaitingHealthQuorum Cause = "its servers are silent to members of several zones, and too few have looked yet"
	CausePartiallyReachable   Cause = "its servers are silent to members of several zones, and some answer those that look"
	CauseGrayFailure          Cause = "it fails in part, to members of several zones"
	CauseDown                 Cause = "its servers are silent to members of several zones"
)

// RequiresShift reports whether traffic has to be shifted away from the zone.
func (c Cause) RequiresShift() bool { return c == CauseDown || c == CauseGrayFailure }

// Suspected reports whether the unreachable reports alone would require a shift away from a zone that is fully in service.
// Members check the health of a suspected zone.
func (c Cause) Suspected() bool {
	return c == CauseAwaitingHealthQuorum || c == CausePartiallyReachable || c == CauseDown
}

// Judge returns the verdict on each zone of the endpoint list. CauseDown requires all of the following:
//   - more than half of the fleet is alive
//   - at least UnreachableThreshold of the zone's endpoints are reported unreachable
//   - the members that report them are in at least two zones, unless all alive members are in one zone
//   - the other zones are reachable (MaxUnreachableElsewhere) and have enough capacity (MinRemainingCapacity)
//   - for a zone that is fully in service, the health quorum of members outside the zone
//
// CauseGrayFailure requires reports by enough members (see grayZones) in place of the unreachable endpoints and the health quorum.
func (r Rules) Judge(s Snapshot) map[string]Cause {
	index := indexEndpoints(s)
	reports := reportsByMember(s, index)
	isolated := r.isolatedMembers(s, index, reports)
	a := assessment{
		rules:       r,
		snapshot:    s,
		index:       index,
		unreachable: unreachableByZone(s, index, reports, isolated),
		gray:        r.grayZones(s),
	}
	causes := map[string]Cause{}
	for zone := range index.byZone {
		causes[zone] = a.verdict(zone)
	}
	return causes
}

// assessment holds the input for the verdicts on the zones of one snapshot.
type assessment struct {
	rules       Rules
	snapshot    Snapshot
	index       endpointIndex
	unreachable unreachableZones
	gray        stringSet
}

// verdict returns the verdict on one zone.
func (a *assessment) verdict(zone string) Cause {
	down, gray := a.isDown(zone), a.gray.contains(zone)
	if len(a.index.byZone[zone]) == 0 || !down && !gray {
		return CauseHealthy
	}
	rest := a.elsewhere(zone)
	switch {
	case !a.snapshot.hasMemberQuorum():
		return CauseMinorityPartition
	case down && a.reportedFromOneZone(zone):
		return CausePathBroken
	case float64(rest.unreachable) > a.rules.MaxUnreachableElsewhere*float64(rest.inService):
		return CauseFailingEverywhere
	case rest.inService == 0 || float64(rest.inService) < a.rules.MinRemainingCapacity*float64(a.index.total):
		return CauseInsufficientCapacity
	case !down && len(a.gray) > 1:
		return CauseFailingEverywhere
	case !down:
		return CauseGrayFailure
	case a.snapshot.stateOf(zone).Step == FullStep:
		return a.rules.healthQuorumCause(a.snapshot, zone)
	}
	return CauseDown
}

// isDown reports whether at least UnreachableThreshold of a zone's endpoints are unreachable.
func (a *assessment) isDown(zone string) bool {
	unreachable, total := len(a.unreachable.endpoints[zone]), len(a.index.byZone[zone])
	return float64(unreachable) >= a.rules.UnreachableThreshold*float64(total)
}

// reportedFromOneZone reports whether all members that report a zone's endpoints are in the same zone although several zones have
// alive members.
func (a *assessment) reportedFromOneZone(zone string) bool {
	return len(a.unreachable.reporterZones[zone]) < 2 && a.snapshot.memberZoneCount() > 1
}

// capacity is a number of endpoints in service, and how many of them are unreachable.
type capacity struct{ inService, unreachable int }

// elsewhere returns the capacity that remains after a shift away from a zone: that of all other zones fully in service.
func (a *assessment) elsewhere(zone string) capacity {
	var rest capacity
	for other, endpoints := range a.index.byZone {
		if other == zone || a.snapshot.stateOf(other).Step < FullStep {
			continue
		}
		rest.inService += len(endpoints)
		rest.unreachable += len(a.unreachable.endpoints[other])
	}
	return rest
}

// healthQuorumCause returns the verdict that the health checks give on a zone that is down according to unreachable reports.
// Reports alone are not sufficient: one request without a response produces a report, so that under packet loss each endpoint is
// eventually reported.
func (r Rules) healthQuorumCause(s Snapshot, zone string) Cause {
	eligible := s.eligibleReporters(zone)
	failed, passed := 0, 0
	for _, check := range s.ZoneChecks {
		if _, counts := eligible[check.Member]; !counts || check.Zone != zone {
			continue
		}
		if check.NoneHealthy {
			failed++
		} else {
			passed++
		}
	}
	switch {
	case passed > 0 && float64(failed) < r.UnreachableThreshold*float64(failed+passed):
		return CausePartiallyReachable
	case failed < min(r.HealthQuorum, len(eligible)):
		return CauseAwaitingHealthQuorum
	}
	return CauseDown
}

// hasRecoveryQuorum reports whether the health checks of enough members found a zone healthy and no member found an unhealthy
// endpoint.
func (r Rules) hasRecoveryQuorum(s Snapshot, zone string) bool {
	healthy := 0
	for _, check := range s.ZoneChecks {
		if check.Zone != zone || !s.isAlive(check.Member) {
			continue
		}
		if !check.AllHealthy {
			return false
		}
		healthy++
	}
	return healthy >= min(r.HealthQuorum, len(s.MemberZones))
}
