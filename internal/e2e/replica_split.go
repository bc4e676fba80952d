package e2e

import (
	"context"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "replica-split", Duration: 12 * time.Second, Run: replicaSplit,
		Summary: "ten processes split in two while servers die and orders are given on one side, and meet again",
	})
}

func replicaSplit(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	f, err := e.startFleet(ctx, fleetConfig{processes: 10, voters: 3, backends: 6, sharedState: defaultSharedState, recorder: recorder})
	if err != nil {
		return err
	}
	h := newVersionObserver(f)
	if err := h.converge(ctx, "started"); err != nil {
		return err
	}
	side := func(i int) bool { return i < 5 } // the consensus group's majority, all of it, is on one side
	part := e.Duration / 2
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	followed := h.follow(load)
	clients := make(chan *fake.ClientResults, 1)
	go func() { clients <- f.runClients(load, "farm", 5, recorder) }()
	e.Phase("half and half", part)
	f.logEvent("split")
	restore := f.configureProxies(func(a, b int) bool { return side(a) != side(b) }, func(w *fake.FrameFaults) { w.Partitioned = true }, func(w *fake.FrameFaults) { w.Partitioned = false })
	f.backends[0].SetFault(fake.Fault{Kind: fake.FaultUnreachable, Fraction: 1})
	pause(load, part/2)
	if err := f.runOrder("avoid", f.backends[1].Name(), f.members[0]); err != nil {
		return err
	}
	if err := f.runOrder("avoid", f.backends[2].Name(), f.members[1]); err != nil {
		return err
	}
	if err := f.runOrder("lift", f.backends[2].Name(), f.members[1]); err != nil {
		return err
	}
	if out, err := f.runCommand("tier", "order", "avoid", f.backends[3].Name(), f.members[7].addr, "--secret", f.secret, "--timeout", "1s"); err == nil {
		e.Fail("the side without the council's majority has decided something: %s", out)
	}
	pause(load, part/2)
	far, err := f.sharedState(f.members[8])
	if err != nil {
		return err
	}
	e.AtLeast("decided_age_cut_off_s", float64(far.DecidedMs)/1000, (part / 2).Seconds()) // it says how old what it has is
	f.backends[0].SetFault(fake.Fault{})
	restore()
	healed := time.Now()
	f.logEvent("the halves meet again")
	e.Phase("healed", part)
	if err := h.converge(ctx, "converged"); err != nil {
		return err
	}
	h.measureDivergence(ctx, healed)
	<-followed
	c := <-clients
	for _, p := range f.members {
		s, err := f.sharedState(p)
		if err != nil {
			return err
		}
		has := map[string]int{}
		for _, x := range s.Entries {
			if x.Owner == "*council" {
				has[x.Key] = len(x.Values)
			}
		}
		if has["order/farm/"+f.backends[1].Name()] != 1 || has["order/farm/"+f.backends[2].Name()] != 0 {
			e.Fail("%s holds other orders than were given: %v", p.name, has)
		}
	}
	h.measure()
	e.measureResults("", c)
	e.Measure("served", c.ServedFraction())
	e.checkAnsweredOnce(recorder, "")
	f.drainAll()
	return nil
}
