package fake

import (
	"testing"
	"time"
)

// TestProxy guards against a proxy that forwards bytes during a stall, or loses bytes that it should forward.
func TestProxy(t *testing.T) {
	b := startTestBackend(t, BackendConfig{Name: "box"})
	proxy, err := StartProxy(b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	if status, _, _ := sendRequest(t, proxy.Addr(), "check", "a", ""); status != 200 {
		t.Fatalf("request through the proxy: status %d, want 200", status)
	}
	proxy.SetDelay(30 * time.Millisecond)
	start := time.Now()
	if status, _, _ := sendRequest(t, proxy.Addr(), "check", "b", ""); status != 200 || time.Since(start) < 60*time.Millisecond {
		t.Errorf("delayed request: status %d after %v, want 200 after at least 60ms", status, time.Since(start))
	}
	proxy.SetDelay(0)
	proxy.SetStalled(true)
	statuses := make(chan int)
	go func() {
		status, _, _ := sendRequest(t, proxy.Addr(), "check", "c", "")
		statuses <- status
	}()
	waitFor(t, "the connection to reach the proxy", func() bool {
		proxy.mu.Lock()
		defer proxy.mu.Unlock()
		return len(proxy.conns) > 0
	})
	if b.Served() != 2 {
		t.Error("backend served a request through the stalled proxy")
	}
	proxy.SetStalled(false)
	if status := <-statuses; status != 200 {
		t.Errorf("request held back by a stall: status %d, want 200", status)
	}
	waitFor(t, "the previous connections to be closed", func() bool {
		proxy.mu.Lock()
		defer proxy.mu.Unlock()
		return len(proxy.conns) == 0
	})
	proxy.SetStalled(true)
	go func() {
		status, _, _ := sendRequest(t, proxy.Addr(), "check", "d", "")
		statuses <- status
	}()
	waitFor(t, "the next connection to reach the proxy", func() bool {
		proxy.mu.Lock()
		defer proxy.mu.Unlock()
		return len(proxy.conns) > 0
	})
	proxy.ResetConnections()
	if status := <-statuses; status != 0 {
		t.Errorf("request on a reset connection: status %d, want no response", status)
	}
}
