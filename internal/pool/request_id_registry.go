package pool

import (
	"sync"
	"time"
)

// RequestIDs holds the ids of the requests of a pool. A pool passes it on to the instance that replaces it, since the clients are the same. Its
// methods are safe for concurrent use.
type RequestIDs struct {
	clockStart time.Time

	mu  sync.Mutex
	set requestIDSet
}

// newRequestIDs returns a registry without ids. retention is how long the ids of ended requests are kept at least.
func newRequestIDs(retention time.Duration) *RequestIDs {
	return &RequestIDs{clockStart: time.Now(), set: newRequestIDSet(retention)}
}

// open calls requestIDSet.open.
func (r *RequestIDs) open(id string, hasEffect bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set.open(time.Since(r.clockStart), id, hasEffect)
}

// close calls requestIDSet.close.
func (r *RequestIDs) close(id string, hasEffect, mayHaveExecuted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.close(time.Since(r.clockStart), id, hasEffect, mayHaveExecuted)
}

// addEffect adds the id of a request with an effect that another process has taken.
func (r *RequestIDs) addEffect(id idHash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.effects.add(time.Since(r.clockStart), id)
}

// allEffects returns the ids of requests with an effect.
func (r *RequestIDs) allEffects() []idHash {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set.effects.all()
}
