package e2e

import (
	"context"
	"time"
)

func init() {
	Register(Scenario{
		Name: "lease-quickstart", Duration: 8 * time.Second, Run: leaseQuickstart,
		Summary: "three members share one task; its lease holder is killed, and the next one shut down gracefully",
	})
}

// maxGracefulTakeover is the target for the time of a takeover from a holder that shuts down gracefully.
const maxGracefulTakeover = time.Second

// leaseQuickstart alternately kills the holder and shuts it down gracefully, and measures the takeovers.
func leaseQuickstart(ctx context.Context, e *Env) error {
	f, err := e.startFleet(ctx, fleetConfig{processes: 3, voters: 3, tasks: sweepTask("100ms")})
	if err != nil {
		return err
	}
	e.Phase("three members, one task", e.Duration)
	if err := f.repairAndAwaitLease(ctx, sweepLease); err != nil {
		return err
	}
	from := time.Now()
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	logged := f.logHolders(load, sweepLease)
	killed, left := &takeoverTimes{fleet: f}, &takeoverTimes{fleet: f}
	for n := 0; load.Err() == nil; n++ {
		holder := f.leaseHolder(sweepLease)
		if holder < 0 {
			if err := f.repairAndAwaitLease(ctx, sweepLease); err != nil {
				return err
			}
			continue
		}
		endHolder, times := f.killHolder, killed
		if n%2 == 1 {
			endHolder, times = f.shutDownHolder, left
		}
		if err := endHolder(ctx, f.members[holder], times); err != nil {
			return err
		}
		if err := f.members[holder].start(); err != nil {
			return err
		}
		pause(load, time.Second)
	}
	<-logged
	to := time.Now()
	if err := f.repairAndAwaitLease(ctx, sweepLease); err != nil {
		return err
	}
	f.measureFencing(sweepIdempotency, from, to)
	killed.measure("killed", maxTakeover)
	left.measure("left", maxGracefulTakeover)
	f.drainAll()
	return nil
}

// killHolder kills the holder of the lease and waits for the takeover.
func (f *fleet) killHolder(ctx context.Context, holder *fleetMember, times *takeoverTimes) error {
	at := time.Now()
	f.logEvent("lease holder %s is killed", holder.name)
	holder.kill()
	return times.await(ctx, sweepLease, holder.index, at)
}

// shutDownHolder shuts the holder of the lease down gracefully, and waits for the takeover and for the end of its process.
func (f *fleet) shutDownHolder(ctx context.Context, holder *fleetMember, times *takeoverTimes) error {
	at := time.Now()
	f.logEvent("lease holder %s shuts down gracefully", holder.name)
	program, _ := holder.markStopped()
	go func() { _ = program.Stop() }() // the call below returns the same result
	if err := times.await(ctx, sweepLease, holder.index, at); err != nil {
		return err
	}
	return program.Stop()
}
