// Package consensus keeps one state at several processes: which processes vote, who holds which lease, which slots of tasks are taken.
// The log is that of go.etcd.io/raft; this package decides what goes into it, what comes of it, who is told, and who votes. It has
// no I/O and no clock: what it wants written goes to a Disk, and the time is told.
package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
)

// MaxVoters bounds who may vote: a majority of more has to sync for each grant.
const MaxVoters = 9

// Voter is one that votes, or is to. An identity belongs to a store: one that starts with another store is another.
type Voter struct {
	RaftID  uint64 `json:"id"`    // in the log's terms; never given twice
	StoreID string `json:"store"` // of the disk that it belongs to
	Votes   bool   `json:"voter"` // it is to vote as soon as it has caught up
	// ReplacedID is the identity that had the seat with another store, and still counts as one that votes: its promises are lost, so that
	// it must not be taken for the new one. 0: none.
	ReplacedID uint64 `json:"former,omitempty"`
}

// StateMachine is the replicated state.
type StateMachine struct {
	FleetID     string            `json:"id"`   // of the fleet, drawn when it was founded
	LastVoterID uint64            `json:"last"` // the largest identity given
	Voters      map[string]*Voter `json:"seats"`
	VoterNames  []string          `json:"names"` // who may have a seat
	// Volatile: what is promised is kept in memory. Who comes back with another store takes the place of the former at once, which has
	// ended with its process.
	Volatile     bool                 `json:"volatile,omitempty"`
	Leases       *lease.StateMachine  `json:"leases"`
	LastDecision uint64               `json:"ordered,omitempty"` // the number of the newest order
	DeciderToken uint64               `json:"decider,omitempty"` // the largest token under which an order was decided
	Decisions    map[string]*Decision `json:"orders,omitempty"`
	Tasks        *task.Registry       `json:"slots"`
}

// VoterOp is what is done about seats.
type VoterOp string

const (
	OpAdmit   VoterOp = "admit"   // one with a store that the council does not know asks for an identity
	OpAdd     VoterOp = "add"     // an operator lets a name have a seat
	OpRemove  VoterOp = "remove"  // and takes it away
	OpReplace VoterOp = "replace" // the new identity of a name votes, and the former one no more
)

// VoterCommand changes the seats.
type VoterCommand struct {
	Op      VoterOp `json:"op"`
	Name    string  `json:"name"`
	StoreID string  `json:"store,omitempty"`
	// Memory: Admit: the store ends with its process.
	Volatile bool `json:"memory,omitempty"`
}

// VoterResult is what became of it.
type VoterResult struct {
	Refusal string `json:"why,omitempty"` // empty: it was done
	RaftID  uint64 `json:"id,omitempty"`
	FleetID string `json:"fleet,omitempty"`
	Votes   bool   `json:"voter,omitempty"`
}

// proposal is an entry of the log.
type proposal struct {
	// Term is that of the leader that judged. An entry that another leader's term carries is void: its judgement, such as that a
	// session has ended, was made on what only that leader knew.
	Term     uint64           `json:"term"`
	ID       uint64           `json:"id"` // of the proposal, at that leader
	Lease    *lease.Command   `json:"lease,omitempty"`
	Voter    *VoterCommand    `json:"seat,omitempty"`
	Task     *task.Command    `json:"slot,omitempty"`
	Decision *DecisionCommand `json:"order,omitempty"`
}

// NewStateMachine is the state of a fleet whose only seat is taken, with the identity 1; others are admitted.
func NewStateMachine(id, founder, store string, names []string) *StateMachine {
	return &StateMachine{
		FleetID: id, LastVoterID: 1, Voters: map[string]*Voter{founder: {RaftID: 1, StoreID: store, Votes: true}}, VoterNames: slices.Clone(names),
		Leases: lease.NewStateMachine(), Tasks: task.NewRegistry(),
	}
}

func (f *StateMachine) snapshot() ([]byte, error) { return json.Marshal(f) }

// Clone returns a copy that stays as it is, nil of nil.
func (f *StateMachine) Clone() *StateMachine {
	if f == nil {
		return nil
	}
	data, err := f.snapshot()
	if err != nil {
		return nil
	}
	c, err := restore(data)
	if err != nil {
		return nil
	}
	return c
}

func restore(data []byte) (*StateMachine, error) {
	var parts struct {
		StateMachine
		Leases json.RawMessage `json:"leases"`
		Slots  json.RawMessage `json:"slots"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return nil, fmt.Errorf("council: snapshot: %w", err)
	}
	f := parts.StateMachine
	if f.FleetID == "" || f.Voters == nil {
		return nil, errors.New("council: snapshot: no fleet in it")
	}
	for name, s := range f.Voters {
		if s == nil || s.RaftID == 0 || s.RaftID > f.LastVoterID {
			return nil, fmt.Errorf("council: snapshot: seat %q is not whole", name)
		}
	}
	for key, o := range f.Decisions {
		if o == nil || o.Number == 0 || o.Number > f.LastDecision {
			return nil, fmt.Errorf("council: snapshot: order %q is not whole", key)
		}
	}
	var err error
	if f.Leases, err = lease.Restore(parts.Leases); err != nil {
		return nil, err
	}
	if f.Tasks, err = task.Restore(parts.Slots); err != nil {
		return nil, err
	}
	return &f, nil
}

// applyVoter carries out a command about seats.
func (f *StateMachine) applyVoter(c VoterCommand) VoterResult {
	s := f.Voters[c.Name]
	known := slices.Contains(f.VoterNames, c.Name)
	switch c.Op {
	case OpAdmit:
		switch {
		case !known:
			return VoterResult{Refusal: fmt.Sprintf("%q has no seat in the council", c.Name)}
		case c.StoreID == "":
			return VoterResult{Refusal: "no store"}
		case c.Volatile && !f.Volatile:
			return VoterResult{Refusal: "this council is on disk: one without a disk does not vote"}
		case s != nil && s.StoreID == c.StoreID:
		case s == nil:
			f.LastVoterID++
			f.Voters[c.Name] = &Voter{RaftID: f.LastVoterID, StoreID: c.StoreID, Votes: true}
		default:
			// The seat is taken by another store: the disk was lost, or is another's. What the former identity promised is not known
			// here, so that this one listens and does not vote until an operator says that the former one is gone for good.
			f.LastVoterID++
			next := &Voter{RaftID: f.LastVoterID, StoreID: c.StoreID, ReplacedID: s.ReplacedID}
			if s.Votes {
				next.ReplacedID = s.RaftID
			}
			if f.Volatile && c.Volatile {
				// Neither the former identity nor its promises can come back. It counts as one that votes until a majority, it itself
				// counted as silent, has put the new one in its place.
				next.Votes, next.ReplacedID = true, 0
			}
			f.Voters[c.Name] = next
		}
		s = f.Voters[c.Name]
		return VoterResult{RaftID: s.RaftID, FleetID: f.FleetID, Votes: s.Votes}
	case OpAdd:
		switch {
		case known:
			return VoterResult{Refusal: fmt.Sprintf("%q has a seat", c.Name)}
		case len(f.VoterNames) >= MaxVoters:
			return VoterResult{Refusal: fmt.Sprintf("%d have seats, and more would slow each other down", len(f.VoterNames))}
		case c.Name == "" || len(c.Name) > lease.MaxNameLen:
			return VoterResult{Refusal: "no name"}
		}
		f.VoterNames = append(f.VoterNames, c.Name)
		return VoterResult{}
	case OpRemove:
		if !known {
			return VoterResult{Refusal: fmt.Sprintf("%q has no seat", c.Name)}
		}
		delete(f.Voters, c.Name)
		if len(f.votingIDs()) == 0 {
			if s != nil {
				f.Voters[c.Name] = s
			}
			return VoterResult{Refusal: fmt.Sprintf("without %q nobody would vote", c.Name)}
		}
		f.VoterNames = slices.DeleteFunc(f.VoterNames, func(n string) bool { return n == c.Name })
		return VoterResult{}
	case OpReplace:
		if s == nil {
			return VoterResult{Refusal: fmt.Sprintf("%q has not come with a store", c.Name)}
		}
		if s.Votes {
			return VoterResult{Refusal: fmt.Sprintf("%q votes already", c.Name)}
		}
		s.Votes, s.ReplacedID = true, 0
		return VoterResult{RaftID: s.RaftID, Votes: true}
	}
	return VoterResult{Refusal: "malformed"}
}

// votingIDs are the identities that are to vote.
func (f *StateMachine) votingIDs() []uint64 {
	var all []uint64
	for _, s := range f.Voters {
		switch {
		case s.Votes:
			all = append(all, s.RaftID)
		case s.ReplacedID != 0:
			all = append(all, s.ReplacedID)
		}
	}
	slices.Sort(all)
	return all
}

// voterName is whose identity it is.
func (f *StateMachine) voterName(id uint64) string {
	for name, s := range f.Voters {
		if id != 0 && (s.RaftID == id || s.ReplacedID == id) {
			return name
		}
	}
	return ""
}

// nextConfChange is the next change from who votes now to who is to vote, nil if there is none. One is made at a time: each by joint
// consensus where it takes a vote from one and gives it to another. caught tells whether one that only listens has all that the
// leader has.
func (f *StateMachine) nextConfChange(now *raftpb.ConfState, caught func(id uint64) bool) *raftpb.ConfChangeV2 {
	if len(now.GetVotersOutgoing()) > 0 {
		return nil // the library leaves the joint state by itself
	}
	has := map[uint64]bool{} // true: votes
	for _, id := range now.GetLearners() {
		has[id] = false
	}
	for _, id := range now.GetVoters() {
		has[id] = true
	}
	single := func(t raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
		return &raftpb.ConfChangeSingle{Type: t.Enum(), NodeId: &id}
	}
	var wanted []uint64
	voters := f.votingIDs()
	wanted = append(wanted, voters...)
	for _, name := range slices.Sorted(maps.Keys(f.Voters)) {
		s := f.Voters[name]
		if !slices.Contains(wanted, s.RaftID) {
			wanted = append(wanted, s.RaftID)
		}
	}
	var gone []uint64
	for _, id := range slices.Sorted(maps.Keys(has)) {
		if !slices.Contains(wanted, id) {
			gone = append(gone, id)
		}
	}
	for _, id := range wanted { // first all listen
		if _, there := has[id]; !there {
			return &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{single(raftpb.ConfChangeType_ConfChangeAddLearnerNode, id)}}
		}
	}
	for _, id := range voters {
		if has[id] || !caught(id) {
			continue
		}
		c := &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{single(raftpb.ConfChangeType_ConfChangeAddNode, id)}}
		if len(gone) > 0 && has[gone[0]] { // in the place of one that goes: never more of either
			c.Changes = append(c.Changes, single(raftpb.ConfChangeType_ConfChangeRemoveNode, gone[0]))
		}
		return c
	}
	for _, id := range gone {
		if has[id] && slices.ContainsFunc(voters, func(v uint64) bool { return !has[v] }) {
			continue // its successor has not caught up yet
		}
		return &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{single(raftpb.ConfChangeType_ConfChangeRemoveNode, id)}}
	}
	return nil
}
