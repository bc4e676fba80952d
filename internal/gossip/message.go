package gossip

import "errors"

// MessageKind is the purpose of a message. The numeric value is part of the wire format.
type MessageKind uint8

// The kinds of messages.
const (
	PingMessage        MessageKind = 1 // requests an Ack
	AckMessage         MessageKind = 2 // the sender is alive; in reply to a PingRequest, the target is alive
	PingRequestMessage MessageKind = 3 // requests a ping of the target, which did not respond to the sender (indirect ping of SWIM)
	NackMessage        MessageKind = 4 // in reply to a PingRequest: the target did not respond, but the sender is alive
	RumorMessage       MessageKind = 5 // disseminates updates
	SyncMessage        MessageKind = 6 // exchanges digests, versions and entries (anti-entropy)
)

// Message is a message between members. It may be lost, duplicated, delayed and reordered.
type Message struct {
	Kind    MessageKind
	Seq     uint64 // sequence number of a request, repeated in the reply
	Target  string // member to ping, in a PingRequest
	Load    uint16 // number of members that the sender is helping to catch up
	Busy    bool   // in a Sync: the sender's catch-up budget is exhausted
	Members []MemberState
	Owners  []OwnerState
	Entries []Entry
	Ranges  []RangeDigest
	Leaves  []LeafDigest
}

// isEmpty reports whether a Sync message has neither states nor entries nor digests.
func (m *Message) isEmpty() bool {
	return len(m.Owners)+len(m.Members)+len(m.Entries)+len(m.Ranges)+len(m.Leaves) == 0
}

// RangeDigest is the digest of one range of the digest tree of a kind.
type RangeDigest struct {
	Kind   string
	Level  uint8 // rootLevel, innerLevel or leafLevel
	Index  uint16
	Digest uint64
}

// LeafDigest lists entries of one leaf of the digest tree of a kind: the entries that the sender has, if RequestMissing is set, or
// the entries that the sender requests.
type LeafDigest struct {
	Kind           string
	Index          uint16
	RequestMissing bool // the recipient sends the entries that are not listed, and lists the entries that it requests
	Entries        []EntryDigest
}

// EntryDigest identifies an entry and its version without the value.
type EntryDigest struct {
	Owner, Key string
	Version
	Digest uint64
}

// Bounds of a message. A message that exceeds a bound is rejected as a whole.
const (
	maxMemberStates = 256
	maxOwnerStates  = 1024
	maxEntries      = 2048
	maxRangeDigests = 1024
	maxLeafDigests  = 256
	maxEntryDigests = 8192 // in all leaves together
	maxNameBytes    = 128
	// MaxMessageBytes is the maximum size of a message. The messages sent by this package are much smaller.
	MaxMessageBytes = 1 << 20
)

// formatVersion is the first byte of every message.
const formatVersion = 1

var (
	// ErrMalformed is returned for a message that cannot be decoded.
	ErrMalformed = errors.New("gossip: malformed message")
	// ErrUnsupportedFormat is returned for a message of another format version.
	ErrUnsupportedFormat = errors.New("gossip: unsupported message format")
)
