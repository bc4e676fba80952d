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

// newOpenLink returns a link that is open with some credits, and the time; the local site rejects all requests, or none.
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
		t.Fatalf("the link is %v after %d health checks", link.State(), testConfig.HealthyThreshold)
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

// TestLocalFirst checks that nothing is forwarded unless the local site is short of capacity.
func TestLocalFirst(t *testing.T) {
	link, now := newOpenLink(t, 10, false)
	if link.TryForward(now, "delivery-order") {
		t.Error("a request is forwarded although the local site serves all")
	}
	link, now = newOpenLink(t, 10, true)
	if !link.TryForward(now, "delivery-order") {
		t.Error("nothing is forwarded although the local site rejects all")
	}
	if link.TryForward(now, "unknown") {
		t.Error("a class that the link does not know is forwarded")
	}
}

// TestClassOrder checks that the ratio of forwarded requests is left to the classes of most value for their work.
func TestClassOrder(t *testing.T) {
	link, now := newOpenLink(t, 100, true)
	if !link.TryForward(now, "delivery-order") {
		t.Error("the class of most value is not forwarded")
	}
	if link.TryForward(now, "report") {
		t.Error("the class of least value is forwarded: half of what is offered may, and the others fill that")
	}
}

// TestCredits checks that no more is forwarded than the remote site last granted.
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
		t.Errorf("%d were forwarded, 2 were granted", n)
	}
	link.RecordReturn(now, true, 1)
	if !link.TryForward(now, "delivery-order") || link.TryForward(now, "delivery-order") {
		t.Error("a grant of 1 with a response is not 1 more")
	}
	if link.InFlight() != 2 {
		t.Errorf("%d are in flight, want 2", link.InFlight())
	}
}

// TestHysteresis checks that spillover goes on as it is between the two ratios.
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
			t.Errorf("step %d, %d of 100 rejected: spilling %v, want %v", i, c.rejected, got, c.want)
		}
	}
}

// TestStall checks that a stalled link carries nothing, and does not open on one health check.
func TestStall(t *testing.T) {
	link, now := newOpenLink(t, 10, true)
	if !link.TryForward(now, "delivery-order") {
		t.Fatal("nothing is forwarded")
	}
	now += testConfig.StallTimeout / 2
	if _, c := link.Tick(now); c != nil {
		t.Errorf("stalled too soon: %+v", c)
	}
	link.RecordGrant(now, 1)
	now += testConfig.StallTimeout
	if _, c := link.Tick(now); c != nil {
		t.Errorf("a grant of the remote site did not count: %+v", c)
	}
	now += testConfig.StallTimeout / 2
	if _, c := link.Tick(now); c == nil || c.To != Stalled {
		t.Fatalf("a link without responses is %v", link.State())
	}
	if link.TryForward(now, "delivery-order") {
		t.Error("a request is forwarded on a stalled link")
	}
	now += testConfig.HealthCheckInterval
	for i := range testConfig.HealthyThreshold {
		if check, _ := link.Tick(now); !check {
			t.Fatalf("no health check %d", i)
		}
		now += 10 * time.Millisecond
		if c := link.RecordHealthCheck(now, true, 5); (c != nil && c.To == Open) != (i == testConfig.HealthyThreshold-1) {
			t.Errorf("after health check %d: %+v", i, c)
		}
	}
}

// TestHealthCheckBackoff checks that a dead link is checked ever more slowly, up to the longest interval.
func TestHealthCheckBackoff(t *testing.T) {
	link := New(testConfig, testClasses)
	var gaps []time.Duration
	last := time.Duration(-1)
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		if check, _ := link.Tick(now); check {
			if last >= 0 {
				gaps = append(gaps, now-last)
			}
			last = now
			link.RecordHealthCheck(now, false, 0)
		}
	}
	for i, g := range gaps {
		if g > testConfig.MaxHealthCheckInterval+10*time.Millisecond || i > 0 && g < gaps[i-1] {
			t.Errorf("gaps between health checks: %v", gaps)
			break
		}
	}
	if len(gaps) < 8 {
		t.Errorf("%d health checks in 20 s", len(gaps)+1)
	}
}

// TestDrain checks that nothing is forwarded while a site drains, and that the link is checked anew afterwards.
func TestDrain(t *testing.T) {
	link, now := newOpenLink(t, 10, true)
	if c := link.Drain(now, true); c == nil || c.To != Draining {
		t.Fatalf("got %+v", c)
	}
	if link.TryForward(now, "delivery-order") {
		t.Error("a request is forwarded while a site drains")
	}
	if c := link.RecordHealthCheck(now, true, 10); c != nil {
		t.Errorf("a health check ended the drain: %+v", c)
	}
	if c := link.Drain(now, false); c == nil || c.To != Dead {
		t.Errorf("after the drain: %+v", c)
	}
}

// linkModel plays a link, and knows what must be true of it.
type linkModel struct {
	link     *Link
	now      time.Duration
	credits  int // granted, and not used since
	inFlight int
	checking bool // a health check is due
}

func (m *linkModel) tick(t *rapid.T) {
	m.now += time.Duration(rapid.Int64Range(1, int64(150*time.Millisecond)).Draw(t, "by"))
	check, transition := m.link.Tick(m.now)
	m.checking = m.checking || check
	if transition != nil && transition.To == Stalled {
		m.credits = 0
		if m.inFlight == 0 {
			t.Fatal("stalled with nothing in flight")
		}
	}
}

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
		t.Fatal("open after a failed health check")
	}
	if transition != nil && transition.From == transition.To {
		t.Fatalf("no transition: %+v", transition)
	}
}

func (m *linkModel) forward(t *rapid.T, class string) {
	if !m.link.TryForward(m.now, class) {
		return
	}
	m.inFlight++
	m.credits--
	switch {
	case m.link.State() != Open || !m.link.spilling:
		t.Fatalf("forwarded while %v, spilling %v", m.link.State(), m.link.spilling)
	case m.credits < 0:
		t.Fatal("forwarded beyond what was granted")
	}
	forwarded, offered := m.link.forwarded, sum(m.link.offered)
	if forwarded > 1 && float64(forwarded-1) >= testConfig.MaxForwardedRatio*float64(offered) {
		t.Fatalf("%d of %d offered were forwarded", forwarded, offered)
	}
}

func (m *linkModel) requestReturns(t *rapid.T) {
	if m.inFlight == 0 {
		t.Skip()
	}
	m.inFlight--
	heard, credits := rapid.Bool().Draw(t, "heard"), rapid.IntRange(0, 5).Draw(t, "credits")
	m.link.RecordReturn(m.now, heard, credits)
	if heard && m.link.State() == Open {
		m.credits = credits
	}
}

func (m *linkModel) failCheck(t *rapid.T) {
	m.link.RecordHealthCheck(m.now, false, 0)
	if m.link.State() == Open {
		t.Fatal("open after a failed health check")
	}
	m.credits = 0
}

func (m *linkModel) drain(t *rapid.T) {
	m.link.Drain(m.now, rapid.Bool().Draw(t, "draining"))
	if m.link.State() != Open {
		m.credits = 0
	}
}

func (m *linkModel) check(t *rapid.T) {
	if m.link.InFlight() != m.inFlight {
		t.Fatalf("%d are in flight, want %d", m.link.InFlight(), m.inFlight)
	}
	if m.link.state != Open && m.link.credits != 0 {
		t.Fatalf("%d credits while %v", m.link.credits, m.link.state)
	}
}

// TestLink plays any events and checks after each: nothing is forwarded unless the link is open and the local site short of
// capacity, never more than was granted since, nor more than the ratio of what was offered, and what is in flight is counted.
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
