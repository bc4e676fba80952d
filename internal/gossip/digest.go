package gossip

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
)

// The shape of a digest tree: a few entries to a leaf with thousands of owners.
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

// fieldSeparator separates hashed fields; no byte of UTF-8 text equals it.
const fieldSeparator = 0xff

// digestTree holds the digests of all entries of one kind by range: of all, of a sixteenth, of a leaf. A digest is the sum of
// the digests of the entries in the range, so equal replicas have equal trees, and two that differ find out where in two steps
// down (a Merkle tree as in Dynamo, with sums in place of hashes of hashes).
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

// leafEntries are the entries of a leaf, by owner and key.
func (t *digestTree) leafEntries(leaf int) []EntryID {
	return slices.SortedFunc(slices.Values(t.entries[leaf]), func(a, b EntryID) int {
		return cmp.Or(strings.Compare(a.owner, b.owner), strings.Compare(a.key, b.key))
	})
}

// rangeDigest is the digest of a range.
func (t *digestTree) rangeDigest(level uint8, index int) uint64 {
	switch level {
	case rootLevel:
		return t.root
	case innerLevel:
		return t.inner[index]
	}
	return t.leaves[index]
}

// validRange reports whether a tree has a range.
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

// rangeLeaves are the first leaf of a range and the one after its last.
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

// Digest is what the entry adds to the digest of its kind.
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

// leafIndex is the leaf that an entry belongs to.
func leafIndex(owner, key string) int {
	hash := fnv.New64a()
	hash.Write([]byte(owner))
	hash.Write([]byte{fieldSeparator})
	hash.Write([]byte(key))
	return int(mix64(hash.Sum64()) % leafCount)
}

// FleetTag stands for a fleet, by the identity that was drawn when it was founded, in the versions of its decisions. It is never 0.
func FleetTag(fleetID string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(fleetID))
	return mix64(hash.Sum64()) | 1
}

// mix64 is the finalizer of SplitMix64.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
