package process

import "sync"

// BufferMemory is the memory that the long bodies of a process may occupy in buffers beyond what each needs to make progress. Its methods are
// safe for concurrent use.
type BufferMemory struct {
	mu    sync.Mutex
	total int64
	used  int64
}

// Resize sets how many bytes may be used. Bytes acquired beyond the new total stay acquired until they are released.
func (m *BufferMemory) Resize(total int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total = total
}

// Acquire acquires n bytes for a body that holds the given number of bytes already, and reports whether it did. A body may hold as much as
// is then left free for all others, so that the first long bodies leave room for the next.
func (m *BufferMemory) Acquire(held, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if free := m.total - m.used - n; held+n > free {
		return false
	}
	m.used += n
	return true
}

// Release returns n bytes.
func (m *BufferMemory) Release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
}
