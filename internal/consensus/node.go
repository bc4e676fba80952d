package consensus

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
)

// Disk keeps what a node promises. Save returns once it is on the disk if sync is set; after an error the node ends, since nobody
// knows then what the disk holds.
type Disk interface {
	Save(s Saved, sync bool) error
}

// Saved is what a node keeps: as Save is told, what has changed; as a node starts, all.
type Saved struct {
	Hard     *raftpb.HardState // nil: as before
	Snapshot *raftpb.Snapshot  // nil: none new; otherwise all entries up to it may be dropped
	Entries  []*raftpb.Entry   // they replace those of the same and larger indices
	// Reset tells that the snapshot came from another node: what the disk has of the log is of another history, all of it, and goes in
	// the same write.
	Reset bool
}

// Config is what a node is told.
type Config struct {
	ID            uint64
	Rules         lease.Rules
	ElectionTicks int // without a word of the leader before one stands for election; 0: 10
	Saved         Saved
	// SnapshotEvery is after how many entries the log is cut; 0: 4096.
	SnapshotEvery uint64
	// Lax has a leader trust its own clock in place of asking a majority whether it still leads. It is only there for the explorer to
	// show that this is not safe.
	Lax bool
}

// Request is what a process asks the council. One of its fields is set.
type Request struct {
	Lease *lease.Ask    `json:"lease,omitempty"`
	Seat  *SeatCommand  `json:"seat,omitempty"`
	Slot  *task.Command `json:"slot,omitempty"`
	Order *OrderCommand `json:"order,omitempty"`
	Pages []string      `json:"pages,omitempty"` // tasks whose pages are wanted, as they are now
	State bool          `json:"state,omitempty"` // what this node knows, without asking the others
}

// Response is the answer.
type Response struct {
	// Elsewhere is set where this node can't answer: Leader is who may, or empty if none is known.
	Elsewhere bool                 `json:"elsewhere,omitempty"`
	Leader    string               `json:"leader,omitempty"`
	Lease     *lease.Answer        `json:"lease,omitempty"`
	Seat      *SeatResult          `json:"seat,omitempty"`
	Slot      *task.Result         `json:"slot,omitempty"`
	Order     *OrderResult         `json:"order,omitempty"`
	Decided   *Decided             `json:"decided,omitempty"` // with each renewal
	Pages     map[string]task.Page `json:"pages,omitempty"`
	State     *State               `json:"state,omitempty"`
}

// State is what a node knows, for people.
type State struct {
	ID       uint64   `json:"id"`
	Role     string   `json:"role"`
	Leader   string   `json:"leader,omitempty"`
	Term     uint64   `json:"term"`
	Commit   uint64   `json:"commit"`
	Applied  uint64   `json:"applied"`
	Voters   []uint64 `json:"voters"`
	Learners []uint64 `json:"learners,omitempty"`
	Fleet    *Fleet   `json:"fleet,omitempty"`
}

// Reply is an answer and to whom it goes, by the handle that came with the request.
type Reply struct {
	Handle   uint64
	Response Response
}

// Event is something that people are told.
type Event struct {
	What string
	Args []any // keys and values
}

// Output is what a node wants done, in this order; what had to be on the disk before is there.
type Output struct {
	Messages []*raftpb.Message
	Replies  []Reply
	Wakes    []string // members whose leases have changed
	Events   []Event
}

// Node is one that has an identity in the council. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	raw     *raft.RawNode
	log     *raft.MemoryStorage
	conf    *raftpb.ConfState
	fleet   *Fleet // nil: this node has not heard of the state yet
	applied uint64
	now     time.Duration

	term     uint64
	leader   uint64
	role     raft.StateType
	lessor   *lease.Lessor // nil: this node does not lead, or has not applied yet what leaders before it left
	lastID   uint64
	pending  map[uint64]waiting // proposals of this leadership
	renewals []waiting          // of sessions, not yet confirmed
	reading  *reading           // one that is being confirmed
	lastRead uint64
	snaps    map[uint64]int // ticks since a snapshot was sent to an identity
	reseated bool           // who votes has changed since the newest snapshot
	changing uint64         // ticks since a change of who votes was proposed
	names    map[uint64]string
	out      Output
	saved    uint64 // index of the newest snapshot
	failed   error
}

// waiting is a request without its answer.
type waiting struct {
	handle uint64
	ask    Request
}

// reading are renewals, and reads, that wait until a majority has confirmed that this node leads.
type reading struct {
	context uint64
	index   uint64 // 0: not confirmed yet
	batch   []waiting
}

const (
	// mostPending bounds the requests of a node that wait for the log. Beyond it others are sent away.
	mostPending = 4096
	// mostMessage is the size of an append.
	mostMessage = 256 << 10
	// snapTicks is after how many elections' ticks a snapshot that was not confirmed counts as lost.
	snapTicks = 4
)

// quiet drops what the library logs; it panics where the library gives up, since nothing safe can be done then.
type quiet struct{}

func (quiet) Debug(...any)              {}
func (quiet) Debugf(string, ...any)     {}
func (quiet) Error(...any)              {}
func (quiet) Errorf(string, ...any)     {}
func (quiet) Info(...any)               {}
func (quiet) Infof(string, ...any)      {}
func (quiet) Warning(...any)            {}
func (quiet) Warningf(string, ...any)   {}
func (quiet) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// New starts a node with what its disk holds.
func New(cfg Config) (*Node, error) {
	if cfg.ElectionTicks == 0 {
		cfg.ElectionTicks = 10
	}
	if cfg.SnapshotEvery == 0 {
		cfg.SnapshotEvery = 4096
	}
	n := &Node{cfg: cfg, log: raft.NewMemoryStorage(), conf: &raftpb.ConfState{}, pending: map[uint64]waiting{}, snaps: map[uint64]int{}, names: map[uint64]string{}}
	if s := cfg.Saved.Snapshot; !raft.IsEmptySnap(s) {
		if err := n.log.ApplySnapshot(s); err != nil {
			return nil, fmt.Errorf("council: snapshot: %w", err)
		}
		if err := n.adopt(s); err != nil {
			return nil, err
		}
	}
	if h := cfg.Saved.Hard; !raft.IsEmptyHardState(h) {
		if h.GetCommit() < n.saved {
			// How much is decided need not be synced, and what a snapshot holds is.
			commit := n.saved
			h = &raftpb.HardState{Term: h.Term, Vote: h.Vote, Commit: &commit}
		}
		if err := n.log.SetHardState(h); err != nil {
			return nil, fmt.Errorf("council: state: %w", err)
		}
		n.term = h.GetTerm()
	}
	entries := cfg.Saved.Entries
	for i, e := range entries {
		if e.GetIndex() != entries[0].GetIndex()+uint64(i) {
			return nil, fmt.Errorf("council: the log has entry %d where %d belongs", e.GetIndex(), entries[0].GetIndex()+uint64(i))
		}
	}
	if len(entries) > 0 && entries[0].GetIndex() > n.saved+1 {
		return nil, fmt.Errorf("council: the log begins at %d, and its snapshot ends at %d", entries[0].GetIndex(), n.saved)
	}
	if err := n.log.Append(entries); err != nil {
		return nil, fmt.Errorf("council: log: %w", err)
	}
	last, err := n.log.LastIndex()
	if err == nil && cfg.Saved.Hard.GetCommit() > last {
		err = fmt.Errorf("the log ends at %d, and %d was known to be decided", last, cfg.Saved.Hard.GetCommit())
	}
	if err != nil {
		return nil, fmt.Errorf("council: log: %w", err)
	}
	reads := raft.ReadOnlySafe
	if cfg.Lax {
		reads = raft.ReadOnlyLeaseBased
	}
	n.raw, err = raft.NewRawNode(&raft.Config{
		ID: cfg.ID, ElectionTick: cfg.ElectionTicks, HeartbeatTick: 1, Storage: n.log, Applied: n.applied, MaxSizePerMsg: mostMessage,
		MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 16 << 20, CheckQuorum: true, PreVote: true, ReadOnlyOption: reads,
		Logger: quiet{}, DisableProposalForwarding: true, StepDownOnRemoval: true,
	})
	if err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	n.cfg.Saved = Saved{} // the log has it now
	return n, nil
}

// adopt takes over the state of a snapshot.
func (n *Node) adopt(s *raftpb.Snapshot) error {
	f, err := restore(s.GetData())
	if err != nil {
		return err
	}
	n.fleet, n.conf = f, s.GetMetadata().GetConfState()
	n.applied, n.saved = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	return nil
}

// Tick tells that a tick has passed. The library counts ticks; leases end by the time.
func (n *Node) Tick(now time.Duration) {
	defer n.gives()
	n.now = now
	if n.failed != nil {
		return
	}
	n.raw.Tick()
	for _, id := range slices.Sorted(maps.Keys(n.snaps)) {
		if n.snaps[id]++; n.snaps[id] > snapTicks*n.cfg.ElectionTicks {
			delete(n.snaps, id)
			n.raw.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
	n.changing++
}

// Heard tells which identity a peer says it has: a node without the state has no other way to know.
func (n *Node) Heard(id uint64, name string) {
	if len(n.names) < 4*MostSeats || n.names[id] != "" {
		n.names[id] = name
	}
}

// NameOf is whose identity it is; empty if that is not known.
func (n *Node) NameOf(id uint64) string {
	if n.fleet != nil {
		if name := n.fleet.nameOf(id); name != "" {
			return name
		}
	}
	return n.names[id]
}

// gives turns a panic of the log's library into the end of this node's part: the library gives up where nothing safe can be done, and the
// process has clients to serve.
func (n *Node) gives() {
	if r := recover(); r != nil && n.failed == nil {
		n.failed = fmt.Errorf("council: the log's library gave up: %v", r)
	}
}

// Step takes a message of another node. What is not for this identity is dropped.
func (n *Node) Step(now time.Duration, m *raftpb.Message) error {
	defer n.gives()
	n.now = now
	if n.failed != nil || m.GetTo() != n.cfg.ID || raft.IsLocalMsg(m.GetType()) {
		return nil
	}
	if m.GetType() == raftpb.MsgSnap {
		if _, err := restore(m.GetSnapshot().GetData()); err != nil {
			return err
		}
	}
	if m.GetType() == raftpb.MsgProp || m.GetType() == raftpb.MsgReadIndex {
		return nil // judged where it is made, or not at all
	}
	if err := n.raw.Step(m); err != nil && !errors.Is(err, raft.ErrProposalDropped) && !errors.Is(err, raft.ErrStepPeerNotFound) {
		return fmt.Errorf("council: %w", err)
	}
	return nil
}

// Leads reports whether this node leads and has all that leaders before it left.
func (n *Node) Leads() bool { return n.lessor != nil }

// Fleet is the state as far as this node knows it, nil if it does not. It must not be changed.
func (n *Node) Fleet() *Fleet { return n.fleet }

// Ask takes a request. Its answer comes out of Work, at once or later, or never if this node ends.
func (n *Node) Ask(now time.Duration, handle uint64, q Request) {
	n.now = now
	w := waiting{handle, q}
	switch {
	case q.State:
		n.reply(w, Response{State: n.State()})
	case n.lessor == nil || n.failed != nil:
		n.elsewhere(w)
	case q.Lease != nil && q.Lease.Command == nil, q.Pages != nil:
		if len(n.renewals) >= mostPending {
			n.elsewhere(w)
			return
		}
		n.renewals = append(n.renewals, w)
	case q.Lease != nil:
		c := *q.Lease.Command
		if c.Op == lease.Expire || c.Op == lease.Free { // those are the leader's own
			n.elsewhere(w)
			return
		}
		n.propose(w, record{Lease: &c})
	case q.Seat != nil:
		n.propose(w, record{Seat: q.Seat})
	case q.Slot != nil:
		n.propose(w, record{Slot: q.Slot})
	case q.Order != nil:
		n.propose(w, record{Order: q.Order})
	default:
		n.elsewhere(w)
	}
}

func (n *Node) reply(w waiting, r Response) {
	if w.handle != 0 {
		n.out.Replies = append(n.out.Replies, Reply{w.handle, r})
	}
}

func (n *Node) elsewhere(w waiting) {
	r := Response{Elsewhere: true}
	if n.leader != n.cfg.ID {
		r.Leader = n.NameOf(n.leader)
	}
	n.reply(w, r)
}

// propose puts r into the log. It reports whether that could be tried.
func (n *Node) propose(w waiting, r record) bool {
	if len(n.pending) >= mostPending {
		n.elsewhere(w)
		return false
	}
	n.lastID++
	r.Term, r.ID = n.term, n.lastID
	data, err := json.Marshal(r)
	if err == nil {
		err = n.raw.Propose(data)
	}
	if err != nil {
		n.elsewhere(w)
		return false
	}
	n.pending[r.ID] = w
	return true
}

// Transfer hands the lead to another that votes and is near, if this node leads.
func (n *Node) Transfer() {
	if n.role != raft.StateLeader {
		return
	}
	best, match := uint64(0), uint64(0)
	n.raw.WithProgress(func(id uint64, typ raft.ProgressType, p tracker.Progress) {
		if id != n.cfg.ID && typ == raft.ProgressTypePeer && p.RecentActive && p.Match > match {
			best, match = id, p.Match
		}
	})
	if best != 0 {
		n.raw.TransferLeader(best)
	}
}

// Work carries out what has come up, and returns what is to be sent. What is promised there is on the disk.
func (n *Node) Work(now time.Duration, disk Disk) (out Output, err error) {
	defer func() {
		if n.failed != nil {
			out, err = Output{}, n.failed
		}
	}()
	defer n.gives()
	n.now = now
	if n.failed != nil {
		return Output{}, n.failed
	}
	n.lead()
	for n.raw.HasReady() {
		if err := n.ready(disk); err != nil {
			n.failed = err
			return Output{}, err
		}
		n.lead()
	}
	out = n.out
	n.out = Output{}
	return out, nil
}

// lead does what only a leader does: it confirms renewals, ends sessions and changes who votes.
func (n *Node) lead() {
	if n.lessor == nil {
		return
	}
	if n.reading == nil && len(n.renewals) > 0 {
		n.lastRead++
		n.reading = &reading{context: n.lastRead, batch: n.renewals}
		n.renewals = nil
		n.raw.ReadIndex(binary.BigEndian.AppendUint64(nil, n.lastRead))
	}
	for _, c := range n.lessor.Due(n.now, n.fleet.Leases) {
		if !n.propose(waiting{}, record{Lease: &c}) {
			n.lessor.Untold(c)
		}
	}
	if n.changing > uint64(n.cfg.ElectionTicks) {
		n.change()
	}
}

// change proposes the next change of who votes.
func (n *Node) change() {
	n.changing = 0
	c := n.fleet.change(n.conf, func(id uint64) bool {
		caught := false
		commit := n.raw.BasicStatus().GetCommit()
		n.raw.WithProgress(func(of uint64, _ raft.ProgressType, p tracker.Progress) {
			if of == id {
				caught = p.RecentActive && p.State == tracker.StateReplicate && p.Match+64 >= commit
			}
		})
		return caught
	})
	if c != nil {
		_ = n.raw.ProposeConfChange(c) // dropped: it comes again
	}
}

func (n *Node) ready(disk Disk) error {
	rd := n.raw.Ready()
	save := Saved{Hard: rd.HardState, Entries: rd.Entries}
	if !raft.IsEmptySnap(rd.Snapshot) {
		save.Snapshot, save.Reset = rd.Snapshot, true
	}
	if save.Hard != nil || save.Snapshot != nil || len(save.Entries) > 0 {
		sync := rd.MustSync || save.Snapshot != nil
		if err := disk.Save(save, sync); err != nil {
			return fmt.Errorf("council: the disk: %w", err)
		}
	}
	if save.Snapshot != nil {
		if err := n.log.ApplySnapshot(rd.Snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return fmt.Errorf("council: snapshot: %w", err)
		}
		if err := n.adopt(rd.Snapshot); err != nil {
			return err
		}
		n.event("the council's state taken over", "index", n.applied)
	}
	if rd.HardState != nil {
		if err := n.log.SetHardState(rd.HardState); err != nil {
			return fmt.Errorf("council: state: %w", err)
		}
		if n.term != rd.GetTerm() {
			n.term = rd.GetTerm()
			n.resign() // what was judged was judged in another term
		}
	}
	if err := n.log.Append(rd.Entries); err != nil {
		return fmt.Errorf("council: log: %w", err)
	}
	if rd.SoftState != nil {
		n.soft(*rd.SoftState)
	}
	for _, m := range rd.Messages {
		if m.GetType() == raftpb.MsgSnap {
			n.snaps[m.GetTo()] = 0
		}
	}
	n.out.Messages = append(n.out.Messages, rd.Messages...)
	for _, s := range rd.ReadStates {
		if n.reading != nil && len(s.RequestCtx) == 8 && binary.BigEndian.Uint64(s.RequestCtx) == n.reading.context {
			n.reading.index = s.Index
		}
	}
	for _, e := range rd.CommittedEntries {
		if err := n.apply(e); err != nil {
			return err
		}
	}
	n.renew()
	n.raw.Advance(rd)
	return n.cut(disk)
}

// soft notes who leads now.
func (n *Node) soft(s raft.SoftState) {
	if s.RaftState != raft.StateLeader {
		n.resign()
	}
	if s.Lead != n.leader && s.Lead != 0 {
		n.event("the council has a leader", "leader", n.NameOf(s.Lead), "id", s.Lead, "term", n.term)
	} else if s.Lead == 0 && n.leader != 0 {
		n.event("the council has no leader that this process knows of", "term", n.term)
	}
	n.leader, n.role = s.Lead, s.RaftState
}

// resign sends all away that wait: whoever leads now answers them, and what was asked here has the same answer there.
func (n *Node) resign() {
	n.lessor = nil
	for _, w := range n.renewals {
		n.elsewhere(w)
	}
	if n.reading != nil {
		for _, w := range n.reading.batch {
			n.elsewhere(w)
		}
	}
	ids := make([]uint64, 0, len(n.pending))
	for id := range n.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		n.elsewhere(n.pending[id])
	}
	n.renewals, n.reading = nil, nil
	clear(n.pending)
}

func (n *Node) apply(e *raftpb.Entry) error {
	n.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChange, raftpb.EntryConfChangeV2:
		return n.reseat(e)
	}
	if len(e.GetData()) == 0 {
		// The first entry of a leader: all that those before it left is applied now. Later ones that are empty stand for changes of
		// members that the library has refused: what this leader has judged since must not be forgotten.
		if n.lessor == nil && n.role == raft.StateLeader && e.GetTerm() == n.term && n.fleet != nil {
			n.lessor = lease.NewLessor(n.cfg.Rules, n.now, n.fleet.Leases)
			n.changing = 0
		}
		return nil
	}
	var r record
	if err := json.Unmarshal(e.GetData(), &r); err != nil {
		return fmt.Errorf("council: entry %d: %w", e.GetIndex(), err)
	}
	if r.Term != e.GetTerm() {
		return nil
	}
	if n.fleet == nil {
		return fmt.Errorf("council: entry %d comes before any state", e.GetIndex())
	}
	var answer Response
	switch {
	case r.Lease != nil:
		result := n.fleet.Leases.Apply(*r.Lease)
		n.told(*r.Lease, result)
		answer.Lease = &lease.Answer{Result: &result}
	case r.Seat != nil:
		result := n.fleet.seat(*r.Seat)
		answer.Seat = &result
		if result.Why == "" {
			n.event("a seat of the council", "op", string(r.Seat.Op), "name", r.Seat.Name, "id", result.ID, "votes", result.Voter)
		}
	case r.Slot != nil:
		result := n.fleet.Slots.Apply(*r.Slot)
		answer.Slot = &result
	case r.Order != nil:
		result := n.fleet.order(*r.Order)
		answer.Order = &result
		if result.Why == "" {
			n.event("an order", "key", r.Order.Key, "value", r.Order.Value, "lifted", r.Order.Lift, "number", result.Number)
		}
	}
	changed := n.fleet.Leases.Changed()
	if n.lessor == nil {
		return nil
	}
	n.lessor.Applied(n.now, n.fleet.Leases)
	n.out.Wakes = append(n.out.Wakes, changed...)
	if w, ours := n.pending[r.ID]; ours && r.Term == n.term {
		delete(n.pending, r.ID)
		if answer.Lease != nil && w.ask.Lease != nil {
			answer.Lease.ID = w.ask.Lease.ID
		}
		n.reply(w, answer)
	}
	return nil
}

// told logs what has become of leases.
func (n *Node) told(c lease.Command, r lease.Result) {
	if r.Why != "" {
		return
	}
	switch c.Op {
	case lease.Open:
		n.event("a session", "member", c.Member, "session", r.Session)
	case lease.Expire:
		n.event("a session has ended", "session", c.Session)
	case lease.Acquire:
		if r.Token != 0 {
			n.event("a lease", "name", c.Name, "member", c.Member, "token", r.Token)
		}
	case lease.Pass, lease.Revoke, lease.Free:
		n.event("a lease: "+string(c.Op), "name", c.Name, "member", c.Member, "to", c.To, "token", c.Token)
	}
}

func (n *Node) event(what string, args ...any) {
	n.out.Events = append(n.out.Events, Event{what, args})
}

// reseat carries out a change of who votes.
func (n *Node) reseat(e *raftpb.Entry) error {
	var change interface {
		raftpb.ConfChangeI
		proto.Message
	} = &raftpb.ConfChangeV2{}
	if e.GetType() == raftpb.EntryConfChange {
		change = &raftpb.ConfChange{}
	}
	if err := proto.Unmarshal(e.GetData(), change); err != nil {
		return fmt.Errorf("council: entry %d: %w", e.GetIndex(), err)
	}
	n.conf = n.raw.ApplyConfChange(change)
	n.reseated = true
	n.event("the council's members", "voters", slices.Clone(n.conf.GetVoters()), "learners", slices.Clone(n.conf.GetLearners()),
		"outgoing", slices.Clone(n.conf.GetVotersOutgoing()))
	return nil
}

// renew answers the renewals and reads that a majority has confirmed.
func (n *Node) renew() {
	r := n.reading
	if r == nil || r.index == 0 || n.applied < r.index || n.lessor == nil {
		return
	}
	n.reading = nil
	decided := n.fleet.decided()
	for _, w := range r.batch {
		if w.ask.Pages != nil {
			pages := map[string]task.Page{}
			for _, name := range w.ask.Pages {
				pages[name] = n.fleet.Slots.Page(name)
			}
			n.reply(w, Response{Pages: pages})
			continue
		}
		a := lease.Answer{ID: w.ask.Lease.ID, Last: n.fleet.Leases.Last}
		listing, why := n.fleet.Leases.List(w.ask.Lease.Session, w.ask.Lease.Have)
		if why == "" && !n.lessor.Renew(n.now, w.ask.Lease.Session) {
			why = lease.NoSession
		}
		if a.Why = why; why == "" && listing.Version != w.ask.Lease.Have {
			a.Listing = &listing
		}
		n.reply(w, Response{Lease: &a, Decided: decided})
	}
}

// cut writes a snapshot and drops the log before it, once the log is long.
func (n *Node) cut(disk Disk) error {
	if n.fleet == nil || n.applied < n.saved+n.cfg.SnapshotEvery && !n.reseated {
		return nil
	}
	// One that is new takes no snapshot that does not name it.
	n.reseated = false
	data, err := n.fleet.snapshot()
	if err != nil {
		return err
	}
	s, err := n.log.CreateSnapshot(n.applied, n.conf, data)
	if err != nil {
		return fmt.Errorf("council: snapshot: %w", err)
	}
	if err := disk.Save(Saved{Snapshot: s}, true); err != nil {
		return fmt.Errorf("council: the disk: %w", err)
	}
	n.saved = n.applied
	// Some entries stay, so that one that is a little behind needs no snapshot.
	if keep := n.cfg.SnapshotEvery / 4; n.applied > keep {
		if err := n.log.Compact(n.applied - keep); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return fmt.Errorf("council: log: %w", err)
		}
	}
	return nil
}

// State tells what this node knows.
func (n *Node) State() *State {
	b := n.raw.BasicStatus()
	return &State{
		ID: n.cfg.ID, Role: n.role.String(), Leader: n.NameOf(n.leader), Term: n.term, Commit: b.GetCommit(), Applied: n.applied,
		Voters: slices.Clone(n.conf.GetVoters()), Learners: slices.Clone(n.conf.GetLearners()), Fleet: n.fleet,
	}
}
