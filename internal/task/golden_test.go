package task

import (
	"encoding/json"
	"testing"
	"time"

	"sorrelrudder/internal/goldentest"
)

// TestGoldenSnapshot checks that the encoding of a registry is the same as in earlier versions.
func TestGoldenSnapshot(t *testing.T) {
	registry := &Registry{AdmissionSeq: 7, Tasks: map[string]*Record{"sweep": {
		Revision: 11, Token: 4, Slot: 20, Open: true, BegunBy: 4, Attempts: 2, LastOutcome: OutcomeDone, OutcomeCounts: map[Outcome]int64{OutcomeDone: 5, OutcomeUnknown: 1}, Skipped: 3, Triggered: true,
		WaitingSince: 6, Priority: 2, PassedOver: 1, Period: 8, Requests: 12, TookMs: 340,
	}}}
	goldentest.CheckFile(t, "testdata/snapshot.golden", goldentest.Case{
		Value:  registry,
		Encode: func() ([]byte, error) { return json.Marshal(registry) },
		Decode: func(data []byte) (any, error) { return Restore(data) },
	})
}

// TestStoredWords checks the values of operations, outcomes and refusals, which log entries, snapshots and messages contain.
func TestStoredWords(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{string(OpBegin), "begin"}, {string(OpFinish), "finish"}, {string(OpTrigger), "call"},
		{string(OutcomeDone), "done"}, {string(OutcomeRejected), "refused"}, {string(OutcomeFailed), "failed"}, {string(OutcomeUnknown), "unknown"},
		{string(RefusedFenced), "a newer holder has the task"}, {string(RefusedAlreadyBegun), "the slot was begun before"}, {string(RefusedOtherSlotOpen), "another slot is not finished"},
		{string(RefusedNotBegun), "the slot is not begun"}, {string(RefusedConcurrencyLimit), "as many tasks are being done as may be at once"},
		{string(RefusedTooManyTasks), "too many tasks"}, {string(RefusedMalformed), "malformed"},
	} {
		if c.got != c.want {
			t.Errorf("stored value is %q, want %q", c.got, c.want)
		}
	}
}

// TestSlotNumbers checks that the slot and the budget period of a wall clock time, and the idempotency key of a slot, are the same as in
// earlier versions. Slots and periods are stored in the registry, and servers remember the keys.
func TestSlotNumbers(t *testing.T) {
	s := Spec{Name: "sweep", Interval: time.Hour, Offset: 10 * time.Minute, Spread: 30 * time.Minute, Budget: Budget{Period: 24 * time.Hour}}
	wall := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	slot, due := s.SlotAt(wall)
	const wantSlot, wantDue, wantPeriod = 492323, "2026-03-01T11:37:30.847526115Z", 20513
	if got := due.UTC().Format(time.RFC3339Nano); slot != wantSlot || got != wantDue || s.Budget.periodAt(wall) != wantPeriod || s.IdempotencyKey(slot) != "sweep-492323" {
		t.Errorf("slot %d, due %s, period %d, key %s", slot, got, s.Budget.periodAt(wall), s.IdempotencyKey(slot))
	}
}
