// Package process holds what one process has once and its pools share: its file descriptors, what it knows of sibling processes, and a
// look at a socket without reading from it. How many descriptors each pool may have is decided by package quota; this package carries
// that out. It knows nothing of requests or endpoints.
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
	// ReservedDescriptors are not counted: those of the listener, discovery, the log and the runtime's poller.
	ReservedDescriptors = 16
	// clientFraction is the part of the descriptors that clients may hold. It is more than a third, which those with requests need,
	// since others connect too; the rest is left for upstreams, so that accepted requests, their retries and health checks go on.
	clientFraction = 0.45
	// scarceFraction is the part in use from which idle connections are not kept.
	scarceFraction = 0.9
	// evictionRetryInterval is how often one that waits for a descriptor looks for idle connections to close.
	evictionRetryInterval = 10 * time.Millisecond
	// clientKey counts the clients' connections; no pool has it.
	clientKey quota.PoolID = 0
)

// ErrNoDescriptor is that no descriptor was free in time.
var ErrNoDescriptor = errors.New("no free descriptor")

// Descriptors counts the file descriptors of connections. Near the limit idle connections make room: those to upstreams first, of the
// pool that exceeds its quota by most before others, and then those of clients. At the limit Acquire waits. Its methods may be called
// from any goroutine.
type Descriptors struct {
	waiting atomic.Int32 // callers that wait for a descriptor
	// inUse and total are written under mu, and read without it.
	inUse atomic.Int64
	total atomic.Int64

	// mu guards the fields below. No evict function is called under it.
	mu          sync.Mutex
	budget      quota.Budget
	freed       chan struct{}                // closed, and made anew, when a descriptor is released while others wait
	evictPool   map[quota.PoolID]func() bool // each closes an idle connection and reports whether there was one
	evictClient func() bool                  // the same for clients; nil: there are none
}

// NewDescriptors returns the descriptors of a process that may hold limit.
func NewDescriptors(limit int) *Descriptors {
	d := &Descriptors{freed: make(chan struct{}), evictPool: map[quota.PoolID]func() bool{}, budget: quota.NewBudget(0)}
	d.Resize(limit)
	return d
}

// Resize sets how many descriptors the process may hold.
func (d *Descriptors) Resize(limit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := int64(max(1, limit-ReservedDescriptors))
	d.budget.Resize(n)
	d.budget.Set(clientKey, quota.Claim{Limit: MaxClientDescriptors(limit)})
	d.total.Store(n)
}

// MaxClientDescriptors returns how many descriptors clients may hold where the process may hold limit.
func MaxClientDescriptors(limit int) int64 {
	return max(1, int64(float64(limit-ReservedDescriptors)*clientFraction))
}

// MaxClients returns how many descriptors clients may hold now.
func (d *Descriptors) MaxClients() int64 {
	return MaxClientDescriptors(int(d.total.Load()) + ReservedDescriptors)
}

// MinUpstreamDescriptors returns how many of limit are left for connections to upstreams whatever clients hold.
func MinUpstreamDescriptors(limit int) int64 {
	return max(0, int64(limit-ReservedDescriptors)-MaxClientDescriptors(limit))
}

// SetClientEvictor sets the function that closes an idle connection of a client and reports whether there was one.
func (d *Descriptors) SetClientEvictor(evict func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evictClient = evict
}

// Register adds a pool with its claim; evict closes an idle one of its connections and reports whether there was one.
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

// Unregister removes a pool that opens no connection any more.
func (d *Descriptors) Unregister(k quota.PoolID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Remove(k)
	delete(d.evictPool, k)
}

// Pool returns the descriptors of one pool.
func (d *Descriptors) Pool(k quota.PoolID) *PoolDescriptors {
	return &PoolDescriptors{descriptors: d, key: k}
}

// PoolDescriptors are a pool's descriptors. It implements upstream.Descriptors.
type PoolDescriptors struct {
	descriptors *Descriptors
	key         quota.PoolID
}

// Acquire takes a descriptor, and returns the function that releases it. It waits until ctx ends; the error is then an ErrNoDescriptor.
func (p *PoolDescriptors) Acquire(ctx context.Context) (release func(), err error) {
	return p.descriptors.acquire(ctx, p.key)
}

// Scarce reports whether descriptors are so few that idle connections should not be kept.
func (p *PoolDescriptors) Scarce() bool {
	d := p.descriptors
	used, total := d.inUse.Load(), d.total.Load()
	return d.waiting.Load() > 0 && used > int64(scarceFraction*float64(total)) || used >= total
}

// AcquireClient is Acquire for a client's connection.
func (d *Descriptors) AcquireClient(ctx context.Context) (release func(), err error) {
	return d.acquire(ctx, clientKey)
}

func (d *Descriptors) acquire(ctx context.Context, k quota.PoolID) (release func(), err error) {
	if !d.tryAcquire(k) {
		if err := d.waitAcquire(ctx, k); err != nil {
			return nil, err
		}
	}
	return sync.OnceFunc(func() { d.release(k) }), nil
}

func (d *Descriptors) tryAcquire(k quota.PoolID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	ok := d.budget.Acquire(k, 1)
	d.inUse.Store(d.budget.TotalUsed())
	return ok
}

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

// waitAcquire has idle connections make room until there is a descriptor for pool k.
func (d *Descriptors) waitAcquire(ctx context.Context, k quota.PoolID) error {
	d.waiting.Add(1)
	defer d.waiting.Add(-1)
	for {
		freed := d.freedChannel()
		if d.tryAcquire(k) { // one released before freed was read wakes nobody
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

// evictFor closes an idle connection to make room for pool k, if there is one.
func (d *Descriptors) evictFor(k quota.PoolID) {
	for _, evict := range d.evictionOrder(k) {
		if evict() {
			return
		}
	}
}

// evictionOrder returns the functions that may make room for pool k, in order: where it has reached its own limit, only its own.
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

// appendEvictor appends evict, if there is one.
func appendEvictor(order []func() bool, evict func() bool) []func() bool {
	if evict == nil {
		return order
	}
	return append(order, evict)
}
