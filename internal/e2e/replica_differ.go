package e2e

import (
	"context"
	"math/rand/v2"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "replica-differ", Duration: 14 * time.Second, Run: replicaDiffer,
		Summary: "one member is restarted repeatedly while orders are given and lifted over lossy links: all members converge to the same entries",
	})
}

// replicaDiffer restarts one member repeatedly, and gives and lifts orders over lossy links.
func replicaDiffer(ctx context.Context, e *Env) error {
	rng := rand.New(rand.NewPCG(e.Seed, 42))
	f, err := e.startFleet(ctx, fleetConfig{processes: 8, voters: 3, backends: 6, sharedState: defaultSharedState})
	if err != nil {
		return err
	}
	observer := newVersionObserver(f)
	if err := observer.converge(ctx, "started"); err != nil {
		return err
	}
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	followed := observer.follow(load)
	e.Phase("restarts of one member, orders over lossy links", e.Duration)
	restore := f.configureProxies(func(int, int) bool { return true },
		func(w *fake.FrameFaults) {
			w.DropFraction, w.DuplicateFraction, w.Jitter = 0.1, 0.1, 100*time.Millisecond
		},
		func(w *fake.FrameFaults) { w.DropFraction, w.DuplicateFraction, w.Jitter = 0, 0, 0 })
	restarted := f.members[7]
	ordered := map[string]bool{}
	starts := 0
	for load.Err() == nil {
		if err := restarted.restart(); err != nil { // about 100 times per minute
			return err
		}
		starts++
		backend := f.backends[rng.IntN(3)].Name()
		verb := "avoid"
		if ordered[backend] {
			verb = "lift"
		}
		if err := f.runOrder(verb, backend, f.members[rng.IntN(3)]); err == nil {
			ordered[backend] = !ordered[backend]
		} else if inForce, known := f.orderInForce(backend); known { // the response may have been lost
			ordered[backend] = inForce
		}
		pause(load, 400*time.Millisecond)
	}
	restore()
	<-followed
	lastFault := time.Now()
	if err := observer.converge(ctx, "converged"); err != nil {
		return err
	}
	observer.measureDivergence(ctx, lastFault)
	e.Measure("starts", float64(starts))
	f.measureIncarnations(restarted.name)
	observer.measure()
	f.drainAll()
	return nil
}

// orderInForce queries the first member for whether an order about a backend is in force. known is false if the member does not answer or
// has no entry for the order.
func (f *fleet) orderInForce(backend string) (inForce, known bool) {
	state, err := f.sharedState(f.members[0])
	if err != nil {
		return false, false
	}
	for _, entry := range state.Entries {
		if entry.Key == orderKey(backend) {
			inForce, known = len(entry.Values) > 0, true
		}
	}
	return inForce, known
}

// measureIncarnations measures how often members received different contents for the same version, and checks that they hold entries of at
// most one incarnation of a member.
func (f *fleet) measureIncarnations(owner string) {
	incarnations := map[uint64]bool{}
	conflicts := 0
	for _, state := range f.sharedStates(f.members) {
		conflicts += state.Refused.Differ
		for _, entry := range state.Entries {
			if entry.Owner == owner {
				incarnations[entry.Inc] = true
			}
		}
	}
	f.env.AtMost("contents_of_one_version", float64(conflicts), 0)
	if len(incarnations) > 1 {
		f.env.Fail("entries of %d incarnations of %s are held", len(incarnations), owner)
	}
}
