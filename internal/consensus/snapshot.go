package consensus

import (
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
)

// retainedLogDivisor divides Config.SnapshotEntries to give the number of entries that stay in the log after a snapshot. A follower that is
// behind by fewer entries needs no snapshot.
const retainedLogDivisor = 4

// snapshot returns the JSON encoding of the state.
func (m *StateMachine) snapshot() ([]byte, error) { return json.Marshal(m) }

// restore decodes the result of snapshot. It returns ErrInvalidSnapshot for data that can't be decoded or is inconsistent.
func restore(data []byte) (*StateMachine, error) {
	var parts struct {
		StateMachine
		Leases json.RawMessage `json:"leases"`
		Tasks  json.RawMessage `json:"slots"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	m := parts.StateMachine
	if err := m.validate(); err != nil {
		return nil, err
	}
	var err error
	if m.Leases, err = lease.Restore(parts.Leases); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	if m.Tasks, err = task.Restore(parts.Tasks); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	return &m, nil
}

// validate checks the invariants of voters and decisions that the commands of this package rely on.
func (m *StateMachine) validate() error {
	if m.FleetID == "" || m.Voters == nil {
		return fmt.Errorf("%w: the fleet ID or the voters are missing", ErrInvalidSnapshot)
	}
	for name, v := range m.Voters {
		if v == nil || v.RaftID == 0 || v.RaftID > m.LastVoterID {
			return fmt.Errorf("%w: voter %q is null, or its raft ID is 0 or above the last one allocated", ErrInvalidSnapshot, name)
		}
	}
	for key, d := range m.Decisions {
		if d == nil || d.Number == 0 || d.Number > m.LastDecision {
			return fmt.Errorf("%w: decision %q is null, or its number is 0 or above the last one", ErrInvalidSnapshot, key)
		}
	}
	return nil
}

// BootstrapSnapshot returns the initial snapshot for the storage of a fleet's first voter. It belongs together with [BootstrapHardState].
func BootstrapSnapshot(m *StateMachine) (*raftpb.Snapshot, error) {
	data, err := m.snapshot()
	if err != nil {
		return nil, err
	}
	one := uint64(1)
	return &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{
		Index: &one, Term: &one, ConfState: &raftpb.ConfState{Voters: []uint64{founderID}},
	}}, nil
}

// BootstrapHardState returns the raft hard state that belongs to [BootstrapSnapshot].
func BootstrapHardState() *raftpb.HardState {
	one := uint64(1)
	return &raftpb.HardState{Term: &one, Commit: &one}
}

// restoreSnapshot replaces the node's state by the state of a snapshot.
func (n *Node) restoreSnapshot(s *raftpb.Snapshot) error {
	m, err := restore(s.GetData())
	if err != nil {
		return err
	}
	n.machine, n.confState = m, s.GetMetadata().GetConfState()
	n.appliedIndex, n.snapshotIndex = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	return nil
}

// maybeSnapshot writes a snapshot and compacts the log if Config.SnapshotEntries entries were applied since the last one, or if the
// configuration has changed: a new member can't use a snapshot whose configuration does not contain it.
func (n *Node) maybeSnapshot(storage Storage) error {
	if n.machine == nil || n.appliedIndex < n.snapshotIndex+n.cfg.SnapshotEntries && !n.confChanged {
		return nil
	}
	n.confChanged = false
	data, err := n.machine.snapshot()
	if err != nil {
		return err
	}
	s, err := n.raftLog.CreateSnapshot(n.appliedIndex, n.confState, data)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidLog, err)
	}
	if err := storage.Save(PersistentState{Snapshot: s}, true); err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	n.snapshotIndex = n.appliedIndex
	return n.compactLog()
}

// compactLog drops the applied entries of the log except for the retained ones.
func (n *Node) compactLog() error {
	retained := n.cfg.SnapshotEntries / retainedLogDivisor
	if n.appliedIndex <= retained {
		return nil
	}
	if err := n.raftLog.Compact(n.appliedIndex - retained); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return fmt.Errorf("%w: %w", ErrInvalidLog, err)
	}
	return nil
}
