package consensus

import "go.etcd.io/raft/v3/raftpb"

// Storage stores the raft state of a node.
type Storage interface {
	// Save writes s. If sync is set, it returns once s is on stable storage. After an error the node stops, because it is unknown which part
	// of s was written.
	Save(s PersistentState, sync bool) error
}

// PersistentState is the stored state of a node. In Config.Persisted it is complete. In a call of [Storage.Save] only the changed parts are
// set.
type PersistentState struct {
	HardState *raftpb.HardState // nil: unchanged
	Snapshot  *raftpb.Snapshot  // nil: none or unchanged; otherwise stored entries up to its index may be dropped
	Entries   []*raftpb.Entry   // replace the stored entries with the same and larger indices
	// ReplaceLog is set if Snapshot came from another node. The stored entries don't belong to its log, and must be dropped in the same
	// write.
	ReplaceLog bool
}
