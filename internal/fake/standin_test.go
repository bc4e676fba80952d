package fake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const testTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// TestEffectRecorder guards against a ledger that sees no rule broken: each is broken once here, and kept once.
func TestEffectRecorder(t *testing.T) {
	ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
	answered := func(l *EffectRecorder, id string, status int) { l.RecordResponse(id, status, true) }
	for name, c := range map[string]struct {
		play func(l *EffectRecorder)
		want string // a part of what is broken, "" if nothing is
	}{
		"all kept": {func(l *EffectRecorder) {
			for i, e := range []Idempotency{Idempotent, IdempotentByKey, NonIdempotent} {
				id := strconv.Itoa(i)
				l.RecordSent(l.BeginOperation(e), id, time.Second)
				l.RecordArrival("box", id)
				l.RecordEffect(id)
				answered(l, id, 200)
			}
		}, ""},
		"never answered": {func(l *EffectRecorder) { l.RecordSent(l.BeginOperation(Idempotent), "a", time.Second) }, "never answered"},
		"the client left": {func(l *EffectRecorder) {
			l.RecordSent(l.BeginOperation(Idempotent), "a", time.Second)
			l.RecordClientGone("a")
		}, ""},
		"answered late": {func(l *EffectRecorder) {
			l.RecordSent(l.BeginOperation(Idempotent), "a", time.Second)
			l.attempts["a"].sent = ago(3 * time.Second)
			answered(l, "a", 502)
		}, "after its time"},
		"two answers": {func(l *EffectRecorder) {
			l.RecordSent(l.BeginOperation(Idempotent), "a", time.Second)
			answered(l, "a", 200)
			answered(l, "a", 200)
		}, "a second answer"},
		"another's answer": {func(l *EffectRecorder) {
			l.RecordSent(l.BeginOperation(Idempotent), "a", time.Second)
			l.RecordResponse("a", 200, false)
		}, "no box made for it"},
		"sent after the answer": {func(l *EffectRecorder) {
			l.RecordSent(l.BeginOperation(Idempotent), "a", time.Second)
			answered(l, "a", 502)
			l.attempts["a"].answered = ago(time.Second)
			l.RecordArrival("box", "a")
		}, "after its answer"},
		"an invented request": {func(l *EffectRecorder) { l.RecordArrival("box", "a") }, "no client sent"},
		"unsafe, twice by one try": {func(l *EffectRecorder) {
			l.RecordSent(l.BeginOperation(NonIdempotent), "a", time.Second)
			l.RecordEffect("a")
			l.RecordEffect("a")
			answered(l, "a", 200)
		}, "2 effects"},
		"keyed, twice over two tries": {func(l *EffectRecorder) {
			o := l.BeginOperation(IdempotentByKey)
			for _, id := range []string{"a", "b"} {
				l.RecordSent(o, id, time.Second)
				l.RecordEffect(id)
				answered(l, id, 200)
			}
		}, "2 effects"},
		"unsafe, run and refused": {func(l *EffectRecorder) {
			l.RecordSent(l.BeginOperation(NonIdempotent), "a", time.Second)
			l.RecordEffect("a")
			answered(l, "a", 503)
		}, "was refused"},
		"after the grace": {func(l *EffectRecorder) {
			l.RecordDraining("box", true)
			l.backends["box"].drainingSince = ago(3 * time.Second)
			l.RecordSent(l.BeginOperation(Idempotent), "a", time.Second)
			l.RecordArrival("box", "a")
			answered(l, "a", 200)
		}, "told to leave"},
		"within the grace": {func(l *EffectRecorder) {
			l.RecordDraining("box", true)
			l.RecordSent(l.BeginOperation(Idempotent), "a", time.Second)
			l.RecordArrival("box", "a")
			answered(l, "a", 200)
		}, ""},
		"back again": {func(l *EffectRecorder) {
			l.RecordDraining("box", true)
			l.backends["box"].drainingSince = ago(3 * time.Second)
			l.RecordDraining("box", false)
			l.RecordSent(l.BeginOperation(Idempotent), "a", time.Second)
			l.RecordArrival("box", "a")
			answered(l, "a", 200)
		}, ""},
		"a cold box": {func(l *EffectRecorder) {
			l.RecordSlowStart("box", time.Second, func(_, w time.Duration) float64 { return 10 * w.Seconds() })
			for i := range 12 {
				id := strconv.Itoa(i)
				l.RecordSent(l.BeginOperation(Idempotent), id, time.Second)
				l.RecordArrival("box", id)
				answered(l, id, 200)
			}
		}, "12 requests in 1s"},
	} {
		l := NewEffectRecorder()
		c.play(l)
		broken := strings.Join(l.Check(DefaultTolerance).Violations, "; ")
		if (broken == "") != (c.want == "") || !strings.Contains(broken, c.want) {
			t.Errorf("%s: broken is %q, want %q", name, broken, c.want)
		}
	}
}

func startTestBackend(t *testing.T, cfg BackendConfig) *Backend {
	t.Helper()
	if cfg.QueueLimit == 0 {
		cfg.QueueLimit = 10
	}
	b, err := StartBackend(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

// sendRequest sends a request to addr on a connection of its own. Status 0 means that no answer could be read.
func sendRequest(t *testing.T, addr, class, id, key string) (status int, header http.Header, body string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, nil, ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	more := ""
	if key != "" {
		more = "Idempotency-Key: " + key + "\r\n"
	}
	fmt.Fprintf(c, "GET /%s HTTP/1.1\r\nHost: h\r\nX-Request-ID: %s\r\n%s\r\n", class, id, more)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, ""
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, ""
	}
	return resp.StatusCode, resp.Header, string(b)
}

func TestBackendFaults(t *testing.T) {
	l := NewEffectRecorder()
	b := startTestBackend(t, BackendConfig{Name: "box", Idempotency: map[string]Idempotency{"book": NonIdempotent}, Recorder: l})
	for i, c := range []struct {
		fault   string
		status  int
		effects int
	}{
		{"errors", 500, 0}, {"turns away", 503, 0}, {"resets", 0, 1}, {"spoils", 0, 1}, {"slow 1 20ms", 200, 1}, {"errors 0", 200, 1},
	} {
		f, err := ParseFault(c.fault)
		if err != nil {
			t.Fatal(err)
		}
		b.SetFault(f)
		id := fmt.Sprint("f", i)
		l.RecordSent(l.BeginOperation(NonIdempotent), id, testTimeout)
		status, header, body := sendRequest(t, b.Addr(), "book", id, "")
		l.mu.Lock()
		effects := l.attempts[id].effects
		l.mu.Unlock()
		if status != c.status || effects != c.effects {
			t.Errorf("%s: %d and %d effects, want %d and %d", c.fault, status, effects, c.status, c.effects)
		}
		if turned := header.Get("X-Not-Processed") == "1"; turned != (c.status == 503) {
			t.Errorf("%s: X-Not-Processed is %v", c.fault, turned)
		}
		if status == 200 && (body != ResponseBody("book", id, "") || header.Get("X-Server-Load") == "") {
			t.Errorf("%s: %q, load %q", c.fault, body, header.Get("X-Server-Load"))
		}
	}
	b.SetFault(Fault{Kind: FaultUnanswered, Fraction: 1})
	l.RecordSent(l.BeginOperation(NonIdempotent), "silent", testTimeout)
	c, err := net.Dial("tcp", b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "GET /book HTTP/1.1\r\nHost: h\r\nX-Request-ID: silent\r\n\r\n")
	waitFor(t, "the effect of a request that is not answered", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.attempts["silent"].effects == 1
	})
	c.Close()
	waitFor(t, "its connection to end", func() bool { return b.Connections() == 0 })
	b.SetFault(Fault{})
	b.Drain(true)
	l.RecordSent(l.BeginOperation(NonIdempotent), "draining", testTimeout)
	if status, header, _ := sendRequest(t, b.Addr(), "book", "draining", ""); status != 503 || header.Get("X-Not-Processed") != "1" {
		t.Errorf("a draining box answers %d", status)
	}
	for _, text := range []string{"", "breaks", "errors 2", "errors x", "slow 1 soon", "slow 1 1s 3"} {
		if _, err := ParseFault(text); err == nil {
			t.Errorf("%q is no fault", text)
		}
	}
}

// TestBackendQueue guards against a box that takes more than it has cores and room to wait for.
func TestBackendQueue(t *testing.T) {
	b := startTestBackend(t, BackendConfig{Name: "box", Cores: 2, QueueLimit: 3, ServiceTime: 200 * time.Millisecond})
	var all sync.WaitGroup
	var served, turned atomic.Int32
	for i := range 20 {
		all.Go(func() {
			switch status, _, _ := sendRequest(t, b.Addr(), "check", strconv.Itoa(i), ""); status {
			case 200:
				served.Add(1)
			case 503:
				turned.Add(1)
			}
		})
	}
	all.Wait()
	if served.Load() < 5 || turned.Load() == 0 || served.Load()+turned.Load() != 20 {
		t.Errorf("%d served and %d turned away of 20 at once, want at least 5 and some", served.Load(), turned.Load())
	}
}

// TestDeduplicator guards against running a repeat: of one that runs, of one that has run, at any box of the group; and against
// dropping one after the window.
func TestDeduplicator(t *testing.T) {
	l := NewEffectRecorder()
	r := NewDeduplicator(time.Hour)
	cfg := BackendConfig{Cores: 4, ServiceTime: 50 * time.Millisecond, Idempotency: map[string]Idempotency{"order": IdempotentByKey}, Deduplicator: r, Recorder: l}
	a, b := cfg, cfg
	a.Name, b.Name = "a", "b"
	boxes := []*Backend{startTestBackend(t, a), startTestBackend(t, b)}
	o := l.BeginOperation(IdempotentByKey)
	var all sync.WaitGroup
	for i := range 6 {
		id := fmt.Sprint("r", i)
		l.RecordSent(o, id, testTimeout)
		all.Go(func() {
			if status, _, body := sendRequest(t, boxes[i%2].Addr(), "order", id, "k"); status != 200 || body != ResponseBody("order", "", "k") {
				t.Errorf("a repeat got %d %q", status, body)
			}
		})
	}
	all.Wait()
	effects := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return o.effects
	}
	if n := effects(); n != 1 {
		t.Errorf("%d effects of one key", n)
	}
	r.mu.Lock()
	r.entries["order k"].started = time.Now().Add(-2 * time.Hour)
	r.mu.Unlock()
	l.RecordSent(o, "late", testTimeout)
	sendRequest(t, boxes[0].Addr(), "order", "late", "k")
	if n := effects(); n != 2 {
		t.Errorf("%d effects with one after the window, want 2: the window must end", n)
	}
}

// TestDiscovery guards against a discovery that does not speak the platform's protocol: whole list first, then changes, those
// that left among them, later if it is late.
func TestDiscovery(t *testing.T) {
	l := NewEffectRecorder()
	d, err := StartDiscovery(l, Endpoint{Host: "a", Address: "x", Health: "active"}, Endpoint{Host: "b", Address: "y", Health: "active"})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	resp, err := http.Get("http://" + d.Addr() + "/v1/servers?follow=1&since=0")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	next := func(want ...string) {
		t.Helper()
		for lines.Scan() && len(lines.Text()) == 0 {
		}
		for _, w := range want {
			if !strings.Contains(lines.Text(), w) {
				t.Errorf("%s lacks %s", lines.Text(), w)
			}
		}
	}
	next(`"whole":true`, `"host":"a"`, `"host":"b"`)
	d.SetEndpoints(Endpoint{Host: "b", Address: "y", Health: "leaving"})
	next(`"whole":false`, `"health":"left"`, `"health":"leaving"`)
	d.SetDelay(50 * time.Millisecond)
	began := time.Now()
	d.SetEndpoints(Endpoint{Host: "c", Address: "z", Health: "active"})
	next(`"host":"c"`, `"host":"b"`)
	if spent := time.Since(began); spent < 50*time.Millisecond {
		t.Errorf("told after %v, want it 50ms late", spent)
	}
	whole, err := http.Get("http://" + d.Addr() + "/v1/servers")
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(whole.Body)
	whole.Body.Close()
	if strings.Contains(string(text), `"left"`) || !strings.Contains(string(text), `"c"`) {
		t.Errorf("the whole list is %s", text)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.backends["a"].drainingSince.IsZero() || !l.backends["c"].drainingSince.IsZero() {
		t.Error("the ledger was not told what discovery has told")
	}
	http.DefaultClient.CloseIdleConnections()
}

// TestProxy guards against a link that passes what it should hold, or loses what it should pass.
func TestProxy(t *testing.T) {
	b := startTestBackend(t, BackendConfig{Name: "box"})
	r, err := StartProxy(b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if status, _, _ := sendRequest(t, r.Addr(), "check", "a", ""); status != 200 {
		t.Fatalf("through the link: %d", status)
	}
	r.SetDelay(30 * time.Millisecond)
	began := time.Now()
	if status, _, _ := sendRequest(t, r.Addr(), "check", "b", ""); status != 200 || time.Since(began) < 60*time.Millisecond {
		t.Errorf("%d after %v, want 200 after at least 60ms", status, time.Since(began))
	}
	r.SetDelay(0)
	r.SetStalled(true)
	answer := make(chan int)
	go func() {
		status, _, _ := sendRequest(t, r.Addr(), "check", "c", "")
		answer <- status
	}()
	waitFor(t, "the connection to reach the link", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.conns) > 0
	})
	if b.Served() != 2 {
		t.Error("something passed while the link stood still")
	}
	r.SetStalled(false)
	if status := <-answer; status != 200 {
		t.Errorf("after the stall: %d", status)
	}
	waitFor(t, "the connections of before to be gone", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.conns) == 0
	})
	r.SetStalled(true)
	go func() {
		status, _, _ := sendRequest(t, r.Addr(), "check", "d", "")
		answer <- status
	}()
	waitFor(t, "the next to reach the link", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.conns) > 0
	})
	r.ResetConnections()
	if status := <-answer; status != 0 {
		t.Errorf("after a reset: %d", status)
	}
}

// TestClients guards against clients that don't keep their deadlines, that retry what may have run and must not run twice, or
// that count wrongly.
func TestClients(t *testing.T) {
	l := NewEffectRecorder()
	b := startTestBackend(t, BackendConfig{
		Name: "box", Cores: 50, QueueLimit: 100, Idempotency: map[string]Idempotency{"book": NonIdempotent, "order": IdempotentByKey}, Recorder: l,
	})
	b.SetFault(Fault{Kind: FaultError, Fraction: 0.5})
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	class := func(name string, e Idempotency) ClassLoad {
		return ClassLoad{Name: name, Idempotency: e, Weight: 1, LatencyObjective: testTimeout, Deadline: testTimeout, PriorityWeight: 2, BodyBytes: 10}
	}
	crowd := RunClients(ctx, ClientConfig{
		Name: "c", Addr: b.Addr(), Host: "h", Rate: 200, MaxAttempts: 3, Recorder: l, Seed: 1,
		Classes: []ClassLoad{class("check", Idempotent), class("order", IdempotentByKey), class("book", NonIdempotent)},
	})
	if crowd.Operations() < 20 || crowd.Operations() != l.Operations() || crowd.Outcomes[OutcomeServed] == 0 || crowd.Outcomes[OutcomeFailed] == 0 {
		t.Errorf("%d operations, %v", crowd.Operations(), crowd.Outcomes)
	}
	if want := 2 * float64(crowd.Operations()); crowd.OfferedWeight != want || crowd.ServedWeight != 2*float64(crowd.Outcomes[OutcomeServed]) {
		t.Errorf("worth %v of %v, want %v", crowd.ServedWeight, crowd.OfferedWeight, want)
	}
	for _, try := range l.attempts {
		if try.operation.idempotency == NonIdempotent && len(try.operation.attemptIDs) > 1 {
			t.Errorf("an unsafe operation that failed was tried again: %v", try.operation.attemptIDs)
		}
	}
	if v := l.Check(Tolerance{LateResponse: testTimeout, AttemptAfterResponse: testTimeout, AfterDrainGrace: testTimeout}); len(v.Violations) > 0 {
		t.Error(v.Violations)
	}
	if both := crowd.Merge(crowd); both.Operations() != 2*crowd.Operations() || both.ServedFraction() != crowd.ServedFraction() || len(both.Latencies) != 2*len(crowd.Latencies) {
		t.Error("two crowds do not add up")
	}
	if p := crowd.Percentile(1); len(crowd.Latencies) > 0 && p != slices.Max(crowd.Latencies) {
		t.Errorf("the last percentile is %v", p)
	}
}

// TestMaintainedConnections guards against hogs that let go: each connection that is closed is followed by another.
func TestMaintainedConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var accepted atomic.Int64
	var all sync.WaitGroup
	all.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			c.Close()
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	for _, hog := range []func() int64{
		func() int64 { return OpenSlowRequests(ctx, ln.Addr().String(), "h", 2) },
		func() int64 { return OpenIdleConnections(ctx, ln.Addr().String(), 2) },
	} {
		all.Go(func() {
			if n := hog(); n < 2 {
				t.Errorf("%d connections were opened", n)
			}
		})
	}
	waitFor(t, "connections to be opened anew", func() bool { return accepted.Load() > 12 })
	cancel()
	ln.Close()
	all.Wait()
}
