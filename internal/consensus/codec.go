package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// EncodeMessage returns the form of a message that is sent to another node.
func EncodeMessage(m *raftpb.Message) ([]byte, error) { return proto.Marshal(m) }

// DecodeMessage reads what EncodeMessage wrote. It fails with ErrInvalidMessage for entries that the raft library would take as its own
// invariant.
func DecodeMessage(data []byte) (*raftpb.Message, error) {
	var m raftpb.Message
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	for i, e := range m.GetEntries() {
		if e == nil || i > 0 && e.GetIndex() != m.GetEntries()[i-1].GetIndex()+1 {
			return nil, fmt.Errorf("%w: its entries have gaps", ErrInvalidMessage)
		}
	}
	if m.GetType() == raftpb.MsgApp && len(m.GetEntries()) > 0 && m.GetEntries()[0].GetIndex() != m.GetIndex()+1 {
		return nil, fmt.Errorf("%w: its entries begin elsewhere", ErrInvalidMessage)
	}
	return &m, nil
}
