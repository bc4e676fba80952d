package pool

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/process"
	"sorrelrudder/internal/quota"
	"sorrelrudder/internal/settings"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

// attemptScenario is a pool before two servers whose connections come up when the test says so.
type attemptScenario struct {
	*Pool
	src   scriptedSource
	dials chan pendingDial
	sent  chan string // the addresses to which requests have come
	hosts [2]discovery.Endpoint
}

// pendingDial is a connection that waits for the test to let it come up.
type pendingDial struct {
	addr string
	up   chan struct{}
}

// startAttemptScenario starts one. With no answer a server resets the connection once it has a request.
func startAttemptScenario(t *testing.T, class policy.Class, answer string) *attemptScenario {
	t.Helper()
	x := &attemptScenario{
		src:   scriptedSource{make(chan *discovery.EndpointList), make(chan struct{}, 1)},
		dials: make(chan pendingDial, 16), sent: make(chan string, 16),
	}
	for i := range x.hosts {
		x.hosts[i] = discovery.Endpoint{ID: string(rune('a' + i)), Address: serveOnce(t, answer, x.sent), Health: "active"}
	}
	cfg := policy.Config{
		InstanceCount: 1, MaxAttempts: 2, PollInterval: 8 * time.Millisecond, TimerResolution: time.Millisecond, DialTimeout: time.Millisecond,
		Classes: []policy.Class{class},
	}
	descriptors := process.NewDescriptors(64)
	descriptors.Register(1, quota.Claim{Limit: quota.Unlimited}, func() bool { return false })
	up := upstream.New(cfg, descriptors.Pool(1))
	up.SetDialer(func(_ context.Context, addr string) (net.Conn, error) { // it comes up however late that is
		h := pendingDial{addr, make(chan struct{})}
		x.dials <- h
		<-h.up
		return net.Dial("tcp", addr)
	})
	var err error
	x.Pool, err = New(Config{Settings: settings.Settings{Config: cfg}, Source: x.src, CachedList: x.list(1)}, up, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.Close)
	return x
}

// list is that of both servers as they stand.
func (x *attemptScenario) list(seq int64) *discovery.EndpointList {
	return &discovery.EndpointList{Version: &seq, Complete: true, Endpoints: []discovery.Endpoint{x.hosts[0], x.hosts[1]}}
}

// change has the list tell of another state of the server at addr.
func (x *attemptScenario) change(addr string, change func(*discovery.Endpoint)) {
	for i := range x.hosts {
		if x.hosts[i].Address == addr {
			change(&x.hosts[i])
		}
	}
	x.src.calls <- x.list(2)
	<-x.src.took
}

func (x *attemptScenario) take(t *testing.T, q policy.Request, timeout time.Duration, left func() bool) *Exchange {
	t.Helper()
	e, err := x.Submit(&httpmsg.Request{Method: "POST", URI: "/c", Host: "h", Header: http.Header{"X-Request-Id": {"r"}}, ClientGone: left},
		ParsedRequest{policyRequest: q, timeout: timeout, requestID: "r"}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// serveOnce listens for requests and answers each.
func serveOnce(t *testing.T, answer string, sent chan<- string) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = ln.Addr().String()
	var all sync.WaitGroup
	all.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			all.Go(func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					sent <- addr
					if answer == "" {
						c.(*net.TCPConn).SetLinger(0)
						return
					}
					if _, err := io.WriteString(c, answer); err != nil {
						return
					}
				}
			})
		}
	})
	t.Cleanup(func() {
		ln.Close()
		all.Wait()
	})
	return addr
}

func wait[T any](t *testing.T, what string, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(20 * time.Second):
		t.Fatalf("waited in vain for %s", what)
	}
	return v
}

const fine = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

var safeClass = policy.Class{Name: "c", PriorityWeight: 1, LatencyObjective: time.Minute, Deadline: time.Minute}

// TestEndpointChangedWhileConnecting guards against a request that is sent to a server which the list has said to drain, or to have gone, or
// to be another process by now, while the connection to it came up: another server gets it.
func TestEndpointChangedWhileConnecting(t *testing.T) {
	for name, change := range map[string]func(*discovery.Endpoint){
		"drains":    func(e *discovery.Endpoint) { e.Health = "leaving" },
		"restarted": func(e *discovery.Endpoint) { e.StartedMs = time.Now().UnixMilli() },
	} {
		t.Run(name, func(t *testing.T) {
			x := startAttemptScenario(t, safeClass, fine)
			e := x.take(t, policy.Request{Class: "c"}, time.Minute, nil)
			first := wait(t, "the first attempt", x.dials)
			x.change(first.addr, change)
			close(first.up)
			second := wait(t, "another attempt", x.dials)
			close(second.up)
			if a := wait(t, "the answer", e.Response()); a.Status != http.StatusOK {
				t.Errorf("answered %d", a.Status)
			}
			if to := wait(t, "the request", x.sent); to != second.addr || len(x.sent) > 0 {
				t.Errorf("sent to %s first, %d times more; want to %s alone", to, len(x.sent), second.addr)
			}
		})
	}
}

// TestClientGoneWhileConnecting guards against an attempt, first or further, that begins after its client has left.
func TestClientGoneWhileConnecting(t *testing.T) {
	for name, attempt := range map[string]int{"first": 1, "further": 2} {
		t.Run(name, func(t *testing.T) {
			x := startAttemptScenario(t, safeClass, "")
			var left atomic.Bool
			e := x.take(t, policy.Request{Class: "c"}, time.Minute, left.Load)
			for i := range attempt {
				d := wait(t, "an attempt", x.dials)
				if i+1 == attempt {
					left.Store(true)
				}
				close(d.up)
				if i+1 < attempt {
					wait(t, "the request", x.sent)
				}
			}
			wait(t, "the answer", e.Response())
			x.awaitEmpty(t)
			if len(x.sent)+len(x.dials) > 0 {
				t.Errorf("%d attempts more were sent, %d begun", len(x.sent), len(x.dials))
			}
		})
	}
}

// TestDedupWindowExpiredWhileConnecting guards against the repeat of a keyed request that is written after servers have forgotten its key,
// since its connection came up late.
func TestDedupWindowExpiredWhileConnecting(t *testing.T) {
	const window = 150 * time.Millisecond
	x := startAttemptScenario(t, policy.Class{Name: "c", Idempotency: policy.IdempotentByKey, DedupWindow: window, PriorityWeight: 1, LatencyObjective: time.Minute, Deadline: time.Minute}, "")
	e := x.take(t, policy.Request{Class: "c"}, time.Minute, nil)
	close(wait(t, "the first attempt", x.dials).up)
	wait(t, "the request", x.sent) // it may have run: the connection is reset
	second := wait(t, "its repeat", x.dials)
	time.Sleep(window) // more makes no difference
	close(second.up)
	if a := wait(t, "the answer", e.Response()); a.Status == http.StatusOK {
		t.Errorf("answered %d", a.Status)
	}
	x.awaitEmpty(t)
	if len(x.sent) > 0 {
		t.Error("the repeat was sent")
	}
}

// TestDeadlinePassedWhileConnecting guards against a request that is written after its time: what it does then is of use to nobody.
func TestDeadlinePassedWhileConnecting(t *testing.T) {
	const patience = 100 * time.Millisecond
	x := startAttemptScenario(t, safeClass, fine)
	e := x.take(t, policy.Request{Class: "c"}, patience, nil)
	first := wait(t, "the first attempt", x.dials)
	wait(t, "the answer", e.Response())
	close(first.up)
	x.awaitEmpty(t)
	if len(x.sent) > 0 {
		t.Error("it was sent")
	}
}

// awaitEmpty returns once all requests have ended and their attempts are back.
func (x *attemptScenario) awaitEmpty(t *testing.T) {
	t.Helper()
	x.awaitRequests(t, 0)
}

// awaitRequests returns once so many of them are left at most.
func (x *attemptScenario) awaitRequests(t *testing.T, most int) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		n, _, _ := x.Counts()
		if n <= most {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d requests are kept", n)
		}
	}
}
