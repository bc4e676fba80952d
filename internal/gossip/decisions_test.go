package gossip

import (
	"testing"
	"time"
)

// TestDecisionsWithoutConsensus checks that decisions and members' entries remain in force and spread while consensus is unavailable.
func TestDecisionsWithoutConsensus(t *testing.T) {
	w := newNetwork(t, 6)
	w.nodes["a"].ApplyDecision("order/x", 3, []byte("avoid"))
	w.nodes["b"].ApplyDecision("order/x", 2, nil) // an older decision
	w.until("all have the newest decision", 5*time.Second, func() bool { return w.equal() && w.holds("f", ConsensusOwner, "order/x") })
	w.nodes["c"].Put("dead/y", []byte("1"))
	w.until("members' entries spread", 5*time.Second, func() bool { return w.holds("f", "c", "dead/y") })
	w.nodes["d"].ApplyDecision("order/x", 9, nil)
	w.until("the decision is deleted on all members", 5*time.Second, func() bool { return w.equal() && !w.holds("a", ConsensusOwner, "order/x") })
}

// TestFleetFoundedAnew checks a fleet that was founded again and numbers its decisions from 1. A process that knows the new fleet tag
// must not accept decisions of the former fleet, although these have larger numbers. Once all processes know the tag, all replicas
// must become equal.
func TestFleetFoundedAnew(t *testing.T) {
	w := newNetwork(t, 6)
	former, present := FleetTag("former"), FleetTag("present")
	for _, n := range w.nodes {
		n.Store().SetFleetTag(former)
	}
	w.nodes["a"].ApplyDecision("order/x", 50, []byte("avoid"))
	w.nodes["a"].ApplyDecision("order/y", 51, []byte("avoid"))
	w.until("all have the entries", 5*time.Second, func() bool { return w.equal() && w.holds("f", ConsensusOwner, "order/y") })
	for _, name := range []string{"a", "b", "c"} {
		w.nodes[name].Store().SetFleetTag(present)
	}
	w.nodes["b"].ApplyDecision("order/x", 1, []byte("new"))
	w.run(5 * time.Second)
	for _, name := range []string{"a", "b", "c"} {
		if e, ok := w.nodes[name].Store().Get(ConsensusOwner, "order/x"); !ok || e.Sequence != 1 {
			t.Errorf("%s has decision %+v, want number 1 of the present fleet", name, e)
		}
		if w.holds(name, ConsensusOwner, "order/y") {
			t.Errorf("%s has a decision of the former fleet", name)
		}
	}
	if w.nodes["b"].Store().Counts.ForeignFleet == 0 {
		t.Error("no decision of the former fleet was rejected: the test did not exercise the rejection")
	}
	for _, n := range w.nodes {
		n.Store().SetFleetTag(present)
	}
	w.until("all replicas are equal", 5*time.Second, func() bool {
		e, ok := w.nodes["f"].Store().Get(ConsensusOwner, "order/x")
		return w.equal() && ok && e.Sequence == 1 && !w.holds("f", ConsensusOwner, "order/y")
	})
}
