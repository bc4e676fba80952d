package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/fake"
	"sorrelrudder/internal/route"
	"sorrelrudder/internal/settings"
	"sorrelrudder/policy"
)

// patience is how long a test waits for what must come; none asserts that something takes less.
const patience = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var effects = map[string]fake.Effect{"check": fake.Safe, "order": fake.Keyed, "book": fake.Unsafe}

// testSettings have one class of each effect, and time enough that none ends by itself.
func testSettings() settings.Settings {
	class := func(name string, e policy.Idempotency) policy.Class {
		return policy.Class{Name: name, Idempotency: e, DedupWindow: time.Minute, LatencyObjective: 10 * time.Second, Deadline: 10 * time.Second, PriorityWeight: 1, LateWeightFraction: 1}
	}
	return settings.Settings{
		LoadReportFields: []string{"queue", "inflight"},
		Config: policy.Config{
			InstanceCount: 1, MaxAttempts: 3, HealthChecksAllowed: true, CancellationAllowed: true, RetryAfterHonored: true, MaxRetryAfter: 2 * time.Second,
			DialTimeout: 2 * time.Second, ConnIdle: time.Minute, TimerResolution: time.Millisecond, PollInterval: 10 * time.Second,
			InlineLoadReports: true, HealthCheckCost: 0.05,
			Classes: []policy.Class{class("check", policy.Idempotent), class("order", policy.IdempotentByKey), class("book", policy.NonIdempotent)},
		},
	}
}

// site is boxes for some pools, and a gateway for them.
type site struct {
	t      *testing.T
	ledger *fake.Ledger
	cfg    Config
	g      *Gateway
	addr   string
	end    func() // as SIGTERM does, and returns once the process has ended
}

// box starts a box that needs no time.
func (s *site) box(name string, change func(*fake.BoxConfig)) *fake.Box {
	s.t.Helper()
	cfg := fake.BoxConfig{Name: name, Cores: 8, Queue: 100, Effects: effects, Ledger: s.ledger}
	if change != nil {
		change(&cfg)
	}
	b, err := fake.StartBox(cfg)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(b.Close)
	return b
}

func listed(boxes ...*fake.Box) []discovery.Endpoint {
	all := []discovery.Endpoint{}
	for _, b := range boxes {
		e := b.Entry()
		all = append(all, discovery.Endpoint{ID: e.Host, Address: e.Dial, Health: e.Health, Weight: 1})
	}
	return all
}

// pool is a pool with a list of its own, and its route by the host NAME.example.org.
func (s *site) pool(name string, boxes ...*fake.Box) *Pool {
	s.cfg.Pools = append(s.cfg.Pools, Pool{
		Name: name, Settings: testSettings(), StaticEndpoints: listed(boxes...), Limits: Limits{Weight: 1}, Seed: 1,
	})
	s.cfg.Routes = append(s.cfg.Routes, route.Route{Name: name, Hosts: []string{name + ".example.org"}, Path: "/", Pool: name})
	return &s.cfg.Pools[len(s.cfg.Pools)-1]
}

func newSite(t *testing.T) *site {
	return &site{t: t, ledger: fake.NewLedger(), cfg: Config{
		Name: "test", MemoryMB: 64, Descriptors: 256, Listeners: []Listener{{Name: "farm", Address: "127.0.0.1:0"}},
	}}
}

// copyConfig is a configuration that may be changed while s.cfg is in force.
func (s *site) copyConfig() Config {
	c := s.cfg
	c.Pools = append([]Pool{}, c.Pools...)
	c.Routes = append([]route.Route{}, c.Routes...)
	c.Listeners = append([]Listener{}, c.Listeners...)
	return c
}

func (s *site) start() {
	s.t.Helper()
	g, err := New(s.cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		s.t.Fatal(err)
	}
	if err := g.Listen(); err != nil {
		g.Close()
		s.t.Fatal(err)
	}
	s.g, s.addr = g, g.ListenerAddr("farm").String()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.Run(ctx)
	}()
	s.end = func() {
		cancel()
		<-ended
	}
	s.t.Cleanup(s.end)
}

type client struct {
	net.Conn
	r *bufio.Reader
}

func (s *site) dial() *client {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return &client{c, bufio.NewReader(c)}
}

// ask writes text, which may be empty, and reads an answer; status 0 is a close with none.
func (c *client) ask(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	io.WriteString(c, text)
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		if os.IsTimeout(err) {
			t.Fatalf("neither an answer nor a close to %.80q", text)
		}
		return &http.Response{}, ""
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(b)
}

var lastID atomic.Int64

// sent notes a request in the ledger and returns its text.
func (s *site) sent(method, host, path, id, more string) string {
	effect := effects[strings.Split(path, "/")[1]]
	s.ledger.Sent(s.ledger.Op(effect), id, patience)
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-ID: %s\r\nX-Timeout-Ms: 10000\r\n%s\r\n", method, path, host, id, more)
}

func (s *site) get(host, path string) string {
	return s.sent("GET", host, path, fmt.Sprint("id", lastID.Add(1)), "")
}

func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// refused tells whether an answer says that asking again is harmless, and when.
func refused(resp *http.Response) bool {
	return (resp.StatusCode == 429 || resp.StatusCode == 503) && resp.Header.Get("Retry-After") != ""
}

// TestOneConnectionSeveralPools guards against taking a connection for one pool's: requests of several come on it in turn,
// and pipelined ones are answered in their order.
func TestOneConnectionSeveralPools(t *testing.T) {
	s := newSite(t)
	a, b := s.box("a", nil), s.box("b", nil)
	s.pool("orders", a)
	s.pool("meters", b)
	s.start()
	c := s.dial()
	for i := range 6 {
		host := []string{"orders.example.org", "meters.example.org"}[i%2]
		if resp, _ := c.ask(t, s.get(host, "/check/x")); resp.StatusCode != 200 {
			t.Fatalf("%s: %d", host, resp.StatusCode)
		}
	}
	if a.Served() != 3 || b.Served() != 3 {
		t.Errorf("the boxes served %d and %d, want 3 each", a.Served(), b.Served())
	}
	var text string
	for i := range 5 {
		text += s.sent("GET", []string{"orders", "meters"}[i%2]+".example.org", "/check/x", fmt.Sprint("pipelined", i), "")
	}
	io.WriteString(c, text)
	for i := range 5 {
		resp, body := c.ask(t, "")
		if want := fake.Made("check", fmt.Sprint("pipelined", i), ""); resp.StatusCode != 200 || body != want {
			t.Fatalf("answer %d: %d %q, want %q", i, resp.StatusCode, body, want)
		}
	}
}

// TestHost guards against requests that go astray by the form of their Host.
func TestHost(t *testing.T) {
	s := newSite(t)
	box := s.box("a", nil)
	s.pool("orders", box)
	s.pool("meters", box)
	s.cfg.Routes[1].Path = "/v1"
	s.cfg.Routes = append(s.cfg.Routes, route.Route{Name: "six", Hosts: []string{"[::1]"}, Path: "/", Pool: "orders"})
	s.start()
	n := 0
	for name, c := range map[string]struct {
		head string
		want int
	}{
		"plain":         {"Host: orders.example.org\r\n", 200},
		"port":          {"Host: orders.example.org:8080\r\n", 200},
		"upper case":    {"Host: ORDERS.Example.Org\r\n", 200},
		"trailing dot":  {"Host: orders.example.org.\r\n", 200},
		"IPv6":          {"Host: [0:0::1]:80\r\n", 200},
		"unknown":       {"Host: other.example.org\r\n", 421},
		"unknown IPv6":  {"Host: [::2]\r\n", 421},
		"none":          {"", 400},
		"empty":         {"Host: \r\n", 400},
		"two":           {"Host: orders.example.org\r\nHost: orders.example.org\r\n", 400},
		"unreadable":    {"Host: a b\r\n", 400},
		"unknown path":  {"Host: meters.example.org\r\n", 404},
		"bad port":      {"Host: orders.example.org:port\r\n", 400},
		"IPv6, no ends": {"Host: ::1\r\n", 400},
	} {
		n++
		id := fmt.Sprint("host", n)
		s.ledger.Sent(s.ledger.Op(fake.Safe), id, patience)
		resp, _ := s.dial().ask(t, fmt.Sprintf("GET /check HTTP/1.1\r\n%sX-Request-ID: %s\r\nX-Timeout-Ms: 1000\r\n\r\n", c.head, id))
		if resp.StatusCode != c.want {
			t.Errorf("%s: %d, want %d", name, resp.StatusCode, c.want)
		}
	}
	if resp, _ := s.dial().ask(t, s.get("meters.example.org", "/v1/../check")); resp.StatusCode != 400 {
		t.Errorf("dot segments: %d, want 400", resp.StatusCode)
	}
}

// TestStripPath guards against what the boxes would not know.
func TestStripPath(t *testing.T) {
	s := newSite(t)
	s.pool("orders", s.box("a", nil))
	s.cfg.Routes[0].Path, s.cfg.Routes[0].Strip = "/farm/v1", true
	s.start()
	resp, body := s.dial().ask(t, s.sent("POST", "orders.example.org", "/farm/v1/order/7?x=1", "strip", "Idempotency-Key: k\r\nContent-Length: 0\r\n"))
	if want := fake.Made("order", "", "k"); resp.StatusCode != 200 || body != want {
		t.Errorf("got %d %q, want %q", resp.StatusCode, body, want)
	}
}

// TestSameIDInTwoPools guards against taking a request for a repeat of another pool's.
func TestSameIDInTwoPools(t *testing.T) {
	s := newSite(t)
	var hold [2]chan struct{}
	for i, name := range []string{"orders", "meters"} {
		hold[i] = make(chan struct{})
		s.pool(name, s.box(name, nil))
	}
	s.cfg.Pools[0].StaticEndpoints = listed(s.box("slow", func(c *fake.BoxConfig) { c.Service = 300 * time.Millisecond }))
	s.start()
	first := s.dial()
	s.ledger.Sent(s.ledger.Op(fake.Safe), "same", patience)
	text := "GET /check HTTP/1.1\r\nHost: %s.example.org\r\nX-Request-ID: same\r\nX-Timeout-Ms: 10000\r\n\r\n"
	fmt.Fprintf(first, text, "orders")
	waitFor(t, "the first to be open", func() bool { return s.g.Load().Requests == 1 })
	if resp, _ := s.dial().ask(t, fmt.Sprintf(text, "meters")); resp.StatusCode != 200 {
		t.Errorf("the same id in another pool: %d", resp.StatusCode)
	}
	if resp, _ := s.dial().ask(t, fmt.Sprintf(text, "orders")); resp.StatusCode != 409 {
		t.Errorf("the same id in the same pool: %d", resp.StatusCode)
	}
	if resp, body := first.ask(t, ""); resp.StatusCode != 200 || !strings.Contains(body, "same") {
		t.Errorf("the first: %d %q", resp.StatusCode, body)
	}
}

// TestEmptyList guards against holding requests of a pool that has no server, and against its neighbours noticing; it serves
// again when there is one. Its list goes empty, and another's discovery is dead from the start.
func TestEmptyList(t *testing.T) {
	s := newSite(t)
	a, b := s.box("a", nil), s.box("b", nil)
	disco, err := fake.StartDiscovery(s.ledger, a.Entry())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(disco.Close)
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	deadAddr := dead.Addr().String()
	dead.Close()
	orders := s.pool("orders")
	orders.Discovery, orders.Settings.Config.PollInterval = disco.Addr(), time.Second
	s.pool("meters", b)
	s.pool("channels").Discovery = deadAddr
	s.start()
	ask := func(host string) *http.Response {
		resp, _ := s.dial().ask(t, s.get(host+".example.org", "/check"))
		return resp
	}
	waitFor(t, "the first list", func() bool { return ask("orders").StatusCode == 200 })
	disco.Set()
	waitFor(t, "the empty list to be refused at once", func() bool { return refused(ask("orders")) })
	if resp := ask("channels"); !refused(resp) {
		t.Errorf("without any discovery: %d", resp.StatusCode)
	}
	if resp := ask("meters"); resp.StatusCode != 200 {
		t.Errorf("a neighbour: %d", resp.StatusCode)
	}
	if n := s.g.Load().Requests; n != 0 {
		t.Errorf("%d requests are held", n)
	}
	disco.Set(a.Entry())
	waitFor(t, "the list to be back", func() bool { return ask("orders").StatusCode == 200 })
}

// TestListEmptiesUnderLoad guards against requests that are taken just before the list goes empty and then wait for their time
// to be up: all that was never sent is refused at once.
func TestListEmptiesUnderLoad(t *testing.T) {
	s := newSite(t)
	disco, err := fake.StartDiscovery(s.ledger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(disco.Close)
	box := s.box("a", nil)
	s.pool("orders").Discovery = disco.Addr()
	s.start()
	var slowest atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	statuses := make([]atomic.Int64, 600)
	for range 8 {
		all.Go(func() {
			c := s.dial()
			for ctx.Err() == nil {
				began := time.Now()
				resp, _ := c.ask(t, s.get("orders.example.org", "/check"))
				if resp.StatusCode == 0 {
					c = s.dial()
				}
				statuses[resp.StatusCode].Add(1)
				slowest.Store(max(slowest.Load(), int64(time.Since(began))))
			}
		})
	}
	for range 15 {
		disco.Set(box.Entry())
		served := statuses[200].Load()
		waitFor(t, "some to be served", func() bool { return statuses[200].Load() > served+20 })
		refused := statuses[503].Load()
		disco.Set()
		waitFor(t, "some to be refused", func() bool { return statuses[503].Load() > refused+5 })
	}
	cancel()
	all.Wait()
	// Their time is 10 s, and nothing here takes more than some milliseconds.
	if d := time.Duration(slowest.Load()); d > 5*time.Second {
		t.Errorf("one waited %v", d)
	}
}

// TestOpenLimit guards against one pool's open requests taking what is kept for another's, and against anything but an
// answer at once for what is beyond.
func TestOpenLimit(t *testing.T) {
	s := newSite(t)
	stuck := s.box("stuck", nil)
	stuck.SetFault(fake.Fault{Kind: fake.Silent, Share: 1})
	s.pool("orders", stuck)
	s.pool("meters", s.box("b", nil))
	s.start()
	// Of the clients' descriptors half is kept for the pools, a quarter for each; a flood of one may not go beyond the rest.
	most := 108
	var open, beyond int
	var conns []*client
	for range most {
		c := s.dial()
		io.WriteString(c, s.get("orders.example.org", "/check"))
		conns = append(conns, c)
	}
	answers := make(chan int, most)
	for _, c := range conns {
		go func() {
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil {
				answers <- 0
				return
			}
			answers <- resp.StatusCode
		}()
	}
	waitFor(t, "all to be open, answered or closed", func() bool {
		open, beyond = s.g.Load().Requests, len(answers)
		return open+beyond >= most
	})
	if open >= most || beyond == 0 {
		t.Fatalf("%d of %d are open, %d were answered", open, most, beyond)
	}
	for range beyond {
		if status := <-answers; status != 429 && status != 503 && status != 0 {
			t.Errorf("one beyond the limit was answered %d", status)
		}
	}
	for range 10 {
		if resp, _ := s.dial().ask(t, s.get("meters.example.org", "/check")); resp.StatusCode != 200 {
			t.Fatalf("a neighbour was answered %d", resp.StatusCode)
		}
	}
	for _, c := range conns {
		c.Close()
	}
	for range most - beyond {
		<-answers
	}
}

// TestBodiesLimit guards against one pool's bodies, which come slowly and are long, taking the memory kept for another's.
func TestBodiesLimit(t *testing.T) {
	s := newSite(t)
	s.cfg.MemoryMB = 24 // 3 MiB of bodies, so 48 of the longest
	s.pool("orders", s.box("a", nil))
	s.pool("meters", s.box("b", nil))
	s.start()
	full := 0
	for i := range 60 {
		c := s.dial()
		io.WriteString(c, s.sent("POST", "orders.example.org", "/order", fmt.Sprint("slow", i), "Idempotency-Key: k\r\nContent-Length: 65536\r\n"))
		waitFor(t, "its room to be taken, or an answer", func() bool {
			c.SetReadDeadline(time.Now().Add(time.Millisecond))
			_, err := c.r.Peek(1)
			s.g.quotas.mu.Lock()
			taken := s.g.quotas.admission.OpenRequests(1) + s.g.quotas.admission.OpenRequests(2)
			s.g.quotas.mu.Unlock()
			return err == nil || int(taken) > i-full
		})
		c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := c.r.Peek(1); err == nil {
			c.SetDeadline(time.Now().Add(patience))
			if resp, _ := c.ask(t, ""); resp.StatusCode != 503 {
				continue // it was too slow
			}
			full++
			break
		}
	}
	if full == 0 {
		t.Skip("the machine was too slow to hold so many slow bodies at once")
	}
	body := strings.Repeat("b", 65536)
	resp, _ := s.dial().ask(t, s.sent("POST", "meters.example.org", "/order", "neighbour", "Idempotency-Key: n\r\nContent-Length: 65536\r\n")+body)
	if resp.StatusCode != 200 {
		t.Errorf("a neighbour's body: %d", resp.StatusCode)
	}
}

// TestRateLimit guards against letting a pool have more than its limit, and against refusing without saying when to return.
func TestRateLimit(t *testing.T) {
	s := newSite(t)
	s.pool("orders", s.box("a", nil)).Limits = Limits{Weight: 1, Rate: 0.01, Burst: 3}
	s.pool("meters", s.box("b", nil))
	s.start()
	c := s.dial()
	for i := range 6 {
		resp, _ := c.ask(t, s.get("orders.example.org", "/check"))
		if want := map[bool]int{true: 200, false: 429}[i < 3]; resp.StatusCode != want || want == 429 && !refused(resp) {
			t.Errorf("request %d: %d, Retry-After %q", i, resp.StatusCode, resp.Header.Get("Retry-After"))
		}
	}
	if resp, _ := c.ask(t, s.get("meters.example.org", "/check")); resp.StatusCode != 200 {
		t.Errorf("another pool on the same connection: %d", resp.StatusCode)
	}
}

// TestRemovedPool guards against losing what a pool had taken when it is removed: requests in flight, and one whose retry
// is still to come, are answered by its boxes; new ones find no route.
func TestRemovedPool(t *testing.T) {
	s := newSite(t)
	failing, good := s.box("failing", nil), s.box("good", func(c *fake.BoxConfig) { c.Service = 200 * time.Millisecond })
	// The first attempt is refused its connection only after a while, so that the retry comes after the removal.
	failing.SetFault(fake.Fault{Kind: fake.Error, Share: 1, Delay: 300 * time.Millisecond})
	s.pool("orders", failing, good)
	s.pool("meters", s.box("b", nil))
	s.start()
	var conns []*client
	for range 8 {
		c := s.dial()
		io.WriteString(c, s.get("orders.example.org", "/check"))
		conns = append(conns, c)
	}
	waitFor(t, "all to be in flight", func() bool { return s.g.Load().Requests == 8 })
	next := s.copyConfig()
	next.Pools, next.Routes = next.Pools[1:], next.Routes[1:]
	if err := s.g.Apply(next); err != nil {
		t.Fatal(err)
	}
	if n := s.g.Load().Draining; n != 1 {
		t.Errorf("%d pools drain, want 1", n)
	}
	if resp, _ := s.dial().ask(t, s.get("orders.example.org", "/check")); resp.StatusCode != 421 {
		t.Errorf("a new request for it: %d, want 421", resp.StatusCode)
	}
	for i, c := range conns {
		if resp, _ := c.ask(t, ""); resp.StatusCode != 200 {
			t.Errorf("request %d, taken before: %d", i, resp.StatusCode)
		}
	}
	waitFor(t, "the pool to be gone", func() bool { return s.g.Load().Draining == 0 })
	s.keptRules()
}

func (s *site) keptRules() {
	s.t.Helper()
	for _, b := range s.ledger.Check(fake.UsualSlack).Broken {
		// These tests don't note answers, so that only what concerns effects is looked at.
		if strings.HasPrefix(b, "rule 2") {
			s.t.Error(b)
		}
	}
}

// TestBoxChangesPool guards against using a box, or its connections, in the pool that it has left.
func TestBoxChangesPool(t *testing.T) {
	s := newSite(t)
	a, b, moves := s.box("a", nil), s.box("b", nil), s.box("moves", nil)
	s.pool("orders", moves)
	s.pool("meters", b)
	s.start()
	ask := func(host string) int {
		resp, _ := s.dial().ask(t, s.get(host+".example.org", "/check"))
		return resp.StatusCode
	}
	if status := ask("orders"); status != 200 || moves.Served() != 1 {
		t.Fatalf("%d, served %d", status, moves.Served())
	}
	next := s.copyConfig()
	next.Pools[0].StaticEndpoints, next.Pools[1].StaticEndpoints = listed(a), listed(moves)
	if err := s.g.Apply(next); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the list to be told", func() bool { return ask("orders") == 200 && a.Served() > 0 })
	served := moves.Served()
	for range 5 {
		if status := ask("orders"); status != 200 {
			t.Errorf("orders: %d", status)
		}
	}
	if moves.Served() != served {
		t.Errorf("the pool that the box left sent it %d more", moves.Served()-served)
	}
	waitFor(t, "the other pool to use it", func() bool { return ask("meters") == 200 && moves.Served() > served })
}

// TestBadReload guards against taking over a part of what cannot be used.
func TestBadReload(t *testing.T) {
	s := newSite(t)
	s.pool("orders", s.box("a", nil))
	s.pool("meters", s.box("b", nil))
	s.start()
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	before := s.g.Load().Goroutines
	for name, change := range map[string]func(*Config){
		"a listener that is taken": func(c *Config) {
			c.Listeners = append(c.Listeners, Listener{Name: "free", Address: "127.0.0.1:0"}, Listener{Name: "taken", Address: taken.Addr().String()})
		},
		"a route that ties":   func(c *Config) { c.Routes = append(c.Routes, c.Routes[0]) },
		"a route to nowhere":  func(c *Config) { c.Routes[0].Pool = "none" },
		"settings of no use":  func(c *Config) { c.Pools[1].Settings.Config.MaxAttempts = 0 },
		"a pool without name": func(c *Config) { c.Pools[1].Name = "orders" },
		"no pools":            func(c *Config) { c.Pools, c.Routes = nil, nil },
		"no weight":           func(c *Config) { c.Pools[0].Limits.Weight = 0 },
		"little memory":       func(c *Config) { c.MemoryMB = 1 },
	} {
		next := s.copyConfig()
		next.Pools[0].Limits.Rate = 0.001 // would show
		next.Pools[0].Settings.Config.MaxAttempts = 2
		change(&next)
		if err := s.g.Apply(next); err == nil {
			t.Errorf("%s was taken over", name)
		}
		for _, host := range []string{"orders", "meters"} {
			for range 3 {
				if resp, _ := s.dial().ask(t, s.get(host+".example.org", "/check")); resp.StatusCode != 200 {
					t.Errorf("after %s, %s: %d", name, host, resp.StatusCode)
				}
			}
		}
	}
	waitFor(t, "all that was started to have ended", func() bool { return s.g.Load().Goroutines <= before+30 && s.g.Load().Draining == 0 })
}

// TestListenersChange guards against closing what came in at a listener that stays, and for one that is added under load.
func TestListenersChange(t *testing.T) {
	s := newSite(t)
	s.pool("orders", s.box("a", nil))
	s.start()
	stays := s.dial()
	if resp, _ := stays.ask(t, s.get("orders.example.org", "/check")); resp.StatusCode != 200 {
		t.Fatal(resp.StatusCode)
	}
	next := s.copyConfig()
	next.Listeners = append(next.Listeners, Listener{Name: "second", Address: "127.0.0.1:0"})
	if err := s.g.Apply(next); err != nil {
		t.Fatal(err)
	}
	second := &site{t: t, addr: s.g.ListenerAddr("second").String()}
	c := second.dial()
	if resp, _ := c.ask(t, s.get("orders.example.org", "/check")); resp.StatusCode != 200 {
		t.Errorf("at the second listener: %d", resp.StatusCode)
	}
	if err := s.g.Apply(s.cfg); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the connection there to end", func() bool {
		c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		_, err := c.r.ReadByte()
		return err == io.EOF
	})
	if resp, _ := s.dial().ask(t, s.get("orders.example.org", "/check")); resp.StatusCode != 200 {
		t.Errorf("at the listener that stays: %d", resp.StatusCode)
	}
}

// TestManyReloads guards against losing or doubling anything while configurations follow each other ten times a second and
// faster: pools are replaced, boxes move, limits change.
func TestManyReloads(t *testing.T) {
	s := newSite(t)
	slow := func(c *fake.BoxConfig) { c.Service = 5 * time.Millisecond }
	a, b, c := s.box("a", slow), s.box("b", slow), s.box("c", slow)
	s.pool("orders", a, b)
	s.pool("meters", c)
	s.start()
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	crowds := make([]*fake.Crowd, 2)
	for i, name := range []string{"orders", "meters"} {
		all.Go(func() {
			crowds[i] = fake.RunClients(ctx, fake.ClientConfig{
				Name: name, Addr: s.addr, Host: name + ".example.org", Rate: 100, Tries: 2, Ledger: s.ledger, Seed: uint64(i),
				Backoff: 10 * time.Millisecond, Honour: true,
				Classes: []fake.ClassLoad{
					{Name: "check", Effect: fake.Safe, Share: 1, Aim: 5 * time.Second, Deadline: 8 * time.Second, Worth: 1},
					{Name: "book", Effect: fake.Unsafe, Share: 1, Aim: 5 * time.Second, Deadline: 8 * time.Second, Worth: 1},
					{Name: "order", Effect: fake.Keyed, Share: 1, Aim: 5 * time.Second, Deadline: 8 * time.Second, Worth: 1},
				},
			})
		})
	}
	for n := range 30 {
		next := s.copyConfig()
		next.Pools[0].Settings.Config.MaxRetryAfter = time.Duration(n%3+1) * time.Second // replaces the pool
		next.Pools[1].Limits.Weight = float64(n%4 + 1)
		if n%2 == 0 {
			next.Pools[0].StaticEndpoints, next.Pools[1].StaticEndpoints = listed(a), listed(b, c)
		}
		if err := s.g.Apply(next); err != nil {
			t.Error(err)
		}
		time.Sleep(30 * time.Millisecond) // between reloads; nothing waits for it
	}
	cancel()
	all.Wait()
	waitFor(t, "the old pools to be gone", func() bool { return s.g.Load().Draining == 0 })
	for _, broken := range s.ledger.Check(fake.Slack{Answer: 2 * time.Second, After: 2 * time.Second, Grace: time.Second}).Broken {
		t.Error(broken)
	}
	for i, crowd := range crowds {
		if crowd.Share() < 0.9 {
			t.Errorf("crowd %d: %.2f served; statuses %v", i, crowd.Share(), crowd.Status)
		}
	}
	if l := s.g.Load(); l.Requests != 0 {
		t.Errorf("%d requests are left", l.Requests)
	}
}

// TestCloseAnswers guards against leaving a client without an answer where a pool ends before its requests have.
func TestCloseAnswers(t *testing.T) {
	s := newSite(t)
	stuck := s.box("stuck", nil)
	stuck.SetFault(fake.Fault{Kind: fake.Silent, Share: 1})
	s.pool("orders", stuck)
	s.start()
	c := s.dial()
	io.WriteString(c, s.get("orders.example.org", "/check"))
	waitFor(t, "it to be open", func() bool { return s.g.Load().Requests == 1 })
	s.g.table.Load().pools["orders"].pool.Close()
	if resp, _ := c.ask(t, ""); resp.StatusCode != 502 {
		t.Errorf("answered %d, want 502", resp.StatusCode)
	}
	if resp, _ := s.dial().ask(t, s.get("orders.example.org", "/check")); resp.StatusCode != 503 {
		t.Errorf("one that came after: %d, want 503", resp.StatusCode)
	}
}

// TestClaims guards against keeping more for the pools than there is.
func TestClaims(t *testing.T) {
	for _, n := range []int{1, 2, 10, 100} {
		c := Config{MemoryMB: 64, Descriptors: 1024}
		for i := range n {
			c.Pools = append(c.Pools, Pool{Name: fmt.Sprint(i), Limits: Limits{Weight: float64(i%7 + 1), OpenRequests: int64(i % 3)}})
		}
		var open, bodies, descriptors, conns int64
		for _, p := range c.Pools {
			cl := c.quotasFor(p)
			open += cl.admission.OpenRequests.Reserved
			bodies += cl.admission.BodyBytes.Reserved
			descriptors += cl.descriptors.Reserved
			conns += cl.connections.Reserved
			if p.Limits.OpenRequests > 0 && cl.admission.OpenRequests.Limit != p.Limits.OpenRequests {
				t.Errorf("the most of %d became %d", p.Limits.OpenRequests, cl.admission.OpenRequests.Limit)
			}
		}
		if conns+c.unassignedClaim().Reserved > 453 || open > 453/2 || bodies > 4<<20 || descriptors > 555/2 {
			t.Errorf("%d pools: kept are %d open, %d bytes, %d descriptors, %d connections", n, open, bodies, descriptors, conns)
		}
	}
}

// TestGivenUpBeforeTheKill guards against requests that are taken and find no answer before the process is killed: every server
// hangs, and the deadlines are longer than the platform waits. A pool that a reload has just retired owes its answers, too.
func TestGivenUpBeforeTheKill(t *testing.T) {
	t.Run("in force", func(t *testing.T) { givenUp(t, false) })
	t.Run("retired", func(t *testing.T) { givenUp(t, true) })
}

func givenUp(t *testing.T, retired bool) {
	s := newSite(t)
	s.cfg.MaxDrain = 300 * time.Millisecond
	hangs := s.box("hangs", func(c *fake.BoxConfig) { c.Cores = 100 })
	hangs.SetFault(fake.Fault{Kind: fake.Silent, Share: 1})
	s.pool("orders", hangs)
	s.pool("meters", s.box("b", nil))
	s.start()
	type answered struct {
		status int
		err    error
	}
	asked := map[string]chan answered{}
	for name, method := range map[string]string{"check": "GET", "book": "POST"} {
		c, got := s.dial(), make(chan answered, 1)
		asked[name] = got
		io.WriteString(c, s.sent(method, "orders.example.org", "/"+name, name, map[string]string{"POST": "Content-Length: 0\r\n"}[method]))
		go func() {
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil {
				got <- answered{0, err}
				return
			}
			_, err = io.ReadAll(resp.Body)
			got <- answered{resp.StatusCode, err}
		}()
	}
	waitFor(t, "both to be taken", func() bool { return s.g.Load().Requests == len(asked) })
	if retired {
		next := s.copyConfig()
		next.Pools, next.Routes = next.Pools[1:], next.Routes[1:]
		if err := s.g.Apply(next); err != nil {
			t.Fatal(err)
		}
	}
	began := time.Now()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.end()
	}()
	for name, got := range asked {
		a := <-got
		if a.err != nil || a.status != http.StatusBadGateway {
			t.Errorf("%s: answered %d, %v; want a failure", name, a.status, a.err)
		}
	}
	<-ended
	if took, most := time.Since(began), acceptWindow+s.cfg.MaxDrain+drainGrace+time.Second; took > most {
		t.Errorf("ended after %v, want %v at most", took, most)
	}
}
