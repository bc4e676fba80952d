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

// TestServerBreaksOff guards against a part of an answer that seems whole, and against a second run of what may have run: a server resets
// or ends the connection under a request, on one that has rested as on a new one. A reset is no end.
func TestServerBreaksOff(t *testing.T) {
	reset := func(c net.Conn) {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	end := func(c net.Conn) { c.Close() }
	for name, how := range map[string]struct {
		part string
		off  func(net.Conn)
	}{
		"before the answer":               {"", reset},
		"before the answer, in order":     {"", end},
		"in the head":                     {"HTTP/1.1 200 OK\r\nContent-", reset},
		"behind the head, no length":      {"HTTP/1.1 200 OK\r\n\r\n", reset},
		"in a body without a length":      {"HTTP/1.1 200 OK\r\n\r\npart", reset},
		"in a body with a length":         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", reset},
		"in a body with a length, ended":  {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", end},
		"in a chunk":                      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\npart", reset},
		"between two chunks":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", reset},
		"before the last of chunks ended": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n", end},
	} {
		for _, class := range []string{"check", "order", "book"} {
			for _, rested := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, rested %t", name, class, rested), func(t *testing.T) {
					t.Parallel()
					undisturbed(t, func(t *testing.T) error { return breakOff(t, how.part, how.off, class, rested) })
				})
			}
		}
	}
}

// undisturbed runs f until it finds nothing wrong, or finds it within a time in which this machine did not stand still for as long as
// the sidecar gives a server for its next byte: an answer that is late counts as none.
func undisturbed(t *testing.T, f func(*testing.T) error) {
	t.Helper()
	const tries, still = 5, 200 * time.Millisecond
	var err error
	for range tries {
		began := time.Now()
		if err = f(t); err == nil || time.Since(began) < still {
			break
		}
		t.Logf("after %v: %v", time.Since(began), err)
	}
	if err != nil {
		t.Error(err)
	}
}

// breakOff asks for something of that class, whose first run ends in part of an answer and a connection that is off, and says what
// was wrong.
func breakOff(t *testing.T, part string, off func(net.Conn), class string, rested bool) error {
	t.Helper()
	var mu sync.Mutex
	armed, runs := !rested, 0
	f := func(c net.Conn, q *http.Request, b []byte) {
		mu.Lock()
		asked := q.Header.Get("X-Request-Id") == "asked"
		spoils := armed && asked
		if asked {
			runs++
		}
		armed = armed && !spoils
		mu.Unlock()
		if spoils {
			send(c, part)
			off(c)
			return
		}
		send(c, echo(q, b))
	}
	a, b := startWriter(t, f), startWriter(t, f)
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, a, b)))
	c := s.dial(t)
	if rested {
		for i := range 8 { // so that each server has a connection that rests
			if status, _ := c.ask(t, get(strconv.Itoa(i))); status != 200 {
				return fmt.Errorf("answered %d before", status)
			}
		}
		mu.Lock()
		armed = true
		mu.Unlock()
	}
	text := get("asked")
	if class != "check" {
		text = post(class, "asked", "Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n")
	}
	status, body := c.ask(t, text)
	mu.Lock()
	defer mu.Unlock()
	switch {
	case class == "book" && (status == 200 || status == 429 || status == 503):
		return fmt.Errorf("answered %d %q, want a failure: it may have run", status, body)
	case class == "book" && runs != 1:
		return fmt.Errorf("it was sent %d times", runs)
	case class != "book" && (status != 200 || body != "asked"):
		return fmt.Errorf("answered %d %q, want the whole answer of the second attempt", status, body)
	}
	return nil
}

// TestBytesOnARestingConnection guards against taking what a server says unasked, or late, for the answer to the next request, and
// against a failure for it: nothing has been sent yet.
func TestBytesOnARestingConnection(t *testing.T) {
	for name, text := range map[string]string{
		"half a line":     "HTTP/1.1 200 O",
		"a second answer": ok("late"),
		"an empty line":   "\r\n",
		"an interim one":  "HTTP/1.1 103 Early Hints\r\n\r\n",
		"a time-out":      "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, class := range []string{"check", "order", "book"} {
			t.Run(name+", "+class, func(t *testing.T) {
				t.Parallel()
				undisturbed(t, func(t *testing.T) error { return bytesBetween(t, text, class) })
			})
		}
	}
}

// bytesBetween asks twice on a connection to a server that says text in between, and says what was wrong.
func bytesBetween(t *testing.T, text, class string) error {
	t.Helper()
	conns := make(chan net.Conn, 10)
	u := startWriter(t, func(c net.Conn, q *http.Request, b []byte) {
		conns <- c
		send(c, echo(q, b))
	})
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
	c := s.dial(t)
	if status, _ := c.ask(t, get("first")); status != 200 {
		return fmt.Errorf("answered %d before", status)
	}
	// Over loopback what is written stands at the other end once the write returns.
	if _, err := io.WriteString(<-conns, text); err != nil {
		return err
	}
	next := get("next")
	if class != "check" {
		next = post(class, "next", "Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n")
	}
	if status, body := c.ask(t, next); status != 200 || body != "next" {
		return fmt.Errorf("answered %d %q", status, body)
	}
	if n := u.runs.Load(); n != 2 {
		return fmt.Errorf("%d requests ran, want 2", n)
	}
	return nil
}
