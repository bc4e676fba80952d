package consensus

import (
	"slices"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

func alwaysCaughtUp(uint64) bool { return true }

// carryOut applies what nextConfChange proposes until it proposes nothing more, and returns the voters and learners then.
func carryOut(t *rapid.T, m *StateMachine, voters, learners []uint64) ([]uint64, []uint64) {
	for steps := 0; ; steps++ {
		c := m.nextConfChange(&raftpb.ConfState{Voters: voters, Learners: learners}, alwaysCaughtUp)
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
					t.Fatalf("voter %d is made a learner", id)
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

// admissions checks that a raft ID is never given twice, nor a vote to a member that returns with another store.
type admissions struct {
	stores map[string]int    // by member: how many stores it has lost
	given  map[uint64]string // raft IDs, by member and store
}

func (a *admissions) check(t *rapid.T, former *Voter, name, store string, r VoterResult) {
	if r.RaftID == 0 {
		return
	}
	owner := name + " " + store
	if other := a.given[r.RaftID]; other != "" && other != owner {
		t.Fatalf("raft ID %d of %s is given to %s", r.RaftID, other, owner)
	}
	a.given[r.RaftID] = owner
	if former != nil && former.StoreID != store && r.Votes {
		t.Fatalf("%s votes with another store", name)
	}
}

// TestVoters: whatever operators and lost stores do, the configuration comes to what is wanted, one vote at a time; a raft ID is never
// given twice; and a member's new raft ID never has a vote while its former one has.
func TestVoters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewStateMachine("fleet", "a", "a0", []string{"a", "b", "c"})
		voters, learners := []uint64{1}, []uint64(nil)
		admitted := admissions{stores: map[string]int{}, given: map[uint64]string{1: "a a0"}}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
			op := rapid.SampledFrom([]VoterOp{OpAdmit, OpAdmit, OpAdmit, OpAdd, OpRemove, OpReplace}).Draw(t, "op")
			if op == OpAdmit && rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				admitted.stores[name]++
			}
			store := name + string(rune('0'+admitted.stores[name]))
			former := m.Voters[name]
			r := m.applyVoter(VoterCommand{Op: op, Name: name, StoreID: store})
			if op == OpAdmit {
				admitted.check(t, former, name, store, r)
			}
			if rapid.Bool().Draw(t, "carry out") {
				voters, learners = carryOut(t, m, voters, learners)
			}
			data, err := m.snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if m, err = restore(data); err != nil {
				t.Fatal(err)
			}
		}
		voters, _ = carryOut(t, m, voters, learners)
		slices.Sort(voters)
		if !slices.Equal(voters, m.votingIDs()) {
			t.Fatalf("%v vote, wanted %v", voters, m.votingIDs())
		}
		for _, v := range m.Voters {
			if slices.Contains(voters, v.RaftID) && slices.Contains(voters, v.ReplacedID) {
				t.Fatalf("one member votes twice: %+v", v)
			}
		}
	})
}

// TestVolatileVoter: in a volatile fleet a member that returns takes the place of its former self at once; a fleet with stores on disk
// lets no member without one vote.
func TestVolatileVoter(t *testing.T) {
	m := NewStateMachine("fleet", "a", "a0", []string{"a", "b", "c"})
	if r := m.applyVoter(VoterCommand{Op: OpAdmit, Name: "b", StoreID: "b0", Volatile: true}); r.RaftID != 0 || r.Refusal == "" {
		t.Errorf("a member without a disk is admitted: %+v", r)
	}
	m.Volatile = true
	first := m.applyVoter(VoterCommand{Op: OpAdmit, Name: "b", StoreID: "b0", Volatile: true})
	again := m.applyVoter(VoterCommand{Op: OpAdmit, Name: "b", StoreID: "b1", Volatile: true})
	if !first.Votes || !again.Votes || again.RaftID == first.RaftID {
		t.Errorf("%+v, %+v", first, again)
	}
	if ids := m.votingIDs(); !slices.Equal(ids, []uint64{1, again.RaftID}) {
		t.Errorf("%v vote", ids)
	}
	// The former one still counts until the change is made, and never twice: it goes as the new one comes.
	conf := &raftpb.ConfState{Voters: []uint64{1, first.RaftID}, Learners: []uint64{again.RaftID}}
	c := m.nextConfChange(conf, alwaysCaughtUp)
	if c == nil || len(c.Changes) != 2 || c.Changes[0].GetNodeId() != again.RaftID || c.Changes[1].GetNodeId() != first.RaftID {
		t.Errorf("%+v", c)
	}
}
