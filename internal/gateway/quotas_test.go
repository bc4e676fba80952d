package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"sorrelrudder/internal/fake"
)

// TestOpenLimit guards against open requests of one pool using the quota that is reserved for another pool. Requests beyond the
// limit must be rejected at once.
func TestOpenLimit(t *testing.T) {
	s := newTestbed(t)
	stuck := s.backend("stuck", nil)
	stuck.SetFault(fake.Fault{Kind: fake.FaultUnanswered, Fraction: 1})
	s.pool("orders", stuck)
	s.pool("meters", s.backend("b", nil))
	s.start()
	// Half of the client descriptors is reserved for the two pools, a quarter for each. A flood of one pool must not exceed its own quarter
	// and the unreserved half.
	total := 108
	var open, rejected int
	var conns []*client
	for range total {
		c := s.dial()
		c.write(s.get("orders.example.org", "/check"))
		conns = append(conns, c)
	}
	statuses := make(chan int, total)
	for _, c := range conns {
		go func() {
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil {
				statuses <- 0
				return
			}
			resp.Body.Close()
			statuses <- resp.StatusCode
		}()
	}
	waitFor(t, "all requests to be open, answered or closed", func() bool {
		open, rejected = s.g.Load().Requests, len(statuses)
		return open+rejected >= total
	})
	if open >= total || rejected == 0 {
		t.Fatalf("%d of %d requests are open and %d were answered, want some rejected", open, total, rejected)
	}
	for range rejected {
		if status := <-statuses; status != 429 && status != 503 && status != 0 {
			t.Errorf("request beyond the limit: status %d, want 429, 503 or a close", status)
		}
	}
	for range 10 {
		if resp, _ := s.dial().roundTrip(t, s.get("meters.example.org", "/check")); resp.StatusCode != http.StatusOK {
			t.Fatalf("request of the other pool: status %d, want 200", resp.StatusCode)
		}
	}
	for _, c := range conns {
		c.Close()
	}
	for range total - rejected {
		<-statuses
	}
}

// TestBodiesLimit guards against one pool's bodies using the body memory that is reserved for another pool. The bodies are long and arrive
// slowly.
func TestBodiesLimit(t *testing.T) {
	s := newTestbed(t)
	s.cfg.MemoryMB = 24 // body memory of 3 MiB, enough for 48 bodies of the largest buffered size
	s.pool("orders", s.backend("a", nil))
	s.pool("meters", s.backend("b", nil))
	s.start()
	full := 0
	for i := range 60 {
		c := s.dial()
		c.write(s.recordedRequest("POST", "orders.example.org", "/order", fmt.Sprint("slow", i), "Idempotency-Key: k\r\nContent-Length: 65536\r\n"))
		waitFor(t, "the body memory to be reserved, or a response", func() bool {
			c.SetReadDeadline(time.Now().Add(time.Millisecond))
			_, err := c.r.Peek(1)
			s.g.quotas.mu.Lock()
			taken := s.g.quotas.admission.OpenRequests(1) + s.g.quotas.admission.OpenRequests(2)
			s.g.quotas.mu.Unlock()
			return err == nil || int(taken) > i-full
		})
		c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := c.r.Peek(1); err == nil {
			c.SetDeadline(time.Now().Add(testTimeout))
			if resp, _ := c.roundTrip(t, ""); resp.StatusCode != http.StatusServiceUnavailable {
				continue // timed out because the body was too slow
			}
			full++
			break
		}
	}
	if full == 0 {
		t.Skip("the machine was too slow to hold so many slow bodies at once")
	}
	body := strings.Repeat("b", 65536)
	resp, _ := s.dial().roundTrip(t, s.recordedRequest("POST", "meters.example.org", "/order", "neighbour", "Idempotency-Key: n\r\nContent-Length: 65536\r\n")+body)
	if resp.StatusCode != http.StatusOK {
		t.Errorf("request with a body in the other pool: status %d, want 200", resp.StatusCode)
	}
}

// TestRateLimit guards against admitting more requests than a pool's rate limit allows, and against rejections without Retry-After.
func TestRateLimit(t *testing.T) {
	s := newTestbed(t)
	s.pool("orders", s.backend("a", nil)).Limits = Limits{Weight: 1, Rate: 0.01, Burst: 3}
	s.pool("meters", s.backend("b", nil))
	s.start()
	c := s.dial()
	for i := range 6 {
		resp, _ := c.roundTrip(t, s.get("orders.example.org", "/check"))
		if want := map[bool]int{true: 200, false: 429}[i < 3]; resp.StatusCode != want || want == 429 && !isRetryableRejection(resp) {
			t.Errorf("request %d: status %d, Retry-After %q, want 200 for the first three and a retryable 429 for the others", i, resp.StatusCode, resp.Header.Get("Retry-After"))
		}
	}
	if resp, _ := c.roundTrip(t, s.get("meters.example.org", "/check")); resp.StatusCode != http.StatusOK {
		t.Errorf("another pool on the same connection: status %d, want 200", resp.StatusCode)
	}
}

// TestClaims guards against reserving more of a resource for the pools than the process has.
func TestClaims(t *testing.T) {
	for _, n := range []int{1, 2, 10, 100} {
		c := Config{MemoryMB: 64, Descriptors: 1024}
		for i := range n {
			c.Pools = append(c.Pools, Pool{Name: strconv.Itoa(i), Limits: Limits{Weight: float64(i%7 + 1), OpenRequests: int64(i % 3)}})
		}
		var open, bodies, descriptors, conns int64
		for _, p := range c.Pools {
			cl := c.quotasFor(p)
			open += cl.admission.OpenRequests.Reserved
			bodies += cl.admission.BodyBytes.Reserved
			descriptors += cl.descriptors.Reserved
			conns += cl.connections.Reserved
			if p.Limits.OpenRequests > 0 && cl.admission.OpenRequests.Limit != p.Limits.OpenRequests {
				t.Errorf("configured limit of %d open requests became %d", p.Limits.OpenRequests, cl.admission.OpenRequests.Limit)
			}
		}
		if conns+c.unassignedClaim().Reserved > 453 || open > 453/2 || bodies > 4<<20 || descriptors > 555/2 {
			t.Errorf("%d pools: reserved are %d open requests, %d body bytes, %d descriptors, %d connections, more than the process has", n, open, bodies, descriptors, conns)
		}
	}
}
