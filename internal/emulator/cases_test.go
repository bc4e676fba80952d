package emulator

import (
	"slices"
	"testing"
	"time"

	"sorrelrudder/policy"
)

// one is a day of one sidecar that asks rate times a second, beside others that ask the usual.
func one(rate float64) Scenario {
	day := fleet()
	day.InstanceCount, day.BackendCount, day.Duration = 40, 30, 14*time.Second
	day.Clients.RequestsPerSecond = 600 + rate
	day.Clients.InstanceWeight = func(o int, _ string) float64 {
		if o == 0 {
			return rate
		}
		return 600.0 / 39
	}
	return day
}

// ownSet returns servers that the first instance of a day has chosen among, by asking it for a while.
func ownSet(t *testing.T, day Scenario, n int) []int {
	t.Helper()
	w, err := New(day)
	if err != nil {
		t.Fatal(err)
	}
	w.arrivalsClosed = true
	in := w.instances[0]
	in.start()
	q := &clientRequest{class: &day.Classes[0], instance: in, work: time.Microsecond}
	for range 60 {
		in.receive(q, time.Second)
		for len(w.queue) > 0 && w.queue[0].at <= w.now+100*ms {
			w.step()
		}
		w.now += 100 * ms
	}
	var all []int
	for place, s := range w.backends {
		if in.idleConnections[s] > 0 {
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
		day.Discovery.NotificationDelay = time.Minute
		day.Events = []ScheduledEvent{{3 * time.Second, func(w *Emulation) { w.Partition(func(place int, _ string) bool { return place == dead }) }}}
		w, err := New(day)
		if err != nil {
			t.Fatal(err)
		}
		lost := 0
		w.onAttemptFinished = func(a *attempt, st policy.Status) {
			if a.request.instance.index == 0 && a.backend.partitioned && (st == policy.StatusConnectFailed || st == policy.StatusTimeout) {
				lost++
			}
		}
		r := w.Run()
		t.Logf("%g a second: %d lost at the dead server", rate, lost)
		if lost > most || r.ViolationCount > 0 {
			t.Errorf("%g a second: %d lost, at most %d wanted; %v", rate, lost, most, r.Violations)
		}
	}
}

// All servers of a sidecar's set fall silent: others take their place within three seconds. Seen to fail where the clock ended ejections (10 of
// 152 sends lost from then on).
func TestWholeSetSilent(t *testing.T) {
	t.Parallel()
	day := one(20)
	set := ownSet(t, day, 5)
	day.Discovery.NotificationDelay = time.Minute
	day.Events = []ScheduledEvent{{3 * time.Second, func(w *Emulation) { w.Partition(func(place int, _ string) bool { return slices.Contains(set, place) }) }}}
	w, err := New(day)
	if err != nil {
		t.Fatal(err)
	}
	good, bad := 0, 0
	w.onAttemptFinished = func(a *attempt, st policy.Status) {
		switch {
		case a.request.instance.index != 0 || w.Elapsed() < 6*time.Second:
		case st == policy.StatusOK:
			good++
		case st != policy.StatusCanceled:
			bad++
		}
	}
	r := w.Run()
	if t.Logf("from three seconds on: %d answered, %d not", good, bad); good < 100 || bad > good/30 || r.ViolationCount > 0 {
		t.Errorf("%d answered, %d not; %v", good, bad, r.Violations)
	}
}

// All sidecars refuse at once, and their clients come back three times without a pause: once the shock is over service is back.
func TestRefusedClientsComeBack(t *testing.T) {
	t.Parallel()
	day := fleet()
	day.Clients.RetryDelay, day.Clients.HonorRetryAfter, day.Duration = 0, false, 18*time.Second
	day.Events = []ScheduledEvent{
		{3 * time.Second, func(w *Emulation) { w.Partition(func(place int, _ string) bool { return place%10 < 6 }) }},
		{8 * time.Second, func(w *Emulation) { w.HealPartition() }},
	}
	day.Discovery.NotificationDelay = time.Second
	r := play(t, day)
	shock, after := r.Sum(5, 8), r.Sum(13, 18)
	if shock.Rejected < shock.ClientAttempts/4 {
		t.Errorf("no shock: %d of %d refused", shock.Rejected, shock.ClientAttempts)
	}
	if after.ServedFraction() < 0.93 {
		t.Errorf("share %.3f five seconds after the shock, %d of %d tries refused", after.ServedFraction(), after.Rejected, after.ClientAttempts)
	}
}

// A zone has a third of the load and half of the servers: the other's overflow goes there.
func TestZonesOfUnevenLoad(t *testing.T) {
	t.Parallel()
	day := fleet()
	day.Clients.InstanceWeight = func(_ int, zone string) float64 {
		if zone == "a" {
			return 1
		}
		return 2
	}
	r := play(t, day)
	if s := r.Sum(2, 20); s.ServedFraction() < 0.93 || s.Rejected > s.ClientAttempts/20 {
		t.Errorf("share %.3f, %d of %d tries refused", s.ServedFraction(), s.Rejected, s.ClientAttempts)
	}
}

// Each server answers one request in eight with an error at once: it is no reason to leave all of them out.
func TestOneInEightErrs(t *testing.T) {
	t.Parallel()
	day := fleet()
	day.Events = []ScheduledEvent{{0, func(w *Emulation) {
		for place := range day.BackendCount {
			w.InjectErrors(place, 0.125)
		}
	}}}
	r := play(t, day)
	if s := r.Sum(2, 20); s.ServedFraction() < 0.85 {
		t.Errorf("share %.3f, %d of %d sends ended as errors", s.ServedFraction(), s.ApplicationErrors, s.Attempts)
	}
}

// 300 sidecars start within 100 ms before 200 servers.
func TestManyStartAtOnce(t *testing.T) {
	t.Parallel()
	day := large(1)
	day.Duration = 6 * time.Second
	r := play(t, day)
	if s := r.Sum(3, 6); s.ServedFraction() < 0.93 {
		t.Errorf("share %.3f from three seconds on", s.ServedFraction())
	}
	if s := r.Total; s.Dials > 4*300*maxSet || s.WatchRequests > 2*300 {
		t.Errorf("%d connections and %d calls for the list", s.Dials, s.WatchRequests)
	}
}

// maxSet is the usual number of servers that an instance chooses among.
const maxSet = 5

// Hearsay of dead servers, of which two instances have to tell, spares at least half of the sends that reach nobody, and costs no service; one
// instance that says all the time that every server is dead costs next to nothing, even if nobody else has to tell.
func TestHearsayOfTheDead(t *testing.T) {
	t.Parallel()
	cut := func(h Sharing, liar bool) *Result {
		day := fleet()
		day.Duration, day.Sharing = 12*time.Second, h
		day.Discovery.NotificationDelay = 5 * time.Second
		day.Events = []ScheduledEvent{
			{0, func(w *Emulation) { w.DropResponses(0.005); w.ResetConnections(0.005) }},
			{3 * time.Second, func(w *Emulation) { w.Partition(aFifth) }},
			{9 * time.Second, func(w *Emulation) { w.HealPartition() }},
		}
		for at := 2 * time.Second; liar && at < day.Duration; at += 200 * ms {
			day.Events = append(day.Events, ScheduledEvent{at, func(w *Emulation) {
				for _, s := range w.backends {
					for _, in := range w.instances {
						in.handle(func(now policy.Time) { in.balancer.HandleUnreachableHint(now, policy.EndpointID(s.id)) })
					}
				}
			}})
		}
		return play(t, day)
	}
	alone := cut(Sharing{}, false)
	heard := cut(Sharing{Delay: 100 * ms, Unreachable: true, Quorum: 2}, false)
	lied := cut(Sharing{}, true)
	lost := func(r *Result) int { return r.Total.ConnectFailures + r.Total.Timeouts }
	t.Logf("alone: share %.3f, %d lost; with hearsay: %.3f, %d; with a liar: %.3f", alone.Total.ServedFraction(), lost(alone), heard.Total.ServedFraction(), lost(heard), lied.Total.ServedFraction())
	if 2*lost(heard) > lost(alone) || heard.Total.ServedFraction() < alone.Total.ServedFraction()-0.02 {
		t.Errorf("hearsay: %d sends lost for %d, share %.3f for %.3f", lost(heard), lost(alone), heard.Total.ServedFraction(), alone.Total.ServedFraction())
	}
	if lied.Total.ServedFraction() < alone.Total.ServedFraction()-0.1 {
		t.Errorf("a liar costs %.3f of the service", alone.Total.ServedFraction()-lied.Total.ServedFraction())
	}
}
