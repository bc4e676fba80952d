package consensus

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"

	"sorrelrudder/internal/lease"
)

const (
	defaultElectionTicks   = 10
	defaultSnapshotEntries = 4096
	// heartbeatTicks is the time between two heartbeats of a leader.
	heartbeatTicks = 1
	// maxMessageBytes bounds the entries of one append message.
	maxMessageBytes = 256 << 10
	// maxInflightMessages bounds the append messages to one follower that are not acknowledged.
	maxInflightMessages = 64
	// maxUncommittedBytes bounds the entries of a leader that are not committed; beyond it proposals are dropped.
	maxUncommittedBytes = 16 << 20
	// snapshotTimeoutElections is the time, in election timeouts, after which a snapshot that was sent and not acknowledged counts as lost.
	snapshotTimeoutElections = 4
	// maxPeerNames bounds the names that peers tell of themselves.
	maxPeerNames = 4 * MaxVoters
)

// Config is the configuration of a [Node].
type Config struct {
	ID          uint64 // raft ID, as OpAdmit gave it
	LeaseTiming lease.Timing
	// ElectionTicks is the time in ticks without a word of the leader after which a node stands for election; 0: 10.
	ElectionTicks int
	// SnapshotEntries is the number of entries after which the log is compacted; 0: 4096.
	SnapshotEntries uint64
	// Persisted is what the storage holds.
	Persisted PersistentState
	// ClockBasedReads has a leader trust its own clock in place of asking a majority whether it still leads. It is unsafe, and there for
	// the simulation to show that.
	ClockBasedReads bool
}

// Node is one member of the raft group. It is not safe for concurrent use.
//
// Invariants: what Process returns was written by the Storage before; a command is judged in one term only (stepDown forgets all that
// waits); lessor is set only while the node leads and has applied all entries of earlier leaders.
type Node struct {
	cfg       Config
	now       time.Duration // of the newest event
	rawNode   *raft.RawNode
	raftLog   *raft.MemoryStorage
	confState *raftpb.ConfState
	peerNames map[uint64]string
	fatalErr  error // the node does nothing any more
	output    Output

	// The replicated state, as far as it is known here.
	machine       *StateMachine // nil: no snapshot has arrived yet
	appliedIndex  uint64
	snapshotIndex uint64 // of the newest snapshot
	confChanged   bool   // since the newest snapshot

	// Who leads.
	term     uint64
	leaderID uint64
	role     raft.StateType

	// What a leader keeps. It is dropped by stepDown.
	lessor               *lease.Lessor
	lastProposalID       uint64
	proposals            map[uint64]pendingRequest // by proposal.ID
	queuedReads          []pendingRequest
	readInFlight         *readBatch
	lastReadID           uint64
	snapshotTicks        map[uint64]int // by raft ID: ticks since a snapshot was sent to it
	ticksSinceConfChange uint64
}

// New returns a node that starts from cfg.Persisted. It fails with ErrInvalidSnapshot or ErrInvalidLog if that can't be what a node
// wrote.
func New(cfg Config) (*Node, error) {
	if cfg.ElectionTicks == 0 {
		cfg.ElectionTicks = defaultElectionTicks
	}
	if cfg.SnapshotEntries == 0 {
		cfg.SnapshotEntries = defaultSnapshotEntries
	}
	n := &Node{
		cfg:           cfg,
		raftLog:       raft.NewMemoryStorage(),
		confState:     &raftpb.ConfState{},
		peerNames:     map[uint64]string{},
		proposals:     map[uint64]pendingRequest{},
		snapshotTicks: map[uint64]int{},
	}
	if err := n.load(cfg.Persisted); err != nil {
		return nil, err
	}
	n.cfg.Persisted = PersistentState{}
	reads := raft.ReadOnlySafe
	if cfg.ClockBasedReads {
		reads = raft.ReadOnlyLeaseBased
	}
	var err error
	n.rawNode, err = raft.NewRawNode(&raft.Config{
		ID:                        cfg.ID,
		ElectionTick:              cfg.ElectionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   n.raftLog,
		Applied:                   n.appliedIndex,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		ReadOnlyOption:            reads,
		Logger:                    raftLogger{},
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
	})
	if err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	return n, nil
}

// load fills the log and the state machine with what the storage holds.
func (n *Node) load(s PersistentState) error {
	if !raft.IsEmptySnap(s.Snapshot) {
		if err := n.raftLog.ApplySnapshot(s.Snapshot); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
		}
		if err := n.restoreSnapshot(s.Snapshot); err != nil {
			return err
		}
	}
	if err := n.loadHardState(s.HardState); err != nil {
		return err
	}
	return n.loadEntries(s.Entries, s.HardState.GetCommit())
}

func (n *Node) loadHardState(h *raftpb.HardState) error {
	if raft.IsEmptyHardState(h) {
		return nil
	}
	if h.GetCommit() < n.snapshotIndex { // the committed index need not be synced, a snapshot is
		commit := n.snapshotIndex
		h = &raftpb.HardState{Term: h.Term, Vote: h.Vote, Commit: &commit}
	}
	if err := n.raftLog.SetHardState(h); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidLog, err)
	}
	n.term = h.GetTerm()
	return nil
}

// loadEntries appends entries that follow the snapshot without gaps and reach the committed index.
func (n *Node) loadEntries(entries []*raftpb.Entry, commit uint64) error {
	for i, e := range entries {
		if want := entries[0].GetIndex() + uint64(i); e.GetIndex() != want {
			return fmt.Errorf("%w: entry %d stands where %d belongs", ErrInvalidLog, e.GetIndex(), want)
		}
	}
	if len(entries) > 0 && entries[0].GetIndex() > n.snapshotIndex+1 {
		return fmt.Errorf("%w: it begins at %d, and its snapshot ends at %d", ErrInvalidLog, entries[0].GetIndex(), n.snapshotIndex)
	}
	if err := n.raftLog.Append(entries); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidLog, err)
	}
	last, err := n.raftLog.LastIndex()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidLog, err)
	}
	if commit > last {
		return fmt.Errorf("%w: it ends at %d, and %d was known to be committed", ErrInvalidLog, last, commit)
	}
	return nil
}

// Tick advances the election and heartbeat timers by one tick. Leases expire by now, not by ticks.
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

// Step takes a message of another node. One that is not for this node is dropped.
func (n *Node) Step(now time.Duration, m *raftpb.Message) error {
	defer n.recoverPanic()
	n.now = now
	if n.fatalErr != nil || m.GetTo() != n.cfg.ID || raft.IsLocalMsg(m.GetType()) {
		return nil
	}
	switch m.GetType() {
	case raftpb.MsgSnap:
		if _, err := restore(m.GetSnapshot().GetData()); err != nil {
			return err
		}
	case raftpb.MsgProp, raftpb.MsgReadIndex: // only the node that judged a request may propose it
		return nil
	}
	if err := n.rawNode.Step(m); err != nil && !errors.Is(err, raft.ErrProposalDropped) && !errors.Is(err, raft.ErrStepPeerNotFound) {
		return fmt.Errorf("council: %w", err)
	}
	return nil
}

// LearnName tells which raft ID a peer says it has: a node without the state has no other way to know.
func (n *Node) LearnName(id uint64, name string) {
	if len(n.peerNames) < maxPeerNames || n.peerNames[id] != "" {
		n.peerNames[id] = name
	}
}

// NameOf returns the member with a raft ID, empty if it is not known.
func (n *Node) NameOf(id uint64) string {
	if n.machine != nil {
		if name := n.machine.voterName(id); name != "" {
			return name
		}
	}
	return n.peerNames[id]
}

// IsLeader reports whether this node leads and has applied all entries of earlier leaders.
func (n *Node) IsLeader() bool { return n.lessor != nil }

// StateMachine returns the state as far as this node knows it, or nil. The caller must not change it, nor keep it across other calls.
func (n *Node) StateMachine() *StateMachine { return n.machine }

// Status returns this node's view.
func (n *Node) Status() *Status {
	return &Status{
		ID:           n.cfg.ID,
		Role:         n.role.String(),
		Leader:       n.NameOf(n.leaderID),
		Term:         n.term,
		Commit:       n.rawNode.BasicStatus().GetCommit(),
		Applied:      n.appliedIndex,
		Voters:       slices.Clone(n.confState.GetVoters()),
		Learners:     slices.Clone(n.confState.GetLearners()),
		StateMachine: n.machine,
	}
}

// TransferLeadership hands the lead to the active voter whose log is the longest, if this node leads.
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

// recoverPanic turns a panic of the raft library into the end of this node's part, so that the process goes on with its clients.
func (n *Node) recoverPanic() {
	if r := recover(); r != nil && n.fatalErr == nil {
		n.fatalErr = fmt.Errorf("%w: %v", ErrRaft, r)
	}
}
