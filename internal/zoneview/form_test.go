package zoneview

import (
	"fmt"
	"reflect"
	"testing"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/goldentest"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zonefailover"
)

// TestEntryForm pins the keys and values that members and consensus write about zones, and checks that Snapshot reads exactly these.
func TestEntryForm(t *testing.T) {
	members := map[string]string{"p": "a"}
	n := newNode("p", members, func(string) bool { return true })
	decided := zonefailover.State{Step: 1, Relapses: 2, Reason: "down"}
	n.Put(gossip.PoolKey(gossip.UnreachableKind, "orders", "10.0.0.1:80"), nil)
	n.Put(gossip.PoolKey(GrayFailureKind, "orders", "a"), nil)
	n.Put(gossip.PoolKey(ZoneCheckKind, "orders", "a"), EncodeZoneCheck(0, 3))
	n.Put(gossip.PoolKey(ZoneCheckKind, "orders", "b"), EncodeZoneCheck(2, 3))
	n.Put(gossip.PoolKey(ZoneCheckKind, "orders", "c"), EncodeZoneCheck(3, 3))
	n.ApplyDecision(gossip.PoolKey(consensus.ZoneKind, "orders", "b"), 8, []byte(decided.Encode()))
	var forms []goldentest.Form
	n.Store().ForEach("", func(e *gossip.Entry) bool {
		forms = append(forms, goldentest.Form{Name: e.Key, Written: fmt.Sprintf("%s %x", e.Owner, e.Siblings)})
		return true
	})
	goldentest.CheckForms(t, "entries.golden", forms)

	want := zonefailover.Snapshot{
		MemberZones: members, FleetSize: 1, Endpoints: []zonefailover.Endpoint{{Name: "10.0.0.1:80", Zone: "a"}},
		Unreachable: []zonefailover.UnreachableReport{{Member: "p", Endpoint: "10.0.0.1:80"}},
		ZoneChecks: []zonefailover.ZoneCheck{
			{Member: "p", Zone: "a", NoneHealthy: true}, {Member: "p", Zone: "b"}, {Member: "p", Zone: "c", AllHealthy: true},
		},
		GrayFailures: []zonefailover.GrayFailureReport{{Member: "p", Zone: "a"}},
		States:       map[string]zonefailover.State{"b": decided}, Revisions: map[string]uint64{"b": 8},
	}
	if got := Snapshot(n, members, "orders", map[string]string{"10.0.0.1:80": "a"}); !reflect.DeepEqual(got, want) {
		t.Errorf("snapshot is %+v\nwant %+v", got, want)
	}
}

// TestCommandForm pins the command that the lease holder proposes to consensus, and the name of the lease.
func TestCommandForm(t *testing.T) {
	n := newNode("p", map[string]string{"p": "a"}, func(string) bool { return true })
	n.ApplyDecision("zone/orders/a", 5, []byte("4 false 0 "))
	n.ApplyDecision("zone/orders/b", 9, []byte("0 false 0 "))
	got := ShiftCommand(n, "orders", zonefailover.Transition{Zone: "a", State: zonefailover.State{Step: 3, Relapses: 1, Reason: "a step was borne"}}, 77)
	want := consensus.DecisionCommand{Key: "zone/orders/a", Value: "3 false 1 a step was borne", Token: 77, BasedOn: 5, NewestZoneDecision: 9}
	if got != want || LeaseName != "zones" {
		t.Errorf("command is %+v, want %+v; lease name is %q", got, want, LeaseName)
	}
}

// TestCheckersForm pins which members check a zone. Members of different program versions must select the same checkers.
func TestCheckersForm(t *testing.T) {
	members := map[string]string{}
	for i := range 12 {
		members[fmt.Sprint("p", i)] = "a"
	}
	var checkers []string
	for i := range 12 {
		name := fmt.Sprint("p", i)
		n := newNode(name, members, func(string) bool { return true })
		if isChecker(n, members, name, "b") {
			checkers = append(checkers, name)
		}
	}
	goldentest.CheckForms(t, "lookers.golden", []goldentest.Form{{Name: "lookers", Written: fmt.Sprint(checkers)}})
}
