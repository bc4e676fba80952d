package fake

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestDeduplicator guards against executing a repeated request, while the first request runs or after it has ended, at any
// backend that shares the Deduplicator. It also guards against dropping a request after the window.
func TestDeduplicator(t *testing.T) {
	recorder := NewEffectRecorder()
	dedup := NewDeduplicator(time.Hour)
	cfg := BackendConfig{Cores: 4, ServiceTime: 50 * time.Millisecond, Idempotency: map[string]Idempotency{"order": IdempotentByKey}, Deduplicator: dedup, Recorder: recorder}
	a, b := cfg, cfg
	a.Name, b.Name = "a", "b"
	backends := []*Backend{startTestBackend(t, a), startTestBackend(t, b)}
	operation := recorder.BeginOperation(IdempotentByKey)
	var requests sync.WaitGroup
	for i := range 6 {
		id := fmt.Sprint("r", i)
		recorder.RecordSent(operation, id, testTimeout)
		requests.Go(func() {
			if status, _, body := sendRequest(t, backends[i%2].Addr(), "order", id, "k"); status != 200 || body != ResponseBody("order", "", "k") {
				t.Errorf("repeated request: status %d and body %q, want 200 and the body of the first request", status, body)
			}
		})
	}
	requests.Wait()
	effects := func() int {
		recorder.mu.Lock()
		defer recorder.mu.Unlock()
		return operation.effects
	}
	if n := effects(); n != 1 {
		t.Errorf("%d effects of one idempotency key, want 1", n)
	}
	dedup.mu.Lock()
	dedup.entries["order k"].started = time.Now().Add(-2 * time.Hour)
	dedup.mu.Unlock()
	recorder.RecordSent(operation, "late", testTimeout)
	sendRequest(t, backends[0].Addr(), "order", "late", "k")
	if n := effects(); n != 2 {
		t.Errorf("%d effects after a request past the window, want 2", n)
	}
}
