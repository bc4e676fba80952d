package spillover

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

var (
	testConfig = Config{
		HealthCheckInterval: 100 * time.Millisecond, MaxHealthCheckInterval: 2 * time.Second, HealthyThreshold: 3, StallTimeout: 80 * time.Millisecond,
		Window: 500 * time.Millisecond, StartRatio: 0.1, StopRatio: 0.02, MaxForwardedRatio: 0.5,
	}
	testClasses = []Class{
		{"allocation-check", 1, 10 * time.Millisecond}, {"delivery-order", 5, 20 * time.Millisecond}, {"report", 1, 100 * time.Millisecond},
	}
)

// newOpenLink returns an open link with the given credits, and the current time. In the last window the local site rejected all
// requests if rejects is true, and none otherwise.
func newOpenLink(t *testing.T, credits int, rejects bool) (*Link, time.Duration) {
	t.Helper()
	link := New(testConfig, testClasses)
	now := time.Duration(0)
	for range testConfig.HealthyThreshold {
		check, _ := link.Tick(now)
		if !check {
			t.Fatalf("no health check at %v", now)
		}
		now += 10 * time.Millisecond
		link.RecordHealthCheck(now, true, credits)
	}
	if link.State() != Open {
		t.Fatalf("the link is %v after %d health checks that passed, want open", link.State(), testConfig.HealthyThreshold)
	}
	for range 100 {
		link.RecordLocal(now, "delivery-order", rejects)
		link.RecordLocal(now, "allocation-check", rejects)
		link.RecordLocal(now, "report", rejects)
	}
	now += testConfig.Window
	link.RecordHealthCheck(now, true, credits)
	link.RecordLocal(now, "delivery-order", rejects)
	return link, now
}

// TestLocalFirst guards against requests that are forwarded although the local site has capacity.
func TestLocalFirst(t *testing.T) {
	link, now := newOpenLink(t, 10, false)
	if link.TryForward(now, "delivery-order") {
		t.Error("a request is forwarded although the local site rejects none")
	}
	link, now = newOpenLink(t, 10, true)
	if !link.TryForward(now, "delivery-order") {
		t.Error("no request is forwarded although the local site rejects all")
	}
	if link.TryForward(now, "unknown") {
		t.Error("a request of an unknown class is forwarded")
	}
}

// TestClassOrder checks that the requests that MaxForwardedRatio allows are left to the classes with the highest value density.
func TestClassOrder(t *testing.T) {
	link, now := newOpenLink(t, 100, true)
	if !link.TryForward(now, "delivery-order") {
		t.Error("the class with the highest value density is not forwarded")
	}
	if link.TryForward(now, "report") {
		t.Error("the class with the lowest value density is forwarded although the other classes use up the half of the requests that may be forwarded")
	}
}

// TestCredits checks that no more requests are forwarded than the remote site last granted.
func TestCredits(t *testing.T) {
	link, now := newOpenLink(t, 2, true)
	n := 0
	for range 10 {
		for range 10 {
			link.RecordLocal(now, "delivery-order", true)
		}
		if link.TryForward(now, "delivery-order") {
			n++
		}
	}
	if n != 2 {
		t.Errorf("%d requests were forwarded, want the 2 that were granted", n)
	}
	link.RecordReturn(now, true, 1)
	if !link.TryForward(now, "delivery-order") || link.TryForward(now, "delivery-order") {
		t.Error("a grant of 1 credit with a response does not allow exactly 1 more request")
	}
	if link.InFlight() != 2 {
		t.Errorf("%d requests are in flight, want 2", link.InFlight())
	}
}

// TestHysteresis checks that spillover neither starts nor stops between StopRatio and StartRatio.
func TestHysteresis(t *testing.T) {
	link, now := newOpenLink(t, 1000, true)
	window := func(rejected int) bool {
		for i := range 100 {
			link.RecordLocal(now, "delivery-order", i < rejected)
		}
		now += testConfig.Window
		link.RecordHealthCheck(now, true, 1000)
		return link.Spilling()
	}
	for i, c := range []struct {
		rejected int
		want     bool
	}{{50, true}, {5, true}, {3, true}, {1, false}, {5, false}, {9, false}, {11, true}, {5, true}, {0, false}} {
		if got := window(c.rejected); got != c.want {
			t.Errorf("window %d, %d of 100 requests rejected: spilling %v, want %v", i, c.rejected, got, c.want)
		}
	}
}

// TestStall checks that no request is forwarded on a stalled link, and that the link opens only after HealthyThreshold health checks.
func TestStall(t *testing.T) {
	link, now := newOpenLink(t, 10, true)
	if !link.TryForward(now, "delivery-order") {
		t.Fatal("no request is forwarded on an open link")
	}
	now += testConfig.StallTimeout / 2
	if _, transition := link.Tick(now); transition != nil {
		t.Errorf("the link changed its state before StallTimeout: %+v", transition)
	}
	link.RecordGrant(now, 1)
	now += testConfig.StallTimeout
	if _, transition := link.Tick(now); transition != nil {
		t.Errorf("the link changed its state although a grant arrived within StallTimeout: %+v", transition)
	}
	now += testConfig.StallTimeout / 2
	if _, transition := link.Tick(now); transition == nil || transition.To != Stalled {
		t.Fatalf("a link without a message for longer than StallTimeout is %v, want stalled", link.State())
	}
	if link.TryForward(now, "delivery-order") {
		t.Error("a request is forwarded on a stalled link")
	}
	now += testConfig.HealthCheckInterval
	for i := range testConfig.HealthyThreshold {
		if check, _ := link.Tick(now); !check {
			t.Fatalf("health check %d is not due", i)
		}
		now += 10 * time.Millisecond
		if transition := link.RecordHealthCheck(now, true, 5); (transition != nil && transition.To == Open) != (i == testConfig.HealthyThreshold-1) {
			t.Errorf("after health check %d: got the transition %+v, want open after the last check only", i, transition)
		}
	}
}

// TestHealthCheckBackoff checks that the intervals between the health checks of a dead link grow up to MaxHealthCheckInterval.
func TestHealthCheckBackoff(t *testing.T) {
	link := New(testConfig, testClasses)
	var intervals []time.Duration
	last := time.Duration(-1)
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		if check, _ := link.Tick(now); check {
			if last >= 0 {
				intervals = append(intervals, now-last)
			}
			last = now
			link.RecordHealthCheck(now, false, 0)
		}
	}
	for i, interval := range intervals {
		if interval > testConfig.MaxHealthCheckInterval+10*time.Millisecond || i > 0 && interval < intervals[i-1] {
			t.Errorf("intervals between health checks are %v, want them to grow up to MaxHealthCheckInterval", intervals)
			break
		}
	}
	if len(intervals) < 8 {
		t.Errorf("%d health checks in 20 s, want at least 9", len(intervals)+1)
	}
}

// TestDrain checks that no request is forwarded while a site drains, and that the link is dead afterwards until health checks pass.
func TestDrain(t *testing.T) {
	link, now := newOpenLink(t, 10, true)
	if transition := link.Drain(now, true); transition == nil || transition.To != Draining {
		t.Fatalf("the transition at the start of the drain is %+v, want one to draining", transition)
	}
	if link.TryForward(now, "delivery-order") {
		t.Error("a request is forwarded while a site drains")
	}
	if transition := link.RecordHealthCheck(now, true, 10); transition != nil {
		t.Errorf("a health check during the drain changed the state: %+v", transition)
	}
	if transition := link.Drain(now, false); transition == nil || transition.To != Dead {
		t.Errorf("the transition after the drain is %+v, want one to dead", transition)
	}
}

// linkModel drives a link with random events and models the state to which it must conform.
type linkModel struct {
	link     *Link
	now      time.Duration
	credits  int // granted by the remote site and not used since
	inFlight int
	checking bool // a health check is due
}

// tick advances the time and calls Tick.
func (m *linkModel) tick(t *rapid.T) {
	m.now += time.Duration(rapid.Int64Range(1, int64(150*time.Millisecond)).Draw(t, "by"))
	check, transition := m.link.Tick(m.now)
	m.checking = m.checking || check
	if transition != nil && transition.To == Stalled {
		m.credits = 0
		if m.inFlight == 0 {
			t.Fatal("the link stalled without a request in flight")
		}
	}
}

// healthCheck records the result of a health check if one is due.
func (m *linkModel) healthCheck(t *rapid.T) {
	if !m.checking {
		t.Skip()
	}
	m.checking = false
	passed, credits := rapid.Bool().Draw(t, "passed"), rapid.IntRange(0, 5).Draw(t, "credits")
	transition := m.link.RecordHealthCheck(m.now, passed, credits)
	if m.link.State() == Open && passed {
		m.credits = credits
	}
	if !passed && m.link.State() == Open {
		t.Fatal("the link is open after a failed health check")
	}
	if transition != nil && transition.From == transition.To {
		t.Fatalf("the transition %+v does not change the state", transition)
	}
}

// forward tries to forward a request and checks all conditions for it.
func (m *linkModel) forward(t *rapid.T, class string) {
	if !m.link.TryForward(m.now, class) {
		return
	}
	m.inFlight++
	m.credits--
	switch {
	case m.link.State() != Open || !m.link.spilling:
		t.Fatalf("a request is forwarded while the link is %v and spilling is %v", m.link.State(), m.link.spilling)
	case m.credits < 0:
		t.Fatal("more requests are forwarded than the remote site granted")
	}
	forwarded, offered := m.link.forwarded, sum(m.link.offered)
	if forwarded > 1 && float64(forwarded-1) >= testConfig.MaxForwardedRatio*float64(offered) {
		t.Fatalf("%d of %d offered requests were forwarded, more than MaxForwardedRatio", forwarded, offered)
	}
}

// requestReturns ends a request in flight, with or without a response.
func (m *linkModel) requestReturns(t *rapid.T) {
	if m.inFlight == 0 {
		t.Skip()
	}
	m.inFlight--
	responded, credits := rapid.Bool().Draw(t, "heard"), rapid.IntRange(0, 5).Draw(t, "credits")
	m.link.RecordReturn(m.now, responded, credits)
	if responded && m.link.State() == Open {
		m.credits = credits
	}
}

// failCheck records a failed health check.
func (m *linkModel) failCheck(t *rapid.T) {
	m.link.RecordHealthCheck(m.now, false, 0)
	if m.link.State() == Open {
		t.Fatal("the link is open after a failed health check")
	}
	m.credits = 0
}

// drain starts or ends a drain.
func (m *linkModel) drain(t *rapid.T) {
	m.link.Drain(m.now, rapid.Bool().Draw(t, "draining"))
	if m.link.State() != Open {
		m.credits = 0
	}
}

// check compares the link with the model after each event.
func (m *linkModel) check(t *rapid.T) {
	if m.link.InFlight() != m.inFlight {
		t.Fatalf("%d requests are in flight, want %d", m.link.InFlight(), m.inFlight)
	}
	if m.link.state != Open && m.link.credits != 0 {
		t.Fatalf("the link has %d credits while %v, want 0", m.link.credits, m.link.state)
	}
}

// TestLink checks for any sequence of events that requests are forwarded only while the link is open and the local site is short of
// capacity, that no more requests are forwarded than were granted since and than MaxForwardedRatio allows, and that the requests in
// flight are counted.
func TestLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &linkModel{link: New(testConfig, testClasses)}
		classes := rapid.SampledFrom([]string{"allocation-check", "delivery-order", "report"})
		t.Repeat(map[string]func(*rapid.T){
			"tick":         m.tick,
			"health check": m.healthCheck,
			"local": func(t *rapid.T) {
				m.link.RecordLocal(m.now, classes.Draw(t, "class"), rapid.Bool().Draw(t, "rejected"))
			},
			"forward":    func(t *rapid.T) { m.forward(t, classes.Draw(t, "class")) },
			"return":     m.requestReturns,
			"fail check": m.failCheck,
			"drain":      m.drain,
			"":           m.check,
		})
	})
}
