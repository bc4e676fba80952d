package emulator

import (
	"slices"
	"testing"
	"time"

	"sorrelrudder/policy"
)

// one is a day of one sidecar that asks rate times a second, beside others that ask the usual.
func one(rate float64) Day {
	day := fleet()
	day.Instances, day.Servers, day.Length = 40, 30, 14*time.Second
	day.Clients.Rate = 600 + rate
	day.Clients.Weight = func(o int, _ string) float64 {
		if o == 0 {
			return rate
		}
		return 600.0 / 39
	}
	return day
}

// ownSet returns servers that the first instance of a day has chosen among, by asking it for a while.
func ownSet(t *testing.T, day Day, n int) []int {
	t.Helper()
	w, err := New(day)
	if err != nil {
		t.Fatal(err)
	}
	w.closed = true
	in := w.instances[0]
	in.start()
	q := &root{class: &day.Classes[0], in: in, work: time.Microsecond}
	for range 60 {
		in.take(q, time.Second)
		for len(w.queue) > 0 && w.queue[0].at <= w.now+100*ms {
			w.step()
		}
		w.now += 100 * ms
	}
	var all []int
	for place, s := range w.servers {
		if in.idle[s] > 0 {
			all = append(all, place)
		}
	}
	if len(all) < n {
		t.Fatalf("the instance has met %v, fewer than %d", all, n)
	}
	return all[:n]
}

// A sidecar with three requests a second, and one with sixty, have a server in their set that is cut off. What each loses to it is
// bounded by requests, not by time. Seen to fail where the clock ended ejections (2 and 8 sends lost).
func TestDeadServerInASet(t *testing.T) {
	t.Parallel()
	for rate, most := range map[float64]int{3: 1, 60: 4} {
		day := one(rate)
		dead := ownSet(t, day, 1)[0]
		day.Discovery.Notice = time.Minute
		day.Steps = []Step{{3 * time.Second, func(w *World) { w.CutOff(func(place int, _ string) bool { return place == dead }) }}}
		w, err := New(day)
		if err != nil {
			t.Fatal(err)
		}
		lost := 0
		w.settled = func(a *attempt, st policy.Status) {
			if a.try.in.ordinal == 0 && a.s.cut && (st == policy.StatusConnectFailed || st == policy.StatusTimeout) {
				lost++
			}
		}
		r := w.Run()
		t.Logf("%g a second: %d lost at the dead server", rate, lost)
		if lost > most || r.Breaks > 0 {
			t.Errorf("%g a second: %d lost, at most %d wanted; %v", rate, lost, most, r.Broken)
		}
	}
}

// All servers of a sidecar's set fall silent: others take their place within three seconds. Seen to fail where the clock ended ejections (10 of
// 152 sends lost from then on).
func TestWholeSetSilent(t *testing.T) {
	t.Parallel()
	day := one(20)
	set := ownSet(t, day, 5)
	day.Discovery.Notice = time.Minute
	day.Steps = []Step{{3 * time.Second, func(w *World) { w.CutOff(func(place int, _ string) bool { return slices.Contains(set, place) }) }}}
	w, err := New(day)
	if err != nil {
		t.Fatal(err)
	}
	good, bad := 0, 0
	w.settled = func(a *attempt, st policy.Status) {
		switch {
		case a.try.in.ordinal != 0 || w.At() < 6*time.Second:
		case st == policy.StatusOK:
			good++
		case st != policy.StatusCanceled:
			bad++
		}
	}
	r := w.Run()
	if t.Logf("from three seconds on: %d answered, %d not", good, bad); good < 100 || bad > good/30 || r.Breaks > 0 {
		t.Errorf("%d answered, %d not; %v", good, bad, r.Broken)
	}
}

// All sidecars refuse at once, and their clients come back three times without a pause: once the shock is over service is back.
func TestRefusedClientsComeBack(t *testing.T) {
	t.Parallel()
	day := fleet()
	day.Clients.Pause, day.Clients.Heed, day.Length = 0, false, 18*time.Second
	day.Steps = []Step{
		{3 * time.Second, func(w *World) { w.CutOff(func(place int, _ string) bool { return place%10 < 6 }) }},
		{8 * time.Second, func(w *World) { w.Rejoin() }},
	}
	day.Discovery.Notice = time.Second
	r := play(t, day)
	shock, after := r.Span(5, 8), r.Span(13, 18)
	if shock.Refused < shock.Tries/4 {
		t.Errorf("no shock: %d of %d refused", shock.Refused, shock.Tries)
	}
	if after.Share() < 0.93 {
		t.Errorf("share %.3f five seconds after the shock, %d of %d tries refused", after.Share(), after.Refused, after.Tries)
	}
}

// A zone has a third of the load and half of the servers: the other's overflow goes there.
func TestZonesOfUnevenLoad(t *testing.T) {
	t.Parallel()
	day := fleet()
	day.Clients.Weight = func(_ int, zone string) float64 {
		if zone == "a" {
			return 1
		}
		return 2
	}
	r := play(t, day)
	if s := r.Span(2, 20); s.Share() < 0.93 || s.Refused > s.Tries/20 {
		t.Errorf("share %.3f, %d of %d tries refused", s.Share(), s.Refused, s.Tries)
	}
}

// Each server answers one request in eight with an error at once: it is no reason to leave all of them out.
func TestOneInEightErrs(t *testing.T) {
	t.Parallel()
	day := fleet()
	day.Steps = []Step{{0, func(w *World) {
		for place := range day.Servers {
			w.Fail(place, 0.125)
		}
	}}}
	r := play(t, day)
	if s := r.Span(2, 20); s.Share() < 0.85 {
		t.Errorf("share %.3f, %d of %d sends ended as errors", s.Share(), s.Erred, s.Sends)
	}
}

// 300 sidecars start within 100 ms before 200 servers.
func TestManyStartAtOnce(t *testing.T) {
	t.Parallel()
	day := large(1)
	day.Length = 6 * time.Second
	r := play(t, day)
	if s := r.Span(3, 6); s.Share() < 0.93 {
		t.Errorf("share %.3f from three seconds on", s.Share())
	}
	if s := r.Total; s.Dials > 4*300*maxSet || s.Calls > 2*300 {
		t.Errorf("%d connections and %d calls for the list", s.Dials, s.Calls)
	}
}

// maxSet is the usual number of servers that an instance chooses among.
const maxSet = 5

// Hearsay of dead servers, of which two instances have to tell, spares at least half of the sends that reach nobody, and costs no service; one
// instance that says all the time that every server is dead costs next to nothing, even if nobody else has to tell.
func TestHearsayOfTheDead(t *testing.T) {
	t.Parallel()
	cut := func(h Hearsay, liar bool) *Result {
		day := fleet()
		day.Length, day.Hearsay = 12*time.Second, h
		day.Discovery.Notice = 5 * time.Second
		day.Steps = []Step{
			{0, func(w *World) { w.LoseAnswers(0.005); w.ResetRequests(0.005) }},
			{3 * time.Second, func(w *World) { w.CutOff(aFifth) }},
			{9 * time.Second, func(w *World) { w.Rejoin() }},
		}
		for at := 2 * time.Second; liar && at < day.Length; at += 200 * ms {
			day.Steps = append(day.Steps, Step{at, func(w *World) {
				for _, s := range w.servers {
					for _, in := range w.instances {
						in.do(func(now policy.Time) { in.b.HandleUnreachableHint(now, policy.EndpointID(s.id)) })
					}
				}
			}})
		}
		return play(t, day)
	}
	alone := cut(Hearsay{}, false)
	heard := cut(Hearsay{Lag: 100 * ms, Dead: true, Witnesses: 2}, false)
	lied := cut(Hearsay{}, true)
	lost := func(r *Result) int { return r.Total.Unreached + r.Total.TimedOut }
	t.Logf("alone: share %.3f, %d lost; with hearsay: %.3f, %d; with a liar: %.3f", alone.Total.Share(), lost(alone), heard.Total.Share(), lost(heard), lied.Total.Share())
	if 2*lost(heard) > lost(alone) || heard.Total.Share() < alone.Total.Share()-0.02 {
		t.Errorf("hearsay: %d sends lost for %d, share %.3f for %.3f", lost(heard), lost(alone), heard.Total.Share(), alone.Total.Share())
	}
	if lied.Total.Share() < alone.Total.Share()-0.1 {
		t.Errorf("a liar costs %.3f of the service", alone.Total.Share()-lied.Total.Share())
	}
}
