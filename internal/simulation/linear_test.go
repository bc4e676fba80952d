package simulation

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// counter is what leases are to an onlooker: a number that only grows. A grant gives a larger one than all before it, and a look shows
// none that is smaller than what was shown before: one that did would be a leader's that another has replaced.
var counter = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, _, output any) (bool, any) {
		last, op := state.(uint64), output.(Operation)
		if op.Token != 0 {
			return op.Token > last, op.Token
		}
		return op.LastID >= last, op.LastID
	},
	Equal: func(a, b any) bool { return a == b },
}

func porcupineOperations(ops []Operation) []porcupine.Operation {
	var all []porcupine.Operation
	for i, op := range ops {
		// Overlapping asks of one process are as those of several.
		all = append(all, porcupine.Operation{ClientId: i, Call: int64(op.Start), Return: int64(op.End), Output: op})
	}
	return all
}

const checkTime = 20 * time.Second

// TestLinearizable holds the histories of grants and renewals, under drawn faults, to the model.
func TestLinearizable(t *testing.T) {
	total := 0
	for seed := range seeds(t, 8) {
		o := Run(Options{Seed: uint64(seed), RecordHistory: true})
		total += len(o.History)
		if got := porcupine.CheckOperationsTimeout(counter, porcupineOperations(o.History), checkTime); got != porcupine.Ok {
			t.Errorf("seed %d: %v of %d operations", seed, got, len(o.History))
		}
	}
	t.Logf("%d operations", total)
	if total < 100 {
		t.Error("hardly anything was looked at")
	}
}

// TestLinearizableRejectsStaleRead guards against a model that any history fits: a look that shows an older state than one that ended before it began.
func TestLinearizableRejectsStaleRead(t *testing.T) {
	o := Run(Options{Seed: 1, RecordHistory: true})
	var newest Operation
	for i, op := range o.History {
		if op.Token != 0 && newest.Token == 0 {
			newest = op
		}
		if newest.Token != 0 && op.Token == 0 && op.Start > newest.End {
			o.History[i].LastID = newest.Token - 1
			break
		}
	}
	if got := porcupine.CheckOperationsTimeout(counter, porcupineOperations(o.History), checkTime); got != porcupine.Illegal {
		t.Errorf("a stale look fits: %v", got)
	}
}
