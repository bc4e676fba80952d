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
	MaxOwners       = 8192
	MaxKeysPerOwner = 256 // of one owner
	MaxKeyBytes     = 200
	MaxValueBytes   = 1024 // bytes
	maxSiblings     = 4    // contents of one version that are kept
)

// ConsensusOwner owns what is decided. No member has that name.
const ConsensusOwner = "*council"

// Version orders what one owner has written of one key.
type Version struct {
	Incarnation uint64 // incarnation: grows with each start of the owner, and whenever it writes itself anew
	Sequence    uint64 // grows with each change within it; of what is decided, the number of the decision
}

// Compare orders versions.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Incarnation, w.Incarnation), cmp.Compare(v.Sequence, w.Sequence))
}

// Entry is one copy of what an owner has written.
type Entry struct {
	Owner, Key string // the key begins with its kind and a slash
	Version
	// Siblings has one element, or several if there are different ones of one version. The first byte of each tells whether it is there.
	Siblings [][]byte
}

const (
	tombstoneMark = 0 // the owner has taken the key back
	valueMark     = 1
)

// KindOf is the kind of a key.
func KindOf(key string) string {
	kind, _, _ := strings.Cut(key, "/")
	return kind
}

// Values are the contents that are there.
func (e *Entry) Values() [][]byte {
	var all [][]byte
	for _, c := range e.Siblings {
		if len(c) > 0 && c[0] == valueMark {
			all = append(all, c[1:])
		}
	}
	return all
}

// Deleted reports whether the owner has taken the key back.
func (e *Entry) Deleted() bool {
	return len(e.Siblings) == 1 && len(e.Siblings[0]) == 1 && e.Siblings[0][0] == tombstoneMark
}

// valid reports whether an entry of a peer can be one.
func (e *Entry) valid() bool {
	if e.Owner == "" || len(e.Key) > MaxKeyBytes || !strings.Contains(e.Key, "/") || e.Incarnation == 0 || e.Sequence == 0 || len(e.Siblings) == 0 || len(e.Siblings) > maxSiblings {
		return false
	}
	for i, c := range e.Siblings {
		if len(c) == 0 || len(c) > MaxValueBytes+1 || c[0] > valueMark || c[0] == tombstoneMark && len(c) > 1 || i > 0 && bytes.Compare(e.Siblings[i-1], c) >= 0 {
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
	all := append(slices.Clone(a.Siblings), b.Siblings...)
	slices.SortFunc(all, bytes.Compare)
	all = slices.CompactFunc(all, bytes.Equal)
	a.Siblings = all[:min(len(all), maxSiblings)]
	return a
}

// Digest is what an entry adds to the sum of its kind.
func (e Entry) Digest() uint64 { return e.digest() }

// digest is what an entry adds to the sums of its ranges.
func (e *Entry) digest() uint64 {
	h := fnv.New64a()
	var buf [16]byte
	for i, x := range []uint64{e.Incarnation, e.Sequence} {
		for b := range 8 {
			buf[8*i+b] = byte(x >> (8 * b))
		}
	}
	h.Write(buf[:])
	h.Write([]byte(e.Owner))
	h.Write([]byte{0xff})
	h.Write([]byte(e.Key))
	for _, c := range e.Siblings {
		h.Write([]byte{0xff, byte(len(c)), byte(len(c) >> 8)})
		h.Write(c)
	}
	return mix64(h.Sum64())
}

// leafIndex is the range that a key of an owner belongs to.
func leafIndex(owner, key string) int {
	h := fnv.New64a()
	h.Write([]byte(owner))
	h.Write([]byte{0xff})
	h.Write([]byte(key))
	return int(mix64(h.Sum64()) % leafCount)
}

func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// treeFanout is how many ranges one is parted into, leaves how many there are at the bottom: a few entries each with thousands of owners.
const (
	treeFanout = 16
	leafCount  = treeFanout * treeFanout
)

// digestTree are those of all entries of one kind, by range: of all, of a sixteenth, of a leaf. Equal copies have equal sums, and two that differ
// find out where with two answers.
type digestTree struct {
	root    uint64
	inner   [treeFanout]uint64
	leaves  [leafCount]uint64
	entries [leafCount][]EntryID // who is there
}

// EntryID names an entry.
type EntryID struct{ owner, key string }

// Owner is whose the entry is.
func (p EntryID) Owner() string { return p.owner }

// Key is that of the entry.
func (p EntryID) Key() string { return p.key }

func (s *digestTree) add(owner, key string, x uint64) {
	at := leafIndex(owner, key)
	s.root += x
	s.inner[at/treeFanout] += x
	s.leaves[at] += x
	s.entries[at] = append(s.entries[at], EntryID{owner, key})
}

func (s *digestTree) remove(owner, key string, x uint64) {
	at := leafIndex(owner, key)
	s.root -= x
	s.inner[at/treeFanout] -= x
	s.leaves[at] -= x
	if i := slices.Index(s.entries[at], EntryID{owner, key}); i >= 0 {
		last := len(s.entries[at]) - 1
		s.entries[at][i] = s.entries[at][last]
		s.entries[at] = s.entries[at][:last]
	}
}

// leafEntries are those of a leaf, in order.
func (s *digestTree) leafEntries(leaf int) []EntryID {
	return slices.SortedFunc(slices.Values(s.entries[leaf]), func(a, b EntryID) int {
		return cmp.Or(strings.Compare(a.owner, b.owner), strings.Compare(a.key, b.key))
	})
}

// rangeDigest is the sum of a range.
func (s *digestTree) rangeDigest(level uint8, index int) uint64 {
	switch level {
	case 0:
		return s.root
	case 1:
		return s.inner[index]
	}
	return s.leaves[index]
}
