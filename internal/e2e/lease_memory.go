package e2e

import (
	"context"
	"slices"
	"time"
)

func init() {
	Register(Scenario{
		Name: "lease-memory", Duration: 12 * time.Second, Run: leaseMemory,
		Summary: "a consensus group without stores: each voter is killed in turn, and votes again under a new identity without an operator",
	})
}

// leaseMemory kills voters without stores. Each must get a new identity before it votes again.
func leaseMemory(ctx context.Context, e *Env) error {
	f, err := e.startFleet(ctx, fleetConfig{processes: 4, voters: 3, votersInMemory: true, tasks: sweepTask("50ms")})
	if err != nil {
		return err
	}
	if err := f.repairAndAwaitLease(ctx, sweepLease); err != nil {
		return err
	}
	if out, err := f.commandMember(f.members[1], "found"); err == nil {
		e.Fail("a second fleet was founded: %s", out)
	}
	from := time.Now()
	e.Phase("each voter is killed in turn", e.Duration)
	var durations []time.Duration
	for n := 0; time.Since(from) < e.Duration || n < 3; n++ {
		before := f.voters()
		voter := f.members[n%3]
		f.logEvent("%s is killed and loses its consensus state", voter.name)
		at := time.Now()
		if err := voter.restart(); err != nil {
			return err
		}
		if err := f.awaitCondition(ctx, 15*time.Second, voter.name+" votes under a new identity", func() bool {
			now := f.voters()
			return len(now) == 3 && !slices.Equal(now, before)
		}); err != nil {
			return err
		}
		durations = append(durations, time.Since(at))
		f.logEvent("%s votes again: %v", voter.name, f.voters())
		if err := f.repairAndAwaitLease(ctx, sweepLease); err != nil {
			return err
		}
	}
	slices.Sort(durations)
	e.Measure("votes_again_p50_s", durations[len(durations)/2].Seconds())
	e.Measure("votes_again_most_s", durations[len(durations)-1].Seconds())
	f.measureFencing(sweepIdempotency, from, time.Now())
	f.drainAll()
	return nil
}
