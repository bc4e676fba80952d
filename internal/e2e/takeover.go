package e2e

import (
	"context"
	"slices"
	"time"
)

// takeoverTimes notes how long nobody held a lease after its holder was hit.
type takeoverTimes struct {
	fleet     *fleet
	durations []time.Duration
}

// await waits until another process holds the lease, and notes how long that took from the moment of the fault.
func (t *takeoverTimes) await(ctx context.Context, lease string, was int, at time.Time) error {
	var next leaseSpan
	err := t.fleet.awaitCondition(ctx, 10*time.Second, lease+" is held by another", func() bool {
		for _, s := range t.fleet.leaseSpans(lease) {
			if s.holder != was && s.from.After(at) {
				next = s
				return true
			}
		}
		return false
	})
	if err == nil {
		t.durations = append(t.durations, next.from.Sub(at))
	}
	return err
}

// measure notes the times beside their bound: the term, the drift of two clocks, one election and a tick.
func (t *takeoverTimes) measure(name string, most time.Duration) {
	if len(t.durations) == 0 {
		t.fleet.env.Fail("%s: nothing was taken over", name)
		return
	}
	slices.Sort(t.durations)
	t.fleet.env.Measure(name+"_takeover_p50_s", t.durations[len(t.durations)/2].Seconds())
	t.fleet.env.AtMost(name+"_takeover_most_s", t.durations[len(t.durations)-1].Seconds(), most.Seconds())
}

// maxTakeover is the bound after a holder was killed: a term by the slowest clock, counted anew by a new leader, an election of at most
// twenty ticks, and some for the machine.
const maxTakeover = leaseTTL + leaseTTL/10 + 20*consensusTick + 500*time.Millisecond
