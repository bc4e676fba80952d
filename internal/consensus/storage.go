package consensus

import "go.etcd.io/raft/v3/raftpb"

// Storage makes durable what a node promises to the others. Save returns once s is written, and on stable storage if sync is set. After
// an error the node stops, since nobody knows what was written.
type Storage interface {
	Save(s PersistentState, sync bool) error
}

// PersistentState is what a node keeps: all of it as a node starts, and what has changed as [Storage] is told.
type PersistentState struct {
	HardState *raftpb.HardState // nil: unchanged
	Snapshot  *raftpb.Snapshot  // nil: none; otherwise the entries up to its index may be dropped
	Entries   []*raftpb.Entry   // they replace those of equal and larger indices
	// ReplaceLog is set if Snapshot came from another node: all stored entries are of another history, and are to be dropped in the same
	// write.
	ReplaceLog bool
}
