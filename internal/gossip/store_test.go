package gossip

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

var kinds, decidedKinds = []string{"dead"}, []string{"order"}

// anyMember accepts any name as that of a member.
func anyMember(string) bool { return true }

// valueSibling returns the sibling for a value.
func valueSibling(v string) []byte { return append([]byte{valueMark}, v...) }

// drawEntry draws an entry that a process could send, including entries that a correct process never sends.
func drawEntry(t *rapid.T) Entry {
	e := Entry{
		Owner: rapid.SampledFrom([]string{"a", "b", ConsensusOwner}).Draw(t, "owner"),
		Key:   rapid.SampledFrom([]string{"dead/x", "dead/y", "order/x"}).Draw(t, "key"),
		Version: Version{
			Incarnation: rapid.Uint64Range(1, 3).Draw(t, "inc"), Sequence: rapid.Uint64Range(1, 3).Draw(t, "seq"),
		},
	}
	for range rapid.IntRange(1, 2).Draw(t, "contents") {
		e.Siblings = append(e.Siblings, rapid.SampledFrom([][]byte{{tombstoneMark}, valueSibling("1"), valueSibling("2"), valueSibling("3"), valueSibling("4"), valueSibling("5")}).Draw(t, "content"))
	}
	slices.SortFunc(e.Siblings, bytes.Compare)
	e.Siblings = slices.CompactFunc(e.Siblings, bytes.Equal)
	return e
}

// update is an entry or an owner state.
type update struct {
	entry *Entry
	owner *OwnerState
}

func drawUpdate(t *rapid.T) update {
	if rapid.IntRange(0, 5).Draw(t, "what") == 0 {
		return update{owner: &OwnerState{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "of"), rapid.Uint64Range(0, 3).Draw(t, "inc"), rapid.Uint64Range(0, 2).Draw(t, "gone")}}
	}
	e := drawEntry(t)
	return update{entry: &e}
}

func (s *Store) apply(u update) {
	if u.owner != nil {
		s.ApplyOwnerState(*u.owner)
	} else {
		s.Merge(*u.entry)
	}
}

func (s *Store) all() (all []Entry) {
	s.ForEach("", func(e *Entry) bool { all = append(all, *e); return true })
	return all
}

// TestMergeIsALattice checks that replicas are equal after they have received the same updates in any order, repeatedly, or through
// other replicas, and that no entry is replaced by an older one.
func TestMergeIsALattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(drawUpdate), 1, 25).Draw(t, "updates")
		one := NewStore(kinds, decidedKinds, anyMember, NoFault)
		newest := map[EntryID]Version{}
		for _, u := range updates {
			one.apply(u)
			checkNewest(t, one, newest)
		}
		other := NewStore(kinds, decidedKinds, anyMember, NoFault)
		for _, i := range rapid.Permutation(indices(len(updates))).Draw(t, "order") {
			other.apply(updates[i])
			other.apply(updates[i])
		}
		third := NewStore(kinds, decidedKinds, anyMember, NoFault)
		third.applyAll(other)
		third.applyAll(one)
		checkEqual(t, one, other)
		checkEqual(t, one, third)
	})
}

// checkNewest checks that no entry is older than the newest one so far, and that all entries are of the owner's current incarnation.
func checkNewest(t *rapid.T, s *Store, newest map[EntryID]Version) {
	for _, e := range s.all() {
		id := EntryID{e.Owner, e.Key}
		if e.Compare(newest[id]) < 0 {
			t.Fatalf("entry %v went back from version %v to %v", id, newest[id], e.Version)
		}
		newest[id] = e.Version
		if incarnation, reaped := s.Incarnation(e.Owner); e.Incarnation != incarnation || e.Incarnation <= reaped {
			t.Fatalf("entry %+v is present although incarnation %d is the newest and %d is reaped", e, incarnation, reaped)
		}
	}
}

// applyAll merges all owner states and entries of another replica.
func (s *Store) applyAll(other *Store) {
	for name, owner := range other.owners {
		s.ApplyOwnerState(OwnerState{name, owner.incarnation, owner.reaped})
	}
	for _, e := range other.all() {
		s.Merge(e)
	}
}

func checkEqual(t *rapid.T, a, b *Store) {
	if !reflect.DeepEqual(a.all(), b.all()) {
		t.Fatalf("replicas differ:\n%+v\n%+v", a.all(), b.all())
	}
	for _, kind := range b.kinds {
		if a.Digest(kind) != b.Digest(kind) {
			t.Fatalf("equal replicas have different digests of kind %s", kind)
		}
	}
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// TestMaxKeysPerOwner checks that all replicas keep the same keys of an owner with too many keys, in whatever order these arrive.
func TestMaxKeysPerOwner(t *testing.T) {
	a, b := NewStore(kinds, nil, anyMember, NoFault), NewStore(kinds, nil, anyMember, NoFault)
	entry := func(i int) Entry {
		return Entry{Owner: "member", Key: fmt.Sprintf("dead/%04d", i), Version: Version{1, 1}, Siblings: [][]byte{valueSibling("")}}
	}
	for i := range 3 * MaxKeysPerOwner {
		a.Merge(entry(i))
		b.Merge(entry(3*MaxKeysPerOwner - 1 - i))
	}
	if len(a.all()) != MaxKeysPerOwner || a.Digest("dead") != b.Digest("dead") {
		t.Errorf("replicas have %d and %d keys, want MaxKeysPerOwner, and digests %x and %x, want equal ones", len(a.all()), len(b.all()), a.Digest("dead"), b.Digest("dead"))
	}
}

// TestRejectedEntries checks that an entry is rejected and counted if it is malformed, of an unknown kind or owner, or written by a
// member under a key that only consensus decides.
func TestRejectedEntries(t *testing.T) {
	c := NewStore(kinds, decidedKinds, func(o string) bool { return o == "a" }, NoFault)
	ok := Entry{"a", "dead/x", Version{1, 1}, [][]byte{valueSibling("")}}
	for name, change := range map[string]func(*Entry){
		"kind":           func(e *Entry) { e.Key = "weather/x" },
		"owner":          func(e *Entry) { e.Owner = "stranger" },
		"not consensus":  func(e *Entry) { e.Key = "order/x" },
		"consensus":      func(e *Entry) { e.Owner = ConsensusOwner },
		"no kind":        func(e *Entry) { e.Key = "dead" },
		"no version":     func(e *Entry) { e.Sequence = 0 },
		"no incarnation": func(e *Entry) { e.Incarnation = 0 },
		"no content":     func(e *Entry) { e.Siblings = nil },
		"order":          func(e *Entry) { e.Siblings = [][]byte{valueSibling("b"), valueSibling("a")} },
		"long key":       func(e *Entry) { e.Key = "dead/" + string(make([]byte, MaxKeyBytes)) },
		"long value":     func(e *Entry) { e.Siblings = [][]byte{make([]byte, MaxValueBytes+2)} },
		"odd":            func(e *Entry) { e.Siblings = [][]byte{{7}} },
	} {
		e := ok
		change(&e)
		before := c.Counts
		if c.Merge(e) || c.Counts == before || len(c.all()) > 0 {
			t.Errorf("%s: entry was merged, or its rejection was not counted", name)
		}
	}
	if !c.Merge(ok) || c.Merge(ok) {
		t.Error("a valid entry was not merged exactly once")
	}
}

// TestSiblings checks that two different values of the same version are both kept and counted as a conflict, and that a newer version
// replaces both.
func TestSiblings(t *testing.T) {
	c := NewStore(kinds, nil, anyMember, NoFault)
	e := Entry{"a", "dead/x", Version{1, 2}, [][]byte{valueSibling("up")}}
	c.Merge(e)
	e.Siblings = [][]byte{valueSibling("down")}
	if !c.Merge(e) || c.Counts.Conflicts != 1 {
		t.Errorf("merging a second value of the same version failed or was not counted as 1 conflict: counts are %+v", c.Counts)
	}
	if got, _ := c.Get("a", "dead/x"); len(got.Values()) != 2 {
		t.Errorf("values of the entry are %q, want both values of the version", got.Values())
	}
	e.Sequence++
	if c.Merge(e); len(c.all()) != 1 || len(c.all()[0].Siblings) != 1 {
		t.Errorf("entries after a newer version are %+v, want one entry with one sibling", c.all())
	}
}
