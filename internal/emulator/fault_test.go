package emulator

import (
	"testing"
	"time"
)

// TestRetriesAfterMassRejection guards against overload by retries that outlasts its cause. All instances reject requests at the same time,
// and the clients retry three times without delay. Service must recover once there is capacity.
func TestRetriesAfterMassRejection(t *testing.T) {
	t.Parallel()
	scenario := fleetScenario()
	scenario.Clients.RetryDelay, scenario.Clients.HonorRetryAfter, scenario.Duration = 0, false, 18*time.Second
	scenario.Events = []ScheduledEvent{
		{3 * time.Second, func(e *Emulation) { e.Partition(func(index int, _ string) bool { return index%10 < 6 }) }},
		{8 * time.Second, func(e *Emulation) { e.HealPartition() }},
	}
	scenario.Discovery.NotificationDelay = time.Second
	r := run(t, scenario)
	partitioned, after := r.Sum(5, 8), r.Sum(13, 18)
	if partitioned.Rejected < partitioned.ClientAttempts/4 {
		t.Errorf("no mass rejection: %d of %d attempts rejected, want at least 25%%", partitioned.Rejected, partitioned.ClientAttempts)
	}
	if after.ServedFraction() < 0.93 {
		t.Errorf("served fraction %.3f five seconds after the end of the partition, want at least 0.93; %d of %d attempts rejected", after.ServedFraction(), after.Rejected, after.ClientAttempts)
	}
}

// TestUnevenZoneLoad guards against rejections although another zone has capacity. One zone has a third of the load and half of the
// backends, so the excess load of the other zone must go there.
func TestUnevenZoneLoad(t *testing.T) {
	t.Parallel()
	scenario := fleetScenario()
	scenario.Clients.InstanceWeight = func(_ int, zone string) float64 {
		if zone == "a" {
			return 1
		}
		return 2
	}
	r := run(t, scenario)
	if s := r.Sum(2, 20); s.ServedFraction() < 0.93 || s.Rejected > s.ClientAttempts/20 {
		t.Errorf("served fraction %.3f, want at least 0.93; %d of %d attempts rejected, want at most 5%%", s.ServedFraction(), s.Rejected, s.ClientAttempts)
	}
}

// TestErrorsAtAllBackends guards against ejecting all backends. Each backend responds to one request in eight with an immediate error.
func TestErrorsAtAllBackends(t *testing.T) {
	t.Parallel()
	scenario := fleetScenario()
	scenario.Events = []ScheduledEvent{{0, func(e *Emulation) {
		for index := range scenario.BackendCount {
			e.InjectErrors(index, 0.125)
		}
	}}}
	r := run(t, scenario)
	if s := r.Sum(2, 20); s.ServedFraction() < 0.85 {
		t.Errorf("served fraction %.3f, want at least 0.85; %d of %d attempts failed with an application error", s.ServedFraction(), s.ApplicationErrors, s.Attempts)
	}
}

// TestZoneFailsAndWarmsUp guards against unserved requests during and after the loss of a zone. The zone's 30 backends fail silently with
// requests in flight. They are replaced at the same time, under old and new names, and warm up.
func TestZoneFailsAndWarmsUp(t *testing.T) {
	t.Parallel()
	scenario := fleetScenario()
	scenario.Events = []ScheduledEvent{
		{5 * time.Second, func(e *Emulation) { e.FailSilently(func(_ int, zone string) bool { return zone == "b" }) }},
		{9 * time.Second, func(e *Emulation) { e.RestoreSilent() }},
	}
	r := run(t, scenario)
	if s := r.Sum(6, 9); s.ServedFraction() < 0.55 {
		t.Errorf("served fraction %.3f while half of the backends are silent, want at least 0.55", s.ServedFraction())
	}
	if s := r.Sum(17, 20); s.ServedFraction() < 0.9 {
		t.Errorf("served fraction %.3f after the zone has returned, want at least 0.9", s.ServedFraction())
	}
	if s := r.Sum(7, 9); s.ConnectFailures > s.Attempts/5 {
		t.Errorf("%d of %d attempts failed to connect two seconds after the loss, want at most 20%%", s.ConnectFailures, s.Attempts)
	}
}

// TestFastFailureAttractsNoTraffic guards against a backend that receives more than its share of requests because it fails immediately. The
// load is so low that each instance sends to such a backend only every few seconds.
func TestFastFailureAttractsNoTraffic(t *testing.T) {
	t.Parallel()
	scenario := fleetScenario()
	scenario.Clients.RequestsPerSecond = 60
	scenario.Events = []ScheduledEvent{{0, func(e *Emulation) { e.InjectErrors(7, 1); e.InjectErrors(22, 1) }}}
	r := run(t, scenario)
	if s := r.Sum(2, 20); s.ApplicationErrors > s.Attempts*2/60 || s.ServedFraction() < 0.95 {
		t.Errorf("%d of %d attempts failed at two of 60 backends, want at most 2 in 60; served fraction %.3f, want at least 0.95", s.ApplicationErrors, s.Attempts, s.ServedFraction())
	}
}

// TestConnectionLimit guards against unserved requests at backends that refuse connections at their connection limit. The requests were not
// executed, so the attempts must go to other backends.
func TestConnectionLimit(t *testing.T) {
	t.Parallel()
	scenario := fleetScenario()
	scenario.MaxConnections = 8
	r := run(t, scenario)
	if s := r.Sum(2, 20); s.ServedFraction() < 0.8 || s.ConnectFailures == 0 {
		t.Errorf("served fraction %.3f, want at least 0.8; %d of %d attempts failed to connect, want some", s.ServedFraction(), s.ConnectFailures, s.Attempts)
	}
}

// inFifth matches about one fifth of the backends.
func inFifth(index int, _ string) bool { return InFraction(index, 0.2) }

// TestFifthPartitioned guards against attempts that keep going to partitioned backends. One fifth of 200 backends is partitioned for six
// seconds. The endpoint list shows the partition only five seconds later. During the whole run, some responses are lost and some
// connections are reset.
func TestFifthPartitioned(t *testing.T) {
	t.Parallel()
	scenario := largeScenario(1)
	scenario.Discovery.NotificationDelay = 5 * time.Second
	scenario.Events = []ScheduledEvent{
		{0, func(e *Emulation) { e.DropResponses(0.005); e.ResetConnections(0.005) }},
		{3 * time.Second, func(e *Emulation) { e.Partition(inFifth) }},
		{9 * time.Second, func(e *Emulation) { e.HealPartition() }},
	}
	r := run(t, scenario)
	s := r.Sum(5, 8)
	t.Logf("served fraction %.3f; %d of %d attempts failed to connect, %d timed out; %d of %d client attempts rejected", s.ServedFraction(), s.ConnectFailures, s.Attempts, s.Timeouts, s.Rejected, s.ClientAttempts)
	if s.ConnectFailures > s.Attempts*3/100 || s.ServedFraction() < 0.8 {
		t.Errorf("from two seconds after the partition: %d of %d attempts failed to connect, want at most 3%%; served fraction %.3f, want at least 0.8", s.ConnectFailures, s.Attempts, s.ServedFraction())
	}
	if s := r.Sum(0, 3); s.ServedFraction() < 0.9 {
		t.Errorf("served fraction %.3f before the partition, want at least 0.9", s.ServedFraction())
	}
}
