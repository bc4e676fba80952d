package consensus

import (
	"slices"

	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
)

// StateMachine is the replicated state of a fleet. It is deterministic: the same entries in the same order lead to the same state.
//
// Invariants:
//   - A raft ID is never allocated twice.
//   - At least one raft ID votes.
//   - The new raft ID of a member and the ID that it replaces never vote at the same time.
//   - Decision numbers increase. A withdrawn decision keeps its number, so that a late copy can't restore it.
type StateMachine struct {
	FleetID     string            `json:"id"`    // a random ID from the bootstrap of the fleet
	LastVoterID uint64            `json:"last"`  // the largest raft ID allocated
	Voters      map[string]*Voter `json:"seats"` // by member name
	VoterNames  []string          `json:"names"` // members that may be voters
	// Volatile is set if the voters keep their raft state in memory only. A member that restarts has a new store and replaces its former raft
	// ID at once, because the former store ended with its process.
	Volatile bool                `json:"volatile,omitempty"`
	Leases   *lease.StateMachine `json:"leases"`
	// LastDecision is the number of the newest decision.
	LastDecision uint64 `json:"ordered,omitempty"`
	// DeciderToken is the largest fencing token of the decisions.
	DeciderToken uint64               `json:"decider,omitempty"`
	Decisions    map[string]*Decision `json:"orders,omitempty"`
	Tasks        *task.Registry       `json:"slots"`
}

// founderID is the raft ID of the first voter of a fleet.
const founderID = 1

// NewStateMachine returns the state of a new fleet whose only voter is the member founder. voterNames are the members that may become
// voters.
func NewStateMachine(fleetID, founder, storeID string, voterNames []string) *StateMachine {
	return &StateMachine{
		FleetID:     fleetID,
		LastVoterID: founderID,
		Voters:      map[string]*Voter{founder: {RaftID: founderID, StoreID: storeID, Votes: true}},
		VoterNames:  slices.Clone(voterNames),
		Leases:      lease.NewStateMachine(),
		Tasks:       task.NewRegistry(),
	}
}

// Clone returns a deep copy. It returns nil for nil and for a state that can't be encoded or is inconsistent.
func (m *StateMachine) Clone() *StateMachine {
	if m == nil {
		return nil
	}
	data, err := m.snapshot()
	if err != nil {
		return nil
	}
	c, err := restore(data)
	if err != nil {
		return nil
	}
	return c
}
