package process

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sorrelrudder/internal/quota"
)

const testTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestAcquireWaits guards against a waiting caller that is not woken when a descriptor is released, and against wrong counts under
// concurrent acquisition and release.
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
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				release, err := p.Acquire(ctx)
				cancel()
				if err != nil {
					t.Error(err)
					return
				}
				if n := d.inUse.Load(); n > 4 {
					t.Errorf("%d descriptors are in use, want at most 4", n)
				}
				release()
				release() // a second call has no effect
			}
		})
	}
	all.Wait()
	if n := d.budget.TotalUsed(); n != 0 {
		t.Errorf("%d descriptors are still in use, want 0", n)
	}
}

// TestEvictionOrder guards against evicting a connection of a pool within its quota while another pool exceeds its own, and against
// evicting connections of other pools if the pool itself is at its limit.
func TestEvictionOrder(t *testing.T) {
	d := NewDescriptors(ReservedDescriptors + 10)
	var evicted []string
	ctx := context.Background()
	var held []func()
	acquire := func(k quota.PoolID, n int) {
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
			d.release(k) // like a connection that closes
			return true
		}
	}
	d.Register(1, quota.Claim{Reserved: 2, Limit: quota.Unlimited}, evict("big", 1))
	d.Register(2, quota.Claim{Reserved: 2, Limit: 3}, evict("small", 2))
	acquire(1, 8)
	acquire(2, 2)
	acquire(2, 1) // all descriptors are in use: the pool with the largest excess is evicted from
	if len(evicted) != 1 || evicted[0] != "big" {
		t.Errorf("evicted %v, want one connection of pool big", evicted)
	}
	acquire(2, 1) // the pool is at its limit: only its own connections can help
	if len(evicted) != 2 || evicted[1] != "small" {
		t.Errorf("evicted %v, want a connection of pool small next", evicted)
	}
	for _, release := range held {
		release()
	}
}

// TestClientsLeaveRoom guards against clients that hold the descriptors that upstream connections need.
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
		t.Error("clients acquired more descriptors than their share")
	}
	for range MinUpstreamDescriptors(limit) {
		if _, err := d.Pool(1).Acquire(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if !d.Pool(1).Scarce() {
		t.Error("all descriptors are in use but Scarce is false")
	}
	d.Unregister(1)
	d.Resize(2 * limit)
	if _, err := d.AcquireClient(context.Background()); err != nil {
		t.Errorf("acquire after the limit was raised: %v", err)
	}
}
