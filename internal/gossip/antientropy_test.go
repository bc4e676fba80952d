package gossip

import (
	"fmt"
	"testing"
	"time"
)

// TestCatchUpBudget checks that 20 of 40 members that restart at the same time catch up while no member sends more than its catch-up
// budget.
func TestCatchUpBudget(t *testing.T) {
	w := newNetwork(t, 40)
	for name, n := range w.nodes {
		for i := range 100 {
			n.Put(fmt.Sprintf("dead/%s%d", name, i), make([]byte, 200))
		}
	}
	w.until("all have the entries", 2*time.Minute, w.equal)
	names := names(40)
	const budget = 1 << 16
	for i, name := range names {
		if i >= 20 {
			w.start(name)
		}
		w.nodes[name].cfg.CatchUpBudget, w.nodes[name].catchUp.budget = budget, 0
	}
	before := map[string]int{}
	for _, name := range names {
		before[name] = w.nodes[name].Stats.CatchUpBytes
	}
	from := w.Now()
	took := w.until("all have caught up", 3*time.Minute, func() bool {
		for _, name := range names {
			if _, ok := w.nodes[name].InSync(w.Now()); !ok {
				return false
			}
		}
		return w.equal()
	})
	rejected := 0
	for name, n := range w.nodes {
		rejected += n.Stats.CatchUpRejected
		if sent := float64(n.Stats.CatchUpBytes - before[name]); sent > budget*((w.Now()-from).Seconds()+1)+maxSyncReplyBytes {
			t.Errorf("%s sent %.0f bytes of entries within %v, want no more than its catch-up budget plus one reply", name, sent, w.Now()-from)
		}
	}
	if rejected == 0 {
		t.Error("no catch-up request was rejected: the test did not exhaust a budget")
	}
	t.Logf("caught up in %v; %d requests were rejected", took, rejected)
}

// TestInterruptedSync checks that a member whose connection breaks after every few messages still catches up. The entries that have
// arrived must be kept, and a partly received range must not count as complete.
func TestInterruptedSync(t *testing.T) {
	for cut := 1; cut < 12; cut++ {
		w := newNetwork(t, 3)
		for i := range 120 {
			w.nodes["a"].Put(fmt.Sprintf("dead/%03d", i), make([]byte, 600))
		}
		w.until("all have the entries", 20*time.Second, w.equal)
		w.start("c")
		passed, breaks := 0, 0
		w.cut = func(_, to string) bool {
			if to != "c" {
				return false
			}
			passed++
			if passed > cut { // drop the next few messages, then deliver the same number again
				passed = -3
				breaks++
			}
			return passed < 0
		}
		w.until(fmt.Sprintf("all replicas are equal, with %d messages between interruptions", cut), time.Minute, w.equal)
		if cut < 3 && breaks == 0 {
			t.Error("the connection to c was never interrupted: the test did not exercise an interrupted exchange")
		}
	}
}

// TestLastingDifference checks the load of a difference that exchanges cannot resolve, here two different fleet tags: a member must
// start at most one exchange per gossip interval.
func TestLastingDifference(t *testing.T) {
	w := newNetwork(t, 2)
	w.nodes["a"].Store().SetFleetTag(FleetTag("present"))
	w.nodes["b"].Store().SetFleetTag(FleetTag("former"))
	w.nodes["a"].ApplyDecision("order/x", 1, []byte("avoid"))
	w.nodes["b"].ApplyDecision("order/y", 2, []byte("avoid"))
	w.run(time.Second)
	before := map[string]int{}
	for name, n := range w.nodes {
		before[name] = n.Stats.Syncs
	}
	const over = 20 * time.Second
	w.run(over)
	for name, n := range w.nodes {
		if syncs := n.Stats.Syncs - before[name]; syncs > int(over/n.cfg.GossipInterval)+1 || syncs < 2 {
			t.Errorf("%s has started %d exchanges within %v, want at least 2 and at most one per gossip interval of %v", name, syncs, over, n.cfg.GossipInterval)
		}
	}
}
