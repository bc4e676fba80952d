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
	// SpareDescriptors are not counted: the listener, discovery, the log, the runtime's poller.
	SpareDescriptors = 16
	// clientShare is the part of the descriptors that clients may hold: more than the third that those with requests
	// need, since others connect too. The rest is always left for upstreams, so that requests which were taken can
	// be answered, and for their further attempts and probes.
	clientShare = 0.45
	// scarceShare is the part in use from which idle connections are not kept.
	scarceShare = 0.9
	// socketRetry is how often one that waits for a descriptor looks for idle connections to close.
	socketRetry = 10 * time.Millisecond
	// clients is the key under which the clients' connections are counted; no pool has it.
	clients quota.PoolID = 0
)

// Descriptors counts the descriptors of connections. Near the limit idle connections make room: those to
// upstreams first, those of the pool that has most beyond its part before others, then those of clients. Beyond it work
// waits.
type Descriptors struct {
	waiting atomic.Int32
	inUse   atomic.Int64
	total   atomic.Int64

	mu     sync.Mutex
	pot    quota.Budget
	freed  chan struct{}                // closed, and made anew, when one is given back while others wait
	evict  map[quota.PoolID]func() bool // each closes an idle connection and reports whether there was one
	client func() bool                  // the same of clients
}

// NewDescriptors returns the descriptors of a process that may hold limit.
func NewDescriptors(limit int) *Descriptors {
	d := &Descriptors{freed: make(chan struct{}), evict: map[quota.PoolID]func() bool{}, pot: quota.NewBudget(0)}
	d.Resize(limit)
	return d
}

// Resize makes limit what the process may hold.
func (d *Descriptors) Resize(limit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := int64(max(1, limit-SpareDescriptors))
	d.pot.Resize(n)
	d.pot.Set(clients, quota.Claim{Limit: ClientMost(limit)})
	d.total.Store(n)
}

// ClientMost is how many descriptors clients may hold where the process may hold limit.
func ClientMost(limit int) int64 {
	return max(1, int64(float64(limit-SpareDescriptors)*clientShare))
}

// Clients is how many descriptors clients may hold now.
func (d *Descriptors) Clients() int64 { return ClientMost(int(d.total.Load()) + SpareDescriptors) }

// ForUpstreams is how many of limit are left for connections to upstreams whatever clients hold.
func ForUpstreams(limit int) int64 { return max(0, int64(limit-SpareDescriptors)-ClientMost(limit)) }

// OnClients makes evict what closes an idle connection of a client.
func (d *Descriptors) OnClients(evict func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.client = evict
}

// Set gives a pool its claim on descriptors, and evict is what closes an idle one of its connections.
func (d *Descriptors) Set(k quota.PoolID, c quota.Claim, evict func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pot.Set(k, c)
	d.evict[k] = evict
}

// Drop ends the claim of a pool that opens no connection any more.
func (d *Descriptors) Drop(k quota.PoolID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pot.Remove(k)
	delete(d.evict, k)
}

// Pool is the part of the descriptors that one pool has.
func (d *Descriptors) Pool(k quota.PoolID) *Part { return &Part{d, k} }

// Part is what a pool has of the process's descriptors.
type Part struct {
	of  *Descriptors
	key quota.PoolID
}

// Acquire takes a descriptor, and returns the function that gives it back.
func (p *Part) Acquire(ctx context.Context) (release func(), err error) {
	return p.of.acquire(ctx, p.key)
}

// Scarce reports whether descriptors are so few that idle connections should not be kept.
func (p *Part) Scarce() bool {
	d := p.of
	used, total := d.inUse.Load(), d.total.Load()
	return d.waiting.Load() > 0 && used > int64(scarceShare*float64(total)) || used >= total
}

// AcquireClient takes a descriptor for a client's connection.
func (d *Descriptors) AcquireClient(ctx context.Context) (release func(), err error) {
	return d.acquire(ctx, clients)
}

func (d *Descriptors) acquire(ctx context.Context, k quota.PoolID) (release func(), err error) {
	if !d.try(k) {
		if err := d.wait(ctx, k); err != nil {
			return nil, err
		}
	}
	return sync.OnceFunc(func() { d.give(k) }), nil
}

func (d *Descriptors) try(k quota.PoolID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	ok := d.pot.Acquire(k, 1)
	d.inUse.Store(d.pot.TotalUsed())
	return ok
}

func (d *Descriptors) give(k quota.PoolID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pot.Release(k, 1)
	d.inUse.Store(d.pot.TotalUsed())
	if d.waiting.Load() > 0 {
		close(d.freed)
		d.freed = make(chan struct{})
	}
}

// wait has idle connections make room until there is a descriptor for pool k.
func (d *Descriptors) wait(ctx context.Context, k quota.PoolID) error {
	d.waiting.Add(1)
	defer d.waiting.Add(-1)
	for {
		d.mu.Lock()
		freed := d.freed
		d.mu.Unlock()
		if d.try(k) { // one given back before freed was read wakes nobody
			return nil
		}
		for _, e := range d.evictors(k) {
			if e() {
				break
			}
		}
		if d.try(k) {
			return nil
		}
		retry := time.NewTimer(socketRetry)
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

// evictors are those who may make room for pool k, in order: where it has all that it may have itself, only it.
func (d *Descriptors) evictors(k quota.PoolID) []func() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if k == clients {
		if d.pot.Used(clients) >= d.Clients() {
			return only(d.client)
		}
	} else if d.pot.AtLimit(k) {
		return only(d.evict[k])
	}
	keys := make([]quota.PoolID, 0, len(d.evict))
	for k := range d.evict {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b quota.PoolID) int {
		return cmp.Or(cmp.Compare(d.pot.Excess(b), d.pot.Excess(a)), cmp.Compare(a, b))
	})
	all := make([]func() bool, 0, len(keys)+1)
	for _, k := range keys {
		all = append(all, d.evict[k])
	}
	return append(all, only(d.client)...)
}

func only(f func() bool) []func() bool {
	if f == nil {
		return nil
	}
	return []func() bool{f}
}

// Claim changes what a pool may have.
func (d *Descriptors) Claim(k quota.PoolID, c quota.Claim) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pot.Set(k, c)
}
