package gossip

import (
	"testing"
	"time"
)

// TestFailureReports checks that a hint requires a quorum of alive members other than this process, and that a report no longer counts
// after it was withdrawn or not renewed.
func TestFailureReports(t *testing.T) {
	w := newNetwork(t, 6)
	reports := NewFailureReports(2)
	a := w.nodes["a"]
	hints := func() []string {
		w.run(2 * time.Second)
		reports.Update(w.Now(), a, a.store.TakeChanges())
		return reports.Hints(a)
	}
	w.nodes["b"].Put("dead/pool/endpoint", nil)
	if h := hints(); len(h) != 0 {
		t.Fatalf("hints after one report: %v, want none", h)
	}
	w.nodes["c"].Put("dead/pool/endpoint", nil)
	if h := hints(); len(h) != 1 {
		t.Fatalf("hints after two reports: %v, want one", h)
	}
	reports.Record(w.Now(), a, "dead/pool/endpoint", true)
	if h := reports.Hints(a); len(h) != 0 {
		t.Errorf("hints on an endpoint that this process reports itself: %v, want none", h)
	}
	w.run(ownReportTTL + time.Second)
	hints()
	if h := hints(); len(h) != 1 || reports.OwnCount() != 0 || w.holds("b", "a", "dead/pool/endpoint") {
		t.Errorf("hints are %v, want one; %d own reports remain without renewal, want none on any member", h, reports.OwnCount())
	}
	w.nodes["c"].Delete("dead/pool/endpoint")
	if h := hints(); len(h) != 0 {
		t.Errorf("hints after a report was withdrawn: %v, want none", h)
	}
	w.nodes["d"].Put("dead/pool/endpoint", nil)
	if h := hints(); len(h) != 1 {
		t.Fatal("no hint after a second member reports again")
	}
	delete(w.nodes, "d")
	w.until("d is dead", time.Minute, func() bool { w.run(time.Second); return a.Member("d").State == Dead })
	if h := hints(); len(h) != 0 {
		t.Errorf("hints with the report of a dead member: %v, want none", h)
	}
}
