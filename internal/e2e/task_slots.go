package e2e

import (
	"context"
	"math/rand/v2"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "task-slots", Duration: 20 * time.Second, Run: taskSlots,
		Summary: "tasks of each kind of idempotency whose responses are lost, while lease holders are killed, paused and shut down gracefully",
	})
}

// taskSlots loses responses of tasks of each kind of idempotency while their lease holders fail.
func taskSlots(ctx context.Context, e *Env) error {
	rng := rand.New(rand.NewPCG(e.Seed, 33))
	f, err := e.startFleet(ctx, fleetConfig{
		processes: 5, voters: 3,
		tasks: taskTOML("keyed", "/delivery-order/keyed", "60ms", "missed = \"each\"\n") + taskTOML("unsafe", "/meter-booking/unsafe", "70ms", "missed = \"once\"\n") +
			taskTOML("safe", "/allocation-check/safe", "80ms", "method = \"GET\"\nmissed = \"skip\"\n"),
	})
	if err != nil {
		return err
	}
	tasks := map[string]fake.Idempotency{"keyed": fake.IdempotentByKey, "unsafe": fake.NonIdempotent, "safe": fake.Idempotent}
	if err := f.repairAndAwaitTaskLeases(ctx, tasks); err != nil {
		return err
	}
	e.Phase("responses are lost, and lease holders fail", e.Duration)
	f.backends[0].SetFault(fake.Fault{Kind: fake.FaultUnanswered, Fraction: 0.1})
	f.backends[1].SetFault(fake.Fault{Kind: fake.FaultReset, Fraction: 0.1})
	f.backends[2].SetFault(fake.Fault{Kind: fake.FaultReject, Fraction: 0.1})
	from := time.Now()
	var all []FleetFault
	for i := range int(e.Duration / (2 * time.Second)) {
		all = append(all, FleetFault{
			At: time.Duration(i) * 2 * time.Second, Kind: []fleetFaultKind{faultKill, faultStop, faultLeave}[rng.IntN(3)], Member: rng.IntN(5),
			Duration: 300*time.Millisecond + time.Duration(rng.Int64N(int64(2*leaseTTL))),
		})
	}
	faults, err := e.chooseFaults(all)
	if err != nil {
		return err
	}
	f.injectFaults(ctx, faults)
	for _, b := range f.backends {
		b.SetFault(fake.Fault{})
	}
	to := time.Now()
	if err := f.repairAndAwaitTaskLeases(ctx, tasks); err != nil {
		return err
	}
	pause(ctx, time.Second)
	f.measureFencing(tasks, from, to)
	f.drainAll()
	return nil
}
