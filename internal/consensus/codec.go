package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// EncodeMessage returns the wire encoding of a raft message.
func EncodeMessage(m *raftpb.Message) ([]byte, error) { return proto.Marshal(m) }

// DecodeMessage decodes a message that EncodeMessage encoded. It returns ErrInvalidMessage for data that can't be decoded, and for entries
// that are nil or not consecutive: the raft library relies on their order without a check.
func DecodeMessage(data []byte) (*raftpb.Message, error) {
	var m raftpb.Message
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	for i, e := range m.GetEntries() {
		if e == nil || i > 0 && e.GetIndex() != m.GetEntries()[i-1].GetIndex()+1 {
			return nil, fmt.Errorf("%w: the indices of its entries are not consecutive", ErrInvalidMessage)
		}
	}
	if m.GetType() == raftpb.MsgApp && len(m.GetEntries()) > 0 && m.GetEntries()[0].GetIndex() != m.GetIndex()+1 {
		return nil, fmt.Errorf("%w: its first entry does not follow the index of the message", ErrInvalidMessage)
	}
	return &m, nil
}
