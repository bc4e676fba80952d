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

// retainedLogDivisor is the part of Config.SnapshotEntries that stays in the log after a snapshot, so that a follower that is a little
// behind needs no snapshot.
const retainedLogDivisor = 4

func (m *StateMachine) snapshot() ([]byte, error) { return json.Marshal(m) }

// restore reads what snapshot wrote. It fails with ErrInvalidSnapshot for a state that can't be worked with.
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

// validate checks all that the commands of this package take for granted.
func (m *StateMachine) validate() error {
	if m.FleetID == "" || m.Voters == nil {
		return fmt.Errorf("%w: no fleet in it", ErrInvalidSnapshot)
	}
	for name, v := range m.Voters {
		if v == nil || v.RaftID == 0 || v.RaftID > m.LastVoterID {
			return fmt.Errorf("%w: voter %q is not whole", ErrInvalidSnapshot, name)
		}
	}
	for key, d := range m.Decisions {
		if d == nil || d.Number == 0 || d.Number > m.LastDecision {
			return fmt.Errorf("%w: decision %q is not whole", ErrInvalidSnapshot, key)
		}
	}
	return nil
}

// BootstrapSnapshot is the snapshot that the storage of a fleet's first voter starts with, together with [BootstrapHardState].
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

// BootstrapHardState is the raft state that belongs to [BootstrapSnapshot].
func BootstrapHardState() *raftpb.HardState {
	one := uint64(1)
	return &raftpb.HardState{Term: &one, Commit: &one}
}

// restoreSnapshot replaces the node's state by that of a snapshot.
func (n *Node) restoreSnapshot(s *raftpb.Snapshot) error {
	m, err := restore(s.GetData())
	if err != nil {
		return err
	}
	n.machine, n.confState = m, s.GetMetadata().GetConfState()
	n.appliedIndex, n.snapshotIndex = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	return nil
}

// maybeSnapshot writes a snapshot and compacts the log once that is long or the configuration has changed: a new member can't use a
// snapshot that does not name it.
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
