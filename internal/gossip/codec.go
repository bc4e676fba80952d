package gossip

import (
	"encoding/binary"
	"fmt"
	"math"
)

// encoder encodes a message. Numbers are varints, texts are prefixed with their length, and digests have 8 bytes in little-endian
// order.
type encoder struct {
	buf   []byte
	names map[string]uint64 // number of each name written so far, from 1
}

func (e *encoder) uvarint(x uint64) { e.buf = binary.AppendUvarint(e.buf, x) }

func (e *encoder) length(n int) { e.uvarint(uint64(n)) }

func (e *encoder) text(s string) {
	e.length(len(s))
	e.buf = append(e.buf, s...)
}

func (e *encoder) flag(set bool) {
	if set {
		e.uvarint(1)
	} else {
		e.uvarint(0)
	}
}

func (e *encoder) digest(x uint64) { e.buf = binary.LittleEndian.AppendUint64(e.buf, x) }

// name writes a name as 0 and the text at its first occurrence, and as its number afterwards.
func (e *encoder) name(s string) {
	if number, written := e.names[s]; written {
		e.uvarint(number)
		return
	}
	e.uvarint(0)
	e.text(s)
	e.names[s] = uint64(len(e.names) + 1)
}

func (e *encoder) version(v Version) {
	e.uvarint(v.Incarnation)
	e.uvarint(v.Sequence)
}

func (e *encoder) memberState(s MemberState) {
	e.name(s.Name)
	e.uvarint(s.Incarnation)
	e.uvarint(uint64(s.Refutations))
	e.uvarint(uint64(s.State))
	e.name(s.SuspectedBy)
}

func (e *encoder) ownerState(s OwnerState) {
	e.name(s.Name)
	e.uvarint(s.Incarnation)
	e.uvarint(s.Reaped)
}

func (e *encoder) entry(entry *Entry) {
	e.name(entry.Owner)
	e.text(entry.Key)
	e.version(entry.Version)
	e.length(len(entry.Siblings))
	for _, sibling := range entry.Siblings {
		e.text(string(sibling))
	}
}

func (e *encoder) rangeDigest(r RangeDigest) {
	e.name(r.Kind)
	e.uvarint(uint64(r.Level))
	e.uvarint(uint64(r.Index))
	e.digest(r.Digest)
}

func (e *encoder) leafDigest(l LeafDigest) {
	e.name(l.Kind)
	e.uvarint(uint64(l.Index))
	e.flag(l.RequestMissing)
	e.length(len(l.Entries))
	for _, entry := range l.Entries {
		e.name(entry.Owner)
		e.text(entry.Key)
		e.version(entry.Version)
		e.digest(entry.Digest)
	}
}

// Encode returns the encoded message.
func (m *Message) Encode() []byte {
	e := &encoder{buf: []byte{formatVersion, byte(m.Kind)}, names: map[string]uint64{}}
	e.uvarint(m.Seq)
	e.name(m.Target)
	e.uvarint(uint64(m.Load))
	e.flag(m.Busy)
	e.length(len(m.Members))
	for _, s := range m.Members {
		e.memberState(s)
	}
	e.length(len(m.Owners))
	for _, s := range m.Owners {
		e.ownerState(s)
	}
	e.length(len(m.Entries))
	for i := range m.Entries {
		e.entry(&m.Entries[i])
	}
	e.length(len(m.Ranges))
	for _, r := range m.Ranges {
		e.rangeDigest(r)
	}
	e.length(len(m.Leaves))
	for _, l := range m.Leaves {
		e.leafDigest(l)
	}
	return e.buf
}

// decoder decodes the output of an encoder. After an error, all methods return zero values.
type decoder struct {
	buf              []byte
	err              error
	names            []string
	entryDigestsLeft int // remaining limit for all leaves together
}

func (d *decoder) fail() {
	if d.err == nil {
		d.err = ErrMalformed
	}
	d.buf = nil
}

func (d *decoder) uvarint() uint64 {
	x, n := binary.Uvarint(d.buf)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.buf = d.buf[n:]
	return x
}

// length reads the number of the bytes that follow, or of the items of at least one byte each. A number above limit or above the
// length of the remaining data is an error.
func (d *decoder) length(limit int) int {
	n := d.uvarint()
	if n > uint64(limit) || n > uint64(len(d.buf)) {
		d.fail()
		return 0
	}
	return int(n)
}

func (d *decoder) text(limit int) string {
	n := d.length(limit)
	s := string(d.buf[:n])
	d.buf = d.buf[n:]
	return s
}

func (d *decoder) flag() bool { return d.uvarint() == 1 }

func (d *decoder) digest() uint64 {
	if len(d.buf) < 8 {
		d.fail()
		return 0
	}
	x := binary.LittleEndian.Uint64(d.buf)
	d.buf = d.buf[8:]
	return x
}

func (d *decoder) name() string {
	number := d.uvarint()
	if number == 0 {
		s := d.text(maxNameBytes)
		d.names = append(d.names, s)
		return s
	}
	if number > uint64(len(d.names)) {
		d.fail()
		return ""
	}
	return d.names[number-1]
}

// saturated8, saturated16 and saturated32 read a number and limit it to the maximum of the result type.
func (d *decoder) saturated8() uint8   { return uint8(min(d.uvarint(), math.MaxUint8)) }
func (d *decoder) saturated16() uint16 { return uint16(min(d.uvarint(), math.MaxUint16)) }
func (d *decoder) saturated32() uint32 { return uint32(min(d.uvarint(), math.MaxUint32)) }

func (d *decoder) version() Version { return Version{Incarnation: d.uvarint(), Sequence: d.uvarint()} }

func (d *decoder) memberState() MemberState {
	return MemberState{Name: d.name(), Incarnation: d.uvarint(), Refutations: d.saturated32(), State: State(d.saturated8()), SuspectedBy: d.name()}
}

func (d *decoder) ownerState() OwnerState {
	return OwnerState{Name: d.name(), Incarnation: d.uvarint(), Reaped: d.uvarint()}
}

func (d *decoder) entry() Entry {
	e := Entry{Owner: d.name(), Key: d.text(MaxKeyBytes), Version: d.version()}
	for range d.length(maxSiblings) {
		e.Siblings = append(e.Siblings, []byte(d.text(MaxValueBytes+1)))
	}
	return e
}

func (d *decoder) rangeDigest() RangeDigest {
	return RangeDigest{Kind: d.name(), Level: d.saturated8(), Index: d.saturated16(), Digest: d.digest()}
}

func (d *decoder) leafDigest() LeafDigest {
	l := LeafDigest{Kind: d.name(), Index: d.saturated16(), RequestMissing: d.flag()}
	n := d.length(d.entryDigestsLeft)
	d.entryDigestsLeft -= n
	for range n {
		l.Entries = append(l.Entries, EntryDigest{Owner: d.name(), Key: d.text(MaxKeyBytes), Version: d.version(), Digest: d.digest()})
	}
	return l
}

// Decode decodes a message. The error is ErrMalformed or wraps ErrUnsupportedFormat. For any data, the memory usage is limited to a
// small multiple of the size of data.
func Decode(data []byte) (*Message, error) {
	if len(data) < 2 || len(data) > MaxMessageBytes {
		return nil, ErrMalformed
	}
	if data[0] != formatVersion {
		return nil, fmt.Errorf("%w: version %d, want %d", ErrUnsupportedFormat, data[0], formatVersion)
	}
	d := &decoder{buf: data[2:], entryDigestsLeft: maxEntryDigests}
	m := &Message{Kind: MessageKind(data[1]), Seq: d.uvarint(), Target: d.name(), Load: d.saturated16(), Busy: d.flag()}
	for range d.length(maxMemberStates) {
		m.Members = append(m.Members, d.memberState())
	}
	for range d.length(maxOwnerStates) {
		m.Owners = append(m.Owners, d.ownerState())
	}
	for range d.length(maxEntries) {
		m.Entries = append(m.Entries, d.entry())
	}
	for range d.length(maxRangeDigests) {
		m.Ranges = append(m.Ranges, d.rangeDigest())
	}
	for range d.length(maxLeafDigests) {
		m.Leaves = append(m.Leaves, d.leafDigest())
	}
	if d.err == nil && len(d.buf) > 0 {
		d.err = ErrMalformed
	}
	return m, d.err
}
