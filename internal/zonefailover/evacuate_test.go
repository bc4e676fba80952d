package zonefailover

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// scene is three zones of four servers and four members each, of which the words say who finds what silent, and two of each zone look at others.
func scene(silent func(memberZone string, member int, serverZone string, server int) bool) Snapshot {
	s := Snapshot{MemberZones: map[string]string{}, FleetSize: 12, States: map[string]State{}}
	zones := []string{"a", "b", "c"}
	for _, z := range zones {
		for i := range 4 {
			s.Endpoints = append(s.Endpoints, Endpoint{fmt.Sprint(z, i), z})
			s.MemberZones[fmt.Sprint("m", z, i)] = z
		}
	}
	for _, mz := range zones {
		for m := range 4 {
			for _, sz := range zones {
				for i := range 4 {
					if silent(mz, m, sz, i) {
						s.Unreachable = append(s.Unreachable, UnreachableReport{fmt.Sprint("m", mz, m), fmt.Sprint(sz, i)})
					}
				}
				if m > 0 && m < 3 && mz != sz {
					got := 0
					for i := range 3 {
						if !silent(mz, m, sz, i) {
							got++
						}
					}
					s.ZoneChecks = append(s.ZoneChecks, ZoneCheck{fmt.Sprint("m", mz, m), sz, got == 3, got == 0})
				}
			}
		}
	}
	return s
}

// TestIsItTheZone: what is a zone's failure, and what only looks like it.
func TestIsItTheZone(t *testing.T) {
	for name, c := range map[string]struct {
		silent func(string, int, string, int) bool
		change func(*Snapshot)
		want   Cause
	}{
		"all is well":                {func(string, int, string, int) bool { return false }, nil, CauseHealthy},
		"the zone is down":           {func(_ string, _ int, z string, _ int) bool { return z == "b" }, nil, CauseDown},
		"to those outside":           {func(m string, _ int, z string, _ int) bool { return z == "b" && m != "b" }, nil, CauseDown},
		"three of four servers":      {func(_ string, _ int, z string, i int) bool { return z == "b" && i < 3 }, nil, CauseDown},
		"half of its servers":        {func(_ string, _ int, z string, i int) bool { return z == "b" && i < 2 }, nil, CauseHealthy},
		"the way from one zone":      {func(m string, _ int, z string, _ int) bool { return z == "b" && m == "a" }, nil, CausePathBroken},
		"one member is cut off":      {func(m string, i int, _ string, _ int) bool { return m == "a" && i == 0 }, nil, CauseHealthy},
		"a whole zone is cut off":    {func(m string, _ int, z string, _ int) bool { return m == "a" && z != "a" }, nil, CausePathBroken},
		"a release in all zones":     {func(_ string, _ int, _ string, i int) bool { return i < 3 }, nil, CauseFailingEverywhere},
		"two zones at once":          {func(_ string, _ int, z string, _ int) bool { return z != "a" }, nil, CauseFailingEverywhere},
		"most members are not there": {func(_ string, _ int, z string, _ int) bool { return z == "b" }, func(s *Snapshot) { s.FleetSize = 24 }, CauseMinorityPartition},
		"another zone is left": {func(_ string, _ int, z string, _ int) bool { return z == "b" }, func(s *Snapshot) {
			s.States["c"] = State{Step: 0}
		}, CauseInsufficientCapacity},
		"nobody has looked yet": {func(_ string, _ int, z string, _ int) bool { return z == "b" }, func(s *Snapshot) { s.ZoneChecks = nil }, CauseAwaitingHealthQuorum},
		"one has looked":        {func(_ string, _ int, z string, _ int) bool { return z == "b" }, func(s *Snapshot) { s.ZoneChecks = []ZoneCheck{{"ma1", "b", false, true}} }, CauseAwaitingHealthQuorum},
		"only members in it have looked": {func(_ string, _ int, z string, _ int) bool { return z == "b" }, func(s *Snapshot) {
			s.ZoneChecks = []ZoneCheck{{"mb1", "b", false, true}, {"mb2", "b", false, true}, {"mb3", "b", false, true}}
		}, CauseAwaitingHealthQuorum},
		"words of chance: those that look get answers": {func(_ string, _ int, z string, _ int) bool { return z == "b" }, func(s *Snapshot) {
			s.ZoneChecks = []ZoneCheck{{"ma1", "b", true, false}, {"mc1", "b", false, false}, {"mc2", "b", false, true}}
		}, CausePartiallyReachable},
		"one of four still reaches a server": {func(_ string, _ int, z string, _ int) bool { return z == "b" }, func(s *Snapshot) {
			s.ZoneChecks = append(s.ZoneChecks[:0:0], ZoneCheck{"ma1", "b", false, true}, ZoneCheck{"ma2", "b", false, true}, ZoneCheck{"mc1", "b", false, true}, ZoneCheck{"mc2", "b", false, false})
		}, CauseDown},
		"those in it see it well, and all others do not": {func(m string, _ int, z string, _ int) bool { return z == "b" && m != "b" }, func(s *Snapshot) {
			s.ZoneChecks = append(s.ZoneChecks, ZoneCheck{"mb1", "b", true, false}, ZoneCheck{"mb2", "b", true, false}, ZoneCheck{"mb3", "b", true, false})
		}, CauseDown},
		"grey to members of two zones": {func(string, int, string, int) bool { return false }, func(s *Snapshot) {
			s.GrayFailures = []GrayFailureReport{{"ma0", "b"}, {"mc1", "b"}}
		}, CauseGrayFailure},
		"grey to one zone only": {func(string, int, string, int) bool { return false }, func(s *Snapshot) {
			s.GrayFailures = []GrayFailureReport{{"ma0", "b"}, {"ma1", "b"}, {"ma2", "b"}}
		}, CauseHealthy},
		"grey to too few": {func(string, int, string, int) bool { return false }, func(s *Snapshot) {
			s.GrayFailures = []GrayFailureReport{{"ma0", "b"}, {"mb1", "b"}, {"mb2", "b"}}
		}, CauseHealthy},
		"two zones grey alike": {func(string, int, string, int) bool { return false }, func(s *Snapshot) {
			s.GrayFailures = []GrayFailureReport{{"ma0", "b"}, {"mc1", "b"}, {"mb0", "a"}, {"mc1", "a"}}
		}, CauseFailingEverywhere},
		"grey, and another is left": {func(string, int, string, int) bool { return false }, func(s *Snapshot) {
			s.GrayFailures, s.States["c"] = []GrayFailureReport{{"ma0", "b"}, {"mc1", "b"}}, State{Step: 0}
		}, CauseInsufficientCapacity},
		"a liar from its own zone": {func(m string, i int, z string, _ int) bool { return m == "b" && i == 0 && z == "b" }, nil, CausePathBroken},
	} {
		s := scene(c.silent)
		if c.change != nil {
			c.change(&s)
		}
		r := DefaultRules()
		r.GrayFailures = true
		if got := r.Judge(s)["b"]; got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// TestReturn: a zone that was left is returned to step by step, each looked at; a step that hurts goes back, and the next return begins later.
func TestReturn(t *testing.T) {
	r := DefaultRules()
	k := NewController(r)
	s := scene(func(_ string, _ int, z string, _ int) bool { return z == "b" })
	down := s.Unreachable
	now := time.Duration(0)
	next := func() *Transition {
		c, _ := k.Next(now, s)
		if c != nil {
			s.States[c.Zone] = c.State
		}
		return c
	}
	if c := next(); c == nil || c.Zone != "b" || c.State.Step != 0 {
		t.Fatalf("%+v", c)
	}
	s.Unreachable, s.ZoneChecks = nil, nil // nobody sends there any more
	next()
	now += time.Minute
	if c := next(); c != nil {
		t.Fatalf("nobody has looked, and it returns: %+v", c)
	}
	s.ZoneChecks = []ZoneCheck{{"ma0", "b", true, false}}
	if c := next(); c != nil {
		t.Fatalf("one has looked: %+v", c)
	}
	s.ZoneChecks = append(s.ZoneChecks, ZoneCheck{"mc0", "b", true, false}, ZoneCheck{"mc1", "b", false, true})
	if c := next(); c != nil {
		t.Fatalf("one gets no answer: %+v", c)
	}
	s.ZoneChecks[2].AllHealthy = true
	s.Unreachable = down
	if c := next(); c != nil {
		t.Fatalf("words of before still stand: %+v", c)
	}
	s.Unreachable = nil
	for step := 1; step <= 3; step++ {
		if c := next(); c == nil || c.State.Step != step {
			t.Fatalf("step %d: %+v", step, c)
		}
		if c := next(); c != nil {
			t.Fatalf("the next step at once: %+v", c)
		}
		now += r.StepDuration
	}
	s.Unreachable = down // it hurts, at a half
	if c := next(); c == nil || c.State.Step != 1 || c.State.Relapses != 1 {
		t.Fatalf("%+v", c)
	}
	if c := next(); c == nil || c.State.Step != 0 || c.State.Relapses != 2 {
		t.Fatalf("%+v", c)
	}
	s.Unreachable = nil
	began := now
	for c := next(); c == nil; c = next() {
		now += 100 * time.Millisecond
	}
	if now-began < 4*r.HoldDown {
		t.Errorf("it returns %v after its second fall, and is to be left for %v", now-began, 4*r.HoldDown)
	}
	s.States["b"] = State{Step: 0, Manual: true}
	now += time.Hour
	if c := next(); c != nil {
		t.Errorf("an operator has pinned it: %+v", c)
	}
}

// TestParts: whatever the zone's size, each step has the servers of the one before, the first has one at least, the last all, and the share is
// never above the step's by more than one server.
func TestParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "servers")
		var list []Endpoint
		for i := range n {
			list = append(list, Endpoint{fmt.Sprint("s", i), "z"})
		}
		list = append(list, Endpoint{"other", "y"})
		before := n + 1
		for step := 0; step <= FullStep; step++ {
			avoided := ExcludedEndpoints(list, map[string]State{"z": {Step: step}})
			if avoided["other"] {
				t.Fatal("a server of another zone")
			}
			used := n - len(avoided)
			if step == 0 && used != 0 || step > 0 && used == 0 || step == FullStep && used != n || len(avoided) > before || float64(used) > RampFraction(step)*float64(n)+1 {
				t.Fatalf("step %d of %d servers: %d used", step, n, used)
			}
			before = len(avoided)
		}
	})
}

// TestNeverTooMany: for whatever is seen, in whatever order, no more is left than the rules say, and never the last zone.
func TestNeverTooMany(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := NewController(DefaultRules())
		s := scene(func(string, int, string, int) bool { return false })
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "later"))
			s.Unreachable, s.ZoneChecks = nil, nil
			for _, x := range s.Endpoints {
				for m := range s.MemberZones {
					if rapid.IntRange(0, 2).Draw(t, "silent") == 0 {
						s.Unreachable = append(s.Unreachable, UnreachableReport{m, x.Name})
					}
				}
			}
			for m := range s.MemberZones {
				s.ZoneChecks = append(s.ZoneChecks, ZoneCheck{m, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "of"), rapid.Bool().Draw(t, "answers"), rapid.Bool().Draw(t, "silent too")})
			}
			if c, _ := k.Next(now, s); c != nil {
				s.States[c.Zone] = c.State
			}
			used := 0
			for _, x := range s.Endpoints {
				if d, is := s.States[x.Zone]; !is || d.Step == FullStep {
					used++
				}
			}
			if float64(used) < DefaultRules().MinRemainingCapacity*float64(len(s.Endpoints)) {
				t.Fatalf("%d of %d servers are wholly in use", used, len(s.Endpoints))
			}
		}
	})
}

func TestStateText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{
			Step: rapid.IntRange(0, FullStep).Draw(t, "step"), Manual: rapid.Bool().Draw(t, "pinned"), Relapses: rapid.IntRange(0, 9).Draw(t, "falls"),
			Reason: rapid.StringMatching(`[a-z ]{0,20}`).Draw(t, "why"),
		}
		s.WarmingUp = s.Step == FullStep && rapid.Bool().Draw(t, "cold")
		if got, err := Decode(s.Encode()); err != nil || got != s {
			t.Fatalf("%+v, %v", got, err)
		}
	})
	for _, bad := range []string{"", "1", "9 true 0", "1 perhaps 0", "-1 true 0", "1 true -2", "1c true 0", "c true 0", "4cc true 0"} {
		if _, err := Decode(bad); err == nil {
			t.Errorf("%q is read", bad)
		}
	}
}

// TestStepBetween: a step that was decided and undone by an operator between two looks of the one who decides begins the hold anew.
func TestStepBetween(t *testing.T) {
	r := DefaultRules()
	k := NewController(r)
	s := Snapshot{
		Endpoints: []Endpoint{{"a1", "a"}, {"b1", "b"}, {"c1", "c"}}, MemberZones: map[string]string{"p": "a", "q": "b", "s": "c"}, FleetSize: 3,
		ZoneChecks: []ZoneCheck{{"p", "b", true, false}, {"q", "b", true, false}}, States: map[string]State{"b": {}}, Revisions: map[string]uint64{"b": 1},
	}
	if c, _ := k.Next(0, s); c != nil {
		t.Fatalf("%+v at once", c)
	}
	if c, _ := k.Next(r.HoldDown, s); c == nil || c.State.Step != 1 {
		t.Fatalf("%+v after the hold", c)
	}
	s.Revisions = map[string]uint64{"b": 3} // its step was decided as 2, and an operator's word as 3
	if c, _ := k.Next(r.HoldDown+1, s); c != nil {
		t.Errorf("%+v at once after an operator's word", c)
	}
	if c, _ := k.Next(2*r.HoldDown+1, s); c == nil {
		t.Error("never again")
	}
}

// TestWarmAgain: after its last step a zone counts as returned to only once its servers have had the time to warm up: a process that starts before
// has to be told. That is no step: a zone that is left again soon after has not been well meanwhile.
func TestWarmAgain(t *testing.T) {
	r := DefaultRules()
	r.WarmUp = 8 * time.Second
	k := NewController(r)
	s := Snapshot{
		Endpoints: []Endpoint{{"a1", "a"}, {"b1", "b"}, {"c1", "c"}}, MemberZones: map[string]string{"p": "a", "q": "b", "s": "c"}, FleetSize: 3,
		ZoneChecks: []ZoneCheck{{"p", "b", true, false}, {"s", "b", true, false}}, States: map[string]State{"b": {Step: FullStep - 1, Relapses: 1}}, Revisions: map[string]uint64{"b": 1},
	}
	now := time.Duration(0)
	next := func(later time.Duration) *Transition {
		now += later
		c, _ := k.Next(now, s)
		if c != nil {
			s.States[c.Zone] = c.State
			s.Revisions[c.Zone]++
		}
		return c
	}
	next(0)
	if c := next(r.StepDuration); c == nil || c.State.Step != FullStep || !c.State.WarmingUp || !c.State.Recovering() {
		t.Fatalf("the last step: %+v", c)
	}
	next(0)
	if c := next(r.WarmUp - 1); c != nil {
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
	now += r.HoldDown<<2 + relapseWindow - r.WarmUp - 1
	for _, member := range []string{"p", "q", "s"} {
		s.Unreachable = append(s.Unreachable, UnreachableReport{member, "b1"})
	}
	s.ZoneChecks = []ZoneCheck{{"p", "b", false, true}, {"s", "b", false, true}}
	if c := next(0); c == nil || c.State.Step != 0 || c.State.Relapses != 2 || c.State.WarmingUp {
		t.Errorf("left again: %+v", c)
	}
	// One whose decider is lost while its servers are cold is warm later, and never sooner.
	s.Unreachable, s.ZoneChecks, s.States["b"] = nil, nil, State{Step: FullStep, WarmingUp: true}
	k = NewController(r)
	if c := next(time.Hour); c != nil {
		t.Errorf("a new decider takes it for warm at once: %+v", c)
	}
	if c := next(r.WarmUp); c == nil || c.State.WarmingUp {
		t.Errorf("it is never warm: %+v", c)
	}
}
