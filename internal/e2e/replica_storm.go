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
		Summary: "20 members under lost, duplicated and delayed messages, pauses and kills; then ten are restarted at the same time",
	})
}

// replicaStorm injects faults into a fleet that shares state, and then restarts half of its members at the same time.
func replicaStorm(ctx context.Context, e *Env) error {
	rng := rand.New(rand.NewPCG(e.Seed, 43))
	recorder := fake.NewEffectRecorder()
	f, err := e.startFleet(ctx, fleetConfig{processes: 20, voters: 3, backends: 6, sharedState: defaultSharedState, recorder: recorder})
	if err != nil {
		return err
	}
	observer := newVersionObserver(f)
	if err := observer.converge(ctx, "started"); err != nil {
		return err
	}
	faults, err := e.chooseFaults(drawFaults(rng, []fleetFaultKind{
		faultKill, faultStop, faultIsolate, faultOneWay, faultLoss, faultReorder, faultPartition, faultTruncate, faultLeave,
	}, int(e.Duration/(700*time.Millisecond)), len(f.members), e.Duration))
	if err != nil {
		return err
	}
	e.Phase("faults drawn from the seed", e.Duration)
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	followed := observer.follow(load)
	f.backends[0].SetFault(fake.Fault{Kind: fake.FaultUnreachable, Fraction: 0.5})
	f.injectFaults(ctx, faults)
	f.backends[0].SetFault(fake.Fault{})
	cancel()
	<-followed
	if err := f.repairAll(ctx); err != nil {
		return err
	}
	lastFault := time.Now()
	if err := observer.converge(ctx, "converged"); err != nil {
		return err
	}
	observer.measureDivergence(ctx, lastFault)
	if err := f.restartHalf(ctx); err != nil {
		return err
	}
	if err := observer.converge(ctx, "converged_again"); err != nil {
		return err
	}
	observer.measure()
	f.drainAll()
	return nil
}

// restartHalf kills the second half of the members, starts them again and measures the time until all have caught up.
func (f *fleet) restartHalf(ctx context.Context) error {
	f.env.Phase("ten members are restarted at the same time", convergenceTimeout)
	half := f.members[len(f.members)/2:]
	for _, member := range half {
		member.kill()
	}
	began := time.Now()
	for _, member := range half {
		if err := member.start(); err != nil {
			return err
		}
	}
	err := f.awaitCondition(ctx, 20*time.Second, "all ten restarted members have caught up", func() bool {
		caughtUp := 0
		for _, state := range f.sharedStates(half) {
			if state.InStepMs >= 0 {
				caughtUp++
			}
		}
		return caughtUp == len(half)
	})
	if err != nil {
		return err
	}
	f.env.AtMost("catchup_s", time.Since(began).Seconds(), 10)
	return nil
}
