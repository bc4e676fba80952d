package e2e

import (
	"context"
	"math/rand/v2"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "replica-storm", Duration: 14 * time.Second, Run: replicaStorm,
		Summary: "20 processes under lost, doubled and late messages, stops and kills; ten return at one moment",
	})
}

func replicaStorm(ctx context.Context, e *Env) error {
	rng := rand.New(rand.NewPCG(e.Seed, 43))
	recorder := fake.NewEffectRecorder()
	f, err := e.startFleet(ctx, fleetConfig{processes: 20, voters: 3, backends: 6, sharedState: defaultSharedState, recorder: recorder})
	if err != nil {
		return err
	}
	h := newVersionObserver(f)
	if err := h.converge(ctx, "started"); err != nil {
		return err
	}
	faults, err := e.chooseFaults(drawFaults(rng, []fleetFaultKind{
		faultKill, faultStop, faultIsolate, faultOneWay, faultLoss, faultReorder, faultPartition, faultTruncate, faultLeave,
	}, int(e.Duration/(700*time.Millisecond)), 20, e.Duration))
	if err != nil {
		return err
	}
	e.Phase("faults drawn from the seed", e.Duration)
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	followed := h.follow(load)
	f.backends[0].SetFault(fake.Fault{Kind: fake.FaultUnreachable, Fraction: 0.5})
	f.injectFaults(ctx, faults)
	f.backends[0].SetFault(fake.Fault{})
	cancel()
	<-followed
	if err := f.repairAll(ctx); err != nil {
		return err
	}
	since := time.Now()
	if err := h.converge(ctx, "converged"); err != nil {
		return err
	}
	h.measureDivergence(ctx, since)
	e.Phase("ten return at one moment", convergenceTimeout)
	for _, p := range f.members[10:] {
		p.kill()
	}
	at := time.Now()
	for _, p := range f.members[10:] {
		if err := p.start(); err != nil {
			return err
		}
	}
	if err := f.awaitCondition(ctx, 20*time.Second, "all ten have caught up", func() bool {
		got := f.sharedStates(f.members[10:])
		n := 0
		for _, s := range got {
			if s.InStepMs >= 0 {
				n++
			}
		}
		return n == 10
	}); err != nil {
		return err
	}
	e.AtMost("catchup_s", time.Since(at).Seconds(), 10)
	if err := h.converge(ctx, "converged_again"); err != nil {
		return err
	}
	h.measure()
	f.drainAll()
	return nil
}
