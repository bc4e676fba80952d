package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// TestServerAbortsConnection guards against passing on a partial response as a complete one, and against retrying a non-idempotent request
// that may have been processed. A server resets or closes the connection during a request, on a new connection and on one that was idle. A
// reset must not count as the end of a response that has no length.
func TestServerAbortsConnection(t *testing.T) {
	reset := func(c net.Conn) {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	end := func(c net.Conn) { c.Close() }
	for name, abort := range map[string]struct {
		partial   string
		closeConn func(net.Conn)
	}{
		"before the response":                 {"", reset},
		"before the response, closed":         {"", end},
		"within the head":                     {"HTTP/1.1 200 OK\r\nContent-", reset},
		"after the head, no length":           {"HTTP/1.1 200 OK\r\n\r\n", reset},
		"within a body without a length":      {"HTTP/1.1 200 OK\r\n\r\npart", reset},
		"within a body with a length":         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", reset},
		"within a body with a length, closed": {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", end},
		"within a chunk":                      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\npart", reset},
		"between two chunks":                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", reset},
		"within the last chunk, closed":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n", end},
	} {
		for _, class := range []string{"check", "order", "book"} {
			for _, idle := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, idle connection %t", name, class, idle), func(t *testing.T) {
					t.Parallel()
					retryAfterStall(t, func(t *testing.T) error { return checkAbortedResponse(t, abort.partial, abort.closeConn, class, idle) })
				})
			}
		}
	}
}

// reusableAfter is a time after which an idle connection to a server is reused. The sidecar does not reuse it right after a response.
const reusableAfter = 50 * time.Millisecond

// retryAfterStall calls f until it succeeds or fails without a stall of the machine, at most attempts times. The sidecar treats a response
// that is late as missing, so a failure counts only if f took less than stallThreshold, which is below the time that the sidecar allows a
// server for its next byte.
func retryAfterStall(t *testing.T, f func(*testing.T) error) {
	t.Helper()
	const attempts, stallThreshold = 5, 200 * time.Millisecond
	var err error
	for range attempts {
		started := time.Now()
		if err = f(t); err == nil || time.Since(started) < stallThreshold {
			break
		}
		t.Logf("failed after %v, possibly because the machine stalled: %v", time.Since(started), err)
	}
	if err != nil {
		t.Error(err)
	}
}

// checkAbortedResponse sends a request of the class. The first attempt gets a partial response and an aborted connection. The error states
// the unexpected result.
func checkAbortedResponse(t *testing.T, partial string, closeConn func(net.Conn), class string, idle bool) error {
	t.Helper()
	const servers = 2
	var mu sync.Mutex
	abortNext, abortedOnNew, runs := !idle, false, 0
	used, usedServers := map[net.Conn]bool{}, map[string]bool{}
	f := func(c net.Conn, q *http.Request, b []byte) {
		mu.Lock()
		isTarget := q.Header.Get("X-Request-Id") == "asked"
		aborts := abortNext && isTarget
		if isTarget {
			runs++
		}
		abortNext = abortNext && !aborts
		abortedOnNew = abortedOnNew || aborts && !used[c]
		used[c], usedServers[c.LocalAddr().String()] = true, true
		mu.Unlock()
		if aborts {
			send(c, partial)
			closeConn(c)
			return
		}
		send(c, echo(q, b))
	}
	a, b := startWriter(t, f), startWriter(t, f)
	cfg := config(t, "127.0.0.1:1", 256, listOf(t, a, b))
	cfg.Settings.Config.HealthChecksAllowed = false // a health check could take the idle connection
	s := start(t, cfg)
	c := s.dial(t)
	if idle {
		usedAll := func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(usedServers) == servers
		}
		for i := 0; !usedAll(); i++ { // the sidecar chooses at random; each server needs an idle connection
			if status, _ := c.roundTrip(t, get(strconv.Itoa(i))); status != 200 {
				return fmt.Errorf("request before the aborted one: got status %d, want 200", status)
			}
		}
		time.Sleep(reusableAfter)
		mu.Lock()
		abortNext = true
		mu.Unlock()
	}
	text := get("asked")
	if class != "check" {
		text = post(class, "asked", "Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n")
	}
	status, body := c.roundTrip(t, text)
	mu.Lock()
	defer mu.Unlock()
	switch {
	case abortedOnNew == idle:
		return fmt.Errorf("the aborted request was on a new connection: %t, want %t", abortedOnNew, !idle)
	case class == "book" && (status == 200 || status == 429 || status == 503):
		return fmt.Errorf("got status %d, body %q, want a failure: the request may have been processed", status, body)
	case class == "book" && runs != 1:
		return fmt.Errorf("request reached the servers %d times, want once", runs)
	case class != "book" && (status != 200 || body != "asked"):
		return fmt.Errorf("got status %d, body %q, want the complete response to the second attempt", status, body)
	}
	return nil
}

// TestBytesOnIdleConnection guards against taking bytes that a server sends late or without a request for the response to the next
// request. The next request must not fail because of them either, since it has not been sent yet.
func TestBytesOnIdleConnection(t *testing.T) {
	for name, text := range map[string]string{
		"partial status line": "HTTP/1.1 200 O",
		"second response":     ok("late"),
		"empty line":          "\r\n",
		"interim response":    "HTTP/1.1 103 Early Hints\r\n\r\n",
		"request timeout":     "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, class := range []string{"check", "order", "book"} {
			t.Run(name+", "+class, func(t *testing.T) {
				t.Parallel()
				retryAfterStall(t, func(t *testing.T) error { return checkUnsolicitedBytes(t, text, class) })
			})
		}
	}
}

// checkUnsolicitedBytes sends two requests on one connection to a server that sends text between them. The error states the unexpected
// result.
func checkUnsolicitedBytes(t *testing.T, text, class string) error {
	t.Helper()
	conns := make(chan net.Conn, 10)
	u := startWriter(t, func(c net.Conn, q *http.Request, b []byte) {
		conns <- c
		send(c, echo(q, b))
	})
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
	c := s.dial(t)
	if status, _ := c.roundTrip(t, get("first")); status != 200 {
		return fmt.Errorf("first request: got status %d, want 200", status)
	}
	// Over loopback, written bytes can be read at the other end once the write returns.
	if _, err := io.WriteString(<-conns, text); err != nil {
		return err
	}
	time.Sleep(reusableAfter)
	next := get("next")
	if class != "check" {
		next = post(class, "next", "Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n")
	}
	if status, body := c.roundTrip(t, next); status != 200 || body != "next" {
		return fmt.Errorf("got status %d, body %q, want 200 and the id of the second request", status, body)
	}
	if n := u.runs.Load(); n != 2 {
		return fmt.Errorf("%d requests reached the server, want 2", n)
	}
	return nil
}
