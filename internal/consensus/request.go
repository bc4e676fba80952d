package consensus

import (
	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
)

// Request is a request of a process to the leader, or with Status to any node. Exactly one field is set.
type Request struct {
	Lease       *lease.Request   `json:"lease,omitempty"`
	Voter       *VoterCommand    `json:"seat,omitempty"`
	Task        *task.Command    `json:"slot,omitempty"`
	Decision    *DecisionCommand `json:"order,omitempty"`
	TaskRecords []string         `json:"pages,omitempty"` // names of the tasks whose records to read
	Status      bool             `json:"state,omitempty"` // requests the node's own view, without confirmation by a majority
}

// isRead reports whether a request contains no command. It is answered once a majority has confirmed the leader.
func (r *Request) isRead() bool {
	return r.Lease != nil && r.Lease.Command == nil || r.TaskRecords != nil
}

// Response answers a [Request].
type Response struct {
	// NotLeader is set if this node can't answer the request.
	NotLeader bool `json:"elsewhere,omitempty"`
	// Leader is the member to send the request to instead, empty if this node knows none. It is set together with NotLeader.
	Leader      string                 `json:"leader,omitempty"`
	Lease       *lease.Response        `json:"lease,omitempty"`
	Voter       *VoterResult           `json:"seat,omitempty"`
	Task        *task.Result           `json:"slot,omitempty"`
	Decision    *DecisionResult        `json:"order,omitempty"`
	Digest      *DecisionDigest        `json:"decided,omitempty"` // set in each response to a keepalive
	TaskRecords map[string]task.Record `json:"pages,omitempty"`
	Status      *Status                `json:"state,omitempty"`
}

// Status is a node's own view of the consensus group and of the replicated state, for operators.
type Status struct {
	ID           uint64        `json:"id"`
	Role         string        `json:"role"`
	Leader       string        `json:"leader,omitempty"`
	Term         uint64        `json:"term"`
	Commit       uint64        `json:"commit"`
	Applied      uint64        `json:"applied"`
	Voters       []uint64      `json:"voters"`
	Learners     []uint64      `json:"learners,omitempty"`
	StateMachine *StateMachine `json:"fleet,omitempty"`
}
