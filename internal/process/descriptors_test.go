package process

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sorrelrudder/internal/quota"
)

const patience = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestAcquireWaits guards against a waiter that is not woken when a descriptor is given back, and against counting wrongly while
// many take and give.
func TestAcquireWaits(t *testing.T) {
	d := NewDescriptors(ReservedDescriptors + 4)
	for k := range quota.PoolID(3) {
		d.Register(k+1, quota.Claim{Reserved: 1, Limit: quota.Unlimited}, func() bool { return false })
	}
	var all sync.WaitGroup
	for i := range 24 {
		all.Go(func() {
			p := d.Pool(quota.PoolID(i%3 + 1))
			for range 50 {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				release, err := p.Acquire(ctx)
				cancel()
				if err != nil {
					t.Error(err)
					return
				}
				if n := d.inUse.Load(); n > 4 {
					t.Errorf("%d of 4 are in use", n)
				}
				release()
				release() // a second time is of no effect
			}
		})
	}
	all.Wait()
	if n := d.budget.TotalUsed(); n != 0 {
		t.Errorf("%d are still in use", n)
	}
}

// TestEvictionOrder guards against taking a connection of a pool within its part while another has more than its own, and of
// others' where a pool is at its own limit.
func TestEvictionOrder(t *testing.T) {
	d := NewDescriptors(ReservedDescriptors + 10)
	var evicted []string
	ctx := context.Background()
	var held []func()
	take := func(k quota.PoolID, n int) {
		for range n {
			release, err := d.Pool(k).Acquire(ctx)
			if err != nil {
				t.Fatal(err)
			}
			held = append(held, release)
		}
	}
	evict := func(name string, k quota.PoolID) func() bool {
		return func() bool {
			evicted = append(evicted, name)
			d.release(k) // as a connection that closes
			return true
		}
	}
	d.Register(1, quota.Claim{Reserved: 2, Limit: quota.Unlimited}, evict("big", 1))
	d.Register(2, quota.Claim{Reserved: 2, Limit: 3}, evict("small", 2))
	take(1, 8)
	take(2, 2)
	take(2, 1) // all are taken: the big one gives way
	if len(evicted) != 1 || evicted[0] != "big" {
		t.Errorf("evicted %v, want of the big one", evicted)
	}
	take(2, 1) // it has its most: only its own can help
	if len(evicted) != 2 || evicted[1] != "small" {
		t.Errorf("evicted %v, want of its own", evicted)
	}
	for _, release := range held {
		release()
	}
}

// TestClientsLeaveRoom guards against clients that take the descriptors which answers need.
func TestClientsLeaveRoom(t *testing.T) {
	const limit = 64
	d := NewDescriptors(limit)
	d.Register(1, quota.Claim{Limit: quota.Unlimited}, func() bool { return false })
	for range MaxClientDescriptors(limit) {
		if _, err := d.AcquireClient(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	if _, err := d.AcquireClient(ctx); err == nil {
		t.Error("clients took more than their part")
	}
	for range MinUpstreamDescriptors(limit) {
		if _, err := d.Pool(1).Acquire(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if !d.Pool(1).Scarce() {
		t.Error("all are taken, and not scarce")
	}
	d.Unregister(1)
	d.Resize(2 * limit)
	if _, err := d.AcquireClient(context.Background()); err != nil {
		t.Errorf("with more descriptors: %v", err)
	}
}
