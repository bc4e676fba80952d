package gossip

import (
	"fmt"
	"testing"
	"time"
)

// TestCatchUpBudget checks that 20 of 40 members, started anew at the same moment, catch up while the others send no more than their
// budget.
func TestCatchUpBudget(t *testing.T) {
	w := newNetwork(t, 40)
	for name, n := range w.up {
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
		w.up[name].cfg.CatchUpBudget, w.up[name].catchUp.budget = budget, 0
	}
	before := map[string]int{}
	for _, name := range names {
		before[name] = w.up[name].Stats.CatchUpBytes
	}
	from := w.now
	took := w.until("all have caught up", 3*time.Minute, func() bool {
		for _, name := range names {
			if _, ok := w.up[name].InSync(w.now); !ok {
				return false
			}
		}
		return w.equal()
	})
	rejected := 0
	for name, n := range w.up {
		rejected += n.Stats.CatchUpRejected
		if sent := float64(n.Stats.CatchUpBytes - before[name]); sent > budget*((w.now-from).Seconds()+1)+maxSyncReplyBytes {
			t.Errorf("%s sent %.0f bytes within %v", name, sent, w.now-from)
		}
	}
	if rejected == 0 {
		t.Error("nothing was rejected: nothing was shown")
	}
	t.Logf("in %v; %d requests were rejected", took, rejected)
}

// TestInterruptedSync checks that a member whose connection breaks after each so many messages catches up all the same: what has
// arrived counts, and no part is taken for more than it was.
func TestInterruptedSync(t *testing.T) {
	for cut := 1; cut < 12; cut++ {
		w := newNetwork(t, 3)
		for i := range 120 {
			w.up["a"].Put(fmt.Sprintf("dead/%03d", i), make([]byte, 600))
		}
		w.until("all have the entries", 20*time.Second, w.equal)
		w.start("c")
		passed, breaks := 0, 0
		w.cut = func(_, to string) bool {
			if to != "c" {
				return false
			}
			passed++
			if passed > cut { // nothing more gets there for a while, then as many again
				passed = -3
				breaks++
			}
			return passed < 0
		}
		w.until(fmt.Sprintf("all is there, %d messages at a time", cut), time.Minute, w.equal)
		if cut < 3 && breaks == 0 {
			t.Error("the connection never broke")
		}
	}
}

// TestLastingDifference checks that replicas that differ for as long as one does not know the fleet tag do not keep both busy: an
// exchange is started at most once a gossip interval.
func TestLastingDifference(t *testing.T) {
	w := newNetwork(t, 2)
	w.up["a"].Store().SetFleetTag(FleetTag("present"))
	w.up["b"].Store().SetFleetTag(FleetTag("former"))
	w.up["a"].ApplyDecision("order/x", 1, []byte("avoid"))
	w.up["b"].ApplyDecision("order/y", 2, []byte("avoid"))
	w.run(time.Second)
	before := map[string]int{}
	for name, n := range w.up {
		before[name] = n.Stats.Syncs
	}
	const over = 20 * time.Second
	w.run(over)
	for name, n := range w.up {
		if syncs := n.Stats.Syncs - before[name]; syncs > int(over/n.cfg.GossipInterval)+1 || syncs < 2 {
			t.Errorf("%s has started %d exchanges within %v, the gossip interval being %v", name, syncs, over, n.cfg.GossipInterval)
		}
	}
}
