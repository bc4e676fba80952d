package gossip

import (
	"testing"
	"time"
)

// TestPartition checks that both sides of a partition declare the other dead while both write; once it has healed, all have
// the decision and the newest entries, and no tombstone is undone.
func TestPartition(t *testing.T) {
	w := newNetwork(t, 10)
	w.up["a"].Put("dead/old", []byte("1"))
	w.up["j"].Put("dead/old", []byte("1"))
	w.until("all have the entries", 5*time.Second, w.equal)
	side := func(name string) bool { return name < "f" }
	w.cut = func(from, to string) bool { return side(from) != side(to) }
	w.run(time.Second)
	w.up["b"].Put("dead/endpoint", []byte("1"))
	w.up["i"].Put("dead/endpoint", []byte("2"))
	w.up["a"].Delete("dead/old")
	w.up["c"].ApplyDecision("order/endpoint", 7, []byte("avoid"))
	w.until("the other side is dead and reaped", 2*time.Minute, func() bool {
		n := w.up["b"]
		return n.Count(Dead) == 5 && !w.holds("b", "j", "dead/old") && !w.holds("h", "a", "dead/old")
	})
	w.cut = nil
	took := w.until("all are alive and equal", 20*time.Second, func() bool {
		for _, n := range w.up {
			if n.Count(Alive) != 9 {
				return false
			}
		}
		return w.equal()
	})
	t.Logf("healed within %v", took)
	for name := range w.up {
		if !w.holds(name, "b", "dead/endpoint") || !w.holds(name, "i", "dead/endpoint") || !w.holds(name, "j", "dead/old") || !w.holds(name, ConsensusOwner, "order/endpoint") {
			t.Errorf("%s lacks something", name)
		}
		if w.holds(name, "a", "dead/old") {
			t.Errorf("%s has what was deleted", name)
		}
	}
}

// TestIsolatedMember checks a member that was isolated long enough for its entries to be reaped, and wrote meanwhile.
func TestIsolatedMember(t *testing.T) {
	w := newNetwork(t, 30)
	w.up["c"].Put("dead/x", []byte("1"))
	w.until("all have the entries", 5*time.Second, w.equal)
	w.cut = func(from, to string) bool { return from == "c" || to == "c" }
	w.until("it is dead and reaped", 2*time.Minute, func() bool { return !w.holds("a", "c", "dead/x") })
	incarnation := w.up["c"].Incarnation()
	w.up["c"].Put("dead/y", []byte("1"))
	w.cut = nil
	w.until("all have what it writes", 30*time.Second, func() bool { return w.equal() && w.holds("a", "c", "dead/x") && w.holds("a", "c", "dead/y") })
	if w.up["c"].Incarnation() <= incarnation {
		t.Error("it was reaped, and goes on with the incarnation that was")
	}
}

// TestOneWayPartition checks that nobody is declared dead if messages from one member to another are lost, and all other paths
// work.
func TestOneWayPartition(t *testing.T) {
	w := newNetwork(t, 8)
	w.cut = func(from, to string) bool { return from == "a" && to == "b" }
	w.run(time.Minute)
	for name, n := range w.up {
		if n.Count(Dead) > 0 {
			t.Errorf("%s declares somebody dead", name)
		}
	}
	if n := w.up["a"].Stats.Suspicions; n > 0 {
		t.Errorf("it suspects %d times the one that others reach", n)
	}
	w.up["a"].Put("dead/x", nil)
	w.up["a"].Put("dead/y", []byte("1"))
	w.until("its entries arrive by way of others", 10*time.Second, func() bool { return w.holds("b", "a", "dead/y") })
}

// TestPausedMember checks that a member that was paused for ten seconds refutes the suspicion, and that nothing that was deleted
// meanwhile comes back by it.
func TestPausedMember(t *testing.T) {
	w := newNetwork(t, 10)
	w.up["a"].Put("dead/x", []byte("1"))
	w.until("all have the entries", 5*time.Second, w.equal)
	paused := w.up["e"]
	delete(w.up, "e")
	w.run(2 * time.Second)
	w.up["a"].Delete("dead/x")
	w.run(8 * time.Second)
	w.up["e"] = paused
	w.send("e", paused.Tick(w.now))
	w.arm("e", paused)
	w.until("it is alive again to all, and equal", 20*time.Second, func() bool {
		for name, n := range w.up {
			if name != "e" && n.Member("e").State != Alive || w.holds(name, "a", "dead/x") {
				return false
			}
		}
		return w.equal()
	})
	for name := range w.up {
		if w.holds(name, "a", "dead/x") {
			t.Errorf("%s has what was deleted", name)
		}
	}
}

// TestLeave checks that a member that leaves is known to have left within seconds, and that its entries leave with it.
func TestLeave(t *testing.T) {
	w := newNetwork(t, 10)
	w.up["f"].Put("dead/x", []byte("1"))
	w.until("all have the entries", 5*time.Second, w.equal)
	out := w.up["f"].Leave(w.now)
	delete(w.up, "f")
	w.send("f", out)
	w.until("all know that it has left", 2*time.Second, func() bool {
		for name, n := range w.up {
			if n.Member("f").State != Left || w.holds(name, "f", "dead/x") {
				return false
			}
		}
		return true
	})
}

// TestForeignFleet checks that what processes of another fleet send, whose names are not known here, is rejected and counted.
func TestForeignFleet(t *testing.T) {
	w := newNetwork(t, 4)
	before := w.up["a"].store.Counts
	stranger := &Message{Kind: RumorMessage, Members: []MemberState{{"stranger", 1 << incarnationRandomBits, 0, Alive, ""}}, Owners: []OwnerState{{"stranger", 9, 9}},
		Entries: []Entry{{"stranger", "dead/x", Version{1, 1}, [][]byte{content("")}}}}
	w.send("b", []Envelope{{"a", stranger}})
	w.run(time.Second)
	if c := w.up["a"].store.Counts; c.Unknown < before.Unknown+3 || len(w.up["a"].store.all()) > 0 {
		t.Errorf("%+v, %v", c, w.up["a"].store.all())
	}
	if out := w.up["a"].Receive(w.now, "stranger", stranger); len(out) > 0 {
		t.Error("a process that is no member gets a reply")
	}
}
