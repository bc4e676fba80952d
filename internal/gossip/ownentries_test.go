package gossip

import (
	"fmt"
	"testing"
	"time"
)

// TestRestarts checks after 100 starts of one name within a minute that the newest one's entries stand, and none of an older one's.
func TestRestarts(t *testing.T) {
	w := newNetwork(t, 8)
	w.late, w.twice = 300*ms, true
	for i := range 100 {
		n := w.start("d")
		n.Put(fmt.Sprintf("dead/%d", i), []byte("1"))
		w.run(600 * ms)
	}
	w.late, w.twice = 0, false
	w.until("all have the newest", 20*time.Second, func() bool { return w.equal() && w.holds("a", "d", "dead/99") })
	w.up["a"].store.ForEach("dead/", func(e *Entry) bool {
		if e.Owner == "d" && e.Key != "dead/99" {
			t.Errorf("%s is of an older start", e.Key)
		}
		return true
	})
}

// TestTombstoneAgainstLateCopy checks that a deleted entry stays deleted when an older copy of it arrives late, also after the owner has
// forgotten the tombstone.
func TestTombstoneAgainstLateCopy(t *testing.T) {
	w := newNetwork(t, 4)
	n := w.up["a"]
	n.Put("dead/x", []byte("1"))
	late, _ := n.store.Get("a", "dead/x")
	w.until("all have the entries", 5*time.Second, w.equal)
	n.Delete("dead/x")
	for i := range 3 * MaxKeysPerOwner { // many more keys than fit: the owner begins another incarnation
		key := fmt.Sprintf("dead/%d", i)
		if !n.Put(key, []byte("1")) {
			t.Fatalf("no room for %s", key)
		}
		n.Delete(key)
	}
	w.until("all are equal", 20*time.Second, w.equal)
	w.send("b", []Envelope{{"c", &Message{Kind: RumorMessage, Entries: []Entry{late}}}})
	w.run(5 * time.Second)
	for name := range w.up {
		if w.holds(name, "a", "dead/x") {
			t.Errorf("%s: a late copy came back", name)
		}
	}
}

// TestDuplicateName checks that two processes of one name begin incarnations above each other at a bounded rate, and that others have
// the entries of one of them at a time.
func TestDuplicateName(t *testing.T) {
	w := newNetwork(t, 5)
	w.up["b"].Put("dead/first", []byte("1"))
	w.twin, w.twinOf = New(w.now, config("b", 5, 99)), "b"
	w.twin.Put("dead/twin", []byte("1"))
	before := max(w.up["b"].Incarnation(), w.twin.Incarnation()) >> incarnationRandomBits
	both := 0
	for range 400 { // 20 s
		w.send("b", w.twin.Tick(w.now))
		w.run(50 * ms)
		if w.holds("a", "b", "dead/twin") && w.holds("a", "b", "dead/first") {
			both++
		}
	}
	n := max(w.up["b"].Incarnation(), w.twin.Incarnation())>>incarnationRandomBits - before
	if t.Logf("%d incarnations", n); n < 5 || n > 50 {
		t.Errorf("%d incarnations within 20 s: each begins one a second at most, and some are wanted", n)
	}
	if both > 0 {
		t.Error("entries of both processes stand at once")
	}
}
