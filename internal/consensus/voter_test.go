package consensus

import (
	"slices"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// alwaysCaughtUp reports each learner as caught up.
func alwaysCaughtUp(uint64) bool { return true }

// applyConfChanges applies the changes of nextConfChange until there are no more, and returns the resulting voters and learners.
func applyConfChanges(t *rapid.T, m *StateMachine, voters, learners []uint64) ([]uint64, []uint64) {
	for steps := 0; ; steps++ {
		c := m.nextConfChange(&raftpb.ConfState{Voters: voters, Learners: learners}, alwaysCaughtUp)
		if c == nil {
			return voters, learners
		}
		if steps > 50 {
			t.Fatalf("more than 50 configuration changes: voters %v, learners %v", voters, learners)
		}
		added, removed := 0, 0
		for _, change := range c.Changes {
			id := change.GetNodeId()
			wasVoter := slices.Contains(voters, id)
			voters = slices.DeleteFunc(slices.Clone(voters), func(v uint64) bool { return v == id })
			learners = slices.DeleteFunc(slices.Clone(learners), func(v uint64) bool { return v == id })
			switch change.GetType() {
			case raftpb.ConfChangeType_ConfChangeAddNode:
				voters = append(voters, id)
				added++
			case raftpb.ConfChangeType_ConfChangeAddLearnerNode:
				if wasVoter {
					t.Fatalf("voter %d became a learner", id)
				}
				learners = append(learners, id)
			default:
				if wasVoter {
					removed++
				}
			}
		}
		if added > 1 || removed > 1 {
			t.Fatalf("one change adds %d voters and removes %d, want at most one each", added, removed)
		}
		if len(voters) == 0 {
			t.Fatal("the configuration has no voters")
		}
	}
}

// admissions checks that a raft ID is never allocated twice, and that a member that returns with another store does not vote.
type admissions struct {
	stores map[string]int    // number of lost stores by member
	owners map[uint64]string // member and store by raft ID
}

// check checks the result of OpAdmit for a member and its store. former is the member's voter before the command.

func (a *admissions) check(t *rapid.T, former *Voter, name, store string, r VoterResult) {
	if r.RaftID == 0 {
		return
	}
	owner := name + " " + store
	if other := a.owners[r.RaftID]; other != "" && other != owner {
		t.Fatalf("raft ID %d of %s is also allocated to %s", r.RaftID, other, owner)
	}
	a.owners[r.RaftID] = owner
	if former != nil && former.StoreID != store && r.Votes {
		t.Fatalf("%s votes with another store", name)
	}
}

// TestVoters checks these properties for random admissions, operator commands and lost stores:
//   - The raft configuration reaches the specified one, with at most one voter added and one removed at a time.
//   - A raft ID is never allocated twice.
//   - The new raft ID of a member and its former one never vote at the same time.
func TestVoters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewStateMachine("fleet", "a", "a0", []string{"a", "b", "c"})
		voters, learners := []uint64{1}, []uint64(nil)
		admitted := admissions{stores: map[string]int{}, owners: map[uint64]string{1: "a a0"}}
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
				voters, learners = applyConfChanges(t, m, voters, learners)
			}
			data, err := m.snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if m, err = restore(data); err != nil {
				t.Fatal(err)
			}
		}
		voters, _ = applyConfChanges(t, m, voters, learners)
		slices.Sort(voters)
		if !slices.Equal(voters, m.votingIDs()) {
			t.Fatalf("voters are %v, want %v", voters, m.votingIDs())
		}
		for _, v := range m.Voters {
			if slices.Contains(voters, v.RaftID) && slices.Contains(voters, v.ReplacedID) {
				t.Fatalf("the former and the new raft ID of a member both vote: %+v", v)
			}
		}
	})
}

// TestVolatileVoter checks that in a volatile fleet a returning member replaces its former raft ID at once, and that a fleet with stores on
// disk refuses a member with a volatile store.
func TestVolatileVoter(t *testing.T) {
	m := NewStateMachine("fleet", "a", "a0", []string{"a", "b", "c"})
	if r := m.applyVoter(VoterCommand{Op: OpAdmit, Name: "b", StoreID: "b0", Volatile: true}); r.RaftID != 0 || r.Refusal == "" {
		t.Errorf("a member with a volatile store was admitted: %+v", r)
	}
	m.Volatile = true
	first := m.applyVoter(VoterCommand{Op: OpAdmit, Name: "b", StoreID: "b0", Volatile: true})
	second := m.applyVoter(VoterCommand{Op: OpAdmit, Name: "b", StoreID: "b1", Volatile: true})
	if !first.Votes || !second.Votes || second.RaftID == first.RaftID {
		t.Errorf("results of the two admissions: %+v, %+v", first, second)
	}
	if ids := m.votingIDs(); !slices.Equal(ids, []uint64{1, second.RaftID}) {
		t.Errorf("%v are to vote, want raft ID 1 and the new raft ID of b", ids)
	}
	// The former raft ID stays a voter until one change adds the new raft ID and removes the former one.
	conf := &raftpb.ConfState{Voters: []uint64{1, first.RaftID}, Learners: []uint64{second.RaftID}}
	c := m.nextConfChange(conf, alwaysCaughtUp)
	if c == nil || len(c.Changes) != 2 || c.Changes[0].GetNodeId() != second.RaftID || c.Changes[1].GetNodeId() != first.RaftID {
		t.Errorf("the change is %+v, want the new raft ID of b added as a voter and the former one removed", c)
	}
}
