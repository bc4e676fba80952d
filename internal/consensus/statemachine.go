package consensus

import (
	"slices"

	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
)

// StateMachine is the replicated state of a fleet: equal entries in equal order make equal state machines.
//
// Invariants: a raft ID is never given twice; at least one ID votes; of one name, the new ID and the one that it replaces never vote at
// the same time; the numbers of decisions only grow, and a withdrawn decision keeps its number, so that no late copy brings it back.
type StateMachine struct {
	FleetID     string            `json:"id"`    // drawn when the fleet was founded
	LastVoterID uint64            `json:"last"`  // the largest raft ID given out
	Voters      map[string]*Voter `json:"seats"` // by member name
	VoterNames  []string          `json:"names"` // members that may be voters
	// Volatile fleets keep their promises in memory. A member that returns with another store takes the place of its former one at once,
	// since that one has ended with its process.
	Volatile bool                `json:"volatile,omitempty"`
	Leases   *lease.StateMachine `json:"leases"`
	// LastDecision is the number of the newest decision, DeciderToken the largest fencing token under which one was made.
	LastDecision uint64               `json:"ordered,omitempty"`
	DeciderToken uint64               `json:"decider,omitempty"`
	Decisions    map[string]*Decision `json:"orders,omitempty"`
	Tasks        *task.Registry       `json:"slots"`
}

// founderID is the raft ID of the first voter of a fleet.
const founderID = 1

// NewStateMachine returns the state of a fleet whose only voter is founder. voterNames are the members that may become voters.
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

// Clone returns a deep copy, or nil for nil and for a state that can't be encoded.
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
