package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// What a message is for.
const (
	Ping    = 1 // are you there?
	Ack     = 2 // here I am; after PingReq: the target is
	PingReq = 3 // ask the target for me, whom I can't reach
	Nack    = 4 // the target has not answered me either, but I am here
	Gossip  = 5 // what is new
	Sync    = 6 // sums, heads and entries: what differs between us?
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
	Ranges  []Range
	Leaves  []Leaf
}

// Range is the sum of a range of one kind.
type Range struct {
	Kind  string
	Level uint8 // 0: all, 1: a sixteenth, 2: a leaf
	Index uint16
	Sum   uint64
}

// Leaf tells what one has in a range at the bottom.
type Leaf struct {
	Kind  string
	Index uint16
	Ask   bool // the other is to say what it has not
	Heads []Head
}

// Head is an entry without its contents.
type Head struct {
	Owner, Key string
	Version
	Sum uint64
}

// Bounds of a message. One that goes beyond is refused as a whole.
const (
	mostMembers = 256
	mostOwners  = 1024
	mostEntries = 2048
	mostRanges  = 1024
	mostLeaves  = 256
	mostHeads   = 8192
	mostName    = 128
	// MostMessage is how long a message can be, in bytes; what processes make is well below.
	MostMessage = 1 << 20
	format      = 1
)

// ErrMessage is one that can't be read, ErrFormat one of a newer program.
var (
	ErrMessage = errors.New("replica: a message that can't be read")
	ErrFormat  = errors.New("replica: a message of another format")
)

type writer struct{ b []byte }

func (w *writer) num(x uint64)  { w.b = binary.AppendUvarint(w.b, x) }
func (w *writer) text(s string) { w.num(uint64(len(s))); w.b = append(w.b, s...) }
func (w *writer) flag(f bool) {
	if f {
		w.num(1)
	} else {
		w.num(0)
	}
}
func (w *writer) sum(x uint64) { w.b = binary.LittleEndian.AppendUint64(w.b, x) }

// Encode writes a message. Names and kinds that come again are written as numbers.
func (m *Message) Encode() []byte {
	w := &writer{b: []byte{format, m.Kind}}
	names := map[string]uint64{}
	name := func(s string) {
		if at, had := names[s]; had {
			w.num(at)
			return
		}
		w.num(0)
		w.text(s)
		names[s] = uint64(len(names) + 1)
	}
	w.num(m.Seq)
	name(m.Target)
	w.num(uint64(m.Load))
	w.flag(m.Busy)
	w.num(uint64(len(m.Members)))
	for _, s := range m.Members {
		name(s.Name)
		w.num(s.Inc)
		w.num(uint64(s.Life))
		w.num(uint64(s.State))
		name(s.By)
	}
	w.num(uint64(len(m.Owners)))
	for _, o := range m.Owners {
		name(o.Name)
		w.num(o.Inc)
		w.num(o.Gone)
	}
	w.num(uint64(len(m.Entries)))
	for _, e := range m.Entries {
		name(e.Owner)
		w.text(e.Key)
		w.num(e.Inc)
		w.num(e.Seq)
		w.num(uint64(len(e.Contents)))
		for _, c := range e.Contents {
			w.text(string(c))
		}
	}
	w.num(uint64(len(m.Ranges)))
	for _, r := range m.Ranges {
		name(r.Kind)
		w.num(uint64(r.Level))
		w.num(uint64(r.Index))
		w.sum(r.Sum)
	}
	w.num(uint64(len(m.Leaves)))
	for _, l := range m.Leaves {
		name(l.Kind)
		w.num(uint64(l.Index))
		w.flag(l.Ask)
		w.num(uint64(len(l.Heads)))
		for _, h := range l.Heads {
			name(h.Owner)
			w.text(h.Key)
			w.num(h.Inc)
			w.num(h.Seq)
			w.sum(h.Sum)
		}
	}
	return w.b
}

type reader struct {
	b     []byte
	err   error
	names []string
}

func (r *reader) fail() {
	if r.err == nil {
		r.err = ErrMessage
	}
	r.b = nil
}

func (r *reader) num() uint64 {
	x, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.b = r.b[n:]
	return x
}

// count is how many of something follow, each of which takes a byte at least.
func (r *reader) count(most int) int {
	n := r.num()
	if n > uint64(most) || n > uint64(len(r.b)) {
		r.fail()
		return 0
	}
	return int(n)
}

func (r *reader) text(most int) string {
	n := r.num()
	if n > uint64(most) || n > uint64(len(r.b)) {
		r.fail()
		return ""
	}
	s := string(r.b[:n])
	r.b = r.b[n:]
	return s
}

func (r *reader) flag() bool { return r.num() == 1 }

func (r *reader) sum() uint64 {
	if len(r.b) < 8 {
		r.fail()
		return 0
	}
	x := binary.LittleEndian.Uint64(r.b)
	r.b = r.b[8:]
	return x
}

func (r *reader) name() string {
	at := r.num()
	if at == 0 {
		s := r.text(mostName)
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
	if len(data) < 2 || len(data) > MostMessage {
		return nil, ErrMessage
	}
	if data[0] != format {
		return nil, fmt.Errorf("%w: %d, and this program speaks %d", ErrFormat, data[0], format)
	}
	r := &reader{b: data[2:]}
	m := &Message{Kind: data[1], Seq: r.num(), Target: r.name()}
	m.Load = uint16(min(r.num(), 1<<16-1))
	m.Busy = r.flag()
	for range r.count(mostMembers) {
		s := MemberState{Name: r.name(), Inc: r.num(), Life: uint32(min(r.num(), 1<<32-1))}
		s.State = State(min(r.num(), 255))
		s.By = r.name()
		m.Members = append(m.Members, s)
	}
	for range r.count(mostOwners) {
		m.Owners = append(m.Owners, OwnerState{r.name(), r.num(), r.num()})
	}
	for range r.count(mostEntries) {
		e := Entry{Owner: r.name(), Key: r.text(MostKeyLen), Version: Version{r.num(), r.num()}}
		for range r.count(mostDiffers) {
			e.Contents = append(e.Contents, []byte(r.text(MostValue+1)))
		}
		m.Entries = append(m.Entries, e)
	}
	for range r.count(mostRanges) {
		m.Ranges = append(m.Ranges, Range{r.name(), uint8(min(r.num(), 255)), uint16(min(r.num(), 1<<16-1)), r.sum()})
	}
	heads := mostHeads
	for range r.count(mostLeaves) {
		l := Leaf{Kind: r.name(), Index: uint16(min(r.num(), 1<<16-1)), Ask: r.flag()}
		n := r.count(heads)
		heads -= n
		for range n {
			l.Heads = append(l.Heads, Head{r.name(), r.text(MostKeyLen), Version{r.num(), r.num()}, r.sum()})
		}
		m.Leaves = append(m.Leaves, l)
	}
	if r.err == nil && len(r.b) > 0 {
		r.err = ErrMessage
	}
	return m, r.err
}
