package sidecar

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sorrelrudder/policy"
)

// rejected is the response of a server that has not executed a request.
const rejected = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"

const (
	// secondResponseDelay is how long after a response its copy follows. It is above the time that the sidecar needs to send the next request.
	secondResponseDelay = 8 * time.Millisecond
	// maxSecondResponseDelay is the longest delay of a copy that a test counts. A stalled machine may delay copies further.
	maxSecondResponseDelay = 12 * time.Millisecond
)

// responseDoubler sends responses twice, and records what delays the machine added. Its methods are safe for concurrent use.
type responseDoubler struct {
	copies  atomic.Int32
	stalled atomic.Bool // a copy was sent later than maxSecondResponseDelay
}

// sendTwice sends a response, and once more after delay. The server reads its next request only afterwards, as a server does at the far end
// of a link: a request that is sent meanwhile has not arrived there.
func (d *responseDoubler) sendTwice(c net.Conn, response string, delay time.Duration) {
	started := time.Now()
	send(c, response)
	time.Sleep(delay)
	send(c, response)
	d.copies.Add(1)
	if time.Since(started) > maxSecondResponseDelay {
		d.stalled.Store(true)
	}
}

// retryIfStalled calls f until it succeeds or fails without a stall of the machine, at most attempts times.
func retryIfStalled(t *testing.T, f func(*testing.T, *responseDoubler) error) {
	t.Helper()
	const attempts = 5
	var err error
	for range attempts {
		var d responseDoubler
		if err = f(t, &d); err == nil || !d.stalled.Load() {
			break
		}
		t.Logf("failed with a copy that the machine delayed: %v", err)
	}
	if err != nil {
		t.Error(err)
	}
}

// TestSecondResponse guards against taking the late second copy of a response for the response to the next request on its connection. The
// copy of a served response or of a health check's response would be passed on to a client. The copy of a rejection would prove that a
// request that is executed was not, and the request would be executed again elsewhere.
func TestSecondResponse(t *testing.T) {
	for _, kind := range []string{"served", "rejected", "health check"} {
		for _, class := range []string{"check", "order", "book"} {
			t.Run(kind+", "+class, func(t *testing.T) {
				t.Parallel()
				retryIfStalled(t, func(t *testing.T, d *responseDoubler) error { return checkSecondResponse(t, d, kind, class) })
			})
		}
	}
}

// checkSecondResponse sends three requests of the class, one right after the other, to a server that sends its first response of the kind
// twice. The error states the unexpected result.
func checkSecondResponse(t *testing.T, d *responseDoubler, kind, class string) error {
	t.Helper()
	var mu sync.Mutex
	executions, doubled := map[string]int{}, false
	// isFirst reports whether a response of a kind is the one that is sent twice.
	isFirst := func(of string) bool {
		mu.Lock()
		defer mu.Unlock()
		if doubled || kind != of {
			return false
		}
		doubled = true
		return true
	}
	u := startWriter(t, func(c net.Conn, q *http.Request, b []byte) {
		if isFirst("rejected") {
			d.sendTwice(c, rejected, secondResponseDelay)
			return
		}
		mu.Lock()
		executions[q.Header.Get("X-Request-Id")]++
		mu.Unlock()
		if isFirst("served") {
			d.sendTwice(c, echo(q, b), secondResponseDelay)
			return
		}
		send(c, echo(q, b))
	})
	u.setHealthCheckHandler(func(c net.Conn) {
		if isFirst("health check") {
			d.sendTwice(c, ok("queue=0"), secondResponseDelay)
			return
		}
		send(c, ok("queue=0"))
	})
	cfg := config(t, "127.0.0.1:1", 256, listOf(t, u))
	cfg.Settings.Config.HealthChecksAllowed = kind == "health check" // so that no health check takes the copy of another response
	s := start(t, cfg)
	c := s.dial(t)
	for i := range 3 {
		id := "request-" + strconv.Itoa(i)
		text := get(id)
		if class != "check" {
			text = post(class, id, "Idempotency-Key: "+id+"\r\nContent-Length: 0\r\n\r\n")
		}
		status, body := c.roundTrip(t, text)
		if kind == "rejected" && i == 0 && status == http.StatusServiceUnavailable {
			continue // the only server has rejected it
		}
		if status != http.StatusOK || body != id {
			return fmt.Errorf("%s: got status %d, body %q, want 200 and the id of the request", id, status, body)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if !doubled {
		return fmt.Errorf("the server sent no response of kind %q", kind)
	}
	for id, n := range executions {
		if n != 1 {
			return fmt.Errorf("%s was executed %d times, want once", id, n)
		}
	}
	return nil
}

// executionLog records where requests were executed. Its methods are safe for concurrent use.
type executionLog struct {
	mu    sync.Mutex
	cells map[string][]int // by X-Request-ID: the cells of the servers that executed it
}

func (l *executionLog) record(id string, cell int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cells[id] = append(l.cells[id], cell)
}

// startDoublingServer starts a server of a cell that rejects one in five requests, and sends one in five responses of any kind a second
// time, some milliseconds late.
func startDoublingServer(t *testing.T, l *executionLog, d *responseDoubler, cell int, seed uint64) *upstream {
	t.Helper()
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 0))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	respond := func(c net.Conn, response string) {
		if draw(5) > 0 {
			send(c, response)
			return
		}
		d.sendTwice(c, response, time.Duration(1+draw(9))*time.Millisecond)
	}
	u := startWriter(t, func(c net.Conn, q *http.Request, b []byte) {
		if draw(5) == 0 {
			respond(c, rejected)
			return
		}
		l.record(q.Header.Get("X-Request-Id"), cell)
		respond(c, echo(q, b))
	})
	u.setHealthCheckHandler(func(c net.Conn) { respond(c, ok("queue=0")) })
	return u
}

// TestSecondResponsesUnderLoad guards against the same faults where many requests, rejections and health checks share few connections:
// clients that are served another request's response, non-idempotent requests that are executed twice, and keyed requests that are
// executed in a second cell, which does not drop repeats of the first.
func TestSecondResponsesUnderLoad(t *testing.T) {
	retryIfStalled(t, checkSecondResponsesUnderLoad)
}

// checkSecondResponsesUnderLoad sends requests of all classes to servers of two cells. The error states each request that was served a wrong
// response or was executed more often than its class allows.
func checkSecondResponsesUnderLoad(t *testing.T, d *responseDoubler) error {
	t.Helper()
	const servers, clients = 4, 6
	l := &executionLog{cells: map[string][]int{}}
	hosts := make([]map[string]any, servers)
	for i := range servers {
		u := startDoublingServer(t, l, d, i/2, uint64(i))
		hosts[i] = map[string]any{"host": "s" + strconv.Itoa(i), "dial": u.ln.Addr().String(), "health": "active", "block": i / 2}
	}
	list, err := json.Marshal(map[string]any{"seq": 1, "whole": true, "hosts": hosts})
	if err != nil {
		return err
	}
	cfg := config(t, "127.0.0.1:1", 256, list)
	for i := range cfg.Settings.Config.Classes {
		cfg.Settings.Config.Classes[i].DedupScope = policy.DedupCell
	}
	s := start(t, cfg)
	var all sync.WaitGroup
	errs := make([]error, clients)
	for i := range clients {
		c := s.dial(t)
		all.Go(func() { errs[i] = sendAllClasses(t, c, i) })
	}
	all.Wait()
	if d.copies.Load() == 0 {
		return errors.New("the servers sent no response twice")
	}
	return errors.Join(append(errs, l.check()...)...)
}

// requestsPerClient is the number of requests that a client sends one after the other. They take the classes in turn.
const requestsPerClient = 60

// sendAllClasses sends requests on a connection. The error states the responses that are those of other requests.
func sendAllClasses(t *testing.T, c *client, number int) error {
	var errs []error
	for n := range requestsPerClient {
		id := fmt.Sprintf("%d-%d", number, n)
		text := [...]string{
			get(id),
			post("order", id, "Idempotency-Key: "+id+"\r\nContent-Length: 0\r\n\r\n"),
			post("book", id, "Content-Length: 0\r\n\r\n"),
		}[n%3]
		switch status, body := c.roundTrip(t, text); {
		case status == 0:
			return errors.Join(append(errs, fmt.Errorf("request %s: the connection was closed without a response", id))...)
		case status == http.StatusOK && body != id:
			errs = append(errs, fmt.Errorf("request %s was served the body %q", id, body))
		}
	}
	return errors.Join(errs...)
}

// check returns an error for each request that was executed more often than its class allows.
func (l *executionLog) check() []error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var errs []error
	for id, cells := range l.cells {
		_, number, _ := strings.Cut(id, "-")
		n, err := strconv.Atoi(number)
		if err != nil {
			return append(errs, err)
		}
		otherCell := slices.ContainsFunc(cells, func(cell int) bool { return cell != cells[0] })
		switch {
		case n%3 == 1 && otherCell:
			errs = append(errs, fmt.Errorf("the keyed request %s was executed in the cells %v, want one cell", id, cells))
		case n%3 == 2 && len(cells) > 1:
			errs = append(errs, fmt.Errorf("the non-idempotent request %s was executed %d times, want once", id, len(cells)))
		}
	}
	return errs
}
