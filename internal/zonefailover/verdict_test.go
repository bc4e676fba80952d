package zonefailover

import (
	"fmt"
	"testing"
)

// reachability reports whether an endpoint is unreachable to a member. Both are given by their zone and their number in the zone.
type reachability func(memberZone string, member int, endpointZone string, endpoint int) (unreachable bool)

func allReachable(string, int, string, int) bool { return false }

// zoneBDown makes zone b unreachable to all members.
func zoneBDown(_ string, _ int, endpointZone string, _ int) bool { return endpointZone == "b" }

const (
	membersPerZone   = 4
	endpointsPerZone = 4
)

var testZones = []string{"a", "b", "c"}

func memberName(zone string, i int) string { return fmt.Sprint("m", zone, i) }

func endpointName(zone string, i int) string { return fmt.Sprint(zone, i) }

// newSnapshot returns three zones of four endpoints and four members each. Each member reports the endpoints that it cannot reach.
// Two members of each zone check the health of the other zones.
func newSnapshot(unreachable reachability) Snapshot {
	s := Snapshot{MemberZones: map[string]string{}, FleetSize: membersPerZone * len(testZones), States: map[string]State{}}
	for _, zone := range testZones {
		for i := range endpointsPerZone {
			s.Endpoints = append(s.Endpoints, Endpoint{endpointName(zone, i), zone})
		}
		for i := range membersPerZone {
			s.MemberZones[memberName(zone, i)] = zone
		}
	}
	for _, memberZone := range testZones {
		for member := range membersPerZone {
			for _, zone := range testZones {
				s.addReports(unreachable, memberZone, member, zone)
				if member > 0 && member < 3 && memberZone != zone {
					s.addZoneCheck(unreachable, memberZone, member, zone)
				}
			}
		}
	}
	return s
}

func (s *Snapshot) addReports(unreachable reachability, memberZone string, member int, zone string) {
	for i := range endpointsPerZone {
		if unreachable(memberZone, member, zone, i) {
			s.Unreachable = append(s.Unreachable, UnreachableReport{memberName(memberZone, member), endpointName(zone, i)})
		}
	}
}

// addZoneCheck adds the result of a member's health checks on three endpoints of a zone.
func (s *Snapshot) addZoneCheck(unreachable reachability, memberZone string, member int, zone string) {
	healthy := 0
	for i := range 3 {
		if !unreachable(memberZone, member, zone, i) {
			healthy++
		}
	}
	s.ZoneChecks = append(s.ZoneChecks, ZoneCheck{memberName(memberZone, member), zone, healthy == 3, healthy == 0})
}

// judgeCases are the expected verdicts on zone b.
var judgeCases = map[string]struct {
	unreachable reachability
	change      func(*Snapshot)
	want        Cause
}{
	"all endpoints reachable": {allReachable, nil, CauseHealthy},
	"the zone is down":        {zoneBDown, nil, CauseDown},
	"down to members outside it": {func(m string, _ int, z string, _ int) bool {
		return z == "b" && m != "b"
	}, nil, CauseDown},
	"three of four endpoints down": {func(_ string, _ int, z string, i int) bool {
		return z == "b" && i < 3
	}, nil, CauseDown},
	"half of its endpoints down": {func(_ string, _ int, z string, i int) bool {
		return z == "b" && i < 2
	}, nil, CauseHealthy},
	"the path from one zone is broken": {func(m string, _ int, z string, _ int) bool {
		return z == "b" && m == "a"
	}, nil, CausePathBroken},
	"one member is isolated": {func(m string, i int, _ string, _ int) bool {
		return m == "a" && i == 0
	}, nil, CauseHealthy},
	"a whole zone is isolated": {func(m string, _ int, z string, _ int) bool {
		return m == "a" && z != "a"
	}, nil, CausePathBroken},
	"a release in all zones": {func(_ string, _ int, _ string, i int) bool {
		return i < 3
	}, nil, CauseFailingEverywhere},
	"two zones down at once": {func(_ string, _ int, z string, _ int) bool {
		return z != "a"
	}, nil, CauseFailingEverywhere},
	"most members are not alive": {zoneBDown, func(s *Snapshot) {
		s.FleetSize = 24
	}, CauseMinorityPartition},
	"another zone is out of service": {zoneBDown, func(s *Snapshot) {
		s.States["c"] = State{Step: 0}
	}, CauseInsufficientCapacity},
	"no health check yet": {zoneBDown, func(s *Snapshot) {
		s.ZoneChecks = nil
	}, CauseAwaitingHealthQuorum},
	"one health check": {zoneBDown, func(s *Snapshot) {
		s.ZoneChecks = []ZoneCheck{{"ma1", "b", false, true}}
	}, CauseAwaitingHealthQuorum},
	"health checks only by members in the zone": {zoneBDown, func(s *Snapshot) {
		s.ZoneChecks = []ZoneCheck{{"mb1", "b", false, true}, {"mb2", "b", false, true}, {"mb3", "b", false, true}}
	}, CauseAwaitingHealthQuorum},
	"false reports: health checks pass": {zoneBDown, func(s *Snapshot) {
		s.ZoneChecks = []ZoneCheck{{"ma1", "b", true, false}, {"mc1", "b", false, false}, {"mc2", "b", false, true}}
	}, CausePartiallyReachable},
	"one of four still reaches an endpoint": {zoneBDown, func(s *Snapshot) {
		s.ZoneChecks = []ZoneCheck{{"ma1", "b", false, true}, {"ma2", "b", false, true}, {"mc1", "b", false, true}, {"mc2", "b", false, false}}
	}, CauseDown},
	"reachable only from its own zone": {func(m string, _ int, z string, _ int) bool {
		return z == "b" && m != "b"
	}, func(s *Snapshot) {
		s.ZoneChecks = append(s.ZoneChecks, ZoneCheck{"mb1", "b", true, false}, ZoneCheck{"mb2", "b", true, false}, ZoneCheck{"mb3", "b", true, false})
	}, CauseDown},
	"gray to members of two zones": {allReachable, func(s *Snapshot) {
		s.GrayFailures = []GrayFailureReport{{"ma0", "b"}, {"mc1", "b"}}
	}, CauseGrayFailure},
	"gray to one zone only": {allReachable, func(s *Snapshot) {
		s.GrayFailures = []GrayFailureReport{{"ma0", "b"}, {"ma1", "b"}, {"ma2", "b"}}
	}, CauseHealthy},
	"gray to one member outside the zone": {allReachable, func(s *Snapshot) {
		s.GrayFailures = []GrayFailureReport{{"ma0", "b"}, {"mb1", "b"}, {"mb2", "b"}}
	}, CauseHealthy},
	"two zones gray at once": {allReachable, func(s *Snapshot) {
		s.GrayFailures = []GrayFailureReport{{"ma0", "b"}, {"mc1", "b"}, {"mb0", "a"}, {"mc1", "a"}}
	}, CauseFailingEverywhere},
	"gray while another zone is out of service": {allReachable, func(s *Snapshot) {
		s.GrayFailures, s.States["c"] = []GrayFailureReport{{"ma0", "b"}, {"mc1", "b"}}, State{Step: 0}
	}, CauseInsufficientCapacity},
	"a false report from its own zone": {func(m string, i int, z string, _ int) bool {
		return m == "b" && i == 0 && z == "b"
	}, nil, CausePathBroken},
}

// TestJudge checks that the verdict distinguishes the failure of a zone from similar failures of members, paths and releases.
func TestJudge(t *testing.T) {
	for name, c := range judgeCases {
		s := newSnapshot(c.unreachable)
		if c.change != nil {
			c.change(&s)
		}
		rules := DefaultRules()
		rules.GrayFailures = true
		if got := rules.Judge(s)["b"]; got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// TestElsewhere checks that the remaining capacity includes neither the zone itself nor zones that are not fully in service.
func TestElsewhere(t *testing.T) {
	s := newSnapshot(func(_ string, _ int, z string, i int) bool { return z == "b" || i == 0 })
	s.States["c"] = State{Step: FullStep - 1}
	index := indexEndpoints(s)
	a := assessment{snapshot: s, index: index, unreachable: unreachableByZone(s, index, reportsByMember(s, index), nil)}
	if got, want := a.elsewhere("b"), (capacity{inService: 4, unreachable: 1}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// TestHealthQuorum checks the verdict that follows from the health checks.
func TestHealthQuorum(t *testing.T) {
	failed := func(member string) ZoneCheck { return ZoneCheck{Member: member, Zone: "b", NoneHealthy: true} }
	passed := func(member string) ZoneCheck { return ZoneCheck{Member: member, Zone: "b", AllHealthy: true} }
	for name, c := range map[string]struct {
		checks []ZoneCheck
		want   Cause
	}{
		"none":                         {nil, CauseAwaitingHealthQuorum},
		"one":                          {[]ZoneCheck{failed("ma0")}, CauseAwaitingHealthQuorum},
		"two":                          {[]ZoneCheck{failed("ma0"), failed("mc0")}, CauseDown},
		"one not alive":                {[]ZoneCheck{failed("ma0"), failed("gone")}, CauseAwaitingHealthQuorum},
		"one in the zone":              {[]ZoneCheck{failed("ma0"), failed("mb0")}, CauseAwaitingHealthQuorum},
		"one of another zone":          {[]ZoneCheck{failed("ma0"), {Member: "mc0", Zone: "a", NoneHealthy: true}}, CauseAwaitingHealthQuorum},
		"half fail":                    {[]ZoneCheck{failed("ma0"), failed("mc0"), passed("ma1"), passed("mc1")}, CausePartiallyReachable},
		"two thirds fail":              {[]ZoneCheck{failed("ma0"), failed("mc0"), passed("ma1")}, CauseDown},
		"all pass":                     {[]ZoneCheck{passed("ma0"), passed("mc0")}, CausePartiallyReachable},
		"members in the zone disagree": {[]ZoneCheck{failed("ma0"), failed("mc0"), passed("mb0"), passed("mb1"), passed("mb2")}, CauseDown},
	} {
		s := newSnapshot(allReachable)
		s.ZoneChecks = c.checks
		if got := DefaultRules().healthQuorumCause(s, "b"); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}
