package gossip

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

var kinds, decided = []string{"dead"}, []string{"order"}

func anyone(string) bool { return true }

func content(v string) []byte { return append([]byte{valueMark}, v...) }

// drawn is an entry that some process could send, right or not.
func drawn(t *rapid.T) Entry {
	e := Entry{
		Owner: rapid.SampledFrom([]string{"a", "b", ConsensusOwner}).Draw(t, "owner"),
		Key:   rapid.SampledFrom([]string{"dead/x", "dead/y", "order/x"}).Draw(t, "key"),
		Version: Version{
			Incarnation: rapid.Uint64Range(1, 3).Draw(t, "inc"), Sequence: rapid.Uint64Range(1, 3).Draw(t, "seq"),
		},
	}
	for range rapid.IntRange(1, 2).Draw(t, "contents") {
		e.Siblings = append(e.Siblings, rapid.SampledFrom([][]byte{{tombstoneMark}, content("1"), content("2"), content("3"), content("4"), content("5")}).Draw(t, "content"))
	}
	slices.SortFunc(e.Siblings, bytes.Compare)
	e.Siblings = slices.CompactFunc(e.Siblings, bytes.Equal)
	return e
}

type told struct {
	entry *Entry
	owner *OwnerState
}

func drawTold(t *rapid.T) told {
	if rapid.IntRange(0, 5).Draw(t, "what") == 0 {
		return told{owner: &OwnerState{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "of"), rapid.Uint64Range(0, 3).Draw(t, "inc"), rapid.Uint64Range(0, 2).Draw(t, "gone")}}
	}
	e := drawn(t)
	return told{entry: &e}
}

func (c *Store) hear(x told) {
	if x.owner != nil {
		c.ApplyOwnerState(*x.owner)
	} else {
		c.Merge(*x.entry)
	}
}

func (c *Store) all() (all []Entry) {
	c.ForEach("", func(e *Entry) bool { all = append(all, *e); return true })
	return all
}

// TestMergeIsALattice: whatever is told, in whatever order, how often, and whether it comes through another's copies: all hold the same; and
// what one holds of a key never becomes older.
func TestMergeIsALattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heard := rapid.SliceOfN(rapid.Custom(drawTold), 1, 25).Draw(t, "heard")
		one := NewStore(kinds, decided, anyone, NoFault)
		newest := map[EntryID]Version{}
		for _, x := range heard {
			one.hear(x)
			for _, e := range one.all() {
				at := EntryID{e.Owner, e.Key}
				if e.Compare(newest[at]) < 0 {
					t.Fatalf("%v went back from %v to %v", at, newest[at], e.Version)
				}
				newest[at] = e.Version
				if inc, gone := one.Incarnation(e.Owner); e.Incarnation != inc || e.Incarnation <= gone {
					t.Fatalf("%+v is held, and incarnation %d is in force, %d given up", e, inc, gone)
				}
			}
		}
		other := NewStore(kinds, decided, anyone, NoFault)
		for _, i := range rapid.Permutation(indices(len(heard))).Draw(t, "order") {
			other.hear(heard[i])
			other.hear(heard[i])
		}
		// A third hears of all by way of the two.
		third := NewStore(kinds, decided, anyone, NoFault)
		for _, c := range []*Store{other, one} {
			for name, o := range c.owners {
				third.ApplyOwnerState(OwnerState{name, o.incarnation, o.reaped})
			}
			for _, e := range c.all() {
				third.Merge(e)
			}
		}
		for _, c := range []*Store{other, third} {
			if !reflect.DeepEqual(one.all(), c.all()) {
				t.Fatalf("%+v\n%+v", one.all(), c.all())
			}
			for _, kind := range c.kinds {
				if one.Digest(kind) != c.Digest(kind) {
					t.Fatalf("equal copies of %s have unequal sums", kind)
				}
			}
		}
	})
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// TestMostKeys: of an owner with too many keys all copies keep the same, in whatever order they hear of them.
func TestMostKeys(t *testing.T) {
	a, b := NewStore(kinds, nil, anyone, NoFault), NewStore(kinds, nil, anyone, NoFault)
	entry := func(i int) Entry {
		return Entry{Owner: "liar", Key: fmt.Sprintf("dead/%04d", i), Version: Version{1, 1}, Siblings: [][]byte{content("")}}
	}
	for i := range 3 * MaxKeysPerOwner {
		a.Merge(entry(i))
		b.Merge(entry(3*MaxKeysPerOwner - 1 - i))
	}
	if len(a.all()) != MaxKeysPerOwner || a.Digest("dead") != b.Digest("dead") {
		t.Errorf("%d, %d keys, sums %x, %x", len(a.all()), len(b.all()), a.Digest("dead"), b.Digest("dead"))
	}
}

// TestRefused: what is of no known kind or owner, what members say of what only the council decides, and what can't be is kept out and counted.
func TestRefused(t *testing.T) {
	c := NewStore(kinds, decided, func(o string) bool { return o == "a" }, NoFault)
	ok := Entry{"a", "dead/x", Version{1, 1}, [][]byte{content("")}}
	for name, change := range map[string]func(*Entry){
		"kind":            func(e *Entry) { e.Key = "weather/x" },
		"owner":           func(e *Entry) { e.Owner = "stranger" },
		"not the council": func(e *Entry) { e.Key = "order/x" },
		"the council":     func(e *Entry) { e.Owner = ConsensusOwner },
		"no kind":         func(e *Entry) { e.Key = "dead" },
		"no version":      func(e *Entry) { e.Sequence = 0 },
		"no incarnation":  func(e *Entry) { e.Incarnation = 0 },
		"no content":      func(e *Entry) { e.Siblings = nil },
		"order":           func(e *Entry) { e.Siblings = [][]byte{content("b"), content("a")} },
		"long key":        func(e *Entry) { e.Key = "dead/" + string(make([]byte, MaxKeyBytes)) },
		"long value":      func(e *Entry) { e.Siblings = [][]byte{make([]byte, MaxValueBytes+2)} },
		"odd":             func(e *Entry) { e.Siblings = [][]byte{{7}} },
	} {
		e := ok
		change(&e)
		before := c.Counts
		if c.Merge(e) || c.Counts == before || len(c.all()) > 0 {
			t.Errorf("%s: taken, or not counted", name)
		}
	}
	if !c.Merge(ok) || c.Merge(ok) {
		t.Error("a right one is not taken once")
	}
}

// TestDiffer: two contents of one version are both kept, whoever comes first, told, and outlive no newer version.
func TestDiffer(t *testing.T) {
	c := NewStore(kinds, nil, anyone, NoFault)
	e := Entry{"a", "dead/x", Version{1, 2}, [][]byte{content("up")}}
	c.Merge(e)
	e.Siblings = [][]byte{content("down")}
	if !c.Merge(e) || c.Counts.Conflicts != 1 {
		t.Errorf("%+v", c.Counts)
	}
	if got, _ := c.Get("a", "dead/x"); len(got.Values()) != 2 {
		t.Errorf("%q", got.Values())
	}
	e.Sequence++
	if c.Merge(e); len(c.all()) != 1 || len(c.all()[0].Siblings) != 1 {
		t.Errorf("%+v", c.all())
	}
}

func TestMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &Message{Kind: SyncMessage, Seq: rapid.Uint64().Draw(t, "seq"), Target: rapid.StringN(0, 5, 20).Draw(t, "target"), Load: 7, Busy: rapid.Bool().Draw(t, "busy")}
		for range rapid.IntRange(0, 4).Draw(t, "n") {
			e := drawn(t)
			m.Entries = append(m.Entries, e)
			m.Members = append(m.Members, MemberState{e.Owner, e.Incarnation, 3, Suspect, "b"})
			m.Owners = append(m.Owners, OwnerState{e.Owner, e.Incarnation, e.Sequence})
			m.Ranges = append(m.Ranges, RangeDigest{"dead", 1, 3, e.Digest()})
			m.Leaves = append(m.Leaves, LeafDigest{"dead", 200, true, []EntryDigest{{e.Owner, e.Key, e.Version, e.Digest()}}})
		}
		data := m.Encode()
		got, err := Decode(data)
		if err != nil || !reflect.DeepEqual(m, got) {
			t.Fatalf("%v\n%+v\n%+v", err, m, got)
		}
		if cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut"); cut < len(data) {
			if _, err := Decode(data[:cut]); err == nil {
				t.Fatalf("%d of %d bytes were read", cut, len(data))
			}
		}
	})
	if _, err := Decode([]byte{formatVersion + 1, byte(SyncMessage), 0}); !errors.Is(err, ErrUnsupportedFormat) {
		t.Errorf("a newer format: %v", err)
	}
}

// FuzzMessage: whatever comes from a peer is taken or refused, in bounded memory; what is taken can be told on.
func FuzzMessage(f *testing.F) {
	m := &Message{Kind: SyncMessage, Seq: 1, Ranges: []RangeDigest{{"dead", 0, 0, 5}, {membersKind, 2, 255, 5}}, Members: []MemberState{{"b", 9 << incarnationRandomBits, 0, Dead, ""}, {"a", 8 << incarnationRandomBits, 0, Dead, "b"}},
		Owners: []OwnerState{{"b", 1, 1}}, Leaves: []LeafDigest{{"dead", 3, true, []EntryDigest{{"b", "dead/x", Version{1, 1}, 4}}}},
		Entries: []Entry{{"b", "dead/x", Version{1, 1}, [][]byte{content("")}}}}
	f.Add(m.Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := Decode(data)
		if err != nil {
			return
		}
		n := New(0, config("a", 3, 1))
		for _, out := range append(n.Receive(time.Second, "b", got), n.Tick(2*time.Second)...) {
			if _, err := Decode(out.Message.Encode()); err != nil {
				t.Fatalf("what goes out can't be read: %v", err)
			}
		}
	})
}
