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
		Summary: "a backend becomes unreachable for 30 members: requests lost at it with shared state and without, on the same seed",
	})
}

// replicaDead compares the number of requests sent to an unreachable backend by members that share state and by members that do not.
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
	// The share varies, since there are only about ten such requests in a run. Over many seeds it is a quarter.
	e.AtMost("dead_sends_share", float64(shared.lostRequests)/float64(max(1, alone.lostRequests)), 0.7)
	e.Measure("served_alone", alone.served)
	e.AtLeast("served", shared.served, alone.served-0.01)
	return nil
}

// backendLossOutcome is the effect of the loss of a backend on the requests.
type backendLossOutcome struct {
	lostRequests int64
	served       float64
}

func (e *Env) playBackendLoss(ctx context.Context, shared bool, recorder *fake.EffectRecorder) (backendLossOutcome, error) {
	const rate = 1 // members that seldom use a backend gain most from the reports of others
	f, name, err := e.startSharedStateFleet(ctx, shared, fleetConfig{
		processes: 30, voters: 3, backends: 10, recorder: recorder, subsets: true,
		configureBackend: func(b *fake.BackendConfig) { b.ServiceTime = 15 * time.Millisecond },
	})
	if err != nil {
		return backendLossOutcome{}, err
	}
	length := e.Duration / 2
	e.Phase("a backend becomes unreachable, "+name, length)
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

// loseUsedBackend makes one of the three most used backends unreachable after a delay. The channel receives the backend; it is closed
// without one if ctx ends before.
func (f *fleet) loseUsedBackend(ctx context.Context, after time.Duration) <-chan *fake.Backend {
	lost := make(chan *fake.Backend, 1)
	go func() {
		defer close(lost)
		if !pause(ctx, after) {
			return
		}
		byUse := slices.SortedFunc(slices.Values(f.backends), func(a, b *fake.Backend) int { return int(b.Served() - a.Served()) })
		backend := byUse[int(f.env.Seed)%3]
		f.logEvent("%s becomes unreachable", backend.Name())
		backend.SetFault(unreachableFault)
		lost <- backend
	}()
	return lost
}
