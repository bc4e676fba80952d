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

// maxCatchUpLag is how many entries a learner may be behind the committed index to be made a voter.
const maxCatchUpLag = 64

// nextConfChange returns the next step from the current configuration to the one that m wants, nil if there is none. New IDs become
// learners first; then one ID at a time gets a vote, by joint consensus in place of one that loses it; then what is obsolete goes.
func (m *StateMachine) nextConfChange(current *raftpb.ConfState, caughtUp func(id uint64) bool) *raftpb.ConfChangeV2 {
	if len(current.GetVotersOutgoing()) > 0 {
		return nil // the library leaves the joint configuration by itself
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

// votesByID has the IDs of a configuration, and whether each votes.
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

// wantedIDs are the IDs that are to be in the configuration: first those that are to vote, then the learners by member name.
func (m *StateMachine) wantedIDs(voters []uint64) []uint64 {
	wanted := slices.Clone(voters)
	for _, name := range slices.Sorted(maps.Keys(m.Voters)) {
		if id := m.Voters[name].RaftID; !slices.Contains(wanted, id) {
			wanted = append(wanted, id)
		}
	}
	return wanted
}

// promotion gives a vote to the first learner that is to vote and has caught up. The first obsolete voter goes in the same step, so that
// there are never more voters than wanted.
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

// removal takes out the first obsolete ID. One that votes stays until all that are to vote do.
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

func confChange(c *raftpb.ConfChangeSingle) *raftpb.ConfChangeV2 {
	return &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{c}}
}

func confChangeSingle(t raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: t.Enum(), NodeId: &id}
}

// proposeConfChange proposes the next step of the configuration. A step that raft drops is proposed again later.
func (n *Node) proposeConfChange() {
	n.ticksSinceConfChange = 0
	if c := n.machine.nextConfChange(n.confState, n.caughtUp); c != nil {
		_ = n.rawNode.ProposeConfChange(c)
	}
}

// caughtUp reports whether a learner is near enough to the leader to vote.
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

// applyConfChange applies a committed step of the configuration.
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
