// Package quota divides the resources of one process among its pools: open requests, memory for bodies, connections, and CPU time.
// The package is pure: events in, decisions out, with the time passed in. It uses no sockets, clocks or goroutines. The only facts that it
// gets about servers and requests are the number of ready servers and the sizes of requests. It does not depend on routes.
package quota

import "math"

// PoolID identifies a pool within one process. IDs are never reused.
type PoolID uint32

// Claim is a pool's share of one resource, in the units of the resource.
type Claim struct {
	Reserved int64 // units kept free for the pool, whatever the other pools use
	Limit    int64 // the most units that the pool may use
}

// Unlimited is the Limit of a claim that is bounded only by the total of the resource.
const Unlimited = math.MaxInt64

// Budget is a resource shared by several pools. Each pool has reserved units, and the rest is allocated first come, first served. A
// single pool can therefore acquire all units that are not reserved for others, and no more. A Budget is not safe for concurrent use.
// The zero Budget has no units.
type Budget struct {
	total         int64
	used          int64
	unusedReserve int64 // units that are reserved and not used, summed over all pools
	claims        map[PoolID]*usage
}

// usage is a pool's claim and the units that the pool uses.
type usage struct {
	Claim
	used    int64
	removed bool // the entry is deleted once used is 0
}

// unusedReserve returns the units that are reserved for the pool and not used.
func (u *usage) unusedReserve() int64 { return max(0, u.Reserved-u.used) }

// NewBudget returns a Budget of total units. A negative total is taken as 0.
func NewBudget(total int64) Budget {
	return Budget{total: max(0, total), claims: map[PoolID]*usage{}}
}

// Resize changes the total. Units acquired beyond the new total stay acquired until they are released.
func (b *Budget) Resize(total int64) { b.total = max(0, total) }

// Set sets or changes the claim of a pool. The sum of all reserves should not exceed the total. While it exceeds the total, Acquire fails
// for every pool. A reserve above the pool's limit is reduced to the limit.
func (b *Budget) Set(pool PoolID, claim Claim) {
	u := b.claims[pool]
	if u == nil {
		u = &usage{}
		b.claims[pool] = u
	}
	b.unusedReserve -= u.unusedReserve()
	u.Claim = Claim{Reserved: max(0, min(claim.Reserved, claim.Limit)), Limit: max(0, claim.Limit)}
	u.removed = false
	b.unusedReserve += u.unusedReserve()
}

// Remove removes the claim of a pool. The pool can acquire no more units, and its acquired units must still be released.
func (b *Budget) Remove(pool PoolID) {
	u := b.claims[pool]
	if u == nil {
		return
	}
	b.Set(pool, Claim{})
	u.removed = true
	b.deleteIfUnused(pool, u)
}

// deleteIfUnused deletes the entry of a removed pool that uses no units.
func (b *Budget) deleteIfUnused(pool PoolID, u *usage) {
	if u.removed && u.used == 0 {
		delete(b.claims, pool)
	}
}

// Acquire acquires n units for a pool and reports whether it succeeded. It fails for a negative n, for a pool without a claim, beyond
// the pool's limit, and where it would take units that are reserved for other pools.
func (b *Budget) Acquire(pool PoolID, n int64) bool {
	u := b.claims[pool]
	if u == nil || n < 0 || n > u.Limit-u.used {
		return false
	}
	reserveBefore := u.unusedReserve()
	u.used += n
	reserve := b.unusedReserve - reserveBefore + u.unusedReserve()
	if b.used+n+reserve > b.total {
		u.used -= n
		return false
	}
	b.used += n
	b.unusedReserve = reserve
	return true
}

// Release releases n units of a pool, or all units of the pool if it has fewer.
func (b *Budget) Release(pool PoolID, n int64) {
	u := b.claims[pool]
	if u == nil || n <= 0 {
		return
	}
	n = min(n, u.used)
	reserveBefore := u.unusedReserve()
	u.used -= n
	b.used -= n
	b.unusedReserve += u.unusedReserve() - reserveBefore
	b.deleteIfUnused(pool, u)
}

// Used returns the number of units that a pool uses.
func (b *Budget) Used(pool PoolID) int64 {
	if u := b.claims[pool]; u != nil {
		return u.used
	}
	return 0
}

// TotalUsed returns the number of units that all pools use together.
func (b *Budget) TotalUsed() int64 { return b.used }

// Excess returns the number of units that a pool uses beyond its reserve, negative if it uses fewer. When another pool needs a unit,
// the pool with the highest excess is the first to release one.
func (b *Budget) Excess(pool PoolID) int64 {
	if u := b.claims[pool]; u != nil {
		return u.used - u.Reserved
	}
	return 0
}

// AtLimit reports whether a pool uses all units of its limit. The result is true for a pool without a claim.
func (b *Budget) AtLimit(pool PoolID) bool {
	u := b.claims[pool]
	return u == nil || u.used >= u.Limit
}
