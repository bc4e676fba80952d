package consensus

import "go.etcd.io/raft/v3/raftpb"

// Storage stores the raft state of a node.
type Storage interface {
	// Save writes s. If sync is set, it returns once s is on stable storage. After an error the node stops, because it is unknown which part
	// of s was written.
	Save(s PersistentState, sync bool) error
}

// PersistentState is the stored state of a node. [Config] contains all of it, and a call of [Storage.Save] the part that has changed.
type PersistentState struct {
	HardState *raftpb.HardState // nil: unchanged
	Snapshot  *raftpb.Snapshot  // nil: none or unchanged; otherwise stored entries up to its index may be dropped
	Entries   []*raftpb.Entry   // replace the stored entries with the same and larger indices
	// ReplaceLog is set if Snapshot came from another node. The stored entries don't belong to its log, and must be dropped in the same
	// write.
	ReplaceLog bool
}
