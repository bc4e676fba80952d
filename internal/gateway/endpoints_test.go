package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sorrelrudder/internal/fake"
)

// TestEmptyList guards against holding requests of a pool that has no server, and against its neighbours noticing; it serves
// again when there is one. Its list goes empty, and another's discovery is dead from the start.
func TestEmptyList(t *testing.T) {
	s := newTestbed(t)
	a, b := s.backend("a", nil), s.backend("b", nil)
	disco, err := fake.StartDiscovery(s.ledger, a.Endpoint())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(disco.Close)
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	deadAddr := dead.Addr().String()
	dead.Close()
	orders := s.pool("orders")
	orders.Discovery, orders.Settings.Config.PollInterval = disco.Addr(), time.Second
	s.pool("meters", b)
	s.pool("channels").Discovery = deadAddr
	s.start()
	ask := func(host string) response {
		resp, _ := s.dial().ask(t, s.get(host+".example.org", "/check"))
		return resp
	}
	waitFor(t, "the first list", func() bool { return ask("orders").StatusCode == http.StatusOK })
	disco.SetEndpoints()
	waitFor(t, "the empty list to have requests rejected at once", func() bool { return isRetryableRejection(ask("orders")) })
	if resp := ask("channels"); !isRetryableRejection(resp) {
		t.Errorf("without any discovery: %d", resp.StatusCode)
	}
	if resp := ask("meters"); resp.StatusCode != http.StatusOK {
		t.Errorf("a neighbour: %d", resp.StatusCode)
	}
	if n := s.g.Load().Requests; n != 0 {
		t.Errorf("%d requests are held", n)
	}
	disco.SetEndpoints(a.Endpoint())
	waitFor(t, "the list to be back", func() bool { return ask("orders").StatusCode == http.StatusOK })
}

// TestListEmptiesUnderLoad guards against requests that are taken just before the list goes empty and then wait for their time
// to be up: all that was never sent is rejected at once.
func TestListEmptiesUnderLoad(t *testing.T) {
	s := newTestbed(t)
	disco, err := fake.StartDiscovery(s.ledger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(disco.Close)
	backend := s.backend("a", nil)
	s.pool("orders").Discovery = disco.Addr()
	s.start()
	var slowest atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	statuses := make([]atomic.Int64, 600)
	for range 8 {
		all.Go(func() {
			c := s.dial()
			for ctx.Err() == nil {
				began := time.Now()
				resp, _ := c.ask(t, s.get("orders.example.org", "/check"))
				if resp.StatusCode == 0 {
					c = s.dial()
				}
				statuses[resp.StatusCode].Add(1)
				slowest.Store(max(slowest.Load(), int64(time.Since(began))))
			}
		})
	}
	for range 15 {
		disco.SetEndpoints(backend.Endpoint())
		served := statuses[200].Load()
		waitFor(t, "some to be served", func() bool { return statuses[200].Load() > served+20 })
		rejections := statuses[503].Load()
		disco.SetEndpoints()
		waitFor(t, "some to be rejected", func() bool { return statuses[503].Load() > rejections+5 })
	}
	cancel()
	all.Wait()
	// Their time is 10 s, and nothing here takes more than some milliseconds.
	if d := time.Duration(slowest.Load()); d > 5*time.Second {
		t.Errorf("one waited %v", d)
	}
}
