package consensus

import (
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"sorrelrudder/internal/lease"
)

// applyEntry applies a committed entry, and answers its request if this node proposed it.
func (n *Node) applyEntry(e *raftpb.Entry) error {
	n.appliedIndex = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChange, raftpb.EntryConfChangeV2:
		return n.applyConfChange(e)
	}
	if len(e.GetData()) == 0 {
		n.becomeLeader(e)
		return nil
	}
	var p proposal
	if err := json.Unmarshal(e.GetData(), &p); err != nil {
		return fmt.Errorf("%w: entry %d: %w", ErrInvalidLog, e.GetIndex(), err)
	}
	if p.Term != e.GetTerm() {
		return nil // void, see proposal.Term
	}
	if n.machine == nil {
		return fmt.Errorf("%w: entry %d comes before any state", ErrInvalidLog, e.GetIndex())
	}
	answer := n.applyProposal(p)
	changed := n.machine.Leases.TakeChangedMembers()
	if n.lessor == nil {
		return nil
	}
	n.lessor.Track(n.now, n.machine.Leases)
	n.output.ChangedMembers = append(n.output.ChangedMembers, changed...)
	n.answerProposal(p, answer)
	return nil
}

// becomeLeader starts the lessor at the first entry of this node's own term: all that earlier leaders left is applied now. Later empty
// entries stand for configuration changes that the library has refused; what this leader has judged since must not be forgotten.
func (n *Node) becomeLeader(e *raftpb.Entry) {
	if n.lessor == nil && n.role == raft.StateLeader && e.GetTerm() == n.term && n.machine != nil {
		n.lessor = lease.NewLessor(n.cfg.LeaseTiming, n.now, n.machine.Leases)
		n.ticksSinceConfChange = 0
	}
}

// applyProposal carries out the command of a proposal.
func (n *Node) applyProposal(p proposal) Response {
	var answer Response
	switch {
	case p.Lease != nil:
		result := n.machine.Leases.Apply(*p.Lease)
		n.leaseEvent(*p.Lease, result)
		answer.Lease = &lease.Response{Result: &result}
	case p.Voter != nil:
		result := n.machine.applyVoter(*p.Voter)
		answer.Voter = &result
		if result.Refusal == "" {
			n.event(EventVoterChanged, "op", string(p.Voter.Op), "name", p.Voter.Name, "id", result.RaftID, "votes", result.Votes)
		}
	case p.Task != nil:
		result := n.machine.Tasks.Apply(*p.Task)
		answer.Task = &result
	case p.Decision != nil:
		result := n.machine.applyDecision(*p.Decision)
		answer.Decision = &result
		if result.Refusal == "" {
			n.event(EventDecision, "key", p.Decision.Key, "value", p.Decision.Value, "lifted", p.Decision.Withdraw, "number", result.Number)
		}
	}
	return answer
}

// answerProposal answers the request of a proposal of this leadership.
func (n *Node) answerProposal(p proposal, answer Response) {
	pending, own := n.proposals[p.ID]
	if !own || p.Term != n.term {
		return
	}
	delete(n.proposals, p.ID)
	if answer.Lease != nil && pending.request.Lease != nil {
		answer.Lease.ID = pending.request.Lease.ID
	}
	n.reply(pending, answer)
}
