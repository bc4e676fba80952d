package policy

import (
	"testing"
	"time"
)

// TestImportLearnedState guards against the loss of the learned state when a process is replaced, and against applying the state of an
// endpoint from before its restart.
func TestImportLearnedState(t *testing.T) {
	cfg := Config{InstanceCount: 1, MaxAttempts: 3, Classes: []Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1}}}
	list := []Endpoint{{ID: "a"}, {ID: "b", Started: 5}, {ID: "c"}}
	balancer := func() *Balancer {
		b, err := New(cfg, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.UpdateEndpoints(time.Hour, UpdateFull, list, new(recorder))
		return b
	}
	old := balancer()
	old.latency = latencyModel{1, 2e7, 3, 4}
	old.endpoints["a"].slowness, old.endpoints["b"].slowness = 3, 4
	old.endpoints["a"].ejectedUntil = time.Hour + 2*time.Second
	l := old.ExportLearnedState(time.Hour)
	restarted := l.Endpoints["b"]
	restarted.Started = 4
	l.Endpoints["b"] = restarted
	next := balancer()
	next.ImportLearnedState(2*time.Hour, l)
	if next.latency != old.latency || next.endpoints["a"].slowness != 3 || next.endpoints["b"].slowness != 1 {
		t.Errorf("latency model %+v, slowness of a %v, of the restarted b %v; want the exported model, 3 and 1", next.latency, next.endpoints["a"].slowness, next.endpoints["b"].slowness)
	}
	if n := next.EjectedCount(2*time.Hour + time.Second); n != 1 {
		t.Errorf("%d endpoints are ejected after the import, want 1", n)
	}
	if n := next.EjectedCount(2*time.Hour + 3*time.Second); n != 0 {
		t.Errorf("%d endpoints are ejected after the ejection time, want 0", n)
	}
}
