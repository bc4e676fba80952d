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

// firstSideSize is how many of the members, all voters among them, are on the first side.
const firstSideSize = 5

// replicaSplit cuts a fleet in two while a backend vanishes and orders are given on one side.
func replicaSplit(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	f, err := e.startFleet(ctx, fleetConfig{processes: 10, voters: 3, backends: 6, sharedState: defaultSharedState, recorder: recorder})
	if err != nil {
		return err
	}
	observer := newVersionObserver(f)
	if err := observer.converge(ctx, "started"); err != nil {
		return err
	}
	part := e.Duration / 2
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	followed := observer.follow(load)
	clients := f.startClients(load, f.members, 5, recorder)
	healed, err := f.playPartition(load, part)
	if err != nil {
		return err
	}
	e.Phase("healed", part)
	if err := observer.converge(ctx, "converged"); err != nil {
		return err
	}
	observer.measureDivergence(ctx, healed)
	<-followed
	results := <-clients
	if err := f.checkOrders(map[string]int{f.backends[1].Name(): 1, f.backends[2].Name(): 0}); err != nil {
		return err
	}
	observer.measure()
	e.measureResults("", results)
	e.Measure("served", results.ServedFraction())
	e.checkAnsweredOnce(recorder, "")
	f.drainAll()
	return nil
}

// playPartition cuts the fleet in two for a time, and returns when that ended.
func (f *fleet) playPartition(ctx context.Context, length time.Duration) (healed time.Time, err error) {
	e := f.env
	e.Phase("half and half", length)
	f.logEvent("split")
	side := func(i int) bool { return i < firstSideSize }
	restore := f.partition(func(from, to int) bool { return side(from) != side(to) })
	f.backends[0].SetFault(unreachableFault)
	pause(ctx, length/2)
	for _, order := range []struct {
		verb    string
		backend int
		by      int
	}{{"avoid", 1, 0}, {"avoid", 2, 1}, {"lift", 2, 1}} {
		if err := f.runOrder(order.verb, f.backends[order.backend].Name(), f.members[order.by]); err != nil {
			return time.Time{}, err
		}
	}
	if out, err := f.commandMember(f.members[7], "order", "avoid", "farm", f.backends[3].Name(), "--timeout", "1s"); err == nil {
		e.Fail("the side without the council's majority has decided something: %s", out)
	}
	pause(ctx, length/2)
	cutOff, err := f.sharedState(f.members[8])
	if err != nil {
		return time.Time{}, err
	}
	// A member that is cut off tells how old its newest decision is.
	e.AtLeast("decided_age_cut_off_s", float64(cutOff.DecidedMs)/1000, (length / 2).Seconds())
	f.backends[0].SetFault(fake.Fault{})
	restore()
	f.logEvent("the halves meet again")
	return time.Now(), nil
}

// checkOrders checks that all members hold the orders about backends: one value for an order in force, none for a lifted one.
func (f *fleet) checkOrders(want map[string]int) error {
	for _, member := range f.members {
		state, err := f.sharedState(member)
		if err != nil {
			return err
		}
		held := map[string]int{}
		for _, entry := range state.Entries {
			if entry.Owner == decisionsOwner {
				held[entry.Key] = len(entry.Values)
			}
		}
		for backend, n := range want {
			if held[orderKey(backend)] != n {
				f.env.Fail("%s holds other orders than were given: %v", member.name, held)
				break
			}
		}
	}
	return nil
}

// decisionsOwner owns the entries of the shared state that the consensus group has decided.
const decisionsOwner = "*council"

// orderKey is the key of an order about a backend in the shared state.
func orderKey(backend string) string { return "order/farm/" + backend }
