package consensus

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
)

// maxPendingRequests bounds the proposals, and the queued reads, of a leader. Further requests are redirected.
const maxPendingRequests = 4096

// proposal is the content of an entry of the log. One of its commands is set.
type proposal struct {
	// Term is that of the leader that judged the command. An entry that another leader's term carries is void: its judgement, such as
	// that a session has expired, was made on what only the former leader knew.
	Term     uint64           `json:"term"`
	ID       uint64           `json:"id"` // unique for one leader
	Lease    *lease.Command   `json:"lease,omitempty"`
	Voter    *VoterCommand    `json:"seat,omitempty"`
	Task     *task.Command    `json:"slot,omitempty"`
	Decision *DecisionCommand `json:"order,omitempty"`
}

// pendingRequest is a request without its answer. Its handle is 0 for a command of the leader's own, which nobody waits for.
type pendingRequest struct {
	handle  uint64
	request Request
}

// Submit takes a request. A later call of Process returns its answer under handle, which must not be 0. There is none if this node
// fails.
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

// propose puts a proposal into the log. It reports false, and redirects the request, if that can't be tried now.
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

func (n *Node) reply(p pendingRequest, r Response) {
	if p.handle != 0 {
		n.output.Replies = append(n.output.Replies, Reply{p.handle, r})
	}
}

// redirect answers that this node can't, and who leads as far as it knows.
func (n *Node) redirect(p pendingRequest) {
	r := Response{NotLeader: true}
	if n.leaderID != n.cfg.ID {
		r.Leader = n.NameOf(n.leaderID)
	}
	n.reply(p, r)
}

// stepDown redirects all that waits. Whoever leads now answers it; a command of a session and a conditional decision have the same result there if they were committed. A trigger, a
// revocation and an unconditional decision take effect again when they are repeated.
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
