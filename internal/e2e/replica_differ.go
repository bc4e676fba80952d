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
		Summary: "one name is started again and again, orders are given and lifted over lossy links: one rule settles it everywhere",
	})
}

func replicaDiffer(ctx context.Context, e *Env) error {
	rng := rand.New(rand.NewPCG(e.Seed, 42))
	f, err := e.startFleet(ctx, fleetConfig{processes: 8, voters: 3, backends: 6, sharedState: defaultSharedState})
	if err != nil {
		return err
	}
	h := newVersionObserver(f)
	if err := h.converge(ctx, "started"); err != nil {
		return err
	}
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	followed := h.follow(load)
	e.Phase("starts of one name, orders over lossy links", e.Duration)
	restore := f.configureProxies(func(int, int) bool { return true },
		func(w *fake.FrameFaults) {
			w.DropFraction, w.DuplicateFraction, w.Jitter = 0.1, 0.1, 100*time.Millisecond
		},
		func(w *fake.FrameFaults) { w.DropFraction, w.DuplicateFraction, w.Jitter = 0, 0, 0 })
	p := f.members[7]
	ordered := map[string]bool{}
	starts := 0
	for n := 0; load.Err() == nil; n++ {
		p.kill() // again and again, some 100 times a minute
		if err := p.start(); err != nil {
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
		} else if s, err := f.sharedState(f.members[0]); err == nil { // the answer was lost: what is so?
			for _, x := range s.Entries {
				if x.Key == "order/farm/"+backend {
					ordered[backend] = len(x.Values) > 0
				}
			}
		}
		pause(load, 400*time.Millisecond)
	}
	restore()
	<-followed
	since := time.Now()
	if err := h.converge(ctx, "converged"); err != nil {
		return err
	}
	h.measureDivergence(ctx, since)
	got := f.sharedStates(f.members)
	incs := map[uint64]bool{}
	differ := 0
	for _, s := range got {
		differ += s.Refused.Differ
		for _, x := range s.Entries {
			if x.Owner == p.name {
				incs[x.Inc] = true
			}
		}
	}
	e.Measure("starts", float64(starts))
	e.AtMost("contents_of_one_version", float64(differ), 0)
	if len(incs) > 1 {
		e.Fail("entries of %d incarnations of %s are held", len(incs), p.name)
	}
	h.measure()
	f.drainAll()
	return nil
}
