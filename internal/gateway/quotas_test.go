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

// TestOpenLimit guards against one pool's open requests taking what is kept for another's, and against anything but an
// answer at once for what is beyond.
func TestOpenLimit(t *testing.T) {
	s := newTestbed(t)
	stuck := s.backend("stuck", nil)
	stuck.SetFault(fake.Fault{Kind: fake.FaultUnanswered, Fraction: 1})
	s.pool("orders", stuck)
	s.pool("meters", s.backend("b", nil))
	s.start()
	// Of the clients' descriptors half is kept for the pools, a quarter for each; a flood of one may not go beyond the rest.
	most := 108
	var open, beyond int
	var conns []*client
	for range most {
		c := s.dial()
		c.write(s.get("orders.example.org", "/check"))
		conns = append(conns, c)
	}
	answers := make(chan int, most)
	for _, c := range conns {
		go func() {
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil {
				answers <- 0
				return
			}
			resp.Body.Close()
			answers <- resp.StatusCode
		}()
	}
	waitFor(t, "all to be open, answered or closed", func() bool {
		open, beyond = s.g.Load().Requests, len(answers)
		return open+beyond >= most
	})
	if open >= most || beyond == 0 {
		t.Fatalf("%d of %d are open, %d were answered", open, most, beyond)
	}
	for range beyond {
		if status := <-answers; status != 429 && status != 503 && status != 0 {
			t.Errorf("one beyond the limit was answered %d", status)
		}
	}
	for range 10 {
		if resp, _ := s.dial().ask(t, s.get("meters.example.org", "/check")); resp.StatusCode != http.StatusOK {
			t.Fatalf("a neighbour was answered %d", resp.StatusCode)
		}
	}
	for _, c := range conns {
		c.Close()
	}
	for range most - beyond {
		<-answers
	}
}

// TestBodiesLimit guards against one pool's bodies, which come slowly and are long, taking the memory kept for another's.
func TestBodiesLimit(t *testing.T) {
	s := newTestbed(t)
	s.cfg.MemoryMB = 24 // 3 MiB of bodies, so 48 of the longest
	s.pool("orders", s.backend("a", nil))
	s.pool("meters", s.backend("b", nil))
	s.start()
	full := 0
	for i := range 60 {
		c := s.dial()
		c.write(s.sent("POST", "orders.example.org", "/order", fmt.Sprint("slow", i), "Idempotency-Key: k\r\nContent-Length: 65536\r\n"))
		waitFor(t, "its room to be taken, or an answer", func() bool {
			c.SetReadDeadline(time.Now().Add(time.Millisecond))
			_, err := c.r.Peek(1)
			s.g.quotas.mu.Lock()
			taken := s.g.quotas.admission.OpenRequests(1) + s.g.quotas.admission.OpenRequests(2)
			s.g.quotas.mu.Unlock()
			return err == nil || int(taken) > i-full
		})
		c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := c.r.Peek(1); err == nil {
			c.SetDeadline(time.Now().Add(patience))
			if resp, _ := c.ask(t, ""); resp.StatusCode != http.StatusServiceUnavailable {
				continue // it was too slow
			}
			full++
			break
		}
	}
	if full == 0 {
		t.Skip("the machine was too slow to hold so many slow bodies at once")
	}
	body := strings.Repeat("b", 65536)
	resp, _ := s.dial().ask(t, s.sent("POST", "meters.example.org", "/order", "neighbour", "Idempotency-Key: n\r\nContent-Length: 65536\r\n")+body)
	if resp.StatusCode != http.StatusOK {
		t.Errorf("a neighbour's body: %d", resp.StatusCode)
	}
}

// TestRateLimit guards against letting a pool have more than its limit, and against rejecting without saying when to return.
func TestRateLimit(t *testing.T) {
	s := newTestbed(t)
	s.pool("orders", s.backend("a", nil)).Limits = Limits{Weight: 1, Rate: 0.01, Burst: 3}
	s.pool("meters", s.backend("b", nil))
	s.start()
	c := s.dial()
	for i := range 6 {
		resp, _ := c.ask(t, s.get("orders.example.org", "/check"))
		if want := map[bool]int{true: 200, false: 429}[i < 3]; resp.StatusCode != want || want == 429 && !isRetryableRejection(resp) {
			t.Errorf("request %d: %d, Retry-After %q", i, resp.StatusCode, resp.Header.Get("Retry-After"))
		}
	}
	if resp, _ := c.ask(t, s.get("meters.example.org", "/check")); resp.StatusCode != http.StatusOK {
		t.Errorf("another pool on the same connection: %d", resp.StatusCode)
	}
}

// TestClaims guards against keeping more for the pools than there is.
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
				t.Errorf("the most of %d became %d", p.Limits.OpenRequests, cl.admission.OpenRequests.Limit)
			}
		}
		if conns+c.unassignedClaim().Reserved > 453 || open > 453/2 || bodies > 4<<20 || descriptors > 555/2 {
			t.Errorf("%d pools: kept are %d open, %d bytes, %d descriptors, %d connections", n, open, bodies, descriptors, conns)
		}
	}
}
