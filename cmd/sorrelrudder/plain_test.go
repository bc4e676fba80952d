package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sorrelrudder/internal/config"
)

// testTimeout bounds the wait for an expected event.
const testTimeout = 20 * time.Second

// startPlain starts a gateway with one pool of ordinary HTTP servers, and returns its listener's address. more is added to the file.
func startPlain(t *testing.T, more string, servers ...string) string {
	t.Helper()
	return startFile(t, "[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\n[pools.shop]\nprotocol = \"http\"\n", more, servers...)
}

// startFile is startPlain with another beginning of the file.
func startFile(t *testing.T, begin, more string, servers ...string) string {
	t.Helper()
	return startStoppable(t, nil, begin, more, servers...)
}

// startStoppable is startFile for a gateway that drains once stop is closed.
func startStoppable(t *testing.T, stop <-chan struct{}, begin, more string, servers ...string) string {
	t.Helper()
	for i, s := range servers {
		begin += fmt.Sprintf("[[pools.shop.servers]]\nname = \"s%d\"\naddress = %q\n", i, s)
	}
	f, err := config.Parse("test.toml", []byte(begin+more))
	if err != nil {
		t.Fatal(err)
	}
	g, err := startGateway(f, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := g.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	go func() {
		select {
		case <-stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return g.ListenerAddr("farm").String()
}

// echoService responds with the status that the path names, and keeps the fields and the body of the last request.
type echoService struct {
	mu   sync.Mutex
	seen http.Header
	body string
}

func (s *echoService) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, _ := io.ReadAll(q.Body)
	s.mu.Lock()
	s.seen, s.body = q.Header.Clone(), string(body)
	s.mu.Unlock()
	status := 200
	if n, err := strconv.Atoi(strings.TrimPrefix(q.URL.Path, "/status/")); err == nil {
		status = n
	}
	w.Header().Set("X-Answer", q.Method+" "+q.URL.RequestURI())
	w.Header().Add("Set-Cookie", "a=1")
	w.Header().Add("Set-Cookie", "b=2")
	w.Header().Set("Etag", `"7"`)
	if status == 301 {
		w.Header().Set("Location", "/elsewhere")
	}
	w.WriteHeader(status)
	if status != 204 && status != 304 {
		fmt.Fprintf(w, "%s %d bytes", q.Method, len(body))
	}
}

// TestPlainAsStraight guards against requests and responses that change on their way through the program: except for the changes that RFC 9110
// asks of an intermediary, they must equal those of a direct exchange.
func TestPlainAsStraight(t *testing.T) {
	service := &echoService{}
	server := httptest.NewServer(service)
	defer server.Close()
	gatewayAddr := startPlain(t, "", server.Listener.Addr().String())
	client := &http.Client{
		Transport: &http.Transport{DisableCompression: true}, Timeout: testTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	defer client.CloseIdleConnections()
	type seen struct {
		status       int
		head         http.Header
		body         string
		length       int64
		serverHeader http.Header
		serverBody   string
	}
	sendRequest := func(addr, method, path, body string) seen {
		t.Helper()
		q, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		q.Host = "shop.example.org"
		q.Header.Set("X-Own", "1")
		q.Header.Set("Connection", "X-Hop")
		q.Header.Set("X-Hop", "1")
		resp, err := client.Do(q)
		if err != nil {
			t.Fatalf("%s %s: %v", method, path, err)
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatalf("%s %s: %v", method, path, err)
		}
		service.mu.Lock()
		defer service.mu.Unlock()
		resp.Header.Del("Date")
		resp.Header.Del("Connection")
		return seen{resp.StatusCode, resp.Header, string(text), resp.ContentLength, service.seen, service.body}
	}
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "PROPFIND"} {
		for _, path := range []string{"/a/b?c=d&e=%2f", "/status/201", "/status/204", "/status/301", "/status/304", "/status/404", "/status/500", "/x%2Fy/../z"} {
			body := ""
			if method == "POST" || method == "PUT" || method == "PATCH" {
				body = strings.Repeat("b", 1000)
			}
			direct, passed := sendRequest(server.Listener.Addr().String(), method, path, body), sendRequest(gatewayAddr, method, path, body)
			if passed.head.Get("Via") != "1.1 sorrelrudder" {
				t.Errorf("%s %s: the response's Via is %q", method, path, passed.head.Get("Via"))
			}
			passed.head.Del("Via")
			if direct.status != passed.status || direct.body != passed.body || direct.length != passed.length || !reflect.DeepEqual(direct.head, passed.head) {
				t.Errorf("%s %s:\n%d %q %d %v\nthrough the program:\n%d %q %d %v", method, path, direct.status, direct.body, direct.length, direct.head,
					passed.status, passed.body, passed.length, passed.head)
			}
			for _, added := range []string{"Via", "X-Request-Id", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "Forwarded"} {
				if passed.serverHeader.Get(added) == "" {
					t.Errorf("%s %s: the server received no %s", method, path, added)
				}
				passed.serverHeader.Del(added)
			}
			maps.DeleteFunc(direct.serverHeader, func(name string, _ []string) bool { return name == "Connection" || name == "X-Hop" })
			if direct.serverBody != passed.serverBody || !reflect.DeepEqual(direct.serverHeader, passed.serverHeader) {
				t.Errorf("%s %s: the server received\n%v\nthrough the program\n%v", method, path, direct.serverHeader, passed.serverHeader)
			}
		}
	}
}

// rawServer starts a server that handles each request with f, which is given the request's number from 1. It counts the requests received.
func rawServer(t *testing.T, f func(n int64, c net.Conn, q *http.Request)) (addr string, received *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received = new(atomic.Int64)
	var open sync.WaitGroup
	open.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.SetDeadline(time.Now().Add(testTimeout))
			open.Go(func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					io.Copy(io.Discard, q.Body)
					n := received.Add(1)
					f(n, c, q)
				}
			})
		}
	})
	t.Cleanup(func() {
		ln.Close()
		open.Wait()
	})
	return ln.Addr().String(), received
}

// respond writes a response.
func respond(c net.Conn, status int, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// sendRequest sends a request on a new connection and returns the status and the body of the response. err tells that the response is
// missing or incomplete.
func sendRequest(t *testing.T, addr, method, path, more, body string) (status int, text string, err error) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: shop.example.org\r\n%sContent-Length: %d\r\n\r\n%s", method, path, more, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return 0, "", err
	}
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// TestPlainLostAnswers guards against a second effect when the response to a request is lost, whatever the method promises: a server that
// closes the connection when a request arrives may have executed it.
func TestPlainLostAnswers(t *testing.T) {
	for _, method := range []string{"POST", "PUT", "PATCH", "DELETE"} {
		addr, received := rawServer(t, func(n int64, c net.Conn, _ *http.Request) {
			if n == 1 {
				respond(c, 200, "warm")
				return
			}
			c.Close()
		})
		gatewayAddr := startPlain(t, "", addr, addr)
		if status, _, err := sendRequest(t, gatewayAddr, "GET", "/", "", ""); status != 200 {
			t.Fatalf("%d, %v", status, err)
		}
		status, _, err := sendRequest(t, gatewayAddr, method, "/orders", "", "x")
		if status != 502 || received.Load() != 2 {
			t.Errorf("%s: %d, %v; the server received it %d times", method, status, err, received.Load()-1)
		}
	}
	addr, _ := rawServer(t, func(n int64, c net.Conn, _ *http.Request) {
		if n == 1 {
			c.Close()
			return
		}
		respond(c, 200, "again")
	})
	if status, body, err := sendRequest(t, startPlain(t, "", addr, addr), "GET", "/", "", ""); status != 200 || body != "again" {
		t.Errorf("a read is not retried: %d %q, %v", status, body, err)
	}
}

// TestPlainKeys guards against a keyed request that is retried although it has no key, and against one that is not retried although it has a
// key.
func TestPlainKeys(t *testing.T) {
	const classes = "[[pools.shop.classes]]\nname = \"order\"\nmatch = [\"POST /orders\"]\neffect = \"keyed\"\ndeadline = \"10s\"\naim = \"10s\"\n"
	for more, want := range map[string]int{"Idempotency-Key: k\r\n": 200, "": 502} {
		addr, received := rawServer(t, func(n int64, c net.Conn, _ *http.Request) {
			if n == 1 {
				c.Close()
				return
			}
			respond(c, 200, "done")
		})
		status, _, err := sendRequest(t, startPlain(t, classes, addr, addr), "POST", "/orders", more, "x")
		if status != want || (want == 502) != (received.Load() == 1) {
			t.Errorf("%q: %d, %v; the server received it %d times", more, status, err, received.Load())
		}
	}
}

// TestPlainRefusals guards against a server's 503 that is passed on for an unsafe request although it does not prove that the request was not
// executed: clients would take it as a promise that a retry is harmless.
func TestPlainRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		method, more string
		status       int
		body         string
	}{
		"read":           {"GET", "", 503, "busy"},
		"unsafe":         {"POST", "", 502, ""},
		"unsafe, proven": {"POST", "[pools.shop.http]\nnot_run = [503]\n", 503, "busy"},
	} {
		addr, received := rawServer(t, func(_ int64, c net.Conn, _ *http.Request) { respond(c, 503, "busy") })
		status, body, err := sendRequest(t, startPlain(t, c.more, addr, addr), c.method, "/orders", "", "")
		if status != c.status || body != c.body {
			t.Errorf("%s: %d %q, %v, want %d %q", name, status, body, err, c.status, c.body)
		}
		if n := received.Load(); (n > 1) != (name != "unsafe") {
			t.Errorf("%s: the server received it %d times", name, n)
		}
	}
}

// TestPlainEarlyAnswer guards against a lost response of a server that rejects a long request body before its end.
func TestPlainEarlyAnswer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		http.Error(w, "no more than so much", http.StatusRequestEntityTooLarge)
	}))
	defer server.Close()
	gatewayAddr := startPlain(t, "", server.Listener.Addr().String())
	c, err := net.Dial("tcp", gatewayAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	go func() {
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30000000\r\n\r\n")
		for piece := make([]byte, 50_000); ; time.Sleep(time.Millisecond) {
			if _, err := c.Write(piece); err != nil {
				return
			}
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Fatalf("%v, %+v", err, resp)
	}
	if body, _ := io.ReadAll(resp.Body); string(body) != "no more than so much\n" {
		t.Errorf("%q", body)
	}
}

// TestPlainBreaksOff guards against a response that looks complete although its server closed the connection after the header had gone to the
// client.
func TestPlainBreaksOff(t *testing.T) {
	addr, _ := rawServer(t, func(_ int64, c net.Conn, _ *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n%s", strings.Repeat("x", 100_000))
		c.Close()
	})
	status, body, err := sendRequest(t, startPlain(t, "", addr), "GET", "/", "", "")
	if status != 200 || err == nil || len(body) == 0 {
		t.Errorf("%d, %d bytes, %v", status, len(body), err)
	}
}

// TestPlainSmuggling guards against request smuggling: input that a server behind the program could read as another request.
func TestPlainSmuggling(t *testing.T) {
	addr, received := rawServer(t, func(_ int64, c net.Conn, q *http.Request) { respond(c, 200, q.RequestURI+" of "+q.Host) })
	gatewayAddr := startPlain(t, "", addr)
	const host = "Host: h\r\n"
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"two lengths":         {"POST / HTTP/1.1\r\n" + host + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"length and encoding": {"POST / HTTP/1.1\r\n" + host + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"unknown encoding":    {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
		"folded":              {"GET / HTTP/1.1\r\n" + host + "X-A: b\r\n c\r\n\r\n", 400},
		"space before colon":  {"GET / HTTP/1.1\r\n" + host + "X-A : b\r\n\r\n", 400},
		"two hosts":           {"GET / HTTP/1.1\r\n" + host + host + "\r\n", 400},
		"no host":             {"GET / HTTP/1.1\r\n\r\n", 400},
		"bare CR":             {"GET / HTTP/1.1\r\n" + host + "X-A: b\rX-B: c\r\n\r\n", 400},
		"NUL":                 {"GET / HTTP/1.1\r\n" + host + "X-A: b\x00\r\n\r\n", 400},
		"chunk of 1 MB name":  {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n1;x=" + strings.Repeat("y", 1<<20) + "\r\na\r\n0\r\n\r\n", 400},
		"HTTP/2 on 1.1":       {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400},
	} {
		before := received.Load()
		conn, err := net.Dial("tcp", gatewayAddr)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(testTimeout))
		go io.WriteString(conn, c.text)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode/100 != 4 && resp.StatusCode != http.StatusHTTPVersionNotSupported {
			t.Errorf("%s: %v, %+v", name, err, resp)
		}
		conn.Close()
		if n := received.Load(); n != before {
			t.Errorf("%s: the request reached the server", name)
		}
	}
	conn, err := net.Dial("tcp", gatewayAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, "GET http://shop.example.org/a?b HTTP/1.1\r\nHost: other\r\n\r\n") // the host of the target has precedence
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, _ := io.ReadAll(resp.Body); string(body) != "/a?b of shop.example.org" {
		t.Errorf("an absolute target: %d %q", resp.StatusCode, body)
	}
}

// TestRouteCommand guards against a class or effect that the route command reports wrongly.
func TestRouteCommand(t *testing.T) {
	file := t.TempDir() + "/f.toml"
	text := `[[listeners]]
name = "farm"
address = "127.0.0.1:0"
[pools.shop]
protocol = "http"
[[pools.shop.servers]]
name = "s"
address = "127.0.0.1:1"
[[pools.shop.classes]]
name = "item"
match = ["GET /items/{id}"]
[[pools.shop.classes]]
name = "order"
match = ["POST /orders"]
effect = "keyed"
`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for want, args := range map[string][]string{
		"class     item\neffect    safe":                  {"GET", "http://h/items/7?x"},
		"class     order\neffect    keyed":                {"POST", "http://h/orders", "-H", "Idempotency-Key: k"},
		"class     order without a key\neffect    unsafe": {"POST", "http://h/orders"},
		"class     other\neffect    unsafe":               {"PUT", "http://h/items/7"},
	} {
		code, out, errs := runCLI(append([]string{"route", file}, args...)...)
		if code != 0 || !strings.Contains(out, want) {
			t.Errorf("%v: exit %d, %s%s, want %q", args, code, out, errs, want)
		}
	}
	if code, _, errs := runCLI("route", file, "GET", "nowhere"); code == 0 {
		t.Errorf("an invalid URL: exit %d, %s", code, errs)
	}
}
