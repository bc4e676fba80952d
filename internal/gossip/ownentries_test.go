package gossip

import (
	"fmt"
	"testing"
	"time"
)

// TestRestarts checks that after 100 starts of one member within a minute, with delayed and duplicated messages, all members have the
// entries of the newest start and none of an older one.
func TestRestarts(t *testing.T) {
	w := newNetwork(t, 8)
	w.maxDelay, w.duplicate = 300*ms, true
	for i := range 100 {
		n := w.start("d")
		n.Put(fmt.Sprintf("dead/%d", i), []byte("1"))
		w.run(600 * ms)
	}
	w.maxDelay, w.duplicate = 0, false
	w.until("all have the entry of the newest start", 20*time.Second, func() bool { return w.equal() && w.holds("a", "d", "dead/99") })
	w.nodes["a"].store.ForEach("dead/", func(e *Entry) bool {
		if e.Owner == "d" && e.Key != "dead/99" {
			t.Errorf("entry %s of an older start remains", e.Key)
		}
		return true
	})
}

// TestTombstoneAgainstLateCopy checks that a deleted entry stays deleted when an old copy of it arrives late, even after the owner has
// removed the tombstone.
func TestTombstoneAgainstLateCopy(t *testing.T) {
	w := newNetwork(t, 4)
	n := w.nodes["a"]
	n.Put("dead/x", []byte("1"))
	late, _ := n.store.Get("a", "dead/x")
	w.until("all have the entries", 5*time.Second, w.equal)
	n.Delete("dead/x")
	for i := range 3 * MaxKeysPerOwner { // more keys than fit, so that the owner starts a new incarnation
		key := fmt.Sprintf("dead/%d", i)
		if !n.Put(key, []byte("1")) {
			t.Fatalf("no room for %s", key)
		}
		n.Delete(key)
	}
	w.until("all replicas are equal", 20*time.Second, w.equal)
	w.send("b", []Envelope{{"c", &Message{Kind: RumorMessage, Entries: []Entry{late}}}})
	w.run(5 * time.Second)
	for name := range w.nodes {
		if w.holds(name, "a", "dead/x") {
			t.Errorf("%s has the deleted entry again after a late copy", name)
		}
	}
}

// TestDuplicateName checks two processes with the same name. They must start incarnations above each other at a bounded rate, and the
// other members must have the entries of only one of them at a time.
func TestDuplicateName(t *testing.T) {
	w := newNetwork(t, 5)
	w.nodes["b"].Put("dead/first", []byte("1"))
	w.twin, w.twinOf = New(w.Now(), config("b", 5, 99)), "b"
	w.twin.Put("dead/twin", []byte("1"))
	before := max(w.nodes["b"].Incarnation(), w.twin.Incarnation()) >> incarnationRandomBits
	both := 0
	for range 400 { // 20 s
		w.send("b", w.twin.Tick(w.Now()))
		w.run(50 * ms)
		if w.holds("a", "b", "dead/twin") && w.holds("a", "b", "dead/first") {
			both++
		}
	}
	n := max(w.nodes["b"].Incarnation(), w.twin.Incarnation())>>incarnationRandomBits - before
	if t.Logf("%d incarnations", n); n < 5 || n > 50 {
		t.Errorf("%d incarnations within 20 s, want 5 to 50: each process starts at most one per second", n)
	}
	if both > 0 {
		t.Error("entries of both processes are present at the same time")
	}
}
