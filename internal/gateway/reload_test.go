package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"sorrelrudder/internal/fake"
)

// TestRemovedPool guards against losing what a pool had taken when it is removed: requests in flight, and one whose retry
// is still to come, are answered by its backends; new ones find no route.
func TestRemovedPool(t *testing.T) {
	s := newTestbed(t)
	failing, good := s.backend("failing", nil), s.backend("good", func(c *fake.BackendConfig) { c.ServiceTime = 200 * time.Millisecond })
	// The first attempt is refused its connection only after a while, so that the retry comes after the removal.
	failing.SetFault(fake.Fault{Kind: fake.FaultError, Fraction: 1, Delay: 300 * time.Millisecond})
	s.pool("orders", failing, good)
	s.pool("meters", s.backend("b", nil))
	s.start()
	var conns []*client
	for range 8 {
		c := s.dial()
		c.write(s.get("orders.example.org", "/check"))
		conns = append(conns, c)
	}
	waitFor(t, "all to be in flight", func() bool { return s.g.Load().Requests == 8 })
	next := s.copyConfig()
	next.Pools, next.Routes = next.Pools[1:], next.Routes[1:]
	if err := s.g.Apply(next); err != nil {
		t.Fatal(err)
	}
	if n := s.g.Load().Draining; n != 1 {
		t.Errorf("%d pools drain, want 1", n)
	}
	if resp, _ := s.dial().ask(t, s.get("orders.example.org", "/check")); resp.StatusCode != http.StatusMisdirectedRequest {
		t.Errorf("a new request for it: %d, want 421", resp.StatusCode)
	}
	for i, c := range conns {
		if resp, _ := c.ask(t, ""); resp.StatusCode != http.StatusOK {
			t.Errorf("request %d, taken before: %d", i, resp.StatusCode)
		}
	}
	waitFor(t, "the pool to be gone", func() bool { return s.g.Load().Draining == 0 })
	s.checkEffects()
}

// TestBackendChangesPool guards against using a backend, or its connections, in the pool that it has left.
func TestBackendChangesPool(t *testing.T) {
	s := newTestbed(t)
	a, b, moves := s.backend("a", nil), s.backend("b", nil), s.backend("moves", nil)
	s.pool("orders", moves)
	s.pool("meters", b)
	s.start()
	ask := func(host string) int {
		resp, _ := s.dial().ask(t, s.get(host+".example.org", "/check"))
		return resp.StatusCode
	}
	if status := ask("orders"); status != 200 || moves.Served() != 1 {
		t.Fatalf("%d, served %d", status, moves.Served())
	}
	next := s.copyConfig()
	next.Pools[0].StaticEndpoints, next.Pools[1].StaticEndpoints = endpointsOf(a), endpointsOf(moves)
	if err := s.g.Apply(next); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the list to be told", func() bool { return ask("orders") == 200 && a.Served() > 0 })
	served := moves.Served()
	for range 5 {
		if status := ask("orders"); status != 200 {
			t.Errorf("orders: %d", status)
		}
	}
	if moves.Served() != served {
		t.Errorf("the pool that the backend left sent it %d more", moves.Served()-served)
	}
	waitFor(t, "the other pool to use it", func() bool { return ask("meters") == 200 && moves.Served() > served })
}

// TestBadReload guards against taking over a part of what cannot be used.
func TestBadReload(t *testing.T) {
	s := newTestbed(t)
	s.pool("orders", s.backend("a", nil))
	s.pool("meters", s.backend("b", nil))
	s.start()
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	before := s.g.Load().Goroutines
	for name, change := range map[string]func(*Config){
		"a listener that is taken": func(c *Config) {
			c.Listeners = append(c.Listeners, Listener{Name: "free", Address: "127.0.0.1:0"}, Listener{Name: "taken", Address: taken.Addr().String()})
		},
		"a route that ties":   func(c *Config) { c.Routes = append(c.Routes, c.Routes[0]) },
		"a route to nowhere":  func(c *Config) { c.Routes[0].Pool = "none" },
		"settings of no use":  func(c *Config) { c.Pools[1].Settings.Config.MaxAttempts = 0 },
		"a pool without name": func(c *Config) { c.Pools[1].Name = "orders" },
		"no pools":            func(c *Config) { c.Pools, c.Routes = nil, nil },
		"no weight":           func(c *Config) { c.Pools[0].Limits.Weight = 0 },
		"little memory":       func(c *Config) { c.MemoryMB = 1 },
	} {
		next := s.copyConfig()
		next.Pools[0].Limits.Rate = 0.001 // would show
		next.Pools[0].Settings.Config.MaxAttempts = 2
		change(&next)
		if err := s.g.Apply(next); err == nil {
			t.Errorf("%s was taken over", name)
		}
		for _, host := range []string{"orders", "meters"} {
			for range 3 {
				if resp, _ := s.dial().ask(t, s.get(host+".example.org", "/check")); resp.StatusCode != http.StatusOK {
					t.Errorf("after %s, %s: %d", name, host, resp.StatusCode)
				}
			}
		}
	}
	waitFor(t, "all that was started to have ended", func() bool { return s.g.Load().Goroutines <= before+30 && s.g.Load().Draining == 0 })
}

// TestListenersChange guards against closing what came in at a listener that stays, and for one that is added under load.
func TestListenersChange(t *testing.T) {
	s := newTestbed(t)
	s.pool("orders", s.backend("a", nil))
	s.start()
	stays := s.dial()
	if resp, _ := stays.ask(t, s.get("orders.example.org", "/check")); resp.StatusCode != http.StatusOK {
		t.Fatal(resp.StatusCode)
	}
	next := s.copyConfig()
	next.Listeners = append(next.Listeners, Listener{Name: "second", Address: "127.0.0.1:0"})
	if err := s.g.Apply(next); err != nil {
		t.Fatal(err)
	}
	second := &testbed{t: t, addr: s.g.ListenerAddr("second").String()}
	c := second.dial()
	if resp, _ := c.ask(t, s.get("orders.example.org", "/check")); resp.StatusCode != http.StatusOK {
		t.Errorf("at the second listener: %d", resp.StatusCode)
	}
	if err := s.g.Apply(s.cfg); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the connection there to end", func() bool {
		c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		_, err := c.r.ReadByte()
		return err == io.EOF
	})
	if resp, _ := s.dial().ask(t, s.get("orders.example.org", "/check")); resp.StatusCode != http.StatusOK {
		t.Errorf("at the listener that stays: %d", resp.StatusCode)
	}
}

// TestManyReloads guards against losing or doubling anything while configurations follow each other ten times a second and
// faster: pools are replaced, backends move, limits change.
func TestManyReloads(t *testing.T) {
	s := newTestbed(t)
	slow := func(c *fake.BackendConfig) { c.ServiceTime = 5 * time.Millisecond }
	a, b, c := s.backend("a", slow), s.backend("b", slow), s.backend("c", slow)
	s.pool("orders", a, b)
	s.pool("meters", c)
	s.start()
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	crowds := make([]*fake.ClientResults, 2)
	for i, name := range []string{"orders", "meters"} {
		all.Go(func() {
			crowds[i] = fake.RunClients(ctx, fake.ClientConfig{
				Name: name, Addr: s.addr, Host: name + ".example.org", Rate: 100, MaxAttempts: 2, Recorder: s.ledger, Seed: uint64(i),
				Backoff: 10 * time.Millisecond, HonorRetryAfter: true,
				Classes: []fake.ClassLoad{
					{Name: "check", Idempotency: fake.Idempotent, Weight: 1, LatencyObjective: 5 * time.Second, Deadline: 8 * time.Second, PriorityWeight: 1},
					{Name: "book", Idempotency: fake.NonIdempotent, Weight: 1, LatencyObjective: 5 * time.Second, Deadline: 8 * time.Second, PriorityWeight: 1},
					{Name: "order", Idempotency: fake.IdempotentByKey, Weight: 1, LatencyObjective: 5 * time.Second, Deadline: 8 * time.Second, PriorityWeight: 1},
				},
			})
		})
	}
	for n := range 30 {
		next := s.copyConfig()
		next.Pools[0].Settings.Config.MaxRetryAfter = time.Duration(n%3+1) * time.Second // replaces the pool
		next.Pools[1].Limits.Weight = float64(n%4 + 1)
		if n%2 == 0 {
			next.Pools[0].StaticEndpoints, next.Pools[1].StaticEndpoints = endpointsOf(a), endpointsOf(b, c)
		}
		if err := s.g.Apply(next); err != nil {
			t.Error(err)
		}
		time.Sleep(30 * time.Millisecond) // between reloads; nothing waits for it
	}
	cancel()
	all.Wait()
	waitFor(t, "the old pools to be gone", func() bool { return s.g.Load().Draining == 0 })
	for _, broken := range s.ledger.Check(fake.Tolerance{LateResponse: 2 * time.Second, AttemptAfterResponse: 2 * time.Second, AfterDrainGrace: time.Second}).Violations {
		t.Error(broken)
	}
	for i, crowd := range crowds {
		if crowd.ServedFraction() < 0.9 {
			t.Errorf("crowd %d: %.2f served; statuses %v", i, crowd.ServedFraction(), crowd.Statuses)
		}
	}
	if l := s.g.Load(); l.Requests != 0 {
		t.Errorf("%d requests are left", l.Requests)
	}
}
