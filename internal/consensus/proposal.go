package consensus

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
)

// maxPendingRequests bounds the pending proposals of a leader, and separately its queued reads. Further requests are redirected.
const maxPendingRequests = 4096

// proposal is the content of a log entry. Exactly one of its commands is set.
type proposal struct {
	// Term is the term of the leader that proposed the command. An entry with a different raft term is ignored, because the proposal depends
	// on state that only its leader had. For example, a leader proposes OpExpire by its own session deadlines.
	Term     uint64           `json:"term"`
	ID       uint64           `json:"id"` // unique within the proposals of one leader
	Lease    *lease.Command   `json:"lease,omitempty"`
	Voter    *VoterCommand    `json:"seat,omitempty"`
	Task     *task.Command    `json:"slot,omitempty"`
	Decision *DecisionCommand `json:"order,omitempty"`
}

// pendingRequest is a request without a response yet. Its handle is 0 for a command that the leader itself proposes: it needs no response.
type pendingRequest struct {
	handle  uint64
	request Request
}

// Submit accepts a request. A later call of Process returns the response under handle, which must not be 0. If the node stops before, there
// is no response.
func (n *Node) Submit(now time.Duration, handle uint64, r Request) {
	n.now = now
	p := pendingRequest{handle, r}
	switch {
	case r.Status:
		n.reply(p, Response{Status: n.Status()})
	case n.lessor == nil || n.fatalErr != nil:
		n.redirect(p)
	case r.isRead():
		n.queueRead(p)
	default:
		n.submitCommand(p)
	}
}

// submitCommand proposes the command of a request.
func (n *Node) submitCommand(p pendingRequest) {
	r := p.request
	switch {
	case r.Lease != nil:
		c := *r.Lease.Command
		if c.Op == lease.OpExpire || c.Op == lease.OpReclaim { // only the leader itself may propose these
			n.redirect(p)
			return
		}
		n.propose(p, proposal{Lease: &c})
	case r.Voter != nil:
		n.propose(p, proposal{Voter: r.Voter})
	case r.Task != nil:
		n.propose(p, proposal{Task: r.Task})
	case r.Decision != nil:
		n.propose(p, proposal{Decision: r.Decision})
	default:
		n.redirect(p)
	}
}

// propose proposes an entry to the raft library. It redirects the request and returns false if too many proposals are pending or the
// library rejects the proposal.
func (n *Node) propose(p pendingRequest, entry proposal) bool {
	if len(n.proposals) >= maxPendingRequests {
		n.redirect(p)
		return false
	}
	n.lastProposalID++
	entry.Term, entry.ID = n.term, n.lastProposalID
	data, err := json.Marshal(entry)
	if err == nil {
		err = n.rawNode.Propose(data)
	}
	if err != nil {
		n.redirect(p)
		return false
	}
	n.proposals[entry.ID] = p
	return true
}

// reply adds the response to a request to the output.
func (n *Node) reply(p pendingRequest, r Response) {
	if p.handle != 0 {
		n.output.Replies = append(n.output.Replies, Reply{p.handle, r})
	}
}

// redirect answers a request with NotLeader and the leader that this node knows.
func (n *Node) redirect(p pendingRequest) {
	r := Response{NotLeader: true}
	if n.leaderID != n.cfg.ID {
		r.Leader = n.NameOf(n.leaderID)
	}
	n.reply(p, r)
}

// stepDown drops the state of a leader and answers all pending requests with NotLeader. The responses name no leader, because leaderID is
// updated only afterwards. A pending command may still be committed. The sender then repeats it at the new leader: a command of a session
// has the same result there, and a conditional decision takes effect once. An operator's start of a task (task.OpTrigger), a revocation and
// an unconditional decision take effect again.
func (n *Node) stepDown() {
	n.lessor = nil
	for _, p := range n.queuedReads {
		n.redirect(p)
	}
	if n.readInFlight != nil {
		for _, p := range n.readInFlight.requests {
			n.redirect(p)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.proposals)) {
		n.redirect(n.proposals[id])
	}
	n.queuedReads, n.readInFlight = nil, nil
	clear(n.proposals)
}
