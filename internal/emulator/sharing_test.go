package emulator

import (
	"testing"
	"time"

	"sorrelrudder/policy"
)

// Hints with a quorum of two avoid at least half of the attempts at unreachable backends, and cost no service. Constant false hints on every
// backend cost little, even without a quorum.
func TestUnreachableHints(t *testing.T) {
	t.Parallel()
	cut := func(h Sharing, liar bool) *Result {
		scenario := fleetScenario()
		scenario.Duration, scenario.Sharing = 12*time.Second, h
		scenario.Discovery.NotificationDelay = 5 * time.Second
		scenario.Events = []ScheduledEvent{
			{0, func(e *Emulation) { e.DropResponses(0.005); e.ResetConnections(0.005) }},
			{3 * time.Second, func(e *Emulation) { e.Partition(inFifth) }},
			{9 * time.Second, func(e *Emulation) { e.HealPartition() }},
		}
		for at := 2 * time.Second; liar && at < scenario.Duration; at += 200 * ms {
			scenario.Events = append(scenario.Events, ScheduledEvent{at, func(e *Emulation) {
				for _, s := range e.backends {
					for _, in := range e.instances {
						in.handle(func(now policy.Time) { in.balancer.HandleUnreachableHint(now, policy.EndpointID(s.id)) })
					}
				}
			}})
		}
		return run(t, scenario)
	}
	alone := cut(Sharing{}, false)
	heard := cut(Sharing{Delay: 100 * ms, Unreachable: true, Quorum: 2}, false)
	lied := cut(Sharing{}, true)
	lost := func(r *Result) int { return r.Total.ConnectFailures + r.Total.Timeouts }
	t.Logf("alone: served fraction %.3f, %d lost; with hints: %.3f, %d; with a false reporter: %.3f", alone.Total.ServedFraction(), lost(alone), heard.Total.ServedFraction(), lost(heard), lied.Total.ServedFraction())
	if 2*lost(heard) > lost(alone) || heard.Total.ServedFraction() < alone.Total.ServedFraction()-0.02 {
		t.Errorf("hints: %d attempts lost for %d, served fraction %.3f for %.3f", lost(heard), lost(alone), heard.Total.ServedFraction(), alone.Total.ServedFraction())
	}
	if lied.Total.ServedFraction() < alone.Total.ServedFraction()-0.1 {
		t.Errorf("a false reporter costs %.3f of the service", alone.Total.ServedFraction()-lied.Total.ServedFraction())
	}
}
