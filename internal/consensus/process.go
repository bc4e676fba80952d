package consensus

import (
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Output is the result of [Node.Process]. All state that must be durable before Messages and Replies are sent has been written.
type Output struct {
	Messages       []*raftpb.Message
	Replies        []Reply
	ChangedMembers []string // members whose leases have changed other than by a command of their own; set only at the leader
	Events         []Event
}

// Reply is the response to the request that was submitted with Handle.
type Reply struct {
	Handle   uint64
	Response Response
}

// Process handles all work that has become due since the last call, writes durable state to storage, and returns the output. An error stops
// the node; every later call returns the same error.
func (n *Node) Process(now time.Duration, storage Storage) (out Output, err error) {
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
		if err := n.processReady(storage); err != nil {
			n.fatalErr = err
			return Output{}, err
		}
		n.runLeaderDuties()
	}
	out = n.output
	n.output = Output{}
	return out, nil
}

// runLeaderDuties starts the next batch of keepalives and reads, proposes the commands for expired sessions and revoked leases, and
// proposes configuration changes.
func (n *Node) runLeaderDuties() {
	if n.lessor == nil {
		return
	}
	n.startReads()
	for _, c := range n.lessor.DueCommands(n.now, n.machine.Leases) {
		if !n.propose(pendingRequest{}, proposal{Lease: &c}) {
			n.lessor.ProposalFailed(c)
		}
	}
	if n.ticksSinceConfChange > uint64(n.cfg.ElectionTicks) {
		n.proposeConfChange()
	}
}

// processReady handles one batch of the raft library in the order that the library requires: first durable state is saved, then messages
// are sent, then committed entries are applied.
func (n *Node) processReady(storage Storage) error {
	rd := n.rawNode.Ready()
	if err := save(rd, storage); err != nil {
		return err
	}
	if err := n.adopt(rd); err != nil {
		return err
	}
	if rd.SoftState != nil {
		n.updateLeadership(*rd.SoftState)
	}
	n.queueMessages(rd.Messages)
	n.confirmReads(rd.ReadStates)
	for _, e := range rd.CommittedEntries {
		if err := n.applyEntry(e); err != nil {
			return err
		}
	}
	n.serveReads()
	n.rawNode.Advance(rd)
	return n.maybeSnapshot(storage)
}

// save writes the hard state, the entries and the snapshot of a batch to storage.
func save(rd raft.Ready, storage Storage) error {
	s := PersistentState{HardState: rd.HardState, Entries: rd.Entries}
	if !raft.IsEmptySnap(rd.Snapshot) {
		s.Snapshot, s.ReplaceLog = rd.Snapshot, true
	}
	if s.HardState == nil && s.Snapshot == nil && len(s.Entries) == 0 {
		return nil
	}
	if err := storage.Save(s, rd.MustSync || s.Snapshot != nil); err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	return nil
}

// adopt applies the snapshot, the hard state and the entries of a batch to this node.
func (n *Node) adopt(rd raft.Ready) error {
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := n.raftLog.ApplySnapshot(rd.Snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
		}
		if err := n.restoreSnapshot(rd.Snapshot); err != nil {
			return err
		}
		n.event(EventSnapshotRestored, "index", n.appliedIndex)
	}
	if rd.HardState != nil {
		if err := n.raftLog.SetHardState(rd.HardState); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalidLog, err)
		}
		if term := rd.GetTerm(); term != n.term {
			n.term = term
			n.stepDown()
		}
	}
	if err := n.raftLog.Append(rd.Entries); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidLog, err)
	}
	return nil
}

// queueMessages adds messages to the output and starts the timers of the snapshots among them.
func (n *Node) queueMessages(messages []*raftpb.Message) {
	for _, m := range messages {
		if m.GetType() == raftpb.MsgSnap {
			n.snapshotTicks[m.GetTo()] = 0
		}
	}
	n.output.Messages = append(n.output.Messages, messages...)
}

// updateLeadership records the current leader and this node's role. It steps down if this node is no longer the leader.
func (n *Node) updateLeadership(s raft.SoftState) {
	if s.RaftState != raft.StateLeader {
		n.stepDown()
	}
	if s.Lead != n.leaderID && s.Lead != 0 {
		n.event(EventLeaderElected, "leader", n.NameOf(s.Lead), "id", s.Lead, "term", n.term)
	} else if s.Lead == 0 && n.leaderID != 0 {
		n.event(EventLeaderUnknown, "term", n.term)
	}
	n.leaderID, n.role = s.Lead, s.RaftState
}
