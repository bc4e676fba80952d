package fake

import (
	"sync"
	"time"
)

// Deduplicator drops repeated requests with the same idempotency key within a time window. The window applies across all
// backends that share the Deduplicator. Its methods may be called concurrently.
type Deduplicator struct {
	window  time.Duration
	mu      sync.Mutex // guards entries and order
	entries map[string]*dedupEntry
	order   []string // keys of entries, the oldest first
}

// dedupEntry describes the first request with a key.
type dedupEntry struct {
	started time.Time
	done    chan struct{} // closed when the request has ended
}

// NewDeduplicator returns a Deduplicator that drops repetitions within window, which begins at the start of the first request.
func NewDeduplicator(window time.Duration) *Deduplicator {
	return &Deduplicator{window: window, entries: map[string]*dedupEntry{}}
}

// Do calls execute unless an earlier call with the same key began within the window. In both cases, it returns once the call to
// execute for the key has ended.
func (d *Deduplicator) Do(key string, execute func()) {
	entry, first := d.entry(key)
	if !first {
		<-entry.done
		return
	}
	execute()
	close(entry.done)
}

// entry returns the entry of a key. first reports whether this call created the entry.
func (d *Deduplicator) entry(key string) (entry *dedupEntry, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	if entry := d.entries[key]; entry != nil {
		return entry, false
	}
	entry = &dedupEntry{started: time.Now(), done: make(chan struct{})}
	d.entries[key] = entry
	d.order = append(d.order, key)
	return entry, true
}

// expire removes the entries that are older than the window. The caller holds mu.
func (d *Deduplicator) expire() {
	for len(d.order) > 0 && time.Since(d.entries[d.order[0]].started) > d.window {
		delete(d.entries, d.order[0])
		d.order = d.order[1:]
	}
}
