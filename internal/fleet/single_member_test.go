package fleet

import (
	"testing"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
)

// TestSingleMemberSharesState guards against a process that ends with a panic because it shares state in a fleet without other members. It
// must apply decisions as a process of a larger fleet does, leave in order, and know the decision after a restart.
func TestSingleMemberSharesState(t *testing.T) {
	cfg := newSharingConfigs(t, 1)[0]
	pools := newFakePools()
	host := startHost(t, cfg, pools)
	key := gossip.PoolKey(consensus.OperatorKind, "farm", "box")
	if r := submitDecision(t, host, cfg, consensus.DecisionCommand{Key: key, Value: "patched"}); r.Refusal != "" {
		t.Errorf("decision: refused: %s", r.Refusal)
	}
	eventually(t, "the endpoint is excluded", func() bool { return pools.excludes("box") })
	pools.reportReachability("other", true)
	// Every eighth ping goes to a member that is not alive, if there is one.
	time.Sleep(10 * cfg.SharedState.PingInterval)
	s := fetchSharedState(t, host, cfg)
	if s.DecidedMs < 0 || len(s.Hints) > 0 || len(s.Members) > 1 {
		t.Errorf("status %+v, want all decisions known, no hint and no other member", s)
	}
	host.Leave()
	if err := host.Close(); err != nil {
		t.Error(err)
	}

	pools = newFakePools()
	host = startHost(t, cfg, pools)
	defer host.Close()
	eventually(t, "the endpoint is excluded after a restart", func() bool { return pools.excludes("box") })
	submitDecision(t, host, cfg, consensus.DecisionCommand{Key: key, Withdraw: true})
	eventually(t, "the endpoint is no longer excluded", func() bool { return !pools.excludes("box") })
}
