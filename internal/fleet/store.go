package fleet

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sorrelrudder/internal/consensus"
)

// diskFaultsVariable names an environment variable for end-to-end tests. Its value is the path of a file with the disk fault to inject:
// "fail" (the next sync fails), "full" or "slow DURATION".
const diskFaultsVariable = "SORRELRUDDER_LAB_DISK"

// Identity identifies the process and the fleet that a store belongs to.
type Identity struct {
	Format int    `json:"format"`
	Name   string `json:"name"`            // name of the process
	Store  string `json:"store"`           // random ID, generated with the store; another store is another identity
	Fleet  string `json:"fleet,omitempty"` // empty: not admitted to a fleet yet
	ID     uint64 `json:"id,omitempty"`
}

const (
	storeFormat    = 1
	indexKeyLength = 8          // bytes in the key of a log entry
	maxIndex       = ^uint64(0) // largest index of a log entry
	openTimeout    = 2 * time.Second
	maxSlowDisk    = time.Minute // longest delay that an end-to-end test may inject
)

var (
	identityBucket = []byte("identity")
	stateBucket    = []byte("state")
	entryBucket    = []byte("entries")
	identityKey    = []byte("it")
	hardStateKey   = []byte("hard")
	snapshotKey    = []byte("snapshot")
)

// Store keeps the persistent state of a voter in a file. It is the consensus.Storage of a voter whose state is not in memory. Only Syncs is
// safe for concurrent use.
type Store struct {
	db     *bbolt.DB
	path   string
	id     Identity
	faults string // path of the file with the fault to inject; empty: none
	syncs  atomic.Int64
}

// ErrStoreDamaged is wrapped by errors about a store whose contents cannot be trusted. Nothing in such a store is deleted.
var ErrStoreDamaged = errors.New("the store is damaged")

// recoverDamage calls read and returns a fault or panic of read as an error that wraps ErrStoreDamaged. A file that is too short faults
// where it is mapped into memory. A file whose pages point outside it makes bbolt panic.
func recoverDamage(path string, read func() error) (err error) {
	was := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(was)
	defer func() {
		if r := recover(); r != nil {
			err = storeDamagedError(path, fmt.Errorf("reading the file: %v", r))
		}
	}()
	return read()
}

// OpenStore opens the store of the process of that name, and creates it if the file does not exist. The error wraps ErrStoreDamaged if the
// contents of the file are damaged.
func OpenStore(path, name string) (s *Store, err error) {
	err = recoverDamage(path, func() error {
		s, err = openStore(path, name)
		return err
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

func openStore(path, name string) (*Store, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout, FreelistType: bbolt.FreelistMapType})
	switch {
	case errors.Is(err, berrors.ErrTimeout):
		return nil, fmt.Errorf("%s: another process has this store open", path)
	case errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrChecksum), errors.Is(err, berrors.ErrVersionMismatch):
		return nil, storeDamagedError(path, err)
	case err != nil:
		return nil, fmt.Errorf("opening the store: %w", err)
	}
	s := &Store{db: db, path: path, faults: os.Getenv(diskFaultsVariable)}
	err = db.Update(func(tx *bbolt.Tx) error {
		if tx.Bucket(identityBucket) == nil {
			return s.create(tx, name)
		}
		return s.readIdentity(tx)
	})
	switch {
	case err != nil:
	case s.id.Format != storeFormat:
		err = fmt.Errorf("%s: the store has format %d: this program supports format %d", path, s.id.Format, storeFormat)
	case s.id.Name != name:
		err = fmt.Errorf("%s: this is the store of %q, not of %q: a process must not vote with the state of another", path, s.id.Name, name)
	}
	if err != nil {
		db.Close()
		return nil, err
	}
	return s, nil
}

// create creates the buckets of a new store and generates its identity.
func (s *Store) create(tx *bbolt.Tx, name string) error {
	for _, bucket := range [][]byte{identityBucket, stateBucket, entryBucket} {
		if _, err := tx.CreateBucket(bucket); err != nil {
			return err
		}
	}
	s.id = Identity{Format: storeFormat, Name: name, Store: uuid.NewString()}
	return s.putIdentity(tx)
}

// readIdentity reads the identity of an existing store and checks that all buckets exist.
func (s *Store) readIdentity(tx *bbolt.Tx) error {
	data, err := removeChecksum(tx.Bucket(identityBucket).Get(identityKey))
	if err == nil {
		err = json.Unmarshal(data, &s.id)
	}
	if err != nil {
		return storeDamagedError(s.path, err)
	}
	if tx.Bucket(stateBucket) == nil || tx.Bucket(entryBucket) == nil {
		return storeDamagedError(s.path, errors.New("a bucket is missing"))
	}
	return nil
}

// storeDamagedError returns an error that says how an operator can recover from a damaged store.
func storeDamagedError(path string, err error) error {
	return fmt.Errorf("%s: %w: %w; rename the file (keep it until the consensus group has a leader: it may be the only copy of the state) and start the process again: "+
		"it returns as a learner, and 'sorrelrudder tier member replace' lets it vote", path, ErrStoreDamaged, err)
}

// Identity returns the identity of the store.
func (s *Store) Identity() Identity { return s.id }

// Syncs returns the number of synced writes since the store was opened.
func (s *Store) Syncs() int64 { return s.syncs.Load() }

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

func (s *Store) putIdentity(tx *bbolt.Tx) error {
	data, err := json.Marshal(s.id)
	if err != nil {
		return err
	}
	return tx.Bucket(identityBucket).Put(identityKey, addChecksum(data))
}

// SaveIdentity saves the identity that the consensus group has assigned. It must return before the identity is used.
func (s *Store) SaveIdentity(fleet string, id uint64) error {
	was := s.id
	s.id.Fleet, s.id.ID = fleet, id
	if err := s.db.Update(s.putIdentity); err != nil {
		s.id = was
		return fmt.Errorf("saving the identity to the store: %w", err)
	}
	return nil
}

// Bootstrap initializes an empty store as that of the first voter of a new fleet, in which the members in names may vote.
func (s *Store) Bootstrap(names []string) error {
	if s.id.ID != 0 {
		return fmt.Errorf("%s: the store already has identity %d in fleet %s; nothing was changed", s.path, s.id.ID, s.id.Fleet)
	}
	fleet := uuid.NewString()
	snap, err := consensus.BootstrapSnapshot(consensus.NewStateMachine(fleet, s.id.Name, s.id.Store, names))
	if err != nil {
		return err
	}
	if err := s.Save(consensus.PersistentState{Snapshot: snap, HardState: consensus.BootstrapHardState()}, true); err != nil {
		return err
	}
	return s.SaveIdentity(fleet, firstVoterID)
}

func indexKey(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// Save implements consensus.Storage. A state that need not be synced is not written, since the node learns it again after a crash.
func (s *Store) Save(v consensus.PersistentState, sync bool) error {
	if err := s.injectFault(); err != nil {
		return err
	}
	if !sync {
		return nil
	}
	s.syncs.Add(1)
	if err := s.db.Update(func(tx *bbolt.Tx) error { return saveState(tx, v) }); err != nil {
		return fmt.Errorf("%s: %w", s.path, err)
	}
	return nil
}

// saveState writes the parts of the hard state, the snapshot and the log that have changed.
func saveState(tx *bbolt.Tx, v consensus.PersistentState) error {
	state, entries := tx.Bucket(stateBucket), tx.Bucket(entryBucket)
	if v.HardState != nil {
		if err := putMessage(state, hardStateKey, v.HardState); err != nil {
			return err
		}
	}
	if v.Snapshot != nil {
		if err := putMessage(state, snapshotKey, v.Snapshot); err != nil {
			return err
		}
		last := v.Snapshot.GetMetadata().GetIndex()
		if v.ReplaceLog {
			last = maxIndex
		}
		if err := deleteEntries(entries, 0, last); err != nil {
			return err
		}
	}
	return saveEntries(entries, v.Entries)
}

// saveEntries replaces all entries from the index of the first new entry on with the new entries.
func saveEntries(b *bbolt.Bucket, entries []*raftpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteEntries(b, entries[0].GetIndex(), maxIndex); err != nil {
		return err
	}
	for _, e := range entries {
		if err := putMessage(b, indexKey(e.GetIndex()), e); err != nil {
			return err
		}
	}
	return nil
}

// putMessage writes a message with its checksum.
func putMessage(b *bbolt.Bucket, key []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, addChecksum(data))
}

// readMessage decodes a message that putMessage has written and checks its checksum.
func readMessage(checksummed []byte, m proto.Message) error {
	data, err := removeChecksum(checksummed)
	if err != nil {
		return err
	}
	return proto.Unmarshal(data, m)
}

// deleteEntries deletes the entries with the indices first to last, both included.
func deleteEntries(b *bbolt.Bucket, first, last uint64) error {
	c := b.Cursor()
	for k, _ := c.Seek(indexKey(first)); k != nil && binary.BigEndian.Uint64(k) <= last; k, _ = c.Seek(indexKey(first)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Load returns the saved state. The error wraps ErrStoreDamaged if the saved state is damaged.
func (s *Store) Load() (v consensus.PersistentState, err error) {
	err = recoverDamage(s.path, func() error {
		v, err = s.load()
		return err
	})
	return v, err
}

func (s *Store) load() (v consensus.PersistentState, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		v, err = loadState(tx)
		return err
	})
	if err != nil {
		return consensus.PersistentState{}, storeDamagedError(s.path, err)
	}
	return v, nil
}

// loadState reads the hard state, the snapshot and the log.
func loadState(tx *bbolt.Tx) (v consensus.PersistentState, err error) {
	state := tx.Bucket(stateBucket)
	if data := state.Get(hardStateKey); data != nil {
		v.HardState = &raftpb.HardState{}
		if err := readMessage(data, v.HardState); err != nil {
			return v, err
		}
	}
	if data := state.Get(snapshotKey); data != nil {
		v.Snapshot = &raftpb.Snapshot{}
		if err := readMessage(data, v.Snapshot); err != nil {
			return v, err
		}
	}
	err = tx.Bucket(entryBucket).ForEach(func(key, data []byte) error {
		e := &raftpb.Entry{}
		if err := readMessage(data, e); err != nil {
			return err
		}
		if len(key) != indexKeyLength || e.GetIndex() != binary.BigEndian.Uint64(key) {
			return fmt.Errorf("log entry %d is stored under the key of another index", e.GetIndex())
		}
		v.Entries = append(v.Entries, e)
		return nil
	})
	return v, err
}

// injectFault injects the disk fault that an end-to-end test has requested.
func (s *Store) injectFault() error {
	if s.faults == "" {
		return nil
	}
	text, err := os.ReadFile(s.faults)
	if err != nil {
		return nil
	}
	fault, argument, _ := strings.Cut(strings.TrimSpace(string(text)), " ")
	switch fault {
	case "fail": // only the next sync fails
		os.Remove(s.faults)
		return errors.New("injected fault: the sync failed")
	case "full":
		return errors.New("injected fault: the disk is full")
	case "slow":
		if d, err := time.ParseDuration(argument); err == nil && d < maxSlowDisk {
			time.Sleep(d)
		}
	}
	return nil
}
