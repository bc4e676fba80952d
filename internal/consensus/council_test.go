package consensus

import (
	"slices"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
	"sorrelrudder/internal/lease"
)

// carryOut does what change proposes until it proposes nothing more, and returns who votes and who listens then.
func carryOut(t *rapid.T, f *StateMachine, voters, learners []uint64) ([]uint64, []uint64) {
	for steps := 0; ; steps++ {
		c := f.nextConfChange(&raftpb.ConfState{Voters: voters, Learners: learners}, func(uint64) bool { return true })
		if c == nil {
			return voters, learners
		}
		if steps > 50 {
			t.Fatalf("the changes do not come to an end: %v, %v", voters, learners)
		}
		added, removed := 0, 0
		for _, one := range c.Changes {
			id := one.GetNodeId()
			wasVoter := slices.Contains(voters, id)
			voters = slices.DeleteFunc(slices.Clone(voters), func(v uint64) bool { return v == id })
			learners = slices.DeleteFunc(slices.Clone(learners), func(v uint64) bool { return v == id })
			switch one.GetType() {
			case raftpb.ConfChangeType_ConfChangeAddNode:
				voters = append(voters, id)
				added++
			case raftpb.ConfChangeType_ConfChangeAddLearnerNode:
				if wasVoter {
					t.Fatalf("%d is made to listen", id)
				}
				learners = append(learners, id)
			default:
				if wasVoter {
					removed++
				}
			}
		}
		if added > 1 || removed > 1 {
			t.Fatalf("%d get a vote and %d lose one at once", added, removed)
		}
		if len(voters) == 0 {
			t.Fatal("nobody votes")
		}
	}
}

// TestSeats: whatever operators and lost disks do, who votes comes to what is wanted, one at a time; an identity is never given twice; and
// one whose store is new never has a vote while its name's former identity has.
func TestSeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		f := NewStateMachine("fleet", "a", "a0", names)
		voters, learners := []uint64{1}, []uint64(nil)
		stores := map[string]int{}
		given := map[uint64]string{1: "a a0"}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
			op := rapid.SampledFrom([]VoterOp{OpAdmit, OpAdmit, OpAdmit, OpAdd, OpRemove, OpReplace}).Draw(t, "op")
			if op == OpAdmit && rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				stores[name]++
			}
			store := name + string(rune('0'+stores[name]))
			was := f.Voters[name]
			r := f.applyVoter(VoterCommand{Op: op, Name: name, StoreID: store})
			if op == OpAdmit && r.RaftID != 0 {
				if whose := given[r.RaftID]; whose != "" && whose != name+" "+store {
					t.Fatalf("identity %d of %s is given to %s %s", r.RaftID, whose, name, store)
				}
				given[r.RaftID] = name + " " + store
				if was != nil && was.StoreID != store && r.Votes {
					t.Fatalf("%s votes with another store", name)
				}
			}
			if rapid.Bool().Draw(t, "carry out") {
				voters, learners = carryOut(t, f, voters, learners)
			}
			data, err := f.snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if f, err = restore(data); err != nil {
				t.Fatal(err)
			}
		}
		voters, learners = carryOut(t, f, voters, learners)
		slices.Sort(voters)
		if !slices.Equal(voters, f.votingIDs()) {
			t.Fatalf("%v vote, wanted %v", voters, f.votingIDs())
		}
		for _, s := range f.Voters {
			if slices.Contains(voters, s.RaftID) && slices.Contains(voters, s.ReplacedID) {
				t.Fatalf("one seat votes twice: %+v", s)
			}
		}
	})
}

// TestGuide: one that is silent is left out for a while, also if others point to it; all get their turn.
func TestGuide(t *testing.T) {
	g := NewLeaderTracker([]string{"a", "b", "c"}, 0, time.Second)
	g.LeaderConfirmed("b")
	if g.Pick(0) != "b" {
		t.Fatal("not the leader")
	}
	g.Unreachable(0, "b")
	seen := map[string]bool{}
	for range 4 {
		who := g.Pick(0)
		seen[who] = true
		if g.Redirected(0, who, "b") {
			t.Error("the silent one is worth asking")
		}
	}
	if seen["b"] || len(seen) != 2 {
		t.Errorf("%v", seen)
	}
	if !g.Redirected(time.Second, "a", "b") || g.Pick(time.Second) != "b" {
		t.Error("the silent one is left out for good")
	}
	for _, who := range []string{"a", "b", "c"} {
		g.Unreachable(2*time.Second, who)
	}
	if g.Pick(2*time.Second) == "" {
		t.Error("with all silent nobody is asked")
	}
}

// FuzzRestore: what comes as a snapshot is refused or can be worked with.
func FuzzRestore(f *testing.F) {
	data, err := NewStateMachine("fleet", "a", "s", []string{"a", "b", "c"}).snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"id":"x","seats":{"a":null}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		fl, err := restore(data)
		if err != nil {
			return
		}
		fl.applyVoter(VoterCommand{Op: OpAdmit, Name: "b", StoreID: "s"})
		fl.nextConfChange(&raftpb.ConfState{Voters: []uint64{1}}, func(uint64) bool { return true })
	})
}

// TestVolatileSeat: without disks one that comes back takes the place of its former self at once; a council on disk lets none without a
// disk vote.
func TestVolatileSeat(t *testing.T) {
	f := NewStateMachine("fleet", "a", "a0", []string{"a", "b", "c"})
	if r := f.applyVoter(VoterCommand{Op: OpAdmit, Name: "b", StoreID: "b0", Volatile: true}); r.RaftID != 0 || r.Refusal == "" {
		t.Errorf("one without a disk has a seat: %+v", r)
	}
	f.Volatile = true
	first := f.applyVoter(VoterCommand{Op: OpAdmit, Name: "b", StoreID: "b0", Volatile: true})
	again := f.applyVoter(VoterCommand{Op: OpAdmit, Name: "b", StoreID: "b1", Volatile: true})
	if !first.Votes || !again.Votes || again.RaftID == first.RaftID {
		t.Errorf("%+v, %+v", first, again)
	}
	if v := f.votingIDs(); !slices.Equal(v, []uint64{1, again.RaftID}) {
		t.Errorf("%v vote", v)
	}
	// The former one still counts until the change is made, and never twice: it goes as the new one comes.
	conf := &raftpb.ConfState{Voters: []uint64{1, first.RaftID}, Learners: []uint64{again.RaftID}}
	c := f.nextConfChange(conf, func(uint64) bool { return true })
	if c == nil || len(c.Changes) != 2 || c.Changes[0].GetNodeId() != again.RaftID || c.Changes[1].GetNodeId() != first.RaftID {
		t.Errorf("%+v", c)
	}
}

// heap is a disk that forgets.
type heap struct{}

func (heap) Save(PersistentState, bool) error { return nil }

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
		if _, err := n.Process(now, heap{}); err != nil {
			t.Fatal(err)
		}
	}
	n.Submit(now, 1, Request{Lease: &lease.Request{Command: &lease.Command{Op: lease.OpOpen, Member: "a", Nonce: "1"}}})
	out, err := n.Process(now, heap{})
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
	if _, err = n.Process(now, heap{}); err != nil {
		t.Fatal(err)
	}
	n.Submit(now, 2, Request{Lease: &lease.Request{ID: 9, Member: "a", SessionID: session}})
	if out, err = n.Process(now, heap{}); err != nil {
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
