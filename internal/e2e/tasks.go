package e2e

import (
	"context"

	"sorrelrudder/internal/fake"
)

// sweepLease is the lease of the task that most scenarios of leases watch.
const sweepLease = "task/sweep"

// sweepIdempotency is what repeating a slot of that task may do.
var sweepIdempotency = map[string]fake.Idempotency{"sweep": fake.IdempotentByKey}

// sweepTask is that task in the operator's file.
func sweepTask(every string) string { return taskTOML("sweep", "/delivery-order/sweep", every, "") }

// startSweepFleet starts a fleet with that task, and waits until its lease is held.
func (e *Env) startSweepFleet(ctx context.Context, processes, voters int, every string) (*fleet, error) {
	f, err := e.startFleet(ctx, fleetConfig{processes: processes, voters: voters, tasks: sweepTask(every)})
	if err != nil {
		return nil, err
	}
	return f, f.repairAndAwaitLease(ctx, sweepLease)
}

// repairAndAwaitTaskLeases settles the leases of tasks.
func (f *fleet) repairAndAwaitTaskLeases(ctx context.Context, tasks map[string]fake.Idempotency) error {
	for name := range tasks {
		if err := f.repairAndAwaitLease(ctx, "task/"+name); err != nil {
			return err
		}
	}
	return nil
}
