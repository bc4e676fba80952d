package gossip

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
)

// Bounds of a replica. What exceeds them is rejected and counted, but of an owner's keys all replicas keep the same ones.
const (
	MaxOwners       = 8192
	MaxKeysPerOwner = 256
	MaxKeyBytes     = 200
	MaxValueBytes   = 1024
	maxSiblings     = 4
)

// ConsensusOwner owns the entries that consensus decides. No member has that name.
const ConsensusOwner = "*council"

// Version orders what one owner has written under one key.
type Version struct {
	// Incarnation grows with each start of the owner, and whenever it writes all of its entries anew. Of a decided entry it is
	// the FleetTag.
	Incarnation uint64
	// Sequence grows with each write within an incarnation. Of a decided entry it is the number of the decision.
	Sequence uint64
}

// Compare orders versions: negative if v is older than w, 0 if they are equal, positive if it is newer.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Incarnation, w.Incarnation), cmp.Compare(v.Sequence, w.Sequence))
}

// EntryID names an entry.
type EntryID struct{ owner, key string }

// Owner is the name of the member that wrote the entry, or ConsensusOwner.
func (id EntryID) Owner() string { return id.owner }

// Key is the entry's key.
func (id EntryID) Key() string { return id.key }

// Entry is one replica of what an owner has written under a key.
type Entry struct {
	Owner, Key string // the key begins with its kind and a slash
	Version
	// Siblings has one element, or several, in order, where different values of one version are known. The first byte of each
	// is a mark: a value follows, or it is a tombstone.
	Siblings [][]byte
}

// Marks of a sibling.
const (
	tombstoneMark = 0
	valueMark     = 1
)

// KindOf is the kind of a key: its part before the first slash.
func KindOf(key string) string {
	kind, _, _ := strings.Cut(key, "/")
	return kind
}

// DecidedEntry is the entry of a decision of consensus, of the fleet that fleetTag stands for. value nil is a tombstone.
func DecidedEntry(fleetTag uint64, key string, number uint64, value []byte) Entry {
	return Entry{Owner: ConsensusOwner, Key: key, Version: Version{fleetTag, number}, Siblings: [][]byte{encodeSibling(value)}}
}

// encodeSibling adds the mark to a value; nil is a tombstone.
func encodeSibling(value []byte) []byte {
	if value == nil {
		return []byte{tombstoneMark}
	}
	return append([]byte{valueMark}, value...)
}

// Values are the values of the siblings that are no tombstones.
func (e *Entry) Values() [][]byte {
	var values [][]byte
	for _, sibling := range e.Siblings {
		if len(sibling) > 0 && sibling[0] == valueMark {
			values = append(values, sibling[1:])
		}
	}
	return values
}

// Deleted reports whether the entry is a tombstone, without a sibling that is a value.
func (e *Entry) Deleted() bool {
	return len(e.Siblings) == 1 && len(e.Siblings[0]) == 1 && e.Siblings[0][0] == tombstoneMark
}

// valid reports whether an entry received from a peer is well-formed and within the bounds.
func (e *Entry) valid() bool {
	switch {
	case e.Owner == "" || e.Incarnation == 0 || e.Sequence == 0:
		return false
	case len(e.Key) > MaxKeyBytes || !strings.Contains(e.Key, "/"):
		return false
	case len(e.Siblings) == 0 || len(e.Siblings) > maxSiblings:
		return false
	}
	for i, sibling := range e.Siblings {
		if !validSibling(sibling) || i > 0 && bytes.Compare(e.Siblings[i-1], sibling) >= 0 {
			return false
		}
	}
	return true
}

func validSibling(sibling []byte) bool {
	if len(sibling) == 0 || len(sibling) > MaxValueBytes+1 {
		return false
	}
	return sibling[0] == valueMark || sibling[0] == tombstoneMark && len(sibling) == 1
}

// size is about how many bytes the entry takes in a message.
func (e *Entry) size() int {
	size := recordOverhead + len(e.Owner) + len(e.Key)
	for _, sibling := range e.Siblings {
		size += len(sibling)
	}
	return size
}

// mergeEntries returns the least upper bound of two entries with the same ID.
func mergeEntries(a, b Entry) Entry {
	switch order := a.Compare(b.Version); {
	case order > 0:
		return a
	case order < 0:
		return b
	}
	siblings := append(slices.Clone(a.Siblings), b.Siblings...)
	slices.SortFunc(siblings, bytes.Compare)
	siblings = slices.CompactFunc(siblings, bytes.Equal)
	a.Siblings = siblings[:min(len(siblings), maxSiblings)]
	return a
}
