package gossip

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
)

// Bounds of a replica. Entries that exceed a bound are rejected and counted. If an owner has too many keys, all replicas keep the
// same keys.
const (
	MaxOwners       = 8192
	MaxKeysPerOwner = 256
	MaxKeyBytes     = 200
	MaxValueBytes   = 1024
	maxSiblings     = 4
)

// ConsensusOwner is the owner of the entries that consensus decides. No member has this name.
const ConsensusOwner = "*council"

// Version orders the writes of one owner to one key.
type Version struct {
	// Incarnation increases with each start of the owner, and whenever the owner rewrites all of its entries. In a decided entry it
	// is the FleetTag.
	Incarnation uint64
	// Sequence increases with each write within an incarnation. In a decided entry it is the number of the decision.
	Sequence uint64
}

// Compare returns a negative number if v is older than w, 0 if they are equal, and a positive number if v is newer.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Incarnation, w.Incarnation), cmp.Compare(v.Sequence, w.Sequence))
}

// EntryID identifies an entry.
type EntryID struct{ owner, key string }

// Owner returns the name of the member that wrote the entry, or ConsensusOwner.
func (id EntryID) Owner() string { return id.owner }

// Key returns the key of the entry.
func (id EntryID) Key() string { return id.key }

// Entry is one replica of the value that an owner has written under a key.
type Entry struct {
	Owner, Key string // the key starts with its kind and a slash
	Version
	// Siblings has one element, or several in ascending order if different values of the same version are known. The first byte of
	// each element is a mark: valueMark, followed by the value, or tombstoneMark.
	Siblings [][]byte
}

// Marks in the first byte of a sibling.
const (
	tombstoneMark = 0
	valueMark     = 1
)

// KindOf returns the kind of a key: the part before the first slash.
func KindOf(key string) string {
	kind, _, _ := strings.Cut(key, "/")
	return kind
}

// DecidedEntry returns the entry for a decision of consensus. fleetTag identifies the fleet, and number is the number of the
// decision. A nil value is a tombstone.
func DecidedEntry(fleetTag uint64, key string, number uint64, value []byte) Entry {
	return Entry{Owner: ConsensusOwner, Key: key, Version: Version{fleetTag, number}, Siblings: [][]byte{encodeSibling(value)}}
}

// encodeSibling returns the sibling for a value. A nil value is a tombstone.
func encodeSibling(value []byte) []byte {
	if value == nil {
		return []byte{tombstoneMark}
	}
	return append([]byte{valueMark}, value...)
}

// Values returns the values of the siblings that are not tombstones.
func (e *Entry) Values() [][]byte {
	var values [][]byte
	for _, sibling := range e.Siblings {
		if len(sibling) > 0 && sibling[0] == valueMark {
			values = append(values, sibling[1:])
		}
	}
	return values
}

// Deleted reports whether the entry is a tombstone and has no sibling with a value.
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

// size returns the approximate size of the entry in a message, in bytes.
func (e *Entry) size() int {
	size := recordOverhead + len(e.Owner) + len(e.Key)
	for _, sibling := range e.Siblings {
		size += len(sibling)
	}
	return size
}

// mergeEntries returns the least upper bound of two entries with the same ID: the entry with the newer version or, for equal
// versions, the union of the siblings, of which the first maxSiblings are kept.
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
