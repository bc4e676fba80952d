package consensus

import (
	"slices"

	"sorrelrudder/internal/lease"
)

// MaxVoters is the largest number of voters of a fleet. With more voters, a larger majority would have to write each command to stable
// storage.
const MaxVoters = 9

// Voter is a member that was admitted to the consensus group, whether or not it votes now: it is a learner until it has caught up. A raft
// ID belongs to one store. A member that returns with another store gets another raft ID, which is a learner until an operator confirms
// that the former store is lost. If the voters' stores are volatile, no confirmation is needed.
type Voter struct {
	RaftID  uint64 `json:"id"`
	StoreID string `json:"store"`
	Votes   bool   `json:"voter"` // whether the member is to vote once it has caught up; the raft configuration has whether it votes now
	// ReplacedID is the raft ID that the member had with its former store. It still counts as a voter, because the new store does not know
	// which votes and entries the former one has confirmed. 0: none.
	ReplacedID uint64 `json:"former,omitempty"`
}

// VoterOp is the operation of a [VoterCommand]. Its values are stored in the replicated log.
type VoterOp string

// Operations on voters.
const (
	OpAdmit   VoterOp = "admit"   // allocates a raft ID for a member's store, on request of the member
	OpAdd     VoterOp = "add"     // allows a member to become a voter, on request of an operator
	OpRemove  VoterOp = "remove"  // removes a member from the voters, on request of an operator
	OpReplace VoterOp = "replace" // lets a member's new raft ID vote, after an operator has confirmed that the former store is lost
)

// VoterCommand is a change of the voters.
type VoterCommand struct {
	Op      VoterOp `json:"op"`
	Name    string  `json:"name"`
	StoreID string  `json:"store,omitempty"`
	// Volatile is set if the store is in memory and ends with its process (OpAdmit).
	Volatile bool `json:"memory,omitempty"`
}

// VoterResult is the outcome of a [VoterCommand].
type VoterResult struct {
	Refusal Refusal `json:"why,omitempty"` // empty: it was applied
	RaftID  uint64  `json:"id,omitempty"`
	FleetID string  `json:"fleet,omitempty"`
	Votes   bool    `json:"voter,omitempty"`
}

// applyVoter applies a command, or refuses it without a change.
func (m *StateMachine) applyVoter(c VoterCommand) VoterResult {
	switch c.Op {
	case OpAdmit:
		return m.admitVoter(c)
	case OpAdd:
		return m.addVoter(c.Name)
	case OpRemove:
		return m.removeVoter(c.Name)
	case OpReplace:
		return m.replaceVoter(c.Name)
	}
	return VoterResult{Refusal: refusedMalformed}
}

// admitVoter returns the raft ID of a member's store. It allocates one for a store that is not known.
func (m *StateMachine) admitVoter(c VoterCommand) VoterResult {
	v := m.Voters[c.Name]
	switch {
	case !slices.Contains(m.VoterNames, c.Name):
		return VoterResult{Refusal: refusef("%q has no seat in the council", c.Name)}
	case c.StoreID == "":
		return VoterResult{Refusal: "no store"}
	case c.Volatile && !m.Volatile:
		return VoterResult{Refusal: "this council is on disk: one without a disk does not vote"}
	case v == nil:
		m.LastVoterID++
		m.Voters[c.Name] = &Voter{RaftID: m.LastVoterID, StoreID: c.StoreID, Votes: true}
	case v.StoreID != c.StoreID:
		m.Voters[c.Name] = m.replacement(v, c)
	}
	v = m.Voters[c.Name]
	return VoterResult{RaftID: v.RaftID, FleetID: m.FleetID, Votes: v.Votes}
}

// replacement returns the voter for a member that returns with another store. It does not vote until an operator confirms that the former
// store is lost, because the new store does not know which votes and entries the former one has confirmed.
func (m *StateMachine) replacement(former *Voter, c VoterCommand) *Voter {
	m.LastVoterID++
	v := &Voter{RaftID: m.LastVoterID, StoreID: c.StoreID, ReplacedID: former.ReplacedID}
	if former.Votes {
		v.ReplacedID = former.RaftID
	}
	if m.Volatile && c.Volatile {
		// The former store ended with its process. The new ID votes once a majority has committed the replacement. The former ID counts as
		// an unreachable voter for that majority.
		v.Votes, v.ReplacedID = true, 0
	}
	return v
}

// addVoter allows a member to become a voter.
func (m *StateMachine) addVoter(name string) VoterResult {
	switch {
	case slices.Contains(m.VoterNames, name):
		return VoterResult{Refusal: refusef("%q has a seat", name)}
	case len(m.VoterNames) >= MaxVoters:
		return VoterResult{Refusal: refusef("%d have seats, and more would slow each other down", len(m.VoterNames))}
	case name == "" || len(name) > lease.MaxNameLen:
		return VoterResult{Refusal: "no name"}
	}
	m.VoterNames = append(m.VoterNames, name)
	return VoterResult{}
}

// removeVoter removes a member from the voters, unless no voter would remain.
func (m *StateMachine) removeVoter(name string) VoterResult {
	if !slices.Contains(m.VoterNames, name) {
		return VoterResult{Refusal: refusef("%q has no seat", name)}
	}
	v := m.Voters[name]
	delete(m.Voters, name)
	if len(m.votingIDs()) == 0 {
		if v != nil {
			m.Voters[name] = v
		}
		return VoterResult{Refusal: refusef("without %q nobody would vote", name)}
	}
	m.VoterNames = slices.DeleteFunc(m.VoterNames, func(n string) bool { return n == name })
	return VoterResult{}
}

// replaceVoter lets the new raft ID of a member vote in place of its former raft ID.
func (m *StateMachine) replaceVoter(name string) VoterResult {
	v := m.Voters[name]
	if v == nil {
		return VoterResult{Refusal: refusef("%q has not come with a store", name)}
	}
	if v.Votes {
		return VoterResult{Refusal: refusef("%q votes already", name)}
	}
	v.Votes, v.ReplacedID = true, 0
	return VoterResult{RaftID: v.RaftID, Votes: true}
}

// votingIDs returns the sorted raft IDs that are to vote.
func (m *StateMachine) votingIDs() []uint64 {
	var ids []uint64
	for _, v := range m.Voters {
		switch {
		case v.Votes:
			ids = append(ids, v.RaftID)
		case v.ReplacedID != 0:
			ids = append(ids, v.ReplacedID)
		}
	}
	slices.Sort(ids)
	return ids
}

// voterName returns the member that has a raft ID, or had it with its former store. It returns "" if there is none.
func (m *StateMachine) voterName(id uint64) string {
	for name, v := range m.Voters {
		if id != 0 && (v.RaftID == id || v.ReplacedID == id) {
			return name
		}
	}
	return ""
}
