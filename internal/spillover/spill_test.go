package spillover

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

var (
	cfg = Config{
		HealthCheckInterval: 100 * time.Millisecond, MaxHealthCheckInterval: 2 * time.Second, HealthyThreshold: 3, StallTimeout: 80 * time.Millisecond,
		Window: 500 * time.Millisecond, StartRatio: 0.1, StopRatio: 0.02, MaxForwardedRatio: 0.5,
	}
	classes = []Class{
		{"allocation-check", 1, 10 * time.Millisecond}, {"delivery-order", 5, 20 * time.Millisecond}, {"report", 1, 100 * time.Millisecond},
	}
)

// opened is a link that has shown itself, with so much room, and a local site that turns down a part of what it is offered.
func opened(t *testing.T, room int, denied bool) (*Link, time.Duration) {
	t.Helper()
	s := New(cfg, classes)
	now := time.Duration(0)
	for range cfg.HealthyThreshold {
		probe, _ := s.Tick(now)
		if !probe {
			t.Fatalf("no probe at %v", now)
		}
		now += 10 * time.Millisecond
		s.RecordHealthCheck(now, true, room)
	}
	if s.State() != Open {
		t.Fatalf("the link is %v after %d probes", s.State(), cfg.HealthyThreshold)
	}
	for range 100 {
		s.RecordLocal(now, "delivery-order", denied)
		s.RecordLocal(now, "allocation-check", denied)
		s.RecordLocal(now, "report", denied)
	}
	now += cfg.Window
	s.RecordHealthCheck(now, true, room)
	s.RecordLocal(now, "delivery-order", denied)
	return s, now
}

func TestLocalFirst(t *testing.T) {
	s, now := opened(t, 10, false)
	if s.TryForward(now, "delivery-order") {
		t.Error("work crosses although the local site serves all")
	}
	s, now = opened(t, 10, true)
	if !s.TryForward(now, "delivery-order") {
		t.Error("nothing crosses although the local site turns all down")
	}
	if s.TryForward(now, "unheard-of") {
		t.Error("a class that the link does not know crosses")
	}
}

// TestWorthiestFirst guards against spending the share of what may cross on what is worth little for its work.
func TestWorthiestFirst(t *testing.T) {
	s, now := opened(t, 100, true)
	if !s.TryForward(now, "delivery-order") {
		t.Error("the worthiest does not cross")
	}
	if s.TryForward(now, "report") {
		t.Error("the least worthy crosses: half of what is offered may, and the others fill that")
	}
}

// TestCredits guards against tipping the far site over: no more crosses than it last granted.
func TestCredits(t *testing.T) {
	s, now := opened(t, 2, true)
	n := 0
	for range 10 {
		for range 10 {
			s.RecordLocal(now, "delivery-order", true)
		}
		if s.TryForward(now, "delivery-order") {
			n++
		}
	}
	if n != 2 {
		t.Errorf("%d crossed, 2 were granted", n)
	}
	s.RecordReturn(now, true, 1)
	if !s.TryForward(now, "delivery-order") || s.TryForward(now, "delivery-order") {
		t.Error("a grant of 1 with an answer is not 1 more")
	}
	if s.InFlight() != 2 {
		t.Errorf("%d are out, want 2", s.InFlight())
	}
}

// TestHysteresis guards against work that swings: between the two bounds all stays as it is.
func TestHysteresis(t *testing.T) {
	s, now := opened(t, 1000, true)
	window := func(denied int) bool {
		for i := range 100 {
			s.RecordLocal(now, "delivery-order", i < denied)
		}
		now += cfg.Window
		s.RecordHealthCheck(now, true, 1000)
		return s.Spilling()
	}
	for i, c := range []struct {
		denied int
		want   bool
	}{{50, true}, {5, true}, {3, true}, {1, false}, {5, false}, {9, false}, {11, true}, {5, true}, {0, false}} {
		if got := window(c.denied); got != c.want {
			t.Errorf("step %d, %d of 100 denied: spilling %v, want %v", i, c.denied, got, c.want)
		}
	}
}

// TestStall guards against loading a link that stands still, and against opening it on one probe.
func TestStall(t *testing.T) {
	s, now := opened(t, 10, true)
	if !s.TryForward(now, "delivery-order") {
		t.Fatal("nothing crosses")
	}
	now += cfg.StallTimeout / 2
	if _, c := s.Tick(now); c != nil {
		t.Errorf("stalled too soon: %+v", c)
	}
	s.RecordGrant(now, 1)
	now += cfg.StallTimeout
	if _, c := s.Tick(now); c != nil {
		t.Errorf("a word from the far side did not count: %+v", c)
	}
	now += cfg.StallTimeout / 2
	if _, c := s.Tick(now); c == nil || c.To != Stalled {
		t.Fatalf("a silent link is %v", s.State())
	}
	if s.TryForward(now, "delivery-order") {
		t.Error("work crosses a stalled link")
	}
	now += cfg.HealthCheckInterval
	for i := range cfg.HealthyThreshold {
		if probe, _ := s.Tick(now); !probe {
			t.Fatalf("no probe %d", i)
		}
		now += 10 * time.Millisecond
		if c := s.RecordHealthCheck(now, true, 5); (c != nil && c.To == Open) != (i == cfg.HealthyThreshold-1) {
			t.Errorf("after probe %d: %+v", i, c)
		}
	}
}

// TestProbePause guards against probing a dead link ever faster, or never again.
func TestProbePause(t *testing.T) {
	s := New(cfg, classes)
	var gaps []time.Duration
	last := time.Duration(-1)
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		if probe, _ := s.Tick(now); probe {
			if last >= 0 {
				gaps = append(gaps, now-last)
			}
			last = now
			s.RecordHealthCheck(now, false, 0)
		}
	}
	for i, g := range gaps {
		if g > cfg.MaxHealthCheckInterval+10*time.Millisecond || i > 0 && g < gaps[i-1] {
			t.Errorf("gaps between probes: %v", gaps)
			break
		}
	}
	if len(gaps) < 8 {
		t.Errorf("%d probes in 20 s", len(gaps)+1)
	}
}

// TestDrain guards against crossing while a site drains, and against trusting the link as before afterwards.
func TestDrain(t *testing.T) {
	s, now := opened(t, 10, true)
	if c := s.Drain(now, true); c == nil || c.To != Draining {
		t.Fatalf("got %+v", c)
	}
	if s.TryForward(now, "delivery-order") {
		t.Error("work crosses while a site drains")
	}
	if c := s.RecordHealthCheck(now, true, 10); c != nil {
		t.Errorf("a probe ended the drain: %+v", c)
	}
	if c := s.Drain(now, false); c == nil || c.To != Dead {
		t.Errorf("after the drain: %+v", c)
	}
}

// TestSpill plays any events and holds what must be true after each: nothing crosses unless the link is open and the local
// site short, never more than was granted since, nor more than the share of what was offered, and out counts what is out.
func TestSpill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(cfg, classes)
		now := time.Duration(0)
		granted, out, probing := 0, 0, false
		name := rapid.SampledFrom([]string{"allocation-check", "delivery-order", "report"})
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(1, int64(150*time.Millisecond)).Draw(t, "by"))
				probe, c := s.Tick(now)
				probing = probing || probe
				if c != nil && c.To == Stalled {
					granted = 0
					if out == 0 {
						t.Fatal("stalled with nothing out")
					}
				}
			},
			"probed": func(t *rapid.T) {
				if !probing {
					t.Skip()
				}
				probing = false
				ok, room := rapid.Bool().Draw(t, "ok"), rapid.IntRange(0, 5).Draw(t, "room")
				c := s.RecordHealthCheck(now, ok, room)
				if s.State() == Open && ok {
					granted = room
				}
				if !ok && s.State() == Open {
					t.Fatal("open after a failed probe")
				}
				if c != nil && c.From == c.To {
					t.Fatalf("no change: %+v", c)
				}
			},
			"local": func(t *rapid.T) { s.RecordLocal(now, name.Draw(t, "class"), rapid.Bool().Draw(t, "denied")) },
			"ask": func(t *rapid.T) {
				if !s.TryForward(now, name.Draw(t, "class")) {
					return
				}
				out++
				granted--
				switch {
				case s.State() != Open || !s.spilling:
					t.Fatalf("crossed while %v, spilling %v", s.State(), s.spilling)
				case granted < 0:
					t.Fatal("crossed beyond what was granted")
				}
				offered := 0
				for _, n := range s.offered {
					offered += n
				}
				if s.forwarded > 1 && float64(s.forwarded-1) >= cfg.MaxForwardedRatio*float64(offered) {
					t.Fatalf("%d of %d offered crossed", s.forwarded, offered)
				}
			},
			"back": func(t *rapid.T) {
				if out == 0 {
					t.Skip()
				}
				out--
				heard, room := rapid.Bool().Draw(t, "heard"), rapid.IntRange(0, 5).Draw(t, "room")
				s.RecordReturn(now, heard, room)
				if heard && s.State() == Open {
					granted = room
				}
			},
			"lost": func(t *rapid.T) {
				s.RecordHealthCheck(now, false, 0)
				if s.State() == Open {
					t.Fatal("open though a probe did not come back")
				}
				granted = 0
			},
			"drain": func(t *rapid.T) {
				s.Drain(now, rapid.Bool().Draw(t, "on"))
				if s.State() != Open {
					granted = 0
				}
			},
			"": func(t *rapid.T) {
				if s.InFlight() != out {
					t.Fatalf("%d are out, want %d", s.InFlight(), out)
				}
				if s.state != Open && s.credits != 0 {
					t.Fatalf("%d credits while %v", s.credits, s.state)
				}
			},
		})
	})
}
