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

// diskFaultsVariable names the laboratory's setting: a file that says what is wrong with the disk: "fail" at the next sync, "full", or "slow 50ms".
const diskFaultsVariable = "SORRELRUDDER_LAB_DISK"

// Identity is who a store belongs to.
type Identity struct {
	Format int    `json:"format"`
	Name   string `json:"name"`            // of the process
	Store  string `json:"store"`           // drawn when the store was made; another store is another identity
	Fleet  string `json:"fleet,omitempty"` // empty: not admitted yet
	ID     uint64 `json:"id,omitempty"`
}

const storeFormat = 1

var (
	identityBucket = []byte("identity")
	stateBucket    = []byte("state")
	entryBucket    = []byte("entries")
	identityKey    = []byte("it")
	hardStateKey   = []byte("hard")
	snapshotKey    = []byte("snapshot")
)

// Store keeps what a process has promised in the council. It is the disk of a consensus.Node.
type Store struct {
	db     *bbolt.DB
	path   string
	id     Identity
	faults string // file of the laboratory's, or empty
	syncs  atomic.Int64
}

// ErrStoreDamaged is a store that can't be trusted. Nothing of it is deleted.
var ErrStoreDamaged = errors.New("the store is damaged")

// recoverDamage reads a file that may be anything: one that ends too early faults where it is mapped, and one whose pages point astray
// panics. Either is a damaged store, and no reason to end without a word.
func recoverDamage(path string, read func() error) (err error) {
	was := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(was)
	defer func() {
		if r := recover(); r != nil {
			err = damaged(path, fmt.Errorf("reading it: %v", r))
		}
	}()
	return read()
}

// OpenStore opens the store of the process of that name, and makes it where there is none.
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
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: 2 * time.Second, FreelistType: bbolt.FreelistMapType})
	switch {
	case errors.Is(err, berrors.ErrTimeout):
		return nil, fmt.Errorf("%s: another process has this store open", path)
	case errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrChecksum), errors.Is(err, berrors.ErrVersionMismatch):
		return nil, damaged(path, err)
	case err != nil:
		return nil, fmt.Errorf("the store: %w", err)
	}
	s := &Store{db: db, path: path, faults: os.Getenv(diskFaultsVariable)}
	err = db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(identityBucket)
		if b == nil {
			for _, name := range [][]byte{identityBucket, stateBucket, entryBucket} {
				if _, err := tx.CreateBucket(name); err != nil {
					return err
				}
			}
			s.id = Identity{Format: storeFormat, Name: name, Store: uuid.NewString()}
			return s.put(tx)
		}
		data, err := unsealFile(b.Get(identityKey))
		if err == nil {
			err = json.Unmarshal(data, &s.id)
		}
		if err != nil {
			return damaged(path, err)
		}
		if tx.Bucket(stateBucket) == nil || tx.Bucket(entryBucket) == nil {
			return damaged(path, errors.New("a part is missing"))
		}
		return nil
	})
	switch {
	case err != nil:
	case s.id.Format != storeFormat:
		err = fmt.Errorf("%s: has the format %d, and this program knows %d", path, s.id.Format, storeFormat)
	case s.id.Name != name:
		err = fmt.Errorf("%s: is the store of %q, not of %q: a process with another's store would break its promises", path, s.id.Name, name)
	}
	if err != nil {
		db.Close()
		return nil, err
	}
	return s, nil
}

func damaged(path string, err error) error {
	return fmt.Errorf("%s: %w: %w; put it aside (don't delete it before the council stands) and start again: the process comes back "+
		"as one that listens, and 'sorrelrudder tier member replace' has it vote", path, ErrStoreDamaged, err)
}

// Identity is whose store it is.
func (s *Store) Identity() Identity { return s.id }

// Syncs counts the writes that were synced, since it was opened.
func (s *Store) Syncs() int64 { return s.syncs.Load() }

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

func (s *Store) put(tx *bbolt.Tx) error {
	data, err := json.Marshal(s.id)
	if err != nil {
		return err
	}
	return tx.Bucket(identityBucket).Put(identityKey, sealFile(data))
}

// Admitted notes the identity that the council has given. It is on the disk before it is used.
func (s *Store) Admitted(fleet string, id uint64) error {
	was := s.id
	s.id.Fleet, s.id.ID = fleet, id
	if err := s.db.Update(s.put); err != nil {
		s.id = was
		return fmt.Errorf("the store: %w", err)
	}
	return nil
}

// Found makes an empty store the first seat of a new fleet.
func (s *Store) Found(names []string) error {
	if s.id.ID != 0 {
		return fmt.Errorf("%s: has the identity %d in the fleet %s already; nothing was changed", s.path, s.id.ID, s.id.Fleet)
	}
	fleet := uuid.NewString()
	snap, err := consensus.BootstrapSnapshot(consensus.NewStateMachine(fleet, s.id.Name, s.id.Store, names))
	if err != nil {
		return err
	}
	if err := s.Save(consensus.PersistentState{Snapshot: snap, HardState: consensus.BootstrapHardState()}, true); err != nil {
		return err
	}
	return s.Admitted(fleet, 1)
}

func indexKey(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// Save is the method of consensus.Storage. What need not be synced is not written: it would be learnt anew after a crash.
func (s *Store) Save(v consensus.PersistentState, sync bool) error {
	if err := s.fault(); err != nil {
		return err
	}
	if !sync {
		return nil
	}
	s.syncs.Add(1)
	err := s.db.Update(func(tx *bbolt.Tx) error {
		state, entries := tx.Bucket(stateBucket), tx.Bucket(entryBucket)
		write := func(b *bbolt.Bucket, key []byte, m proto.Message) error {
			data, err := proto.Marshal(m)
			if err != nil {
				return err
			}
			return b.Put(key, sealFile(data))
		}
		if v.HardState != nil {
			if err := write(state, hardStateKey, v.HardState); err != nil {
				return err
			}
		}
		if v.Snapshot != nil {
			if err := write(state, snapshotKey, v.Snapshot); err != nil {
				return err
			}
			upTo := v.Snapshot.GetMetadata().GetIndex()
			if v.ReplaceLog {
				upTo = ^uint64(0)
			}
			if err := drop(entries, 0, upTo); err != nil {
				return err
			}
		}
		if len(v.Entries) > 0 {
			if err := drop(entries, v.Entries[0].GetIndex(), ^uint64(0)); err != nil {
				return err
			}
		}
		for _, e := range v.Entries {
			if err := write(entries, indexKey(e.GetIndex()), e); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("%s: %w", s.path, err)
	}
	return nil
}

// drop deletes the entries from first to last.
func drop(b *bbolt.Bucket, first, last uint64) error {
	c := b.Cursor()
	for k, _ := c.Seek(indexKey(first)); k != nil && binary.BigEndian.Uint64(k) <= last; k, _ = c.Seek(indexKey(first)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Load reads all that a node starts with.
func (s *Store) Load() (v consensus.PersistentState, err error) {
	err = recoverDamage(s.path, func() error {
		v, err = s.load()
		return err
	})
	return v, err
}

func (s *Store) load() (v consensus.PersistentState, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		read := func(sealed []byte, m proto.Message) error {
			data, err := unsealFile(sealed)
			if err == nil {
				err = proto.Unmarshal(data, m)
			}
			return err
		}
		state := tx.Bucket(stateBucket)
		if data := state.Get(hardStateKey); data != nil {
			v.HardState = &raftpb.HardState{}
			if err := read(data, v.HardState); err != nil {
				return err
			}
		}
		if data := state.Get(snapshotKey); data != nil {
			v.Snapshot = &raftpb.Snapshot{}
			if err := read(data, v.Snapshot); err != nil {
				return err
			}
		}
		return tx.Bucket(entryBucket).ForEach(func(k, data []byte) error {
			e := &raftpb.Entry{}
			if err := read(data, e); err != nil {
				return err
			}
			if len(k) != 8 || e.GetIndex() != binary.BigEndian.Uint64(k) {
				return fmt.Errorf("an entry %d stands where another belongs", e.GetIndex())
			}
			v.Entries = append(v.Entries, e)
			return nil
		})
	})
	if err != nil {
		return consensus.PersistentState{}, damaged(s.path, err)
	}
	return v, nil
}

// fault does what the laboratory wants to be wrong with the disk.
func (s *Store) fault() error {
	if s.faults == "" {
		return nil
	}
	text, err := os.ReadFile(s.faults)
	if err != nil {
		return nil
	}
	word, more, _ := strings.Cut(strings.TrimSpace(string(text)), " ")
	switch word {
	case "fail": // once
		os.Remove(s.faults)
		return errors.New("the laboratory has the sync fail")
	case "full":
		return errors.New("the laboratory has the disk full")
	case "slow":
		if d, err := time.ParseDuration(more); err == nil && d < time.Minute {
			time.Sleep(d)
		}
	}
	return nil
}
