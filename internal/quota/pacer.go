package quota

import (
	"math"
	"time"
)

const (
	// workDecayTime is the time constant of the exponential average of the pools' work: longer than a burst of some
	// milliseconds, and short enough that a flood is met at once.
	workDecayTime = 200 * time.Millisecond
	// decayResolution is the least time between two decays, which take a step for each pool.
	decayResolution = workDecayTime / 100
	// overloadLag is the lag of the process from which its processor counts as overloaded.
	overloadLag = 2 * time.Millisecond
	// lagWeight is the weight of a new sample of the lag.
	lagWeight = 0.3
	// maxReadDelay bounds a read delay, which adds to the latency of the client on that connection.
	maxReadDelay = 50 * time.Millisecond
	// firstRejectedDelay is the read delay after a rejection; it doubles with each in a row.
	firstRejectedDelay = 2 * time.Millisecond
	// maxDelayDoublings keeps the doubled delay from overflowing.
	maxDelayDoublings = 10
	// fairShareTolerance is by how much a pool's fraction of the work may exceed its fair share before it is delayed.
	fairShareTolerance = 0.1
	// delayDamping divides the read delay, which grows with the excess and the lag up to maxReadDelay.
	delayDamping = 4
	// minTotalWork avoids a division by zero.
	minTotalWork = 1e-9
)

// Pacer decides how long connections of a pool are not read while the processor is overloaded: those of a pool that does more
// than its fair share of the work. Responses are never delayed. It is not safe for concurrent use.
type Pacer struct {
	pools       map[PoolID]*poolWork
	totalWeight float64
	totalWork   float64       // as of updatedAt
	updatedAt   time.Duration // of all figures of work
	smoothedLag float64       // seconds
}

// poolWork is a pool's weight and its decayed work.
type poolWork struct {
	weight float64
	work   float64
}

// NewPacer returns a Pacer without pools.
func NewPacer() *Pacer { return &Pacer{pools: map[PoolID]*poolWork{}} }

// Set adds a pool, or changes its weight, which is above 0. The fair share of a pool is its part of all weights.
func (p *Pacer) Set(pool PoolID, weight float64) {
	w := p.pools[pool]
	if w == nil {
		w = &poolWork{}
		p.pools[pool] = w
	}
	p.totalWeight += weight - w.weight
	w.weight = weight
}

// Remove removes a pool.
func (p *Pacer) Remove(pool PoolID) {
	if w := p.pools[pool]; w != nil {
		p.totalWeight -= w.weight
		p.totalWork -= w.work
		delete(p.pools, pool)
	}
}

// RecordLag notes how late a timer of the process fired.
func (p *Pacer) RecordLag(lag time.Duration) {
	p.smoothedLag += lagWeight * (max(0, lag).Seconds() - p.smoothedLag)
}

// Overloaded reports whether the processor is overloaded.
func (p *Pacer) Overloaded() bool { return p.smoothedLag > overloadLag.Seconds() }

// RecordWork notes work done for a pool, in any unit that is the same for all.
func (p *Pacer) RecordWork(now time.Duration, pool PoolID, units float64) {
	p.decay(now)
	if w := p.pools[pool]; w != nil {
		w.work += units
		p.totalWork += units
	}
}

// decay ages the work of all pools.
func (p *Pacer) decay(now time.Duration) {
	if now-p.updatedAt < decayResolution {
		return
	}
	factor := math.Exp(-float64(now-p.updatedAt) / float64(workDecayTime))
	p.updatedAt = now
	p.totalWork = 0
	for _, w := range p.pools {
		w.work *= factor
		p.totalWork += w.work
	}
}

// ReadDelay is how long a connection of a pool is not read after a response. rejectedInRow counts the rejections in a row on it.
// While the processor is overloaded, a pool that does more than its fair share is delayed in proportion.
func (p *Pacer) ReadDelay(now time.Duration, pool PoolID, rejectedInRow int) time.Duration {
	var delay time.Duration
	if rejectedInRow > 0 {
		delay = min(firstRejectedDelay<<min(rejectedInRow-1, maxDelayDoublings), maxReadDelay)
	}
	w := p.pools[pool]
	if w == nil || len(p.pools) < 2 || !p.Overloaded() {
		return delay
	}
	p.decay(now)
	excess := w.work/max(p.totalWork, minTotalWork) - w.weight/p.totalWeight
	if excess <= fairShareTolerance {
		return delay
	}
	fraction := min(1, excess*(1+p.smoothedLag/overloadLag.Seconds())/delayDamping)
	return max(delay, time.Duration(fraction*float64(maxReadDelay)))
}
