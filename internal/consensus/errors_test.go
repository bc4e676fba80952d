package consensus

import (
	"errors"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// TestInvalidLog: a node does not start from a log that it can't have written.
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
		"a gap in the log":              {[]*raftpb.Entry{entry(2), entry(4)}, 1},
		"a gap after the snapshot":      {[]*raftpb.Entry{entry(3)}, 1},
		"committed beyond the last one": {[]*raftpb.Entry{entry(2)}, 3},
	} {
		hard := &raftpb.HardState{Term: ptr(uint64(1)), Commit: &c.commit}
		_, err := New(Config{ID: founderID, Persisted: PersistentState{Snapshot: snap, HardState: hard, Entries: c.entries}})
		if !errors.Is(err, ErrInvalidLog) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// failingStorage is a Storage that can't write.
type failingStorage struct{ err error }

func (s failingStorage) Save(PersistentState, bool) error { return s.err }

// TestStorageFails: after an error of the storage a node does nothing any more, and says why.
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
		t.Fatalf("%v", err)
	}
	if _, again := n.Process(now, volatileStorage{}); !errors.Is(again, ErrStorage) {
		t.Errorf("it goes on: %v", again)
	}
}

// TestRefusalErr: a refusal is an error that says why, and none is none.
func TestRefusalErr(t *testing.T) {
	var refused *RefusedError
	if err := RefusedConflict.Err(); !errors.As(err, &refused) || refused.Refusal != RefusedConflict || err.Error() != string(RefusedConflict) {
		t.Errorf("%v", err)
	}
	if err := Refusal("").Err(); err != nil {
		t.Errorf("%v", err)
	}
}
