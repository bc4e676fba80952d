package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"sorrelrudder/internal/fake"
)

// TestCloseAnswers guards against leaving a client without a response when a pool is closed while its requests are open.
func TestCloseAnswers(t *testing.T) {
	s := newTestbed(t)
	stuck := s.backend("stuck", nil)
	stuck.SetFault(fake.Fault{Kind: fake.FaultUnanswered, Fraction: 1})
	s.pool("orders", stuck)
	s.start()
	c := s.dial()
	c.write(s.get("orders.example.org", "/check"))
	waitFor(t, "the request to be open", func() bool { return s.g.Load().Requests == 1 })
	s.g.table.Load().pools["orders"].pool.Close()
	if resp, _ := c.roundTrip(t, ""); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("open request: status %d, want 502", resp.StatusCode)
	}
	if resp, _ := s.dial().roundTrip(t, s.get("orders.example.org", "/check")); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("request after the close: status %d, want 503", resp.StatusCode)
	}
}

// TestRequestsAbortedBeforeKill guards against admitted requests that get no response before the platform kills the process. Every backend
// hangs, and the deadlines are longer than the platform waits. Requests of a pool that a reload has just retired must be answered too.
func TestRequestsAbortedBeforeKill(t *testing.T) {
	t.Run("in force", func(t *testing.T) { testAborted(t, false) })
	t.Run("retired", func(t *testing.T) { testAborted(t, true) })
}

func testAborted(t *testing.T, retired bool) {
	s := newTestbed(t)
	s.cfg.MaxDrain = 300 * time.Millisecond
	hangs := s.backend("hangs", func(c *fake.BackendConfig) { c.Cores = 100 })
	hangs.SetFault(fake.Fault{Kind: fake.FaultUnanswered, Fraction: 1})
	s.pool("orders", hangs)
	s.pool("meters", s.backend("b", nil))
	s.start()
	type outcome struct {
		status int
		err    error
	}
	pending := map[string]chan outcome{}
	for name, method := range map[string]string{"check": "GET", "book": "POST"} {
		c, got := s.dial(), make(chan outcome, 1)
		pending[name] = got
		c.write(s.recordedRequest(method, "orders.example.org", "/"+name, name, map[string]string{"POST": "Content-Length: 0\r\n"}[method]))
		go func() {
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil {
				got <- outcome{0, err}
				return
			}
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			got <- outcome{resp.StatusCode, err}
		}()
	}
	waitFor(t, "both requests to be admitted", func() bool { return s.g.Load().Requests == len(pending) })
	if retired {
		next := s.copyConfig()
		next.Pools, next.Routes = next.Pools[1:], next.Routes[1:]
		if err := s.g.Apply(next); err != nil {
			t.Fatal(err)
		}
	}
	startedAt := time.Now()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.shutDown()
	}()
	for name, got := range pending {
		a := <-got
		if a.err != nil || a.status != http.StatusBadGateway {
			t.Errorf("%s: status %d, error %v; want status 502", name, a.status, a.err)
		}
	}
	<-ended
	if took, limit := time.Since(startedAt), acceptWindow+s.cfg.MaxDrain+lastResponsesTimeout+time.Second; took > limit {
		t.Errorf("shutdown took %v, want at most %v", took, limit)
	}
}
