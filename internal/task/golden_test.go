package task

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "write the golden files from the present code")

// TestGoldenSnapshot: the book is written and read as it was by earlier versions.
func TestGoldenSnapshot(t *testing.T) {
	b := &Book{Asks: 7, Tasks: map[string]*Page{"sweep": {
		Rev: 11, Token: 4, Slot: 20, Open: true, By: 4, Begun: 2, Last: Done, Counts: map[Outcome]int64{Done: 5, Unknown: 1}, Skipped: 3, Called: true,
		Waits: 6, Priority: 2, Passed: 1, Period: 8, Requests: 12, TookMs: 340,
	}}}
	const file = "testdata/snapshot.golden"
	got, err := json.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("encoded\n got %s\nwant %s", got, want)
	}
	if read, err := Restore(want); err != nil || !reflect.DeepEqual(read, b) {
		t.Errorf("decoded, %v\n got %+v\nwant %+v", err, read, b)
	}
}

// TestStoredWords: the words that stand in entries, snapshots and messages keep their spelling.
func TestStoredWords(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{string(Begin), "begin"}, {string(Finish), "finish"}, {string(Call), "call"},
		{string(Done), "done"}, {string(Refused), "refused"}, {string(Failed), "failed"}, {string(Unknown), "unknown"},
		{string(Fenced), "a newer holder has the task"}, {string(Taken), "the slot was begun before"}, {string(Running), "another slot is not finished"},
		{string(NotBegun), "the slot is not begun"}, {string(Crowded), "as many tasks are being done as may be at once"},
		{string(Full), "too many tasks"}, {string(Malformed), "malformed"},
	} {
		if c.got != c.want {
			t.Errorf("%q was %q", c.got, c.want)
		}
	}
}

// TestSlotNumbers: two versions give one moment the same slot, which is stored, and a slot the same idempotency key, which servers remember.
func TestSlotNumbers(t *testing.T) {
	s := Spec{Name: "sweep", Every: time.Hour, At: 10 * time.Minute, Spread: 30 * time.Minute, Budget: Budget{Per: 24 * time.Hour}}
	wall := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	slot, due := s.Slot(wall)
	const wantSlot, wantDue, wantPeriod = 492323, "2026-03-01T11:37:30.847526115Z", 20513
	if got := due.UTC().Format(time.RFC3339Nano); slot != wantSlot || got != wantDue || s.Budget.period(wall) != wantPeriod || s.Key(slot) != "sweep-492323" {
		t.Errorf("slot %d, due %s, period %d, key %s", slot, got, s.Budget.period(wall), s.Key(slot))
	}
}
