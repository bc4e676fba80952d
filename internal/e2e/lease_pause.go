package e2e

import (
	"context"
	"syscall"
	"time"
)

func init() {
	Register(Scenario{
		Name: "lease-pause", Duration: 20 * time.Second, Run: leasePause,
		Summary: "the holder is stopped for three terms between its look and its act, and goes on",
	})
}

// leasePause stops the holder for longer than its lease lasts, so that it goes on with a lease that another has taken.
func leasePause(ctx context.Context, e *Env) error {
	f, err := e.startSweepFleet(ctx, 5, 3, "20ms")
	if err != nil {
		return err
	}
	e.Phase("the holder is stopped for three terms, again and again", e.Duration)
	from := time.Now()
	times := &takeoverTimes{fleet: f}
	for began := time.Now(); time.Since(began) < e.Duration; {
		holder := f.leaseHolder(sweepLease)
		if holder < 0 {
			pause(ctx, 20*time.Millisecond)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			continue
		}
		at := time.Now()
		member := f.members[holder]
		program := member.currentProgram()
		f.logEvent("%s holds it, and is stopped", member.name)
		program.Signal(syscall.SIGSTOP)
		err := times.await(ctx, sweepLease, holder, at)
		pause(ctx, 3*leaseTTL-time.Since(at))
		program.Signal(syscall.SIGCONT)
		f.logEvent("%s goes on", member.name)
		if err != nil {
			return err
		}
		pause(ctx, 500*time.Millisecond)
	}
	to := time.Now()
	if err := f.repairAndAwaitLease(ctx, sweepLease); err != nil {
		return err
	}
	f.measureFencing(sweepIdempotency, from, to)
	times.measure("stopped", maxTakeover)
	f.drainAll()
	return nil
}
