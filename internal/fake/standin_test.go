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

const patience = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// TestLedger guards against a ledger that sees no rule broken: each is broken once here, and kept once.
func TestLedger(t *testing.T) {
	ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
	answered := func(l *Ledger, id string, status int) { l.Answered(id, status, true) }
	for name, c := range map[string]struct {
		play func(l *Ledger)
		want string // a part of what is broken, "" if nothing is
	}{
		"all kept": {func(l *Ledger) {
			for i, e := range []Effect{Safe, Keyed, Unsafe} {
				id := strconv.Itoa(i)
				l.Sent(l.Op(e), id, time.Second)
				l.Arrived("box", id)
				l.Effect(id)
				answered(l, id, 200)
			}
		}, ""},
		"never answered":  {func(l *Ledger) { l.Sent(l.Op(Safe), "a", time.Second) }, "never answered"},
		"the client left": {func(l *Ledger) { l.Sent(l.Op(Safe), "a", time.Second); l.Left("a") }, ""},
		"answered late": {func(l *Ledger) {
			l.Sent(l.Op(Safe), "a", time.Second)
			l.tries["a"].sent = ago(3 * time.Second)
			answered(l, "a", 502)
		}, "after its time"},
		"two answers": {func(l *Ledger) {
			l.Sent(l.Op(Safe), "a", time.Second)
			answered(l, "a", 200)
			answered(l, "a", 200)
		}, "a second answer"},
		"another's answer": {func(l *Ledger) {
			l.Sent(l.Op(Safe), "a", time.Second)
			l.Answered("a", 200, false)
		}, "no box made for it"},
		"sent after the answer": {func(l *Ledger) {
			l.Sent(l.Op(Safe), "a", time.Second)
			answered(l, "a", 502)
			l.tries["a"].answered = ago(time.Second)
			l.Arrived("box", "a")
		}, "after its answer"},
		"an invented request": {func(l *Ledger) { l.Arrived("box", "a") }, "no client sent"},
		"unsafe, twice by one try": {func(l *Ledger) {
			l.Sent(l.Op(Unsafe), "a", time.Second)
			l.Effect("a")
			l.Effect("a")
			answered(l, "a", 200)
		}, "2 effects"},
		"keyed, twice over two tries": {func(l *Ledger) {
			o := l.Op(Keyed)
			for _, id := range []string{"a", "b"} {
				l.Sent(o, id, time.Second)
				l.Effect(id)
				answered(l, id, 200)
			}
		}, "2 effects"},
		"unsafe, run and refused": {func(l *Ledger) {
			l.Sent(l.Op(Unsafe), "a", time.Second)
			l.Effect("a")
			answered(l, "a", 503)
		}, "was refused"},
		"after the grace": {func(l *Ledger) {
			l.Told("box", true)
			l.boxes["box"].told = ago(3 * time.Second)
			l.Sent(l.Op(Safe), "a", time.Second)
			l.Arrived("box", "a")
			answered(l, "a", 200)
		}, "told to leave"},
		"within the grace": {func(l *Ledger) {
			l.Told("box", true)
			l.Sent(l.Op(Safe), "a", time.Second)
			l.Arrived("box", "a")
			answered(l, "a", 200)
		}, ""},
		"back again": {func(l *Ledger) {
			l.Told("box", true)
			l.boxes["box"].told = ago(3 * time.Second)
			l.Told("box", false)
			l.Sent(l.Op(Safe), "a", time.Second)
			l.Arrived("box", "a")
			answered(l, "a", 200)
		}, ""},
		"a cold box": {func(l *Ledger) {
			l.Born("box", time.Second, func(_, w time.Duration) float64 { return 10 * w.Seconds() })
			for i := range 12 {
				id := strconv.Itoa(i)
				l.Sent(l.Op(Safe), id, time.Second)
				l.Arrived("box", id)
				answered(l, id, 200)
			}
		}, "12 requests in 1s"},
	} {
		l := NewLedger()
		c.play(l)
		broken := strings.Join(l.Check(UsualSlack).Broken, "; ")
		if (broken == "") != (c.want == "") || !strings.Contains(broken, c.want) {
			t.Errorf("%s: broken is %q, want %q", name, broken, c.want)
		}
	}
}

func startBox(t *testing.T, cfg BoxConfig) *Box {
	t.Helper()
	if cfg.Queue == 0 {
		cfg.Queue = 10
	}
	b, err := StartBox(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

// ask sends a request to addr on a connection of its own. Status 0 means that no answer could be read.
func ask(t *testing.T, addr, class, id, key string) (status int, header http.Header, body string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, nil, ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
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

func TestBoxFaults(t *testing.T) {
	l := NewLedger()
	b := startBox(t, BoxConfig{Name: "box", Effects: map[string]Effect{"book": Unsafe}, Ledger: l})
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
		l.Sent(l.Op(Unsafe), id, patience)
		status, header, body := ask(t, b.Addr(), "book", id, "")
		l.mu.Lock()
		effects := l.tries[id].effects
		l.mu.Unlock()
		if status != c.status || effects != c.effects {
			t.Errorf("%s: %d and %d effects, want %d and %d", c.fault, status, effects, c.status, c.effects)
		}
		if turned := header.Get("X-Not-Processed") == "1"; turned != (c.status == 503) {
			t.Errorf("%s: X-Not-Processed is %v", c.fault, turned)
		}
		if status == 200 && (body != Made("book", id, "") || header.Get("X-Server-Load") == "") {
			t.Errorf("%s: %q, load %q", c.fault, body, header.Get("X-Server-Load"))
		}
	}
	b.SetFault(Fault{Kind: Silent, Share: 1})
	l.Sent(l.Op(Unsafe), "silent", patience)
	c, err := net.Dial("tcp", b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "GET /book HTTP/1.1\r\nHost: h\r\nX-Request-ID: silent\r\n\r\n")
	waitFor(t, "the effect of a request that is not answered", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.tries["silent"].effects == 1
	})
	c.Close()
	waitFor(t, "its connection to end", func() bool { return b.Conns() == 0 })
	b.SetFault(Fault{})
	b.Drain(true)
	l.Sent(l.Op(Unsafe), "draining", patience)
	if status, header, _ := ask(t, b.Addr(), "book", "draining", ""); status != 503 || header.Get("X-Not-Processed") != "1" {
		t.Errorf("a draining box answers %d", status)
	}
	for _, text := range []string{"", "breaks", "errors 2", "errors x", "slow 1 soon", "slow 1 1s 3"} {
		if _, err := ParseFault(text); err == nil {
			t.Errorf("%q is no fault", text)
		}
	}
}

// TestBoxQueue guards against a box that takes more than it has cores and room to wait for.
func TestBoxQueue(t *testing.T) {
	b := startBox(t, BoxConfig{Name: "box", Cores: 2, Queue: 3, Service: 200 * time.Millisecond})
	var all sync.WaitGroup
	var served, turned atomic.Int32
	for i := range 20 {
		all.Go(func() {
			switch status, _, _ := ask(t, b.Addr(), "check", strconv.Itoa(i), ""); status {
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

// TestRepeats guards against running a repeat: of one that runs, of one that has run, at any box of the group; and against
// dropping one after the window.
func TestRepeats(t *testing.T) {
	l := NewLedger()
	r := NewRepeats(time.Hour)
	cfg := BoxConfig{Cores: 4, Service: 50 * time.Millisecond, Effects: map[string]Effect{"order": Keyed}, Repeats: r, Ledger: l}
	a, b := cfg, cfg
	a.Name, b.Name = "a", "b"
	boxes := []*Box{startBox(t, a), startBox(t, b)}
	o := l.Op(Keyed)
	var all sync.WaitGroup
	for i := range 6 {
		id := fmt.Sprint("r", i)
		l.Sent(o, id, patience)
		all.Go(func() {
			if status, _, body := ask(t, boxes[i%2].Addr(), "order", id, "k"); status != 200 || body != Made("order", "", "k") {
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
	r.keys["order k"].at = time.Now().Add(-2 * time.Hour)
	r.mu.Unlock()
	l.Sent(o, "late", patience)
	ask(t, boxes[0].Addr(), "order", "late", "k")
	if n := effects(); n != 2 {
		t.Errorf("%d effects with one after the window, want 2: the window must end", n)
	}
}

// TestDiscovery guards against a discovery that does not speak the platform's protocol: whole list first, then changes, those
// that left among them, later if it is late.
func TestDiscovery(t *testing.T) {
	l := NewLedger()
	d, err := StartDiscovery(l, Entry{Host: "a", Dial: "x", Health: "active"}, Entry{Host: "b", Dial: "y", Health: "active"})
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
	d.Set(Entry{Host: "b", Dial: "y", Health: "leaving"})
	next(`"whole":false`, `"health":"left"`, `"health":"leaving"`)
	d.Late(50 * time.Millisecond)
	began := time.Now()
	d.Set(Entry{Host: "c", Dial: "z", Health: "active"})
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
	if l.boxes["a"].told.IsZero() || !l.boxes["c"].told.IsZero() {
		t.Error("the ledger was not told what discovery has told")
	}
	http.DefaultClient.CloseIdleConnections()
}

// TestRelay guards against a link that passes what it should hold, or loses what it should pass.
func TestRelay(t *testing.T) {
	b := startBox(t, BoxConfig{Name: "box"})
	r, err := StartRelay(b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if status, _, _ := ask(t, r.Addr(), "check", "a", ""); status != 200 {
		t.Fatalf("through the link: %d", status)
	}
	r.Delay(30 * time.Millisecond)
	began := time.Now()
	if status, _, _ := ask(t, r.Addr(), "check", "b", ""); status != 200 || time.Since(began) < 60*time.Millisecond {
		t.Errorf("%d after %v, want 200 after at least 60ms", status, time.Since(began))
	}
	r.Delay(0)
	r.Stall(true)
	answer := make(chan int)
	go func() {
		status, _, _ := ask(t, r.Addr(), "check", "c", "")
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
	r.Stall(false)
	if status := <-answer; status != 200 {
		t.Errorf("after the stall: %d", status)
	}
	waitFor(t, "the connections of before to be gone", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.conns) == 0
	})
	r.Stall(true)
	go func() {
		status, _, _ := ask(t, r.Addr(), "check", "d", "")
		answer <- status
	}()
	waitFor(t, "the next to reach the link", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.conns) > 0
	})
	r.Reset()
	if status := <-answer; status != 0 {
		t.Errorf("after a reset: %d", status)
	}
}

// TestClients guards against clients that don't keep their deadlines, that retry what may have run and must not run twice, or
// that count wrongly.
func TestClients(t *testing.T) {
	l := NewLedger()
	b := startBox(t, BoxConfig{
		Name: "box", Cores: 50, Queue: 100, Effects: map[string]Effect{"book": Unsafe, "order": Keyed}, Ledger: l,
	})
	b.SetFault(Fault{Kind: Error, Share: 0.5})
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	class := func(name string, e Effect) ClassLoad {
		return ClassLoad{Name: name, Effect: e, Share: 1, Aim: patience, Deadline: patience, Worth: 2, Body: 10}
	}
	crowd := RunClients(ctx, ClientConfig{
		Name: "c", Addr: b.Addr(), Host: "h", Rate: 200, Tries: 3, Ledger: l, Seed: 1,
		Classes: []ClassLoad{class("check", Safe), class("order", Keyed), class("book", Unsafe)},
	})
	if crowd.Ops() < 20 || crowd.Ops() != l.Ops() || crowd.Counts[Served] == 0 || crowd.Counts[Failed] == 0 {
		t.Errorf("%d operations, %v", crowd.Ops(), crowd.Counts)
	}
	if want := 2 * float64(crowd.Ops()); crowd.Asked != want || crowd.Won != 2*float64(crowd.Counts[Served]) {
		t.Errorf("worth %v of %v, want %v", crowd.Won, crowd.Asked, want)
	}
	for _, try := range l.tries {
		if try.op.effect == Unsafe && len(try.op.ids) > 1 {
			t.Errorf("an unsafe operation that failed was tried again: %v", try.op.ids)
		}
	}
	if v := l.Check(Slack{Answer: patience, After: patience, Grace: patience}); len(v.Broken) > 0 {
		t.Error(v.Broken)
	}
	if both := crowd.With(crowd); both.Ops() != 2*crowd.Ops() || both.Share() != crowd.Share() || len(both.Latencies) != 2*len(crowd.Latencies) {
		t.Error("two crowds do not add up")
	}
	if p := crowd.Percentile(1); len(crowd.Latencies) > 0 && p != slices.Max(crowd.Latencies) {
		t.Errorf("the last percentile is %v", p)
	}
}

// TestHogs guards against hogs that let go: each connection that is closed is followed by another.
func TestHogs(t *testing.T) {
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
		func() int64 { return SlowHeads(ctx, ln.Addr().String(), "h", 2) },
		func() int64 { return Silents(ctx, ln.Addr().String(), 2) },
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
