package gossip

import (
	"testing"
	"time"
)

// TestDecisionsWithoutConsensus checks that without consensus decisions stand and spread, and that members' entries do, too.
func TestDecisionsWithoutConsensus(t *testing.T) {
	w := newNetwork(t, 6)
	w.up["a"].ApplyDecision("order/x", 3, []byte("avoid"))
	w.up["b"].ApplyDecision("order/x", 2, nil) // an older decision
	w.until("all have the newest", 5*time.Second, func() bool { return w.equal() && w.holds("f", ConsensusOwner, "order/x") })
	w.up["c"].Put("dead/y", []byte("1"))
	w.until("members' entries spread", 5*time.Second, func() bool { return w.holds("f", "c", "dead/y") })
	w.up["d"].ApplyDecision("order/x", 9, nil)
	w.until("the order is lifted everywhere", 5*time.Second, func() bool { return w.equal() && !w.holds("a", ConsensusOwner, "order/x") })
}

// TestFleetFoundedAnew checks that a process that knows the fleet to be founded anew takes over nothing of the former one, whose
// decisions have larger numbers, and that all are equal once all know.
func TestFleetFoundedAnew(t *testing.T) {
	w := newNetwork(t, 6)
	former, present := FleetTag("former"), FleetTag("present")
	for _, n := range w.up {
		n.Store().SetFleetTag(former)
	}
	w.up["a"].ApplyDecision("order/x", 50, []byte("avoid"))
	w.up["a"].ApplyDecision("order/y", 51, []byte("avoid"))
	w.until("all have the entries", 5*time.Second, func() bool { return w.equal() && w.holds("f", ConsensusOwner, "order/y") })
	for _, name := range []string{"a", "b", "c"} {
		w.up[name].Store().SetFleetTag(present)
	}
	w.up["b"].ApplyDecision("order/x", 1, []byte("new"))
	w.run(5 * time.Second)
	for _, name := range []string{"a", "b", "c"} {
		if e, ok := w.up[name].Store().Get(ConsensusOwner, "order/x"); !ok || e.Sequence != 1 {
			t.Errorf("%s has %+v", name, e)
		}
		if w.holds(name, ConsensusOwner, "order/y") {
			t.Errorf("%s has an order of the former fleet", name)
		}
	}
	if w.up["b"].Store().Counts.ForeignFleet == 0 {
		t.Error("nothing of the former fleet was rejected: nothing was shown")
	}
	for _, n := range w.up {
		n.Store().SetFleetTag(present)
	}
	w.until("all are equal", 5*time.Second, func() bool {
		e, ok := w.up["f"].Store().Get(ConsensusOwner, "order/x")
		return w.equal() && ok && e.Sequence == 1 && !w.holds("f", ConsensusOwner, "order/y")
	})
}
