package e2e

import (
	"context"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "replica-split", Duration: 12 * time.Second, Run: replicaSplit,
		Summary: "ten members are partitioned into halves while a backend is unreachable and orders are given on one side; then the partition ends",
	})
}

// firstSideSize is the number of members on the first side, which include all voters.
const firstSideSize = 5

// replicaSplit partitions a fleet into two sides while a backend is unreachable and orders are given on one side.
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
	e.Phase("the partition has ended", part)
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

// playPartition partitions the fleet into two sides for a time, and returns when the partition ended.
func (f *fleet) playPartition(ctx context.Context, length time.Duration) (healed time.Time, err error) {
	e := f.env
	e.Phase("two halves are partitioned", length)
	f.logEvent("the halves are partitioned")
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
	minorityState, err := f.sharedState(f.members[8])
	if err != nil {
		return time.Time{}, err
	}
	// A member on the side without a majority reports the age of its newest decision.
	e.AtLeast("decided_age_cut_off_s", float64(minorityState.DecidedMs)/1000, (length / 2).Seconds())
	f.backends[0].SetFault(fake.Fault{})
	restore()
	f.logEvent("the partition ends")
	return time.Now(), nil
}

// checkOrders checks the orders that all members hold. want has the number of values by backend: one for an order in force, none for a
// lifted one.
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

// decisionsOwner is the owner of the entries of the shared state that the consensus group has decided.
const decisionsOwner = "*council"

// orderKey returns the key of an order about a backend in the shared state.
func orderKey(backend string) string { return "order/farm/" + backend }
