package e2e

import (
	"context"
	"syscall"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "lease-pause", Duration: 20 * time.Second, Run: leasePause,
		Summary: "the holder is stopped for three terms between its look and its act, and goes on",
	})
}

func leasePause(ctx context.Context, e *Env) error {
	f, err := e.startFleet(ctx, fleetConfig{processes: 5, voters: 3, tasks: taskTOML("sweep", "/delivery-order/sweep", "20ms", "")})
	if err != nil {
		return err
	}
	const lease = "task/sweep"
	if err := f.settle(ctx, lease); err != nil {
		return err
	}
	e.Phase("the holder is stopped for three terms, again and again", e.Duration)
	from := time.Now()
	t := takeoverTimes{fleet: f}
	for began := time.Now(); time.Since(began) < e.Duration; {
		was := f.leaseHolder(lease)
		if was < 0 {
			pause(ctx, 20*time.Millisecond)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			continue
		}
		at := time.Now()
		p := f.members[was]
		f.logEvent("%s holds it, and is stopped", p.name)
		p.program.Signal(syscall.SIGSTOP)
		err := t.await(ctx, lease, was, at)
		pause(ctx, 3*leaseTTL-time.Since(at))
		p.program.Signal(syscall.SIGCONT)
		f.logEvent("%s goes on", p.name)
		if err != nil {
			return err
		}
		pause(ctx, 500*time.Millisecond)
	}
	to := time.Now()
	if err := f.settle(ctx, lease); err != nil {
		return err
	}
	f.measureFencing(map[string]fake.Idempotency{"sweep": fake.IdempotentByKey}, from, to)
	t.measure("stopped", maxTakeover)
	f.drainAll()
	return nil
}
