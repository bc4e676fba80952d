package consensus

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sorrelrudder/internal/gossip"
)

var decisionKeys = []string{"order/farm/x", "zone/farm/b", "zone/farm/c", "zone/other/b"}

// drawDecision draws a command on a known key, a key of an unknown kind or a key without a pool.
func drawDecision(t *rapid.T) DecisionCommand {
	return DecisionCommand{
		Key: rapid.SampledFrom(append(slices.Clone(decisionKeys), "odd/x", "order")).Draw(t, "key"), Withdraw: rapid.Bool().Draw(t, "lift"), Value: "v",
		Token: rapid.Uint64Range(0, 3).Draw(t, "token"), BasedOn: rapid.Uint64Range(0, 4).Draw(t, "after"),
		NewestZoneDecision: rapid.Uint64Range(0, 40).Draw(t, "seen"), Conditional: rapid.Bool().Draw(t, "built"),
	}
}

// latestZoneNumber returns the number of the newest decision on any zone of the pool in key. It is independent of the code under test.
func latestZoneNumber(m *StateMachine, key string) uint64 {
	latest := uint64(0)
	for other, d := range m.Decisions {
		if key == "zone/farm/b" || key == "zone/farm/c" {
			if other == "zone/farm/b" || other == "zone/farm/c" {
				latest = max(latest, d.Number)
			}
		} else if other == key && other == "zone/other/b" {
			latest = max(latest, d.Number)
		}
	}
	return latest
}

// applyChecked applies a command. It checks that a command that must be refused is refused, and that a refused command changes nothing. It
// returns the number of the decision, 0 for a refusal.
func applyChecked(t *rapid.T, m *StateMachine, c DecisionCommand) uint64 {
	before := m.Decisions[c.Key]
	latest := latestZoneNumber(m, c.Key)
	last, decider := m.LastDecision, m.DeciderToken
	r := m.applyDecision(c)
	if r.Refusal != "" {
		if m.LastDecision != last || m.Decisions[c.Key] != before {
			t.Fatalf("%+v was refused (%s), but changed the state", c, r.Refusal)
		}
		return 0
	}
	if !slices.Contains(decisionKeys, c.Key) || r.Number != last+1 || m.Decisions[c.Key].Number != r.Number {
		t.Fatalf("%+v was applied with the result %+v, want a known key and the next decision number", c, r)
	}
	checked := c.Token != 0 || c.Conditional
	if late := m.Clone().applyDecision(c); checked && late.Refusal == "" {
		t.Fatalf("a duplicate of %+v was applied: %+v", c, late)
	}
	if c.Token != 0 && c.Token < decider || checked && before != nil && before.Number != c.BasedOn {
		t.Fatalf("%+v was applied despite the newer token %d or the newer decision %+v", c, decider, before)
	}
	if c.Token != 0 && latest > c.NewestZoneDecision {
		t.Fatalf("%+v was applied, but its sender did not know decision %d on a zone of the pool", c, latest)
	}
	if c.Withdraw && (before == nil || before.Withdrawn) {
		t.Fatalf("%+v was applied, but there was no decision to withdraw", c)
	}
	return r.Number
}

// TestDecisions checks these properties for random sequences of commands:
//   - Decision numbers increase, and a withdrawn decision keeps its number.
//   - A command of a lease holder with an older token, or without knowledge of the newest decision, changes nothing.
//   - An operator's unconditional command needs no knowledge of earlier decisions.
//   - The checksum does not depend on the order in which a process receives the decisions.
//   - A snapshot preserves decisions and digest.
func TestDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewStateMachine("fleet", "a", "s", []string{"a"})
		var newest uint64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if number := applyChecked(t, m, drawDecision(t)); number != 0 {
				newest = number
			}
		}
		// A process that has all decisions has the same checksum, whatever the order of their arrival.
		var entries []gossip.Entry
		m.DecisionsSince(0, func(key string, d Decision) {
			entries = append(entries, gossip.DecidedEntry(gossip.FleetTag(m.FleetID), key, d.Number, d.Bytes()))
		})
		sum := uint64(0)
		for _, i := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order") {
			if i < len(entries) {
				sum += entries[i].Digest()
			}
		}
		if d := m.digest(); d.Number != newest || d.Checksum != sum {
			t.Fatalf("%+v, want %d, %x", d, newest, sum)
		}
		data, err := m.snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored, err := restore(data)
		if err != nil || *restored.digest() != *m.digest() || restored.DeciderToken != m.DeciderToken {
			t.Fatalf("the state restored from a snapshot differs from the original: %v", err)
		}
	})
}

// TestMaxDecisions checks that at MaxDecisions a new key is refused, and that an existing decision can still be changed.
func TestMaxDecisions(t *testing.T) {
	m := NewStateMachine("fleet", "a", "s", []string{"a"})
	for i := range MaxDecisions {
		if r := m.applyDecision(DecisionCommand{Key: fmt.Sprint("order/farm/", i)}); r.Refusal != "" {
			t.Fatal(r.Refusal)
		}
	}
	if r := m.applyDecision(DecisionCommand{Key: "order/farm/more"}); r.Refusal == "" {
		t.Error("a decision on a new key above MaxDecisions was applied")
	}
	if r := m.applyDecision(DecisionCommand{Key: "order/farm/7", Withdraw: true}); r.Refusal != "" {
		t.Error(r.Refusal)
	}
}
