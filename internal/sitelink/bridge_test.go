package sitelink

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
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

// site is one site on loopback: a gateway of one pool, "farm", with boxes.
type site struct {
	name   string
	bridge *Bridge
	gw     *gateway.Gateway
	boxes  []*fake.Backend
	ended  chan struct{}
	stop   context.CancelFunc
}

func (s *site) addr(listener string) string { return s.gw.ListenerAddr(listener).String() }

// farm are the classes of the tests' pool, with an aim so far off that nothing is refused for being late.
func farm(zone string) settings.Settings {
	class := func(name string, e policy.Idempotency) policy.Class {
		return policy.Class{Name: name, Idempotency: e, DedupWindow: time.Minute, LatencyObjective: 2 * time.Second, Deadline: 3 * time.Second, PriorityWeight: 1}
	}
	return settings.Settings{LoadReportFields: []string{"inflight", "queue"}, Config: policy.Config{
		InstanceCount: 1, Zone: zone, MaxAttempts: 3, CancellationAllowed: true, HealthChecksAllowed: true, RetryAfterHonored: true, MaxRetryAfter: time.Second,
		DialTimeout: time.Second, ConnIdle: 5 * time.Second, TimerResolution: time.Millisecond, InlineLoadReports: true, PollInterval: 10 * time.Second,
		SlowStartMinCapacity: 1, HealthCheckCost: 0.05, Classes: []policy.Class{class("check", policy.Idempotent), class("order", policy.IdempotentByKey), class("order-here", policy.IdempotentByKey), class("book", policy.NonIdempotent)},
	}}
}

// startSite starts a site whose peer is at peerAt, with a list of boxes. The link spills whatever is denied.
func startSite(t *testing.T, name, peer, peerAt, hopAt string, boxes []*fake.Backend, files *TLS) *site {
	t.Helper()
	s := &site{name: name, boxes: boxes, ended: make(chan struct{})}
	set := farm(name)
	p := Peer{Name: peer, Address: peerAt, Subject: peer}
	if files == nil {
		p.From = []netip.Addr{netip.MustParseAddr("127.0.0.1")}
	}
	cfg := Config{Site: name, Peers: []Peer{p}, TLS: files, Pools: map[string]Pool{"farm": {
		Settings: set, To: peer, Reaches: []string{"order"},
		Spill: spillover.Config{
			HealthCheckInterval: 20 * time.Millisecond, MaxHealthCheckInterval: 50 * time.Millisecond, HealthyThreshold: 2, StallTimeout: time.Second, Window: 20 * time.Millisecond,
			StartRatio: 0.01, StopRatio: 0.001, MaxForwardedRatio: 1,
		},
		Grant: spillover.GrantConfig{Window: 50 * time.Millisecond, Initial: 16, Max: 64, MaxRejectedRatio: 0.02},
	}}}
	if err := cfg.Check(); err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	var err error
	if s.bridge, err = New(cfg, log); err != nil {
		t.Fatal(err)
	}
	var hosts []discovery.Endpoint
	for _, b := range boxes {
		e := b.Endpoint()
		hosts = append(hosts, discovery.Endpoint{ID: e.Host, Address: e.Address, Zone: name, Health: "active", Weight: 1})
	}
	gcfg := gateway.Config{
		Name: name, MemoryMB: 64, Descriptors: 512,
		Listeners: []gateway.Listener{{Name: "farm", Address: "127.0.0.1:0"}, {Name: "sites", Address: hopAt, InterSite: true}},
		Pools:     []gateway.Pool{{Name: "farm", Settings: set, StaticEndpoints: hosts, Limits: gateway.Limits{Weight: 1}}},
	}
	if s.gw, err = gateway.NewWithOptions(gcfg, log, gateway.Options{Extension: s.bridge}); err != nil {
		t.Fatal(err)
	}
	if err := s.bridge.Start(s.gw); err != nil {
		t.Fatal(err)
	}
	if err := s.gw.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() {
		defer close(s.ended)
		if err := s.gw.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-s.ended
	})
	return s
}

func free(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

var effects = map[string]fake.Idempotency{"check": fake.Idempotent, "order": fake.IdempotentByKey, "order-here": fake.IdempotentByKey, "book": fake.NonIdempotent}

func box(t *testing.T, name string, l *fake.EffectRecorder, r *fake.Deduplicator) *fake.Backend {
	t.Helper()
	b, err := fake.StartBackend(fake.BackendConfig{Name: name, Cores: 50, QueueLimit: 100, Idempotency: effects, Recorder: l, Deduplicator: r})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

// pair is two sites with a link from the first to the second.
type pair struct {
	near, far *site
	link      *fake.Proxy
	ledger    *fake.EffectRecorder
}

func startPair(t *testing.T, nearBoxes int, files [2]*TLS) *pair {
	t.Helper()
	p := &pair{ledger: fake.NewEffectRecorder()}
	repeats := fake.NewDeduplicator(time.Minute)
	var near, far []*fake.Backend
	for i := range nearBoxes {
		near = append(near, box(t, fmt.Sprintf("near-%d", i), p.ledger, repeats))
	}
	far = append(far, box(t, "far-0", p.ledger, repeats), box(t, "far-1", p.ledger, repeats))
	hops := [2]string{free(t), free(t)}
	var err error
	if p.link, err = fake.StartProxy(hops[1]); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.link.Close)
	p.far = startSite(t, "far", "near", hops[0], hops[1], far, files[1])
	p.near = startSite(t, "near", "far", p.link.Addr(), hops[0], near, files[0])
	p.awaitOpen(t)
	return p
}

func (p *pair) state() spillover.State {
	c := p.near.bridge.pools["farm"]
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spill.State()
}

func (p *pair) awaitOpen(t *testing.T) {
	t.Helper()
	waitFor(t, "the link to open", func() bool { return p.state() == spillover.Open })
}

// ask sends one request to an address and returns its status.
func (p *pair) ask(t *testing.T, addr, class, id, key string, timeout time.Duration, more ...string) int {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	method, tail := "POST", "Content-Length: 2\r\n\r\nok"
	if class == "check" {
		method, tail = "GET", "\r\n"
	}
	text := fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: h\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\n", method, class, id, id, timeout.Milliseconds())
	if key != "" {
		text += "Idempotency-Key: " + key + "\r\n"
	}
	for _, m := range more {
		text += m + "\r\n"
	}
	p.ledger.RecordSent(p.ledger.BeginOperation(effects[class]), id, timeout)
	io.WriteString(c, text+tail)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%s: %v", id, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if addr == p.near.addr("farm") && resp.Header.Get(siteheader.AnswerField) != "" {
		t.Errorf("%s: the client is told %s", id, resp.Header.Get(siteheader.AnswerField))
	}
	p.ledger.RecordResponse(id, resp.StatusCode, strings.HasPrefix(string(body), fake.ResponseBody(class, id, key)))
	return resp.StatusCode
}

// crossing asks until one request has crossed and been served: the first ones only show that the site is short.
func (p *pair) crossing(t *testing.T, class string) {
	t.Helper()
	n := 0
	waitFor(t, "a request to cross", func() bool {
		n++
		key := ""
		if class == "order" {
			key = fmt.Sprintf("warm-%d", n)
		}
		status := p.ask(t, p.near.addr("farm"), class, fmt.Sprintf("warm-%s-%d", class, n), key, time.Second)
		return status == 200
	})
}

func (p *pair) rules(t *testing.T) {
	t.Helper()
	for _, b := range p.ledger.Check(fake.Tolerance{LateResponse: 500 * time.Millisecond, AttemptAfterResponse: 500 * time.Millisecond, AfterDrainGrace: time.Second}).Violations {
		t.Error(b)
	}
}

// TestCross guards the whole: a site without a box has all classes served at the other, and what is served tells so.
func TestCross(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	for _, class := range []string{"check", "order", "book"} {
		p.crossing(t, class)
	}
	if status := p.ask(t, p.far.addr("farm"), "check", "own", "", time.Second); status != 200 {
		t.Errorf("the far site's own client got %d", status)
	}
	p.rules(t)
}

// TestKeysOfOneSite guards against a keyed request that crosses although its client's next try, with the same key, may run here:
// the sites do not drop its repeats together. What a peer sends of it all the same is not taken.
func TestKeysOfOneSite(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	p.crossing(t, "order")
	for n := range 20 {
		key := fmt.Sprint("here-", n)
		if status := p.ask(t, p.near.addr("farm"), "order-here", key, key, time.Second); status != 503 || p.ledger.ArrivalCount(key) > 0 {
			t.Fatalf("got %d, and %d attempts", status, p.ledger.ArrivalCount(key))
		}
	}
	r := siteheader.Request{Left: time.Second, Within: time.Second, Stamp: p.far.bridge.now(), Pool: "farm", Class: "order-here", May: 1, Origin: "near", Passed: []string{"near"}}
	text, err := r.String()
	if err != nil {
		t.Fatal(err)
	}
	if status := p.ask(t, p.far.addr("sites"), "order-here", "forced", "forced", time.Second, siteheader.RequestField+": "+text); status != 403 {
		t.Errorf("a peer that sends it got %d", status)
	}
	p.rules(t)
}

// TestTimeEndsOverThere guards the answer of a client whose time ends while its request is at the far site, and against an answer
// that comes back later being taken for another's.
func TestTimeEndsOverThere(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	p.crossing(t, "book")
	for _, b := range p.far.boxes {
		b.SetFault(fake.Fault{Kind: fake.FaultDelay, Fraction: 1, Delay: 500 * time.Millisecond})
	}
	for n := range 5 {
		from := time.Now()
		id := fmt.Sprint("late-", n)
		status := p.ask(t, p.near.addr("farm"), "book", id, "", 200*time.Millisecond)
		if took := time.Since(from); took > 450*time.Millisecond {
			t.Errorf("answered after %v of 200 ms", took)
		}
		if p.ledger.ArrivalCount(id) > 0 && status != 502 {
			t.Errorf("a booking that may have run was answered %d", status)
		}
	}
	for _, b := range p.far.boxes {
		b.SetFault(fake.Fault{})
	}
	p.crossing(t, "check")
	p.rules(t)
}

// TestLinkStalls guards against a request that is lost, or has two effects, to a link that stands still after its last byte: an
// order may have run there, and is failed or refused at once, long before its client's time is up.
func TestLinkStalls(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	p.crossing(t, "check")
	p.crossing(t, "book")
	for _, b := range p.far.boxes {
		b.SetFault(fake.Fault{Kind: fake.FaultDelay, Fraction: 1, Delay: 1500 * time.Millisecond})
	}
	var asking sync.WaitGroup
	var there sync.WaitGroup
	for _, class := range []string{"check", "order", "book"} {
		there.Add(1)
		asking.Go(func() {
			for n := 0; ; n++ { // what does not cross is refused at once
				id, key := fmt.Sprintf("stalled-%s-%d", class, n), ""
				if class == "order" {
					key = id
				}
				crossed := make(chan struct{})
				go func() {
					defer close(crossed)
					for p.ledger.ArrivalCount(id) == 0 && !p.ledger.HasResponse(id) {
						time.Sleep(time.Millisecond)
					}
					if p.ledger.ArrivalCount(id) > 0 {
						there.Done()
					}
				}()
				from := time.Now()
				status := p.ask(t, p.near.addr("farm"), class, id, key, 3*time.Second)
				<-crossed
				if p.ledger.ArrivalCount(id) == 0 && n < 1000 {
					continue
				}
				if took := time.Since(from); took > time.Second {
					t.Errorf("%s: answered %d only after %v", class, status, took)
				}
				if class == "book" && status != 502 || status == 200 {
					t.Errorf("%s that may have run was answered %d", class, status)
				}
				return
			}
		})
	}
	there.Wait()
	p.link.SetStalled(true)
	for n := 0; n < 20 && p.state() == spillover.Open; n++ { // the link holds these up, and delivers them later
		asking.Go(func() {
			status := p.ask(t, p.near.addr("farm"), "order", fmt.Sprintf("held-%d", n), fmt.Sprintf("held-%d", n), 3*time.Second)
			if status == 200 {
				t.Errorf("an order that the link held up was answered %d", status)
			}
		})
	}
	asking.Wait()
	if p.state() == spillover.Open {
		t.Error("the link counts as open")
	}
	if status := p.ask(t, p.near.addr("farm"), "check", "after", "", time.Second); status != 503 {
		t.Errorf("a request beside a stalled link got %d, want a refusal at once", status)
	}
	for _, b := range p.far.boxes {
		b.SetFault(fake.Fault{})
	}
	p.link.SetStalled(false)
	p.awaitOpen(t)
	p.crossing(t, "order")
	for n := range 20 {
		if p.ledger.ArrivalCount(fmt.Sprintf("held-%d", n)) > 0 {
			t.Errorf("held-%d went on at the far site after it had been given up here", n)
		}
	}
	p.rules(t)
}

// TestFarDrains guards against sending to a far gateway that is gone, and against keeping it for gone once it is back.
func TestFarDrains(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	p.crossing(t, "check")
	p.far.stop()
	waitFor(t, "the link to close", func() bool { return p.state() != spillover.Open })
	if status := p.ask(t, p.near.addr("farm"), "order", "late", "late", time.Second); status != 503 {
		t.Errorf("got %d, want a refusal", status)
	}
	p.rules(t)
}

// TestFarComesBack guards against a far gateway that is killed with requests in hand, and that stays forgotten once another process
// stands at its address.
func TestFarComesBack(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	p.crossing(t, "check")
	hopAt := p.far.addr("sites")
	p.far.gw.Close() // at once, like a process that dies, but for its connections' ends
	p.far.stop()
	<-p.far.ended
	waitFor(t, "the link to close", func() bool { return p.state() != spillover.Open })
	p.far = startSite(t, "far", "near", free(t), hopAt, p.far.boxes, nil)
	p.awaitOpen(t)
	p.crossing(t, "book")
	p.rules(t)
}

// TestSilentPeer guards against a peer that accepts and never reads: nothing crosses, and clients are refused at once.
func TestSilentPeer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var held sync.WaitGroup
	held.Go(func() {
		var all []net.Conn
		for {
			c, err := ln.Accept()
			if err != nil {
				for _, c := range all {
					c.Close()
				}
				return
			}
			all = append(all, c)
		}
	})
	defer held.Wait()
	defer ln.Close()
	p := &pair{ledger: fake.NewEffectRecorder()}
	p.near = startSite(t, "near", "far", ln.Addr().String(), free(t), nil, nil)
	for n := range 20 {
		from := time.Now()
		if status := p.ask(t, p.near.addr("farm"), "check", fmt.Sprint("silent-", n), "", 3*time.Second); status != 503 {
			t.Fatalf("got %d, want a refusal", status)
		}
		if took := time.Since(from); took > time.Second {
			t.Fatalf("refused only after %v", took)
		}
	}
	if p.state() == spillover.Open {
		t.Error("the link to a peer that says nothing counts as open")
	}
	p.rules(t)
}

// TestHogsAtSites guards against connections that are opened and left at the listener for other sites: the peer still crosses.
func TestHogsAtSites(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	for range 1000 {
		c, err := net.Dial("tcp", p.far.addr("sites"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	p.crossing(t, "order")
	p.rules(t)
}

// TestNoSecondHop guards against work that is passed to and fro: a site that has no room itself refuses what came across.
func TestNoSecondHop(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	p.crossing(t, "check")
	for _, b := range p.far.boxes {
		b.Drain(true)
	}
	for i := range 20 {
		if status := p.ask(t, p.near.addr("farm"), "check", fmt.Sprintf("full-%d", i), "", time.Second); status != 503 {
			t.Fatalf("got %d, want a refusal", status)
		}
	}
	if n := p.ledger.Check(fake.DefaultTolerance).Arrivals; n > 200 {
		t.Errorf("%d attempts", n)
	}
	p.rules(t)
}

// TestForgedFields guards against who is no peer, and against peers that lie: nothing runs, and the others go on.
func TestForgedFields(t *testing.T) {
	p := startPair(t, 1, [2]*TLS{})
	field := func(change func(*siteheader.Request)) string {
		r := siteheader.Request{
			Left: time.Second, Within: time.Second, Stamp: p.far.bridge.now(), Pool: "farm", Class: "check", May: 1, Origin: "near", Passed: []string{"near"},
		}
		change(&r)
		text, err := r.String()
		if err != nil {
			t.Fatal(err)
		}
		return siteheader.RequestField + ": " + text
	}
	plain := field(func(*siteheader.Request) {})
	for name, c := range map[string]struct {
		field string
		want  int
	}{
		"good":             {plain, 200},
		"none":             {"X-None: 1", 400},
		"version":          {strings.Replace(plain, "v=1", "v=9", 1), 505},
		"negative time":    {strings.Replace(plain, "left=1000000", "left=-5", 1), 400},
		"huge time":        {strings.Replace(plain, "left=1000000", "left=999999999999999", 1), 400},
		"attempts":         {field(func(r *siteheader.Request) { r.Used = 4000 }), 400},
		"more ran":         {field(func(r *siteheader.Request) { r.Ran = []siteheader.Prior{{For: time.Second}} }), 400},
		"another's origin": {field(func(r *siteheader.Request) { r.Origin, r.Passed = "else", []string{"else"} }), 403},
		"a second hop":     {field(func(r *siteheader.Request) { r.Passed = []string{"near", "else"} }), 508},
		"a loop":           {field(func(r *siteheader.Request) { r.Origin, r.Passed = "far", []string{"far"} }), 508},
		"held up":          {field(func(r *siteheader.Request) { r.Stamp -= 1500 * time.Millisecond }), 503},
		"given up":         {field(func(r *siteheader.Request) { r.Stamp, r.Within = r.Stamp-500*time.Millisecond, 400*time.Millisecond }), 503},
		"no such pool":     {field(func(r *siteheader.Request) { r.Pool = "none" }), 404},
		"unsafe, ran": {field(func(r *siteheader.Request) {
			r.Class, r.Used, r.Ran = "book", 1, []siteheader.Prior{{For: time.Minute}}
		}), 400},
		"no attempt left": {strings.Replace(plain, "may=1", "may=0", 1), 400},
	} {
		class := "check"
		if strings.Contains(c.field, `"book"`) {
			class = "book"
		}
		status := p.ask(t, p.far.addr("sites"), class, strings.ReplaceAll(name, " ", "-"), "", time.Second, c.field)
		if status != c.want {
			t.Errorf("%s: %d, want %d", name, status, c.want)
		}
	}
	// At a listener of clients the field means nothing.
	if status := p.ask(t, p.far.addr("farm"), "check", "client", "", time.Second, strings.Replace(plain, `"check"`, `"book"`, 1)); status != 200 {
		t.Errorf("a client with a field of the hop got %d", status)
	}
	p.rules(t)
}

// TestNotAPeer guards the listener for other sites against everyone else.
func TestNotAPeer(t *testing.T) {
	p := startPair(t, 1, [2]*TLS{})
	p.far.bridge.cfg.Peers[0].From = []netip.Addr{netip.MustParseAddr("127.9.9.9")}
	if status := p.ask(t, p.far.addr("sites"), "check", "x", "", time.Second); status != 403 {
		t.Errorf("got %d", status)
	}
}

// authority makes certificates.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	n    int64
}

func (a *authority) make(name string, ca bool) (der []byte, key *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	a.n++
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(a.n), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, IsCA: ca, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = tmpl, key
	}
	if der, err = x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, signer); err != nil {
		a.t.Fatal(err)
	}
	return der, key
}

func (a *authority) write(name, kind string, der []byte) string {
	a.t.Helper()
	file := filepath.Join(a.dir, name)
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return file
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	der, key := a.make("authority", true)
	var err error
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.key = key
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) files(name string) *TLS {
	der, key := a.make(name, false)
	text, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return &TLS{
		Certificate: a.write(name+".pem", "CERTIFICATE", der), Key: a.write(name+".key", "EC PRIVATE KEY", text),
		Authorities: filepath.Join(a.dir, "ca.pem"),
	}
}

// TestMutualTLS guards the hop with certificates on both sides: peers cross, and who has none of the authority's, or one of
// another name, is not let in.
func TestMutualTLS(t *testing.T) {
	a := newAuthority(t)
	p := startPair(t, 0, [2]*TLS{a.files("near"), a.files("far")})
	p.crossing(t, "order")
	p.crossing(t, "book")
	p.rules(t)

	stranger, err := tls.LoadX509KeyPair(a.files("stranger").Certificate, filepath.Join(a.dir, "stranger.key"))
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(a.cert)
	ask := func(certs ...tls.Certificate) (int, error) {
		c, err := tls.Dial("tcp", p.far.addr("sites"), &tls.Config{RootCAs: roots, ServerName: "far", Certificates: certs})
		if err != nil {
			return 0, err
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience))
		io.WriteString(c, "GET /hop HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, nil
	}
	if status, err := ask(stranger); err != nil || status != 403 {
		t.Errorf("a certificate of another name: %d, %v, want 403", status, err)
	}
	if status, err := ask(); err == nil {
		t.Errorf("no certificate: %d, want none to be let in", status)
	}
}
