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
		Kind: Sync, Seq: 1 << 40, Target: "fleet-1", Load: 300, Busy: true,
		Members: []MemberState{
			{Name: "fleet-2", Inc: 7<<incBits | 5, Life: 3, State: Suspect, By: "fleet-1"},
			{Name: "fleet-3", Inc: 1 << incBits, State: Left},
		},
		Owners: []OwnerState{{Name: "fleet-2", Inc: 7 << incBits, Gone: 6 << incBits}},
		Entries: []Entry{
			{
				Owner: "fleet-2", Key: "dead/orders/10.0.0.1:80", Version: Version{Inc: 7 << incBits, Seq: 9},
				Contents: [][]byte{{absent}, append([]byte{present}, "why"...)},
			},
			{Owner: Council, Key: "zone/orders/a", Version: Version{Inc: 1<<63 | 1, Seq: 2}, Contents: [][]byte{append([]byte{present}, "0 false 1 down"...)}},
		},
		Ranges: []Range{{Kind: "dead", Level: 2, Index: 255, Sum: 0x0123456789abcdef}, {Kind: membersKind, Sum: 1}},
		Leaves: []Leaf{{Kind: "zone", Index: 17, Ask: true, Heads: []Head{
			{Owner: Council, Key: "zone/orders/a", Version: Version{Inc: 1<<63 | 1, Seq: 2}, Sum: 0xfedcba9876543210},
		}}},
	}
}

// keptMessage is what a process keeps for its next start.
func keptMessage() *Message {
	m := fullMessage()
	return &Message{Kind: Sync, Target: "fleet-1", Owners: []OwnerState{{Name: "fleet-1", Inc: 4<<incBits | 3}}, Entries: m.Entries}
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

// TestMessageForm pins the bytes of messages between members, and of what one keeps for its next start.
func TestMessageForm(t *testing.T) {
	goldentest.CheckForms(t, "messages.golden", []goldentest.Form{
		messageForm("full", fullMessage(), true),
		messageForm("kept", keptMessage(), false),
		messageForm("ping", &Message{Kind: Ping, Seq: 1, Members: []MemberState{{Name: "fleet-1", Inc: 1 << incBits, State: Alive}}}, false),
		messageForm("ack", &Message{Kind: Ack, Seq: 1, Load: 2}, false),
		messageForm("ping request", &Message{Kind: PingReq, Seq: 2, Target: "fleet-3"}, false),
		messageForm("nack", &Message{Kind: Nack, Seq: 2}, false),
		messageForm("gossip", &Message{Kind: Gossip, Members: []MemberState{{Name: "fleet-2", Inc: 1 << incBits, State: Dead}}}, false),
		messageForm("sync", &Message{Kind: Sync, Seq: 3, Ranges: []Range{{Kind: membersKind, Sum: 5}, {Kind: "dead"}}}, false),
	})
	if _, err := Decode([]byte{2, Ping, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}); !errors.Is(err, ErrFormat) {
		t.Errorf("a message of format 2: %v, want ErrFormat", err)
	}
}

// TestKeptForm: what an earlier start has kept is there again, and the process goes on above its own incarnation.
func TestKeptForm(t *testing.T) {
	m := keptMessage()
	cfg := Usual()
	cfg.Name, cfg.Members, cfg.Kinds, cfg.Decided = "fleet-1", []string{"fleet-1", "fleet-2"}, []string{DeadKind}, []string{"zone"}
	n := New(0, cfg)
	n.Restore(0, m)
	for _, want := range m.Entries {
		if got, ok := n.Copies().Get(want.Owner, want.Key); !ok || !reflect.DeepEqual(got, want) {
			t.Errorf("restored %+v, %v, want %+v", got, ok, want)
		}
	}
	if n.Inc()>>incBits != 5 {
		t.Errorf("the process goes on with incarnation %#x", n.Inc())
	}
}

// TestEntryForm pins what a process and the council write into entries: owner, key, number and contents.
func TestEntryForm(t *testing.T) {
	cfg := Usual()
	cfg.Name, cfg.Members, cfg.Kinds, cfg.Decided = "fleet-1", []string{"fleet-1"}, []string{DeadKind, "look"}, []string{"zone"}
	n := New(0, cfg)
	evidence := NewEvidence(1)
	server := ServerKey(DeadKind, "orders", "10.0.0.1:80")
	evidence.Saw(time.Second, n, server, true)
	n.Put("look/orders/a", []byte("1"))
	n.Put("look/orders/b", nil)
	n.Delete("look/orders/b")
	n.Decide("zone/orders/a", 7, []byte("x"))
	n.Decide("zone/orders/b", 8, nil)
	var forms []goldentest.Form
	n.Copies().All("", func(e *Entry) bool {
		text := fmt.Sprintf("%s %d %d %x", e.Owner, e.Inc>>incBits, e.Seq, e.Contents)
		forms = append(forms, goldentest.Form{Name: e.Key, Written: text})
		return true
	})
	goldentest.CheckForms(t, "entries.golden", forms)
	if pool, name, ok := ServerOf(server); pool != "orders" || name != "10.0.0.1:80" || !ok {
		t.Errorf("%s is of pool %q and server %q, %v", server, pool, name, ok)
	}
}

// TestSumForm pins the sums by which members find what differs: two versions that reckon otherwise would never agree.
func TestSumForm(t *testing.T) {
	m := fullMessage()
	c := NewCopies([]string{"dead"}, []string{"zone"}, func(string) bool { return true }, NoPlant)
	for _, e := range m.Entries {
		c.Merge(e)
	}
	e := m.Entries[0]
	leaf := leafOf(e.Owner, e.Key)
	all := []struct {
		name string
		sum  uint64
	}{
		{"entry", e.Sum()}, {"decided entry", m.Entries[1].Sum()}, {"member", m.Members[0].sum()}, {"leaf", uint64(leaf)},
		{"kind", c.Sum("dead")}, {"sixteenth", c.sumAt("dead", 1, leaf/fan)}, {"range of a leaf", c.sumAt("dead", 2, leaf)},
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

// TestCountsForm pins what a process tells of its copies as JSON.
func TestCountsForm(t *testing.T) {
	goldentest.CheckForms(t, "counts.golden", []goldentest.Form{
		jsonForm("figures", Figures{Suspicions: 1, Objections: 2, Deaths: 3, Syncs: 4, Equal: 5, Helped: 6, Turned: 7}),
		jsonForm("counts", Counts{Unknown: 1, Illegal: 2, Full: 3, Differ: 4, Old: 5, Foreign: 6}),
	})
}

// TestNumbers pins the numbers and names that are sent or kept.
func TestNumbers(t *testing.T) {
	for i, kind := range []uint8{Ping, Ack, PingReq, Nack, Gossip, Sync} {
		if int(kind) != i+1 {
			t.Errorf("kind of message %d is %d", i+1, kind)
		}
	}
	names := []string{"alive", "suspect", "dead", "left", "unheard of", "?"}
	for i, s := range []State{Alive, Suspect, Dead, Left, Unheard, Unheard + 1} {
		if int(s) != i || s.String() != names[i] {
			t.Errorf("state %d is %d, %q, want %q", i, s, s, names[i])
		}
	}
	got := []any{format, absent, present, incBits, fan, leaves, Council, membersKind, DeadKind, MostMessage, MostKeyLen, MostValue, mostName, mostDiffers}
	want := []any{1, 0, 1, 16, 16, 256, "*council", "*members", "dead", 1 << 20, 200, 1024, 128, 4}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
