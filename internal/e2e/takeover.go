package e2e

import (
	"context"
	"slices"
	"time"
)

// maxTakeover is the target for the time of a takeover after the holder was killed. It is the sum of the TTL by the slowest clock, which a
// new leader counts anew, an election of at most twenty ticks, and a margin for the machine.
const maxTakeover = leaseTTL + leaseTTL/10 + 20*consensusTick + 500*time.Millisecond

// takeoverTimes are the times from a fault of a lease holder until another member held the lease.
type takeoverTimes struct {
	fleet     *fleet
	durations []time.Duration
}

// await waits until a member other than the former holder holds the lease, and records the time since the fault.
func (t *takeoverTimes) await(ctx context.Context, lease string, formerHolder int, faultAt time.Time) error {
	var taken time.Time
	err := t.fleet.awaitCondition(ctx, 10*time.Second, lease+" is held by another member", func() bool {
		for _, span := range t.fleet.leaseSpans(lease) {
			if span.holder != formerHolder && span.from.After(faultAt) {
				taken = span.from
				return true
			}
		}
		return false
	})
	if err == nil {
		t.durations = append(t.durations, taken.Sub(faultAt))
	}
	return err
}

// measure measures the median and the maximum of the times, with a bound on the maximum.
func (t *takeoverTimes) measure(name string, bound time.Duration) {
	if len(t.durations) == 0 {
		t.fleet.env.Fail("%s: nothing was taken over", name)
		return
	}
	slices.Sort(t.durations)
	median, longest := t.durations[len(t.durations)/2], t.durations[len(t.durations)-1]
	t.fleet.env.Measure(name+"_takeover_p50_s", median.Seconds())
	t.fleet.env.AtMost(name+"_takeover_most_s", longest.Seconds(), bound.Seconds())
}
