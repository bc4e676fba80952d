package keepalive

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// simulation runs clients against a policy.
type simulation struct {
	policy  *IdlePolicy
	clients []simulatedClient
}

// simulatedClient sends requests on at most one connection at a time.
type simulatedClient struct {
	nextRequest time.Duration
	open        bool
	requests    int // on the current connection
	wait        Wait
	idleSince   time.Duration
}

func (c *simulatedClient) kind() Kind { return Kind(min(c.requests, int(SeveralRequests))) }

// runClients simulates clients for length. Each client sends its next request after gap, on a new connection if its last one was
// closed. runClients returns the number of connections opened and of requests sent in the last second.
func runClients(capacity int64, clients int, gap func(client int, now time.Duration) time.Duration, length time.Duration) (opened, requests int) {
	const tick = 2 * time.Millisecond
	s := simulation{policy: New(capacity), clients: make([]simulatedClient, clients)}
	for i := range s.clients {
		s.clients[i].nextRequest = time.Duration(i) * time.Second / time.Duration(clients)
	}
	for now := time.Duration(0); now < length; now += tick {
		for i := range s.clients {
			c := &s.clients[i]
			s.closeIfDue(c, now)
			if now < c.nextRequest {
				continue
			}
			isNew := s.request(c, now)
			c.nextRequest = now + gap(i, now)
			if now >= length-time.Second {
				requests++
				if isNew {
					opened++
				}
			}
		}
	}
	return opened, requests
}

// closeIfDue closes a client's connection once its wait has reached Wait.Max.
func (s *simulation) closeIfDue(c *simulatedClient, now time.Duration) {
	if c.open && now-c.idleSince >= c.wait.Max {
		s.policy.EndIdle(1, c.kind(), c.wait, now-c.idleSince, false)
		s.policy.Closed()
		c.open = false
	}
}

// request sends a request that gets its response at once, and reports whether the request needed a new connection.
func (s *simulation) request(c *simulatedClient, now time.Duration) (isNew bool) {
	if isNew = !c.open; isNew {
		s.policy.Opened(now)
		c.open, c.requests = true, 0
	} else {
		s.policy.EndIdle(1, c.kind(), c.wait, now-c.idleSince, true)
	}
	c.requests++
	c.idleSince = now
	if c.wait = s.policy.BeginIdle(now, 1, c.kind()); c.wait.Max == 0 {
		s.policy.Closed()
		c.open = false
	}
	return isNew
}

// TestNoChurn guards against connections that are closed although there is capacity for all clients and each client sends its next
// request before MaxIdle. In the last of 12 s, at most one request in ten may need a new connection, whatever the number of clients.
func TestNoChurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.SampledFrom([]int64{21, 108, 453, 2000}).Draw(t, "places")
		clients := int(float64(capacity) * rapid.Float64Range(0.1, 0.8).Draw(t, "fill"))
		gap := time.Duration(rapid.IntRange(20, 1500).Draw(t, "gap")) * time.Millisecond
		opened, requests := runClients(capacity, clients, func(int, time.Duration) time.Duration { return gap }, 12*time.Second)
		if requests > 0 && opened > requests/10 {
			t.Fatalf("capacity %d, %d clients with a request every %v: %d of %d requests in the last second opened a connection, want at most a tenth", capacity, clients, gap, opened, requests)
		}
	})
}

// TestAskOnce guards against capacity taken up by clients that send a single request and leave their connection open. At any rate of
// such clients, idle connections may take up at most an eighth of the capacity.
func TestAskOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.SampledFrom([]int64{108, 164, 453}).Draw(t, "places")
		rate := rapid.IntRange(int(capacity)/2, 4*int(capacity)).Draw(t, "rate")
		policy := New(capacity)
		type idleConn struct {
			wait  Wait
			since time.Duration
		}
		var idle []idleConn
		kept := 0
		n := 0
		for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
			idle = slices.DeleteFunc(idle, func(c idleConn) bool {
				if now-c.since < c.wait.Max {
					return false
				}
				policy.EndIdle(1, OneRequest, c.wait, now-c.since, false)
				policy.Closed()
				return true
			})
			for ; n < int(now.Seconds()*float64(rate)); n++ {
				policy.Opened(now)
				if w := policy.BeginIdle(now, 1, OneRequest); w.Max > 0 {
					idle = append(idle, idleConn{w, now})
				} else {
					policy.Closed()
				}
			}
			if now > 8*time.Second {
				kept = max(kept, len(idle))
			}
		}
		if limit := max(2, int(capacity)/8); kept > limit {
			t.Fatalf("capacity %d, %d connections per second with one request each: %d idle connections are kept, want at most %d", capacity, rate, kept, limit)
		}
	})
}

// TestMixed guards against one kind of connection affecting another: regular clients keep their connections although most clients
// send a single request on each connection.
func TestMixed(t *testing.T) {
	const capacity, regulars = 164, 40
	opened, requests := runClients(capacity, regulars+200, func(i int, _ time.Duration) time.Duration {
		if i < regulars {
			return 100 * time.Millisecond
		}
		return 5 * time.Second // longer than any connection may wait
	}, 15*time.Second)
	// The other clients send 40 requests per second, each of which needs a new connection.
	if others := 200 / 5; opened > others+regulars/4 {
		t.Errorf("%d of %d requests opened a connection, want at most 10 more than the %d of the clients that send one every 5 s", opened, requests, others)
	}
}

// TestChange guards against a policy that closes all connections forever after a time without reuse: once clients reuse their
// connections again, the policy observes that and keeps the connections.
func TestChange(t *testing.T) {
	opened, requests := runClients(164, 300, func(i int, now time.Duration) time.Duration {
		if now < 10*time.Second {
			return 3 * time.Second
		}
		if i >= 60 {
			return time.Hour
		}
		return 200 * time.Millisecond
	}, 30*time.Second)
	if requests < 200 || opened > requests/20 {
		t.Errorf("%d of %d requests opened a connection 17 s after the clients began to send one every 200 ms, want at least 200 requests and one connection per 20", opened, requests)
	}
}

// TestCease guards against statistics of ended waits only. When no wait has ended for a second, the ongoing waits must show that the
// connections are not reused.
func TestCease(t *testing.T) {
	const capacity, conns = 164, 60
	policy := New(capacity)
	now := time.Duration(0)
	for range conns {
		now += 5 * time.Millisecond
		policy.Opened(now)
		if w := policy.BeginIdle(now, 1, OneRequest); w.Max < MaxIdle {
			t.Fatalf("a connection may wait only %v, with free capacity and no statistics, want MaxIdle", w.Max)
		}
	}
	if policy.Expired(1, OneRequest, 300*time.Millisecond) {
		t.Fatal("a connection expired after 300 ms, with free capacity and almost no statistics")
	}
	now += time.Second
	for range refreshInterval {
		policy.BeginIdle(now, 1, OneRequest)
	}
	if !policy.Expired(1, OneRequest, time.Second) {
		t.Errorf("a connection that has waited 1 s beside %d others has not expired although none is reused: its index is %v", conns, policy.GittinsIndex(1, OneRequest, time.Second))
	}
}

// TestBounds checks for any sequence of events that each wait is within its bounds, that each index is a finite number of at least 0,
// and that the connections kept to explore stay within their share.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Int64Range(1, 1000).Draw(t, "places")
		policy := New(capacity)
		now := time.Duration(0)
		type idleConn struct {
			pool PoolID
			kind Kind
			wait Wait
		}
		var idle []idleConn
		exploring := 0
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "gap"))
			if len(idle) > 0 && rapid.Bool().Draw(t, "ends") {
				c := idle[0]
				idle = idle[1:]
				if c.wait.Explore {
					exploring--
				}
				after := time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "after"))
				policy.EndIdle(c.pool, c.kind, c.wait, after, rapid.Bool().Draw(t, "used"))
				policy.Closed()
				continue
			}
			c := idleConn{pool: PoolID(rapid.IntRange(0, 3).Draw(t, "pool")), kind: Kind(rapid.IntRange(0, 2).Draw(t, "kind"))}
			policy.Opened(now)
			c.wait = policy.BeginIdle(now, c.pool, c.kind)
			switch {
			case c.wait.Max < 0 || c.wait.Max > MaxIdle || c.kind == NoRequest && c.wait.Max < minFirstRequestWait:
				t.Fatalf("BeginIdle allows a wait of %v for kind %d, want at most MaxIdle, and at least minFirstRequestWait for a connection without a request", c.wait.Max, c.kind)
			case c.wait.Max == 0:
				policy.Closed()
				continue
			}
			if c.wait.Explore {
				exploring++
			}
			if float64(exploring) > max(1, maxExploreShare*float64(capacity)) {
				t.Fatalf("%d connections are kept to explore at a capacity of %d, want at most one or maxExploreShare of the capacity", exploring, capacity)
			}
			if w := policy.GittinsIndex(c.pool, c.kind, now); !(w >= 0 && w < 1e4) {
				t.Fatalf("GittinsIndex returned %v, want at least 0 and less than 10000", w)
			}
			idle = append(idle, c)
		}
	})
}

// BenchmarkIdle measures the cost of the policy per request.
func BenchmarkIdle(b *testing.B) {
	policy := New(453)
	policy.Opened(0)
	b.ReportAllocs()
	for i := range b.N {
		w := policy.BeginIdle(time.Duration(i)*time.Millisecond, 1, SeveralRequests)
		policy.EndIdle(1, SeveralRequests, w, time.Duration(i%1000)*time.Millisecond, true)
	}
}

// TestRestore checks that a restored history takes effect at once, and that a history with values that no policy can collect is
// ignored.
func TestRestore(t *testing.T) {
	old := New(100)
	for i := range 300 {
		now := time.Duration(i) * 10 * time.Millisecond
		old.Opened(now)
		w := old.BeginIdle(now, 1, OneRequest)
		old.EndIdle(1, OneRequest, w, 2*time.Second, false)
		if i < 280 {
			old.Closed()
		}
	}
	next := New(100)
	for range 20 { // as many connections as are open in old
		next.Opened(0)
	}
	if w := next.BeginIdle(0, 1, OneRequest); w.Max < time.Second {
		t.Fatalf("a connection may wait only %v without statistics, want at least 1 s", w.Max)
	}
	next.Restore(old.History())
	if w := next.BeginIdle(0, 1, OneRequest); w.Max > 100*time.Millisecond {
		t.Errorf("a connection of a kind that is never reused may wait %v after Restore, want at most 100 ms", w.Max)
	}
	if w := next.BeginIdle(0, 1, SeveralRequests); w.Max < time.Second {
		t.Errorf("a connection of another kind may wait only %v after Restore, want at least 1 s", w.Max)
	}
	index := next.GittinsIndex(1, SeveralRequests, 0)
	next.Restore(History{1: {{}, {}, {Waited: make([]float64, ageBuckets), Used: make([]float64, ageBuckets)}}, 2: {{}}})
	if w := next.GittinsIndex(1, SeveralRequests, 0); w != index {
		t.Errorf("the index is %v after an invalid history was restored, want %v as before", w, index)
	}
}
