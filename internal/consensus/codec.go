package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// EncodeMessage writes a message as it goes to another node.
func EncodeMessage(m *raftpb.Message) ([]byte, error) { return proto.Marshal(m) }

// DecodeMessage reads one. What the library would take as its own business is refused.
func DecodeMessage(data []byte) (*raftpb.Message, error) {
	var m raftpb.Message
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("council: message: %w", err)
	}
	for i, e := range m.GetEntries() {
		if e == nil || i > 0 && e.GetIndex() != m.GetEntries()[i-1].GetIndex()+1 {
			return nil, fmt.Errorf("council: message: its entries have gaps")
		}
	}
	if m.GetType() == raftpb.MsgApp && len(m.GetEntries()) > 0 && m.GetEntries()[0].GetIndex() != m.GetIndex()+1 {
		return nil, fmt.Errorf("council: message: its entries begin elsewhere")
	}
	return &m, nil
}

// BootstrapSnapshot is what the disk of a fleet's first seat holds at the start.
func BootstrapSnapshot(f *StateMachine) (*raftpb.Snapshot, error) {
	data, err := f.snapshot()
	if err != nil {
		return nil, err
	}
	one := uint64(1)
	return &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{
		Index: &one, Term: &one, ConfState: &raftpb.ConfState{Voters: []uint64{1}},
	}}, nil
}

// BootstrapHardState goes with it.
func BootstrapHardState() *raftpb.HardState {
	one := uint64(1)
	return &raftpb.HardState{Term: &one, Commit: &one}
}
