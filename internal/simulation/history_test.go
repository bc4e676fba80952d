package simulation

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// tokenModel is the leases as a client sees them: a number that only grows. A grant returns a larger one than all before it, and a read
// none that is smaller than one before: a leader that another has replaced would return one.
var tokenModel = porcupine.Model{
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
		// A process may have several operations in flight, which porcupine allows only of several clients.
		all = append(all, porcupine.Operation{ClientId: i, Call: int64(op.Start), Return: int64(op.End), Output: op})
	}
	return all
}

// maxCheckDuration bounds the check of one history.
const maxCheckDuration = 20 * time.Second

// TestLinearizable checks the histories of grants and reads, under drawn faults, against the model.
func TestLinearizable(t *testing.T) {
	total := 0
	for seed := range seeds(8) {
		o := Run(Options{Seed: uint64(seed), RecordHistory: true})
		total += len(o.History)
		if got := porcupine.CheckOperationsTimeout(tokenModel, porcupineOperations(o.History), maxCheckDuration); got != porcupine.Ok {
			t.Errorf("seed %d: %v of %d operations", seed, got, len(o.History))
		}
	}
	t.Logf("%d operations", total)
	if total < 100 {
		t.Error("there are hardly any operations")
	}
}

// TestLinearizableRejectsStaleRead checks that the model rejects a read that returns an older state than an operation that ended before
// the read began.
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
	if got := porcupine.CheckOperationsTimeout(tokenModel, porcupineOperations(o.History), maxCheckDuration); got != porcupine.Illegal {
		t.Errorf("a stale read is accepted: %v", got)
	}
}
