package pool

import (
	"slices"
	"testing"

	"sorrelrudder/policy"
)

// TestReachability guards against missed or surplus reports: each failure to respond is reported, and the first success after it withdraws
// the report once.
func TestReachability(t *testing.T) {
	var got []bool
	r := reachability{report: func(_ string, unreachable bool) { got = append(got, unreachable) }, reported: map[policy.EndpointID]bool{}}
	for _, status := range []policy.Status{
		policy.StatusOK, policy.StatusTimeout, policy.StatusApplicationError, policy.StatusReset, policy.StatusConnectFailed,
		policy.StatusOverloaded, policy.StatusCanceled, policy.StatusNotSent, policy.StatusOK, policy.StatusOK,
	} {
		r.record("a", status)
	}
	if want := []bool{true, true, true, false}; !slices.Equal(got, want) {
		t.Errorf("reported %v, want %v", got, want)
	}
}

// TestZoneOutcomesBounded guards against unbounded growth with the number of zones: zones beyond the bound are not counted, and the others
// still are.
func TestZoneOutcomesBounded(t *testing.T) {
	z := zoneOutcomes{enabled: true}
	for range 2 {
		for i := range 2 * maxZones {
			z.add(string(rune('A'+i)), policy.StatusOK, 3)
		}
	}
	if len(z.byZone) != maxZones {
		t.Fatalf("%d zones are counted, want %d", len(z.byZone), maxZones)
	}
	if first := *z.byZone["A"]; first != (zoneOutcome{answered: 2, latencySum: 6}) {
		t.Errorf("the first zone has counts %+v, want 2 answered with a latency sum of 6", first)
	}
}
