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

// TestSlowHeadersAreEvicted guards against clients that begin a request and never end it: while descriptors are wanted they
// must not hold them for as long as a request may take.
func TestSlowHeadersAreEvicted(t *testing.T) {
	s := start(t, 64, nil)
	most := int(process.MaxClientDescriptors(64))
	var slow []*client
	begin := func() {
		c := s.dial(t)
		c.write("GET /check HTTP/1.1\r\nHost:")
		slow = append(slow, c)
	}
	for range most {
		begin()
	}
	waitFor(t, "all descriptors of clients to be held by slow heads", func() bool {
		if s.ConnectionCount() < most { // on a busy machine the first of them have made room before the last has come
			begin()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.waiting[readingConns].Len() >= most-1
	})
	waitFor(t, "an answer beside slow heads", func() bool {
		// A connection that has just come may have to make room before its request is seen; a client then connects anew.
		resp, body := s.dial(t).ask(t, get("h", "quick"))
		return resp.StatusCode == http.StatusOK && body == "quick"
	})
	first := slow[0]
	if resp, _ := first.ask(t, ""); resp.StatusCode != 0 && resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("a slow head was answered %d, want 408 or a close", resp.StatusCode)
	}
}

// TestEvictionGoesByExcess guards against taking the connection of a pool that holds few for one that holds many.
func TestEvictionGoesByExcess(t *testing.T) {
	s := start(t, 256, nil)
	idle := func(o PoolID, n int) { // one after the other: the order in which they come to rest is that of their answers
		t.Helper()
		waitFor(t, "all to be idle", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.idleCount(o) == n
		})
	}
	meters := s.dial(t)
	meters.ask(t, get("meters", "m"))
	idle('m', 1)
	var orders []*client
	for range 3 {
		c := s.dial(t)
		c.ask(t, get("orders", "o"))
		orders = append(orders, c)
		idle('o', len(orders))
	}
	for range 2 {
		if !s.Evict() {
			t.Fatal("nothing was evicted")
		}
	}
	for _, c := range orders[:2] { // the ones idle longest
		if _, err := c.r.ReadByte(); err != io.EOF {
			t.Errorf("a connection of the pool that holds most brought %v, want its end", err)
		}
	}
	if resp, _ := meters.ask(t, get("meters", "n")); resp.StatusCode != http.StatusOK {
		t.Error("the pool with one connection lost it")
	}
	waitFor(t, "the count to go down", func() bool { return s.handler.ConnectionExcess('o') == 1 })
}

// dialSilent opens so many connections that never bring a request, some 500 a second, and closes them as ctx ends.
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

// TestSingleRequestClients guards against clients that ask once and keep their connection, alone and beside silent ones: theirs must not
// take up all places, here or at the clients.
func TestSingleRequestClients(t *testing.T) {
	for name, silent := range map[string]int{"alone": 0, "beside silent ones": 500} {
		t.Run(name, func(t *testing.T) {
			s := start(t, 384, nil)
			places := int(process.MaxClientDescriptors(384))
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var dialing sync.WaitGroup
			defer dialing.Wait()
			defer cancel()
			dialing.Go(func() { dialSilent(ctx, s.addr, silent) })
			most := 0
			for i := range 500 {
				for served := false; !served; { // one that makes room before its request is seen connects anew
					resp, body := s.dial(t).ask(t, get("h", "once"))
					served = resp.StatusCode == http.StatusOK && body == "once"
				}
				if i >= 250 {
					s.mu.Lock()
					most = max(most, s.idleCount('h'))
					s.mu.Unlock()
				}
			}
			if most > places*6/10 { // half of them while no wait has ended yet, and those that explore
				t.Errorf("%d of %d places are held by clients that asked once", most, places)
			}
		})
	}
}

// TestFewerDescriptors guards against keeping more connections than a reload leaves, and against losing requests over it.
func TestFewerDescriptors(t *testing.T) {
	s := start(t, 384, nil)
	var all []*client
	for i := range 80 {
		c := s.dial(t)
		if resp, _ := c.ask(t, get("h", "a")); resp.StatusCode != http.StatusOK {
			t.Fatalf("client %d is not served", i)
		}
		all = append(all, c)
	}
	s.descriptors.Resize(96)
	places := int(process.MaxClientDescriptors(96))
	waitFor(t, "connections to go", func() bool { return s.ConnectionCount() <= places })
	for _, c := range all {
		if resp, _ := c.ask(t, get("h", "b")); resp.StatusCode != http.StatusOK { // closed: it connects anew
			c = s.dial(t)
			if resp, body := c.ask(t, get("h", "c")); resp.StatusCode != http.StatusOK || body != "c" {
				t.Fatalf("got %d %q", resp.StatusCode, body)
			}
		}
	}
}
