// Package quota divides what one process has among its pools: open requests, memory for bodies, connections, and the time of
// its processor. It is pure: events in, decisions out, with the time passed in. It knows no socket, clock or goroutine, and
// nothing of servers, routes or requests beyond their sizes.
package quota

import "math"

// PoolID names a pool within one process. IDs are never used twice.
type PoolID uint32

// Claim is what a pool may have of one resource, in its units.
type Claim struct {
	Reserved int64 // kept free for the pool, whatever others ask for
	Limit    int64 // the pool never has more
}

// Unlimited is the Limit of a claim that only the whole resource bounds.
const Unlimited = math.MaxInt64

// Budget is a resource that several pools share. Each has a part that is reserved for it, and the rest goes to who asks first:
// so a pool that asks for all can have all that is not reserved for others, and no more. It is not safe for concurrent use, and
// the zero Budget holds nothing.
type Budget struct {
	total         int64
	used          int64
	unusedReserve int64 // sum over the pools of what is reserved for them and not used
	claims        map[PoolID]*usage
}

// usage is a pool's claim and what it uses.
type usage struct {
	Claim
	used    int64
	removed bool // deleted once nothing is used
}

func (u *usage) unusedReserve() int64 { return max(0, u.Reserved-u.used) }

// NewBudget returns a Budget of total units, taken as 0 if it is negative.
func NewBudget(total int64) Budget {
	return Budget{total: max(0, total), claims: map[PoolID]*usage{}}
}

// Resize changes the total. What is acquired beyond it stays acquired until it is released.
func (b *Budget) Resize(total int64) { b.total = max(0, total) }

// Set gives a pool a claim, or changes it. The reserves of all pools together should not exceed the total; where they do, who
// comes first has its reserve.
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

// Remove ends a pool's claim: it acquires nothing more, and what it has is still to be released.
func (b *Budget) Remove(pool PoolID) {
	u := b.claims[pool]
	if u == nil {
		return
	}
	b.Set(pool, Claim{})
	u.removed = true
	b.deleteIfUnused(pool, u)
}

func (b *Budget) deleteIfUnused(pool PoolID, u *usage) {
	if u.removed && u.used == 0 {
		delete(b.claims, pool)
	}
}

// Acquire acquires n units, at least 0, for a pool, and reports whether it could: not beyond the pool's limit, nor of what is
// reserved for others.
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

// Release gives back n units that a pool has acquired; of more than it has, all.
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

// Used is how many units a pool has.
func (b *Budget) Used(pool PoolID) int64 {
	if u := b.claims[pool]; u != nil {
		return u.used
	}
	return 0
}

// TotalUsed is how many units all pools have together.
func (b *Budget) TotalUsed() int64 { return b.used }

// Excess is how many more units a pool has than are reserved for it, negative if it has fewer: the pool with the most gives way
// first when another needs one.
func (b *Budget) Excess(pool PoolID) int64 {
	if u := b.claims[pool]; u != nil {
		return u.used - u.Reserved
	}
	return 0
}

// AtLimit reports whether a pool has all that it may ever have.
func (b *Budget) AtLimit(pool PoolID) bool {
	u := b.claims[pool]
	return u == nil || u.used >= u.Limit
}
