package emulator

import (
	"testing"
	"time"
)

// TestSimultaneousStart guards against overload of backends and discovery when 300 instances start within 100 ms. The fleet has 200
// backends.
func TestSimultaneousStart(t *testing.T) {
	t.Parallel()
	scenario := largeScenario(1)
	scenario.Duration = 6 * time.Second
	r := run(t, scenario)
	if s := r.Sum(3, 6); s.ServedFraction() < 0.93 {
		t.Errorf("served fraction %.3f from three seconds on, want at least 0.93", s.ServedFraction())
	}
	if s := r.Total; s.Dials > 4*300*maxSubset || s.WatchRequests > 2*300 {
		t.Errorf("%d dials and %d watch requests, want at most four subsets and two watch requests per instance", s.Dials, s.WatchRequests)
	}
}

// maxSubset is the typical size of an instance's subset.
const maxSubset = 5

// TestDiscoveryOverloadedAtStart guards against retries that keep the discovery service overloaded. 80 instances start within 100 ms with
// an outdated list, and discovery can serve a tenth of their watch requests per second.
func TestDiscoveryOverloadedAtStart(t *testing.T) {
	t.Parallel()
	scenario := fleetScenario()
	scenario.Discovery.WatchesPerSecond = 8
	scenario.Duration = 30 * time.Second
	scenario.Events = []ScheduledEvent{{50 * ms, func(e *Emulation) {
		for i := range 10 { // makes the cached list outdated
			e.ReplaceBackend(6*i, 500*ms)
		}
	}}}
	r := run(t, scenario)
	watchRequests, rejected := r.Total.WatchRequests, r.Total.WatchRequestsRejected
	if watchRequests > 4*scenario.InstanceCount {
		t.Errorf("%d watch requests of %d instances, want at most 4 each; %d rejected", watchRequests, scenario.InstanceCount, rejected)
	}
	for i, s := range r.Seconds {
		if s.WatchRequests > 4*int(scenario.Discovery.WatchesPerSecond) {
			t.Errorf("%d watch requests in second %d, want at most 4 times the capacity of %g", s.WatchRequests, i, scenario.Discovery.WatchesPerSecond)
		}
	}
	if s := r.Sum(20, 30); s.ServedFraction() < 0.9 {
		t.Errorf("served fraction %.3f once all instances have a watch, want at least 0.9", s.ServedFraction())
	}
	e, _ := New(scenario)
	e.Run()
	for _, in := range e.instances {
		if in.watch == nil || in.watch.canceled || len(in.backends) != scenario.BackendCount {
			t.Errorf("instance %d has no open watch, or only %d of %d backends from its watch", in.index, len(in.backends), scenario.BackendCount)
		}
	}
}

// TestRollingReplacement guards against unserved requests while six in ten of 60 backends are replaced within 7 s and the endpoint list is
// late.
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
		index := i * 5 / 3
		scenario.Events = append(scenario.Events, ScheduledEvent{4*time.Second + time.Duration(i)*190*ms, func(e *Emulation) { e.ReplaceBackend(index, 3*time.Second) }})
	}
	r := run(t, scenario)
	if s := r.Sum(4, 12); s.ServedFraction() < 0.7 || s.WarmingAttempts == 0 {
		t.Errorf("served fraction %.3f during the replacement, want at least 0.7; %d attempts at warming backends, want some", s.ServedFraction(), s.WarmingAttempts)
	}
	if s := r.Sum(18, 20); s.ServedFraction() < 0.93 {
		t.Errorf("served fraction %.3f after the replacement, want at least 0.93", s.ServedFraction())
	}
}

// TestRollingRestart guards against unserved requests while the 80 instances restart, a tenth at a time, and half of 60 backends are
// replaced.
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
	t.Logf("served fraction %.3f; %d of %d attempts rejected, %d requests served late", s.ServedFraction(), s.Rejected, s.ClientAttempts, s.Late)
	if s.ServedFraction() < 0.8 || s.WarmingAttempts == 0 {
		t.Errorf("served fraction %.3f, want at least 0.8; %d attempts at warming backends, want some", s.ServedFraction(), s.WarmingAttempts)
	}
}
