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

var effects = map[string]fake.Idempotency{"check": fake.Idempotent, "order": fake.IdempotentByKey, "book": fake.NonIdempotent}

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

// testbed is backends for some pools, and a gateway for them.
type testbed struct {
	t      *testing.T
	ledger *fake.EffectRecorder
	cfg    Config
	g      *Gateway
	addr   string
	end    func() // as SIGTERM does, and returns once the process has ended
}

func newTestbed(t *testing.T) *testbed {
	return &testbed{t: t, ledger: fake.NewEffectRecorder(), cfg: Config{
		Name: "test", MemoryMB: 64, Descriptors: 256, Listeners: []Listener{{Name: "farm", Address: "127.0.0.1:0"}},
	}}
}

// backend starts a backend that needs no time.
func (s *testbed) backend(name string, change func(*fake.BackendConfig)) *fake.Backend {
	s.t.Helper()
	cfg := fake.BackendConfig{Name: name, Cores: 8, QueueLimit: 100, Idempotency: effects, Recorder: s.ledger}
	if change != nil {
		change(&cfg)
	}
	b, err := fake.StartBackend(cfg)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(b.Close)
	return b
}

func endpointsOf(backends ...*fake.Backend) []discovery.Endpoint {
	all := []discovery.Endpoint{}
	for _, b := range backends {
		e := b.Endpoint()
		all = append(all, discovery.Endpoint{ID: e.Host, Address: e.Address, Health: e.Health, Weight: 1})
	}
	return all
}

// pool is a pool with a list of its own, and its route by the host NAME.example.org.
func (s *testbed) pool(name string, backends ...*fake.Backend) *Pool {
	s.cfg.Pools = append(s.cfg.Pools, Pool{
		Name: name, Settings: testSettings(), StaticEndpoints: endpointsOf(backends...), Limits: Limits{Weight: 1}, Seed: 1,
	})
	s.cfg.Routes = append(s.cfg.Routes, route.Route{Name: name, Hosts: []string{name + ".example.org"}, Path: "/", Pool: name})
	return &s.cfg.Pools[len(s.cfg.Pools)-1]
}

// copyConfig is a configuration that may be changed while s.cfg is in force.
func (s *testbed) copyConfig() Config {
	c := s.cfg
	c.Pools = append([]Pool{}, c.Pools...)
	c.Routes = append([]route.Route{}, c.Routes...)
	c.Listeners = append([]Listener{}, c.Listeners...)
	return c
}

func (s *testbed) start() {
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
		if err := g.Run(ctx); err != nil {
			s.t.Error(err)
		}
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

func (s *testbed) dial() *client {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return &client{c, bufio.NewReader(c)}
}

// response is what a client needs of a response whose body has been read. Status 0: the connection was closed instead.
type response struct {
	StatusCode int
	Header     http.Header
}

// write writes a request. Where the server has closed the connection, reading the response tells.
func (c *client) write(text string) { _, _ = io.WriteString(c, text) }

// ask writes text, which may be empty, and reads a response with its body.
func (c *client) ask(t *testing.T, text string) (response, string) {
	t.Helper()
	c.write(text)
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		if os.IsTimeout(err) {
			t.Fatalf("neither an answer nor a close to %.80q", text)
		}
		return response{}, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{resp.StatusCode, resp.Header}, string(body)
}

var lastID atomic.Int64

// sent notes a request in the ledger and returns its text.
func (s *testbed) sent(method, host, path, id, more string) string {
	effect := effects[strings.Split(path, "/")[1]]
	s.ledger.RecordSent(s.ledger.BeginOperation(effect), id, patience)
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-ID: %s\r\nX-Timeout-Ms: 10000\r\n%s\r\n", method, path, host, id, more)
}

func (s *testbed) get(host, path string) string {
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

// isRetryableRejection reports whether a response says that asking again is harmless, and when.
func isRetryableRejection(resp response) bool {
	return (resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable) && resp.Header.Get("Retry-After") != ""
}

func (s *testbed) checkEffects() {
	s.t.Helper()
	for _, b := range s.ledger.Check(fake.DefaultTolerance).Violations {
		// These tests don't note answers, so that only what concerns effects is looked at.
		if strings.HasPrefix(b, "rule 2") {
			s.t.Error(b)
		}
	}
}
