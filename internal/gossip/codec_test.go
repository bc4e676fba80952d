package gossip

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMessageCodec checks that Decode reverses Encode for random messages, and rejects truncated messages and other format versions.
func TestMessageCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &Message{Kind: SyncMessage, Seq: rapid.Uint64().Draw(t, "seq"), Target: rapid.StringN(0, 5, 20).Draw(t, "target"), Load: 7, Busy: rapid.Bool().Draw(t, "busy")}
		for range rapid.IntRange(0, 4).Draw(t, "n") {
			e := drawEntry(t)
			m.Entries = append(m.Entries, e)
			m.Members = append(m.Members, MemberState{e.Owner, e.Incarnation, 3, Suspect, "b"})
			m.Owners = append(m.Owners, OwnerState{e.Owner, e.Incarnation, e.Sequence})
			m.Ranges = append(m.Ranges, RangeDigest{"dead", 1, 3, e.Digest()})
			m.Leaves = append(m.Leaves, LeafDigest{"dead", 200, true, []EntryDigest{{e.Owner, e.Key, e.Version, e.Digest()}}})
		}
		data := m.Encode()
		got, err := Decode(data)
		if err != nil || !reflect.DeepEqual(m, got) {
			t.Fatalf("decoding an encoded message failed or changed the message: error %v\nwant %+v\ngot  %+v", err, m, got)
		}
		if cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut"); cut < len(data) {
			if _, err := Decode(data[:cut]); err == nil {
				t.Fatalf("message truncated to %d of %d bytes was decoded without an error", cut, len(data))
			}
		}
	})
	if _, err := Decode([]byte{formatVersion + 1, byte(SyncMessage), 0}); !errors.Is(err, ErrUnsupportedFormat) {
		t.Errorf("decoding a message of a newer format version: error %v, want ErrUnsupportedFormat", err)
	}
}

// FuzzMessage checks that any data from a peer is decoded or rejected in bounded memory, and that the replies can be decoded.
func FuzzMessage(f *testing.F) {
	m := &Message{Kind: SyncMessage, Seq: 1, Ranges: []RangeDigest{{"dead", 0, 0, 5}, {membersKind, 2, 255, 5}}, Members: []MemberState{{"b", 9 << incarnationRandomBits, 0, Dead, ""}, {"a", 8 << incarnationRandomBits, 0, Dead, "b"}},
		Owners: []OwnerState{{"b", 1, 1}}, Leaves: []LeafDigest{{"dead", 3, true, []EntryDigest{{"b", "dead/x", Version{1, 1}, 4}}}},
		Entries: []Entry{{"b", "dead/x", Version{1, 1}, [][]byte{valueSibling("")}}}}
	f.Add(m.Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := Decode(data)
		if err != nil {
			return
		}
		n := New(0, config("a", 3, 1))
		for _, out := range append(n.Receive(time.Second, "b", got), n.Tick(2*time.Second)...) {
			if _, err := Decode(out.Message.Encode()); err != nil {
				t.Fatalf("outgoing message cannot be decoded: %v", err)
			}
		}
	})
}
