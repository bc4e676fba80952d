package sitelink

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"sorrelrudder/internal/fake"
	"sorrelrudder/internal/siteheader"
	"sorrelrudder/internal/spillover"
)

// TestForwardAllClasses guards forwarding as a whole: a site without a backend has requests of all classes served at the other.
func TestForwardAllClasses(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	for _, class := range []string{"check", "order", "book"} {
		p.untilServed(t, class)
	}
	if status := p.send(t, p.far.addr("farm"), "check", "own", "", time.Second); status != 200 {
		t.Errorf("the far site's own client got %d", status)
	}
	p.checkRecorder(t)
}

// TestKeyedClassOfOneSite guards against a keyed request that is forwarded although its client's retry, with the same key, may run here:
// the sites do not drop its repeats together. What a peer sends of it all the same is not taken.
func TestKeyedClassOfOneSite(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	p.untilServed(t, "order")
	for n := range 20 {
		key := fmt.Sprint("here-", n)
		if status := p.send(t, p.near.addr("farm"), "order-here", key, key, time.Second); status != 503 || p.recorder.ArrivalCount(key) > 0 {
			t.Fatalf("got %d, and %d attempts", status, p.recorder.ArrivalCount(key))
		}
	}
	r := siteheader.Request{TimeLeft: time.Second, StallTimeout: time.Second, Stamp: p.far.extension.now(), Pool: "farm", Class: "order-here", AttemptsAllowed: 1, Origin: "near", Path: []string{"near"}}
	text, err := r.String()
	if err != nil {
		t.Fatal(err)
	}
	if status := p.send(t, p.far.addr("sites"), "order-here", "forced", "forced", time.Second, siteheader.RequestField+": "+text); status != 403 {
		t.Errorf("a peer that sends it got %d", status)
	}
	p.checkRecorder(t)
}

// TestDeadlineAtPeer guards the answer of a client whose time ends while its request is at the far site, and against a late
// response being taken for that of another request.
func TestDeadlineAtPeer(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	p.untilServed(t, "book")
	for _, b := range p.far.backends {
		b.SetFault(fake.Fault{Kind: fake.FaultDelay, Fraction: 1, Delay: 500 * time.Millisecond})
	}
	for n := range 5 {
		from := time.Now()
		id := fmt.Sprint("late-", n)
		status := p.send(t, p.near.addr("farm"), "book", id, "", 200*time.Millisecond)
		if took := time.Since(from); took > 450*time.Millisecond {
			t.Errorf("answered after %v of 200 ms", took)
		}
		if p.recorder.ArrivalCount(id) > 0 && status != 502 {
			t.Errorf("a booking that may have run was answered %d", status)
		}
	}
	for _, b := range p.far.backends {
		b.SetFault(fake.Fault{})
	}
	p.untilServed(t, "check")
	p.checkRecorder(t)
}

// TestLinkStalls guards against a request that is lost, or has two effects, to a link that stands still after its last byte: an
// order may have run there, and is failed or refused at once, long before its client's time is up.
func TestLinkStalls(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	p.untilServed(t, "check")
	p.untilServed(t, "book")
	for _, b := range p.far.backends {
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
					for p.recorder.ArrivalCount(id) == 0 && !p.recorder.HasResponse(id) {
						time.Sleep(time.Millisecond)
					}
					if p.recorder.ArrivalCount(id) > 0 {
						there.Done()
					}
				}()
				from := time.Now()
				status := p.send(t, p.near.addr("farm"), class, id, key, 3*time.Second)
				<-crossed
				if p.recorder.ArrivalCount(id) == 0 && n < 1000 {
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
			status := p.send(t, p.near.addr("farm"), "order", fmt.Sprintf("held-%d", n), fmt.Sprintf("held-%d", n), 3*time.Second)
			if status == 200 {
				t.Errorf("an order that the link held up was answered %d", status)
			}
		})
	}
	asking.Wait()
	if p.state() == spillover.Open {
		t.Error("the link counts as open")
	}
	if status := p.send(t, p.near.addr("farm"), "check", "after", "", time.Second); status != 503 {
		t.Errorf("a request beside a stalled link got %d, want a refusal at once", status)
	}
	for _, b := range p.far.backends {
		b.SetFault(fake.Fault{})
	}
	p.link.SetStalled(false)
	p.awaitOpen(t)
	p.untilServed(t, "order")
	for n := range 20 {
		if p.recorder.ArrivalCount(fmt.Sprintf("held-%d", n)) > 0 {
			t.Errorf("held-%d went on at the far site after it had been given up here", n)
		}
	}
	p.checkRecorder(t)
}

// TestPeerDrains guards against sending to a remote gateway that drains.
func TestPeerDrains(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	p.untilServed(t, "check")
	p.far.stop()
	waitFor(t, "the link to close", func() bool { return p.state() != spillover.Open })
	if status := p.send(t, p.near.addr("farm"), "order", "late", "late", time.Second); status != 503 {
		t.Errorf("got %d, want a refusal", status)
	}
	p.checkRecorder(t)
}

// TestPeerRestarts guards against a far gateway that is killed with requests in hand, and that stays forgotten once another process
// stands at its address.
func TestPeerRestarts(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	p.untilServed(t, "check")
	sitesAddress := p.far.addr("sites")
	p.far.gw.Close() // at once, like a process that dies, but for its connections' ends
	p.far.stop()
	<-p.far.stopped
	waitFor(t, "the link to close", func() bool { return p.state() != spillover.Open })
	p.far = startSite(t, "far", "near", freeAddress(t), sitesAddress, p.far.backends, nil)
	p.awaitOpen(t)
	p.untilServed(t, "book")
	p.checkRecorder(t)
}

// TestSilentPeer guards against a peer that accepts and never reads: nothing is forwarded, and clients are rejected at once.
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
		from := time.Now()
		if status := p.send(t, p.near.addr("farm"), "check", fmt.Sprint("silent-", n), "", 3*time.Second); status != 503 {
			t.Fatalf("got %d, want a refusal", status)
		}
		if took := time.Since(from); took > time.Second {
			t.Fatalf("refused only after %v", took)
		}
	}
	if p.state() == spillover.Open {
		t.Error("the link to a peer that says nothing counts as open")
	}
	p.checkRecorder(t)
}

// TestIdleConnectionsAtListener guards against idle connections that use up the listener for other sites: the peer is still served.
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

// TestForwardedOnce guards against requests that go to and fro: a site without capacity rejects forwarded requests.
func TestForwardedOnce(t *testing.T) {
	p := startPair(t, 0, [2]*TLS{})
	p.untilServed(t, "check")
	for _, b := range p.far.backends {
		b.Drain(true)
	}
	for i := range 20 {
		if status := p.send(t, p.near.addr("farm"), "check", fmt.Sprintf("full-%d", i), "", time.Second); status != 503 {
			t.Fatalf("got %d, want a refusal", status)
		}
	}
	if n := p.recorder.Check(fake.DefaultTolerance).Arrivals; n > 200 {
		t.Errorf("%d attempts", n)
	}
	p.checkRecorder(t)
}

// TestInvalidHeaderFields guards against forged and malformed fields: nothing is executed, and other requests are served.
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
		"good":             {plain, 200},
		"none":             {"X-None: 1", 400},
		"version":          {strings.Replace(plain, "v=1", "v=9", 1), 505},
		"negative time":    {strings.Replace(plain, "left=1000000", "left=-5", 1), 400},
		"huge time":        {strings.Replace(plain, "left=1000000", "left=999999999999999", 1), 400},
		"attempts":         {field(func(r *siteheader.Request) { r.AttemptsMade = 4000 }), 400},
		"more ran":         {field(func(r *siteheader.Request) { r.Executions = []siteheader.Execution{{DedupRemaining: time.Second}} }), 400},
		"another's origin": {field(func(r *siteheader.Request) { r.Origin, r.Path = "else", []string{"else"} }), 403},
		"a second hop":     {field(func(r *siteheader.Request) { r.Path = []string{"near", "else"} }), 508},
		"a loop":           {field(func(r *siteheader.Request) { r.Origin, r.Path = "far", []string{"far"} }), 508},
		"held up":          {field(func(r *siteheader.Request) { r.Stamp -= 1500 * time.Millisecond }), 503},
		"given up": {field(func(r *siteheader.Request) {
			r.Stamp, r.StallTimeout = r.Stamp-500*time.Millisecond, 400*time.Millisecond
		}), 503},
		"no such pool": {field(func(r *siteheader.Request) { r.Pool = "none" }), 404},
		"unsafe, ran": {field(func(r *siteheader.Request) {
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
			t.Errorf("%s: %d, want %d", name, status, c.want)
		}
	}
	// At a listener of clients the field means nothing.
	if status := p.send(t, p.far.addr("farm"), "check", "client", "", time.Second, strings.Replace(plain, `"check"`, `"book"`, 1)); status != 200 {
		t.Errorf("a client that sends the field got %d", status)
	}
	p.checkRecorder(t)
}

// TestNotAPeer guards the listener for other sites against everyone else.
func TestNotAPeer(t *testing.T) {
	p := startPair(t, 1, [2]*TLS{})
	p.far.extension.cfg.Peers[0].SourceAddresses = []netip.Addr{netip.MustParseAddr("127.9.9.9")}
	if status := p.send(t, p.far.addr("sites"), "check", "x", "", time.Second); status != 403 {
		t.Errorf("got %d", status)
	}
}
