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

// TestEmptyList guards against queuing requests of a pool without endpoints, and against effects on other pools. The endpoint list of one
// pool becomes empty; the discovery service of another pool is unreachable from the start. A pool must serve again once its list has an
// endpoint.
func TestEmptyList(t *testing.T) {
	s := newTestbed(t)
	a, b := s.backend("a", nil), s.backend("b", nil)
	discoveryServer, err := fake.StartDiscovery(s.recorder, a.Endpoint())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discoveryServer.Close)
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	deadAddr := dead.Addr().String()
	dead.Close()
	orders := s.pool("orders")
	orders.Discovery, orders.Settings.Config.PollInterval = discoveryServer.Addr(), time.Second
	s.pool("meters", b)
	s.pool("channels").Discovery = deadAddr
	s.start()
	roundTrip := func(host string) response {
		resp, _ := s.dial().roundTrip(t, s.get(host+".example.org", "/check"))
		return resp
	}
	waitFor(t, "the pool to serve with its first list", func() bool { return roundTrip("orders").StatusCode == http.StatusOK })
	discoveryServer.SetEndpoints()
	waitFor(t, "requests to be rejected after the list became empty", func() bool { return isRetryableRejection(roundTrip("orders")) })
	if resp := roundTrip("channels"); !isRetryableRejection(resp) {
		t.Errorf("pool whose discovery is unreachable: status %d, want a retryable rejection", resp.StatusCode)
	}
	if resp := roundTrip("meters"); resp.StatusCode != http.StatusOK {
		t.Errorf("pool with an endpoint: status %d, want 200", resp.StatusCode)
	}
	if n := s.g.Load().Requests; n != 0 {
		t.Errorf("%d requests are open, want 0", n)
	}
	discoveryServer.SetEndpoints(a.Endpoint())
	waitFor(t, "the pool to serve again", func() bool { return roundTrip("orders").StatusCode == http.StatusOK })
}

// TestListEmptiesUnderLoad guards against requests that are admitted just before the endpoint list becomes empty and then wait until their
// deadlines. Requests that were never sent must be rejected at once.
func TestListEmptiesUnderLoad(t *testing.T) {
	s := newTestbed(t)
	discoveryServer, err := fake.StartDiscovery(s.recorder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discoveryServer.Close)
	backend := s.backend("a", nil)
	s.pool("orders").Discovery = discoveryServer.Addr()
	s.start()
	var slowest atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	statuses := make([]atomic.Int64, 600)
	for range 8 {
		clients.Go(func() {
			c := s.dial()
			for ctx.Err() == nil {
				began := time.Now()
				resp, _ := c.roundTrip(t, s.get("orders.example.org", "/check"))
				if resp.StatusCode == 0 {
					c = s.dial()
				}
				statuses[resp.StatusCode].Add(1)
				slowest.Store(max(slowest.Load(), int64(time.Since(began))))
			}
		})
	}
	for range 15 {
		discoveryServer.SetEndpoints(backend.Endpoint())
		served := statuses[200].Load()
		waitFor(t, "requests to be served", func() bool { return statuses[200].Load() > served+20 })
		rejections := statuses[503].Load()
		discoveryServer.SetEndpoints()
		waitFor(t, "requests to be rejected", func() bool { return statuses[503].Load() > rejections+5 })
	}
	cancel()
	clients.Wait()
	// The deadline of the requests is 10 s. Each step of the test takes only some milliseconds.
	if d := time.Duration(slowest.Load()); d > 5*time.Second {
		t.Errorf("the slowest request took %v, want at most 5s", d)
	}
}
