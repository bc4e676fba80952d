package gossip

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"
)

// ownerRecord is what is known of one, and what it has written.
type ownerRecord struct {
	incarnation uint64 // the newest incarnation that is known
	reaped      uint64 // incarnations up to this one have been given up: nothing of them counts any more
	entries     map[string]*Entry
}

// OwnerState is what is told of an owner where copies differ in it.
type OwnerState struct {
	Name                string
	Incarnation, Reaped uint64
}

// Store are all copies that one process has. Merging is all that changes them.
type Store struct {
	kinds        []string // that are known here; others are kept out
	decidedKinds map[string]bool
	isMember     func(owner string) bool
	owners       map[string]*ownerRecord
	digests      map[string]*digestTree
	fault        InjectedFault
	fleetTag     uint64 // whose decisions count; 0: that is not known yet

	changed []EntryID // that have another entry than before, or none any more, since Changed was last called
	Counts  Counts
}

// Counts are what has been refused or told.
type Counts struct {
	Unknown      int `json:"Unknown"` // of a kind or an owner that is not known here
	Invalid      int `json:"Illegal"`
	OverLimit    int `json:"Full"`
	Conflicts    int `json:"Differ"`  // contents of one version that differ
	Stale        int `json:"Old"`     // of a version that was known, or an older one
	ForeignFleet int `json:"Foreign"` // decisions of another council than this fleet's
}

// InjectedFault is a mistake that is made on purpose, to see that it is found.
type InjectedFault string

// The mistakes.
const (
	NoFault               InjectedFault = ""
	FaultLastArrivalWins  InjectedFault = "arrival-decides" // what comes last wins, as with clocks that are not equal
	FaultDropTombstones   InjectedFault = "forget-deleted"  // a deletion is dropped as soon as it is carried out
	FaultSkipDigestRanges InjectedFault = "leave-out-range" // the sums leave out some ranges
	FaultPartialMerge     InjectedFault = "half-a-piece"    // half of a piece is merged, and all of it taken for known
)

// InjectedFaults are all of them.
var InjectedFaults = []InjectedFault{FaultLastArrivalWins, FaultDropTombstones, FaultSkipDigestRanges, FaultPartialMerge}

// NewStore returns none. kinds are those that members write, decided those that the council does; allowed tells which members there are.
func NewStore(kinds, decided []string, allowed func(owner string) bool, plant InjectedFault) *Store {
	c := &Store{decidedKinds: map[string]bool{}, isMember: allowed, owners: map[string]*ownerRecord{}, digests: map[string]*digestTree{}, fault: plant}
	for _, k := range decided {
		c.decidedKinds[k] = true
	}
	c.kinds = append(slices.Clone(kinds), decided...)
	slices.Sort(c.kinds)
	for _, k := range c.kinds {
		c.digests[k] = &digestTree{}
	}
	return c
}

// SetFleetTag tells of which fleet's council the decisions count, by FleetTag: one that was founded anew, since its disks were lost, numbers from 1
// again, and what copies still hold of the former one's must not outweigh it. Those of any other are dropped, and kept out from now on.
func (c *Store) SetFleetTag(tag uint64) {
	if tag == 0 || tag == c.fleetTag {
		return
	}
	c.fleetTag = tag
	o := c.ownerFor(ConsensusOwner)
	if o == nil {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(o.entries)) {
		if o.entries[key].Incarnation != tag {
			c.drop(ConsensusOwner, o, key)
		}
	}
	o.incarnation, o.reaped = tag, 0
}

// FleetTag is how copies tell the decisions of one fleet's council from another's, by its identity that was drawn as it was founded.
func FleetTag(fleet string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(fleet))
	return mix64(h.Sum64()) | 1 // never 0
}

// TakeChanges returns what has changed since it was last called.
func (c *Store) TakeChanges() []EntryID {
	all := c.changed
	c.changed = nil
	return all
}

// accepts reports whether entries of an owner and key may be here at all.
func (c *Store) accepts(owner, key string) bool {
	kind := KindOf(key)
	if c.digests[kind] == nil {
		return false
	}
	if c.decidedKinds[kind] {
		return owner == ConsensusOwner
	}
	return owner != ConsensusOwner && c.isMember(owner)
}

func (c *Store) ownerFor(name string) *ownerRecord {
	o := c.owners[name]
	if o == nil {
		if len(c.owners) >= MaxOwners {
			c.Counts.OverLimit++
			return nil
		}
		o = &ownerRecord{entries: map[string]*Entry{}}
		c.owners[name] = o
	}
	return o
}

// ApplyOwnerState takes what is told of an owner: of it only the newest incarnation counts, and nothing up to what was given up. It reports whether that
// was new.
func (c *Store) ApplyOwnerState(s OwnerState) bool {
	switch {
	case s.Name != ConsensusOwner && !c.isMember(s.Name):
		c.Counts.Unknown++
		return false
	case s.Name == ConsensusOwner && (s.Reaped > 0 || c.fleetTag != 0 && s.Incarnation != c.fleetTag):
		c.Counts.ForeignFleet++
		return false
	}
	o := c.ownerFor(s.Name)
	if o == nil || s.Incarnation <= o.incarnation && s.Reaped <= o.reaped {
		return false
	}
	o.incarnation, o.reaped = max(o.incarnation, s.Incarnation), max(o.reaped, s.Reaped)
	for _, key := range slices.Sorted(maps.Keys(o.entries)) {
		if e := o.entries[key]; e.Incarnation < o.incarnation || e.Incarnation <= o.reaped {
			c.drop(s.Name, o, key)
		}
	}
	return true
}

func (c *Store) drop(name string, o *ownerRecord, key string) {
	e := o.entries[key]
	c.digests[KindOf(key)].remove(name, key, e.digest())
	delete(o.entries, key)
	c.changed = append(c.changed, EntryID{name, key})
}

// Merge takes an entry, and reports whether it was new.
func (c *Store) Merge(e Entry) bool {
	switch {
	case !e.valid():
		c.Counts.Invalid++
		return false
	case !c.accepts(e.Owner, e.Key):
		c.Counts.Unknown++
		return false
	}
	if e.Owner == ConsensusOwner && c.fleetTag != 0 && e.Incarnation != c.fleetTag {
		c.Counts.ForeignFleet++
		return false
	}
	o := c.ownerFor(e.Owner)
	if o == nil {
		return false
	}
	if c.fault != FaultLastArrivalWins && (e.Incarnation < o.incarnation || e.Incarnation <= o.reaped) {
		c.Counts.Stale++
		return false
	}
	if e.Incarnation > o.incarnation {
		c.ApplyOwnerState(OwnerState{e.Owner, e.Incarnation, 0})
	}
	kind := KindOf(e.Key)
	if was := o.entries[e.Key]; was != nil {
		next := merge(*was, e)
		if c.fault == FaultLastArrivalWins {
			next = e
		}
		if next.Compare(was.Version) == 0 && len(next.Siblings) == len(was.Siblings) && (c.fault != FaultLastArrivalWins || next.digest() == was.digest()) {
			c.Counts.Stale++
			return false
		}
		if len(next.Siblings) > 1 {
			c.Counts.Conflicts++
		}
		c.digests[kind].remove(e.Owner, e.Key, was.digest())
		e = next
	}
	c.changed = append(c.changed, EntryID{e.Owner, e.Key})
	if c.fault == FaultDropTombstones && e.Deleted() {
		delete(o.entries, e.Key)
		return true
	}
	o.entries[e.Key] = &e
	c.digests[kind].add(e.Owner, e.Key, e.digest())
	if e.Owner != ConsensusOwner && len(o.entries) > MaxKeysPerOwner { // every copy keeps the same of them
		c.Counts.OverLimit++
		last := slices.Max(slices.Collect(maps.Keys(o.entries)))
		c.drop(e.Owner, o, last)
		return last != e.Key
	}
	return true
}

// Get is the copy of what an owner has written of a key; ok is false if there is none.
func (c *Store) Get(name, key string) (e Entry, ok bool) {
	if o := c.owners[name]; o != nil {
		if p := o.entries[key]; p != nil {
			return *p, true
		}
	}
	return Entry{}, false
}

// Incarnation is the newest incarnation of an owner that is known, and up to which they were given up.
func (c *Store) Incarnation(name string) (inc, gone uint64) {
	if o := c.owners[name]; o != nil {
		return o.incarnation, o.reaped
	}
	return 0, 0
}

// ForEach calls f with each entry whose key begins with prefix, by owner and key, until it returns false.
func (c *Store) ForEach(prefix string, f func(*Entry) bool) {
	for _, name := range slices.Sorted(maps.Keys(c.owners)) {
		o := c.owners[name]
		for _, key := range slices.Sorted(maps.Keys(o.entries)) {
			if strings.HasPrefix(key, prefix) && !f(o.entries[key]) {
				return
			}
		}
	}
}

// ForEachOf calls f with each entry of one owner whose key begins with prefix, by key, until it returns false.
func (c *Store) ForEachOf(name, prefix string, f func(*Entry) bool) {
	o := c.owners[name]
	if o == nil {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(o.entries)) {
		if strings.HasPrefix(key, prefix) && !f(o.entries[key]) {
			return
		}
	}
}

// Digest is that of all entries of a kind: equal copies have equal ones.
func (c *Store) Digest(kind string) uint64 { return c.digests[kind].root }

// rangeDigest is what is told of a range.
func (c *Store) rangeDigest(kind string, level uint8, index int) uint64 {
	x := c.digests[kind].rangeDigest(level, index)
	if c.fault == FaultSkipDigestRanges { // a third of the leaves are left out of all sums
		for leaf := range leafCount {
			if leaf%3 == 0 && (level == 0 || level == 1 && leaf/treeFanout == index || level == 2 && leaf == index) {
				x -= c.digests[kind].leaves[leaf]
			}
		}
	}
	return x
}
