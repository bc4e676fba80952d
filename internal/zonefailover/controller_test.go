package zonefailover

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// TestRecovery checks that a zone recovers step by step after a shift, that each step requires the health quorum, that a failed step
// reduces the ramp, and that the next recovery starts later.
func TestRecovery(t *testing.T) {
	rules := DefaultRules()
	controller := NewController(rules)
	s := newSnapshot(zoneBDown)
	down := s.Unreachable
	now := time.Duration(0)
	next := func() *Transition {
		transition, _ := controller.Next(now, s)
		if transition != nil {
			s.States[transition.Zone] = transition.State
		}
		return transition
	}
	if c := next(); c == nil || c.Zone != "b" || c.State.Step != 0 {
		t.Fatalf("zone is down: transition %+v, want a shift away from zone b", c)
	}
	s.Unreachable, s.ZoneChecks = nil, nil // the zone receives no more requests
	next()
	now += time.Minute
	if c := next(); c != nil {
		t.Fatalf("zone recovers without a health check: %+v", c)
	}
	s.ZoneChecks = []ZoneCheck{{"ma0", "b", true, false}}
	if c := next(); c != nil {
		t.Fatalf("zone recovers after one health check, below the quorum: %+v", c)
	}
	s.ZoneChecks = append(s.ZoneChecks, ZoneCheck{"mc0", "b", true, false}, ZoneCheck{"mc1", "b", false, true})
	if c := next(); c != nil {
		t.Fatalf("zone recovers although one health check fails: %+v", c)
	}
	s.ZoneChecks[2].AllHealthy = true
	s.Unreachable = down
	if c := next(); c != nil {
		t.Fatalf("zone recovers although unreachable reports remain: %+v", c)
	}
	s.Unreachable = nil
	for step := 1; step <= 3; step++ {
		if c := next(); c == nil || c.State.Step != step {
			t.Fatalf("step %d: %+v", step, c)
		}
		if c := next(); c != nil {
			t.Fatalf("next step without delay: %+v", c)
		}
		now += rules.StepDuration
	}
	s.Unreachable = down // the zone fails with half of its endpoints in service
	if c := next(); c == nil || c.State.Step != 1 || c.State.Relapses != 1 {
		t.Fatalf("step 3 failed: transition %+v, want step 1 with one relapse", c)
	}
	if c := next(); c == nil || c.State.Step != 0 || c.State.Relapses != 2 {
		t.Fatalf("step 1 failed: transition %+v, want step 0 with two relapses", c)
	}
	s.Unreachable = nil
	left := now
	for c := next(); c == nil; c = next() {
		now += 100 * time.Millisecond
	}
	if now-left < 4*rules.HoldDown {
		t.Errorf("zone recovers %v after its second relapse, want at least %v", now-left, 4*rules.HoldDown)
	}
	s.States["b"] = State{Step: 0, Manual: true}
	now += time.Hour
	if c := next(); c != nil {
		t.Errorf("controller changes a state that an operator has set: %+v", c)
	}
}

// TestMinRemainingCapacity checks for random reports in any order that shifts never reduce the capacity below MinRemainingCapacity,
// so that at least one zone always remains in service.
func TestMinRemainingCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller := NewController(DefaultRules())
		s := newSnapshot(allReachable)
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "later"))
			drawReports(t, &s)
			if c, _ := controller.Next(now, s); c != nil {
				s.States[c.Zone] = c.State
			}
			whole := 0
			for _, endpoint := range s.Endpoints {
				if s.stateOf(endpoint.Zone).Step == FullStep {
					whole++
				}
			}
			if float64(whole) < DefaultRules().MinRemainingCapacity*float64(len(s.Endpoints)) {
				t.Fatalf("%d of %d endpoints are in zones fully in service", whole, len(s.Endpoints))
			}
		}
	})
}

// drawReports replaces the reports and health checks by random ones.
func drawReports(t *rapid.T, s *Snapshot) {
	s.Unreachable, s.ZoneChecks = nil, nil
	members := slices.Sorted(maps.Keys(s.MemberZones))
	for _, endpoint := range s.Endpoints {
		for _, member := range members {
			if rapid.IntRange(0, 2).Draw(t, "unreachable") == 0 {
				s.Unreachable = append(s.Unreachable, UnreachableReport{member, endpoint.Name})
			}
		}
	}
	for _, member := range members {
		s.ZoneChecks = append(s.ZoneChecks, ZoneCheck{
			Member: member, Zone: rapid.SampledFrom(testZones).Draw(t, "zone"),
			AllHealthy: rapid.Bool().Draw(t, "all healthy"), NoneHealthy: rapid.Bool().Draw(t, "none healthy"),
		})
	}
}

// smallSnapshot returns three zones of one endpoint and one member each. Zone b is in the given state, and the health checks of the
// two checkers find it healthy.
func smallSnapshot(checkers [2]string, state State) Snapshot {
	return Snapshot{
		Endpoints:   []Endpoint{{"a1", "a"}, {"b1", "b"}, {"c1", "c"}},
		MemberZones: map[string]string{"p": "a", "q": "b", "s": "c"},
		FleetSize:   3,
		ZoneChecks:  []ZoneCheck{{checkers[0], "b", true, false}, {checkers[1], "b", true, false}},
		States:      map[string]State{"b": state},
		Revisions:   map[string]uint64{"b": 1},
	}
}

// TestStepBetween checks that the hold-down starts again if a step was decided and then undone by an operator between two calls of
// Next.
func TestStepBetween(t *testing.T) {
	rules := DefaultRules()
	controller := NewController(rules)
	s := smallSnapshot([2]string{"p", "q"}, State{})
	if c, _ := controller.Next(0, s); c != nil {
		t.Fatalf("transition %+v without hold-down, want none", c)
	}
	if c, _ := controller.Next(rules.HoldDown, s); c == nil || c.State.Step != 1 {
		t.Fatalf("transition %+v after the hold-down, want step 1", c)
	}
	s.Revisions = map[string]uint64{"b": 3} // revision 2 is the decided step, revision 3 the operator's state
	if c, _ := controller.Next(rules.HoldDown+1, s); c != nil {
		t.Errorf("transition %+v without hold-down after an operator's state, want none", c)
	}
	if c, _ := controller.Next(2*rules.HoldDown+1, s); c == nil {
		t.Error("zone does not recover after another hold-down")
	}
}

// TestWarmUp checks that a zone counts as recovering after its last step until the warm-up has passed. A process that starts during
// the warm-up depends on this state. The end of the warm-up does not count as a step: a shift soon afterwards is still a relapse.
func TestWarmUp(t *testing.T) {
	rules := DefaultRules()
	rules.WarmUp = 8 * time.Second
	controller := NewController(rules)
	s := smallSnapshot([2]string{"p", "s"}, State{Step: FullStep - 1, Relapses: 1})
	now := time.Duration(0)
	next := func(later time.Duration) *Transition {
		now += later
		transition, _ := controller.Next(now, s)
		if transition != nil {
			s.States[transition.Zone] = transition.State
			s.Revisions[transition.Zone]++
		}
		return transition
	}
	next(0)
	if c := next(rules.StepDuration); c == nil || c.State.Step != FullStep || !c.State.WarmingUp || !c.State.Recovering() {
		t.Fatalf("last step: %+v", c)
	}
	next(0)
	if c := next(rules.WarmUp - 1); c != nil {
		t.Fatalf("warm-up ends too early: %+v", c)
	}
	if c := next(1); c == nil || c.State.Step != FullStep || c.State.WarmingUp || c.State.Recovering() || c.State.Relapses != 1 {
		t.Fatalf("end of the warm-up: %+v", c)
	}
	next(0)
	if c := next(time.Hour); c != nil {
		t.Fatalf("transition after the end of the warm-up: %+v", c)
	}
	// Go back to one instant before a shift would no longer count as a relapse. The warm-up has ended by then. Next requires that now
	// does not decrease, but its last call has changed nothing.
	now -= time.Hour
	now += rules.HoldDown<<2 + relapseWindow - rules.WarmUp - 1
	for _, member := range []string{"p", "q", "s"} {
		s.Unreachable = append(s.Unreachable, UnreachableReport{member, "b1"})
	}
	s.ZoneChecks = []ZoneCheck{{"p", "b", false, true}, {"s", "b", false, true}}
	if c := next(0); c == nil || c.State.Step != 0 || c.State.Relapses != 2 || c.State.WarmingUp {
		t.Errorf("second shift: transition %+v, want step 0 with two relapses", c)
	}
	// If the controller is replaced during the warm-up, the warm-up ends later, never earlier.
	s.Unreachable, s.ZoneChecks, s.States["b"] = nil, nil, State{Step: FullStep, WarmingUp: true}
	controller = NewController(rules)
	if c := next(time.Hour); c != nil {
		t.Errorf("new controller ends the warm-up immediately: %+v", c)
	}
	if c := next(rules.WarmUp); c == nil || c.State.WarmingUp {
		t.Errorf("new controller does not end the warm-up: %+v", c)
	}
}
