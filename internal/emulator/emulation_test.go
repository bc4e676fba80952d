package emulator

import (
	"reflect"
	"testing"
	"time"

	"sorrelrudder/policy"
)

const ms = time.Millisecond

// fleetScenario returns a scenario with 80 instances and 60 backends. The load is about 60% of the backends' capacity.
func fleetScenario() Scenario {
	return Scenario{
		Seed:                 1,
		Duration:             20 * time.Second,
		StartupWindow:        100 * ms,
		InstanceCount:        80,
		BackendCount:         60,
		Zones:                []string{"a", "b"},
		SameZoneDelay:        ms / 2,
		CrossZoneDelay:       7 * ms,
		HandshakeDuration:    2 * ms,
		MachineTypes:         []MachineType{{"big", 0.36, 3, 2}, {"small", 0.35, 2, 1.2}, {"slow", 0.29, 3, 0.8}},
		MaxQueueLength:       300,
		MaxConnections:       400,
		LoadReportAge:        150 * ms,
		SlowStartMinCapacity: 0.35,
		SlowStartDuration:    8 * time.Second,
		CollapseFactor:       2.5,
		CollapseWindow:       time.Second,
		Classes:              []Class{checkClass(), orderClass(), bookingClass()},
		Clients: Clients{
			RequestsPerSecond:      1300,
			RateSpread:             1,
			MaxRetries:             3,
			RetryDelay:             20 * ms,
			AttemptTimeoutFraction: 0.5,
			HonorRetryAfter:        true,
		},
		Discovery: Discovery{WatchesPerSecond: 60, MaxQueueDelay: 2 * time.Second, NotificationDelay: 1500 * ms},
		Policy:    DefaultPolicy(),
	}
}

// checkClass returns a class of idempotent requests.
func checkClass() Class {
	class := policy.Class{Name: "check", LatencyObjective: 450 * ms, Deadline: 2200 * ms, PriorityWeight: 2, LateWeightFraction: 0.2}
	return Class{Class: class, Fraction: 0.47, MeanWork: 90 * ms, WorkVariation: 1}
}

// orderClass returns a class of requests with keys that all backends deduplicate together.
func orderClass() Class {
	class := policy.Class{Name: "order", LatencyObjective: 450 * ms, Deadline: 1840 * ms, PriorityWeight: 10, LateWeightFraction: 0.5}
	class.Idempotency, class.DedupWindow = policy.IdempotentByKey, 1500*ms
	return Class{Class: class, Fraction: 0.34, MeanWork: 75 * ms, WorkVariation: 1}
}

// bookingClass returns a class of requests with keys that the backends of a cell deduplicate together.
func bookingClass() Class {
	class := policy.Class{Name: "booking", LatencyObjective: 890 * ms, Deadline: 1840 * ms, PriorityWeight: 3, LateWeightFraction: 0.3}
	class.Idempotency, class.DedupScope, class.DedupWindow = policy.IdempotentByKey, policy.DedupCell, 12*time.Second
	return Class{Class: class, Fraction: 0.19, MeanWork: 140 * ms, WorkVariation: 1}
}

// run runs a scenario and fails the test on any violation.
func run(t *testing.T, scenario Scenario) *Result {
	t.Helper()
	e, err := New(scenario)
	if err != nil {
		t.Fatal(err)
	}
	r := e.Run()
	for _, violation := range r.Violations {
		t.Error(violation)
	}
	if r.ViolationCount > 0 {
		t.Errorf("%d violations in total, want 0", r.ViolationCount)
	}
	if testing.Verbose() {
		for i, s := range r.Seconds {
			t.Logf("second %2d: served fraction %.2f, %+v", i, s.ServedFraction(), s)
		}
	}
	return r
}

// TestHealthyFleet guards against unserved requests, too many health checks and too many attempts across zones in a fleet without faults.
func TestHealthyFleet(t *testing.T) {
	t.Parallel()
	r := run(t, fleetScenario())
	if s := r.Sum(2, 20); s.ServedFraction() < 0.93 || s.HealthChecks > s.ClientAttempts {
		t.Errorf("served fraction %.3f, want at least 0.93; counts %+v", s.ServedFraction(), s)
	}
	if s := r.Sum(2, 20); s.CrossZoneAttempts > s.Attempts*3/10 { // about half if subsets ignored zones
		t.Errorf("%d of %d attempts go to another zone, want at most 30%%", s.CrossZoneAttempts, s.Attempts)
	}
}

// TestSameSeedSameRun guards against nondeterminism: runs of one scenario must be equal, and runs with different seeds must differ.
func TestSameSeedSameRun(t *testing.T) {
	t.Parallel()
	scenario := fleetScenario()
	scenario.Duration = 6 * time.Second
	scenario.Events = []ScheduledEvent{{2 * time.Second, func(e *Emulation) { e.RestartInstances(func(index int) bool { return index%3 > 0 }, 500*ms) }}}
	a, b := run(t, scenario), run(t, scenario)
	if !reflect.DeepEqual(a, b) {
		t.Error("two runs with the same seed differ")
	}
	scenario.Seed++
	if c := run(t, scenario); reflect.DeepEqual(a, c) {
		t.Error("two runs with different seeds are equal")
	}
}

// largeScenario returns a scenario with 300 instances and 200 backends. The load of each backend is that of fleetScenario.
func largeScenario(seed uint64) Scenario {
	scenario := fleetScenario()
	scenario.Seed, scenario.InstanceCount, scenario.BackendCount, scenario.Duration = seed, 300, 200, 12*time.Second
	scenario.Clients.RequestsPerSecond *= 200.0 / 60
	scenario.Discovery.WatchesPerSecond = 200
	return scenario
}
