package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"sorrelrudder/internal/fake"
)

// floodTimeout is how long the clients of most plays wait for their answers.
const floodTimeout = 150 * time.Millisecond

// floodRequests returns the requests of a flood by their kind. Each function gets the serial number of the request.
func floodRequests() map[string]func(n int) string {
	short := func(n int) string { return requestHead("check", fmt.Sprint("flood", n), floodTimeout) + "\r\n" }
	return map[string]func(n int) string{
		"sound":         short,
		"health checks": func(int) string { return "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n" },
		"readiness":     func(int) string { return "GET /_ready HTTP/1.1\r\nHost: h\r\n\r\n" },
		"same id":       func(int) string { return short(0) },
		"long ids":      func(n int) string { return strings.Replace(short(n), "flood", strings.Repeat("i", 110), 1) },
		"unknown class": func(n int) string { return strings.Replace(short(n), "/check", fmt.Sprint("/class", n), 1) },
		"ever new host": func(n int) string { return strings.Replace(short(n), "Host: h", fmt.Sprint("Host: h", n), 1) },
		"ever new names": func(n int) string {
			return strings.Replace(short(n), "Host: h", fmt.Sprintf("Host: h\r\nX-%d: 1\r\nX-Tenant-Id: t%d", n, n), 1)
		},
		"no head":     func(int) string { return "x\r\n\r\n" },
		"empty lines": func(int) string { return "\r\n" },
		"large bodies": func(n int) string {
			return requestHead("book", fmt.Sprint("flood", n), floodTimeout) + "Content-Length: 60000\r\n\r\n" + strings.Repeat("b", 60_000)
		},
		"tiny chunks": func(n int) string {
			return requestHead("book", fmt.Sprint("flood", n), floodTimeout) + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 10_000) + "0\r\n\r\n"
		},
	}
}

// floodPlay is a flood beside clients that must not notice it.
type floodPlay struct {
	floods  int                                                                // connections, or clients one connection after the other
	flood   func(until context.Context, addresses sidecarAddresses, index int) // floods until its end
	timeout time.Duration                                                      // of the clients' requests
	serve   func(c net.Conn, q *http.Request) bool                             // as in startFaultServer
}

// sidecarAddresses are the addresses of a sidecar.
type sidecarAddresses struct{ clients, admin string }

// run plays the flood. Each client must have each answer within its timeout, and the process must stay within its memory.
func (p floodPlay) run(t *testing.T, program string) {
	t.Helper()
	const memoryMB, sockets, clients = 64, 256, 10
	const playTime = 2 * time.Second
	process := startProgram(t, program, writeFaultConfig(t, memoryMB, sockets, startFaultServer(t, p.serve)), sockets, []string{"GW_ADMIN=127.0.0.1:0"})
	addresses := sidecarAddresses{clients: process.ready(t), admin: wait(t, "the admin server to be ready", process.admin)}
	startupRequest(t, addresses.clients)
	end := time.Now().Add(playTime)
	until, stop := context.WithDeadline(t.Context(), end)
	defer stop()
	var all sync.WaitGroup
	for i := range p.floods {
		all.Go(func() { p.flood(until, addresses, i) })
	}
	client := fake.RegularClient{Addr: addresses.clients, Patience: p.timeout + answerSlack}
	results := make([]fake.RegularResults, clients)
	for i := range clients {
		all.Go(func() {
			results[i] = client.Run(until, func(n int) string { return requestHead("check", fmt.Sprint("client", i, "-", n), p.timeout) + "\r\n" })
		})
	}
	all.Wait()
	total := fake.MergeRegularResults(results...)
	peak := process.peakMemoryMB(t)
	t.Logf("%v; %d MB at the most", total, peak)
	if total.Unanswered > 0 {
		t.Errorf("%d requests were not answered", total.Unanswered)
	}
	if last := total.Last(); last > p.timeout {
		t.Errorf("an answer took %v, want at most %v", last, p.timeout)
	}
	if peak > memoryMB {
		t.Errorf("%d MB resident at the most, want at most %d", peak, memoryMB)
	}
}

// TestFloodOnOneConnection guards against one client that sends small or unsound requests at full speed: other clients must be answered in
// time, and memory must not grow.
func TestFloodOnOneConnection(t *testing.T) {
	testFloods(t, 1)
}

// TestFloodsOnSeveralConnections guards against several such clients, one of which always has a request ready.
func TestFloodsOnSeveralConnections(t *testing.T) {
	testFloods(t, 6)
}

// testFloods plays all kinds of floods, each on a number of kept connections.
func testFloods(t *testing.T, connections int) {
	program := buildProgram(t)
	for name, request := range floodRequests() {
		t.Run(name, func(t *testing.T) {
			flood := func(until context.Context, addresses sidecarAddresses, index int) {
				fake.Flood(until, addresses.clients, func(n int) string { return request(n*connections + index) })
			}
			floodPlay{floods: connections, flood: flood, timeout: floodTimeout, serve: answerOK}.run(t, program)
		})
	}
}

// TestBurstsOfClientsThatLeave guards against clients that connect, send many requests at once and leave at once: the connections of other
// clients must not wait behind theirs.
func TestBurstsOfClientsThatLeave(t *testing.T) {
	const floods, requestsAtOnce = 6, 200
	program := buildProgram(t)
	for _, kind := range []string{"health checks", "sound", "unknown class", "no head"} {
		request := floodRequests()[kind]
		t.Run(kind, func(t *testing.T) {
			flood := func(until context.Context, addresses sidecarAddresses, index int) {
				fake.FloodBursts(until, addresses.clients, func(n int) string { return request(n*floods + index) }, requestsAtOnce)
			}
			floodPlay{floods: floods, flood: flood, timeout: 500 * time.Millisecond, serve: answerOK}.run(t, program)
		})
	}
}

// TestFloodOfAdminServer guards against callers of the admin server that keep the process from its clients, on connections of one call each.
func TestFloodOfAdminServer(t *testing.T) {
	const floods, requestsAtOnce = 6, 200
	const call = "GET /_ready HTTP/1.1\r\nHost: h\r\n\r\n"
	flood := func(until context.Context, addresses sidecarAddresses, _ int) {
		fake.FloodBursts(until, addresses.admin, func(int) string { return call }, requestsAtOnce)
	}
	floodPlay{floods: floods, flood: flood, timeout: floodTimeout, serve: answerOK}.run(t, buildProgram(t))
}

// TestLongBodiesAtFullSpeed guards against long bodies between fast peers that keep the process from its other clients.
func TestLongBodiesAtFullSpeed(t *testing.T) {
	program := buildProgram(t)
	long := testBody(8 << 20)
	const longTimeout = 3 * time.Second
	for name, play := range map[string]struct {
		transfers int // more requests than this keep a test binary with a race detector busy itself
		request   func(id string) string
	}{
		"responses": {16, func(id string) string { return requestHead("check", "long-"+id, longTimeout) + "\r\n" }},
		"requests": {6, func(id string) string {
			return requestHead("book", id, longTimeout) + byLength.field(len(long)) + "\r\n" + string(long)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			serve := func(c net.Conn, q *http.Request) bool {
				if !strings.HasPrefix(q.Header.Get("X-Request-Id"), "long") {
					return answerOK(c, q)
				}
				send(c, "HTTP/1.1 200 OK\r\n"+byLength.field(len(long))+"\r\n")
				_, err := c.Write(long)
				return err == nil
			}
			flood := func(until context.Context, addresses sidecarAddresses, index int) {
				for n := 0; until.Err() == nil; n++ {
					transferOnce(until, addresses.clients, play.request(fmt.Sprintf("%d-%d", index, n)))
				}
			}
			floodPlay{floods: play.transfers, flood: flood, timeout: floodTimeout, serve: serve}.run(t, program)
		})
	}
}

// transferOnce sends a request and reads its response, until the end of a context at the latest.
func transferOnce(until context.Context, addr, request string) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer c.Close()
	defer context.AfterFunc(until, func() { c.Close() })()
	send(c, request)
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}
