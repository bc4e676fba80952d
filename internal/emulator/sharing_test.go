package emulator

import (
	"testing"
	"time"

	"sorrelrudder/policy"
)

// TestUnreachableHints guards the benefit of hints and the tolerance of false ones. Hints with a quorum of two avoid at least half of the
// lost attempts at unreachable backends without reducing service. Constant false hints about every backend reduce service only a little,
// even without a quorum.
func TestUnreachableHints(t *testing.T) {
	t.Parallel()
	partition := func(sharing Sharing, falseHints bool) *Result {
		scenario := fleetScenario()
		scenario.Duration, scenario.Sharing = 12*time.Second, sharing
		scenario.Discovery.NotificationDelay = 5 * time.Second
		scenario.Events = []ScheduledEvent{
			{0, func(e *Emulation) { e.DropResponses(0.005); e.ResetConnections(0.005) }},
			{3 * time.Second, func(e *Emulation) { e.Partition(inFifth) }},
			{9 * time.Second, func(e *Emulation) { e.HealPartition() }},
		}
		for at := 2 * time.Second; falseHints && at < scenario.Duration; at += 200 * ms {
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
	withoutHints := partition(Sharing{}, false)
	withHints := partition(Sharing{Delay: 100 * ms, Unreachable: true, Quorum: 2}, false)
	withFalseHints := partition(Sharing{}, true)
	lost := func(r *Result) int { return r.Total.ConnectFailures + r.Total.Timeouts }
	t.Logf("without hints: served fraction %.3f, %d attempts lost; with hints: %.3f, %d; with false hints: %.3f", withoutHints.Total.ServedFraction(), lost(withoutHints), withHints.Total.ServedFraction(), lost(withHints), withFalseHints.Total.ServedFraction())
	if 2*lost(withHints) > lost(withoutHints) || withHints.Total.ServedFraction() < withoutHints.Total.ServedFraction()-0.02 {
		t.Errorf("with hints %d attempts lost, without %d, want at most half; served fraction %.3f, without hints %.3f, want at most 0.02 less", lost(withHints), lost(withoutHints), withHints.Total.ServedFraction(), withoutHints.Total.ServedFraction())
	}
	if withFalseHints.Total.ServedFraction() < withoutHints.Total.ServedFraction()-0.1 {
		t.Errorf("false hints reduce the served fraction by %.3f, want at most 0.1", withoutHints.Total.ServedFraction()-withFalseHints.Total.ServedFraction())
	}
}
