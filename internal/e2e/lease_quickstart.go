package e2e

import (
	"context"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "lease-quickstart", Duration: 8 * time.Second, Run: leaseQuickstart,
		Summary: "three processes share one task; its holder is killed, then one ends in order",
	})
}

func leaseQuickstart(ctx context.Context, e *Env) error {
	f, err := e.startFleet(ctx, fleetConfig{processes: 3, voters: 3, tasks: taskTOML("sweep", "/delivery-order/sweep", "100ms", "")})
	if err != nil {
		return err
	}
	const lease = "task/sweep"
	e.Phase("three processes, one task", e.Duration)
	if err := f.settle(ctx, lease); err != nil {
		return err
	}
	from := time.Now()
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	holderLog := f.logHolders(load, lease)
	killed, left := takeoverTimes{fleet: f}, takeoverTimes{fleet: f}
	for n := 0; load.Err() == nil; n++ {
		was := f.leaseHolder(lease)
		if was < 0 {
			if err := f.settle(ctx, lease); err != nil {
				return err
			}
			continue
		}
		p := f.members[was]
		at := time.Now()
		if n%2 == 0 {
			f.logEvent("%s holds it, and is killed", p.name)
			p.kill()
			if err := killed.await(ctx, lease, was, at); err != nil {
				return err
			}
		} else {
			f.logEvent("%s holds it, and ends in order", p.name)
			p.mu.Lock()
			p.running = false
			p.mu.Unlock()
			go func() { _ = p.program.Stop() }()
			if err := left.await(ctx, lease, was, at); err != nil {
				return err
			}
			if err := p.program.Stop(); err != nil {
				return err
			}
		}
		if err := p.start(); err != nil {
			return err
		}
		pause(load, time.Second)
	}
	<-holderLog
	to := time.Now()
	if err := f.settle(ctx, lease); err != nil {
		return err
	}
	f.measureFencing(map[string]fake.Idempotency{"sweep": fake.IdempotentByKey}, from, to)
	killed.measure("killed", maxTakeover)
	left.measure("left", time.Second)
	f.drainAll()
	return nil
}
