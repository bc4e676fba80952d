package e2e

import (
	"context"
	"slices"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "lease-memory", Duration: 12 * time.Second, Run: leaseMemory,
		Summary: "a council without disks: each process is killed in turn, and votes again under another identity without an operator",
	})
}

func leaseMemory(ctx context.Context, e *Env) error {
	f, err := e.startFleet(ctx, fleetConfig{processes: 4, voters: 3, votersInMemory: true, tasks: taskTOML("sweep", "/delivery-order/sweep", "50ms", "")})
	if err != nil {
		return err
	}
	const lease = "task/sweep"
	if err := f.settle(ctx, lease); err != nil {
		return err
	}
	if out, err := f.runCommand("tier", "found", f.members[1].addr, "--secret", f.secret); err == nil {
		e.Fail("a second fleet was founded: %s", out)
	}
	from := time.Now()
	e.Phase("each member is killed in turn", e.Duration)
	var took []time.Duration
	for n := 0; time.Since(from) < e.Duration || n < 3; n++ {
		before := f.voters()
		p := f.members[n%3]
		f.logEvent("%s is killed, and what it promised with it", p.name)
		at := time.Now()
		p.kill()
		if err := p.start(); err != nil {
			return err
		}
		if err := f.awaitCondition(ctx, 15*time.Second, p.name+" votes under another identity", func() bool {
			now := f.voters()
			return len(now) == 3 && !slices.Equal(now, before)
		}); err != nil {
			return err
		}
		took = append(took, time.Since(at))
		f.logEvent("%s votes again: %v", p.name, f.voters())
		if err := f.settle(ctx, lease); err != nil {
			return err
		}
	}
	slices.Sort(took)
	e.Measure("votes_again_p50_s", took[len(took)/2].Seconds())
	e.Measure("votes_again_most_s", took[len(took)-1].Seconds())
	f.measureFencing(map[string]fake.Idempotency{"sweep": fake.IdempotentByKey}, from, time.Now())
	f.drainAll()
	return nil
}
