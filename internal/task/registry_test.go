package task

import (
	"testing"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// TestRegistry checks these properties for random sequences of commands:
//   - A slot is begun again only by a newer token and with Rerun.
//   - Slot numbers increase.
//   - A command with an older token changes nothing after a command with a newer token.
func TestRegistry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry()
		begun := map[int64]int{}
		var newest uint64
		var last int64
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			c := Command{
				Op: rapid.SampledFrom([]Op{OpBegin, OpBegin, OpFinish, OpTrigger}).Draw(t, "op"), Task: "t", Slot: rapid.Int64Range(0, 5).Draw(t, "slot"),
				Token: rapid.Uint64Range(0, 4).Draw(t, "token"), Rerun: rapid.Bool().Draw(t, "again"),
				Outcome: rapid.SampledFrom([]Outcome{OutcomeDone, OutcomeUnknown, "odd"}).Draw(t, "outcome"),
			}
			before := r.Record("t")
			result := r.Apply(c)
			after := result.Record
			if result.Refusal != "" {
				if before.Slot != after.Slot || before.Open != after.Open || before.Token != after.Token {
					t.Fatalf("%+v was refused (%s), but changed %+v to %+v", c, result.Refusal, before, after)
				}
				continue
			}
			if c.Op == OpTrigger {
				continue
			}
			if c.Token < newest {
				t.Fatalf("%+v was applied after a command with token %d", c, newest)
			}
			newest = c.Token
			if after.Slot < last {
				t.Fatalf("%+v: the newest slot is %d, it was %d before", c, after.Slot, last)
			}
			last = after.Slot
			if c.Op == OpBegin && (!before.Open || before.Slot != c.Slot || before.BegunBy != c.Token) {
				if begun[c.Slot]++; begun[c.Slot] > 1 && !c.Rerun {
					t.Fatalf("%+v: the slot was begun a second time without Rerun", c)
				}
			}
		}
	})
}
