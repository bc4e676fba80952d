package emulator

import (
	"testing"
	"time"
)

// All instances reject requests at once, and the clients retry three times without a delay: service recovers once there is capacity.
func TestRetriesAfterMassRejection(t *testing.T) {
	t.Parallel()
	scenario := fleetScenario()
	scenario.Clients.RetryDelay, scenario.Clients.HonorRetryAfter, scenario.Duration = 0, false, 18*time.Second
	scenario.Events = []ScheduledEvent{
		{3 * time.Second, func(e *Emulation) { e.Partition(func(place int, _ string) bool { return place%10 < 6 }) }},
		{8 * time.Second, func(e *Emulation) { e.HealPartition() }},
	}
	scenario.Discovery.NotificationDelay = time.Second
	r := run(t, scenario)
	shock, after := r.Sum(5, 8), r.Sum(13, 18)
	if shock.Rejected < shock.ClientAttempts/4 {
		t.Errorf("no mass rejection: %d of %d rejected", shock.Rejected, shock.ClientAttempts)
	}
	if after.ServedFraction() < 0.93 {
		t.Errorf("served fraction %.3f five seconds after the shock, %d of %d attempts rejected", after.ServedFraction(), after.Rejected, after.ClientAttempts)
	}
}

// A zone has a third of the load and half of the backends: the other's overflow goes there.
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
		t.Errorf("served fraction %.3f, %d of %d attempts rejected", s.ServedFraction(), s.Rejected, s.ClientAttempts)
	}
}

// Each backend answers one request in eight with an error at once: not all of them may be ejected.
func TestErrorsAtAllBackends(t *testing.T) {
	t.Parallel()
	scenario := fleetScenario()
	scenario.Events = []ScheduledEvent{{0, func(e *Emulation) {
		for place := range scenario.BackendCount {
			e.InjectErrors(place, 0.125)
		}
	}}}
	r := run(t, scenario)
	if s := r.Sum(2, 20); s.ServedFraction() < 0.85 {
		t.Errorf("served fraction %.3f, %d of %d attempts ended as errors", s.ServedFraction(), s.ApplicationErrors, s.Attempts)
	}
}

// A zone of 30 backends fails silently with requests in flight, and restarts at once under old and new names, warming up.
func TestZoneFailsAndWarmsUp(t *testing.T) {
	t.Parallel()
	scenario := fleetScenario()
	scenario.Events = []ScheduledEvent{
		{5 * time.Second, func(e *Emulation) { e.FailSilently(func(_ int, zone string) bool { return zone == "b" }) }},
		{9 * time.Second, func(e *Emulation) { e.RestoreSilent() }},
	}
	r := run(t, scenario)
	if s := r.Sum(6, 9); s.ServedFraction() < 0.55 {
		t.Errorf("served fraction %.3f while half of the servers are silent", s.ServedFraction())
	}
	if s := r.Sum(17, 20); s.ServedFraction() < 0.9 {
		t.Errorf("served fraction %.3f once they are back", s.ServedFraction())
	}
	if s := r.Sum(7, 9); s.ConnectFailures > s.Attempts/5 {
		t.Errorf("%d of %d attempts do not connect two seconds after the loss", s.ConnectFailures, s.Attempts)
	}
}

// Each instance sends to a backend that fails at once only every few seconds. The backend must not attract more than its share.
func TestFastFailureAttractsNoTraffic(t *testing.T) {
	t.Parallel()
	scenario := fleetScenario()
	scenario.Clients.RequestsPerSecond = 60
	scenario.Events = []ScheduledEvent{{0, func(e *Emulation) { e.InjectErrors(7, 1); e.InjectErrors(22, 1) }}}
	r := run(t, scenario)
	if s := r.Sum(2, 20); s.ApplicationErrors > s.Attempts*2/60 || s.ServedFraction() < 0.95 {
		t.Errorf("%d of %d attempts ended as errors at two of 60 servers, served fraction %.3f", s.ApplicationErrors, s.Attempts, s.ServedFraction())
	}
}

// A backend at its connection limit refuses connections: nothing was executed, and the attempts go elsewhere.
func TestConnectionLimit(t *testing.T) {
	t.Parallel()
	scenario := fleetScenario()
	scenario.MaxConnections = 8
	r := run(t, scenario)
	if s := r.Sum(2, 20); s.ServedFraction() < 0.8 || s.ConnectFailures == 0 {
		t.Errorf("served fraction %.3f, %d of %d attempts do not connect", s.ServedFraction(), s.ConnectFailures, s.Attempts)
	}
}

// inFifth matches about a fifth of the backends.
func inFifth(place int, _ string) bool { return InFraction(place, 0.2) }

// A fifth of 200 backends is partitioned for six seconds, the list shows it only when it is over, and all the while responses get lost and
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
	t.Logf("served fraction %.3f, %d of %d attempts do not connect, %d time out, %d of %d attempts rejected", s.ServedFraction(), s.ConnectFailures, s.Attempts, s.Timeouts, s.Rejected, s.ClientAttempts)
	if s.ConnectFailures > s.Attempts*3/100 || s.ServedFraction() < 0.8 {
		t.Errorf("%d of %d attempts do not connect from second 2 on, served fraction %.3f", s.ConnectFailures, s.Attempts, s.ServedFraction())
	}
	if s := r.Sum(0, 3); s.ServedFraction() < 0.9 {
		t.Errorf("served fraction %.3f before", s.ServedFraction())
	}
}
