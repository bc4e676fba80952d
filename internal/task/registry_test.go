package task

import (
	"testing"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// TestRegistry holds for every order of commands: a slot is begun anew only by a newer token that says a repeat does no harm, slots only
// grow, and an older token changes nothing after a newer.
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
					t.Fatalf("%+v was refused (%s), and changed %+v to %+v", c, result.Refusal, before, after)
				}
				continue
			}
			if c.Op == OpTrigger {
				continue
			}
			if c.Token < newest {
				t.Fatalf("%+v was taken after token %d", c, newest)
			}
			newest = c.Token
			if after.Slot < last {
				t.Fatalf("%+v: slot %d after %d", c, after.Slot, last)
			}
			last = after.Slot
			if c.Op == OpBegin && (!before.Open || before.Slot != c.Slot || before.BegunBy != c.Token) {
				if begun[c.Slot]++; begun[c.Slot] > 1 && !c.Rerun {
					t.Fatalf("%+v: the slot was begun before", c)
				}
			}
		}
	})
}
