package sitelink

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/fake"
	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/settings"
	"sorrelrudder/internal/siteheader"
	"sorrelrudder/internal/spillover"
	"sorrelrudder/policy"
)

const testTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// site is one site on the loopback interface: a gateway with one pool, "farm", and its backends.
type site struct {
	name      string
	extension *Extension
	gw        *gateway.Gateway
	backends  []*fake.Backend
	stopped   chan struct{}
	stop      context.CancelFunc
}

func (s *site) addr(listener string) string { return s.gw.ListenerAddr(listener).String() }

// testSettings returns the settings of the tests' pool. The latency objective is so long that no request is rejected for being late.
func testSettings(zone string) settings.Settings {
	class := func(name string, e policy.Idempotency) policy.Class {
		return policy.Class{Name: name, Idempotency: e, DedupWindow: time.Minute, LatencyObjective: 2 * time.Second, Deadline: 3 * time.Second, PriorityWeight: 1}
	}
	return settings.Settings{LoadReportFields: []string{"inflight", "queue"}, Config: policy.Config{
		InstanceCount: 1, Zone: zone, MaxAttempts: 3, CancellationAllowed: true, HealthChecksAllowed: true, RetryAfterHonored: true, MaxRetryAfter: time.Second,
		DialTimeout: time.Second, ConnIdle: 5 * time.Second, TimerResolution: time.Millisecond, InlineLoadReports: true, PollInterval: 10 * time.Second,
		SlowStartMinCapacity: 1, HealthCheckCost: 0.05, Classes: []policy.Class{class("check", policy.Idempotent), class("order", policy.IdempotentByKey), class("order-here", policy.IdempotentByKey), class("book", policy.NonIdempotent)},
	}}
}

// startSite starts a site whose peer is at peerAddress, with the given backends. Its link forwards every rejected request.
func startSite(t *testing.T, name, peer, peerAddress, sitesAddress string, backends []*fake.Backend, files *TLS) *site {
	t.Helper()
	s := &site{name: name, backends: backends, stopped: make(chan struct{})}
	set := testSettings(name)
	p := Peer{Name: peer, Address: peerAddress, Subject: peer}
	if files == nil {
		p.SourceAddresses = []netip.Addr{netip.MustParseAddr("127.0.0.1")}
	}
	cfg := Config{Site: name, Peers: []Peer{p}, TLS: files, Pools: map[string]Pool{"farm": {
		Settings: set, Peer: peer, SharedDedupClasses: []string{"order"},
		Spillover: spillover.Config{
			HealthCheckInterval: 20 * time.Millisecond, MaxHealthCheckInterval: 50 * time.Millisecond, HealthyThreshold: 2, StallTimeout: time.Second, Window: 20 * time.Millisecond,
			StartRatio: 0.01, StopRatio: 0.001, MaxForwardedRatio: 1,
		},
		Grant: spillover.GrantConfig{Window: 50 * time.Millisecond, Initial: 16, Max: 64, MaxRejectedRatio: 0.02},
	}}}
	if err := cfg.Validate(); err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	var err error
	if s.extension, err = New(cfg, log); err != nil {
		t.Fatal(err)
	}
	var hosts []discovery.Endpoint
	for _, b := range backends {
		e := b.Endpoint()
		hosts = append(hosts, discovery.Endpoint{ID: e.Host, Address: e.Address, Zone: name, Health: "active", Weight: 1})
	}
	gatewayConfig := gateway.Config{
		Name: name, MemoryMB: 64, Descriptors: 512,
		Listeners: []gateway.Listener{{Name: "farm", Address: "127.0.0.1:0"}, {Name: "sites", Address: sitesAddress, InterSite: true}},
		Pools:     []gateway.Pool{{Name: "farm", Settings: set, StaticEndpoints: hosts, Limits: gateway.Limits{Weight: 1}}},
	}
	if s.gw, err = gateway.NewWithOptions(gatewayConfig, log, gateway.Options{Extension: s.extension}); err != nil {
		t.Fatal(err)
	}
	if err := s.extension.Start(s.gw); err != nil {
		t.Fatal(err)
	}
	if err := s.gw.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() {
		defer close(s.stopped)
		if err := s.gw.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-s.stopped
	})
	return s
}

// freeAddress returns an address for a listener that is opened later. Its host is one that no other socket uses, since outgoing connections on
// loopback come from 127.0.0.1: they would take the port meanwhile.
func freeAddress(t *testing.T) string {
	t.Helper()
	host := lastFreeHost.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()>>8%64, os.Getpid()%256, 1+host%254))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// lastFreeHost counts the addresses that freeAddress has returned.
var lastFreeHost atomic.Uint32

var idempotencies = map[string]fake.Idempotency{"check": fake.Idempotent, "order": fake.IdempotentByKey, "order-here": fake.IdempotentByKey, "book": fake.NonIdempotent}

func startBackend(t *testing.T, name string, recorder *fake.EffectRecorder, deduplicator *fake.Deduplicator) *fake.Backend {
	t.Helper()
	b, err := fake.StartBackend(fake.BackendConfig{Name: name, Cores: 50, QueueLimit: 100, Idempotency: idempotencies, Recorder: recorder, Deduplicator: deduplicator})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

// pair consists of two sites and a link from near to far.
type pair struct {
	near, far *site
	link      *fake.Proxy
	recorder  *fake.EffectRecorder
}

func startPair(t *testing.T, nearBackends int, files [2]*TLS) *pair {
	t.Helper()
	p := &pair{recorder: fake.NewEffectRecorder()}
	deduplicator := fake.NewDeduplicator(time.Minute)
	var near, far []*fake.Backend
	for i := range nearBackends {
		near = append(near, startBackend(t, fmt.Sprintf("near-%d", i), p.recorder, deduplicator))
	}
	far = append(far, startBackend(t, "far-0", p.recorder, deduplicator), startBackend(t, "far-1", p.recorder, deduplicator))
	sitesAddresses := [2]string{freeAddress(t), freeAddress(t)}
	var err error
	if p.link, err = fake.StartProxy(sitesAddresses[1]); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.link.Close)
	p.far = startSite(t, "far", "near", sitesAddresses[0], sitesAddresses[1], far, files[1])
	p.near = startSite(t, "near", "far", p.link.Addr(), sitesAddresses[0], near, files[0])
	p.awaitOpen(t)
	return p
}

func (p *pair) state() spillover.State {
	link := p.near.extension.links["farm"]
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.spillover.State()
}

func (p *pair) awaitOpen(t *testing.T) {
	t.Helper()
	waitFor(t, "the link to open", func() bool { return p.state() == spillover.Open })
}

// send sends one request to an address and returns the status of the response.
func (p *pair) send(t *testing.T, addr, class, id, key string, timeout time.Duration, more ...string) int {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	method, rest := "POST", "Content-Length: 2\r\n\r\nok"
	if class == "check" {
		method, rest = "GET", "\r\n"
	}
	text := fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: h\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\n", method, class, id, id, timeout.Milliseconds())
	if key != "" {
		text += "Idempotency-Key: " + key + "\r\n"
	}
	for _, m := range more {
		text += m + "\r\n"
	}
	p.recorder.RecordSent(p.recorder.BeginOperation(idempotencies[class]), id, timeout)
	io.WriteString(c, text+rest)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("request %s: read response: %v", id, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if addr == p.near.addr("farm") && resp.Header.Get(siteheader.ResponseField) != "" {
		t.Errorf("%s: the client received the response field %s", id, resp.Header.Get(siteheader.ResponseField))
	}
	p.recorder.RecordResponse(id, resp.StatusCode, strings.HasPrefix(string(body), fake.ResponseBody(class, id, key)))
	return resp.StatusCode
}

// untilServed sends requests until the peer has served one. The first requests only establish that the site lacks capacity.
func (p *pair) untilServed(t *testing.T, class string) {
	t.Helper()
	n := 0
	waitFor(t, "a request to be forwarded and served", func() bool {
		n++
		key := ""
		if class == "order" {
			key = fmt.Sprintf("warm-%d", n)
		}
		status := p.send(t, p.near.addr("farm"), class, fmt.Sprintf("warm-%s-%d", class, n), key, time.Second)
		return status == 200
	})
}

func (p *pair) checkRecorder(t *testing.T) {
	t.Helper()
	for _, violation := range p.recorder.Check(fake.Tolerance{LateResponse: 500 * time.Millisecond, AttemptAfterResponse: 500 * time.Millisecond, AfterDrainGrace: time.Second}).Violations {
		t.Error(violation)
	}
}
