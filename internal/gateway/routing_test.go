package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"sorrelrudder/internal/fake"
	"sorrelrudder/internal/route"
)

// TestOneConnectionSeveralPools guards against binding a connection to one pool. Requests for several pools alternate on one connection,
// and pipelined requests must be answered in order.
func TestOneConnectionSeveralPools(t *testing.T) {
	s := newTestbed(t)
	a, b := s.backend("a", nil), s.backend("b", nil)
	s.pool("orders", a)
	s.pool("meters", b)
	s.start()
	c := s.dial()
	for i := range 6 {
		host := []string{"orders.example.org", "meters.example.org"}[i%2]
		if resp, _ := c.roundTrip(t, s.get(host, "/check/x")); resp.StatusCode != http.StatusOK {
			t.Fatalf("request for host %s: status %d, want 200", host, resp.StatusCode)
		}
	}
	if a.Served() != 3 || b.Served() != 3 {
		t.Errorf("the backends served %d and %d requests, want 3 each", a.Served(), b.Served())
	}
	var text strings.Builder
	for i := range 5 {
		text.WriteString(s.recordedRequest("GET", []string{"orders", "meters"}[i%2]+".example.org", "/check/x", fmt.Sprint("pipelined", i), ""))
	}
	c.write(text.String())
	for i := range 5 {
		resp, body := c.roundTrip(t, "")
		if want := fake.ResponseBody("check", fmt.Sprint("pipelined", i), ""); resp.StatusCode != http.StatusOK || body != want {
			t.Fatalf("response %d: status %d, body %q, want body %q", i, resp.StatusCode, body, want)
		}
	}
}

// TestHost guards against routing a request to the wrong pool because of the form of its Host field.
func TestHost(t *testing.T) {
	s := newTestbed(t)
	backend := s.backend("a", nil)
	s.pool("orders", backend)
	s.pool("meters", backend)
	s.cfg.Routes[1].Path = "/v1"
	s.cfg.Routes = append(s.cfg.Routes, route.Route{Name: "six", Hosts: []string{"[::1]"}, Path: "/", Pool: "orders"})
	s.start()
	n := 0
	for name, c := range map[string]struct {
		head string
		want int
	}{
		"plain":                 {"Host: orders.example.org\r\n", 200},
		"port":                  {"Host: orders.example.org:8080\r\n", 200},
		"upper case":            {"Host: ORDERS.Example.Org\r\n", 200},
		"trailing dot":          {"Host: orders.example.org.\r\n", 200},
		"IPv6":                  {"Host: [0:0::1]:80\r\n", 200},
		"unknown":               {"Host: other.example.org\r\n", 421},
		"unknown IPv6":          {"Host: [::2]\r\n", 421},
		"none":                  {"", 400},
		"empty":                 {"Host: \r\n", 400},
		"two":                   {"Host: orders.example.org\r\nHost: orders.example.org\r\n", 400},
		"unreadable":            {"Host: a b\r\n", 400},
		"unknown path":          {"Host: meters.example.org\r\n", 404},
		"bad port":              {"Host: orders.example.org:port\r\n", 400},
		"IPv6 without brackets": {"Host: ::1\r\n", 400},
	} {
		n++
		id := fmt.Sprint("host", n)
		s.recorder.RecordSent(s.recorder.BeginOperation(fake.Idempotent), id, testTimeout)
		resp, _ := s.dial().roundTrip(t, fmt.Sprintf("GET /check HTTP/1.1\r\n%sX-Request-ID: %s\r\nX-Timeout-Ms: 1000\r\n\r\n", c.head, id))
		if resp.StatusCode != c.want {
			t.Errorf("%s: status %d, want %d", name, resp.StatusCode, c.want)
		}
	}
	if resp, _ := s.dial().roundTrip(t, s.get("meters.example.org", "/v1/../check")); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("path with dot segments: status %d, want 400", resp.StatusCode)
	}
}

// TestStripPath guards against sending the path prefix of a route with StripPath to the backend.
func TestStripPath(t *testing.T) {
	s := newTestbed(t)
	s.pool("orders", s.backend("a", nil))
	s.cfg.Routes[0].Path, s.cfg.Routes[0].StripPath = "/farm/v1", true
	s.start()
	resp, body := s.dial().roundTrip(t, s.recordedRequest("POST", "orders.example.org", "/farm/v1/order/7?x=1", "strip", "Idempotency-Key: k\r\nContent-Length: 0\r\n"))
	if want := fake.ResponseBody("order", "", "k"); resp.StatusCode != http.StatusOK || body != want {
		t.Errorf("got status %d, body %q, want body %q", resp.StatusCode, body, want)
	}
}

// TestSameIDInTwoPools guards against treating a request as a duplicate of another pool's request with the same ID.
func TestSameIDInTwoPools(t *testing.T) {
	s := newTestbed(t)
	var hold [2]chan struct{}
	for i, name := range []string{"orders", "meters"} {
		hold[i] = make(chan struct{})
		s.pool(name, s.backend(name, nil))
	}
	s.cfg.Pools[0].StaticEndpoints = endpointsOf(s.backend("slow", func(c *fake.BackendConfig) { c.ServiceTime = 300 * time.Millisecond }))
	s.start()
	first := s.dial()
	s.recorder.RecordSent(s.recorder.BeginOperation(fake.Idempotent), "same", testTimeout)
	text := "GET /check HTTP/1.1\r\nHost: %s.example.org\r\nX-Request-ID: same\r\nX-Timeout-Ms: 10000\r\n\r\n"
	fmt.Fprintf(first, text, "orders")
	waitFor(t, "the first request to be open", func() bool { return s.g.Load().Requests == 1 })
	if resp, _ := s.dial().roundTrip(t, fmt.Sprintf(text, "meters")); resp.StatusCode != http.StatusOK {
		t.Errorf("same request ID in another pool: status %d, want 200", resp.StatusCode)
	}
	if resp, _ := s.dial().roundTrip(t, fmt.Sprintf(text, "orders")); resp.StatusCode != http.StatusConflict {
		t.Errorf("same request ID in the same pool: status %d, want 409", resp.StatusCode)
	}
	if resp, body := first.roundTrip(t, ""); resp.StatusCode != http.StatusOK || !strings.Contains(body, "same") {
		t.Errorf("first request: status %d, body %q, want status 200", resp.StatusCode, body)
	}
}
