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

// MostSeats bounds who may vote: a majority of more has to sync for each grant.
const MostSeats = 9

// Seat is one that votes, or is to. An identity belongs to a store: one that starts with another store is another.
type Seat struct {
	ID    uint64 `json:"id"`    // in the log's terms; never given twice
	Store string `json:"store"` // of the disk that it belongs to
	Voter bool   `json:"voter"` // it is to vote as soon as it has caught up
	// Former is the identity that had the seat with another store, and still counts as one that votes: its promises are lost, so that
	// it must not be taken for the new one. 0: none.
	Former uint64 `json:"former,omitempty"`
}

// Fleet is the replicated state.
type Fleet struct {
	ID    string           `json:"id"`   // of the fleet, drawn when it was founded
	Last  uint64           `json:"last"` // the largest identity given
	Seats map[string]*Seat `json:"seats"`
	Names []string         `json:"names"` // who may have a seat
	// Volatile: what is promised is kept in memory. Who comes back with another store takes the place of the former at once, which has
	// ended with its process.
	Volatile bool              `json:"volatile,omitempty"`
	Leases   *lease.Machine    `json:"leases"`
	Ordered  uint64            `json:"ordered,omitempty"` // the number of the newest order
	Decider  uint64            `json:"decider,omitempty"` // the largest token under which an order was decided
	Orders   map[string]*Order `json:"orders,omitempty"`
	Slots    *task.Book        `json:"slots"`
}

// SeatOp is what is done about seats.
type SeatOp string

const (
	Admit   SeatOp = "admit"   // one with a store that the council does not know asks for an identity
	Add     SeatOp = "add"     // an operator lets a name have a seat
	Remove  SeatOp = "remove"  // and takes it away
	Replace SeatOp = "replace" // the new identity of a name votes, and the former one no more
)

// SeatCommand changes the seats.
type SeatCommand struct {
	Op    SeatOp `json:"op"`
	Name  string `json:"name"`
	Store string `json:"store,omitempty"`
	// Memory: Admit: the store ends with its process.
	Memory bool `json:"memory,omitempty"`
}

// SeatResult is what became of it.
type SeatResult struct {
	Why   string `json:"why,omitempty"` // empty: it was done
	ID    uint64 `json:"id,omitempty"`
	Fleet string `json:"fleet,omitempty"`
	Voter bool   `json:"voter,omitempty"`
}

// record is an entry of the log.
type record struct {
	// Term is that of the leader that judged. An entry that another leader's term carries is void: its judgement, such as that a
	// session has ended, was made on what only that leader knew.
	Term  uint64         `json:"term"`
	ID    uint64         `json:"id"` // of the proposal, at that leader
	Lease *lease.Command `json:"lease,omitempty"`
	Seat  *SeatCommand   `json:"seat,omitempty"`
	Slot  *task.Command  `json:"slot,omitempty"`
	Order *OrderCommand  `json:"order,omitempty"`
}

// Founded is the state of a fleet whose only seat is taken, with the identity 1; others are admitted.
func Founded(id, founder, store string, names []string) *Fleet {
	return &Fleet{
		ID: id, Last: 1, Seats: map[string]*Seat{founder: {ID: 1, Store: store, Voter: true}}, Names: slices.Clone(names),
		Leases: lease.NewMachine(), Slots: task.NewBook(),
	}
}

func (f *Fleet) snapshot() ([]byte, error) { return json.Marshal(f) }

// Clone returns a copy that stays as it is, nil of nil.
func (f *Fleet) Clone() *Fleet {
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

func restore(data []byte) (*Fleet, error) {
	var parts struct {
		Fleet
		Leases json.RawMessage `json:"leases"`
		Slots  json.RawMessage `json:"slots"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return nil, fmt.Errorf("council: snapshot: %w", err)
	}
	f := parts.Fleet
	if f.ID == "" || f.Seats == nil {
		return nil, errors.New("council: snapshot: no fleet in it")
	}
	for name, s := range f.Seats {
		if s == nil || s.ID == 0 || s.ID > f.Last {
			return nil, fmt.Errorf("council: snapshot: seat %q is not whole", name)
		}
	}
	for key, o := range f.Orders {
		if o == nil || o.Number == 0 || o.Number > f.Ordered {
			return nil, fmt.Errorf("council: snapshot: order %q is not whole", key)
		}
	}
	var err error
	if f.Leases, err = lease.Restore(parts.Leases); err != nil {
		return nil, err
	}
	if f.Slots, err = task.Restore(parts.Slots); err != nil {
		return nil, err
	}
	return &f, nil
}

// seat carries out a command about seats.
func (f *Fleet) seat(c SeatCommand) SeatResult {
	s := f.Seats[c.Name]
	known := slices.Contains(f.Names, c.Name)
	switch c.Op {
	case Admit:
		switch {
		case !known:
			return SeatResult{Why: fmt.Sprintf("%q has no seat in the council", c.Name)}
		case c.Store == "":
			return SeatResult{Why: "no store"}
		case c.Memory && !f.Volatile:
			return SeatResult{Why: "this council is on disk: one without a disk does not vote"}
		case s != nil && s.Store == c.Store:
		case s == nil:
			f.Last++
			f.Seats[c.Name] = &Seat{ID: f.Last, Store: c.Store, Voter: true}
		default:
			// The seat is taken by another store: the disk was lost, or is another's. What the former identity promised is not known
			// here, so that this one listens and does not vote until an operator says that the former one is gone for good.
			f.Last++
			next := &Seat{ID: f.Last, Store: c.Store, Former: s.Former}
			if s.Voter {
				next.Former = s.ID
			}
			if f.Volatile && c.Memory {
				// Neither the former identity nor its promises can come back. It counts as one that votes until a majority, it itself
				// counted as silent, has put the new one in its place.
				next.Voter, next.Former = true, 0
			}
			f.Seats[c.Name] = next
		}
		s = f.Seats[c.Name]
		return SeatResult{ID: s.ID, Fleet: f.ID, Voter: s.Voter}
	case Add:
		switch {
		case known:
			return SeatResult{Why: fmt.Sprintf("%q has a seat", c.Name)}
		case len(f.Names) >= MostSeats:
			return SeatResult{Why: fmt.Sprintf("%d have seats, and more would slow each other down", len(f.Names))}
		case c.Name == "" || len(c.Name) > lease.MostNameLen:
			return SeatResult{Why: "no name"}
		}
		f.Names = append(f.Names, c.Name)
		return SeatResult{}
	case Remove:
		if !known {
			return SeatResult{Why: fmt.Sprintf("%q has no seat", c.Name)}
		}
		delete(f.Seats, c.Name)
		if len(f.voters()) == 0 {
			if s != nil {
				f.Seats[c.Name] = s
			}
			return SeatResult{Why: fmt.Sprintf("without %q nobody would vote", c.Name)}
		}
		f.Names = slices.DeleteFunc(f.Names, func(n string) bool { return n == c.Name })
		return SeatResult{}
	case Replace:
		if s == nil {
			return SeatResult{Why: fmt.Sprintf("%q has not come with a store", c.Name)}
		}
		if s.Voter {
			return SeatResult{Why: fmt.Sprintf("%q votes already", c.Name)}
		}
		s.Voter, s.Former = true, 0
		return SeatResult{ID: s.ID, Voter: true}
	}
	return SeatResult{Why: "malformed"}
}

// voters are the identities that are to vote.
func (f *Fleet) voters() []uint64 {
	var all []uint64
	for _, s := range f.Seats {
		switch {
		case s.Voter:
			all = append(all, s.ID)
		case s.Former != 0:
			all = append(all, s.Former)
		}
	}
	slices.Sort(all)
	return all
}

// nameOf is whose identity it is.
func (f *Fleet) nameOf(id uint64) string {
	for name, s := range f.Seats {
		if id != 0 && (s.ID == id || s.Former == id) {
			return name
		}
	}
	return ""
}

// change is the next change from who votes now to who is to vote, nil if there is none. One is made at a time: each by joint
// consensus where it takes a vote from one and gives it to another. caught tells whether one that only listens has all that the
// leader has.
func (f *Fleet) change(now *raftpb.ConfState, caught func(id uint64) bool) *raftpb.ConfChangeV2 {
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
	voters := f.voters()
	wanted = append(wanted, voters...)
	for _, name := range slices.Sorted(maps.Keys(f.Seats)) {
		s := f.Seats[name]
		if !slices.Contains(wanted, s.ID) {
			wanted = append(wanted, s.ID)
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
