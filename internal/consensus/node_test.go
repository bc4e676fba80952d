package consensus

import (
	"slices"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"sorrelrudder/internal/lease"
)

// volatileStorage is a Storage that discards all writes.
type volatileStorage struct{}

func (volatileStorage) Save(PersistentState, bool) error { return nil }

// TestRefusedConfChangeKeepsLessor guards against two holders of one lease, which the scenario tier-explore found with seed 329766. The
// raft library replaces a refused configuration change by an empty entry, which looks like the first entry of a leader's term. A leader
// that created a new lessor at such an entry lost the record of a session expiry that was proposed and not applied yet. It then renewed
// the session.
func TestRefusedConfChangeKeepsLessor(t *testing.T) {
	snap, err := BootstrapSnapshot(NewStateMachine("fleet", "a", "a0", []string{"a", "b", "c"}))
	if err != nil {
		t.Fatal(err)
	}
	timing := lease.Timing{TTL: time.Second, MaxClockDrift: 0.01, SafetyMargin: 10 * time.Millisecond}
	n, err := New(Config{ID: 1, LeaseTiming: timing, Persisted: PersistentState{Snapshot: snap, HardState: BootstrapHardState()}})
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
		t.Fatalf("opening a session returned %+v and the error %v, want one reply to a lease command", out, err)
	}
	session := out.Replies[0].Response.Lease.Result.SessionID
	due := n.lessor.DueCommands(now+2*time.Second, n.machine.Leases) // the expiry counts as proposed and is not applied
	if len(due) != 1 || due[0].SessionID != session {
		t.Fatalf("the due commands are %+v, want the expiry of the session", due)
	}
	firstID, secondID := uint64(7), uint64(8)
	learner := raftpb.ConfChangeType_ConfChangeAddLearnerNode
	for _, id := range []*uint64{&firstID, &secondID} { // the library refuses the second change while the first is not applied
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
	if !slices.Equal(n.confState.GetLearners(), []uint64{firstID}) {
		t.Fatalf("learners are %v: the second change was not refused", n.confState.GetLearners())
	}
	for _, r := range out.Replies {
		if r.Handle == 2 && r.Response.Lease.Refusal != lease.RefusedNoSession {
			t.Errorf("a session whose expiry was proposed is renewed: %+v", r.Response.Lease)
		}
	}
}
