package gossip

import (
	"maps"
	"slices"
	"strings"
)

// ownerRecord holds the known state of one owner and its entries.
type ownerRecord struct {
	incarnation uint64            // newest known incarnation
	reaped      uint64            // entries of incarnations up to this one no longer count
	entries     map[string]*Entry // by key
}

// OwnerState is the part of an owner's record on which all replicas must agree.
type OwnerState struct {
	Name                string
	Incarnation, Reaped uint64
}

// Store is the replica of all entries in one process. It is changed only by merging entries and owner states, and by SetFleetTag. A
// Store is not safe for concurrent use.
type Store struct {
	kinds        []string // all known kinds, sorted
	decidedKinds map[string]bool
	isMember     func(owner string) bool
	owners       map[string]*ownerRecord // by name
	digests      map[string]*digestTree  // by kind
	fault        InjectedFault
	fleetTag     uint64 // tag of the fleet whose decisions count; 0 if not known yet

	changed []EntryID // see TakeChanges
	Counts  Counts
}

// Counts are the numbers of rejected messages, member states, owner states, digests and entries, and the number of conflicts. An entry
// that is received twice counts as stale.
type Counts struct {
	Unknown      int `json:"Unknown"` // the kind, owner, member or member state is unknown, or a message arrived after Leave
	Invalid      int `json:"Illegal"` // malformed entries, and digests of ranges and leaves that do not exist
	OverLimit    int `json:"Full"`    // owners beyond MaxOwners, and keys dropped because of MaxKeysPerOwner
	Conflicts    int `json:"Differ"`  // merges that resulted in several siblings
	Stale        int `json:"Old"`     // not newer than the local replica
	ForeignFleet int `json:"Foreign"` // decisions of another fleet
}

// NewStore returns an empty store. Entries of kinds are written by members, and entries of decidedKinds by consensus. isMember
// reports whether a name is that of a member.
func NewStore(kinds, decidedKinds []string, isMember func(owner string) bool, fault InjectedFault) *Store {
	s := &Store{
		kinds:        slices.Sorted(slices.Values(slices.Concat(kinds, decidedKinds))),
		decidedKinds: map[string]bool{},
		isMember:     isMember,
		owners:       map[string]*ownerRecord{},
		digests:      map[string]*digestTree{},
		fault:        fault,
	}
	for _, kind := range decidedKinds {
		s.decidedKinds[kind] = true
	}
	for _, kind := range s.kinds {
		s.digests[kind] = &digestTree{}
	}
	return s
}

// SetFleetTag sets the FleetTag of the fleet whose decisions count. A tag of 0 is ignored. Decisions of any other fleet are dropped,
// and rejected from now on. A fleet that lost its disks and was founded again numbers its decisions from 1. Without the tag,
// replicated decisions of the former fleet would override the new ones.
func (s *Store) SetFleetTag(tag uint64) {
	if tag == 0 || tag == s.fleetTag {
		return
	}
	s.fleetTag = tag
	owner := s.ownerFor(ConsensusOwner)
	if owner == nil {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(owner.entries)) {
		if owner.entries[key].Incarnation != tag {
			s.drop(ConsensusOwner, owner, key)
		}
	}
	owner.incarnation, owner.reaped = tag, 0
}

// TakeChanges returns the entries that were changed or dropped since the last call.
func (s *Store) TakeChanges() []EntryID {
	changed := s.changed
	s.changed = nil
	return changed
}

// accepts reports whether the owner is allowed to write the key.
func (s *Store) accepts(owner, key string) bool {
	kind := KindOf(key)
	if s.digests[kind] == nil {
		return false
	}
	if s.decidedKinds[kind] {
		return owner == ConsensusOwner
	}
	return owner != ConsensusOwner && s.isMember(owner)
}

// ownerFor returns the record of an owner and creates it if needed. It returns nil if MaxOwners is reached.
func (s *Store) ownerFor(name string) *ownerRecord {
	owner := s.owners[name]
	if owner == nil {
		if len(s.owners) >= MaxOwners {
			s.Counts.OverLimit++
			return nil
		}
		owner = &ownerRecord{entries: map[string]*Entry{}}
		s.owners[name] = owner
	}
	return owner
}

// ApplyOwnerState applies a newer incarnation or reaped incarnation of an owner and drops the entries that are then outdated. It
// reports whether the owner's record changed.
func (s *Store) ApplyOwnerState(state OwnerState) bool {
	switch {
	case state.Name != ConsensusOwner && !s.isMember(state.Name):
		s.Counts.Unknown++
		return false
	case state.Name == ConsensusOwner && (state.Reaped > 0 || s.fleetTag != 0 && state.Incarnation != s.fleetTag):
		s.Counts.ForeignFleet++
		return false
	}
	owner := s.ownerFor(state.Name)
	if owner == nil || state.Incarnation <= owner.incarnation && state.Reaped <= owner.reaped {
		return false
	}
	owner.incarnation = max(owner.incarnation, state.Incarnation)
	owner.reaped = max(owner.reaped, state.Reaped)
	for _, key := range slices.Sorted(maps.Keys(owner.entries)) {
		if owner.outdated(owner.entries[key].Incarnation) {
			s.drop(state.Name, owner, key)
		}
	}
	return true
}

// outdated reports whether entries of an incarnation no longer count.
func (o *ownerRecord) outdated(incarnation uint64) bool {
	return incarnation < o.incarnation || incarnation <= o.reaped
}

func (s *Store) drop(name string, owner *ownerRecord, key string) {
	entry := owner.entries[key]
	s.digests[KindOf(key)].remove(name, key, entry.Digest())
	delete(owner.entries, key)
	s.changed = append(s.changed, EntryID{name, key})
}

// Merge merges an entry into the replica and reports whether the entry changed it. Rejected entries are counted.
func (s *Store) Merge(e Entry) bool {
	if !s.admits(&e) {
		return false
	}
	owner := s.ownerFor(e.Owner)
	if owner == nil {
		return false
	}
	if s.fault != FaultLastArrivalWins && owner.outdated(e.Incarnation) {
		s.Counts.Stale++
		return false
	}
	if e.Incarnation > owner.incarnation {
		s.ApplyOwnerState(OwnerState{e.Owner, e.Incarnation, 0})
	}
	tree := s.digests[KindOf(e.Key)]
	if current := owner.entries[e.Key]; current != nil {
		merged, modified := s.combine(current, e)
		if !modified {
			s.Counts.Stale++
			return false
		}
		if len(merged.Siblings) > 1 {
			s.Counts.Conflicts++
		}
		tree.remove(e.Owner, e.Key, current.Digest())
		e = merged
	}
	s.changed = append(s.changed, EntryID{e.Owner, e.Key})
	if s.fault == FaultDropTombstones && e.Deleted() {
		delete(owner.entries, e.Key)
		return true
	}
	owner.entries[e.Key] = &e
	tree.add(e.Owner, e.Key, e.Digest())
	return !s.dropExcessKey(owner, &e)
}

// admits reports whether an entry is valid and may be written by its owner, independently of the present entries. It counts rejected
// entries.
func (s *Store) admits(e *Entry) bool {
	switch {
	case !e.valid():
		s.Counts.Invalid++
		return false
	case !s.accepts(e.Owner, e.Key):
		s.Counts.Unknown++
		return false
	case e.Owner == ConsensusOwner && s.fleetTag != 0 && e.Incarnation != s.fleetTag:
		s.Counts.ForeignFleet++
		return false
	}
	return true
}

// combine merges the current entry with a received entry of the same ID. changed reports whether the result differs from the current
// entry.
func (s *Store) combine(current *Entry, e Entry) (merged Entry, changed bool) {
	if s.fault == FaultLastArrivalWins {
		return e, e.Compare(current.Version) != 0 || len(e.Siblings) != len(current.Siblings) || e.Digest() != current.Digest()
	}
	merged = mergeEntries(*current, e)
	return merged, merged.Compare(current.Version) != 0 || len(merged.Siblings) != len(current.Siblings)
}

// dropExcessKey drops the last key in sort order if a member has more than MaxKeysPerOwner keys, so that all replicas keep the same
// keys. It reports whether the dropped key is that of the entry just merged.
func (s *Store) dropExcessKey(owner *ownerRecord, merged *Entry) bool {
	if merged.Owner == ConsensusOwner || len(owner.entries) <= MaxKeysPerOwner {
		return false
	}
	s.Counts.OverLimit++
	last := slices.Max(slices.Collect(maps.Keys(owner.entries)))
	s.drop(merged.Owner, owner, last)
	return last == merged.Key
}

// Get returns the entry of an owner under a key. ok is false if there is none.
func (s *Store) Get(owner, key string) (e Entry, ok bool) {
	if record := s.owners[owner]; record != nil {
		if entry := record.entries[key]; entry != nil {
			return *entry, true
		}
	}
	return Entry{}, false
}

// Incarnation returns the newest known incarnation of an owner, and the incarnation up to which its entries were reaped. Both are 0
// if unknown.
func (s *Store) Incarnation(owner string) (incarnation, reaped uint64) {
	if record := s.owners[owner]; record != nil {
		return record.incarnation, record.reaped
	}
	return 0, 0
}

// ForEach calls f for each entry whose key has the prefix, ordered by owner and key, until f returns false. f must not modify the
// entry.
func (s *Store) ForEach(prefix string, f func(*Entry) bool) {
	for _, owner := range slices.Sorted(maps.Keys(s.owners)) {
		if !s.forEachOf(owner, prefix, f) {
			return
		}
	}
}

// ForEachOf calls f for each entry of one owner whose key has the prefix, ordered by key, until f returns false. f must not modify the
// entry.
func (s *Store) ForEachOf(owner, prefix string, f func(*Entry) bool) { s.forEachOf(owner, prefix, f) }

// forEachOf is ForEachOf, and reports whether f returned true for all entries.
func (s *Store) forEachOf(owner, prefix string, f func(*Entry) bool) bool {
	record := s.owners[owner]
	if record == nil {
		return true
	}
	for _, key := range slices.Sorted(maps.Keys(record.entries)) {
		if strings.HasPrefix(key, prefix) && !f(record.entries[key]) {
			return false
		}
	}
	return true
}

// Digest returns the digest of all entries of a kind. Equal replicas have equal digests. The kind must be known to the store.
func (s *Store) Digest(kind string) uint64 { return s.digests[kind].root }

// skippedLeafInterval is the interval of the leaves that FaultSkipDigestRanges omits.
const skippedLeafInterval = 3

// rangeDigest returns the digest of a range as it is sent to peers.
func (s *Store) rangeDigest(kind string, level uint8, index int) uint64 {
	tree := s.digests[kind]
	digest := tree.rangeDigest(level, index)
	if s.fault == FaultSkipDigestRanges {
		first, end := rangeLeaves(level, index)
		for leaf := first; leaf < end; leaf++ {
			if leaf%skippedLeafInterval == 0 {
				digest -= tree.leaves[leaf]
			}
		}
	}
	return digest
}
