package consensus

import (
	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
)

// Request is what a process asks of the leader, or with Status of any node. One field is set.
type Request struct {
	Lease       *lease.Request   `json:"lease,omitempty"`
	Voter       *VoterCommand    `json:"seat,omitempty"`
	Task        *task.Command    `json:"slot,omitempty"`
	Decision    *DecisionCommand `json:"order,omitempty"`
	TaskRecords []string         `json:"pages,omitempty"` // names of tasks whose records are read
	Status      bool             `json:"state,omitempty"` // what this node knows, without asking the others
}

// isRead reports whether a request changes nothing and is answered once a majority confirms the leader.
func (r *Request) isRead() bool {
	return r.Lease != nil && r.Lease.Command == nil || r.TaskRecords != nil
}

// Response answers a [Request].
type Response struct {
	// NotLeader is set if this node can't answer. Leader is the member that may, empty if none is known.
	NotLeader   bool                   `json:"elsewhere,omitempty"`
	Leader      string                 `json:"leader,omitempty"`
	Lease       *lease.Response        `json:"lease,omitempty"`
	Voter       *VoterResult           `json:"seat,omitempty"`
	Task        *task.Result           `json:"slot,omitempty"`
	Decision    *DecisionResult        `json:"order,omitempty"`
	Digest      *DecisionDigest        `json:"decided,omitempty"` // with each answer to a keepalive
	TaskRecords map[string]task.Record `json:"pages,omitempty"`
	Status      *Status                `json:"state,omitempty"`
}

// Status is a node's own view, for operators.
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
