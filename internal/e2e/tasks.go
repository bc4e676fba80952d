package e2e

import (
	"context"

	"sorrelrudder/internal/fake"
)

// sweepLease is the lease of the task sweep, which most lease scenarios use.
const sweepLease = "task/sweep"

// sweepIdempotency is the idempotency of the requests of the task sweep, by task.
var sweepIdempotency = map[string]fake.Idempotency{"sweep": fake.IdempotentByKey}

// sweepTask returns the [[tasks]] section of the task sweep.
func sweepTask(every string) string { return taskTOML("sweep", "/delivery-order/sweep", every, "") }

// startSweepFleet starts a fleet with the task sweep, and waits until its lease is held.
func (e *Env) startSweepFleet(ctx context.Context, processes, voters int, every string) (*fleet, error) {
	f, err := e.startFleet(ctx, fleetConfig{processes: processes, voters: voters, tasks: sweepTask(every)})
	if err != nil {
		return nil, err
	}
	return f, f.repairAndAwaitLease(ctx, sweepLease)
}

// repairAndAwaitTaskLeases ends all faults and waits until the lease of each task is held.
func (f *fleet) repairAndAwaitTaskLeases(ctx context.Context, tasks map[string]fake.Idempotency) error {
	for name := range tasks {
		if err := f.repairAndAwaitLease(ctx, "task/"+name); err != nil {
			return err
		}
	}
	return nil
}
