package consensus

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sorrelrudder/internal/gossip"
)

// TestOrders: numbers only grow; a holder with an older token, or one that has not heard of the newest decision, changes nothing; an operator
// always may; what was lifted keeps its number.
func TestOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewStateMachine("fleet", "a", "s", []string{"a"})
		keys := []string{"order/farm/x", "zone/farm/b", "zone/farm/c", "zone/other/b"}
		var newest uint64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			c := DecisionCommand{
				Key: rapid.SampledFrom(append(keys, "odd/x", "order")).Draw(t, "key"), Withdraw: rapid.Bool().Draw(t, "lift"), Value: "v",
				Token: rapid.Uint64Range(0, 3).Draw(t, "token"), BasedOn: rapid.Uint64Range(0, 4).Draw(t, "after"),
				LastSeenZone: rapid.Uint64Range(0, 40).Draw(t, "seen"), Conditional: rapid.Bool().Draw(t, "built"),
			}
			before := f.Decisions[c.Key]
			latest := uint64(0) // of any zone of the same pool
			for key, o := range f.Decisions {
				if c.Key == "zone/farm/b" || c.Key == "zone/farm/c" {
					if key == "zone/farm/b" || key == "zone/farm/c" {
						latest = max(latest, o.Number)
					}
				} else if key == c.Key && key == "zone/other/b" {
					latest = max(latest, o.Number)
				}
			}
			was, decider := f.LastDecision, f.DeciderToken
			r := f.applyDecision(c)
			if r.Refusal != "" {
				if f.LastDecision != was || f.Decisions[c.Key] != before {
					t.Fatalf("%+v was refused (%s), and changed something", c, r.Refusal)
				}
				continue
			}
			if !slices.Contains(keys, c.Key) || r.Number != was+1 || f.Decisions[c.Key].Number != r.Number {
				t.Fatalf("%+v: %+v", c, r)
			}
			if late := f.Clone().applyDecision(c); (c.Token != 0 || c.Conditional) && late.Refusal == "" {
				t.Fatalf("a second copy of %+v was done: %+v", c, late)
			}
			if c.Token != 0 && c.Token < decider || (c.Token != 0 || c.Conditional) && before != nil && before.Number != c.BasedOn {
				t.Fatalf("%+v was done against token %d and %+v", c, decider, before)
			}
			if c.Token != 0 && latest > c.LastSeenZone {
				t.Fatalf("%+v was done without having seen decision %d on another zone", c, latest)
			}
			if c.Withdraw && (before == nil || before.Withdrawn) {
				t.Fatalf("%+v: there was nothing to lift", c)
			}
			newest = r.Number
		}
		// Who has all of them, in whatever order they came, has the same sum.
		var entries []gossip.Entry
		f.DecisionsSince(0, func(key string, o Decision) {
			entries = append(entries, gossip.DecidedEntry(gossip.FleetTag(f.FleetID), key, o.Number, o.Bytes()))
		})
		sum := uint64(0)
		for _, i := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order") {
			if i < len(entries) {
				sum += entries[i].Digest()
			}
		}
		if d := f.digest(); d.Number != newest || d.Checksum != sum {
			t.Fatalf("%+v, want %d, %x", d, newest, sum)
		}
		data, err := f.snapshot()
		if err != nil {
			t.Fatal(err)
		}
		again, err := restore(data)
		if err != nil || *again.digest() != *f.digest() || again.DeciderToken != f.DeciderToken {
			t.Fatalf("a snapshot reads as another: %v", err)
		}
	})
}

// TestMostOrders: beyond the bound new keys are refused, and those that are there can still be changed.
func TestMostOrders(t *testing.T) {
	f := NewStateMachine("fleet", "a", "s", []string{"a"})
	for i := range MaxDecisions {
		if r := f.applyDecision(DecisionCommand{Key: fmt.Sprint("order/farm/", i)}); r.Refusal != "" {
			t.Fatal(r.Refusal)
		}
	}
	if r := f.applyDecision(DecisionCommand{Key: "order/farm/more"}); r.Refusal == "" {
		t.Error("one more is taken")
	}
	if r := f.applyDecision(DecisionCommand{Key: "order/farm/7", Withdraw: true}); r.Refusal != "" {
		t.Error(r.Refusal)
	}
}
