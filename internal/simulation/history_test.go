package simulation

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// tokenModel is the sequential specification of the leases: a token that only grows. A grant returns a larger token than all operations
// before it. A read returns no smaller token than any operation before it. A replaced leader could violate this by a stale read.
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
		// Each operation gets its own client ID: a process may have several operations in flight, and porcupine allows a client only one.
		all = append(all, porcupine.Operation{ClientId: i, Call: int64(op.Start), Return: int64(op.End), Output: op})
	}
	return all
}

// maxCheckDuration bounds the time for checking one history.
const maxCheckDuration = 20 * time.Second

// TestLinearizable checks that grants and reads of the leases are linearizable under random faults. It guards against a replaced leader
// that still responds to reads, and against fencing tokens that do not grow.
func TestLinearizable(t *testing.T) {
	total := 0
	for seed := range seeds(8) {
		o := Run(Options{Seed: uint64(seed), RecordHistory: true})
		total += len(o.History)
		if got := porcupine.CheckOperationsTimeout(tokenModel, porcupineOperations(o.History), maxCheckDuration); got != porcupine.Ok {
			t.Errorf("seed %d: linearizability check: %v for %d operations, want Ok", seed, got, len(o.History))
		}
	}
	t.Logf("%d operations", total)
	if total < 100 {
		t.Error("the histories of all seeds have fewer than 100 operations together, want at least 100")
	}
}

// TestLinearizableRejectsStaleRead checks that the model rejects a stale read: one that returns a smaller token than a grant that ended
// before the read started. Without it a model that accepts everything would pass TestLinearizable.
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
		t.Errorf("linearizability check of a history with a stale read: %v, want Illegal", got)
	}
}
