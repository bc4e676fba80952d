package gossip

import "errors"

// MessageKind is what a message is for. Its value is sent.
type MessageKind uint8

// The kinds of messages.
const (
	PingMessage        MessageKind = 1 // asks for an Ack
	AckMessage         MessageKind = 2 // the sender is alive; in reply to a PingRequest: the target is
	PingRequestMessage MessageKind = 3 // asks to ping the target, which the sender cannot reach (SWIM's indirect ping)
	NackMessage        MessageKind = 4 // in reply to a PingRequest: the target has not responded, but the sender is alive
	RumorMessage       MessageKind = 5 // news
	SyncMessage        MessageKind = 6 // anti-entropy: digests, versions and entries
)

// Message is what processes send each other. It may be lost, duplicated, delayed and reordered.
type Message struct {
	Kind    MessageKind
	Seq     uint64 // number of a request, which its reply repeats
	Target  string // of a PingRequest
	Load    uint16 // how many others the sender helps to catch up
	Busy    bool   // of a Sync: the sender has no budget left for those that catch up
	Members []MemberState
	Owners  []OwnerState
	Entries []Entry
	Ranges  []RangeDigest
	Leaves  []LeafDigest
}

// isEmpty reports whether a Sync message carries nothing.
func (m *Message) isEmpty() bool {
	return len(m.Owners)+len(m.Members)+len(m.Entries)+len(m.Ranges)+len(m.Leaves) == 0
}

// RangeDigest is the digest of a range of a kind's digest tree.
type RangeDigest struct {
	Kind   string
	Level  uint8 // rootLevel, innerLevel or leafLevel
	Index  uint16
	Digest uint64
}

// LeafDigest lists the entries that the sender has, or wants, of a leaf of a kind's digest tree.
type LeafDigest struct {
	Kind           string
	Index          uint16
	RequestMissing bool // the recipient is to list in return what it wants
	Entries        []EntryDigest
}

// EntryDigest is an entry without its value.
type EntryDigest struct {
	Owner, Key string
	Version
	Digest uint64
}

// Bounds of a message. One that exceeds them is rejected as a whole.
const (
	maxMemberStates = 256
	maxOwnerStates  = 1024
	maxEntries      = 2048
	maxRangeDigests = 1024
	maxLeafDigests  = 256
	maxEntryDigests = 8192 // of all leaves together
	maxNameBytes    = 128
	// MaxMessageBytes is how long a message can be; what this package sends is much shorter.
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
