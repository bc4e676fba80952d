package fake

import (
	"testing"
	"time"
)

// TestProxy guards against a proxy that passes what it should hold, or loses what it should pass.
func TestProxy(t *testing.T) {
	b := startTestBackend(t, BackendConfig{Name: "box"})
	r, err := StartProxy(b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if status, _, _ := sendRequest(t, r.Addr(), "check", "a", ""); status != 200 {
		t.Fatalf("through the proxy: %d", status)
	}
	r.SetDelay(30 * time.Millisecond)
	began := time.Now()
	if status, _, _ := sendRequest(t, r.Addr(), "check", "b", ""); status != 200 || time.Since(began) < 60*time.Millisecond {
		t.Errorf("%d after %v, want 200 after at least 60ms", status, time.Since(began))
	}
	r.SetDelay(0)
	r.SetStalled(true)
	answer := make(chan int)
	go func() {
		status, _, _ := sendRequest(t, r.Addr(), "check", "c", "")
		answer <- status
	}()
	waitFor(t, "the connection to reach the proxy", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.conns) > 0
	})
	if b.Served() != 2 {
		t.Error("something passed while the proxy stalled")
	}
	r.SetStalled(false)
	if status := <-answer; status != 200 {
		t.Errorf("after the stall: %d", status)
	}
	waitFor(t, "the connections of before to be gone", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.conns) == 0
	})
	r.SetStalled(true)
	go func() {
		status, _, _ := sendRequest(t, r.Addr(), "check", "d", "")
		answer <- status
	}()
	waitFor(t, "the next to reach the proxy", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.conns) > 0
	})
	r.ResetConnections()
	if status := <-answer; status != 0 {
		t.Errorf("after a reset: %d", status)
	}
}
