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

// Save implements consensus.Storage. It does nothing, because no state is kept across a restart.
func (m *memoryStore) Save(consensus.PersistentState, bool) error { return nil }

// Identity returns the identity of the store.
func (m *memoryStore) Identity() Identity { return m.id }

// Syncs returns 0, because the store syncs no file.
func (m *memoryStore) Syncs() int64 { return 0 }

// Close does nothing, because the store has no open file.
func (m *memoryStore) Close() error { return nil }

// SaveIdentity stores the identity that the consensus group has assigned.
func (m *memoryStore) SaveIdentity(fleet string, id uint64) error {
	m.id.Fleet, m.id.ID = fleet, id
	return nil
}

// Bootstrap returns an error, because a fleet that keeps its state in memory is bootstrapped in its running process.
func (m *memoryStore) Bootstrap([]string) error {
	return errors.New("a council in memory is founded at a process that runs")
}

// Load returns an empty state, because no state is kept across a restart.
func (m *memoryStore) Load() (consensus.PersistentState, error) {
	return consensus.PersistentState{}, nil
}
