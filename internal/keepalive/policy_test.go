package keepalive

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// simulation plays clients against a policy.
type simulation struct {
	policy  *IdlePolicy
	clients []simulatedClient
}

// simulatedClient has one connection at a time.
type simulatedClient struct {
	nextRequest time.Duration
	open        bool
	requests    int // on the connection
	wait        Wait
	idleSince   time.Duration
}

func (c *simulatedClient) kind() Kind { return Kind(min(c.requests, int(SeveralRequests))) }

// runClients has each client send a request after each gap, on a new connection where its last was closed. It returns the
// connections opened and the requests in the last second.
func runClients(places int64, clients int, gap func(client int, now time.Duration) time.Duration, length time.Duration) (opened, requests int) {
	const tick = 2 * time.Millisecond
	s := simulation{policy: New(places), clients: make([]simulatedClient, clients)}
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

// closeIfDue closes a client's connection once it has waited for as long as it may.
func (s *simulation) closeIfDue(c *simulatedClient, now time.Duration) {
	if c.open && now-c.idleSince >= c.wait.Max {
		s.policy.EndIdle(1, c.kind(), c.wait, now-c.idleSince, false)
		s.policy.Closed()
		c.open = false
	}
}

// request sends a request that is answered at once, and reports whether it needed a new connection.
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

// TestNoChurn checks that clients that all fit, and that send their next request before MaxIdle, keep their connections in the
// end, whatever their number.
func TestNoChurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := rapid.SampledFrom([]int64{21, 108, 453, 2000}).Draw(t, "places")
		clients := int(float64(places) * rapid.Float64Range(0.1, 0.8).Draw(t, "fill"))
		gap := time.Duration(rapid.IntRange(20, 1500).Draw(t, "gap")) * time.Millisecond
		opened, requests := runClients(places, clients, func(int, time.Duration) time.Duration { return gap }, 12*time.Second)
		if requests > 0 && opened > requests/10 {
			t.Fatalf("%d places, %d clients, every %v: %d of %d requests came on new connections at the end", places, clients, gap, opened, requests)
		}
	})
}

// TestAskOnce checks that few connections are kept of clients that send one request and keep theirs open, whatever their rate.
func TestAskOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := rapid.SampledFrom([]int64{108, 164, 453}).Draw(t, "places")
		rate := rapid.IntRange(int(places)/2, 4*int(places)).Draw(t, "rate")
		policy := New(places)
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
		if limit := max(2, int(places)/8); kept > limit {
			t.Fatalf("%d places, %d a second: %d idle ones are kept, at most %d should be", places, rate, kept, limit)
		}
	})
}

// TestMixed checks that kinds are told apart: beside clients that send one request, those that go on keep their connections.
func TestMixed(t *testing.T) {
	const places, regulars = 164, 40
	opened, requests := runClients(places, regulars+200, func(i int, _ time.Duration) time.Duration {
		if i < regulars {
			return 100 * time.Millisecond
		}
		return 5 * time.Second // longer than any connection may wait
	}, 15*time.Second)
	// 40 of the requests a second are those of the others, which need a new connection each.
	if others := 200 / 5; opened > others+regulars/4 {
		t.Errorf("%d of %d requests came on new connections, of which %d had to", opened, requests, others)
	}
}

// TestChange checks that the policy finds out when clients begin to use their connections again.
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
		t.Errorf("%d of %d requests came on new connections, 17 s after all began to send one every 200 ms", opened, requests)
	}
}

// TestCease checks that waits that go on count: where none has ended for a second, they show that none will be used.
func TestCease(t *testing.T) {
	const places, conns = 164, 60
	policy := New(places)
	now := time.Duration(0)
	for range conns {
		now += 5 * time.Millisecond
		policy.Opened(now)
		if w := policy.BeginIdle(now, 1, OneRequest); w.Max < MaxIdle {
			t.Fatalf("with free places and nothing known, one may wait only %v", w.Max)
		}
	}
	if policy.Expired(1, OneRequest, 300*time.Millisecond) {
		t.Fatal("expired after 300 ms, with free places and next to nothing known")
	}
	now += time.Second
	for range refreshInterval {
		policy.BeginIdle(now, 1, OneRequest)
	}
	if !policy.Expired(1, OneRequest, time.Second) {
		t.Errorf("one that has waited 1 s beside %d others has index %v", conns, policy.GittinsIndex(1, OneRequest, time.Second))
	}
}

// TestBounds checks for any events that waits keep to their bounds, that an index is a number, and that those that explore keep
// to their share.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := rapid.Int64Range(1, 1000).Draw(t, "places")
		policy := New(places)
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
				t.Fatalf("a wait of %v for kind %d", c.wait.Max, c.kind)
			case c.wait.Max == 0:
				policy.Closed()
				continue
			}
			if c.wait.Explore {
				exploring++
			}
			if float64(exploring) > max(1, maxExploreShare*float64(places)) {
				t.Fatalf("%d of %d places explore", exploring, places)
			}
			if w := policy.GittinsIndex(c.pool, c.kind, now); !(w >= 0 && w < 1e4) {
				t.Fatalf("index %v", w)
			}
			idle = append(idle, c)
		}
	})
}

// BenchmarkIdle measures what the policy adds to a request.
func BenchmarkIdle(b *testing.B) {
	policy := New(453)
	policy.Opened(0)
	b.ReportAllocs()
	for i := range b.N {
		w := policy.BeginIdle(time.Duration(i)*time.Millisecond, 1, SeveralRequests)
		policy.EndIdle(1, SeveralRequests, w, time.Duration(i%1000)*time.Millisecond, true)
	}
}

// TestRestore checks that a restored history counts at once, and that figures that no policy can have learned do not.
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
	for range 20 { // as many places are taken
		next.Opened(0)
	}
	if w := next.BeginIdle(0, 1, OneRequest); w.Max < time.Second {
		t.Fatalf("with nothing known one may wait only %v", w.Max)
	}
	next.Restore(old.History())
	if w := next.BeginIdle(0, 1, OneRequest); w.Max > 100*time.Millisecond {
		t.Errorf("what is never used again may wait %v", w.Max)
	}
	if w := next.BeginIdle(0, 1, SeveralRequests); w.Max < time.Second {
		t.Errorf("of another kind one may wait only %v", w.Max)
	}
	index := next.GittinsIndex(1, SeveralRequests, 0)
	next.Restore(History{1: {{}, {}, {Waited: make([]float64, ageBuckets), Used: make([]float64, ageBuckets)}}, 2: {{}}})
	if w := next.GittinsIndex(1, SeveralRequests, 0); w != index {
		t.Errorf("index %v after an impossible history, %v before", w, index)
	}
}
