package gossip

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"sorrelrudder/internal/goldentest"
)

func fullMessage() *Message {
	return &Message{
		Kind: SyncMessage, Seq: 1 << 40, Target: "fleet-1", Load: 300, Busy: true,
		Members: []MemberState{
			{Name: "fleet-2", Incarnation: 7<<incarnationRandomBits | 5, Refutations: 3, State: Suspect, SuspectedBy: "fleet-1"},
			{Name: "fleet-3", Incarnation: 1 << incarnationRandomBits, State: Left},
		},
		Owners: []OwnerState{{Name: "fleet-2", Incarnation: 7 << incarnationRandomBits, Reaped: 6 << incarnationRandomBits}},
		Entries: []Entry{
			{
				Owner: "fleet-2", Key: "dead/orders/10.0.0.1:80", Version: Version{Incarnation: 7 << incarnationRandomBits, Sequence: 9},
				Siblings: [][]byte{{tombstoneMark}, append([]byte{valueMark}, "why"...)},
			},
			{Owner: ConsensusOwner, Key: "zone/orders/a", Version: Version{Incarnation: 1<<63 | 1, Sequence: 2}, Siblings: [][]byte{append([]byte{valueMark}, "0 false 1 down"...)}},
		},
		Ranges: []RangeDigest{{Kind: "dead", Level: 2, Index: 255, Digest: 0x0123456789abcdef}, {Kind: membersKind, Digest: 1}},
		Leaves: []LeafDigest{{Kind: "zone", Index: 17, RequestMissing: true, Entries: []EntryDigest{
			{Owner: ConsensusOwner, Key: "zone/orders/a", Version: Version{Incarnation: 1<<63 | 1, Sequence: 2}, Digest: 0xfedcba9876543210},
		}}},
	}
}

// keptMessage returns the message that a process saves for its next start.
func keptMessage() *Message {
	m := fullMessage()
	return &Message{Kind: SyncMessage, Target: "fleet-1", Owners: []OwnerState{{Name: "fleet-1", Incarnation: 4<<incarnationRandomBits | 3}}, Entries: m.Entries}
}

func messageForm(name string, m *Message, full bool) goldentest.Form {
	read := func(text string) (any, error) {
		data, err := hex.DecodeString(text)
		if err != nil {
			return nil, err
		}
		return Decode(data)
	}
	return goldentest.Form{Name: name, Written: hex.EncodeToString(m.Encode()), Read: read, Value: m, Full: full}
}

// TestMessageForm pins the encoding of messages between members, and of the message that a process saves for its next start.
func TestMessageForm(t *testing.T) {
	goldentest.CheckForms(t, "messages.golden", []goldentest.Form{
		messageForm("full", fullMessage(), true),
		messageForm("kept", keptMessage(), false),
		messageForm("ping", &Message{Kind: PingMessage, Seq: 1, Members: []MemberState{{Name: "fleet-1", Incarnation: 1 << incarnationRandomBits, State: Alive}}}, false),
		messageForm("ack", &Message{Kind: AckMessage, Seq: 1, Load: 2}, false),
		messageForm("ping request", &Message{Kind: PingRequestMessage, Seq: 2, Target: "fleet-3"}, false),
		messageForm("nack", &Message{Kind: NackMessage, Seq: 2}, false),
		messageForm("gossip", &Message{Kind: RumorMessage, Members: []MemberState{{Name: "fleet-2", Incarnation: 1 << incarnationRandomBits, State: Dead}}}, false),
		messageForm("sync", &Message{Kind: SyncMessage, Seq: 3, Ranges: []RangeDigest{{Kind: membersKind, Digest: 5}, {Kind: "dead"}}}, false),
	})
	if _, err := Decode([]byte{2, byte(PingMessage), 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}); !errors.Is(err, ErrUnsupportedFormat) {
		t.Errorf("decoding a message of format version 2: error %v, want ErrUnsupportedFormat", err)
	}
}

// TestKeptForm checks that Restore loads the entries that an earlier start has saved, and continues with a larger incarnation.
func TestKeptForm(t *testing.T) {
	m := keptMessage()
	cfg := DefaultConfig()
	cfg.Name, cfg.Members, cfg.Kinds, cfg.DecidedKinds = "fleet-1", []string{"fleet-1", "fleet-2"}, []string{UnreachableKind}, []string{"zone"}
	n := New(0, cfg)
	n.Restore(0, m)
	for _, want := range m.Entries {
		if got, ok := n.Store().Get(want.Owner, want.Key); !ok || !reflect.DeepEqual(got, want) {
			t.Errorf("restored entry is %+v (present: %v), want %+v", got, ok, want)
		}
	}
	if n.Incarnation()>>incarnationRandomBits != 5 {
		t.Errorf("process continues with incarnation %#x, want ordinal 5", n.Incarnation())
	}
}

// TestEntryForm pins the entries that a process and consensus write: owner, key, version and siblings.
func TestEntryForm(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Name, cfg.Members, cfg.Kinds, cfg.DecidedKinds = "fleet-1", []string{"fleet-1"}, []string{UnreachableKind, "look"}, []string{"zone"}
	n := New(0, cfg)
	reports := NewFailureReports(1)
	endpoint := PoolKey(UnreachableKind, "orders", "10.0.0.1:80")
	reports.Record(time.Second, n, endpoint, true)
	n.Put("look/orders/a", []byte("1"))
	n.Put("look/orders/b", nil)
	n.Delete("look/orders/b")
	n.ApplyDecision("zone/orders/a", 7, []byte("x"))
	n.ApplyDecision("zone/orders/b", 8, nil)
	var forms []goldentest.Form
	n.Store().ForEach("", func(e *Entry) bool {
		text := fmt.Sprintf("%s %d %d %x", e.Owner, e.Incarnation>>incarnationRandomBits, e.Sequence, e.Siblings)
		forms = append(forms, goldentest.Form{Name: e.Key, Written: text})
		return true
	})
	goldentest.CheckForms(t, "entries.golden", forms)
	if pool, name, ok := SplitPoolKey(endpoint); pool != "orders" || name != "10.0.0.1:80" || !ok {
		t.Errorf("key %s is split into pool %q and endpoint %q, ok %v", endpoint, pool, name, ok)
	}
}

// TestSumForm pins the digests with which members find differences. Program versions that compute them differently would never agree.
func TestSumForm(t *testing.T) {
	m := fullMessage()
	c := NewStore([]string{"dead"}, []string{"zone"}, func(string) bool { return true }, NoFault)
	for _, e := range m.Entries {
		c.Merge(e)
	}
	e := m.Entries[0]
	leaf := leafIndex(e.Owner, e.Key)
	all := []struct {
		name string
		sum  uint64
	}{
		{"entry", e.Digest()}, {"decided entry", m.Entries[1].Digest()}, {"member", m.Members[0].digest()}, {"leaf", uint64(leaf)},
		{"kind", c.Digest("dead")}, {"sixteenth", c.rangeDigest("dead", 1, leaf/treeFanout)}, {"range of a leaf", c.rangeDigest("dead", 2, leaf)},
		{"tag of a fleet", FleetTag("5f0c2a")},
	}
	var forms []goldentest.Form
	for _, x := range all {
		forms = append(forms, goldentest.Form{Name: x.name, Written: fmt.Sprintf("%016x", x.sum)})
	}
	goldentest.CheckForms(t, "sums.golden", forms)
}

func jsonForm[T any](name string, value T) goldentest.Form {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	read := func(text string) (any, error) {
		var v T
		err := json.Unmarshal([]byte(text), &v)
		return v, err
	}
	return goldentest.Form{Name: name, Written: string(text), Read: read, Value: value, Full: true}
}

// TestCountsForm pins the JSON encoding of the statistics.
func TestCountsForm(t *testing.T) {
	goldentest.CheckForms(t, "counts.golden", []goldentest.Form{
		jsonForm("figures", Stats{Suspicions: 1, Refutations: 2, Deaths: 3, Syncs: 4, SyncsEqual: 5, CatchUpBytes: 6, CatchUpRejected: 7}),
		jsonForm("counts", Counts{Unknown: 1, Invalid: 2, OverLimit: 3, Conflicts: 4, Stale: 5, ForeignFleet: 6}),
	})
}

// TestNumbers pins the numbers and names that are sent or stored.
func TestNumbers(t *testing.T) {
	for i, kind := range []MessageKind{PingMessage, AckMessage, PingRequestMessage, NackMessage, RumorMessage, SyncMessage} {
		if int(kind) != i+1 {
			t.Errorf("message kind at position %d has value %d", i+1, kind)
		}
	}
	names := []string{"alive", "suspect", "dead", "left", "unheard of", "?"}
	for i, s := range []State{Alive, Suspect, Dead, Left, Unknown, Unknown + 1} {
		if int(s) != i || s.String() != names[i] {
			t.Errorf("state at position %d has value %d and name %q, want name %q", i, s, s, names[i])
		}
	}
	got := []any{formatVersion, tombstoneMark, valueMark, incarnationRandomBits, treeFanout, leafCount, ConsensusOwner, membersKind, UnreachableKind, MaxMessageBytes, MaxKeyBytes, MaxValueBytes, maxNameBytes, maxSiblings}
	want := []any{1, 0, 1, 16, 16, 256, "*council", "*members", "dead", 1 << 20, 200, 1024, 128, 4}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("the encoded numbers and names are %v, want %v", got, want)
	}
}
