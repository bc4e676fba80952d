// Package process manages resources of the process that its pools share: the budget of file descriptors and the detection of sibling
// processes. It also inspects sockets without reading from them. Package quota decides how many descriptors each pool may hold, and this
// package enforces that. It does not depend on requests or endpoints.
package process

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sorrelrudder/internal/quota"
)

const (
	// ReservedDescriptors is the number of descriptors outside the budget: those of the listener, discovery, the log and the runtime's
	// poller.
	ReservedDescriptors = 16
	// clientFraction is the fraction of the descriptors that clients may hold. Clients with open requests need a third. The fraction is
	// higher because idle clients connect too. The rest is left for upstream connections, so that accepted requests, their retries and
	// health checks can proceed.
	clientFraction = 0.45
	// scarceFraction is the fraction of descriptors in use above which idle connections are not kept while a caller waits for a descriptor.
	scarceFraction = 0.9
	// evictionRetryInterval is how often a caller that waits for a descriptor looks for an idle connection to close.
	evictionRetryInterval = 10 * time.Millisecond
	// clientKey is the key of client connections in the budget. No pool has this key.
	clientKey quota.PoolID = 0
)

// ErrNoDescriptor reports that no descriptor became free before the context was done.
var ErrNoDescriptor = errors.New("acquire file descriptor: none became free")

// Descriptors is the budget of file descriptors for connections. When no descriptor is free, idle connections are evicted: first upstream
// connections, starting with the pool that exceeds its quota by the most, and then client connections. A caller that has reached its own
// limit evicts only its own connections. Acquire waits until a descriptor is free. The methods are safe for concurrent use.
type Descriptors struct {
	waiting atomic.Int32 // number of callers that wait for a descriptor
	// inUse and total are written with mu held, and read without it.
	inUse atomic.Int64
	total atomic.Int64

	// mu guards the fields below. No evict function is called with mu held.
	mu          sync.Mutex
	budget      quota.Budget
	freed       chan struct{}                // closed and replaced when a descriptor is released while callers wait
	evictPool   map[quota.PoolID]func() bool // by pool: closes an idle connection and reports whether there was one
	evictClient func() bool                  // the same for client connections; nil: none to evict
}

// NewDescriptors returns the budget of a process that may have limit descriptors open.
func NewDescriptors(limit int) *Descriptors {
	d := &Descriptors{freed: make(chan struct{}), evictPool: map[quota.PoolID]func() bool{}, budget: quota.NewBudget(0)}
	d.Resize(limit)
	return d
}

// Resize sets how many descriptors the process may have open.
func (d *Descriptors) Resize(limit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := int64(max(1, limit-ReservedDescriptors))
	d.budget.Resize(n)
	d.budget.Set(clientKey, quota.Claim{Limit: MaxClientDescriptors(limit)})
	d.total.Store(n)
}

// MaxClientDescriptors returns how many descriptors clients may hold in a process that may have limit open.
func MaxClientDescriptors(limit int) int64 {
	return max(1, int64(float64(limit-ReservedDescriptors)*clientFraction))
}

// MaxClients returns how many descriptors clients may hold under the current limit.
func (d *Descriptors) MaxClients() int64 {
	return MaxClientDescriptors(int(d.total.Load()) + ReservedDescriptors)
}

// MinUpstreamDescriptors returns how many of limit descriptors are left for upstream connections if clients hold all that they may.
func MinUpstreamDescriptors(limit int) int64 {
	return max(0, int64(limit-ReservedDescriptors)-MaxClientDescriptors(limit))
}

// SetClientEvictor sets the function that closes an idle client connection and reports whether there was one.
func (d *Descriptors) SetClientEvictor(evict func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evictClient = evict
}

// Register adds a pool with its claim. The function evict closes an idle connection of the pool and reports whether there was one.
func (d *Descriptors) Register(k quota.PoolID, c quota.Claim, evict func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Set(k, c)
	d.evictPool[k] = evict
}

// SetClaim changes the claim of a pool.
func (d *Descriptors) SetClaim(k quota.PoolID, c quota.Claim) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Set(k, c)
}

// Unregister removes a pool, which must not open connections any more.
func (d *Descriptors) Unregister(k quota.PoolID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Remove(k)
	delete(d.evictPool, k)
}

// Pool returns access to the budget for one pool.
func (d *Descriptors) Pool(k quota.PoolID) *PoolDescriptors {
	return &PoolDescriptors{descriptors: d, key: k}
}

// PoolDescriptors acquires descriptors for one pool. It implements upstream.Descriptors. Its methods are safe for concurrent use.
type PoolDescriptors struct {
	descriptors *Descriptors
	key         quota.PoolID
}

// Acquire acquires a descriptor and returns the function that releases it; further calls of that function have no effect. It waits until
// ctx is done, and then returns an error that wraps ErrNoDescriptor.
func (p *PoolDescriptors) Acquire(ctx context.Context) (release func(), err error) {
	return p.descriptors.acquire(ctx, p.key)
}

// Scarce reports whether so few descriptors are free that idle connections should not be kept. It is true if none is free, or if few are
// free and a caller waits for one.
func (p *PoolDescriptors) Scarce() bool {
	d := p.descriptors
	used, total := d.inUse.Load(), d.total.Load()
	return d.waiting.Load() > 0 && used > int64(scarceFraction*float64(total)) || used >= total
}

// AcquireClient is Acquire for a client connection.
func (d *Descriptors) AcquireClient(ctx context.Context) (release func(), err error) {
	return d.acquire(ctx, clientKey)
}

// acquire implements Acquire and AcquireClient.
func (d *Descriptors) acquire(ctx context.Context, k quota.PoolID) (release func(), err error) {
	if !d.tryAcquire(k) {
		if err := d.waitAcquire(ctx, k); err != nil {
			return nil, err
		}
	}
	return sync.OnceFunc(func() { d.release(k) }), nil
}

// tryAcquire acquires a descriptor without waiting, and reports whether it did.
func (d *Descriptors) tryAcquire(k quota.PoolID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	ok := d.budget.Acquire(k, 1)
	d.inUse.Store(d.budget.TotalUsed())
	return ok
}

// release returns a descriptor of pool k and wakes all waiting callers.
func (d *Descriptors) release(k quota.PoolID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Release(k, 1)
	d.inUse.Store(d.budget.TotalUsed())
	if d.waiting.Load() > 0 {
		close(d.freed)
		d.freed = make(chan struct{})
	}
}

// waitAcquire evicts idle connections until it can acquire a descriptor for pool k, or ctx is done.
func (d *Descriptors) waitAcquire(ctx context.Context, k quota.PoolID) error {
	d.waiting.Add(1)
	defer d.waiting.Add(-1)
	for {
		freed := d.freedChannel()
		if d.tryAcquire(k) { // a release before freed was read does not close freed
			return nil
		}
		d.evictFor(k)
		if d.tryAcquire(k) {
			return nil
		}
		retry := time.NewTimer(evictionRetryInterval)
		select {
		case <-freed:
			retry.Stop()
		case <-ctx.Done():
			retry.Stop()
			return fmt.Errorf("%w: %w", ErrNoDescriptor, ctx.Err())
		case <-retry.C:
		}
	}
}

// freedChannel returns the channel that is closed when the next descriptor is released.
func (d *Descriptors) freedChannel() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.freed
}

// evictFor closes an idle connection to free a descriptor for pool k, if there is one.
func (d *Descriptors) evictFor(k quota.PoolID) {
	for _, evict := range d.evictionOrder(k) {
		if evict() {
			return
		}
	}
}

// evictionOrder returns the evict functions that can free a descriptor for pool k, in the order in which to call them. If the pool has
// reached its own limit, only its own connections can help.
func (d *Descriptors) evictionOrder(k quota.PoolID) []func() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case k == clientKey && d.budget.Used(clientKey) >= d.MaxClients():
		return appendEvictor(nil, d.evictClient)
	case k != clientKey && d.budget.AtLimit(k):
		return appendEvictor(nil, d.evictPool[k])
	}
	keys := make([]quota.PoolID, 0, len(d.evictPool))
	for key := range d.evictPool {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b quota.PoolID) int {
		return cmp.Or(cmp.Compare(d.budget.Excess(b), d.budget.Excess(a)), cmp.Compare(a, b))
	})
	order := make([]func() bool, 0, len(keys)+1)
	for _, key := range keys {
		order = append(order, d.evictPool[key])
	}
	return appendEvictor(order, d.evictClient)
}

// appendEvictor appends evict unless it is nil.
func appendEvictor(order []func() bool, evict func() bool) []func() bool {
	if evict == nil {
		return order
	}
	return append(order, evict)
}
