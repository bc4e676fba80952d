package gossip

import (
	"testing"
	"time"
)

// TestPartition checks that the two sides of a partition declare each other dead while both write. After the partition has healed, all
// members must have the decision and the newest entries, and no deleted entry may come back.
func TestPartition(t *testing.T) {
	w := newNetwork(t, 10)
	w.nodes["a"].Put("dead/old", []byte("1"))
	w.nodes["j"].Put("dead/old", []byte("1"))
	w.until("all have the entries", 5*time.Second, w.equal)
	side := func(name string) bool { return name < "f" }
	w.cut = func(from, to string) bool { return side(from) != side(to) }
	w.run(time.Second)
	w.nodes["b"].Put("dead/endpoint", []byte("1"))
	w.nodes["i"].Put("dead/endpoint", []byte("2"))
	w.nodes["a"].Delete("dead/old")
	w.nodes["c"].ApplyDecision("order/endpoint", 7, []byte("avoid"))
	w.until("the members of the other side are dead and their entries reaped", 2*time.Minute, func() bool {
		n := w.nodes["b"]
		return n.Count(Dead) == 5 && !w.holds("b", "j", "dead/old") && !w.holds("h", "a", "dead/old")
	})
	w.cut = nil
	took := w.until("all members are alive and all replicas equal", 20*time.Second, func() bool {
		for _, n := range w.nodes {
			if n.Count(Alive) != 9 {
				return false
			}
		}
		return w.equal()
	})
	t.Logf("replicas were equal %v after the partition had healed", took)
	for name := range w.nodes {
		if !w.holds(name, "b", "dead/endpoint") || !w.holds(name, "i", "dead/endpoint") || !w.holds(name, "j", "dead/old") || !w.holds(name, ConsensusOwner, "order/endpoint") {
			t.Errorf("%s lacks a decision or an entry", name)
		}
		if w.holds(name, "a", "dead/old") {
			t.Errorf("%s has the deleted entry", name)
		}
	}
}

// TestIsolatedMember checks a member that writes while it is isolated long enough for its entries to be reaped. Afterwards it must
// start a new incarnation, and all its entries must spread.
func TestIsolatedMember(t *testing.T) {
	w := newNetwork(t, 30)
	w.nodes["c"].Put("dead/x", []byte("1"))
	w.until("all have the entries", 5*time.Second, w.equal)
	w.cut = func(from, to string) bool { return from == "c" || to == "c" }
	w.until("the isolated member is dead and its entries are reaped", 2*time.Minute, func() bool { return !w.holds("a", "c", "dead/x") })
	incarnation := w.nodes["c"].Incarnation()
	w.nodes["c"].Put("dead/y", []byte("1"))
	w.cut = nil
	w.until("all have the entries of the isolated member", 30*time.Second, func() bool { return w.equal() && w.holds("a", "c", "dead/x") && w.holds("a", "c", "dead/y") })
	if w.nodes["c"].Incarnation() <= incarnation {
		t.Error("the isolated member continues with an incarnation that was reaped, want a larger one")
	}
}

// TestOneWayPartition checks that no member is declared dead if only the messages from one member to another are lost.
func TestOneWayPartition(t *testing.T) {
	w := newNetwork(t, 8)
	w.cut = func(from, to string) bool { return from == "a" && to == "b" }
	w.run(time.Minute)
	for name, n := range w.nodes {
		if n.Count(Dead) > 0 {
			t.Errorf("%s declares a member dead", name)
		}
	}
	if n := w.nodes["a"].Stats.Suspicions; n > 0 {
		t.Errorf("a has suspected members %d times although other members reach them, want 0", n)
	}
	w.nodes["a"].Put("dead/x", nil)
	w.nodes["a"].Put("dead/y", []byte("1"))
	w.until("entries of a reach b through other members", 10*time.Second, func() bool { return w.holds("b", "a", "dead/y") })
}

// TestPausedMember checks that a member that was paused for ten seconds refutes the suspicion, and does not bring back an entry that
// was deleted in the meantime.
func TestPausedMember(t *testing.T) {
	w := newNetwork(t, 10)
	w.nodes["a"].Put("dead/x", []byte("1"))
	w.until("all have the entries", 5*time.Second, w.equal)
	paused := w.nodes["e"]
	delete(w.nodes, "e")
	w.run(2 * time.Second)
	w.nodes["a"].Delete("dead/x")
	w.run(8 * time.Second)
	w.nodes["e"] = paused
	w.send("e", paused.Tick(w.Now()))
	w.scheduleTick("e", paused)
	w.until("the paused member is alive to all, and all replicas are equal", 20*time.Second, func() bool {
		for name, n := range w.nodes {
			if name != "e" && n.Member("e").State != Alive || w.holds(name, "a", "dead/x") {
				return false
			}
		}
		return w.equal()
	})
	for name := range w.nodes {
		if w.holds(name, "a", "dead/x") {
			t.Errorf("%s has the deleted entry", name)
		}
	}
}

// TestLeave checks that all members learn within two seconds that a member has left, and reap its entries.
func TestLeave(t *testing.T) {
	w := newNetwork(t, 10)
	w.nodes["f"].Put("dead/x", []byte("1"))
	w.until("all have the entries", 5*time.Second, w.equal)
	out := w.nodes["f"].Leave(w.Now())
	delete(w.nodes, "f")
	w.send("f", out)
	w.until("all members know that f has left", 2*time.Second, func() bool {
		for name, n := range w.nodes {
			if n.Member("f").State != Left || w.holds(name, "f", "dead/x") {
				return false
			}
		}
		return true
	})
}

// TestForeignFleet checks that state of members of another fleet, whose names are unknown, is rejected and counted.
func TestForeignFleet(t *testing.T) {
	w := newNetwork(t, 4)
	before := w.nodes["a"].store.Counts
	stranger := &Message{Kind: RumorMessage, Members: []MemberState{{"stranger", 1 << incarnationRandomBits, 0, Alive, ""}}, Owners: []OwnerState{{"stranger", 9, 9}},
		Entries: []Entry{{"stranger", "dead/x", Version{1, 1}, [][]byte{valueSibling("")}}}}
	w.send("b", []Envelope{{"a", stranger}})
	w.run(time.Second)
	if c := w.nodes["a"].store.Counts; c.Unknown < before.Unknown+3 || len(w.nodes["a"].store.all()) > 0 {
		t.Errorf("counts are %+v, want at least 3 more unknown; entries are %v, want none", c, w.nodes["a"].store.all())
	}
	if out := w.nodes["a"].Receive(w.Now(), "stranger", stranger); len(out) > 0 {
		t.Error("a process that is not a member receives a reply")
	}
}

// TestSingleMember guards against a panic of a member that has no other member to ping, to synchronize with or to tell rumors. It must keep
// what it has written and what consensus has decided, and send nothing.
func TestSingleMember(t *testing.T) {
	w := newNetwork(t, 1)
	n := w.nodes["a"]
	n.Put("dead/x", []byte("1"))
	n.Put("dead/y", []byte("1"))
	n.Delete("dead/y")
	n.ApplyDecision("order/endpoint", 7, []byte("avoid"))
	w.run(time.Minute)
	if !w.holds("a", "a", "dead/x") || w.holds("a", "a", "dead/y") || !w.holds("a", ConsensusOwner, "order/endpoint") {
		t.Error("the member has not kept its entries and the decision")
	}
	if out := n.Leave(w.Now()); len(out)+len(w.bytes) > 0 {
		t.Errorf("the member sends %v at its departure, and earlier to %v: want nothing", out, w.bytes)
	}
}

// TestSingleMemberLeavesAtOnce guards against a panic of a member without others that leaves before its first tick.
func TestSingleMemberLeavesAtOnce(t *testing.T) {
	if out := New(0, config("a", 1, 1)).Leave(0); len(out) > 0 {
		t.Errorf("the member sends %v, want nothing", out)
	}
}
