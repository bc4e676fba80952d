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
	// heartbeatTicks is the time between two heartbeats of a leader, in ticks.
	heartbeatTicks = 1
	// maxMessageBytes bounds the entries of one append message.
	maxMessageBytes = 256 << 10
	// maxInflightMessages bounds the unacknowledged append messages to one follower.
	maxInflightMessages = 64
	// maxUncommittedBytes bounds the uncommitted entries of a leader. Further proposals are refused, and their requests redirected.
	maxUncommittedBytes = 16 << 20
	// snapshotTimeoutElections is the time, in election timeouts, from sending a snapshot to reporting it to the raft library as failed. An
	// acknowledgment does not stop this timer: the library ignores the report if the follower has received the snapshot.
	snapshotTimeoutElections = 4
	// maxPeerNames bounds the entries of Node.peerNames.
	maxPeerNames = 4 * MaxVoters
)

// Config is the configuration of a [Node].
type Config struct {
	ID          uint64 // raft ID, as OpAdmit allocated it
	LeaseTiming lease.Timing
	// ElectionTicks is the election timeout in ticks. 0 means 10.
	ElectionTicks int
	// SnapshotEntries is the number of entries after which the log is compacted. 0 means 4096.
	SnapshotEntries uint64
	// Persisted is the stored state that the node starts from.
	Persisted PersistentState
	// ClockBasedReads makes the leader rely on its own clock instead of the confirmation of a majority that it is still the leader. It is
	// unsafe, and exists for the simulation to show that the confirmation is needed.
	ClockBasedReads bool
}

// Node is a voter or learner of the raft group. It is not safe for concurrent use.
//
// Invariants:
//   - Process returns messages and replies only after the Storage has written the state that they depend on.
//   - A command takes effect only in the term in which its leader proposed it. stepDown drops all pending requests.
//   - lessor is set only while the node is the leader and has applied all entries of earlier leaders.
type Node struct {
	cfg       Config
	now       time.Duration // clock reading of the newest call
	rawNode   *raft.RawNode
	raftLog   *raft.MemoryStorage
	confState *raftpb.ConfState
	peerNames map[uint64]string // names that peers reported, by raft ID
	fatalErr  error             // if set, the node has stopped
	output    Output

	// The replicated state as applied by this node.
	machine       *StateMachine // nil: no snapshot has arrived yet
	appliedIndex  uint64
	snapshotIndex uint64 // of the newest snapshot
	confChanged   bool   // since the newest snapshot

	// The current term and its leader.
	term     uint64
	leaderID uint64
	role     raft.StateType

	// The state of a leader.
	lessor               *lease.Lessor
	lastProposalID       uint64
	proposals            map[uint64]pendingRequest // by proposal.ID
	queuedReads          []pendingRequest
	readInFlight         *readBatch
	lastReadID           uint64
	snapshotTicks        map[uint64]int // by raft ID: ticks since a snapshot was sent to the node, with or without acknowledgment
	ticksSinceConfChange uint64
}

// New returns a node that starts from cfg.Persisted. It returns ErrInvalidSnapshot or ErrInvalidLog if that state is inconsistent.
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
		return nil, fmt.Errorf("council: create raft node: %w", err)
	}
	return n, nil
}

// load initializes the log and the state machine from the stored state.
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

// loadHardState sets the stored hard state. A committed index below the index of the snapshot is raised to it.
func (n *Node) loadHardState(h *raftpb.HardState) error {
	if raft.IsEmptyHardState(h) {
		return nil
	}
	if h.GetCommit() < n.snapshotIndex { // a snapshot is always synced, but a committed index need not be
		commit := n.snapshotIndex
		h = &raftpb.HardState{Term: h.Term, Vote: h.Vote, Commit: &commit}
	}
	if err := n.raftLog.SetHardState(h); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidLog, err)
	}
	n.term = h.GetTerm()
	return nil
}

// loadEntries appends the stored entries. They must follow the snapshot without gaps and reach the committed index.
func (n *Node) loadEntries(entries []*raftpb.Entry, commit uint64) error {
	for i, e := range entries {
		if want := entries[0].GetIndex() + uint64(i); e.GetIndex() != want {
			return fmt.Errorf("%w: found entry %d in place of entry %d", ErrInvalidLog, e.GetIndex(), want)
		}
	}
	if len(entries) > 0 && entries[0].GetIndex() > n.snapshotIndex+1 {
		return fmt.Errorf("%w: the first entry is %d, but the snapshot ends at entry %d", ErrInvalidLog, entries[0].GetIndex(), n.snapshotIndex)
	}
	if err := n.raftLog.Append(entries); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidLog, err)
	}
	last, err := n.raftLog.LastIndex()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidLog, err)
	}
	if commit > last {
		return fmt.Errorf("%w: the last entry is %d, but the committed index is %d", ErrInvalidLog, last, commit)
	}
	return nil
}

// Tick advances the election and heartbeat timers by one tick. Leases expire by the clock reading now, not by ticks.
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

// Step processes a message of another node. It ignores a message that is addressed to another node, or of a type that nodes of this package
// do not send to each other. It returns an error for an invalid message; the node continues.
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
	case raftpb.MsgProp, raftpb.MsgReadIndex: // only the node that received a request by Submit may propose it, see proposal.Term
		return nil
	}
	if err := n.rawNode.Step(m); err != nil && !errors.Is(err, raft.ErrProposalDropped) && !errors.Is(err, raft.ErrStepPeerNotFound) {
		return fmt.Errorf("council: process raft message: %w", err)
	}
	return nil
}

// LearnName records the member name of a peer by the raft ID that the peer reports. A node that has no replicated state yet needs it to
// address its peers.
func (n *Node) LearnName(id uint64, name string) {
	if len(n.peerNames) < maxPeerNames || n.peerNames[id] != "" {
		n.peerNames[id] = name
	}
}

// NameOf returns the name of the member with a raft ID, empty if unknown.
func (n *Node) NameOf(id uint64) string {
	if n.machine != nil {
		if name := n.machine.voterName(id); name != "" {
			return name
		}
	}
	return n.peerNames[id]
}

// IsLeader reports whether this node is the leader and has applied all entries of earlier leaders.
func (n *Node) IsLeader() bool { return n.lessor != nil }

// StateMachine returns the replicated state as applied by this node, or nil before the first snapshot. The caller must not change it, nor
// use it after another call of a method.
func (n *Node) StateMachine() *StateMachine { return n.machine }

// Status returns this node's view of the consensus group and the replicated state.
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

// TransferLeadership starts a transfer of the leadership to the active voter with the longest log. It has no effect if this node is not the
// leader or no such voter is known.
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

// recoverPanic stops the node after a panic in Tick, Step or Process, so that the process can continue to serve its clients. The panic can
// come from the raft library, this package or the replicated state machines.
func (n *Node) recoverPanic() {
	if r := recover(); r != nil && n.fatalErr == nil {
		n.fatalErr = fmt.Errorf("%w: %v", ErrRaft, r)
	}
}
