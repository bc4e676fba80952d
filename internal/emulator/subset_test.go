package emulator

import (
	"slices"
	"testing"
	"time"

	"sorrelrudder/policy"
)

// singleInstanceScenario returns a scenario in which the first instance gets rate requests a second, and the others the usual load.
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

// subsetOf returns the places of n backends of the first instance's subset. It finds them by sending requests for a while.
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
		for len(e.queue) > 0 && e.queue[0].at <= e.now+100*ms {
			e.step()
		}
		e.now += 100 * ms
	}
	var all []int
	for place, s := range e.backends {
		if in.idleConnections[s] > 0 {
			all = append(all, place)
		}
	}
	if len(all) < n {
		t.Fatalf("the instance has met %v, fewer than %d", all, n)
	}
	return all[:n]
}

// An instance with three requests a second, and one with sixty, have a partitioned backend in their subset. The attempts that each loses
// to it are bounded by number, not by time.
func TestUnreachableEndpointInSubset(t *testing.T) {
	t.Parallel()
	for rate, most := range map[float64]int{3: 1, 60: 4} {
		scenario := singleInstanceScenario(rate)
		dead := subsetOf(t, scenario, 1)[0]
		scenario.Discovery.NotificationDelay = time.Minute
		scenario.Events = []ScheduledEvent{{3 * time.Second, func(e *Emulation) { e.Partition(func(place int, _ string) bool { return place == dead }) }}}
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
		t.Logf("%g a second: %d lost at the dead server", rate, lost)
		if lost > most || r.ViolationCount > 0 {
			t.Errorf("%g a second: %d lost, at most %d wanted; %v", rate, lost, most, r.Violations)
		}
	}
}

// All backends of an instance's subset are partitioned: others take their place within three seconds.
func TestWholeSubsetUnreachable(t *testing.T) {
	t.Parallel()
	scenario := singleInstanceScenario(20)
	set := subsetOf(t, scenario, 5)
	scenario.Discovery.NotificationDelay = time.Minute
	scenario.Events = []ScheduledEvent{{3 * time.Second, func(e *Emulation) { e.Partition(func(place int, _ string) bool { return slices.Contains(set, place) }) }}}
	e, err := New(scenario)
	if err != nil {
		t.Fatal(err)
	}
	good, bad := 0, 0
	e.onAttemptFinished = func(a *attempt, status policy.Status) {
		switch {
		case a.request.instance.index != 0 || e.Elapsed() < 6*time.Second:
		case status == policy.StatusOK:
			good++
		case status != policy.StatusCanceled:
			bad++
		}
	}
	r := e.Run()
	if t.Logf("from three seconds on: %d answered, %d not", good, bad); good < 100 || bad > good/30 || r.ViolationCount > 0 {
		t.Errorf("%d answered, %d not; %v", good, bad, r.Violations)
	}
}
