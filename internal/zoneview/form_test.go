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

// TestEntryForm pins what members and the council write of zones, key and contents, and that the scene is read from exactly that.
func TestEntryForm(t *testing.T) {
	members := map[string]string{"p": "a"}
	n := nodeOf("p", members, func(string) bool { return true })
	decided := zonefailover.State{Step: 1, Falls: 2, Why: "down"}
	n.Put(gossip.ServerKey(gossip.DeadKind, "orders", "10.0.0.1:80"), nil)
	n.Put(gossip.ServerKey(GreyKind, "orders", "a"), nil)
	n.Put(gossip.ServerKey(LookKind, "orders", "a"), LookValue(0, 3))
	n.Put(gossip.ServerKey(LookKind, "orders", "b"), LookValue(2, 3))
	n.Put(gossip.ServerKey(LookKind, "orders", "c"), LookValue(3, 3))
	n.Decide(gossip.ServerKey(consensus.ZoneKind, "orders", "b"), 8, []byte(decided.Encode()))
	var forms []goldentest.Form
	n.Copies().All("", func(e *gossip.Entry) bool {
		forms = append(forms, goldentest.Form{Name: e.Key, Written: fmt.Sprintf("%s %x", e.Owner, e.Contents)})
		return true
	})
	goldentest.CheckForms(t, "entries.golden", forms)

	want := zonefailover.Scene{
		Zones: members, Members: 1, Servers: []zonefailover.Server{{Name: "10.0.0.1:80", Zone: "a"}},
		Words: []zonefailover.Word{{Member: "p", Server: "10.0.0.1:80"}},
		Looks: []zonefailover.Look{
			{Member: "p", Zone: "a", Silent: true}, {Member: "p", Zone: "b"}, {Member: "p", Zone: "c", Answers: true},
		},
		Greys:   []zonefailover.GreyWord{{Member: "p", Zone: "a"}},
		Decided: map[string]zonefailover.State{"b": decided}, Epochs: map[string]uint64{"b": 8},
	}
	if got := Scene(n, members, "orders", map[string]string{"10.0.0.1:80": "a"}); !reflect.DeepEqual(got, want) {
		t.Errorf("the scene is %+v\nwant %+v", got, want)
	}
}

// TestCommandForm pins what the holder of the lease asks the council, and under which name it holds the lease.
func TestCommandForm(t *testing.T) {
	n := nodeOf("p", map[string]string{"p": "a"}, func(string) bool { return true })
	n.Decide("zone/orders/a", 5, []byte("4 false 0 "))
	n.Decide("zone/orders/b", 9, []byte("0 false 0 "))
	got := Command(n, "orders", zonefailover.Change{Zone: "a", State: zonefailover.State{Step: 3, Falls: 1, Why: "a step was borne"}}, 77)
	want := consensus.OrderCommand{Key: "zone/orders/a", Value: "3 false 1 a step was borne", Token: 77, After: 5, Seen: 9}
	if got != want || Lease != "zones" {
		t.Errorf("the command is %+v, want %+v; the lease is %q", got, want, Lease)
	}
}

// TestLookersForm pins who looks at a zone: members of two versions must choose the same.
func TestLookersForm(t *testing.T) {
	members := map[string]string{}
	for i := range 12 {
		members[fmt.Sprint("p", i)] = "a"
	}
	var lookers []string
	for i := range 12 {
		name := fmt.Sprint("p", i)
		n := nodeOf(name, members, func(string) bool { return true })
		if looksAt(n, members, name, "b") {
			lookers = append(lookers, name)
		}
	}
	goldentest.CheckForms(t, "lookers.golden", []goldentest.Form{{Name: "lookers", Written: fmt.Sprint(lookers)}})
}
