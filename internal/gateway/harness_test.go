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

// testTimeout bounds how long a test waits for an expected event. No test asserts that an event takes less time.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var idempotencies = map[string]fake.Idempotency{"check": fake.Idempotent, "order": fake.IdempotentByKey, "book": fake.NonIdempotent}

// testSettings returns settings with one class of each idempotency. Their deadlines are so long that no request times out in a test.
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

// testbed is a gateway with fake backends for its pools.
type testbed struct {
	t        *testing.T
	recorder *fake.EffectRecorder
	cfg      Config
	g        *Gateway
	addr     string
	shutDown func() // shuts the gateway down as on SIGTERM, and returns once Run has returned
}

func newTestbed(t *testing.T) *testbed {
	return &testbed{t: t, recorder: fake.NewEffectRecorder(), cfg: Config{
		Name: "test", MemoryMB: 64, Descriptors: 256, Listeners: []Listener{{Name: "farm", Address: "127.0.0.1:0"}},
	}}
}

// backend starts a backend without service time. change, which may be nil, adjusts its configuration.
func (s *testbed) backend(name string, change func(*fake.BackendConfig)) *fake.Backend {
	s.t.Helper()
	cfg := fake.BackendConfig{Name: name, Cores: 8, QueueLimit: 100, Idempotency: idempotencies, Recorder: s.recorder}
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

// pool adds a pool with a static endpoint list, and a route to it for the host NAME.example.org. It returns the pool's configuration, which
// may be changed before start.
func (s *testbed) pool(name string, backends ...*fake.Backend) *Pool {
	s.cfg.Pools = append(s.cfg.Pools, Pool{
		Name: name, Settings: testSettings(), StaticEndpoints: endpointsOf(backends...), Limits: Limits{Weight: 1}, Seed: 1,
	})
	s.cfg.Routes = append(s.cfg.Routes, route.Route{Name: name, Hosts: []string{name + ".example.org"}, Path: "/", Pool: name})
	return &s.cfg.Pools[len(s.cfg.Pools)-1]
}

// copyConfig returns a copy of s.cfg that may be changed while s.cfg is in force.
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
	s.shutDown = func() {
		cancel()
		<-ended
	}
	s.t.Cleanup(s.shutDown)
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
	c.SetDeadline(time.Now().Add(testTimeout))
	return &client{c, bufio.NewReader(c)}
}

// response is the status and the header of a response whose body has been read. Status 0 means that the server closed the connection
// without a response.
type response struct {
	StatusCode int
	Header     http.Header
}

// write writes a request. It ignores errors: if the server has closed the connection, reading the response fails.
func (c *client) write(text string) { _, _ = io.WriteString(c, text) }

// roundTrip writes text, which may be empty, and reads one response with its body. It fails the test if neither a response nor the
// end of the connection arrives in time.
func (c *client) roundTrip(t *testing.T, text string) (response, string) {
	t.Helper()
	c.write(text)
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		if os.IsTimeout(err) {
			t.Fatalf("neither a response nor a close of the connection after request %.80q", text)
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

// recordedRequest records a request as sent and returns its text.
func (s *testbed) recordedRequest(method, host, path, id, more string) string {
	effect := idempotencies[strings.Split(path, "/")[1]]
	s.recorder.RecordSent(s.recorder.BeginOperation(effect), id, testTimeout)
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-ID: %s\r\nX-Timeout-Ms: 10000\r\n%s\r\n", method, path, host, id, more)
}

func (s *testbed) get(host, path string) string {
	return s.recordedRequest("GET", host, path, fmt.Sprint("id", lastID.Add(1)), "")
}

func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// isRetryableRejection reports whether a response says that the request was not executed and when the client may retry.
func isRetryableRejection(resp response) bool {
	return (resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable) && resp.Header.Get("Retry-After") != ""
}

func (s *testbed) checkEffects() {
	s.t.Helper()
	for _, b := range s.recorder.Check(fake.DefaultTolerance).Violations {
		// These tests do not record responses, so only violations of rule 2, which concerns effects, are checked.
		if strings.HasPrefix(b, "rule 2") {
			s.t.Error(b)
		}
	}
}
