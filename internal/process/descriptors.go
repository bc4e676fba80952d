// Package process holds what one process has once and its pools share: its descriptors, and how a socket is looked at without
// reading from it. How much of it each pool may have is decided by package share; this package carries that out. It
// knows nothing of requests or servers.
package process

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sorrelrudder/internal/quota"
)

const (
	// ReservedDescriptors are not counted: the listener, discovery, the log, the runtime's poller.
	ReservedDescriptors = 16
	// clientFraction is the part of the descriptors that clients may hold: more than the third that those with requests
	// need, since others connect too. The rest is always left for upstreams, so that requests which were taken can
	// be answered, and for their further attempts and probes.
	clientFraction = 0.45
	// scarceFraction is the part in use from which idle connections are not kept.
	scarceFraction = 0.9
	// evictionRetryInterval is how often one that waits for a descriptor looks for idle connections to close.
	evictionRetryInterval = 10 * time.Millisecond
	// clientKey is the key under which the clients' connections are counted; no pool has it.
	clientKey quota.PoolID = 0
)

// Descriptors counts the descriptors of connections. Near the limit idle connections make room: those to
// upstreams first, those of the pool that has most beyond its part before others, then those of clients. Beyond it work
// waits.
type Descriptors struct {
	waiting atomic.Int32
	inUse   atomic.Int64
	total   atomic.Int64

	mu          sync.Mutex
	budget      quota.Budget
	freed       chan struct{}                // closed, and made anew, when one is given back while others wait
	evictPool   map[quota.PoolID]func() bool // each closes an idle connection and reports whether there was one
	evictClient func() bool                  // the same of clients
}

// NewDescriptors returns the descriptors of a process that may hold limit.
func NewDescriptors(limit int) *Descriptors {
	d := &Descriptors{freed: make(chan struct{}), evictPool: map[quota.PoolID]func() bool{}, budget: quota.NewBudget(0)}
	d.Resize(limit)
	return d
}

// Resize makes limit what the process may hold.
func (d *Descriptors) Resize(limit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := int64(max(1, limit-ReservedDescriptors))
	d.budget.Resize(n)
	d.budget.Set(clientKey, quota.Claim{Limit: MaxClientDescriptors(limit)})
	d.total.Store(n)
}

// MaxClientDescriptors is how many descriptors clients may hold where the process may hold limit.
func MaxClientDescriptors(limit int) int64 {
	return max(1, int64(float64(limit-ReservedDescriptors)*clientFraction))
}

// MaxClients is how many descriptors clients may hold now.
func (d *Descriptors) MaxClients() int64 {
	return MaxClientDescriptors(int(d.total.Load()) + ReservedDescriptors)
}

// MinUpstreamDescriptors is how many of limit are left for connections to upstreams whatever clients hold.
func MinUpstreamDescriptors(limit int) int64 {
	return max(0, int64(limit-ReservedDescriptors)-MaxClientDescriptors(limit))
}

// SetClientEvictor makes evict what closes an idle connection of a client.
func (d *Descriptors) SetClientEvictor(evict func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evictClient = evict
}

// Register gives a pool its claim on descriptors, and evict is what closes an idle one of its connections.
func (d *Descriptors) Register(k quota.PoolID, c quota.Claim, evict func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Set(k, c)
	d.evictPool[k] = evict
}

// Unregister ends the claim of a pool that opens no connection any more.
func (d *Descriptors) Unregister(k quota.PoolID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Remove(k)
	delete(d.evictPool, k)
}

// Pool is the part of the descriptors that one pool has.
func (d *Descriptors) Pool(k quota.PoolID) *PoolDescriptors { return &PoolDescriptors{d, k} }

// PoolDescriptors is what a pool has of the process's descriptors.
type PoolDescriptors struct {
	descriptors *Descriptors
	key         quota.PoolID
}

// Acquire takes a descriptor, and returns the function that gives it back.
func (p *PoolDescriptors) Acquire(ctx context.Context) (release func(), err error) {
	return p.descriptors.acquire(ctx, p.key)
}

// Scarce reports whether descriptors are so few that idle connections should not be kept.
func (p *PoolDescriptors) Scarce() bool {
	d := p.descriptors
	used, total := d.inUse.Load(), d.total.Load()
	return d.waiting.Load() > 0 && used > int64(scarceFraction*float64(total)) || used >= total
}

// AcquireClient takes a descriptor for a client's connection.
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
		d.mu.Lock()
		freed := d.freed
		d.mu.Unlock()
		if d.tryAcquire(k) { // one given back before freed was read wakes nobody
			return nil
		}
		for _, e := range d.evictionOrder(k) {
			if e() {
				break
			}
		}
		if d.tryAcquire(k) {
			return nil
		}
		retry := time.NewTimer(evictionRetryInterval)
		select {
		case <-freed:
			retry.Stop()
		case <-ctx.Done():
			retry.Stop()
			return fmt.Errorf("no free descriptor: %w", ctx.Err())
		case <-retry.C:
		}
	}
}

// evictionOrder are those who may make room for pool k, in order: where it has all that it may have itself, only it.
func (d *Descriptors) evictionOrder(k quota.PoolID) []func() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if k == clientKey {
		if d.budget.Used(clientKey) >= d.MaxClients() {
			return only(d.evictClient)
		}
	} else if d.budget.AtLimit(k) {
		return only(d.evictPool[k])
	}
	keys := make([]quota.PoolID, 0, len(d.evictPool))
	for k := range d.evictPool {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b quota.PoolID) int {
		return cmp.Or(cmp.Compare(d.budget.Excess(b), d.budget.Excess(a)), cmp.Compare(a, b))
	})
	all := make([]func() bool, 0, len(keys)+1)
	for _, k := range keys {
		all = append(all, d.evictPool[k])
	}
	return append(all, only(d.evictClient)...)
}

func only(f func() bool) []func() bool {
	if f == nil {
		return nil
	}
	return []func() bool{f}
}

// SetClaim changes what a pool may have.
func (d *Descriptors) SetClaim(k quota.PoolID, c quota.Claim) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Set(k, c)
}
