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

// Storage keeps what a node promises. Save returns once it is on the disk if sync is set; after an error the node ends, since nobody
// knows then what the disk holds.
type Storage interface {
	Save(s PersistentState, sync bool) error
}

// PersistentState is what a node keeps: as Save is told, what has changed; as a node starts, all.
type PersistentState struct {
	HardState *raftpb.HardState // nil: as before
	Snapshot  *raftpb.Snapshot  // nil: none new; otherwise all entries up to it may be dropped
	Entries   []*raftpb.Entry   // they replace those of the same and larger indices
	// ReplaceLog tells that the snapshot came from another node: what the disk has of the log is of another history, all of it, and goes in
	// the same write.
	ReplaceLog bool
}

// Config is what a node is told.
type Config struct {
	ID            uint64
	LeaseTiming   lease.Timing
	ElectionTicks int // without a word of the leader before one stands for election; 0: 10
	Persisted     PersistentState
	// SnapshotEntries is after how many entries the log is cut; 0: 4096.
	SnapshotEntries uint64
	// ClockBasedReads has a leader trust its own clock in place of asking a majority whether it still leads. It is only there for the explorer to
	// show that this is not safe.
	ClockBasedReads bool
}

// Request is what a process asks the council. One of its fields is set.
type Request struct {
	Lease       *lease.Request   `json:"lease,omitempty"`
	Voter       *VoterCommand    `json:"seat,omitempty"`
	Task        *task.Command    `json:"slot,omitempty"`
	Decision    *DecisionCommand `json:"order,omitempty"`
	TaskRecords []string         `json:"pages,omitempty"` // tasks whose pages are wanted, as they are now
	Status      bool             `json:"state,omitempty"` // what this node knows, without asking the others
}

// Response is the answer.
type Response struct {
	// NotLeader is set where this node can't answer: Leader is who may, or empty if none is known.
	NotLeader   bool                   `json:"elsewhere,omitempty"`
	Leader      string                 `json:"leader,omitempty"`
	Lease       *lease.Response        `json:"lease,omitempty"`
	Voter       *VoterResult           `json:"seat,omitempty"`
	Task        *task.Result           `json:"slot,omitempty"`
	Decision    *DecisionResult        `json:"order,omitempty"`
	Digest      *DecisionDigest        `json:"decided,omitempty"` // with each renewal
	TaskRecords map[string]task.Record `json:"pages,omitempty"`
	Status      *Status                `json:"state,omitempty"`
}

// Status is what a node knows, for people.
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

// Reply is an answer and to whom it goes, by the handle that came with the request.
type Reply struct {
	Handle   uint64
	Response Response
}

// Event is something that people are told.
type Event struct {
	Message string
	Args    []any // keys and values
}

// Output is what a node wants done, in this order; what had to be on the disk before is there.
type Output struct {
	Messages       []*raftpb.Message
	Replies        []Reply
	ChangedMembers []string // members whose leases have changed
	Events         []Event
}

// Node is one that has an identity in the council. It is not safe for concurrent use.
type Node struct {
	cfg          Config
	rawNode      *raft.RawNode
	raftLog      *raft.MemoryStorage
	confState    *raftpb.ConfState
	machine      *StateMachine // nil: this node has not heard of the state yet
	appliedIndex uint64
	now          time.Duration

	term                 uint64
	leaderID             uint64
	role                 raft.StateType
	lessor               *lease.Lessor // nil: this node does not lead, or has not applied yet what leaders before it left
	lastProposalID       uint64
	proposals            map[uint64]pendingRequest // proposals of this leadership
	queuedReads          []pendingRequest          // of sessions, not yet confirmed
	readInFlight         *readBatch                // one that is being confirmed
	lastReadID           uint64
	snapshotTicks        map[uint64]int // ticks since a snapshot was sent to an identity
	confChanged          bool           // who votes has changed since the newest snapshot
	ticksSinceConfChange uint64         // ticks since a change of who votes was proposed
	peerNames            map[uint64]string
	output               Output
	snapshotIndex        uint64 // index of the newest snapshot
	fatalErr             error
}

// pendingRequest is a request without its answer.
type pendingRequest struct {
	handle  uint64
	request Request
}

// readBatch are renewals, and reads, that wait until a majority has confirmed that this node leads.
type readBatch struct {
	id       uint64
	index    uint64 // 0: not confirmed yet
	requests []pendingRequest
}

const (
	// maxPendingRequests bounds the requests of a node that wait for the log. Beyond it others are sent away.
	maxPendingRequests = 4096
	// maxMessageBytes is the size of an append.
	maxMessageBytes = 256 << 10
	// snapshotTimeoutElections is after how many elections' ticks a snapshot that was not confirmed counts as lost.
	snapshotTimeoutElections = 4
)

// raftLogger drops what the library logs; it panics where the library gives up, since nothing safe can be done then.
type raftLogger struct{}

func (raftLogger) Debug(...any)              {}
func (raftLogger) Debugf(string, ...any)     {}
func (raftLogger) Error(...any)              {}
func (raftLogger) Errorf(string, ...any)     {}
func (raftLogger) Info(...any)               {}
func (raftLogger) Infof(string, ...any)      {}
func (raftLogger) Warning(...any)            {}
func (raftLogger) Warningf(string, ...any)   {}
func (raftLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (raftLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (raftLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (raftLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// New starts a node with what its disk holds.
func New(cfg Config) (*Node, error) {
	if cfg.ElectionTicks == 0 {
		cfg.ElectionTicks = 10
	}
	if cfg.SnapshotEntries == 0 {
		cfg.SnapshotEntries = 4096
	}
	n := &Node{cfg: cfg, raftLog: raft.NewMemoryStorage(), confState: &raftpb.ConfState{}, proposals: map[uint64]pendingRequest{}, snapshotTicks: map[uint64]int{}, peerNames: map[uint64]string{}}
	if s := cfg.Persisted.Snapshot; !raft.IsEmptySnap(s) {
		if err := n.raftLog.ApplySnapshot(s); err != nil {
			return nil, fmt.Errorf("council: snapshot: %w", err)
		}
		if err := n.restoreSnapshot(s); err != nil {
			return nil, err
		}
	}
	if h := cfg.Persisted.HardState; !raft.IsEmptyHardState(h) {
		if h.GetCommit() < n.snapshotIndex {
			// How much is decided need not be synced, and what a snapshot holds is.
			commit := n.snapshotIndex
			h = &raftpb.HardState{Term: h.Term, Vote: h.Vote, Commit: &commit}
		}
		if err := n.raftLog.SetHardState(h); err != nil {
			return nil, fmt.Errorf("council: state: %w", err)
		}
		n.term = h.GetTerm()
	}
	entries := cfg.Persisted.Entries
	for i, e := range entries {
		if e.GetIndex() != entries[0].GetIndex()+uint64(i) {
			return nil, fmt.Errorf("council: the log has entry %d where %d belongs", e.GetIndex(), entries[0].GetIndex()+uint64(i))
		}
	}
	if len(entries) > 0 && entries[0].GetIndex() > n.snapshotIndex+1 {
		return nil, fmt.Errorf("council: the log begins at %d, and its snapshot ends at %d", entries[0].GetIndex(), n.snapshotIndex)
	}
	if err := n.raftLog.Append(entries); err != nil {
		return nil, fmt.Errorf("council: log: %w", err)
	}
	last, err := n.raftLog.LastIndex()
	if err == nil && cfg.Persisted.HardState.GetCommit() > last {
		err = fmt.Errorf("the log ends at %d, and %d was known to be decided", last, cfg.Persisted.HardState.GetCommit())
	}
	if err != nil {
		return nil, fmt.Errorf("council: log: %w", err)
	}
	reads := raft.ReadOnlySafe
	if cfg.ClockBasedReads {
		reads = raft.ReadOnlyLeaseBased
	}
	n.rawNode, err = raft.NewRawNode(&raft.Config{
		ID: cfg.ID, ElectionTick: cfg.ElectionTicks, HeartbeatTick: 1, Storage: n.raftLog, Applied: n.appliedIndex, MaxSizePerMsg: maxMessageBytes,
		MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 16 << 20, CheckQuorum: true, PreVote: true, ReadOnlyOption: reads,
		Logger: raftLogger{}, DisableProposalForwarding: true, StepDownOnRemoval: true,
	})
	if err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	n.cfg.Persisted = PersistentState{} // the log has it now
	return n, nil
}

// restoreSnapshot takes over the state of a snapshot.
func (n *Node) restoreSnapshot(s *raftpb.Snapshot) error {
	f, err := restore(s.GetData())
	if err != nil {
		return err
	}
	n.machine, n.confState = f, s.GetMetadata().GetConfState()
	n.appliedIndex, n.snapshotIndex = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	return nil
}

// Tick tells that a tick has passed. The library counts ticks; leases end by the time.
func (n *Node) Tick(now time.Duration) {
	defer n.recoverPanic()
	n.now = now
	if n.fatalErr != nil {
		return
	}
	n.rawNode.Tick()
	for _, id := range slices.Sorted(maps.Keys(n.snapshotTicks)) {
		if n.snapshotTicks[id]++; n.snapshotTicks[id] > snapshotTimeoutElections*n.cfg.ElectionTicks {
			delete(n.snapshotTicks, id)
			n.rawNode.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
	n.ticksSinceConfChange++
}

// LearnName tells which identity a peer says it has: a node without the state has no other way to know.
func (n *Node) LearnName(id uint64, name string) {
	if len(n.peerNames) < 4*MaxVoters || n.peerNames[id] != "" {
		n.peerNames[id] = name
	}
}

// NameOf is whose identity it is; empty if that is not known.
func (n *Node) NameOf(id uint64) string {
	if n.machine != nil {
		if name := n.machine.voterName(id); name != "" {
			return name
		}
	}
	return n.peerNames[id]
}

// recoverPanic turns a panic of the log's library into the end of this node's part: the library gives up where nothing safe can be done, and the
// process has clients to serve.
func (n *Node) recoverPanic() {
	if r := recover(); r != nil && n.fatalErr == nil {
		n.fatalErr = fmt.Errorf("council: the log's library gave up: %v", r)
	}
}

// Step takes a message of another node. What is not for this identity is dropped.
func (n *Node) Step(now time.Duration, m *raftpb.Message) error {
	defer n.recoverPanic()
	n.now = now
	if n.fatalErr != nil || m.GetTo() != n.cfg.ID || raft.IsLocalMsg(m.GetType()) {
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
	if err := n.rawNode.Step(m); err != nil && !errors.Is(err, raft.ErrProposalDropped) && !errors.Is(err, raft.ErrStepPeerNotFound) {
		return fmt.Errorf("council: %w", err)
	}
	return nil
}

// IsLeader reports whether this node leads and has all that leaders before it left.
func (n *Node) IsLeader() bool { return n.lessor != nil }

// StateMachine is the state as far as this node knows it, nil if it does not. It must not be changed.
func (n *Node) StateMachine() *StateMachine { return n.machine }

// Submit takes a request. Its answer comes out of Work, at once or later, or never if this node ends.
func (n *Node) Submit(now time.Duration, handle uint64, q Request) {
	n.now = now
	w := pendingRequest{handle, q}
	switch {
	case q.Status:
		n.reply(w, Response{Status: n.Status()})
	case n.lessor == nil || n.fatalErr != nil:
		n.redirect(w)
	case q.Lease != nil && q.Lease.Command == nil, q.TaskRecords != nil:
		if len(n.queuedReads) >= maxPendingRequests {
			n.redirect(w)
			return
		}
		n.queuedReads = append(n.queuedReads, w)
	case q.Lease != nil:
		c := *q.Lease.Command
		if c.Op == lease.OpExpire || c.Op == lease.OpReclaim { // those are the leader's own
			n.redirect(w)
			return
		}
		n.propose(w, proposal{Lease: &c})
	case q.Voter != nil:
		n.propose(w, proposal{Voter: q.Voter})
	case q.Task != nil:
		n.propose(w, proposal{Task: q.Task})
	case q.Decision != nil:
		n.propose(w, proposal{Decision: q.Decision})
	default:
		n.redirect(w)
	}
}

func (n *Node) reply(w pendingRequest, r Response) {
	if w.handle != 0 {
		n.output.Replies = append(n.output.Replies, Reply{w.handle, r})
	}
}

func (n *Node) redirect(w pendingRequest) {
	r := Response{NotLeader: true}
	if n.leaderID != n.cfg.ID {
		r.Leader = n.NameOf(n.leaderID)
	}
	n.reply(w, r)
}

// propose puts r into the log. It reports whether that could be tried.
func (n *Node) propose(w pendingRequest, r proposal) bool {
	if len(n.proposals) >= maxPendingRequests {
		n.redirect(w)
		return false
	}
	n.lastProposalID++
	r.Term, r.ID = n.term, n.lastProposalID
	data, err := json.Marshal(r)
	if err == nil {
		err = n.rawNode.Propose(data)
	}
	if err != nil {
		n.redirect(w)
		return false
	}
	n.proposals[r.ID] = w
	return true
}

// TransferLeadership hands the lead to another that votes and is near, if this node leads.
func (n *Node) TransferLeadership() {
	if n.role != raft.StateLeader {
		return
	}
	best, match := uint64(0), uint64(0)
	n.rawNode.WithProgress(func(id uint64, typ raft.ProgressType, p tracker.Progress) {
		if id != n.cfg.ID && typ == raft.ProgressTypePeer && p.RecentActive && p.Match > match {
			best, match = id, p.Match
		}
	})
	if best != 0 {
		n.rawNode.TransferLeader(best)
	}
}

// Process carries out what has come up, and returns what is to be sent. What is promised there is on the disk.
func (n *Node) Process(now time.Duration, disk Storage) (out Output, err error) {
	defer func() {
		if n.fatalErr != nil {
			out, err = Output{}, n.fatalErr
		}
	}()
	defer n.recoverPanic()
	n.now = now
	if n.fatalErr != nil {
		return Output{}, n.fatalErr
	}
	n.runLeaderDuties()
	for n.rawNode.HasReady() {
		if err := n.processReady(disk); err != nil {
			n.fatalErr = err
			return Output{}, err
		}
		n.runLeaderDuties()
	}
	out = n.output
	n.output = Output{}
	return out, nil
}

// runLeaderDuties does what only a leader does: it confirms renewals, ends sessions and changes who votes.
func (n *Node) runLeaderDuties() {
	if n.lessor == nil {
		return
	}
	if n.readInFlight == nil && len(n.queuedReads) > 0 {
		n.lastReadID++
		n.readInFlight = &readBatch{id: n.lastReadID, requests: n.queuedReads}
		n.queuedReads = nil
		n.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, n.lastReadID))
	}
	for _, c := range n.lessor.DueCommands(n.now, n.machine.Leases) {
		if !n.propose(pendingRequest{}, proposal{Lease: &c}) {
			n.lessor.ProposalFailed(c)
		}
	}
	if n.ticksSinceConfChange > uint64(n.cfg.ElectionTicks) {
		n.proposeConfChange()
	}
}

// proposeConfChange proposes the next change of who votes.
func (n *Node) proposeConfChange() {
	n.ticksSinceConfChange = 0
	c := n.machine.nextConfChange(n.confState, func(id uint64) bool {
		caught := false
		commit := n.rawNode.BasicStatus().GetCommit()
		n.rawNode.WithProgress(func(of uint64, _ raft.ProgressType, p tracker.Progress) {
			if of == id {
				caught = p.RecentActive && p.State == tracker.StateReplicate && p.Match+64 >= commit
			}
		})
		return caught
	})
	if c != nil {
		_ = n.rawNode.ProposeConfChange(c) // dropped: it comes again
	}
}

func (n *Node) processReady(disk Storage) error {
	rd := n.rawNode.Ready()
	save := PersistentState{HardState: rd.HardState, Entries: rd.Entries}
	if !raft.IsEmptySnap(rd.Snapshot) {
		save.Snapshot, save.ReplaceLog = rd.Snapshot, true
	}
	if save.HardState != nil || save.Snapshot != nil || len(save.Entries) > 0 {
		sync := rd.MustSync || save.Snapshot != nil
		if err := disk.Save(save, sync); err != nil {
			return fmt.Errorf("council: the disk: %w", err)
		}
	}
	if save.Snapshot != nil {
		if err := n.raftLog.ApplySnapshot(rd.Snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return fmt.Errorf("council: snapshot: %w", err)
		}
		if err := n.restoreSnapshot(rd.Snapshot); err != nil {
			return err
		}
		n.event("the council's state taken over", "index", n.appliedIndex)
	}
	if rd.HardState != nil {
		if err := n.raftLog.SetHardState(rd.HardState); err != nil {
			return fmt.Errorf("council: state: %w", err)
		}
		if n.term != rd.GetTerm() {
			n.term = rd.GetTerm()
			n.stepDown() // what was judged was judged in another term
		}
	}
	if err := n.raftLog.Append(rd.Entries); err != nil {
		return fmt.Errorf("council: log: %w", err)
	}
	if rd.SoftState != nil {
		n.updateLeadership(*rd.SoftState)
	}
	for _, m := range rd.Messages {
		if m.GetType() == raftpb.MsgSnap {
			n.snapshotTicks[m.GetTo()] = 0
		}
	}
	n.output.Messages = append(n.output.Messages, rd.Messages...)
	for _, s := range rd.ReadStates {
		if n.readInFlight != nil && len(s.RequestCtx) == 8 && binary.BigEndian.Uint64(s.RequestCtx) == n.readInFlight.id {
			n.readInFlight.index = s.Index
		}
	}
	for _, e := range rd.CommittedEntries {
		if err := n.applyEntry(e); err != nil {
			return err
		}
	}
	n.serveReads()
	n.rawNode.Advance(rd)
	return n.takeSnapshot(disk)
}

// updateLeadership notes who leads now.
func (n *Node) updateLeadership(s raft.SoftState) {
	if s.RaftState != raft.StateLeader {
		n.stepDown()
	}
	if s.Lead != n.leaderID && s.Lead != 0 {
		n.event("the council has a leader", "leader", n.NameOf(s.Lead), "id", s.Lead, "term", n.term)
	} else if s.Lead == 0 && n.leaderID != 0 {
		n.event("the council has no leader that this process knows of", "term", n.term)
	}
	n.leaderID, n.role = s.Lead, s.RaftState
}

// stepDown sends all away that wait: whoever leads now answers them, and what was asked here has the same answer there.
func (n *Node) stepDown() {
	n.lessor = nil
	for _, w := range n.queuedReads {
		n.redirect(w)
	}
	if n.readInFlight != nil {
		for _, w := range n.readInFlight.requests {
			n.redirect(w)
		}
	}
	ids := make([]uint64, 0, len(n.proposals))
	for id := range n.proposals {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		n.redirect(n.proposals[id])
	}
	n.queuedReads, n.readInFlight = nil, nil
	clear(n.proposals)
}

func (n *Node) applyEntry(e *raftpb.Entry) error {
	n.appliedIndex = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChange, raftpb.EntryConfChangeV2:
		return n.applyConfChange(e)
	}
	if len(e.GetData()) == 0 {
		// The first entry of a leader: all that those before it left is applied now. Later ones that are empty stand for changes of
		// members that the library has refused: what this leader has judged since must not be forgotten.
		if n.lessor == nil && n.role == raft.StateLeader && e.GetTerm() == n.term && n.machine != nil {
			n.lessor = lease.NewLessor(n.cfg.LeaseTiming, n.now, n.machine.Leases)
			n.ticksSinceConfChange = 0
		}
		return nil
	}
	var r proposal
	if err := json.Unmarshal(e.GetData(), &r); err != nil {
		return fmt.Errorf("council: entry %d: %w", e.GetIndex(), err)
	}
	if r.Term != e.GetTerm() {
		return nil
	}
	if n.machine == nil {
		return fmt.Errorf("council: entry %d comes before any state", e.GetIndex())
	}
	var answer Response
	switch {
	case r.Lease != nil:
		result := n.machine.Leases.Apply(*r.Lease)
		n.logLeaseCommand(*r.Lease, result)
		answer.Lease = &lease.Response{Result: &result}
	case r.Voter != nil:
		result := n.machine.applyVoter(*r.Voter)
		answer.Voter = &result
		if result.Refusal == "" {
			n.event("a seat of the council", "op", string(r.Voter.Op), "name", r.Voter.Name, "id", result.RaftID, "votes", result.Votes)
		}
	case r.Task != nil:
		result := n.machine.Tasks.Apply(*r.Task)
		answer.Task = &result
	case r.Decision != nil:
		result := n.machine.applyDecision(*r.Decision)
		answer.Decision = &result
		if result.Refusal == "" {
			n.event("an order", "key", r.Decision.Key, "value", r.Decision.Value, "lifted", r.Decision.Withdraw, "number", result.Number)
		}
	}
	changed := n.machine.Leases.TakeChangedMembers()
	if n.lessor == nil {
		return nil
	}
	n.lessor.Sync(n.now, n.machine.Leases)
	n.output.ChangedMembers = append(n.output.ChangedMembers, changed...)
	if w, ours := n.proposals[r.ID]; ours && r.Term == n.term {
		delete(n.proposals, r.ID)
		if answer.Lease != nil && w.request.Lease != nil {
			answer.Lease.ID = w.request.Lease.ID
		}
		n.reply(w, answer)
	}
	return nil
}

// logLeaseCommand logs what has become of leases.
func (n *Node) logLeaseCommand(c lease.Command, r lease.Result) {
	if r.Refusal != "" {
		return
	}
	switch c.Op {
	case lease.OpOpen:
		n.event("a session", "member", c.Member, "session", r.SessionID)
	case lease.OpExpire:
		n.event("a session has ended", "session", c.SessionID)
	case lease.OpAcquire:
		if r.Token != 0 {
			n.event("a lease", "name", c.Name, "member", c.Member, "token", r.Token)
		}
	case lease.OpTransfer, lease.OpRevoke, lease.OpReclaim:
		n.event("a lease: "+string(c.Op), "name", c.Name, "member", c.Member, "to", c.To, "token", c.Token)
	}
}

func (n *Node) event(what string, args ...any) {
	n.output.Events = append(n.output.Events, Event{what, args})
}

// applyConfChange carries out a change of who votes.
func (n *Node) applyConfChange(e *raftpb.Entry) error {
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
	n.confState = n.rawNode.ApplyConfChange(change)
	n.confChanged = true
	n.event("the council's members", "voters", slices.Clone(n.confState.GetVoters()), "learners", slices.Clone(n.confState.GetLearners()),
		"outgoing", slices.Clone(n.confState.GetVotersOutgoing()))
	return nil
}

// serveReads answers the renewals and reads that a majority has confirmed.
func (n *Node) serveReads() {
	r := n.readInFlight
	if r == nil || r.index == 0 || n.appliedIndex < r.index || n.lessor == nil {
		return
	}
	n.readInFlight = nil
	decided := n.machine.digest()
	for _, w := range r.requests {
		if w.request.TaskRecords != nil {
			pages := map[string]task.Record{}
			for _, name := range w.request.TaskRecords {
				pages[name] = n.machine.Tasks.Record(name)
			}
			n.reply(w, Response{TaskRecords: pages})
			continue
		}
		a := lease.Response{ID: w.request.Lease.ID, LastID: n.machine.Leases.LastID}
		listing, why := n.machine.Leases.HoldingsOf(w.request.Lease.SessionID, w.request.Lease.KnownVersion)
		if why == "" && !n.lessor.Renew(n.now, w.request.Lease.SessionID) {
			why = lease.RefusedNoSession
		}
		if a.Refusal = why; why == "" && listing.Version != w.request.Lease.KnownVersion {
			a.Holdings = &listing
		}
		n.reply(w, Response{Lease: &a, Digest: decided})
	}
}

// takeSnapshot writes a snapshot and drops the log before it, once the log is long.
func (n *Node) takeSnapshot(disk Storage) error {
	if n.machine == nil || n.appliedIndex < n.snapshotIndex+n.cfg.SnapshotEntries && !n.confChanged {
		return nil
	}
	// One that is new takes no snapshot that does not name it.
	n.confChanged = false
	data, err := n.machine.snapshot()
	if err != nil {
		return err
	}
	s, err := n.raftLog.CreateSnapshot(n.appliedIndex, n.confState, data)
	if err != nil {
		return fmt.Errorf("council: snapshot: %w", err)
	}
	if err := disk.Save(PersistentState{Snapshot: s}, true); err != nil {
		return fmt.Errorf("council: the disk: %w", err)
	}
	n.snapshotIndex = n.appliedIndex
	// Some entries stay, so that one that is a little behind needs no snapshot.
	if keep := n.cfg.SnapshotEntries / 4; n.appliedIndex > keep {
		if err := n.raftLog.Compact(n.appliedIndex - keep); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return fmt.Errorf("council: log: %w", err)
		}
	}
	return nil
}

// Status tells what this node knows.
func (n *Node) Status() *Status {
	b := n.rawNode.BasicStatus()
	return &Status{
		ID: n.cfg.ID, Role: n.role.String(), Leader: n.NameOf(n.leaderID), Term: n.term, Commit: b.GetCommit(), Applied: n.appliedIndex,
		Voters: slices.Clone(n.confState.GetVoters()), Learners: slices.Clone(n.confState.GetLearners()), StateMachine: n.machine,
	}
}
