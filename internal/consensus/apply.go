package consensus

import (
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"sorrelrudder/internal/lease"
)

// applyEntry applies a committed entry, and answers its request if this node proposed it in the current term.
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
		return nil // not valid in this term, see proposal.Term
	}
	if n.machine == nil {
		return fmt.Errorf("%w: entry %d can't be applied: this node has not restored a snapshot yet", ErrInvalidLog, e.GetIndex())
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

// becomeLeader creates the lessor at the first empty entry of this node's own term, when all entries of earlier leaders have been applied.
// A later empty entry stands in place of a configuration change that the raft library has refused. Such an entry must not create a new
// lessor, because the existing one records the expiries that this leader has already proposed.
func (n *Node) becomeLeader(e *raftpb.Entry) {
	if n.lessor == nil && n.role == raft.StateLeader && e.GetTerm() == n.term && n.machine != nil {
		n.lessor = lease.NewLessor(n.cfg.LeaseTiming, n.now, n.machine.Leases)
		n.ticksSinceConfChange = 0
	}
}

// applyProposal applies the command of a proposal to the state machine.
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

// answerProposal answers the request of a proposal that this node made in the current term.
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
