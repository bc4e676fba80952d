package emulator

import (
	"slices"
	"testing"
	"time"

	"sorrelrudder/policy"
)

// singleInstanceScenario returns a scenario in which the first instance receives rate requests per second. The other 39 receive 600
// requests per second together.
func singleInstanceScenario(rate float64) Scenario {
	scenario := fleetScenario()
	scenario.InstanceCount, scenario.BackendCount, scenario.Duration = 40, 30, 14*time.Second
	scenario.Clients.RequestsPerSecond = 600 + rate
	scenario.Clients.InstanceWeight = func(index int, _ string) float64 {
		if index == 0 {
			return rate
		}
		return 600.0 / 39
	}
	return scenario
}

// subsetOf returns the indexes of n backends of the first instance's subset. It sends requests for a while to determine the subset.
func subsetOf(t *testing.T, scenario Scenario, n int) []int {
	t.Helper()
	e, err := New(scenario)
	if err != nil {
		t.Fatal(err)
	}
	e.arrivalsClosed = true
	in := e.instances[0]
	in.start()
	q := &clientRequest{class: &scenario.Classes[0], instance: in, work: time.Microsecond}
	for range 60 {
		in.receive(q, time.Second)
		e.scheduler.RunUntil(e.scheduler.Now() + 100*ms)
	}
	var all []int
	for i, s := range e.backends {
		if in.idleConnections[s] > 0 {
			all = append(all, i)
		}
	}
	if len(all) < n {
		t.Fatalf("the instance has connections to backends %v, want at least %d backends", all, n)
	}
	return all[:n]
}

// TestUnreachableEndpointInSubset guards against losing attempts repeatedly at a partitioned backend of the subset. The number of lost
// attempts must be bounded for an instance with 3 requests per second as well as for one with 60, independent of the duration.
func TestUnreachableEndpointInSubset(t *testing.T) {
	t.Parallel()
	for rate, limit := range map[float64]int{3: 1, 60: 4} {
		scenario := singleInstanceScenario(rate)
		target := subsetOf(t, scenario, 1)[0]
		scenario.Discovery.NotificationDelay = time.Minute
		scenario.Events = []ScheduledEvent{{3 * time.Second, func(e *Emulation) { e.Partition(func(i int, _ string) bool { return i == target }) }}}
		e, err := New(scenario)
		if err != nil {
			t.Fatal(err)
		}
		lost := 0
		e.onAttemptFinished = func(a *attempt, status policy.Status) {
			if a.request.instance.index == 0 && a.backend.partitioned && (status == policy.StatusConnectFailed || status == policy.StatusTimeout) {
				lost++
			}
		}
		r := e.Run()
		t.Logf("%g requests per second: %d attempts lost at the partitioned backend", rate, lost)
		if lost > limit || r.ViolationCount > 0 {
			t.Errorf("%g requests per second: %d attempts lost, want at most %d; violations %v", rate, lost, limit, r.Violations)
		}
	}
}

// TestWholeSubsetUnreachable guards against an instance that keeps a subset of unreachable backends. Other backends must replace a
// partitioned subset within three seconds.
func TestWholeSubsetUnreachable(t *testing.T) {
	t.Parallel()
	scenario := singleInstanceScenario(20)
	subset := subsetOf(t, scenario, 5)
	scenario.Discovery.NotificationDelay = time.Minute
	scenario.Events = []ScheduledEvent{{3 * time.Second, func(e *Emulation) { e.Partition(func(i int, _ string) bool { return slices.Contains(subset, i) }) }}}
	e, err := New(scenario)
	if err != nil {
		t.Fatal(err)
	}
	succeeded, failed := 0, 0
	e.onAttemptFinished = func(a *attempt, status policy.Status) {
		switch {
		case a.request.instance.index != 0 || e.Elapsed() < 6*time.Second:
		case status == policy.StatusOK:
			succeeded++
		case status != policy.StatusCanceled:
			failed++
		}
	}
	r := e.Run()
	if t.Logf("from three seconds on: %d attempts succeeded, %d failed", succeeded, failed); succeeded < 100 || failed > succeeded/30 || r.ViolationCount > 0 {
		t.Errorf("from three seconds on: %d attempts succeeded, %d failed, want at least 100 and at most 1 failure in 30; violations %v", succeeded, failed, r.Violations)
	}
}
