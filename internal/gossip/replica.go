// Package gossip decides about copies of state that many processes hold: what each has written of what it sees (observed), and what the
// council has decided (decided). It knows who is there (SWIM with Lifeguard's local health), spreads what is new by rumour, finds what
// differs by sums over ranges, and merges by one rule. There is no I/O, clock or goroutine here: messages and the time of the caller's
// own monotonic clock go in, messages come out, which may be lost, doubled, late and out of order.
//
// The rule for copies that differ, in full: of one owner only the newest incarnation counts, and none up to the one that was given up;
// within it, of each key the larger sequence number wins. Two contents of one and the same version, which no process that is right can
// write, are both kept and told; what reads them takes the more careful. So a merge is the least upper bound of a lattice: commutative,
// associative, idempotent, whatever order messages come in, and no clock has a part in it.
package gossip

import (
	"bytes"
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
)

// Bounds. What goes beyond is refused and counted, except that of too many keys of one owner all copies keep the same.
const (
	MostOwners  = 8192
	MostKeys    = 256 // of one owner
	MostKeyLen  = 200
	MostValue   = 1024 // bytes
	mostDiffers = 4    // contents of one version that are kept
)

// Council owns what is decided. No member has that name.
const Council = "*council"

// Version orders what one owner has written of one key.
type Version struct {
	Inc uint64 // incarnation: grows with each start of the owner, and whenever it writes itself anew
	Seq uint64 // grows with each change within it; of what is decided, the number of the decision
}

// Compare orders versions.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Inc, w.Inc), cmp.Compare(v.Seq, w.Seq))
}

// Entry is one copy of what an owner has written.
type Entry struct {
	Owner, Key string // the key begins with its kind and a slash
	Version
	// Contents has one element, or several if there are different ones of one version. The first byte of each tells whether it is there.
	Contents [][]byte
}

const (
	absent  = 0 // the owner has taken the key back
	present = 1
)

// KindOf is the kind of a key.
func KindOf(key string) string {
	kind, _, _ := strings.Cut(key, "/")
	return kind
}

// Values are the contents that are there.
func (e *Entry) Values() [][]byte {
	var all [][]byte
	for _, c := range e.Contents {
		if len(c) > 0 && c[0] == present {
			all = append(all, c[1:])
		}
	}
	return all
}

// Gone reports whether the owner has taken the key back.
func (e *Entry) Gone() bool {
	return len(e.Contents) == 1 && len(e.Contents[0]) == 1 && e.Contents[0][0] == absent
}

// legal reports whether an entry of a peer can be one.
func (e *Entry) legal() bool {
	if e.Owner == "" || len(e.Key) > MostKeyLen || !strings.Contains(e.Key, "/") || e.Inc == 0 || e.Seq == 0 || len(e.Contents) == 0 || len(e.Contents) > mostDiffers {
		return false
	}
	for i, c := range e.Contents {
		if len(c) == 0 || len(c) > MostValue+1 || c[0] > present || c[0] == absent && len(c) > 1 || i > 0 && bytes.Compare(e.Contents[i-1], c) >= 0 {
			return false
		}
	}
	return true
}

// merge is the least entry that is not below either of two of one owner and key.
func merge(a, b Entry) Entry {
	switch c := a.Compare(b.Version); {
	case c > 0:
		return a
	case c < 0:
		return b
	}
	all := append(slices.Clone(a.Contents), b.Contents...)
	slices.SortFunc(all, bytes.Compare)
	all = slices.CompactFunc(all, bytes.Equal)
	a.Contents = all[:min(len(all), mostDiffers)]
	return a
}

// Sum is what an entry adds to the sum of its kind.
func (e Entry) Sum() uint64 { return e.sum() }

// sum is what an entry adds to the sums of its ranges.
func (e *Entry) sum() uint64 {
	h := fnv.New64a()
	var buf [16]byte
	for i, x := range []uint64{e.Inc, e.Seq} {
		for b := range 8 {
			buf[8*i+b] = byte(x >> (8 * b))
		}
	}
	h.Write(buf[:])
	h.Write([]byte(e.Owner))
	h.Write([]byte{0xff})
	h.Write([]byte(e.Key))
	for _, c := range e.Contents {
		h.Write([]byte{0xff, byte(len(c)), byte(len(c) >> 8)})
		h.Write(c)
	}
	return mix(h.Sum64())
}

// leafOf is the range that a key of an owner belongs to.
func leafOf(owner, key string) int {
	h := fnv.New64a()
	h.Write([]byte(owner))
	h.Write([]byte{0xff})
	h.Write([]byte(key))
	return int(mix(h.Sum64()) % leaves)
}

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// fan is how many ranges one is parted into, leaves how many there are at the bottom: a few entries each with thousands of owners.
const (
	fan    = 16
	leaves = fan * fan
)

// sums are those of all entries of one kind, by range: of all, of a sixteenth, of a leaf. Equal copies have equal sums, and two that differ
// find out where with two answers.
type sums struct {
	top    uint64
	middle [fan]uint64
	leaf   [leaves]uint64
	in     [leaves][]Place // who is there
}

// Place names an entry.
type Place struct{ owner, key string }

// Owner is whose the entry is.
func (p Place) Owner() string { return p.owner }

// Key is that of the entry.
func (p Place) Key() string { return p.key }

func (s *sums) add(owner, key string, x uint64) {
	at := leafOf(owner, key)
	s.top += x
	s.middle[at/fan] += x
	s.leaf[at] += x
	s.in[at] = append(s.in[at], Place{owner, key})
}

func (s *sums) remove(owner, key string, x uint64) {
	at := leafOf(owner, key)
	s.top -= x
	s.middle[at/fan] -= x
	s.leaf[at] -= x
	if i := slices.Index(s.in[at], Place{owner, key}); i >= 0 {
		last := len(s.in[at]) - 1
		s.in[at][i] = s.in[at][last]
		s.in[at] = s.in[at][:last]
	}
}

// places are those of a leaf, in order.
func (s *sums) places(leaf int) []Place {
	return slices.SortedFunc(slices.Values(s.in[leaf]), func(a, b Place) int {
		return cmp.Or(strings.Compare(a.owner, b.owner), strings.Compare(a.key, b.key))
	})
}

// at is the sum of a range.
func (s *sums) at(level uint8, index int) uint64 {
	switch level {
	case 0:
		return s.top
	case 1:
		return s.middle[index]
	}
	return s.leaf[index]
}
