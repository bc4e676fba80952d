package fake

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestDeduplicator guards against running a repeat: of one that runs, of one that has run, at any backend of the group; and against
// dropping one after the window.
func TestDeduplicator(t *testing.T) {
	recorder := NewEffectRecorder()
	r := NewDeduplicator(time.Hour)
	cfg := BackendConfig{Cores: 4, ServiceTime: 50 * time.Millisecond, Idempotency: map[string]Idempotency{"order": IdempotentByKey}, Deduplicator: r, Recorder: recorder}
	a, b := cfg, cfg
	a.Name, b.Name = "a", "b"
	boxes := []*Backend{startTestBackend(t, a), startTestBackend(t, b)}
	o := recorder.BeginOperation(IdempotentByKey)
	var all sync.WaitGroup
	for i := range 6 {
		id := fmt.Sprint("r", i)
		recorder.RecordSent(o, id, testTimeout)
		all.Go(func() {
			if status, _, body := sendRequest(t, boxes[i%2].Addr(), "order", id, "k"); status != 200 || body != ResponseBody("order", "", "k") {
				t.Errorf("a repeat got %d %q", status, body)
			}
		})
	}
	all.Wait()
	effects := func() int {
		recorder.mu.Lock()
		defer recorder.mu.Unlock()
		return o.effects
	}
	if n := effects(); n != 1 {
		t.Errorf("%d effects of one key", n)
	}
	r.mu.Lock()
	r.entries["order k"].started = time.Now().Add(-2 * time.Hour)
	r.mu.Unlock()
	recorder.RecordSent(o, "late", testTimeout)
	sendRequest(t, boxes[0].Addr(), "order", "late", "k")
	if n := effects(); n != 2 {
		t.Errorf("%d effects with one after the window, want 2: the window must end", n)
	}
}
