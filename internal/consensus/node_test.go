package consensus

import (
	"slices"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"sorrelrudder/internal/lease"
)

// volatileStorage is a Storage that forgets.
type volatileStorage struct{}

func (volatileStorage) Save(PersistentState, bool) error { return nil }

// TestRefusedChangeKeepsJudgement guards against two holders (tier-explore, seed 329766): the library puts an empty entry in the place of a
// change of members that it refuses. It is not a leader's first one. A leader that began anew there forgot that it had judged a session to have
// ended, with that still on its way through the log, and renewed it.
func TestRefusedChangeKeepsJudgement(t *testing.T) {
	snap, err := BootstrapSnapshot(NewStateMachine("fleet", "a", "a0", []string{"a", "b", "c"}))
	if err != nil {
		t.Fatal(err)
	}
	rules := lease.Timing{TTL: time.Second, MaxClockDrift: 0.01, SafetyMargin: 10 * time.Millisecond}
	n, err := New(Config{ID: 1, LeaseTiming: rules, Persisted: PersistentState{Snapshot: snap, HardState: BootstrapHardState()}})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(0)
	for !n.IsLeader() && now < time.Minute {
		now += 10 * time.Millisecond
		n.Tick(now)
		if _, err := n.Process(now, volatileStorage{}); err != nil {
			t.Fatal(err)
		}
	}
	n.Submit(now, 1, Request{Lease: &lease.Request{Command: &lease.Command{Op: lease.OpOpen, Member: "a", Nonce: "1"}}})
	out, err := n.Process(now, volatileStorage{})
	if err != nil || len(out.Replies) != 1 || out.Replies[0].Response.Lease == nil {
		t.Fatalf("%+v, %v", out, err)
	}
	session := out.Replies[0].Response.Lease.Result.SessionID
	due := n.lessor.DueCommands(now+2*time.Second, n.machine.Leases) // judged; it is still to come out of the log
	if len(due) != 1 || due[0].SessionID != session {
		t.Fatalf("%+v", due)
	}
	one, two := uint64(7), uint64(8)
	learner := raftpb.ConfChangeType_ConfChangeAddLearnerNode
	for _, id := range []*uint64{&one, &two} { // the second is refused: the first is under way
		if err := n.rawNode.ProposeConfChange(&raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{{Type: learner.Enum(), NodeId: id}}}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err = n.Process(now, volatileStorage{}); err != nil {
		t.Fatal(err)
	}
	n.Submit(now, 2, Request{Lease: &lease.Request{ID: 9, Member: "a", SessionID: session}})
	if out, err = n.Process(now, volatileStorage{}); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(n.confState.GetLearners(), []uint64{one}) {
		t.Fatalf("%v listen: no change was refused", n.confState.GetLearners())
	}
	for _, r := range out.Replies {
		if r.Handle == 2 && r.Response.Lease.Refusal != lease.RefusedNoSession {
			t.Errorf("a session that was judged to have ended is renewed: %+v", r.Response.Lease)
		}
	}
}
