package consensus

import (
	"errors"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// TestInvalidLog checks that a node does not start from an inconsistent log.
func TestInvalidLog(t *testing.T) {
	snap, err := BootstrapSnapshot(NewStateMachine("fleet", "a", "a0", []string{"a"}))
	if err != nil {
		t.Fatal(err)
	}
	entry := func(index uint64) *raftpb.Entry { return &raftpb.Entry{Index: &index, Term: ptr(uint64(1))} }
	for name, c := range map[string]struct {
		entries []*raftpb.Entry
		commit  uint64
	}{
		"gap between entries":             {[]*raftpb.Entry{entry(2), entry(4)}, 1},
		"gap after the snapshot":          {[]*raftpb.Entry{entry(3)}, 1},
		"committed beyond the last entry": {[]*raftpb.Entry{entry(2)}, 3},
	} {
		hard := &raftpb.HardState{Term: ptr(uint64(1)), Commit: &c.commit}
		_, err := New(Config{ID: founderID, Persisted: PersistentState{Snapshot: snap, HardState: hard, Entries: c.entries}})
		if !errors.Is(err, ErrInvalidLog) {
			t.Errorf("%s: New returned the error %v, want ErrInvalidLog", name, err)
		}
	}
}

// failingStorage is a Storage whose Save fails.
type failingStorage struct{ err error }

func (s failingStorage) Save(PersistentState, bool) error { return s.err }

// TestStorageFails checks that a node stops after an error of its storage, and that Process returns the error from then on.
func TestStorageFails(t *testing.T) {
	snap, err := BootstrapSnapshot(NewStateMachine("fleet", "a", "a0", []string{"a"}))
	if err != nil {
		t.Fatal(err)
	}
	n, err := New(Config{ID: founderID, Persisted: PersistentState{Snapshot: snap, HardState: BootstrapHardState()}})
	if err != nil {
		t.Fatal(err)
	}
	storage := failingStorage{errors.New("no space")}
	now := time.Duration(0)
	for err == nil && now < time.Minute {
		now += 10 * time.Millisecond
		n.Tick(now)
		_, err = n.Process(now, storage)
	}
	if !errors.Is(err, ErrStorage) || !errors.Is(err, storage.err) {
		t.Fatalf("Process with a failing storage returned the error %v, want ErrStorage with the error of the storage", err)
	}
	if _, nextErr := n.Process(now, volatileStorage{}); !errors.Is(nextErr, ErrStorage) {
		t.Errorf("Process after a storage error returned %v, want ErrStorage", nextErr)
	}
}

// TestRefusalErr checks that a refusal converts to an error with its text, and an empty refusal to nil.
func TestRefusalErr(t *testing.T) {
	var refused *RefusedError
	if err := RefusedConflict.Err(); !errors.As(err, &refused) || refused.Refusal != RefusedConflict || err.Error() != string(RefusedConflict) {
		t.Errorf("Err of RefusedConflict returned %v, want a RefusedError with its text", err)
	}
	if err := Refusal("").Err(); err != nil {
		t.Errorf("Err of an empty refusal returned %v, want nil", err)
	}
}
