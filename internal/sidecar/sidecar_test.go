package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/process"
)

// testTimeout bounds the wait for an expected event. No test asserts that an event takes less.
const testTimeout = 20 * time.Second

// responder handles one request that an upstream has read. It returns the exact bytes to be written to the connection.
type responder func(q *http.Request, body []byte) string

// upstream is a server on a loopback socket that responds as scripted and keeps connections open.
type upstream struct {
	ln   net.Listener
	seen chan string // X-Request-ID of each request except health checks
	runs atomic.Int32

	onHead func(c net.Conn, q *http.Request) // if set, called with the head of each request except health checks, in place of a response
	onConn func(open bool)                   // if set, called as a connection opens and closes; must be set before the first connection

	onHealthCheck atomic.Pointer[func(c net.Conn)] // if set, responds to health checks
}

// setHealthCheckHandler sets the function that responds to health checks from now on.
func (u *upstream) setHealthCheckHandler(respond func(c net.Conn)) { u.onHealthCheck.Store(&respond) }

// startUpstream starts an upstream whose responses f returns.
func startUpstream(t *testing.T, f responder) *upstream {
	t.Helper()
	return startWriter(t, func(c net.Conn, q *http.Request, body []byte) { send(c, f(q, body)) })
}

// startWriter starts an upstream whose f writes the responses itself, so that it can send them in parts.
func startWriter(t *testing.T, f func(c net.Conn, q *http.Request, body []byte)) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{ln: ln, seen: make(chan string, 1000)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go u.serve(c, f)
		}
	}()
	return u
}

// serve reads requests from a connection until it closes.
func (u *upstream) serve(c net.Conn, f func(net.Conn, *http.Request, []byte)) {
	if u.onConn != nil {
		u.onConn(true)
		defer u.onConn(false)
	}
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if u.onHead != nil && q.URL.Path != "/load" {
			u.onHead(c, q)
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if q.URL.Path == "/load" {
			u.respondToHealthCheck(c)
			continue
		}
		u.runs.Add(1)
		u.seen <- q.Header.Get("X-Request-Id")
		f(c, q, body)
	}
}

// respondToHealthCheck responds with an empty queue, unless another handler is set.
func (u *upstream) respondToHealthCheck(c net.Conn) {
	if respond := u.onHealthCheck.Load(); respond != nil {
		(*respond)(c)
		return
	}
	send(c, ok("queue=0"))
}

// ok returns a valid response.
func ok(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// echo responds with the request's id.
func echo(q *http.Request, _ []byte) string { return ok(q.Header.Get("X-Request-Id")) }

// startDiscovery starts a discovery service that answers each watch with the complete list of the upstreams. It sends the query of each
// watch on the channel.
func startDiscovery(t *testing.T, upstreams ...*upstream) (addr string, watchQueries <-chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	queries := make(chan string, 100)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		send(w, append(listOf(t, upstreams...), '\n'))
		w.(http.Flusher).Flush()
		queries <- q.URL.RawQuery
		<-q.Context().Done()
	})}
	go func() { _ = s.Serve(ln) }() // until it is closed
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String(), queries
}

// listOf returns the JSON encoding of a complete endpoint list of the upstreams.
func listOf(t *testing.T, upstreams ...*upstream) []byte {
	t.Helper()
	seq := int64(1)
	l := struct {
		Seq   *int64           `json:"seq"`
		Whole bool             `json:"whole"`
		Hosts []map[string]any `json:"hosts"`
	}{&seq, true, []map[string]any{}}
	for i, u := range upstreams {
		l.Hosts = append(l.Hosts, map[string]any{
			"host": "s" + strconv.Itoa(i), "dial": u.ln.Addr().String(), "health": "active",
		})
	}
	text, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// testSettings is a settings object with a class of each idempotency.
const testSettings = `{"GroupSize":1,"TickUs":1000,
 "Limits":{"SendCap":3,"Cancelling":true,"Probes":true,"DialTimeoutUs":2000000,"ConnIdleUs":60000000},
 "Safety":{"AskEveryUs":10000000},"Telemetry":{"Fields":["queue"],"Via":"on_probe"},
 "RequestClasses":[
  {"Name":"check","Effect":"read_like","Group":"all","AimUs":10000000,"DeadlineUs":10000000,"Worth":1,"LateShare":1},
  {"Name":"order","Effect":"idempotency_key","Group":"all","KeyTtlUs":60000000,"AimUs":10000000,"DeadlineUs":10000000,"Worth":1,"LateShare":1},
  {"Name":"book","Effect":"non_idempotent","AimUs":10000000,"DeadlineUs":10000000,"Worth":1,"LateShare":1}]}`

// config writes a configuration file and returns the configuration that LoadConfig reads from it.
func config(t *testing.T, discovery string, sockets int, known []byte) Config {
	t.Helper()
	c, err := LoadConfig(configEnv(t, discovery, sockets, known))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// configEnv writes a configuration file and returns an environment that names it.
func configEnv(t *testing.T, discovery string, sockets int, known []byte) func(string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, discovery, sockets, known)
	return func(name string) string {
		return map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": discovery}[name]
	}
}

// writeConfig writes a configuration file. A nil list of known endpoints is written as null.
func writeConfig(t *testing.T, path, discovery string, sockets int, known []byte) {
	t.Helper()
	if known == nil {
		known = []byte("null")
	}
	text := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"limits":{"memory_mb":32,"sockets":%d},
		"known":%s,"settings":%s}`, discovery, sockets, known, testSettings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// running is a sidecar that serves on a loopback socket until end is called. It closes ended once it has drained.
type running struct {
	*Sidecar
	addr  string
	ended chan struct{}
	end   context.CancelFunc
}

// start starts a sidecar, which ends with the test.
func start(t *testing.T, cfg Config) *running {
	t.Helper()
	s, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{s, s.ListenerAddr("n").String(), make(chan struct{}), cancel}
	go func() {
		defer close(r.ended)
		if err := s.Gateway.Run(ctx); err != nil {
			t.Log(err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-r.ended
	})
	return r
}

// client is the client side of a connection to a sidecar.
type client struct {
	net.Conn
	r *bufio.Reader
}

// dial connects to the sidecar. The connection has a deadline of testTimeout.
func (r *running) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &client{c, bufio.NewReader(c)}
}

// roundTrip writes text and reads a response. Status 0 means that the connection was closed without one.
func (c *client) roundTrip(t *testing.T, text string) (status int, body string) {
	t.Helper()
	send(c, text) // the sidecar may close the connection before it has read all
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		if os.IsTimeout(err) {
			t.Fatalf("got neither a response to %.60q nor a closed connection", text)
		}
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

// get returns a request of the idempotent class.
func get(id string) string {
	return "GET /check HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id + "\r\nX-Timeout-Ms: 10000\r\n\r\n"
}

// post returns the start of a POST request. The text more holds the rest of its head, and its body.
func post(class, id, more string) string {
	return "POST /" + class + " HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id + "\r\nX-Timeout-Ms: 10000\r\n" + more
}

// send writes a text to a peer that may close before it has read all. Write errors are ignored, since the test checks the peer's response.
func send[T string | []byte](w io.Writer, text T) { _, _ = w.Write([]byte(text)) }

// waitFor polls f until it is true, and fails the test after testTimeout.
func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// TestInvalidRequests guards against forwarding requests that are malformed, that hide other requests (request smuggling) or that are of
// unbounded size. Each gets an error response or a closed connection.
func TestInvalidRequests(t *testing.T) {
	u := startUpstream(t, echo)
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
	hidden := "0\r\n\r\n" + get("hidden")
	key := "Idempotency-Key: k\r\n"
	for name, text := range map[string]string{
		"noise":                  "\x00\x01\x02\r\n\r\n",
		"no version":             "GET 0000\r\n\r\n",
		"unbounded head":         "GET /check HTTP/1.1\r\nX: " + strings.Repeat("p", 1<<20),
		"length and chunks":      post("order", "a", key+fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", len(hidden), hidden)),
		"chunks and length":      post("order", "a", key+fmt.Sprintf("Transfer-Encoding: chunked\r\ncontent-length: %d\r\n\r\n%s", len(hidden), hidden)),
		"two lengths":            post("order", "a", key+"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
		"space before the colon": post("order", "a", key+"Content-Length : 5\r\n\r\nhello"),
		"folded line":            post("order", "a", key+"X: a\r\n b\r\nContent-Length: 0\r\n\r\n"),
		"negative length":        post("order", "a", key+"Content-Length: -5\r\n\r\n"),
		"huge length":            post("order", "a", key+"Content-Length: 60000000\r\n\r\n"),
		"length overflow":        post("order", "a", key+"Content-Length: 99999999999999999999\r\n\r\n"),
		"broken chunks":          post("order", "a", key+"Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\nzz\r\n"),
		"unterminated chunks":    post("order", "a", key+"Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", 4)),
		"no class":               strings.Replace(get("a"), "/check", "/checks", 1),
		"no id":                  "GET /check HTTP/1.1\r\nHost: h\r\nX-Timeout-Ms: 100\r\n\r\n",
		"two ids":                strings.Replace(get("a"), "\r\n\r\n", "\r\nX-Request-ID: b\r\n\r\n", 1),
		"no deadline":            "GET /check HTTP/1.1\r\nHost: h\r\nX-Request-ID: a\r\n\r\n",
		"deadline not a number":  strings.Replace(get("a"), "10000", "soon", 1),
		"negative deadline":      strings.Replace(get("a"), "10000", "-3", 1),
		"no key":                 post("order", "a", "Content-Length: 0\r\n\r\n"),
		"wrong method":           post("check", "a", "Content-Length: 0\r\n\r\n"),
		"control byte":           strings.Replace(get("a"), "Host: h", "Host: h\r\nX: \x01", 1),
		"half a request":         get("a")[:40],
		"half a body":            post("order", "a", key+"Content-Length: 10\r\n\r\nabc"),
		"nothing":                "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if status, _ := s.dial(t).roundTrip(t, text); status != 0 && status < 400 || status == 503 {
				t.Errorf("got status %d, want 4xx, 5xx or a closed connection", status)
			}
		})
	}
	t.Cleanup(func() {
		if n := u.runs.Load(); n != 0 {
			t.Errorf("%d requests reached the upstream, want none", n)
		}
	})
}

// TestValidRequests guards against rejecting or altering requests that the protocol allows.
func TestValidRequests(t *testing.T) {
	u := startUpstream(t, func(q *http.Request, body []byte) string { return ok(q.URL.RequestURI() + " " + string(body)) })
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
	key, long := "Idempotency-Key: k\r\n", strings.Repeat("x", httpmsg.MaxBufferedBodyBytes-20)
	c := s.dial(t)
	for i, tc := range []struct{ text, want string }{
		{strings.Replace(get("a"), "/check", "/check/%2e%2e//7?v=7", 1), "/check/%2e%2e//7?v=7 "},
		{"\r\n" + get("b"), "/check "},
		{post("order", "c", key+"Content-Length: 5\r\n\r\nhello"), "/order hello"},
		{post("order", "d", key+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long)), "/order " + long},
		{post("book", "e", "Content-Length: 2\r\n\r\nhi"), "/book hi"},
		{post("book", "f", "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n3\r\n yo\r\n0\r\n\r\n"), "/book hi yo"}, // last request
	} {
		if status, body := c.roundTrip(t, tc.text); status != 200 || body != tc.want {
			t.Fatalf("request %d: got status %d, body %.60q, want 200 and body %.60q", i, status, body, tc.want)
		}
	}
}

// TestPipelinedRequests guards against losing requests that arrive before the previous response is sent, and against responses out of
// order.
func TestPipelinedRequests(t *testing.T) {
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, startUpstream(t, echo))))
	c := s.dial(t)
	send(c, get("a")+get("b"))
	for _, want := range []string{"a", "b", "c"} {
		text := ""
		if want == "c" {
			text = get("c")
		}
		if status, body := c.roundTrip(t, text); status != 200 || body != want {
			t.Fatalf("got status %d, body %q, want 200 and body %q", status, body, want)
		}
	}
}

// TestDuplicateRequestID guards against a client that uses the id of another client's request: upstreams would process the id twice.
func TestDuplicateRequestID(t *testing.T) {
	release := make(chan struct{})
	u := startUpstream(t, func(q *http.Request, b []byte) string {
		<-release
		return echo(q, b)
	})
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
	first := s.dial(t)
	send(first, get("same"))
	<-u.seen
	for range 2 {
		if status, _ := s.dial(t).roundTrip(t, get("same")); status != http.StatusConflict {
			t.Errorf("second request with the same id: got status %d, want 409", status)
		}
	}
	close(release)
	if status, body := first.roundTrip(t, ""); status != 200 || body != "same" {
		t.Errorf("first request: got status %d, body %q, want 200 and its id", status, body)
	}
	if status, _ := s.dial(t).roundTrip(t, get("same")); status != http.StatusConflict {
		t.Errorf("request with the same id right after the end of the first: got status %d, want 409", status)
	}
	if n := u.runs.Load(); n != 1 {
		t.Errorf("%d requests reached the upstream, want 1", n)
	}
}

// TestSilentClients guards against clients that exhaust the descriptors with connections that send nothing or that stay idle after one
// request.
func TestSilentClients(t *testing.T) {
	s := start(t, config(t, "127.0.0.1:1", 64, listOf(t, startUpstream(t, echo))))
	for i := range 100 {
		c := s.dial(t)
		if i%2 == 0 { // a new connection may be closed to free a descriptor; the client then retries on another
			waitFor(t, "client "+strconv.Itoa(i)+" to get a response", func() bool {
				status, _ := c.roundTrip(t, get("stays"+strconv.Itoa(i)))
				if status == 0 {
					c = s.dial(t)
				}
				return status == 200
			})
		}
	}
	waitFor(t, "the idle connections to be closed", func() bool {
		return s.Load().Clients == 0
	})
}

// TestClientLeaves guards against keeping state of a request whose client has disconnected.
func TestClientLeaves(t *testing.T) {
	u := startUpstream(t, func(*http.Request, []byte) string { return "" })
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
	c := s.dial(t)
	send(c, get("a"))
	<-u.seen
	c.Close()
	waitFor(t, "the request to be removed", func() bool {
		return s.Load().Requests == 0
	})
}

// TestMalformedResponses guards against passing on a malformed response, and against waiting for the rest of an incomplete one. A malformed
// response is a failed attempt that may have been processed. Only idempotent requests are retried after one.
func TestMalformedResponses(t *testing.T) {
	endless := "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppppppppppppppp\r\n", 10000)
	for name, text := range map[string]string{
		"noise":                      "\xe7U\x13\x82\x04\r\n\r\n",
		"unbounded head":             endless,
		"incomplete head":            "HTTP/1.1 200 OK\r\nX-Pad: ppp",
		"short body":                 "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc",
		"3 GB":                       "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20),
		"broken chunks":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
		"two lengths":                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
		"negative length":            "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nabc",
		"too many interim responses": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 50),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var malformed sync.Once
			f := func(q *http.Request, b []byte) string {
				answer := echo(q, b)
				malformed.Do(func() { answer = text })
				return answer
			}
			good, bad := startUpstream(t, f), startUpstream(t, f)
			s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, good, bad)))
			c := s.dial(t)
			if status, body := c.roundTrip(t, get("again")); status != 200 || body != "again" {
				t.Errorf("idempotent request: got status %d, body %.40q, want 200 and the body of the second attempt", status, body)
			}
		})
	}
	t.Run("unsafe", func(t *testing.T) {
		u := startUpstream(t, func(*http.Request, []byte) string { return "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc" })
		s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u, u)))
		status, _ := s.dial(t).roundTrip(t, post("book", "once", "Content-Length: 0\r\n\r\n"))
		if status == 200 || status == 429 || status == 503 {
			t.Errorf("non-idempotent request that may have been processed: got status %d, want a failure", status)
		}
		if n := u.runs.Load(); n != 1 {
			t.Errorf("non-idempotent request was sent %d times, want once", n)
		}
	})
}

// TestExcessBytesAfterResponse guards against taking bytes after a valid response for the response to the next request.
func TestExcessBytesAfterResponse(t *testing.T) {
	u := startUpstream(t, func(q *http.Request, b []byte) string { return echo(q, b) + ok("surplus") })
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
	c := s.dial(t)
	for i := range 20 {
		id := strconv.Itoa(i)
		if status, body := c.roundTrip(t, get(id)); status != 200 || body != id {
			t.Fatalf("request %d: got status %d, body %q, want 200 and its id", i, status, body)
		}
	}
}

// TestInterimResponses guards against taking a 1xx response for the final one.
func TestInterimResponses(t *testing.T) {
	u := startUpstream(t, func(q *http.Request, b []byte) string {
		return "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + echo(q, b)
	})
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
	if status, body := s.dial(t).roundTrip(t, get("a")); status != 200 || body != "a" {
		t.Errorf("got status %d, body %q, want 200 and the request's id", status, body)
	}
}

// TestEarlyInterimResponse guards against aborting an attempt whose upstream has sent a 1xx response and is still processing the request.
func TestEarlyInterimResponse(t *testing.T) {
	u := startWriter(t, func(c net.Conn, q *http.Request, _ []byte) {
		send(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
		time.Sleep(500 * time.Millisecond) // twice the time limit of a response after its first byte; a longer wait makes no difference
		send(c, echo(q, nil))
	})
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
	if status, body := s.dial(t).roundTrip(t, post("book", "a", "Content-Length: 0\r\n\r\n")); status != 200 || body != "a" {
		t.Errorf("got status %d, body %q, want 200 and the request's id", status, body)
	}
}

// TestReload guards against a reload that ignores a new discovery address in the file because the environment still names the old one.
func TestReload(t *testing.T) {
	u := startUpstream(t, echo)
	oldAddr, oldWatch := startDiscovery(t)
	newAddr, newWatch := startDiscovery(t, u)
	getenv := configEnv(t, oldAddr, 256, nil)
	cfg, err := LoadConfig(getenv)
	if err != nil {
		t.Fatal(err)
	}
	s := start(t, cfg)
	select { // the sidecar calls discovery even without a cached list
	case <-oldWatch:
	case <-time.After(testTimeout):
		t.Fatal("discovery was not called")
	}
	writeConfig(t, getenv("GW_CONFIG"), newAddr, 256, nil)
	next, err := LoadConfig(getenv)
	if err != nil {
		t.Fatal(err)
	}
	s.Reload(next)
	select {
	case <-newWatch:
	case <-time.After(testTimeout):
		t.Fatal("discovery was not called at the new address")
	}
	if status, body := s.dial(t).roundTrip(t, get("a")); status != 200 || body != "a" {
		t.Errorf("got status %d, body %q, want a response of the upstream on the new list", status, body)
	}
}

// TestBadConfig guards against accepting an invalid configuration at a start or a reload, and against minimum limits that are too high for
// the machines on which sidecars run.
func TestBadConfig(t *testing.T) {
	getenv := configEnv(t, "127.0.0.1:1", 256, nil)
	if _, err := LoadConfig(getenv); err != nil {
		t.Errorf("configuration with 32 MB: unexpected error: %v", err)
	}
	for value, want := range map[string]bool{"1s": true, "100ms": true, "1ms": false, "often": false, "-1s": false} {
		_, err := LoadConfig(func(name string) string {
			if name == "GW_FIGURES_EVERY" {
				return value
			}
			return getenv(name)
		})
		if (err == nil) != want || err != nil && !strings.Contains(err.Error(), "GW_FIGURES_EVERY") {
			t.Errorf("GW_FIGURES_EVERY=%s: got error %v, want none if it is valid, or else one that names the variable", value, err)
		}
	}
	for _, text := range []string{"", "{", `{"listen":"a","discovery":"b"}`, `{"listen":"a","discovery":"b","limits":{"memory_mb":1},"settings":{}}`} {
		if err := os.WriteFile(getenv("GW_CONFIG"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadConfig(getenv); err == nil {
			t.Errorf("configuration %q was accepted, want an error", text)
		}
	}
}

// TestDrain guards against losing requests that were accepted before SIGTERM, and requests on connections that are opened while the sidecar
// begins to drain.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	u := startUpstream(t, func(q *http.Request, b []byte) string {
		<-release
		return echo(q, b)
	})
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
	before := s.dial(t)
	send(before, get("before"))
	<-u.seen
	idle := s.dial(t)
	if status, _ := idle.roundTrip(t, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"); status != 200 {
		t.Fatalf("health check: got status %d, want 200", status)
	}
	s.end()
	if _, err := idle.r.ReadByte(); err != io.EOF { // the drain has begun
		t.Fatalf("read on an idle connection: got %v, want EOF", err)
	}
	during := s.dial(t)
	send(during, get("during"))
	<-u.seen
	close(release)
	for name, c := range map[string]*client{"before": before, "during": during} {
		if status, body := c.roundTrip(t, ""); status != 200 || body != name {
			t.Errorf("request %s: got status %d, body %q, want 200 and its id", name, status, body)
		}
	}
	<-s.ended
}

// TestUpstreamReplaced guards against using a connection to an endpoint that has left the list: another endpoint may have its address.
func TestUpstreamReplaced(t *testing.T) {
	var connections sync.WaitGroup // open connections to u
	u := startUpstream(t, echo)
	u.onConn = func(open bool) {
		if open {
			connections.Add(1)
		} else {
			connections.Done()
		}
	}
	replaced := bytes.ReplaceAll(listOf(t, u), []byte(`"s0"`), []byte(`"s1"`))
	sendReplacement := make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	discovery := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		send(w, append(listOf(t, u), '\n'))
		w.(http.Flusher).Flush()
		select {
		case <-sendReplacement:
			send(w, append(replaced, '\n'))
			w.(http.Flusher).Flush()
		case <-q.Context().Done():
		}
		<-q.Context().Done()
	})}
	go func() { _ = discovery.Serve(ln) }() // until it is closed
	t.Cleanup(func() { discovery.Close() })
	s := start(t, config(t, ln.Addr().String(), 256, listOf(t, u)))
	if status, _ := s.dial(t).roundTrip(t, get("a")); status != 200 {
		t.Fatalf("got status %d, want 200", status)
	}
	close(sendReplacement)
	connections.Wait() // the test times out if they stay open
	if n := s.Load().Endpoints; n != 1 {
		t.Errorf("got %d endpoints, want 1", n)
	}
}

// TestShortClientTimeouts guards against sending a request to an endpoint that is not expected to respond within the client's timeout. This
// happens if only the latency objective of the class counts, or if a request with a short timeout is taken for the last, late attempt
// of an older request.
func TestShortClientTimeouts(t *testing.T) {
	const shortTimeout = 250 * time.Millisecond
	fast := startUpstream(t, echo)
	slow := startUpstream(t, func(q *http.Request, b []byte) string {
		time.Sleep(2 * shortTimeout) // a longer delay makes no difference
		return echo(q, b)
	})
	cfg := config(t, "127.0.0.1:1", 256, listOf(t, fast, slow))
	cfg.Settings.Config.Classes[0].LatencyObjective = 2 * shortTimeout
	s := start(t, cfg)
	// Send requests until the slow upstream is known to be slow: for some rounds it gets none, or it has responded often enough to be
	// known. An upstream that responds just within the latency objective may correctly get some ordinary requests indefinitely.
	for i, quietRounds := 0, 0; quietRounds < 3 && slow.runs.Load() < 40; i++ {
		before := slow.runs.Load()
		var clients [12]*client
		for j := range clients {
			clients[j] = s.dial(t)
			send(clients[j], get(fmt.Sprintf("usual%d-%d", i, j)))
		}
		for _, c := range clients {
			c.roundTrip(t, "")
		}
		if quietRounds++; slow.runs.Load() > before {
			quietRounds = 0
		}
	}
	before := slow.runs.Load()
	for i := range 20 {
		text := strings.Replace(get("hasty"+strconv.Itoa(i)), "10000", strconv.FormatInt(shortTimeout.Milliseconds(), 10), 1)
		s.dial(t).roundTrip(t, text)
	}
	if n := slow.runs.Load() - before; n > 0 {
		t.Errorf("%d of 20 requests with a short timeout were sent to the upstream that responds too late for them", n)
	}
}

// TestStaleReports guards against overloading an upstream whose load report still has an empty queue. Requests that would be answered late
// are rejected at once. After the queue has drained all requests are served again.
func TestStaleReports(t *testing.T) {
	var hold atomic.Pointer[chan struct{}]
	u := startUpstream(t, func(q *http.Request, b []byte) string {
		if c := hold.Load(); c != nil {
			<-*c
		}
		time.Sleep(20 * time.Millisecond) // so that queued requests are delayed
		return echo(q, b)
	})
	cfg := config(t, "127.0.0.1:1", 256, listOf(t, u))
	cfg.Settings.Config.Classes[0].LatencyObjective = 300 * time.Millisecond
	s := start(t, cfg)
	for i := range 3 {
		if status, _ := s.dial(t).roundTrip(t, get("calm"+strconv.Itoa(i))); status != 200 {
			t.Fatalf("single request: got status %d, want 200", status)
		}
	}
	release := make(chan struct{})
	hold.Store(&release)
	const burst = 60
	before := u.runs.Load()
	answers := make(chan int, burst)
	for i := range burst {
		c := s.dial(t)
		send(c, get("crowd"+strconv.Itoa(i)))
		go func() {
			status := 0
			if resp, err := http.ReadResponse(c.r, nil); err == nil {
				status = resp.StatusCode
				resp.Body.Close()
			}
			answers <- status
		}()
	}
	waitFor(t, "each request to be forwarded or answered", func() bool { return int(u.runs.Load()-before)+len(answers) == burst })
	if len(answers) == 0 {
		t.Errorf("all of %d simultaneous requests were sent to one upstream that does not respond, want some rejected", burst)
	}
	for range len(answers) {
		if status := <-answers; status != http.StatusServiceUnavailable {
			t.Errorf("got status %d at once, want 503", status)
		}
	}
	hold.Store(nil)
	close(release)
	waitFor(t, "the queue to drain", func() bool {
		return s.Load().Requests == 0
	})
	if status, _ := s.dial(t).roundTrip(t, get("after")); status != 200 {
		t.Errorf("request after the queue has drained: got status %d, want 200", status)
	}
}

// TestUnansweredRequests guards against upstreams that never respond to some requests but respond to others. Requests are still
// hedged as long as the hedged attempts are answered first, and the upstreams stay in use.
func TestUnansweredRequests(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]bool{}
	f := func(q *http.Request, b []byte) string {
		mu.Lock()
		defer mu.Unlock()
		id := q.Header.Get("X-Request-Id")
		if first := !seen[id]; first && strings.HasPrefix(id, "swallowed") {
			seen[id] = true
			return ""
		}
		return echo(q, b)
	}
	cfg := config(t, "127.0.0.1:1", 256, listOf(t, startUpstream(t, f), startUpstream(t, f), startUpstream(t, f)))
	cfg.Settings.Config.HedgingAllowed = true
	cfg.Settings.Config.Classes[0].LatencyObjective = time.Second
	s := start(t, cfg)
	c := s.dial(t)
	for i := range 70 { // these earn the budget of the first hedged requests
		c.roundTrip(t, get("before"+strconv.Itoa(i)))
	}
	answered := 0
	const rounds = 20
	for i := range rounds {
		for _, name := range []string{"calm", "calm-too", "swallowed"} {
			id := name + strconv.Itoa(i)
			status, body := c.roundTrip(t, strings.Replace(get(id), "10000", "1500", 1))
			if name == "swallowed" && status == 200 && body == id {
				answered++
			}
		}
	}
	if answered < rounds/2 {
		t.Errorf("%d of %d requests that the first upstream left unanswered were answered, want at least half", answered, rounds)
	}
}

// TestClientLeftBeforeItWasRead guards against forwarding a request whose client disconnected before the request was read. The connection
// waited for a descriptor, and its end follows directly after the request.
func TestClientLeftBeforeItWasRead(t *testing.T) {
	release := make(chan struct{})
	u := startUpstream(t, func(q *http.Request, b []byte) string {
		<-release
		return echo(q, b)
	})
	const sockets = 64
	s := start(t, config(t, "127.0.0.1:1", sockets, listOf(t, u)))
	var busy []*client
	for i := range int(process.MaxClientDescriptors(sockets)) { // as many connections as clients may hold
		var c *client
		waitFor(t, "a request to be accepted", func() bool {
			if c == nil { // also retries if a new connection was closed to free a descriptor before its request was read
				c = s.dial(t)
				send(c, get("busy"+strconv.Itoa(i)))
			}
			select {
			case <-u.seen:
				return true
			case <-time.After(10 * time.Millisecond):
			}
			c.SetReadDeadline(time.Now().Add(time.Millisecond))
			if _, err := c.r.Peek(1); err != nil && !os.IsTimeout(err) {
				c = nil
			}
			return false
		})
		c.SetReadDeadline(time.Now().Add(testTimeout))
		busy = append(busy, c)
	}
	for i := range 3 {
		c := s.dial(t)
		send(c, get("left"+strconv.Itoa(i)))
		c.Close()
	}
	close(release)
	for _, c := range busy {
		c.roundTrip(t, "")
		c.Close()
	}
	if status, _ := s.dial(t).roundTrip(t, get("after")); status != 200 { // accepted after the disconnected clients
		t.Errorf("request after the disconnected clients: got status %d, want 200", status)
	}
	for len(u.seen) > 0 {
		if id := <-u.seen; strings.HasPrefix(id, "left") {
			t.Errorf("request %s of a disconnected client was forwarded", id)
		}
	}
}
