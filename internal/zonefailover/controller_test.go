package zonefailover

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// TestRecovery checks that a zone that was left recovers step by step, each with its health quorum; that a step that fails goes
// back; and that the next recovery begins later.
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
		t.Fatalf("%+v", c)
	}
	s.Unreachable, s.ZoneChecks = nil, nil // nothing is sent there any more
	next()
	now += time.Minute
	if c := next(); c != nil {
		t.Fatalf("no health check, and it recovers: %+v", c)
	}
	s.ZoneChecks = []ZoneCheck{{"ma0", "b", true, false}}
	if c := next(); c != nil {
		t.Fatalf("one health check: %+v", c)
	}
	s.ZoneChecks = append(s.ZoneChecks, ZoneCheck{"mc0", "b", true, false}, ZoneCheck{"mc1", "b", false, true})
	if c := next(); c != nil {
		t.Fatalf("one health check fails: %+v", c)
	}
	s.ZoneChecks[2].AllHealthy = true
	s.Unreachable = down
	if c := next(); c != nil {
		t.Fatalf("earlier reports still stand: %+v", c)
	}
	s.Unreachable = nil
	for step := 1; step <= 3; step++ {
		if c := next(); c == nil || c.State.Step != step {
			t.Fatalf("step %d: %+v", step, c)
		}
		if c := next(); c != nil {
			t.Fatalf("the next step at once: %+v", c)
		}
		now += rules.StepDuration
	}
	s.Unreachable = down // it fails, at a half
	if c := next(); c == nil || c.State.Step != 1 || c.State.Relapses != 1 {
		t.Fatalf("%+v", c)
	}
	if c := next(); c == nil || c.State.Step != 0 || c.State.Relapses != 2 {
		t.Fatalf("%+v", c)
	}
	s.Unreachable = nil
	left := now
	for c := next(); c == nil; c = next() {
		now += 100 * time.Millisecond
	}
	if now-left < 4*rules.HoldDown {
		t.Errorf("it recovers %v after its second relapse, and is to be held down for %v", now-left, 4*rules.HoldDown)
	}
	s.States["b"] = State{Step: 0, Manual: true}
	now += time.Hour
	if c := next(); c != nil {
		t.Errorf("an operator has set its state: %+v", c)
	}
}

// TestMinRemainingCapacity checks for any reports, in any order, that no more is left than the rules say, and never the last
// zone.
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
				t.Fatalf("%d of %d endpoints are in zones wholly in service", whole, len(s.Endpoints))
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

// smallSnapshot is three zones of one endpoint and one member each, of which two find b healthy. b is in a state.
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

// TestStepBetween checks that a step that was decided, and undone by an operator, between two calls begins the hold-down anew.
func TestStepBetween(t *testing.T) {
	rules := DefaultRules()
	controller := NewController(rules)
	s := smallSnapshot([2]string{"p", "q"}, State{})
	if c, _ := controller.Next(0, s); c != nil {
		t.Fatalf("%+v at once", c)
	}
	if c, _ := controller.Next(rules.HoldDown, s); c == nil || c.State.Step != 1 {
		t.Fatalf("%+v after the hold-down", c)
	}
	s.Revisions = map[string]uint64{"b": 3} // its step was decided as 2, and the operator's state as 3
	if c, _ := controller.Next(rules.HoldDown+1, s); c != nil {
		t.Errorf("%+v at once after an operator's state", c)
	}
	if c, _ := controller.Next(2*rules.HoldDown+1, s); c == nil {
		t.Error("never again")
	}
}

// TestWarmUp checks that a zone counts as recovering after its last step until its endpoints have had the time to warm up: a
// process that starts before that must know. The end of the warm-up is no step: a zone that is left again soon after has not
// been healthy meanwhile.
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
		t.Fatalf("the last step: %+v", c)
	}
	next(0)
	if c := next(rules.WarmUp - 1); c != nil {
		t.Fatalf("too soon: %+v", c)
	}
	if c := next(1); c == nil || c.State.Step != FullStep || c.State.WarmingUp || c.State.Recovering() || c.State.Relapses != 1 {
		t.Fatalf("warm: %+v", c)
	}
	next(0)
	if c := next(time.Hour); c != nil {
		t.Fatalf("and once more: %+v", c)
	}
	now -= time.Hour // as soon after its last step as counts as a relapse, and longer after it was warm than before
	now += rules.HoldDown<<2 + relapseWindow - rules.WarmUp - 1
	for _, member := range []string{"p", "q", "s"} {
		s.Unreachable = append(s.Unreachable, UnreachableReport{member, "b1"})
	}
	s.ZoneChecks = []ZoneCheck{{"p", "b", false, true}, {"s", "b", false, true}}
	if c := next(0); c == nil || c.State.Step != 0 || c.State.Relapses != 2 || c.State.WarmingUp {
		t.Errorf("left again: %+v", c)
	}
	// If the controller is lost while the endpoints warm up, the warm-up ends later, and never sooner.
	s.Unreachable, s.ZoneChecks, s.States["b"] = nil, nil, State{Step: FullStep, WarmingUp: true}
	controller = NewController(rules)
	if c := next(time.Hour); c != nil {
		t.Errorf("a new controller takes it for warm at once: %+v", c)
	}
	if c := next(rules.WarmUp); c == nil || c.State.WarmingUp {
		t.Errorf("it is never warm: %+v", c)
	}
}
