package sitelink

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"sorrelrudder/internal/fake"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/siteheader"
	"sorrelrudder/internal/spillover"
)

// TestForwardAllClasses guards against a class whose requests are not forwarded: a site without backends has requests of every class served
// at the peer, and the peer still serves its own clients.
func TestForwardAllClasses(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	for _, class := range []string{"check", "order", "book"} {
		p.untilServed(t, class)
	}
	if status := p.send(t, p.far.addr("farm"), "check", "own", "", time.Second); status != 200 {
		t.Errorf("client of the remote site got status %d, want 200", status)
	}
	p.checkRecorder(t)
}

// TestKeyedClassOfOneSite guards against double execution of a keyed class that the sites do not deduplicate together. If a request of this
// class were forwarded, the client's retry with the same key could be executed at the local site as well. The remote site rejects a
// forwarded request of this class.
func TestKeyedClassOfOneSite(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	p.untilServed(t, "order")
	for n := range 20 {
		key := fmt.Sprint("here-", n)
		if status := p.send(t, p.near.addr("farm"), "order-here", key, key, time.Second); status != 503 || p.recorder.ArrivalCount(key) > 0 {
			t.Fatalf("request of a class without shared deduplication got status %d and %d attempts, want status 503 and no attempt", status, p.recorder.ArrivalCount(key))
		}
	}
	r := siteheader.Request{TimeLeft: time.Second, StallTimeout: time.Second, Stamp: p.far.extension.now(), Pool: "farm", Class: "order-here", AttemptsAllowed: 1, Origin: "near", Path: []string{"near"}}
	text, err := r.String()
	if err != nil {
		t.Fatal(err)
	}
	if status := p.send(t, p.far.addr("sites"), "order-here", "forced", "forced", time.Second, siteheader.RequestField+": "+text); status != 403 {
		t.Errorf("peer that forwards the class got status %d, want 403", status)
	}
	p.checkRecorder(t)
}

// TestExecutionAtPeerIsReported guards against a rejected request of the process itself that counts as not executed although the remote site,
// to which it was forwarded, may have executed it.
func TestExecutionAtPeerIsReported(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	p.untilServed(t, "order")
	for _, b := range p.far.backends {
		b.SetFault(fake.Fault{Kind: fake.FaultReset, Fraction: 1})
	}
	n, id := 0, ""
	var response httpmsg.InternalResponse
	waitFor(t, "a request to be executed at the remote site", func() bool {
		n++
		id = fmt.Sprint("own-", n)
		p.recorder.RecordSent(p.recorder.BeginOperation(fake.IdempotentByKey), id, time.Second)
		var err error
		response, err = p.near.gw.Do(t.Context(), "farm", &httpmsg.Request{
			Method: http.MethodPost, URI: "/order/" + id, Path: "/order/" + id, Host: "farm",
			Header: http.Header{"X-Request-Id": {id}, "X-Timeout-Ms": {"1000"}, "Idempotency-Key": {id}},
		})
		if err != nil {
			t.Fatal(err)
		}
		return p.recorder.ArrivalCount(id) > 0
	})
	if response.Status == http.StatusOK || !response.MayHaveExecuted {
		t.Errorf("request %s, executed at the remote site without a response: status %d, MayHaveExecuted %t, want a failure and true", id, response.Status, response.MayHaveExecuted)
	}
}

// TestDeadlineAtPeer guards the response to a client whose deadline passes while its request is at the remote site. It also guards against
// a late response that is delivered for another request.
func TestDeadlineAtPeer(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	p.untilServed(t, "book")
	for _, b := range p.far.backends {
		b.SetFault(fake.Fault{Kind: fake.FaultDelay, Fraction: 1, Delay: 500 * time.Millisecond})
	}
	for n := range 5 {
		start := time.Now()
		id := fmt.Sprint("late-", n)
		status := p.send(t, p.near.addr("farm"), "book", id, "", 200*time.Millisecond)
		if elapsed := time.Since(start); elapsed > 450*time.Millisecond {
			t.Errorf("the client got its response after %v, want at most 450 ms at a timeout of 200 ms", elapsed)
		}
		if p.recorder.ArrivalCount(id) > 0 && status != 502 {
			t.Errorf("a booking that may have been executed got status %d, want 502", status)
		}
	}
	for _, b := range p.far.backends {
		b.SetFault(fake.Fault{})
	}
	p.untilServed(t, "check")
	p.checkRecorder(t)
}

// TestLinkStalls guards against lost requests and double execution on a link that stalls after the last byte of a request. An order may
// have been executed at the remote site; it must be failed or rejected long before the client's deadline.
func TestLinkStalls(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	p.untilServed(t, "check")
	p.untilServed(t, "book")
	for _, b := range p.far.backends {
		b.SetFault(fake.Fault{Kind: fake.FaultDelay, Fraction: 1, Delay: 1500 * time.Millisecond})
	}
	var clients sync.WaitGroup
	var arrived sync.WaitGroup
	for _, class := range []string{"check", "order", "book"} {
		arrived.Add(1)
		clients.Go(func() {
			for n := 0; ; n++ { // requests that are not forwarded are rejected immediately
				id, key := fmt.Sprintf("stalled-%s-%d", class, n), ""
				if class == "order" {
					key = id
				}
				observed := make(chan struct{})
				go func() {
					defer close(observed)
					for p.recorder.ArrivalCount(id) == 0 && !p.recorder.HasResponse(id) {
						time.Sleep(time.Millisecond)
					}
					if p.recorder.ArrivalCount(id) > 0 {
						arrived.Done()
					}
				}()
				start := time.Now()
				status := p.send(t, p.near.addr("farm"), class, id, key, 3*time.Second)
				<-observed
				if p.recorder.ArrivalCount(id) == 0 && n < 1000 {
					continue
				}
				if elapsed := time.Since(start); elapsed > time.Second {
					t.Errorf("%s: got status %d only after %v, want at most 1 s", class, status, elapsed)
				}
				if class == "book" && status != 502 || status == 200 {
					t.Errorf("%s that may have been executed got status %d, want 502 for a booking and no 200 for any class", class, status)
				}
				return
			}
		})
	}
	arrived.Wait()
	p.link.SetStalled(true)
	for n := 0; n < 20 && p.state() == spillover.Open; n++ { // the stalled link delays these requests and delivers them later
		clients.Go(func() {
			status := p.send(t, p.near.addr("farm"), "order", fmt.Sprintf("held-%d", n), fmt.Sprintf("held-%d", n), 3*time.Second)
			if status == 200 {
				t.Errorf("order delayed by the stalled link got status %d, want an error", status)
			}
		})
	}
	clients.Wait()
	if p.state() == spillover.Open {
		t.Error("link still open after the stall")
	}
	if status := p.send(t, p.near.addr("farm"), "check", "after", "", time.Second); status != 503 {
		t.Errorf("request during the stall got status %d, want an immediate 503", status)
	}
	for _, b := range p.far.backends {
		b.SetFault(fake.Fault{})
	}
	p.link.SetStalled(false)
	p.awaitOpen(t)
	p.untilServed(t, "order")
	for n := range 20 {
		if p.recorder.ArrivalCount(fmt.Sprintf("held-%d", n)) > 0 {
			t.Errorf("held-%d was executed at the remote site after the local site had given it up", n)
		}
	}
	p.checkRecorder(t)
}

// TestPeerDrains guards against forwarding requests to a remote gateway that is draining.
func TestPeerDrains(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	p.untilServed(t, "check")
	p.far.stop()
	waitFor(t, "the link to close", func() bool { return p.state() != spillover.Open })
	if status := p.send(t, p.near.addr("farm"), "order", "late", "late", time.Second); status != 503 {
		t.Errorf("order while the peer drains got status %d, want 503", status)
	}
	p.checkRecorder(t)
}

// TestPeerRestarts guards against a link that stays closed after the remote gateway was killed with requests in flight and another process
// has started at the same address.
func TestPeerRestarts(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	p.untilServed(t, "check")
	sitesAddress := p.far.addr("sites")
	p.far.gw.Close() // without draining, like a killed process, except that connections are closed
	p.far.stop()
	<-p.far.stopped
	waitFor(t, "the link to close", func() bool { return p.state() != spillover.Open })
	p.far = startSite(t, "far", "near", freeAddress(t), sitesAddress, p.far.backends, nil)
	p.awaitOpen(t)
	p.untilServed(t, "book")
	p.checkRecorder(t)
}

// TestSilentPeer guards against waiting for a peer that accepts connections and never reads. Nothing is forwarded, and clients are rejected
// without delay.
func TestSilentPeer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var accepting sync.WaitGroup
	accepting.Go(func() {
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
	defer accepting.Wait()
	defer ln.Close()
	p := &pair{recorder: fake.NewEffectRecorder()}
	p.near = startSite(t, "near", "far", ln.Addr().String(), freeAddress(t), nil, nil)
	for n := range 20 {
		start := time.Now()
		if status := p.send(t, p.near.addr("farm"), "check", fmt.Sprint("silent-", n), "", 3*time.Second); status != 503 {
			t.Fatalf("request with a silent peer got status %d, want 503", status)
		}
		if elapsed := time.Since(start); elapsed > time.Second {
			t.Fatalf("request with a silent peer was rejected only after %v, want at most 1 s", elapsed)
		}
	}
	if p.state() == spillover.Open {
		t.Error("link to a peer that never responds is open")
	}
	p.checkRecorder(t)
}

// TestIdleConnectionsAtListener guards against idle connections that exhaust the inter-site listener: the peer must still be served.
func TestIdleConnectionsAtListener(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	for range 1000 {
		c, err := net.Dial("tcp", p.far.addr("sites"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	p.untilServed(t, "order")
	p.checkRecorder(t)
}

// TestForwardedOnce guards against requests that loop between sites: a site without capacity rejects forwarded requests.
func TestForwardedOnce(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	p.untilServed(t, "check")
	for _, b := range p.far.backends {
		b.Drain(true)
	}
	for i := range 20 {
		if status := p.send(t, p.near.addr("farm"), "check", fmt.Sprintf("full-%d", i), "", time.Second); status != 503 {
			t.Fatalf("request without capacity at either site got status %d, want 503", status)
		}
	}
	if n := p.recorder.Check(fake.DefaultTolerance).Arrivals; n > 200 {
		t.Errorf("the backends received %d attempts, want at most 200", n)
	}
	p.checkRecorder(t)
}

// TestInvalidHeaderFields guards against forged and malformed fields: the request is not executed, and other requests are still served.
func TestInvalidHeaderFields(t *testing.T) {
	p := startPair(t, 1, [2]*TLS{})
	field := func(change func(*siteheader.Request)) string {
		r := siteheader.Request{
			TimeLeft: time.Second, StallTimeout: time.Second, Stamp: p.far.extension.now(), Pool: "farm", Class: "check", AttemptsAllowed: 1, Origin: "near", Path: []string{"near"},
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
		"good":                          {plain, 200},
		"none":                          {"X-None: 1", 400},
		"version":                       {strings.Replace(plain, "v=1", "v=9", 1), 505},
		"negative time":                 {strings.Replace(plain, "left=1000000", "left=-5", 1), 400},
		"huge time":                     {strings.Replace(plain, "left=1000000", "left=999999999999999", 1), 400},
		"attempts":                      {field(func(r *siteheader.Request) { r.AttemptsMade = 4000 }), 400},
		"more executions than attempts": {field(func(r *siteheader.Request) { r.Executions = []siteheader.Execution{{DedupRemaining: time.Second}} }), 400},
		"origin is not the peer":        {field(func(r *siteheader.Request) { r.Origin, r.Path = "else", []string{"else"} }), 403},
		"forwarded before":              {field(func(r *siteheader.Request) { r.Path = []string{"near", "else"} }), 508},
		"origin is the receiver":        {field(func(r *siteheader.Request) { r.Origin, r.Path = "far", []string{"far"} }), 508},
		"delayed past the deadline":     {field(func(r *siteheader.Request) { r.Stamp -= 1500 * time.Millisecond }), 503},
		"delayed past the stall timeout": {field(func(r *siteheader.Request) {
			r.Stamp, r.StallTimeout = r.Stamp-500*time.Millisecond, 400*time.Millisecond
		}), 503},
		"unknown pool": {field(func(r *siteheader.Request) { r.Pool = "none" }), 404},
		"not idempotent, may have been executed": {field(func(r *siteheader.Request) {
			r.Class, r.AttemptsMade, r.Executions = "book", 1, []siteheader.Execution{{DedupRemaining: time.Minute}}
		}), 400},
		"no attempt left": {strings.Replace(plain, "may=1", "may=0", 1), 400},
	} {
		class := "check"
		if strings.Contains(c.field, `"book"`) {
			class = "book"
		}
		status := p.send(t, p.far.addr("sites"), class, strings.ReplaceAll(name, " ", "-"), "", time.Second, c.field)
		if status != c.want {
			t.Errorf("%s: got status %d, want %d", name, status, c.want)
		}
	}
	// The listener for clients ignores the field.
	if status := p.send(t, p.far.addr("farm"), "check", "client", "", time.Second, strings.Replace(plain, `"check"`, `"book"`, 1)); status != 200 {
		t.Errorf("client that sends the field got status %d, want 200", status)
	}
	p.checkRecorder(t)
}

// TestNotAPeer guards the inter-site listener against clients that are not peers.
func TestNotAPeer(t *testing.T) {
	p := startPair(t, 1, [2]*TLS{})
	p.far.extension.cfg.Peers[0].SourceAddresses = []netip.Addr{netip.MustParseAddr("127.9.9.9")}
	if status := p.send(t, p.far.addr("sites"), "check", "x", "", time.Second); status != 403 {
		t.Errorf("client that is not a peer got status %d, want 403", status)
	}
}
