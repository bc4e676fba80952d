package downstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"sorrelrudder/internal/process"
)

// TestSlowHeadersAreEvicted guards against clients that begin a request and never complete it. While file descriptors are needed, such
// clients must not hold them until the header timeout.
func TestSlowHeadersAreEvicted(t *testing.T) {
	s := start(t, 64, nil)
	maxClients := int(process.MaxClientDescriptors(64))
	var slow []*client
	begin := func() {
		c := s.dial(t)
		c.write("GET /check HTTP/1.1\r\nHost:")
		slow = append(slow, c)
	}
	for range maxClients {
		begin()
	}
	waitFor(t, "all client descriptors to be held by slow request headers", func() bool {
		if s.ConnectionCount() < maxClients { // on a busy machine the first ones have been evicted before the last one was accepted
			begin()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.waiting[readingConns].Len() >= maxClients-1
	})
	waitFor(t, "a response while slow request headers hold all descriptors", func() bool {
		// A new connection may be evicted before the server sees its request. The client then connects again.
		resp, body := s.dial(t).roundTrip(t, get("h", "quick"))
		return resp.StatusCode == http.StatusOK && body == "quick"
	})
	first := slow[0]
	if resp, _ := first.roundTrip(t, ""); resp.StatusCode != 0 && resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("slow request header: status %d, want 408 or a close", resp.StatusCode)
	}
}

// TestEvictionGoesByExcess guards against evicting the connection of a pool with few connections in favor of a pool with many.
func TestEvictionGoesByExcess(t *testing.T) {
	s := start(t, 256, nil)
	waitIdle := func(id PoolID, n int) { // waits after each request, so that connections become idle in the order of their requests
		t.Helper()
		waitFor(t, "all connections to be idle", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.idleCount(id) == n
		})
	}
	meters := s.dial(t)
	meters.roundTrip(t, get("meters", "m"))
	waitIdle('m', 1)
	var orders []*client
	for range 3 {
		c := s.dial(t)
		c.roundTrip(t, get("orders", "o"))
		orders = append(orders, c)
		waitIdle('o', len(orders))
	}
	for range 2 {
		if !s.Evict() {
			t.Fatal("no connection was evicted")
		}
	}
	for _, c := range orders[:2] { // the connections that have been idle the longest
		if _, err := c.r.ReadByte(); err != io.EOF {
			t.Errorf("connection of the pool with the largest excess: got error %v, want io.EOF", err)
		}
	}
	if resp, _ := meters.roundTrip(t, get("meters", "n")); resp.StatusCode != http.StatusOK {
		t.Error("the connection of the pool with one connection was evicted")
	}
	waitFor(t, "the evicted connections to be released from the quota", func() bool { return s.handler.ConnectionExcess('o') == 1 })
}

// dialSilent opens n connections that never send a request, at about 500 per second, and closes them when ctx ends.
func dialSilent(ctx context.Context, addr string, n int) {
	for range n {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			context.AfterFunc(ctx, func() { c.Close() })
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// TestSingleRequestClients guards against clients that send one request and keep the connection open, alone and together with clients that
// never send a request. Their idle connections must not use up all descriptors, of the server or of the clients.
func TestSingleRequestClients(t *testing.T) {
	for name, silent := range map[string]int{"alone": 0, "with silent connections": 500} {
		t.Run(name, func(t *testing.T) {
			s := start(t, 384, nil)
			maxClients := int(process.MaxClientDescriptors(384))
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var dialing sync.WaitGroup
			defer dialing.Wait()
			defer cancel()
			dialing.Go(func() { dialSilent(ctx, s.addr, silent) })
			maxIdle := 0
			for i := range 500 {
				for served := false; !served; { // a client whose connection is evicted before its request is seen connects again
					resp, body := s.dial(t).roundTrip(t, get("h", "once"))
					served = resp.StatusCode == http.StatusOK && body == "once"
				}
				if i >= 250 {
					s.mu.Lock()
					maxIdle = max(maxIdle, s.idleCount('h'))
					s.mu.Unlock()
				}
			}
			if maxIdle > maxClients*6/10 { // half of the descriptors while no idle period has ended yet, plus the exploratory connections
				t.Errorf("%d of %d client descriptors are held by clients that sent one request, want at most 60%%", maxIdle, maxClients)
			}
		})
	}
}

// TestFewerDescriptors guards against keeping more connections than allowed after a reload has reduced the descriptor limit, and against
// losing requests when connections are closed for it.
func TestFewerDescriptors(t *testing.T) {
	s := start(t, 384, nil)
	var all []*client
	for i := range 80 {
		c := s.dial(t)
		if resp, _ := c.roundTrip(t, get("h", "a")); resp.StatusCode != http.StatusOK {
			t.Fatalf("request of client %d was not served", i)
		}
		all = append(all, c)
	}
	s.descriptors.Resize(96)
	maxClients := int(process.MaxClientDescriptors(96))
	waitFor(t, "connections beyond the new limit to be closed", func() bool { return s.ConnectionCount() <= maxClients })
	for _, c := range all {
		if resp, _ := c.roundTrip(t, get("h", "b")); resp.StatusCode != http.StatusOK { // the connection was closed; connect again
			c = s.dial(t)
			if resp, body := c.roundTrip(t, get("h", "c")); resp.StatusCode != http.StatusOK || body != "c" {
				t.Fatalf("request on a new connection: got status %d, body %q", resp.StatusCode, body)
			}
		}
	}
}
