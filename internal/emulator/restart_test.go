package emulator

import (
	"testing"
	"time"
)

// 300 instances of 200 backends start within 100 ms.
func TestSimultaneousStart(t *testing.T) {
	t.Parallel()
	scenario := largeScenario(1)
	scenario.Duration = 6 * time.Second
	r := run(t, scenario)
	if s := r.Sum(3, 6); s.ServedFraction() < 0.93 {
		t.Errorf("served fraction %.3f from three seconds on", s.ServedFraction())
	}
	if s := r.Total; s.Dials > 4*300*maxSubset || s.WatchRequests > 2*300 {
		t.Errorf("%d connections and %d watch requests", s.Dials, s.WatchRequests)
	}
}

// maxSubset is the usual size of an instance's subset.
const maxSubset = 5

// 80 instances start within 100 ms with an outdated list, and discovery can serve a tenth of their watch requests a second.
func TestDiscoveryOverloadedAtStart(t *testing.T) {
	t.Parallel()
	scenario := fleetScenario()
	scenario.Discovery.WatchesPerSecond = 8
	scenario.Duration = 30 * time.Second
	scenario.Events = []ScheduledEvent{{50 * ms, func(e *Emulation) {
		for i := range 10 { // makes the list that they start with outdated
			e.ReplaceBackend(6*i, 500*ms)
		}
	}}}
	r := run(t, scenario)
	calls, lost := r.Total.WatchRequests, r.Total.WatchRequestsRejected
	if calls > 4*scenario.InstanceCount {
		t.Errorf("%d calls for %d instances, %d lost", calls, scenario.InstanceCount, lost)
	}
	for i, s := range r.Seconds {
		if s.WatchRequests > 4*int(scenario.Discovery.WatchesPerSecond) {
			t.Errorf("%d calls in second %d, of %g that can be taken", s.WatchRequests, i, scenario.Discovery.WatchesPerSecond)
		}
	}
	if s := r.Sum(20, 30); s.ServedFraction() < 0.9 {
		t.Errorf("served fraction %.3f once all are told", s.ServedFraction())
	}
	e, _ := New(scenario)
	e.Run()
	for _, in := range e.instances {
		if in.watch == nil || in.watch.canceled || len(in.backends) != scenario.BackendCount {
			t.Errorf("instance %d knows %d servers of %d by its watch", in.index, len(in.backends), scenario.BackendCount)
		}
	}
}

// Six in ten of 60 backends are replaced within 7 s, and the list is late.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		rollingReplacement(t, seed+1)
	}
}

func rollingReplacement(t *testing.T, seed uint64) {
	scenario := fleetScenario()
	scenario.Seed = seed
	for i := range 36 {
		place := i * 5 / 3
		scenario.Events = append(scenario.Events, ScheduledEvent{4*time.Second + time.Duration(i)*190*ms, func(e *Emulation) { e.ReplaceBackend(place, 3*time.Second) }})
	}
	r := run(t, scenario)
	if s := r.Sum(4, 12); s.ServedFraction() < 0.7 || s.WarmingAttempts == 0 {
		t.Errorf("served fraction %.3f while most are replaced, %d attempts to cold ones", s.ServedFraction(), s.WarmingAttempts)
	}
	if s := r.Sum(18, 20); s.ServedFraction() < 0.93 {
		t.Errorf("served fraction %.3f afterwards", s.ServedFraction())
	}
}

// The 80 instances restart, a tenth at a time, while half of 60 backends are replaced.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	scenario := fleetScenario()
	scenario.Duration = 12 * time.Second
	for i := range 30 {
		scenario.Events = append(scenario.Events, ScheduledEvent{3*time.Second + time.Duration(i)*160*ms, func(e *Emulation) { e.ReplaceBackend(2*i, 2*time.Second) }})
	}
	for tenth := range 10 {
		scenario.Events = append(scenario.Events, ScheduledEvent{2*time.Second + time.Duration(tenth)*800*ms, func(e *Emulation) {
			e.RestartInstances(func(index int) bool { return index%10 == tenth }, 300*ms)
		}})
	}
	r := run(t, scenario)
	s := r.Sum(4, 10)
	t.Logf("served fraction %.3f, %d of %d attempts rejected, %d late", s.ServedFraction(), s.Rejected, s.ClientAttempts, s.Late)
	if s.ServedFraction() < 0.8 || s.WarmingAttempts == 0 {
		t.Errorf("served fraction %.3f, %d attempts to warming backends", s.ServedFraction(), s.WarmingAttempts)
	}
}
