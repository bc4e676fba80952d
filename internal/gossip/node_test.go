package gossip

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// TestNodeInAnyFleet guards against a panic of a node, which would end its process: in a fleet of any size, whatever its members send and in
// whatever order. Each message that it sends must go to another member.
func TestNodeInAnyFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 4).Draw(t, "size")
		now := time.Duration(0)
		n := New(now, config("a", size, rapid.Uint64().Draw(t, "seed")))
		check := func(out []Envelope) {
			for _, o := range out {
				if n.members[o.To] == nil {
					t.Fatalf("a message goes to %q, which is not another member", o.To)
				}
				if _, err := Decode(o.Message.Encode()); err != nil {
					t.Fatalf("a message cannot be decoded: %v", err)
				}
			}
		}
		key := rapid.SampledFrom([]string{"dead/x", "dead/y"})
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				now += rapid.SampledFrom([]time.Duration{0, 50 * ms, time.Second, 20 * time.Second}).Draw(t, "pause")
				check(n.Tick(now))
			},
			"put":    func(t *rapid.T) { n.Put(key.Draw(t, "key"), []byte("1")) },
			"delete": func(t *rapid.T) { n.Delete(key.Draw(t, "key")) },
			"decide": func(t *rapid.T) { n.ApplyDecision("order/x", rapid.Uint64().Draw(t, "number"), nil) },
			"receive": func(t *rapid.T) {
				from := rapid.SampledFrom(names(4)).Draw(t, "from")
				check(n.Receive(now, from, drawMessage(t, n.lastSeq)))
			},
		})
		check(n.Leave(now))
	})
}

// drawMessage returns a random message that Decode accepts. It may answer one of the latest requests of a node whose newest is lastSeq.
func drawMessage(t *rapid.T, lastSeq uint64) *Message {
	name := rapid.SampledFrom(append(names(5), ConsensusOwner, ""))
	number := rapid.SampledFrom([]uint64{0, 1, 2, 1 << incarnationRandomBits, 3 << incarnationRandomBits, math.MaxUint64})
	m := &Message{
		Kind: MessageKind(rapid.IntRange(int(PingMessage), int(SyncMessage)).Draw(t, "kind")),
		Seq:  lastSeq - min(lastSeq, rapid.Uint64Range(0, 2).Draw(t, "requests ago")), Target: name.Draw(t, "target"), Load: uint16(rapid.IntRange(0, 9).Draw(t, "load")), Busy: rapid.Bool().Draw(t, "busy"),
	}
	for range rapid.IntRange(0, 3).Draw(t, "records") {
		owner, version := name.Draw(t, "owner"), Version{number.Draw(t, "incarnation"), number.Draw(t, "sequence")}
		kind := rapid.SampledFrom([]string{"dead", "order", membersKind, "unknown"}).Draw(t, "records of")
		digest := number.Draw(t, "digest")
		entry := drawEntry(t)
		entry.Owner, entry.Version = owner, version
		m.Entries = append(m.Entries, entry)
		m.Members = append(m.Members, MemberState{owner, version.Incarnation, uint32(version.Sequence), State(rapid.IntRange(int(Alive), int(Unknown)).Draw(t, "state")), name.Draw(t, "by")})
		m.Owners = append(m.Owners, OwnerState{owner, version.Incarnation, version.Sequence})
		m.Ranges = append(m.Ranges, RangeDigest{kind, uint8(rapid.IntRange(0, 4).Draw(t, "level")), rapid.Uint16().Draw(t, "range"), digest})
		m.Leaves = append(m.Leaves, LeafDigest{kind, rapid.Uint16().Draw(t, "leaf"), rapid.Bool().Draw(t, "request"), []EntryDigest{{owner, entry.Key, version, digest}}})
	}
	decoded, err := Decode(m.Encode())
	if err != nil {
		t.Fatalf("the drawn message cannot be decoded: %v", err)
	}
	return decoded
}
