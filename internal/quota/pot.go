// Package quota decides how the pools of one process share what the process has: requests open, memory for bodies,
// descriptors and the attention of its processor. It is pure: events in, decisions out, with the time passed in. It
// knows no socket, no clock and no goroutine, and nothing of servers, routes or requests beyond their sizes.
package quota

import "math"

// Key names a pool within one process. Keys are never used twice.
type Key uint32

// Claim is what a pool may have of one resource.
type Claim struct {
	Min int64 // kept free for the pool, whatever others ask for
	Max int64 // the pool never has more
}

// NoLimit is the Max of a claim that only the whole bounds.
const NoLimit = math.MaxInt64

// Pot is a resource that several pools share. Each has a part that is kept for it, and what is left over goes to who asks
// first: so a pool that asks for all can have all that nobody else is entitled to, and no more. The zero Pot holds
// nothing.
type Pot struct {
	total  int64
	used   int64
	unmet  int64 // sum over the pools of what is kept for them and not used
	claims map[Key]*claim
}

type claim struct {
	Claim
	used    int64
	leaving bool // forgotten once nothing is used
}

func (c *claim) unmet() int64 { return max(0, c.Min-c.used) }

// NewPot returns a Pot of total units, which is at least 0.
func NewPot(total int64) Pot { return Pot{total: max(0, total), claims: map[Key]*claim{}} }

// Resize makes total the size of the whole. What is taken beyond it stays taken until it is given back.
func (p *Pot) Resize(total int64) { p.total = max(0, total) }

// Set gives pool k the claim c, or changes it. The parts kept for all pools together should not exceed the whole; where
// they do, who comes first has its part.
func (p *Pot) Set(k Key, c Claim) {
	have := p.claims[k]
	if have == nil {
		have = &claim{}
		p.claims[k] = have
	}
	p.unmet -= have.unmet()
	have.Claim, have.leaving = Claim{Min: max(0, min(c.Min, c.Max)), Max: max(0, c.Max)}, false
	p.unmet += have.unmet()
}

// Drop ends the claim of pool k: it gets nothing more, and what it has is still to be given back.
func (p *Pot) Drop(k Key) {
	c := p.claims[k]
	if c == nil {
		return
	}
	p.Set(k, Claim{})
	c.leaving = true
	p.forget(k, c)
}

func (p *Pot) forget(k Key, c *claim) {
	if c.leaving && c.used == 0 {
		delete(p.claims, k)
	}
}

// Take takes n units, at least 0, for pool k, and reports whether it may: never of what is kept for others.
func (p *Pot) Take(k Key, n int64) bool {
	c := p.claims[k]
	if c == nil || n < 0 || n > c.Max-c.used {
		return false
	}
	before := c.unmet()
	c.used += n
	after := c.unmet()
	if p.used+n+p.unmet-before+after > p.total {
		c.used -= n
		return false
	}
	p.used += n
	p.unmet += after - before
	return true
}

// Give gives n units that pool k has taken back.
func (p *Pot) Give(k Key, n int64) {
	c := p.claims[k]
	if c == nil || n <= 0 {
		return
	}
	n = min(n, c.used)
	before := c.unmet()
	c.used -= n
	p.used -= n
	p.unmet += c.unmet() - before
	p.forget(k, c)
}

// Used is what pool k has.
func (p *Pot) Used(k Key) int64 {
	if c := p.claims[k]; c != nil {
		return c.used
	}
	return 0
}

// InUse is what all pools have together.
func (p *Pot) InUse() int64 { return p.used }

// Excess is how much more pool k has than is kept for it: who gives way first when a unit is wanted by another. It is
// negative below that.
func (p *Pot) Excess(k Key) int64 {
	if c := p.claims[k]; c != nil {
		return c.used - c.Min
	}
	return 0
}

// Capped reports whether pool k has all that it may ever have.
func (p *Pot) Capped(k Key) bool {
	c := p.claims[k]
	return c == nil || c.used >= c.Max
}
