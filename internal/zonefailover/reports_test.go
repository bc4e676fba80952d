package zonefailover

import (
	"maps"
	"slices"
	"testing"
)

// TestIndexEndpoints checks that the index of a recovering zone has only the endpoints in service, and that the index of a zone
// without traffic has all endpoints.
func TestIndexEndpoints(t *testing.T) {
	for step, want := range map[int]int{0: endpointsPerZone, 1: 1, 2: 1, 3: 2, FullStep: endpointsPerZone} {
		s := newSnapshot(allReachable)
		s.States["b"] = State{Step: step}
		index := indexEndpoints(s)
		if got := len(index.byZone["b"]); got != want {
			t.Errorf("step %d: %d endpoints, want %d", step, got, want)
		}
		if len(index.byZone["a"]) != endpointsPerZone || index.total != len(s.Endpoints) || len(index.zoneOf) != 2*endpointsPerZone+want {
			t.Errorf("step %d: index is %+v", step, index)
		}
	}
}

// TestReportsByMember checks that reports by members that are not alive and reports on endpoints that are not listed are ignored.
func TestReportsByMember(t *testing.T) {
	s := newSnapshot(allReachable)
	s.Unreachable = []UnreachableReport{{"ma0", "b0"}, {"ma0", "b1"}, {"ma0", "b0"}, {"mc0", "b0"}, {"gone", "b0"}, {"ma0", "unlisted"}}
	reports := reportsByMember(s, indexEndpoints(s))
	if len(reports) != 2 || len(reports["ma0"]) != 2 || len(reports["mc0"]) != 1 || !reports["ma0"].contains("b1") {
		t.Errorf("reports %v, want b0 and b1 by ma0, and b0 by mc0", reports)
	}
}

// TestIsolatedMembers checks which members count as isolated.
func TestIsolatedMembers(t *testing.T) {
	member := func(zone string, i int) reachability {
		return func(memberZone string, member int, _ string, _ int) bool { return memberZone == zone && member == i }
	}
	for name, c := range map[string]struct {
		unreachable reachability
		want        []string
	}{
		"nobody":                   {allReachable, nil},
		"reaches no endpoint":      {member("a", 1), []string{"ma1"}},
		"reaches one zone":         {func(m string, i int, z string, _ int) bool { return m == "a" && i == 1 && z != "a" }, nil},
		"reaches half of all":      {func(m string, i int, _ string, e int) bool { return m == "a" && i == 1 && e < 2 }, nil},
		"reaches a quarter of all": {func(m string, i int, _ string, e int) bool { return m == "a" && i == 1 && e < 3 }, []string{"ma1"}},
		"half of the fleet":        {func(_ string, i int, _ string, _ int) bool { return i < 2 }, []string{"ma0", "ma1", "mb0", "mb1", "mc0", "mc1"}},
		"most of the fleet":        {func(_ string, i int, _ string, _ int) bool { return i < 3 }, nil},
	} {
		s := newSnapshot(c.unreachable)
		index := indexEndpoints(s)
		isolated := DefaultRules().isolatedMembers(s, index, reportsByMember(s, index))
		if got := slices.Sorted(maps.Keys(isolated)); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
	s := newSnapshot(member("a", 1))
	s.Endpoints = s.Endpoints[:endpointsPerZone] // of one zone
	index := indexEndpoints(s)
	if isolated := DefaultRules().isolatedMembers(s, index, reportsByMember(s, index)); len(isolated) > 0 {
		t.Errorf("members %v are isolated although there is only one zone", isolated)
	}
}

// TestUnreachableByZone checks which endpoints count as unreachable, and from which zones they are reported.
func TestUnreachableByZone(t *testing.T) {
	s := newSnapshot(allReachable)
	s.Unreachable = []UnreachableReport{{"ma0", "b0"}, {"ma1", "b1"}, {"mc0", "b1"}, {"mb0", "a3"}}
	index := indexEndpoints(s)
	reports := reportsByMember(s, index)
	all := unreachableByZone(s, index, reports, stringSet{})
	if len(all.endpoints["b"]) != 2 || len(all.endpoints["a"]) != 1 || len(all.endpoints["c"]) != 0 {
		t.Errorf("unreachable endpoints %v", all.endpoints)
	}
	if from := all.reporterZones["b"]; len(from) != 2 || !from.contains("a") || !from.contains("c") {
		t.Errorf("b is reported from %v", from)
	}
	without := unreachableByZone(s, index, reports, stringSet{"ma1": {}, "mc0": {}})
	if len(without.endpoints["b"]) != 1 || len(without.reporterZones["b"]) != 1 || len(without.endpoints["a"]) != 1 {
		t.Errorf("without reports by isolated members: %v", without)
	}
}

// TestGrayZones checks how many members of how many zones must report a gray failure.
func TestGrayZones(t *testing.T) {
	for name, c := range map[string]struct {
		reporters []string
		want      bool
	}{
		"none":                       {nil, false},
		"one":                        {[]string{"ma0"}, false},
		"two of one zone":            {[]string{"ma0", "ma1"}, false},
		"two of two zones":           {[]string{"ma0", "mc0"}, true},
		"one outside and one inside": {[]string{"ma0", "mb0"}, false},
		"one not alive":              {[]string{"ma0", "gone"}, false},
	} {
		s := newSnapshot(allReachable)
		for _, member := range c.reporters {
			s.GrayFailures = append(s.GrayFailures, GrayFailureReport{member, "b"})
		}
		rules := DefaultRules()
		if gray := rules.grayZones(s); len(gray) > 0 {
			t.Errorf("%s: zones %v are gray although the rules disable gray failures", name, gray)
		}
		rules.GrayFailures = true
		if got := rules.grayZones(s).contains("b"); got != c.want {
			t.Errorf("%s: gray %v, want %v", name, got, c.want)
		}
	}
}
