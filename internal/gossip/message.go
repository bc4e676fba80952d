package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// What a message is for.
const (
	PingMessage        = 1 // are you there?
	AckMessage         = 2 // here I am; after PingReq: the target is
	PingRequestMessage = 3 // ask the target for me, whom I can't reach
	NackMessage        = 4 // the target has not answered me either, but I am here
	RumorMessage       = 5 // what is new
	SyncMessage        = 6 // sums, heads and entries: what differs between us?
)

// Message is what processes tell each other. It may be lost, doubled, late and out of order.
type Message struct {
	Kind    uint8
	Seq     uint64 // of the ask; its answer bears it
	Target  string // PingReq
	Load    uint16 // how many others the sender helps to catch up
	Busy    bool   // Sync: the sender has no room for more now
	Members []MemberState
	Owners  []OwnerState
	Entries []Entry
	Ranges  []RangeDigest
	Leaves  []LeafDigest
}

// RangeDigest is the sum of a range of one kind.
type RangeDigest struct {
	Kind   string
	Level  uint8 // 0: all, 1: a sixteenth, 2: a leaf
	Index  uint16
	Digest uint64
}

// LeafDigest tells what one has in a range at the bottom.
type LeafDigest struct {
	Kind           string
	Index          uint16
	RequestMissing bool // the other is to say what it has not
	Entries        []EntryDigest
}

// EntryDigest is an entry without its contents.
type EntryDigest struct {
	Owner, Key string
	Version
	Digest uint64
}

// Bounds of a message. One that goes beyond is refused as a whole.
const (
	maxMemberStates = 256
	maxOwnerStates  = 1024
	maxEntries      = 2048
	maxRangeDigests = 1024
	maxLeafDigests  = 256
	maxEntryDigests = 8192
	maxNameBytes    = 128
	// MaxMessageBytes is how long a message can be, in bytes; what processes make is well below.
	MaxMessageBytes = 1 << 20
	formatVersion   = 1
)

// ErrMalformed is one that can't be read, ErrFormat one of a newer program.
var (
	ErrMalformed         = errors.New("replica: a message that can't be read")
	ErrUnsupportedFormat = errors.New("replica: a message of another format")
)

type encoder struct{ buf []byte }

func (w *encoder) uvarint(x uint64) { w.buf = binary.AppendUvarint(w.buf, x) }
func (w *encoder) text(s string)    { w.uvarint(uint64(len(s))); w.buf = append(w.buf, s...) }
func (w *encoder) flag(f bool) {
	if f {
		w.uvarint(1)
	} else {
		w.uvarint(0)
	}
}
func (w *encoder) digest(x uint64) { w.buf = binary.LittleEndian.AppendUint64(w.buf, x) }

// Encode writes a message. Names and kinds that come again are written as numbers.
func (m *Message) Encode() []byte {
	w := &encoder{buf: []byte{formatVersion, m.Kind}}
	names := map[string]uint64{}
	name := func(s string) {
		if at, had := names[s]; had {
			w.uvarint(at)
			return
		}
		w.uvarint(0)
		w.text(s)
		names[s] = uint64(len(names) + 1)
	}
	w.uvarint(m.Seq)
	name(m.Target)
	w.uvarint(uint64(m.Load))
	w.flag(m.Busy)
	w.uvarint(uint64(len(m.Members)))
	for _, s := range m.Members {
		name(s.Name)
		w.uvarint(s.Incarnation)
		w.uvarint(uint64(s.Refutations))
		w.uvarint(uint64(s.State))
		name(s.SuspectedBy)
	}
	w.uvarint(uint64(len(m.Owners)))
	for _, o := range m.Owners {
		name(o.Name)
		w.uvarint(o.Incarnation)
		w.uvarint(o.Reaped)
	}
	w.uvarint(uint64(len(m.Entries)))
	for _, e := range m.Entries {
		name(e.Owner)
		w.text(e.Key)
		w.uvarint(e.Incarnation)
		w.uvarint(e.Sequence)
		w.uvarint(uint64(len(e.Siblings)))
		for _, c := range e.Siblings {
			w.text(string(c))
		}
	}
	w.uvarint(uint64(len(m.Ranges)))
	for _, r := range m.Ranges {
		name(r.Kind)
		w.uvarint(uint64(r.Level))
		w.uvarint(uint64(r.Index))
		w.digest(r.Digest)
	}
	w.uvarint(uint64(len(m.Leaves)))
	for _, l := range m.Leaves {
		name(l.Kind)
		w.uvarint(uint64(l.Index))
		w.flag(l.RequestMissing)
		w.uvarint(uint64(len(l.Entries)))
		for _, h := range l.Entries {
			name(h.Owner)
			w.text(h.Key)
			w.uvarint(h.Incarnation)
			w.uvarint(h.Sequence)
			w.digest(h.Digest)
		}
	}
	return w.buf
}

type decoder struct {
	buf   []byte
	err   error
	names []string
}

func (r *decoder) fail() {
	if r.err == nil {
		r.err = ErrMalformed
	}
	r.buf = nil
}

func (r *decoder) uvarint() uint64 {
	x, n := binary.Uvarint(r.buf)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.buf = r.buf[n:]
	return x
}

// count is how many of something follow, each of which takes a byte at least.
func (r *decoder) count(most int) int {
	n := r.uvarint()
	if n > uint64(most) || n > uint64(len(r.buf)) {
		r.fail()
		return 0
	}
	return int(n)
}

func (r *decoder) text(most int) string {
	n := r.uvarint()
	if n > uint64(most) || n > uint64(len(r.buf)) {
		r.fail()
		return ""
	}
	s := string(r.buf[:n])
	r.buf = r.buf[n:]
	return s
}

func (r *decoder) flag() bool { return r.uvarint() == 1 }

func (r *decoder) digest() uint64 {
	if len(r.buf) < 8 {
		r.fail()
		return 0
	}
	x := binary.LittleEndian.Uint64(r.buf)
	r.buf = r.buf[8:]
	return x
}

func (r *decoder) name() string {
	at := r.uvarint()
	if at == 0 {
		s := r.text(maxNameBytes)
		r.names = append(r.names, s)
		return s
	}
	if at > uint64(len(r.names)) {
		r.fail()
		return ""
	}
	return r.names[at-1]
}

// Decode reads a message. It takes no more memory than a small multiple of data.
func Decode(data []byte) (*Message, error) {
	if len(data) < 2 || len(data) > MaxMessageBytes {
		return nil, ErrMalformed
	}
	if data[0] != formatVersion {
		return nil, fmt.Errorf("%w: %d, and this program speaks %d", ErrUnsupportedFormat, data[0], formatVersion)
	}
	r := &decoder{buf: data[2:]}
	m := &Message{Kind: data[1], Seq: r.uvarint(), Target: r.name()}
	m.Load = uint16(min(r.uvarint(), 1<<16-1))
	m.Busy = r.flag()
	for range r.count(maxMemberStates) {
		s := MemberState{Name: r.name(), Incarnation: r.uvarint(), Refutations: uint32(min(r.uvarint(), 1<<32-1))}
		s.State = State(min(r.uvarint(), 255))
		s.SuspectedBy = r.name()
		m.Members = append(m.Members, s)
	}
	for range r.count(maxOwnerStates) {
		m.Owners = append(m.Owners, OwnerState{r.name(), r.uvarint(), r.uvarint()})
	}
	for range r.count(maxEntries) {
		e := Entry{Owner: r.name(), Key: r.text(MaxKeyBytes), Version: Version{r.uvarint(), r.uvarint()}}
		for range r.count(maxSiblings) {
			e.Siblings = append(e.Siblings, []byte(r.text(MaxValueBytes+1)))
		}
		m.Entries = append(m.Entries, e)
	}
	for range r.count(maxRangeDigests) {
		m.Ranges = append(m.Ranges, RangeDigest{r.name(), uint8(min(r.uvarint(), 255)), uint16(min(r.uvarint(), 1<<16-1)), r.digest()})
	}
	heads := maxEntryDigests
	for range r.count(maxLeafDigests) {
		l := LeafDigest{Kind: r.name(), Index: uint16(min(r.uvarint(), 1<<16-1)), RequestMissing: r.flag()}
		n := r.count(heads)
		heads -= n
		for range n {
			l.Entries = append(l.Entries, EntryDigest{r.name(), r.text(MaxKeyBytes), Version{r.uvarint(), r.uvarint()}, r.digest()})
		}
		m.Leaves = append(m.Leaves, l)
	}
	if r.err == nil && len(r.buf) > 0 {
		r.err = ErrMalformed
	}
	return m, r.err
}
