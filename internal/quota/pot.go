// Package quota decides how the pools of one process share what the process has: requests open, memory for bodies,
// descriptors and the attention of its processor. It is pure: events in, decisions out, with the time passed in. It
// knows no socket, no clock and no goroutine, and nothing of servers, routes or requests beyond their sizes.
package quota

import "math"

// PoolID names a pool within one process. Keys are never used twice.
type PoolID uint32

// Claim is what a pool may have of one resource.
type Claim struct {
	Reserved int64 // kept free for the pool, whatever others ask for
	Limit    int64 // the pool never has more
}

// Unlimited is the Max of a claim that only the whole bounds.
const Unlimited = math.MaxInt64

// Budget is a resource that several pools share. Each has a part that is kept for it, and what is left over goes to who asks
// first: so a pool that asks for all can have all that nobody else is entitled to, and no more. The zero Pot holds
// nothing.
type Budget struct {
	total         int64
	used          int64
	unusedReserve int64 // sum over the pools of what is kept for them and not used
	claims        map[PoolID]*usage
}

type usage struct {
	Claim
	used    int64
	removed bool // forgotten once nothing is used
}

func (c *usage) unusedReserve() int64 { return max(0, c.Reserved-c.used) }

// NewBudget returns a Pot of total units, which is at least 0.
func NewBudget(total int64) Budget { return Budget{total: max(0, total), claims: map[PoolID]*usage{}} }

// Resize makes total the size of the whole. What is taken beyond it stays taken until it is given back.
func (p *Budget) Resize(total int64) { p.total = max(0, total) }

// Set gives pool k the claim c, or changes it. The parts kept for all pools together should not exceed the whole; where
// they do, who comes first has its part.
func (p *Budget) Set(k PoolID, c Claim) {
	have := p.claims[k]
	if have == nil {
		have = &usage{}
		p.claims[k] = have
	}
	p.unusedReserve -= have.unusedReserve()
	have.Claim, have.removed = Claim{Reserved: max(0, min(c.Reserved, c.Limit)), Limit: max(0, c.Limit)}, false
	p.unusedReserve += have.unusedReserve()
}

// Remove ends the claim of pool k: it gets nothing more, and what it has is still to be given back.
func (p *Budget) Remove(k PoolID) {
	c := p.claims[k]
	if c == nil {
		return
	}
	p.Set(k, Claim{})
	c.removed = true
	p.deleteIfUnused(k, c)
}

func (p *Budget) deleteIfUnused(k PoolID, c *usage) {
	if c.removed && c.used == 0 {
		delete(p.claims, k)
	}
}

// Acquire takes n units, at least 0, for pool k, and reports whether it may: never of what is kept for others.
func (p *Budget) Acquire(k PoolID, n int64) bool {
	c := p.claims[k]
	if c == nil || n < 0 || n > c.Limit-c.used {
		return false
	}
	before := c.unusedReserve()
	c.used += n
	after := c.unusedReserve()
	if p.used+n+p.unusedReserve-before+after > p.total {
		c.used -= n
		return false
	}
	p.used += n
	p.unusedReserve += after - before
	return true
}

// Release gives n units that pool k has taken back.
func (p *Budget) Release(k PoolID, n int64) {
	c := p.claims[k]
	if c == nil || n <= 0 {
		return
	}
	n = min(n, c.used)
	before := c.unusedReserve()
	c.used -= n
	p.used -= n
	p.unusedReserve += c.unusedReserve() - before
	p.deleteIfUnused(k, c)
}

// Used is what pool k has.
func (p *Budget) Used(k PoolID) int64 {
	if c := p.claims[k]; c != nil {
		return c.used
	}
	return 0
}

// TotalUsed is what all pools have together.
func (p *Budget) TotalUsed() int64 { return p.used }

// Excess is how much more pool k has than is kept for it: who gives way first when a unit is wanted by another. It is
// negative below that.
func (p *Budget) Excess(k PoolID) int64 {
	if c := p.claims[k]; c != nil {
		return c.used - c.Reserved
	}
	return 0
}

// AtLimit reports whether pool k has all that it may ever have.
func (p *Budget) AtLimit(k PoolID) bool {
	c := p.claims[k]
	return c == nil || c.used >= c.Limit
}
