package quota

import (
	"math"
	"time"
)

const (
	// workDecayTime is the time constant of the exponential average of the pools' work. It is longer than a burst of some
	// milliseconds, and short enough to react at once to a flood of requests.
	workDecayTime = 200 * time.Millisecond
	// decayResolution is the shortest time between two decays, each of which visits every pool.
	decayResolution = workDecayTime / 100
	// overloadLag is the smoothed timer lag above which the CPU counts as overloaded.
	overloadLag = 2 * time.Millisecond
	// lagWeight is the weight of a new sample in the smoothed timer lag.
	lagWeight = 0.3
	// maxReadDelay bounds the read delay, because the delay adds to the latency of the client on that connection.
	maxReadDelay = 50 * time.Millisecond
	// firstRejectedDelay is the read delay after a rejection. It doubles with each further rejection in a row.
	firstRejectedDelay = 2 * time.Millisecond
	// maxDelayDoublings prevents an overflow of the doubled delay.
	maxDelayDoublings = 10
	// fairShareTolerance is the excess of a pool's fraction of the work over its fair share up to which the pool is not delayed.
	fairShareTolerance = 0.1
	// delayDamping divides the read delay, which grows with the excess and the timer lag up to maxReadDelay.
	delayDamping = 4
	// minTotalWork is the smallest divisor in work units. It avoids a division by zero.
	minTotalWork = 1e-9
)

// Pacer decides for how long reading from a pool's connections is paused. While the CPU is overloaded, it delays the pools that cause
// more than their fair share of the work. Responses are never delayed. A Pacer is not safe for concurrent use.
type Pacer struct {
	pools       map[PoolID]*poolWork
	totalWeight float64
	totalWork   float64       // as of updatedAt
	updatedAt   time.Duration // time of the last decay
	smoothedLag float64       // timer lag in seconds
}

// poolWork is a pool's weight and its exponentially decayed work.
type poolWork struct {
	weight float64
	work   float64
}

// NewPacer returns a Pacer without pools.
func NewPacer() *Pacer { return &Pacer{pools: map[PoolID]*poolWork{}} }

// Set adds a pool or changes its weight, which must be above 0. The fair share of a pool is its fraction of the sum of all weights.
func (p *Pacer) Set(pool PoolID, weight float64) {
	w := p.pools[pool]
	if w == nil {
		w = &poolWork{}
		p.pools[pool] = w
	}
	p.totalWeight += weight - w.weight
	w.weight = weight
}

// Remove removes a pool and its work.
func (p *Pacer) Remove(pool PoolID) {
	if w := p.pools[pool]; w != nil {
		p.totalWeight -= w.weight
		p.totalWork -= w.work
		delete(p.pools, pool)
	}
}

// RecordLag records how late a timer of the process fired. A negative lag counts as 0.
func (p *Pacer) RecordLag(lag time.Duration) {
	p.smoothedLag += lagWeight * (max(0, lag).Seconds() - p.smoothedLag)
}

// Overloaded reports whether the CPU is overloaded, judged by the smoothed timer lag.
func (p *Pacer) Overloaded() bool { return p.smoothedLag > overloadLag.Seconds() }

// RecordWork records work done for a pool. The unit is the caller's choice and must be the same for all pools.
func (p *Pacer) RecordWork(now time.Duration, pool PoolID, units float64) {
	p.decay(now)
	if w := p.pools[pool]; w != nil {
		w.work += units
		p.totalWork += units
	}
}

// decay applies the exponential decay to the work of all pools, unless the last decay is less than decayResolution ago.
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

// ReadDelay returns how long reading from a connection of a pool pauses after a response. rejectedInRow is the number of rejections
// in a row on the connection. While the CPU is overloaded, a pool that causes more than its fair share of the work is delayed in
// proportion to its excess.
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
