package emulator

import (
	"reflect"
	"testing"
	"time"

	"sorrelrudder/policy"
)

const ms = time.Millisecond

// fleetScenario returns a scenario of 80 instances and 60 backends at about 60% of their capacity.
func fleetScenario() Scenario {
	return Scenario{
		Seed: 1, Duration: 20 * time.Second, InstanceCount: 80, BackendCount: 60, StartupWindow: 100 * ms,
		MachineTypes: []MachineType{{"big", 0.36, 3, 2}, {"small", 0.35, 2, 1.2}, {"slow", 0.29, 3, 0.8}},
		Zones:        []string{"a", "b"}, SameZoneDelay: ms / 2, CrossZoneDelay: 7 * ms, MaxQueueLength: 300, MaxConnections: 400, HandshakeDuration: 2 * ms, LoadReportAge: 150 * ms,
		SlowStartMinCapacity: 0.35, SlowStartDuration: 8 * time.Second, CollapseFactor: 2.5, CollapseWindow: time.Second,
		Classes: []Class{
			{policy.Class{Name: "check", LatencyObjective: 450 * ms, Deadline: 2200 * ms, PriorityWeight: 2, LateWeightFraction: 0.2}, 0.47, 90 * ms, 1},
			{policy.Class{Name: "order", Idempotency: policy.IdempotentByKey, DedupWindow: 1500 * ms, LatencyObjective: 450 * ms, Deadline: 1840 * ms, PriorityWeight: 10, LateWeightFraction: 0.5}, 0.34, 75 * ms, 1},
			{policy.Class{Name: "booking", Idempotency: policy.IdempotentByKey, DedupScope: policy.DedupCell, DedupWindow: 12 * time.Second, LatencyObjective: 890 * ms, Deadline: 1840 * ms, PriorityWeight: 3, LateWeightFraction: 0.3}, 0.19, 140 * ms, 1},
		},
		Clients:   Clients{RequestsPerSecond: 1300, RateSpread: 1, MaxRetries: 3, RetryDelay: 20 * ms, AttemptTimeoutFraction: 0.5, HonorRetryAfter: true},
		Discovery: Discovery{WatchesPerSecond: 60, MaxQueueDelay: 2 * time.Second, NotificationDelay: 1500 * ms},
		Policy:    DefaultPolicy(),
	}
}

func run(t *testing.T, scenario Scenario) *Result {
	t.Helper()
	e, err := New(scenario)
	if err != nil {
		t.Fatal(err)
	}
	r := e.Run()
	for _, b := range r.Violations {
		t.Error(b)
	}
	if r.ViolationCount > 0 {
		t.Errorf("%d violations in all", r.ViolationCount)
	}
	if testing.Verbose() {
		for i, s := range r.Seconds {
			t.Logf("%2d served fraction %.2f %+v", i, s.ServedFraction(), s)
		}
	}
	return r
}

func TestHealthyFleet(t *testing.T) {
	t.Parallel()
	r := run(t, fleetScenario())
	if s := r.Sum(2, 20); s.ServedFraction() < 0.93 || s.HealthChecks > s.ClientAttempts {
		t.Errorf("served fraction %.3f, %+v", s.ServedFraction(), s)
	}
	if s := r.Sum(2, 20); s.CrossZoneAttempts > s.Attempts*3/10 { // half, if subsets ignored zones
		t.Errorf("%d of %d attempts leave the zone", s.CrossZoneAttempts, s.Attempts)
	}
}

func TestSameSeedSameRun(t *testing.T) {
	t.Parallel()
	scenario := fleetScenario()
	scenario.Duration = 6 * time.Second
	scenario.Events = []ScheduledEvent{{2 * time.Second, func(e *Emulation) { e.RestartInstances(func(index int) bool { return index%3 > 0 }, 500*ms) }}}
	a, b := run(t, scenario), run(t, scenario)
	if !reflect.DeepEqual(a, b) {
		t.Error("one seed gave two runs")
	}
	scenario.Seed++
	if c := run(t, scenario); reflect.DeepEqual(a, c) {
		t.Error("two seeds gave one run")
	}
}

// largeScenario returns a scenario of 300 instances and 200 backends, with the same load for each backend.
func largeScenario(seed uint64) Scenario {
	scenario := fleetScenario()
	scenario.Seed, scenario.InstanceCount, scenario.BackendCount, scenario.Duration = seed, 300, 200, 12*time.Second
	scenario.Clients.RequestsPerSecond *= 200.0 / 60
	scenario.Discovery.WatchesPerSecond = 200
	return scenario
}
