package gossip

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
)

// The shape of a digest tree. With thousands of owners, a leaf has a few entries.
const (
	treeFanout = 16
	leafCount  = treeFanout * treeFanout
)

// Levels of a digest tree.
const (
	rootLevel  = 0
	innerLevel = 1
	leafLevel  = 2
)

// fieldSeparator separates hashed fields. This byte does not occur in UTF-8 text.
const fieldSeparator = 0xff

// digestTree holds the digests of the entries of one kind for three levels of ranges: all entries, a sixteenth of them, and a leaf.
// A digest is the sum of the digests of the entries in the range, so that equal replicas have equal trees. Two different replicas
// locate a difference by descending two levels. This is a Merkle tree as in Dynamo, with sums in place of hashes of hashes.
type digestTree struct {
	root    uint64
	inner   [treeFanout]uint64
	leaves  [leafCount]uint64
	entries [leafCount][]EntryID
}

func (t *digestTree) add(owner, key string, digest uint64) {
	leaf := leafIndex(owner, key)
	t.root += digest
	t.inner[leaf/treeFanout] += digest
	t.leaves[leaf] += digest
	t.entries[leaf] = append(t.entries[leaf], EntryID{owner, key})
}

func (t *digestTree) remove(owner, key string, digest uint64) {
	leaf := leafIndex(owner, key)
	t.root -= digest
	t.inner[leaf/treeFanout] -= digest
	t.leaves[leaf] -= digest
	ids := t.entries[leaf]
	if i := slices.Index(ids, EntryID{owner, key}); i >= 0 {
		last := len(ids) - 1
		ids[i] = ids[last]
		t.entries[leaf] = ids[:last]
	}
}

// leafEntries returns the entries of a leaf, sorted by owner and key.
func (t *digestTree) leafEntries(leaf int) []EntryID {
	return slices.SortedFunc(slices.Values(t.entries[leaf]), func(a, b EntryID) int {
		return cmp.Or(strings.Compare(a.owner, b.owner), strings.Compare(a.key, b.key))
	})
}

// rangeDigest returns the digest of a range.
func (t *digestTree) rangeDigest(level uint8, index int) uint64 {
	switch level {
	case rootLevel:
		return t.root
	case innerLevel:
		return t.inner[index]
	}
	return t.leaves[index]
}

// validRange reports whether a digest tree has a range with this level and index.
func validRange(level uint8, index int) bool {
	switch level {
	case rootLevel:
		return index == 0
	case innerLevel:
		return index < treeFanout
	case leafLevel:
		return index < leafCount
	}
	return false
}

// rangeLeaves returns the first leaf of a range, and the leaf after the last one.
func rangeLeaves(level uint8, index int) (first, end int) {
	width := 1
	for range leafLevel - int(level) {
		width *= treeFanout
	}
	return index * width, (index + 1) * width
}

// inRange reports whether a leaf is in a range.
func inRange(level uint8, index, leaf int) bool {
	first, end := rangeLeaves(level, index)
	return first <= leaf && leaf < end
}

// Digest returns the entry's contribution to the digest of its kind.
func (e Entry) Digest() uint64 {
	hash := fnv.New64a()
	var version [16]byte
	binary.LittleEndian.PutUint64(version[:8], e.Incarnation)
	binary.LittleEndian.PutUint64(version[8:], e.Sequence)
	hash.Write(version[:])
	hash.Write([]byte(e.Owner))
	hash.Write([]byte{fieldSeparator})
	hash.Write([]byte(e.Key))
	for _, sibling := range e.Siblings {
		hash.Write([]byte{fieldSeparator, byte(len(sibling)), byte(len(sibling) >> 8)})
		hash.Write(sibling)
	}
	return mix64(hash.Sum64())
}

// leafIndex returns the index of the leaf that an entry belongs to.
func leafIndex(owner, key string) int {
	hash := fnv.New64a()
	hash.Write([]byte(owner))
	hash.Write([]byte{fieldSeparator})
	hash.Write([]byte(key))
	return int(mix64(hash.Sum64()) % leafCount)
}

// FleetTag returns the number that identifies a fleet in the versions of its decisions. fleetID is the random identity that the
// fleet received when it was founded. The result is never 0.
func FleetTag(fleetID string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(fleetID))
	return mix64(hash.Sum64()) | 1
}

// mix64 applies the finalizer of SplitMix64.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
