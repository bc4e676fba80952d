package fleet

import (
	"errors"

	"github.com/google/uuid"

	"sorrelrudder/internal/consensus"
)

// memoryStore is the store of a voter that keeps its state in memory. The next start of the process gets another store and therefore
// another identity. It never votes under the old identity, and so cannot contradict votes and acknowledgments given under that identity.
type memoryStore struct{ id Identity }

// newMemory returns an empty store for the process of that name, with a new store ID.
func newMemory(name string) *memoryStore {
	return &memoryStore{Identity{Format: storeFormat, Name: name, Store: uuid.NewString()}}
}

func (m *memoryStore) Save(consensus.PersistentState, bool) error { return nil }
func (m *memoryStore) Identity() Identity                         { return m.id }
func (m *memoryStore) Syncs() int64                               { return 0 }
func (m *memoryStore) Close() error                               { return nil }

func (m *memoryStore) SaveIdentity(fleet string, id uint64) error {
	m.id.Fleet, m.id.ID = fleet, id
	return nil
}

func (m *memoryStore) Bootstrap([]string) error {
	return errors.New("a council in memory is founded at a process that runs")
}

func (m *memoryStore) Load() (consensus.PersistentState, error) {
	return consensus.PersistentState{}, nil
}
