package gossip

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"
)

// owner is what is known of one, and what it has written.
type owner struct {
	inc     uint64 // the newest incarnation that is known
	gone    uint64 // incarnations up to this one have been given up: nothing of them counts any more
	entries map[string]*Entry
}

// OwnerState is what is told of an owner where copies differ in it.
type OwnerState struct {
	Name      string
	Inc, Gone uint64
}

// Copies are all copies that one process has. Merging is all that changes them.
type Copies struct {
	kinds   []string // that are known here; others are kept out
	decided map[string]bool
	allowed func(owner string) bool
	owners  map[string]*owner
	sums    map[string]*sums
	plant   Plant
	council uint64 // whose decisions count; 0: that is not known yet

	changed []Place // that have another entry than before, or none any more, since Changed was last called
	Counts  Counts
}

// Counts are what has been refused or told.
type Counts struct {
	Unknown int `json:"Unknown"` // of a kind or an owner that is not known here
	Illegal int `json:"Illegal"`
	Full    int `json:"Full"`
	Differ  int `json:"Differ"`  // contents of one version that differ
	Old     int `json:"Old"`     // of a version that was known, or an older one
	Foreign int `json:"Foreign"` // decisions of another council than this fleet's
}

// Plant is a mistake that is made on purpose, to see that it is found.
type Plant string

// The mistakes.
const (
	NoPlant   Plant = ""
	Arrival   Plant = "arrival-decides" // what comes last wins, as with clocks that are not equal
	Forget    Plant = "forget-deleted"  // a deletion is dropped as soon as it is carried out
	LeaveOut  Plant = "leave-out-range" // the sums leave out some ranges
	HalfPiece Plant = "half-a-piece"    // half of a piece is merged, and all of it taken for known
)

// Plants are all of them.
var Plants = []Plant{Arrival, Forget, LeaveOut, HalfPiece}

// NewCopies returns none. kinds are those that members write, decided those that the council does; allowed tells which members there are.
func NewCopies(kinds, decided []string, allowed func(owner string) bool, plant Plant) *Copies {
	c := &Copies{decided: map[string]bool{}, allowed: allowed, owners: map[string]*owner{}, sums: map[string]*sums{}, plant: plant}
	for _, k := range decided {
		c.decided[k] = true
	}
	c.kinds = append(slices.Clone(kinds), decided...)
	slices.Sort(c.kinds)
	for _, k := range c.kinds {
		c.sums[k] = &sums{}
	}
	return c
}

// Council tells of which fleet's council the decisions count, by FleetTag: one that was founded anew, since its disks were lost, numbers from 1
// again, and what copies still hold of the former one's must not outweigh it. Those of any other are dropped, and kept out from now on.
func (c *Copies) Council(tag uint64) {
	if tag == 0 || tag == c.council {
		return
	}
	c.council = tag
	o := c.owner(Council)
	if o == nil {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(o.entries)) {
		if o.entries[key].Inc != tag {
			c.drop(Council, o, key)
		}
	}
	o.inc, o.gone = tag, 0
}

// FleetTag is how copies tell the decisions of one fleet's council from another's, by its identity that was drawn as it was founded.
func FleetTag(fleet string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(fleet))
	return mix(h.Sum64()) | 1 // never 0
}

// Changed returns what has changed since it was last called.
func (c *Copies) Changed() []Place {
	all := c.changed
	c.changed = nil
	return all
}

// known reports whether entries of an owner and key may be here at all.
func (c *Copies) known(owner, key string) bool {
	kind := KindOf(key)
	if c.sums[kind] == nil {
		return false
	}
	if c.decided[kind] {
		return owner == Council
	}
	return owner != Council && c.allowed(owner)
}

func (c *Copies) owner(name string) *owner {
	o := c.owners[name]
	if o == nil {
		if len(c.owners) >= MostOwners {
			c.Counts.Full++
			return nil
		}
		o = &owner{entries: map[string]*Entry{}}
		c.owners[name] = o
	}
	return o
}

// Learn takes what is told of an owner: of it only the newest incarnation counts, and nothing up to what was given up. It reports whether that
// was new.
func (c *Copies) Learn(s OwnerState) bool {
	switch {
	case s.Name != Council && !c.allowed(s.Name):
		c.Counts.Unknown++
		return false
	case s.Name == Council && (s.Gone > 0 || c.council != 0 && s.Inc != c.council):
		c.Counts.Foreign++
		return false
	}
	o := c.owner(s.Name)
	if o == nil || s.Inc <= o.inc && s.Gone <= o.gone {
		return false
	}
	o.inc, o.gone = max(o.inc, s.Inc), max(o.gone, s.Gone)
	for _, key := range slices.Sorted(maps.Keys(o.entries)) {
		if e := o.entries[key]; e.Inc < o.inc || e.Inc <= o.gone {
			c.drop(s.Name, o, key)
		}
	}
	return true
}

func (c *Copies) drop(name string, o *owner, key string) {
	e := o.entries[key]
	c.sums[KindOf(key)].remove(name, key, e.sum())
	delete(o.entries, key)
	c.changed = append(c.changed, Place{name, key})
}

// Merge takes an entry, and reports whether it was new.
func (c *Copies) Merge(e Entry) bool {
	switch {
	case !e.legal():
		c.Counts.Illegal++
		return false
	case !c.known(e.Owner, e.Key):
		c.Counts.Unknown++
		return false
	}
	if e.Owner == Council && c.council != 0 && e.Inc != c.council {
		c.Counts.Foreign++
		return false
	}
	o := c.owner(e.Owner)
	if o == nil {
		return false
	}
	if c.plant != Arrival && (e.Inc < o.inc || e.Inc <= o.gone) {
		c.Counts.Old++
		return false
	}
	if e.Inc > o.inc {
		c.Learn(OwnerState{e.Owner, e.Inc, 0})
	}
	kind := KindOf(e.Key)
	if was := o.entries[e.Key]; was != nil {
		next := merge(*was, e)
		if c.plant == Arrival {
			next = e
		}
		if next.Compare(was.Version) == 0 && len(next.Contents) == len(was.Contents) && (c.plant != Arrival || next.sum() == was.sum()) {
			c.Counts.Old++
			return false
		}
		if len(next.Contents) > 1 {
			c.Counts.Differ++
		}
		c.sums[kind].remove(e.Owner, e.Key, was.sum())
		e = next
	}
	c.changed = append(c.changed, Place{e.Owner, e.Key})
	if c.plant == Forget && e.Gone() {
		delete(o.entries, e.Key)
		return true
	}
	o.entries[e.Key] = &e
	c.sums[kind].add(e.Owner, e.Key, e.sum())
	if e.Owner != Council && len(o.entries) > MostKeys { // every copy keeps the same of them
		c.Counts.Full++
		last := slices.Max(slices.Collect(maps.Keys(o.entries)))
		c.drop(e.Owner, o, last)
		return last != e.Key
	}
	return true
}

// Get is the copy of what an owner has written of a key; ok is false if there is none.
func (c *Copies) Get(name, key string) (e Entry, ok bool) {
	if o := c.owners[name]; o != nil {
		if p := o.entries[key]; p != nil {
			return *p, true
		}
	}
	return Entry{}, false
}

// Inc is the newest incarnation of an owner that is known, and up to which they were given up.
func (c *Copies) Inc(name string) (inc, gone uint64) {
	if o := c.owners[name]; o != nil {
		return o.inc, o.gone
	}
	return 0, 0
}

// All calls f with each entry whose key begins with prefix, by owner and key, until it returns false.
func (c *Copies) All(prefix string, f func(*Entry) bool) {
	for _, name := range slices.Sorted(maps.Keys(c.owners)) {
		o := c.owners[name]
		for _, key := range slices.Sorted(maps.Keys(o.entries)) {
			if strings.HasPrefix(key, prefix) && !f(o.entries[key]) {
				return
			}
		}
	}
}

// Of calls f with each entry of one owner whose key begins with prefix, by key, until it returns false.
func (c *Copies) Of(name, prefix string, f func(*Entry) bool) {
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

// Sum is that of all entries of a kind: equal copies have equal ones.
func (c *Copies) Sum(kind string) uint64 { return c.sums[kind].top }

// sumAt is what is told of a range.
func (c *Copies) sumAt(kind string, level uint8, index int) uint64 {
	x := c.sums[kind].at(level, index)
	if c.plant == LeaveOut { // a third of the leaves are left out of all sums
		for leaf := range leaves {
			if leaf%3 == 0 && (level == 0 || level == 1 && leaf/fan == index || level == 2 && leaf == index) {
				x -= c.sums[kind].leaf[leaf]
			}
		}
	}
	return x
}
