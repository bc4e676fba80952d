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

// nodeOf is a process of a fleet to which the members named are there.
func nodeOf(name string, members map[string]string, there func(string) bool) *gossip.Node {
	cfg := gossip.DefaultConfig()
	cfg.Name, cfg.Kinds, cfg.DecidedKinds = name, []string{gossip.UnreachableKind, ZoneCheckKind, GrayFailureKind}, consensus.DecisionKinds
	for m := range members {
		cfg.Members = append(cfg.Members, m)
	}
	n := gossip.New(0, cfg)
	for m := range members {
		if m != name && there(m) {
			n.Receive(time.Millisecond, m, &gossip.Message{Kind: gossip.RumorMessage, Members: []gossip.MemberState{{Name: m, Incarnation: 1 << 16}}})
		}
	}
	return n
}

// TestLookers: whatever the fleet's size, at most five members look at a zone that was left, none of them in it where others are there, and at least
// one does; each looks at servers of that zone, of three at once others each turn.
func TestLookers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := map[string]string{}
		for i := range rapid.IntRange(1, 40).Draw(t, "members") {
			members[fmt.Sprint("p", i)] = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
		}
		list := map[string]string{}
		for i := range rapid.IntRange(1, 12).Draw(t, "servers") {
			list[fmt.Sprint("s", i)] = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server's zone")
		}
		list["b"] = "b"
		turn := rapid.IntRange(0, 100).Draw(t, "turn")
		looks, outside := 0, false
		for name, zone := range members {
			outside = outside || zone != "b"
			n := nodeOf(name, members, func(string) bool { return true })
			n.ApplyDecision("zone/farm/b", 1, []byte(zonefailover.State{}.Encode()))
			at := AssignedChecks(n, nil, members, name, "farm", list, turn)
			if len(at) > 1 || len(at) == 1 && at["b"] == nil {
				t.Fatalf("%s looks at %v", name, at)
			}
			if at["b"] == nil {
				continue
			}
			looks++
			if len(at["b"]) > EndpointsPerCheck {
				t.Fatalf("%s looks at %v", name, at)
			}
			for i, server := range at["b"] {
				if list[server] != "b" || i > 0 && server == at["b"][i-1] {
					t.Fatalf("%s looks at %v", name, at)
				}
			}
		}
		if looks == 0 || looks > MaxCheckers {
			t.Fatalf("%d members look", looks)
		}
		for name, zone := range members {
			n := nodeOf(name, members, func(string) bool { return true })
			n.ApplyDecision("zone/farm/b", 1, []byte(zonefailover.State{}.Encode()))
			if zone == "b" && outside && len(AssignedChecks(n, nil, members, name, "farm", list, turn)) > 0 {
				t.Fatalf("%s is in the zone, and looks at it", name)
			}
		}
	})
}

// TestOrders: by one decision all leave out the same servers; those of a zone that an operator left are never soft; what is in use of a zone that is
// returned to, and nothing else, counts as being returned to.
func TestOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := map[string]string{"p": "a", "q": "b", "r": "c"}
		list := map[string]string{}
		for i := range rapid.IntRange(0, 20).Draw(t, "servers") {
			list[fmt.Sprint("s", i)] = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server's zone")
		}
		states := map[string]zonefailover.State{}
		for _, zone := range []string{"a", "b"} {
			if rapid.Bool().Draw(t, "decided") {
				s := zonefailover.State{Step: rapid.IntRange(0, zonefailover.FullStep).Draw(t, "step"), Manual: rapid.Bool().Draw(t, "pinned")}
				s.WarmingUp = s.Step == zonefailover.FullStep && rapid.Bool().Draw(t, "cold")
				states[zone] = s
			}
		}
		var first string
		for name := range members {
			n := nodeOf(name, members, func(string) bool { return false })
			for zone, s := range states {
				n.ApplyDecision(gossip.PoolKey(consensus.ZoneKind, "farm", zone), 1, []byte(s.Encode()))
			}
			avoid, returning, soft := Exclusions(n, "farm", list)
			if all := fmt.Sprint(avoid, returning, soft); first == "" {
				first = all
			} else if all != first {
				t.Fatalf("%s leaves out %s, and others %s", name, all, first)
			}
			for server, zone := range list {
				s, is := states[zone]
				part := is && s.Step < zonefailover.FullStep
				back := part || s.WarmingUp
				switch {
				case avoid[server] && !part, returning[server] && (!back || avoid[server]), back && !avoid[server] && !returning[server]:
					t.Fatalf("%s of %s at %+v: left out %v, returned to %v", server, zone, s, avoid[server], returning[server])
				case soft[server] != (avoid[server] && !s.Manual):
					t.Fatalf("%s of %s at %+v: soft %v", server, zone, s, soft[server])
				}
			}
		}
	})
}

// TestCommand: what the holder asks builds on all that it knows of the pool's zones, and on nothing of other pools.
func TestCommand(t *testing.T) {
	members := map[string]string{"p": "a"}
	n := nodeOf("p", members, func(string) bool { return false })
	n.ApplyDecision("zone/farm/a", 3, []byte(zonefailover.State{Step: 4}.Encode()))
	n.ApplyDecision("zone/farm/b", 7, []byte(zonefailover.State{Step: 4}.Encode()))
	n.ApplyDecision("zone/other/b", 9, []byte(zonefailover.State{Step: 4}.Encode()))
	if c := ShiftCommand(n, "farm", zonefailover.Transition{Zone: "a"}, 5); c.Key != "zone/farm/a" || c.BasedOn != 3 || c.LastSeenZone != 7 || c.Token != 5 || c.Conditional {
		t.Errorf("%+v", c)
	}
	if c := ShiftCommand(n, "farm", zonefailover.Transition{Zone: "c"}, 5); c.BasedOn != 0 || c.LastSeenZone != 7 {
		t.Errorf("of a zone that nothing was decided of: %+v", c)
	}
}

// TestScene: what is read out of the copies: words and looks of members, also those of two contents to the careful side.
func TestScene(t *testing.T) {
	members := map[string]string{"p": "a", "q": "b", "r": "c"}
	n := nodeOf("p", members, func(m string) bool { return m == "q" })
	n.Put(gossip.PoolKey(gossip.UnreachableKind, "farm", "s1"), nil)
	n.Put(gossip.PoolKey(ZoneCheckKind, "farm", "b"), EncodeZoneCheck(0, 3))
	n.Put(gossip.PoolKey(GrayFailureKind, "farm", "c"), nil)
	n.Put(gossip.PoolKey(gossip.UnreachableKind, "farmyard", "s1"), nil)
	s := Snapshot(n, members, "farm", map[string]string{"s1": "b"})
	if len(s.MemberZones) != 2 || s.MemberZones["p"] != "a" || s.MemberZones["q"] != "b" || s.FleetSize != 3 {
		t.Errorf("%+v: only those that are there, this process among them", s.MemberZones)
	}
	if len(s.Unreachable) != 1 || s.Unreachable[0] != (zonefailover.UnreachableReport{Member: "p", Endpoint: "s1"}) || len(s.GrayFailures) != 1 || len(s.Endpoints) != 1 {
		t.Errorf("%+v", s)
	}
	if len(s.ZoneChecks) != 1 || !s.ZoneChecks[0].NoneHealthy || s.ZoneChecks[0].AllHealthy {
		t.Errorf("%+v", s.ZoneChecks)
	}
	for _, c := range []struct {
		answered, of int
		want         string
	}{{0, 3, noneHealthy}, {1, 3, someHealthy}, {3, 3, allHealthy}} {
		if got := string(EncodeZoneCheck(c.answered, c.of)); got != c.want {
			t.Errorf("%d of %d: %q", c.answered, c.of, got)
		}
	}
}
