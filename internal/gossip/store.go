package gossip

import (
	"maps"
	"slices"
	"strings"
)

// ownerRecord is what is known of one owner, and what it has written.
type ownerRecord struct {
	incarnation uint64 // the newest that is known
	reaped      uint64 // entries of incarnations up to this one do not count any more
	entries     map[string]*Entry
}

// OwnerState is the part of an owner's record on which replicas must agree.
type OwnerState struct {
	Name                string
	Incarnation, Reaped uint64
}

// Store is one process' replica of all entries. Merging is all that changes it. It is not safe for concurrent use.
type Store struct {
	kinds        []string // all that are known here, in order
	decidedKinds map[string]bool
	isMember     func(owner string) bool
	owners       map[string]*ownerRecord
	digests      map[string]*digestTree // by kind
	fault        InjectedFault
	fleetTag     uint64 // of the fleet whose decisions count; 0: not known yet

	changed []EntryID // see TakeChanges
	Counts  Counts
}

// Counts are entries and owner states that were rejected, and conflicts. An entry that comes twice is counted as stale.
type Counts struct {
	Unknown      int `json:"Unknown"` // of a kind, an owner or a member that is not known here
	Invalid      int `json:"Illegal"` // malformed
	OverLimit    int `json:"Full"`    // beyond MaxOwners or MaxKeysPerOwner
	Conflicts    int `json:"Differ"`  // merges that left several siblings
	Stale        int `json:"Old"`     // not newer than what is here
	ForeignFleet int `json:"Foreign"` // decisions of another fleet
}

// NewStore returns an empty store. Members write kinds, and consensus decides decidedKinds; isMember knows the names of members.
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

// SetFleetTag says of which fleet, by its FleetTag, decisions count: those of any other are dropped, and rejected from now on.
// A fleet that was founded anew, having lost its disks, numbers its decisions from 1 again, and replicas of the former fleet's
// must not outweigh them.
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

// accepts reports whether the owner may write the key at all.
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

// ownerFor returns an owner's record, a new one if there is none; nil if there is no room for it.
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

// ApplyOwnerState takes over a newer incarnation or reaping of an owner, drops the entries that do not count any more by it,
// and reports whether it was news.
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

// outdated reports whether entries of an incarnation do not count any more.
func (o *ownerRecord) outdated(incarnation uint64) bool {
	return incarnation < o.incarnation || incarnation <= o.reaped
}

func (s *Store) drop(name string, owner *ownerRecord, key string) {
	entry := owner.entries[key]
	s.digests[KindOf(key)].remove(name, key, entry.Digest())
	delete(owner.entries, key)
	s.changed = append(s.changed, EntryID{name, key})
}

// Merge takes in an entry, and reports whether it was news. One that is rejected is counted.
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
		merged, news := s.combine(current, e)
		if !news {
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

// admits checks an entry by itself.
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

// combine returns the merge of the entry that is here and a received one with the same ID, and whether it differs from the former.
func (s *Store) combine(current *Entry, e Entry) (merged Entry, news bool) {
	if s.fault == FaultLastArrivalWins {
		return e, e.Compare(current.Version) != 0 || len(e.Siblings) != len(current.Siblings) || e.Digest() != current.Digest()
	}
	merged = mergeEntries(*current, e)
	return merged, merged.Compare(current.Version) != 0 || len(merged.Siblings) != len(current.Siblings)
}

// dropExcessKey drops the last key of a member that has too many, so that all replicas keep the same ones, and reports whether
// it was that of the entry just merged.
func (s *Store) dropExcessKey(owner *ownerRecord, merged *Entry) bool {
	if merged.Owner == ConsensusOwner || len(owner.entries) <= MaxKeysPerOwner {
		return false
	}
	s.Counts.OverLimit++
	last := slices.Max(slices.Collect(maps.Keys(owner.entries)))
	s.drop(merged.Owner, owner, last)
	return last == merged.Key
}

// Get returns the entry of an owner under a key; ok is false if there is none.
func (s *Store) Get(owner, key string) (e Entry, ok bool) {
	if record := s.owners[owner]; record != nil {
		if entry := record.entries[key]; entry != nil {
			return *entry, true
		}
	}
	return Entry{}, false
}

// Incarnation returns the newest incarnation of an owner that is known, and the one up to which they were reaped; 0: none.
func (s *Store) Incarnation(owner string) (incarnation, reaped uint64) {
	if record := s.owners[owner]; record != nil {
		return record.incarnation, record.reaped
	}
	return 0, 0
}

// ForEach calls f with each entry whose key has a prefix, by owner and key, until f returns false. f must not change the entry.
func (s *Store) ForEach(prefix string, f func(*Entry) bool) {
	for _, owner := range slices.Sorted(maps.Keys(s.owners)) {
		if !s.forEachOf(owner, prefix, f) {
			return
		}
	}
}

// ForEachOf calls f with each entry of one owner whose key has a prefix, by key, until f returns false.
func (s *Store) ForEachOf(owner, prefix string, f func(*Entry) bool) { s.forEachOf(owner, prefix, f) }

// forEachOf reports whether f returned true to the end.
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

// Digest is the digest of all entries of a kind that is known here: equal replicas have equal ones.
func (s *Store) Digest(kind string) uint64 { return s.digests[kind].root }

// skippedLeafInterval: FaultSkipDigestRanges leaves out one leaf in so many.
const skippedLeafInterval = 3

// rangeDigest is the digest of a range that is sent to peers.
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
