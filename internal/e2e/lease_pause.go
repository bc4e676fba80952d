package e2e

import (
	"context"
	"syscall"
	"time"
)

func init() {
	Register(Scenario{
		Name: "lease-pause", Duration: 20 * time.Second, Run: leasePause,
		Summary: "the lease holder is paused for three lease TTLs between checking its lease and acting on it, and then continues",
	})
}

// leasePause pauses the holder for longer than its lease lasts, so that it continues with a lease that another member has acquired.
func leasePause(ctx context.Context, e *Env) error {
	f, err := e.startSweepFleet(ctx, 5, 3, "20ms")
	if err != nil {
		return err
	}
	e.Phase("the lease holder is paused for three lease TTLs, repeatedly", e.Duration)
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
		f.logEvent("lease holder %s is paused", member.name)
		program.Signal(syscall.SIGSTOP)
		err := times.await(ctx, sweepLease, holder, at)
		pause(ctx, 3*leaseTTL-time.Since(at))
		program.Signal(syscall.SIGCONT)
		f.logEvent("%s continues", member.name)
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
