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

// patience is how long a test waits for what must come; none asserts that something takes less.
const patience = 20 * time.Second

// script answers one request that an upstream has read; it returns what is written to the connection, byte for byte.
type script func(q *http.Request, body []byte) string

// upstream is a server on a loopback socket that answers by a script and leaves connections open.
type upstream struct {
	ln   net.Listener
	seen chan string // X-Request-ID of each request but probes
	runs atomic.Int32

	heads  func(c net.Conn, q *http.Request) // nil, or given each request but probes by its head, instead of answering it
	onConn func(open bool)                   // nil, or told of each connection; set before there is one
}

func startUpstream(t *testing.T, f script) *upstream {
	t.Helper()
	return startWriter(t, func(c net.Conn, q *http.Request, body []byte) { send(c, f(q, body)) })
}

// startWriter is startUpstream for answers that come in parts.
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
		if u.heads != nil && q.URL.Path != "/load" {
			u.heads(c, q)
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if q.URL.Path == "/load" {
			send(c, ok("queue=0"))
			continue
		}
		u.runs.Add(1)
		u.seen <- q.Header.Get("X-Request-Id")
		f(c, q, body)
	}
}

// ok is a good answer.
func ok(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// echo answers with the request's id.
func echo(q *http.Request, _ []byte) string { return ok(q.Header.Get("X-Request-Id")) }

// startDiscovery is a discovery that answers watches with the upstreams given, as one whole list.
func startDiscovery(t *testing.T, upstreams ...*upstream) (addr string, watched <-chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	asked := make(chan string, 100)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		send(w, append(listOf(t, upstreams...), '\n'))
		w.(http.Flusher).Flush()
		asked <- q.URL.RawQuery
		<-q.Context().Done()
	})}
	go func() { _ = s.Serve(ln) }() // until it is closed
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String(), asked
}

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

const testSettings = `{"GroupSize":1,"TickUs":1000,
 "Limits":{"SendCap":3,"Cancelling":true,"Probes":true,"DialTimeoutUs":2000000,"ConnIdleUs":60000000},
 "Safety":{"AskEveryUs":10000000},"Telemetry":{"Fields":["queue"],"Via":"on_probe"},
 "RequestClasses":[
  {"Name":"check","Effect":"read_like","Group":"all","AimUs":10000000,"DeadlineUs":10000000,"Worth":1,"LateShare":1},
  {"Name":"order","Effect":"idempotency_key","Group":"all","KeyTtlUs":60000000,"AimUs":10000000,"DeadlineUs":10000000,"Worth":1,"LateShare":1},
  {"Name":"book","Effect":"non_idempotent","AimUs":10000000,"DeadlineUs":10000000,"Worth":1,"LateShare":1}]}`

// config writes a configuration file and returns its text's parts as LoadConfig reads them.
func config(t *testing.T, discovery string, sockets int, known []byte) Config {
	t.Helper()
	c, err := LoadConfig(configEnv(t, discovery, sockets, known))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func configEnv(t *testing.T, discovery string, sockets int, known []byte) func(string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, discovery, sockets, known)
	return func(name string) string {
		return map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": discovery}[name]
	}
}

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

// running is a sidecar that serves on a loopback socket.
type running struct {
	*Sidecar
	addr  string
	ended chan struct{}
	end   context.CancelFunc
}

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

// client is a client's connection.
type client struct {
	net.Conn
	r *bufio.Reader
}

func (r *running) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return &client{c, bufio.NewReader(c)}
}

// ask writes text and reads an answer; status 0 is a close with none.
func (c *client) ask(t *testing.T, text string) (status int, body string) {
	t.Helper()
	send(c, text) // a sidecar may close before it has read all
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		if os.IsTimeout(err) {
			t.Fatalf("neither an answer nor a close to %.60q", text)
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

func get(id string) string {
	return "GET /check HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id + "\r\nX-Timeout-Ms: 10000\r\n\r\n"
}

func post(class, id, more string) string {
	return "POST /" + class + " HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id + "\r\nX-Timeout-Ms: 10000\r\n" + more
}

// send writes a text to a peer that may close before it has read all: what is missing shows in what the test sees of it.
func send[T string | []byte](w io.Writer, text T) { _, _ = w.Write([]byte(text)) }

func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// TestBadClients guards against requests that upstreams cannot use or that hide others, whatever they cost: each gets an
// error or a close, and none goes on.
func TestBadClients(t *testing.T) {
	u := startUpstream(t, echo)
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
	hidden := "0\r\n\r\n" + get("hidden")
	key := "Idempotency-Key: k\r\n"
	for name, text := range map[string]string{
		"noise":                  "\x00\x01\x02\r\n\r\n",
		"no version":             "GET 0000\r\n\r\n",
		"endless head":           "GET /check HTTP/1.1\r\nX: " + strings.Repeat("p", 1<<20),
		"both lengths":           post("order", "a", key+fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", len(hidden), hidden)),
		"both, the other order":  post("order", "a", key+fmt.Sprintf("Transfer-Encoding: chunked\r\ncontent-length: %d\r\n\r\n%s", len(hidden), hidden)),
		"two lengths":            post("order", "a", key+"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
		"space before the colon": post("order", "a", key+"Content-Length : 5\r\n\r\nhello"),
		"folded line":            post("order", "a", key+"X: a\r\n b\r\nContent-Length: 0\r\n\r\n"),
		"negative length":        post("order", "a", key+"Content-Length: -5\r\n\r\n"),
		"huge length":            post("order", "a", key+"Content-Length: 60000000\r\n\r\n"),
		"length without end":     post("order", "a", key+"Content-Length: 99999999999999999999\r\n\r\n"),
		"broken chunks":          post("order", "a", key+"Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\nzz\r\n"),
		"chunks without end":     post("order", "a", key+"Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", 4)),
		"no class":               strings.Replace(get("a"), "/check", "/checks", 1),
		"no id":                  "GET /check HTTP/1.1\r\nHost: h\r\nX-Timeout-Ms: 100\r\n\r\n",
		"two ids":                strings.Replace(get("a"), "\r\n\r\n", "\r\nX-Request-ID: b\r\n\r\n", 1),
		"no deadline":            "GET /check HTTP/1.1\r\nHost: h\r\nX-Request-ID: a\r\n\r\n",
		"deadline is no number":  strings.Replace(get("a"), "10000", "soon", 1),
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
			if status, _ := s.dial(t).ask(t, text); status != 0 && status < 400 || status == 503 {
				t.Errorf("answered %d, want 4xx, 5xx or a close", status)
			}
		})
	}
	t.Cleanup(func() {
		if n := u.runs.Load(); n != 0 {
			t.Errorf("%d requests came to the upstream, want none", n)
		}
	})
}

// TestUsualClients guards against turning away what the protocol allows.
func TestUsualClients(t *testing.T) {
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
		{post("book", "f", "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n3\r\n yo\r\n0\r\n\r\n"), "/book hi yo"}, // the last one
	} {
		if status, body := c.ask(t, tc.text); status != 200 || body != tc.want {
			t.Fatalf("request %d: got %d %.60q, want 200 %.60q", i, status, body, tc.want)
		}
	}
}

// TestPipelinedRequests guards against losing, or answering out of turn, requests that come before an answer has gone.
func TestPipelinedRequests(t *testing.T) {
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, startUpstream(t, echo))))
	c := s.dial(t)
	send(c, get("a")+get("b"))
	for _, want := range []string{"a", "b", "c"} {
		text := ""
		if want == "c" {
			text = get("c")
		}
		if status, body := c.ask(t, text); status != 200 || body != want {
			t.Fatalf("got %d %q, want 200 %q", status, body, want)
		}
	}
}

// TestIDOfAnOpenRequest guards against a client that uses the id of another's request: upstreams would run that twice.
func TestIDOfAnOpenRequest(t *testing.T) {
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
		if status, _ := s.dial(t).ask(t, get("same")); status != http.StatusConflict {
			t.Errorf("the second of one id was answered %d", status)
		}
	}
	close(release)
	if status, body := first.ask(t, ""); status != 200 || body != "same" {
		t.Errorf("the first was answered %d %q", status, body)
	}
	if status, _ := s.dial(t).ask(t, get("same")); status != http.StatusConflict {
		t.Errorf("right after the end one of the same id was answered %d", status)
	}
	if n := u.runs.Load(); n != 1 {
		t.Errorf("%d requests came to the upstream, want 1", n)
	}
}

// TestSilentClients guards against clients that hold all descriptors and say nothing, or have asked once and stay.
func TestSilentClients(t *testing.T) {
	s := start(t, config(t, "127.0.0.1:1", 64, listOf(t, startUpstream(t, echo))))
	for i := range 100 {
		c := s.dial(t)
		if i%2 == 0 { // a new connection may be closed to make room; a client then asks on another
			waitFor(t, "client "+strconv.Itoa(i)+" to be answered", func() bool {
				status, _ := c.ask(t, get("stays"+strconv.Itoa(i)))
				if status == 0 {
					c = s.dial(t)
				}
				return status == 200
			})
		}
	}
	waitFor(t, "the quiet connections to end", func() bool {
		return s.Load().Clients == 0
	})
}

// TestClientLeaves guards against keeping anything of a request whose client has gone.
func TestClientLeaves(t *testing.T) {
	u := startUpstream(t, func(*http.Request, []byte) string { return "" })
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
	c := s.dial(t)
	send(c, get("a"))
	<-u.seen
	c.Close()
	waitFor(t, "the request to be forgotten", func() bool {
		return s.Load().Requests == 0
	})
}

// TestSpoiltAnswers guards against passing on what no upstream made for a request, and against waiting for what never
// comes: a spoilt answer is a failed attempt that may have run. What may run again is asked again.
func TestSpoiltAnswers(t *testing.T) {
	endless := "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppppppppppppppp\r\n", 10000)
	for name, text := range map[string]string{
		"noise":               "\xe7U\x13\x82\x04\r\n\r\n",
		"endless head":        endless,
		"head that stops":     "HTTP/1.1 200 OK\r\nX-Pad: ppp",
		"short body":          "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc",
		"3 GB":                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20),
		"broken chunks":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
		"two lengths":         "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
		"negative length":     "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nabc",
		"interim without end": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 50),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var spoilt sync.Once
			f := func(q *http.Request, b []byte) string {
				answer := echo(q, b)
				spoilt.Do(func() { answer = text })
				return answer
			}
			good, bad := startUpstream(t, f), startUpstream(t, f)
			s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, good, bad)))
			c := s.dial(t)
			if status, body := c.ask(t, get("again")); status != 200 || body != "again" {
				t.Errorf("a safe request was answered %d %.40q, want a good answer of the second attempt", status, body)
			}
		})
	}
	t.Run("unsafe", func(t *testing.T) {
		u := startUpstream(t, func(*http.Request, []byte) string { return "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc" })
		s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u, u)))
		status, _ := s.dial(t).ask(t, post("book", "once", "Content-Length: 0\r\n\r\n"))
		if status == 200 || status == 429 || status == 503 {
			t.Errorf("an unsafe request that may have run was answered %d, want a failure", status)
		}
		if n := u.runs.Load(); n != 1 {
			t.Errorf("it was sent %d times", n)
		}
	})
}

// TestSurplusAfterAnAnswer guards against taking what came behind a good answer for the answer to the next request.
func TestSurplusAfterAnAnswer(t *testing.T) {
	u := startUpstream(t, func(q *http.Request, b []byte) string { return echo(q, b) + ok("surplus") })
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
	c := s.dial(t)
	for i := range 20 {
		id := strconv.Itoa(i)
		if status, body := c.ask(t, get(id)); status != 200 || body != id {
			t.Fatalf("request %d was answered %d %q", i, status, body)
		}
	}
}

// TestInterimAnswers guards against taking a 1xx answer for the final one.
func TestInterimAnswers(t *testing.T) {
	u := startUpstream(t, func(q *http.Request, b []byte) string {
		return "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + echo(q, b)
	})
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
	if status, body := s.dial(t).ask(t, get("a")); status != 200 || body != "a" {
		t.Errorf("got %d %q", status, body)
	}
}

// TestEarlyInterimAnswer guards against ending an attempt because the upstream has sent a 1xx answer and still works.
func TestEarlyInterimAnswer(t *testing.T) {
	u := startWriter(t, func(c net.Conn, q *http.Request, _ []byte) {
		send(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
		time.Sleep(500 * time.Millisecond) // twice what an answer may take from its first byte on; more makes no difference
		send(c, echo(q, nil))
	})
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
	if status, body := s.dial(t).ask(t, post("book", "a", "Content-Length: 0\r\n\r\n")); status != 200 || body != "a" {
		t.Errorf("got %d %q", status, body)
	}
}

// TestReload guards against a discovery that has moved: the environment still names the old address.
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
	select { // also one that knows no list asks
	case <-oldWatch:
	case <-time.After(patience):
		t.Fatal("discovery was never asked")
	}
	writeConfig(t, getenv("GW_CONFIG"), newAddr, 256, nil)
	next, err := LoadConfig(getenv)
	if err != nil {
		t.Fatal(err)
	}
	s.Reload(next)
	select {
	case <-newWatch:
	case <-time.After(patience):
		t.Fatal("the new address was never asked")
	}
	if status, body := s.dial(t).ask(t, get("a")); status != 200 || body != "a" {
		t.Errorf("got %d %q, want an answer of the upstream on the new list", status, body)
	}
}

// TestBadConfig guards against a reload with what could not be started with, and against limits that are too strict for
// the machines that sidecars get.
func TestBadConfig(t *testing.T) {
	getenv := configEnv(t, "127.0.0.1:1", 256, nil)
	if _, err := LoadConfig(getenv); err != nil {
		t.Errorf("32 MB: %v", err)
	}
	for value, want := range map[string]bool{"1s": true, "100ms": true, "1ms": false, "often": false, "-1s": false} {
		_, err := LoadConfig(func(name string) string {
			if name == "GW_FIGURES_EVERY" {
				return value
			}
			return getenv(name)
		})
		if (err == nil) != want || err != nil && !strings.Contains(err.Error(), "GW_FIGURES_EVERY") {
			t.Errorf("GW_FIGURES_EVERY=%s: %v", value, err)
		}
	}
	for _, text := range []string{"", "{", `{"listen":"a","discovery":"b"}`, `{"listen":"a","discovery":"b","limits":{"memory_mb":1},"settings":{}}`} {
		if err := os.WriteFile(getenv("GW_CONFIG"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadConfig(getenv); err == nil {
			t.Errorf("%q was taken", text)
		}
	}
}

// TestDrain guards against losing what was taken before SIGTERM, and what comes on connections that crossed it.
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
	if status, _ := idle.ask(t, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"); status != 200 {
		t.Fatalf("health: %d", status)
	}
	s.end()
	if _, err := idle.r.ReadByte(); err != io.EOF { // the drain has begun
		t.Fatalf("an idle connection brought %v, want its end", err)
	}
	during := s.dial(t)
	send(during, get("during"))
	<-u.seen
	close(release)
	for name, c := range map[string]*client{"before": before, "during": during} {
		if status, body := c.ask(t, ""); status != 200 || body != name {
			t.Errorf("%s: got %d %q", name, status, body)
		}
	}
	<-s.ended
}

// TestUpstreamReplaced guards against using a connection to a process past its end: another may have its address.
func TestUpstreamReplaced(t *testing.T) {
	var ended sync.WaitGroup // connections to u
	u := startUpstream(t, echo)
	u.onConn = func(open bool) {
		if open {
			ended.Add(1)
		} else {
			ended.Done()
		}
	}
	replaced := bytes.ReplaceAll(listOf(t, u), []byte(`"s0"`), []byte(`"s1"`))
	tell := make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	discovery := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		send(w, append(listOf(t, u), '\n'))
		w.(http.Flusher).Flush()
		select {
		case <-tell:
			send(w, append(replaced, '\n'))
			w.(http.Flusher).Flush()
		case <-q.Context().Done():
		}
		<-q.Context().Done()
	})}
	go func() { _ = discovery.Serve(ln) }() // until it is closed
	t.Cleanup(func() { discovery.Close() })
	s := start(t, config(t, ln.Addr().String(), 256, listOf(t, u)))
	if status, _ := s.dial(t).ask(t, get("a")); status != 200 {
		t.Fatalf("got %d", status)
	}
	close(tell)
	ended.Wait() // or the test times out
	if n := s.Load().Endpoints; n != 1 {
		t.Errorf("%d upstreams are kept, want 1", n)
	}
}

// TestShortClientTimeouts guards against sending a request where its answer cannot be expected while its client waits: because
// only the class's aim counts, or because one of little patience is taken for the last, late try of an older one.
func TestShortClientTimeouts(t *testing.T) {
	const hasty = 250 * time.Millisecond
	fast := startUpstream(t, echo)
	slow := startUpstream(t, func(q *http.Request, b []byte) string {
		time.Sleep(2 * hasty) // more makes no difference
		return echo(q, b)
	})
	cfg := config(t, "127.0.0.1:1", 256, listOf(t, fast, slow))
	cfg.Settings.Config.Classes[0].LatencyObjective = 2 * hasty
	s := start(t, cfg)
	// Until the slow one is known as slow: none goes there, or it has answered often enough to be known. One that answers just within
	// the aim may go on being sent some of the usual ones, rightly and for ever.
	for i, calm := 0, 0; calm < 3 && slow.runs.Load() < 40; i++ {
		before := slow.runs.Load()
		var asked [12]*client
		for j := range asked {
			asked[j] = s.dial(t)
			send(asked[j], get(fmt.Sprintf("usual%d-%d", i, j)))
		}
		for _, c := range asked {
			c.ask(t, "")
		}
		if calm++; slow.runs.Load() > before {
			calm = 0
		}
	}
	before := slow.runs.Load()
	for i := range 20 {
		text := strings.Replace(get("hasty"+strconv.Itoa(i)), "10000", strconv.FormatInt(hasty.Milliseconds(), 10), 1)
		s.dial(t).ask(t, text)
	}
	if n := slow.runs.Load() - before; n > 0 {
		t.Errorf("%d of 20 hasty requests went to the upstream that answers too late for them", n)
	}
}

// TestStaleReports guards against heaping requests on an upstream that still reports an empty queue: those that could
// only be answered late are refused at once, and once the heap is gone all are served again.
func TestStaleReports(t *testing.T) {
	var hold atomic.Pointer[chan struct{}]
	u := startUpstream(t, func(q *http.Request, b []byte) string {
		if c := hold.Load(); c != nil {
			<-*c
		}
		time.Sleep(20 * time.Millisecond) // so that a heap means a delay
		return echo(q, b)
	})
	cfg := config(t, "127.0.0.1:1", 256, listOf(t, u))
	cfg.Settings.Config.Classes[0].LatencyObjective = 300 * time.Millisecond
	s := start(t, cfg)
	for i := range 3 {
		if status, _ := s.dial(t).ask(t, get("calm"+strconv.Itoa(i))); status != 200 {
			t.Fatalf("a single request was answered %d", status)
		}
	}
	release := make(chan struct{})
	hold.Store(&release)
	const crowd = 60
	before := u.runs.Load()
	answers := make(chan int, crowd)
	for i := range crowd {
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
	waitFor(t, "all to be sent on or answered", func() bool { return int(u.runs.Load()-before)+len(answers) == crowd })
	if len(answers) == 0 {
		t.Errorf("all of %d at once were sent to one upstream that answers none", crowd)
	}
	for range len(answers) {
		if status := <-answers; status != http.StatusServiceUnavailable {
			t.Errorf("answered %d at once, want a refusal", status)
		}
	}
	hold.Store(nil)
	close(release)
	waitFor(t, "the heap to be gone", func() bool {
		return s.Load().Requests == 0
	})
	if status, _ := s.dial(t).ask(t, get("after")); status != 200 {
		t.Errorf("answered %d once the heap was gone", status)
	}
}

// TestSwallowedRequests guards against upstreams that never answer some requests while they answer others: second copies
// go on for as long as they answer first, and the upstreams stay in use.
func TestSwallowedRequests(t *testing.T) {
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
	for i := range 70 { // these pay for the first copies
		c.ask(t, get("before"+strconv.Itoa(i)))
	}
	answered := 0
	const rounds = 20
	for i := range rounds {
		for _, name := range []string{"calm", "calm-too", "swallowed"} {
			id := name + strconv.Itoa(i)
			status, body := c.ask(t, strings.Replace(get(id), "10000", "1500", 1))
			if name == "swallowed" && status == 200 && body == id {
				answered++
			}
		}
	}
	if answered < rounds/2 {
		t.Errorf("%d of %d requests that the first upstream swallowed were answered", answered, rounds)
	}
}

// TestClientLeftBeforeItWasRead guards against sending what a client asked that had left before its request was read: it waited for a
// descriptor, and its end stands right behind it.
func TestClientLeftBeforeItWasRead(t *testing.T) {
	release := make(chan struct{})
	u := startUpstream(t, func(q *http.Request, b []byte) string {
		<-release
		return echo(q, b)
	})
	const sockets = 64
	s := start(t, config(t, "127.0.0.1:1", sockets, listOf(t, u)))
	var busy []*client
	for i := range int(process.MaxClientDescriptors(sockets)) { // as many as clients may hold
		var c *client
		waitFor(t, "a request to be taken", func() bool {
			if c == nil { // also where one that had just come was closed to make room before it was read: it comes again
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
		c.SetReadDeadline(time.Now().Add(patience))
		busy = append(busy, c)
	}
	for i := range 3 {
		c := s.dial(t)
		send(c, get("left"+strconv.Itoa(i)))
		c.Close()
	}
	close(release)
	for _, c := range busy {
		c.ask(t, "")
		c.Close()
	}
	if status, _ := s.dial(t).ask(t, get("after")); status != 200 { // it came behind them
		t.Errorf("answered %d", status)
	}
	for len(u.seen) > 0 {
		if id := <-u.seen; strings.HasPrefix(id, "left") {
			t.Errorf("%s was sent", id)
		}
	}
}
