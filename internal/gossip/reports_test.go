package gossip

import (
	"testing"
	"time"
)

// TestFailureReports checks that hints need a quorum of present members other than this process, and that a report that was withdrawn
// or not renewed counts no more.
func TestFailureReports(t *testing.T) {
	w := newNetwork(t, 6)
	reports := NewFailureReports(2)
	a := w.up["a"]
	hints := func() []string {
		w.run(2 * time.Second)
		reports.Update(w.now, a, a.store.TakeChanges())
		return reports.Hints(a)
	}
	w.up["b"].Put("dead/pool/endpoint", nil)
	if h := hints(); len(h) != 0 {
		t.Fatalf("one report is a hint: %v", h)
	}
	w.up["c"].Put("dead/pool/endpoint", nil)
	if h := hints(); len(h) != 1 {
		t.Fatalf("two are none: %v", h)
	}
	reports.Record(w.now, a, "dead/pool/endpoint", true)
	if h := reports.Hints(a); len(h) != 0 {
		t.Errorf("a hint of what it reports itself: %v", h)
	}
	w.run(ownReportTTL + time.Second)
	hints()
	if h := hints(); len(h) != 1 || reports.OwnCount() != 0 || w.holds("b", "a", "dead/pool/endpoint") {
		t.Errorf("%v; a report that is not renewed still stands: %d", h, reports.OwnCount())
	}
	w.up["c"].Delete("dead/pool/endpoint")
	if h := hints(); len(h) != 0 {
		t.Errorf("a report that was withdrawn counts: %v", h)
	}
	w.up["d"].Put("dead/pool/endpoint", nil)
	if h := hints(); len(h) != 1 {
		t.Fatal("two report again, and it is no hint")
	}
	delete(w.up, "d")
	w.until("d is dead", time.Minute, func() bool { w.run(time.Second); return a.Member("d").State == Dead })
	if h := hints(); len(h) != 0 {
		t.Errorf("the report of a dead member counts: %v", h)
	}
}
