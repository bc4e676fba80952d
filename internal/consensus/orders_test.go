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
		f := Founded("fleet", "a", "s", []string{"a"})
		keys := []string{"order/farm/x", "zone/farm/b", "zone/farm/c", "zone/other/b"}
		var newest uint64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			c := OrderCommand{
				Key: rapid.SampledFrom(append(keys, "odd/x", "order")).Draw(t, "key"), Lift: rapid.Bool().Draw(t, "lift"), Value: "v",
				Token: rapid.Uint64Range(0, 3).Draw(t, "token"), After: rapid.Uint64Range(0, 4).Draw(t, "after"),
				Seen: rapid.Uint64Range(0, 40).Draw(t, "seen"), Built: rapid.Bool().Draw(t, "built"),
			}
			before := f.Orders[c.Key]
			latest := uint64(0) // of any zone of the same pool
			for key, o := range f.Orders {
				if c.Key == "zone/farm/b" || c.Key == "zone/farm/c" {
					if key == "zone/farm/b" || key == "zone/farm/c" {
						latest = max(latest, o.Number)
					}
				} else if key == c.Key && key == "zone/other/b" {
					latest = max(latest, o.Number)
				}
			}
			was, decider := f.Ordered, f.Decider
			r := f.order(c)
			if r.Why != "" {
				if f.Ordered != was || f.Orders[c.Key] != before {
					t.Fatalf("%+v was refused (%s), and changed something", c, r.Why)
				}
				continue
			}
			if !slices.Contains(keys, c.Key) || r.Number != was+1 || f.Orders[c.Key].Number != r.Number {
				t.Fatalf("%+v: %+v", c, r)
			}
			if late := f.Clone().order(c); (c.Token != 0 || c.Built) && late.Why == "" {
				t.Fatalf("a second copy of %+v was done: %+v", c, late)
			}
			if c.Token != 0 && c.Token < decider || (c.Token != 0 || c.Built) && before != nil && before.Number != c.After {
				t.Fatalf("%+v was done against token %d and %+v", c, decider, before)
			}
			if c.Token != 0 && latest > c.Seen {
				t.Fatalf("%+v was done without having seen decision %d on another zone", c, latest)
			}
			if c.Lift && (before == nil || before.Lifted) {
				t.Fatalf("%+v: there was nothing to lift", c)
			}
			newest = r.Number
		}
		// Who has all of them, in whatever order they came, has the same sum.
		var entries []gossip.Entry
		f.OrdersSince(0, func(key string, o Order) {
			entries = append(entries, gossip.DecidedEntry(gossip.FleetTag(f.ID), key, o.Number, o.Bytes()))
		})
		sum := uint64(0)
		for _, i := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order") {
			if i < len(entries) {
				sum += entries[i].Digest()
			}
		}
		if d := f.decided(); d.Number != newest || d.Sum != sum {
			t.Fatalf("%+v, want %d, %x", d, newest, sum)
		}
		data, err := f.snapshot()
		if err != nil {
			t.Fatal(err)
		}
		again, err := restore(data)
		if err != nil || *again.decided() != *f.decided() || again.Decider != f.Decider {
			t.Fatalf("a snapshot reads as another: %v", err)
		}
	})
}

// TestMostOrders: beyond the bound new keys are refused, and those that are there can still be changed.
func TestMostOrders(t *testing.T) {
	f := Founded("fleet", "a", "s", []string{"a"})
	for i := range MostOrders {
		if r := f.order(OrderCommand{Key: fmt.Sprint("order/farm/", i)}); r.Why != "" {
			t.Fatal(r.Why)
		}
	}
	if r := f.order(OrderCommand{Key: "order/farm/more"}); r.Why == "" {
		t.Error("one more is taken")
	}
	if r := f.order(OrderCommand{Key: "order/farm/7", Lift: true}); r.Why != "" {
		t.Error(r.Why)
	}
}
