package e2e

import (
	"context"
	"slices"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "replica-dead", Duration: 28 * time.Second, Run: replicaDead,
		Summary: "a server dies silently before 30 processes: sends to it with shared state and without, on the same seed",
	})
}

// replicaDead compares what goes to a vanished backend from members that share state, and from members that do not.
func replicaDead(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	alone, err := e.playBackendLoss(ctx, false, recorder)
	if err != nil {
		return err
	}
	shared, err := e.playBackendLoss(ctx, true, recorder)
	if err != nil {
		return err
	}
	e.checkAnsweredOnce(recorder, "")
	e.Measure("dead_sends_alone", float64(alone.lostRequests))
	e.Measure("dead_sends", float64(shared.lostRequests))
	// Of some ten sends: a quarter over many seeds.
	e.AtMost("dead_sends_share", float64(shared.lostRequests)/float64(max(1, alone.lostRequests)), 0.7)
	e.Measure("served_alone", alone.served)
	e.AtLeast("served", shared.served, alone.served-0.01)
	return nil
}

// backendLossOutcome is what the loss of a backend cost.
type backendLossOutcome struct {
	lostRequests int64
	served       float64
}

func (e *Env) playBackendLoss(ctx context.Context, shared bool, recorder *fake.EffectRecorder) (backendLossOutcome, error) {
	const rate = 1 // a member that seldom sends to a backend gains most by what others know of it
	f, name, err := e.startSharedStateFleet(ctx, shared, fleetConfig{
		processes: 30, voters: 3, backends: 10, recorder: recorder, subsets: true,
		configureBackend: func(b *fake.BackendConfig) { b.ServiceTime = 15 * time.Millisecond },
	})
	if err != nil {
		return backendLossOutcome{}, err
	}
	length := e.Duration / 2
	e.Phase("a server dies silently, "+name, length)
	load, cancel := context.WithTimeout(ctx, length+2*time.Second)
	defer cancel()
	lostBackend := f.loseUsedBackend(load, 2*time.Second)
	results := f.runClients(load, name, rate, recorder)
	backend := <-lostBackend
	if backend == nil {
		return backendLossOutcome{}, ctx.Err()
	}
	outcome := backendLossOutcome{backend.LostRequests(), results.ServedFraction()}
	e.measureResults(name+"_", results)
	if shared {
		e.Measure("hints", float64(f.hintCount()))
	}
	f.drainAll()
	return outcome, nil
}

// loseUsedBackend has one of the most used backends vanish after a while. The channel has it, or nil if ctx ended before.
func (f *fleet) loseUsedBackend(ctx context.Context, after time.Duration) <-chan *fake.Backend {
	lost := make(chan *fake.Backend, 1)
	go func() {
		defer close(lost)
		if !pause(ctx, after) {
			return
		}
		byUse := slices.SortedFunc(slices.Values(f.backends), func(a, b *fake.Backend) int { return int(b.Served() - a.Served()) })
		backend := byUse[int(f.env.Seed)%3]
		f.logEvent("%s dies", backend.Name())
		backend.SetFault(unreachableFault)
		lost <- backend
	}()
	return lost
}
