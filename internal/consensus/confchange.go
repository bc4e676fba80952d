package consensus

import (
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// maxCatchUpLag is the largest number of entries that a learner may be behind the committed index to become a voter.
const maxCatchUpLag = 64

// nextConfChange returns the next step from the current raft configuration to the one that m specifies, or nil if no step is possible or
// needed. The steps have this order:
//  1. Each new ID is added as a learner.
//  2. One learner at a time becomes a voter. If the smallest obsolete ID is a voter, the same step removes it by joint consensus.
//  3. The remaining obsolete IDs are removed.
func (m *StateMachine) nextConfChange(current *raftpb.ConfState, caughtUp func(id uint64) bool) *raftpb.ConfChangeV2 {
	if len(current.GetVotersOutgoing()) > 0 {
		return nil // the raft library leaves the joint configuration by itself
	}
	votes := votesByID(current)
	voters := m.votingIDs()
	wanted := m.wantedIDs(voters)
	for _, id := range wanted {
		if _, present := votes[id]; !present {
			return confChange(confChangeSingle(raftpb.ConfChangeType_ConfChangeAddLearnerNode, id))
		}
	}
	var obsolete []uint64
	for _, id := range slices.Sorted(maps.Keys(votes)) {
		if !slices.Contains(wanted, id) {
			obsolete = append(obsolete, id)
		}
	}
	if c := promotion(voters, obsolete, votes, caughtUp); c != nil {
		return c
	}
	return removal(voters, obsolete, votes)
}

// votesByID maps each ID of a raft configuration to whether it is a voter there. The IDs that are to be voters are those of
// StateMachine.votingIDs.
func votesByID(c *raftpb.ConfState) map[uint64]bool {
	votes := map[uint64]bool{}
	for _, id := range c.GetLearners() {
		votes[id] = false
	}
	for _, id := range c.GetVoters() {
		votes[id] = true
	}
	return votes
}

// wantedIDs returns the IDs that the configuration is to contain: first the voters, then the learners by member name.
func (m *StateMachine) wantedIDs(voters []uint64) []uint64 {
	wanted := slices.Clone(voters)
	for _, name := range slices.Sorted(maps.Keys(m.Voters)) {
		if id := m.Voters[name].RaftID; !slices.Contains(wanted, id) {
			wanted = append(wanted, id)
		}
	}
	return wanted
}

// promotion returns the change that makes a voter of the first learner that is to vote and has caught up. If the smallest obsolete ID is a
// voter, the same change removes it, so that the number of voters stays the same. If that ID is a learner, the change removes nothing, and
// obsolete voters stay until a later step.
func promotion(voters, obsolete []uint64, votes map[uint64]bool, caughtUp func(id uint64) bool) *raftpb.ConfChangeV2 {
	for _, id := range voters {
		if votes[id] || !caughtUp(id) {
			continue
		}
		c := confChange(confChangeSingle(raftpb.ConfChangeType_ConfChangeAddNode, id))
		if len(obsolete) > 0 && votes[obsolete[0]] {
			c.Changes = append(c.Changes, confChangeSingle(raftpb.ConfChangeType_ConfChangeRemoveNode, obsolete[0]))
		}
		return c
	}
	return nil
}

// removal returns the change that removes the first obsolete ID. An obsolete voter stays until all wanted voters vote.
func removal(voters, obsolete []uint64, votes map[uint64]bool) *raftpb.ConfChangeV2 {
	incomplete := slices.ContainsFunc(voters, func(id uint64) bool { return !votes[id] })
	for _, id := range obsolete {
		if votes[id] && incomplete {
			continue
		}
		return confChange(confChangeSingle(raftpb.ConfChangeType_ConfChangeRemoveNode, id))
	}
	return nil
}

// confChange returns a configuration change with one step.
func confChange(c *raftpb.ConfChangeSingle) *raftpb.ConfChangeV2 {
	return &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{c}}
}

// confChangeSingle returns the step of type t for a raft ID.
func confChangeSingle(t raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: t.Enum(), NodeId: &id}
}

// proposeConfChange proposes the next step of the configuration. A step that the raft library drops is proposed again later.
func (n *Node) proposeConfChange() {
	n.ticksSinceConfChange = 0
	if c := n.machine.nextConfChange(n.confState, n.caughtUp); c != nil {
		_ = n.rawNode.ProposeConfChange(c)
	}
}

// caughtUp reports whether a learner is active and at most maxCatchUpLag entries behind the committed index.
func (n *Node) caughtUp(id uint64) bool {
	caughtUp := false
	commit := n.rawNode.BasicStatus().GetCommit()
	n.rawNode.WithProgress(func(of uint64, _ raft.ProgressType, p tracker.Progress) {
		if of == id {
			caughtUp = p.RecentActive && p.State == tracker.StateReplicate && p.Match+maxCatchUpLag >= commit
		}
	})
	return caughtUp
}

// applyConfChange applies a committed configuration change.
func (n *Node) applyConfChange(e *raftpb.Entry) error {
	var change interface {
		raftpb.ConfChangeI
		proto.Message
	} = &raftpb.ConfChangeV2{}
	if e.GetType() == raftpb.EntryConfChange {
		change = &raftpb.ConfChange{}
	}
	if err := proto.Unmarshal(e.GetData(), change); err != nil {
		return fmt.Errorf("%w: entry %d: %w", ErrInvalidLog, e.GetIndex(), err)
	}
	n.confState = n.rawNode.ApplyConfChange(change)
	n.confChanged = true
	n.event(EventConfigurationChanged, "voters", slices.Clone(n.confState.GetVoters()), "learners", slices.Clone(n.confState.GetLearners()),
		"outgoing", slices.Clone(n.confState.GetVotersOutgoing()))
	return nil
}
