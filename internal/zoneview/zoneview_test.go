package zoneview

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sorrelrudder/internal/consensus"
	_ "sorrelrudder/internal/fixedseed"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zonefailover"
)

// newNode returns the node of a member that considers a member alive if alive returns true for it.
func newNode(name string, members map[string]string, alive func(string) bool) *gossip.Node {
	cfg := gossip.DefaultConfig()
	cfg.Name, cfg.Kinds, cfg.DecidedKinds = name, []string{gossip.UnreachableKind, ZoneCheckKind, GrayFailureKind}, consensus.DecisionKinds
	for m := range members {
		cfg.Members = append(cfg.Members, m)
	}
	n := gossip.New(0, cfg)
	for m := range members {
		if m != name && alive(m) {
			n.Receive(time.Millisecond, m, &gossip.Message{Kind: gossip.RumorMessage, Members: []gossip.MemberState{{Name: m, Incarnation: 1 << 16}}})
		}
	}
	return n
}

// drawZones draws zones for least to limit names.
func drawZones(t *rapid.T, least, limit int, prefix string) map[string]string {
	zones := map[string]string{}
	for i := range rapid.IntRange(least, limit).Draw(t, "names") {
		zones[fmt.Sprint(prefix, i)] = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
	}
	return zones
}

// TestAssignedChecks checks for random fleets that a zone out of service is checked by at least one and at most MaxCheckers members,
// that no checker is in the zone if there are members outside, and that each checks endpoints of that zone only.
func TestAssignedChecks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawZones(t, 1, 40, "p")
		endpoints := drawZones(t, 1, 12, "s")
		endpoints["b"] = "b"
		round := rapid.IntRange(0, 100).Draw(t, "round")
		anyOutside := false
		for _, zone := range members {
			anyOutside = anyOutside || zone != "b"
		}
		checkers := 0
		for name, zone := range members {
			n := newNode(name, members, func(string) bool { return true })
			n.ApplyDecision("zone/farm/b", 1, []byte(zonefailover.State{}.Encode()))
			checks := AssignedChecks(n, nil, members, name, "farm", endpoints, round)
			checkAssigned(t, name, checks, endpoints)
			if len(checks) == 0 {
				continue
			}
			checkers++
			if zone == "b" && anyOutside {
				t.Fatalf("%s checks its own zone although there are members outside", name)
			}
		}
		if checkers == 0 || checkers > MaxCheckers {
			t.Fatalf("%d members check the zone, want 1 to MaxCheckers", checkers)
		}
	})
}

// checkAssigned checks that a member has no checks assigned, or only distinct endpoints of zone b.
func checkAssigned(t *rapid.T, name string, checks map[string][]string, endpoints map[string]string) {
	if len(checks) > 1 || len(checks) == 1 && checks["b"] == nil {
		t.Fatalf("%s has checks %v assigned, want none or those of zone b only", name, checks)
	}
	if len(checks["b"]) > EndpointsPerCheck {
		t.Fatalf("%s checks more than %d endpoints: %v", name, EndpointsPerCheck, checks)
	}
	for i, endpoint := range checks["b"] {
		if endpoints[endpoint] != "b" || i > 0 && endpoint == checks["b"][i-1] {
			t.Fatalf("%s has checks %v assigned, want distinct endpoints of zone b", name, checks)
		}
	}
}

// drawStates draws decided states for some of the zones.
func drawStates(t *rapid.T) map[string]zonefailover.State {
	states := map[string]zonefailover.State{}
	for _, zone := range []string{"a", "b"} {
		if rapid.Bool().Draw(t, "decided") {
			s := zonefailover.State{Step: rapid.IntRange(0, zonefailover.FullStep).Draw(t, "step"), Manual: rapid.Bool().Draw(t, "manual")}
			s.WarmingUp = s.Step == zonefailover.FullStep && rapid.Bool().Draw(t, "warming up")
			states[zone] = s
		}
	}
	return states
}

// TestExclusions checks that all processes with the same decisions exclude the same endpoints, that endpoints are not automatic in a
// zone whose state was set by an operator, and that exactly the endpoints in service of recovering zones count as recovering.
func TestExclusions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := map[string]string{"p": "a", "q": "b", "r": "c"}
		endpoints := drawZones(t, 0, 20, "s")
		states := drawStates(t)
		first := ""
		for name := range members {
			n := newNode(name, members, func(string) bool { return false })
			for zone, s := range states {
				n.ApplyDecision(gossip.PoolKey(consensus.ZoneKind, "farm", zone), 1, []byte(s.Encode()))
			}
			excluded, recovering, automatic := Exclusions(n, "farm", endpoints)
			if all := fmt.Sprint(excluded, recovering, automatic); first == "" {
				first = all
			} else if all != first {
				t.Fatalf("exclusions of %s are %s, those of another member with the same decisions are %s", name, all, first)
			}
			for endpoint, zone := range endpoints {
				s, decided := states[zone]
				partial := decided && s.Step < zonefailover.FullStep
				back := partial || s.WarmingUp
				isExcluded, isRecovering := excluded[endpoint], recovering[endpoint]
				switch {
				case isExcluded && !partial, isRecovering && (!back || isExcluded), back && !isExcluded && !isRecovering:
					t.Fatalf("endpoint %s of zone %s with state %+v: excluded %v, recovering %v", endpoint, zone, s, isExcluded, isRecovering)
				case automatic[endpoint] != (isExcluded && !s.Manual):
					t.Fatalf("endpoint %s of zone %s with state %+v: automatic %v", endpoint, zone, s, automatic[endpoint])
				}
			}
		}
	})
}

// TestShiftCommand checks that a command is based on the newest known decisions of its pool, and ignores decisions of other pools.
func TestShiftCommand(t *testing.T) {
	members := map[string]string{"p": "a"}
	n := newNode("p", members, func(string) bool { return false })
	n.ApplyDecision("zone/farm/a", 3, []byte(zonefailover.State{Step: 4}.Encode()))
	n.ApplyDecision("zone/farm/b", 7, []byte(zonefailover.State{Step: 4}.Encode()))
	n.ApplyDecision("zone/other/b", 9, []byte(zonefailover.State{Step: 4}.Encode()))
	if c := ShiftCommand(n, "farm", zonefailover.Transition{Zone: "a"}, 5); c.Key != "zone/farm/a" || c.BasedOn != 3 || c.NewestZoneDecision != 7 || c.Token != 5 || c.Conditional {
		t.Errorf("command is %+v, want one based on decision 3 of the zone and 7 of the pool, with token 5", c)
	}
	if c := ShiftCommand(n, "farm", zonefailover.Transition{Zone: "c"}, 5); c.BasedOn != 0 || c.NewestZoneDecision != 7 {
		t.Errorf("command for a zone without a decision is %+v, want one based on no decision of the zone and 7 of the pool", c)
	}
}

// TestSnapshot checks the snapshot that is read from the store, and the encoding of health checks.
func TestSnapshot(t *testing.T) {
	members := map[string]string{"p": "a", "q": "b", "r": "c"}
	n := newNode("p", members, func(m string) bool { return m == "q" })
	n.Put(gossip.PoolKey(gossip.UnreachableKind, "farm", "s1"), nil)
	n.Put(gossip.PoolKey(ZoneCheckKind, "farm", "b"), EncodeZoneCheck(0, 3))
	n.Put(gossip.PoolKey(GrayFailureKind, "farm", "c"), nil)
	n.Put(gossip.PoolKey(gossip.UnreachableKind, "farmyard", "s1"), nil)
	s := Snapshot(n, members, "farm", map[string]string{"s1": "b"})
	if len(s.MemberZones) != 2 || s.MemberZones["p"] != "a" || s.MemberZones["q"] != "b" || s.FleetSize != 3 {
		t.Errorf("member zones are %+v, want those of the alive members, this process included", s.MemberZones)
	}
	if len(s.Unreachable) != 1 || s.Unreachable[0] != (zonefailover.UnreachableReport{Member: "p", Endpoint: "s1"}) || len(s.GrayFailures) != 1 || len(s.Endpoints) != 1 {
		t.Errorf("snapshot is %+v, want the unreachable endpoint s1 of pool farm, one gray failure and one endpoint", s)
	}
	if len(s.ZoneChecks) != 1 || !s.ZoneChecks[0].NoneHealthy || s.ZoneChecks[0].AllHealthy {
		t.Errorf("zone checks are %+v, want one in which no endpoint was healthy", s.ZoneChecks)
	}
	for _, c := range []struct {
		healthy, checked int
		want             string
	}{{0, 3, noneHealthy}, {1, 3, someHealthy}, {3, 3, allHealthy}} {
		if got := string(EncodeZoneCheck(c.healthy, c.checked)); got != c.want {
			t.Errorf("EncodeZoneCheck for %d healthy of %d checked endpoints returned the wrong value %q", c.healthy, c.checked, got)
		}
	}
}
