package e2e

import (
	"context"
	"math/rand/v2"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "lease-holders", Duration: 20 * time.Second, Run: leaseHolders,
		Summary: "ten members, five of them voters, and two tasks, under faults drawn from the seed",
	})
}

// leaseHolders injects faults of all kinds into a fleet whose members' clocks drift.
func leaseHolders(ctx context.Context, e *Env) error {
	rng := rand.New(rand.NewPCG(e.Seed, 31))
	f, err := e.startFleet(ctx, fleetConfig{
		processes: 10, voters: 5,
		tasks:     sweepTask("50ms") + taskTOML("book", "/meter-booking/book", "70ms", "missed = \"skip\"\n"),
		clockRate: func(i int) float64 { return []float64{1, 1 - clockDrift, 1 + clockDrift, 1.02, 0.98}[i%5] },
	})
	if err != nil {
		return err
	}
	faults, err := e.chooseFaults(drawFaults(rng, fleetFaultKinds, int(e.Duration/(700*time.Millisecond)), 10, e.Duration))
	if err != nil {
		return err
	}
	e.Phase("faults drawn from the seed", e.Duration)
	from := time.Now()
	f.injectFaults(ctx, faults)
	to := time.Now()
	for _, lease := range []string{sweepLease, "task/book"} {
		if err := f.repairAndAwaitLease(ctx, lease); err != nil {
			return err
		}
	}
	f.measureFencing(map[string]fake.Idempotency{"sweep": fake.IdempotentByKey, "book": fake.NonIdempotent}, from, to)
	f.drainAll()
	return nil
}
