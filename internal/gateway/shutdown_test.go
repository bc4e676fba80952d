package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"sorrelrudder/internal/fake"
)

// TestCloseAnswers guards against leaving a client without an answer where a pool ends before its requests have.
func TestCloseAnswers(t *testing.T) {
	s := newTestbed(t)
	stuck := s.backend("stuck", nil)
	stuck.SetFault(fake.Fault{Kind: fake.FaultUnanswered, Fraction: 1})
	s.pool("orders", stuck)
	s.start()
	c := s.dial()
	c.write(s.get("orders.example.org", "/check"))
	waitFor(t, "it to be open", func() bool { return s.g.Load().Requests == 1 })
	s.g.table.Load().pools["orders"].pool.Close()
	if resp, _ := c.ask(t, ""); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("answered %d, want 502", resp.StatusCode)
	}
	if resp, _ := s.dial().ask(t, s.get("orders.example.org", "/check")); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("one that came after: %d, want 503", resp.StatusCode)
	}
}

// TestRequestsAbortedBeforeKill guards against requests that are taken and find no answer before the process is killed: every server
// hangs, and the deadlines are longer than the platform waits. A pool that a reload has just retired owes its answers, too.
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
	type answered struct {
		status int
		err    error
	}
	asked := map[string]chan answered{}
	for name, method := range map[string]string{"check": "GET", "book": "POST"} {
		c, got := s.dial(), make(chan answered, 1)
		asked[name] = got
		c.write(s.sent(method, "orders.example.org", "/"+name, name, map[string]string{"POST": "Content-Length: 0\r\n"}[method]))
		go func() {
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil {
				got <- answered{0, err}
				return
			}
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			got <- answered{resp.StatusCode, err}
		}()
	}
	waitFor(t, "both to be taken", func() bool { return s.g.Load().Requests == len(asked) })
	if retired {
		next := s.copyConfig()
		next.Pools, next.Routes = next.Pools[1:], next.Routes[1:]
		if err := s.g.Apply(next); err != nil {
			t.Fatal(err)
		}
	}
	began := time.Now()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.end()
	}()
	for name, got := range asked {
		a := <-got
		if a.err != nil || a.status != http.StatusBadGateway {
			t.Errorf("%s: answered %d, %v; want a failure", name, a.status, a.err)
		}
	}
	<-ended
	if took, most := time.Since(began), acceptWindow+s.cfg.MaxDrain+lastResponsesTimeout+time.Second; took > most {
		t.Errorf("ended after %v, want %v at most", took, most)
	}
}
