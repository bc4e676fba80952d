package quota

import (
	"math"
	"time"
)

const (
	// workDecayTime is the time over which the work of pools is compared, in the sense of an exponential average: long
	// enough that a burst of some milliseconds is no flood, short enough that a flood is met at once.
	workDecayTime = 200 * time.Millisecond
	// overloadLag is the lateness of the process from which its processor counts as short.
	overloadLag = 2 * time.Millisecond
	// lagWeight is the weight of a new sample of the lateness.
	lagWeight = 0.3
	// maxReadDelay bounds how long a connection is not read for its pool's sake. A client on it waits so much longer for the
	// answer, which is to be little beside what it allows.
	maxReadDelay = 50 * time.Millisecond
	// firstRejectedDelay is how long a connection is not read after a refusal; it doubles with each in a row.
	firstRejectedDelay = 2 * time.Millisecond
)

// Pacer decides how much the connections of each pool are read while the processor is short. A pool that does more than
// its part of the work is read less; no answer waits for it. It is not safe for concurrent use.
type Pacer struct {
	pools       map[PoolID]*poolWork
	totalWeight float64       // sum
	totalWork   float64       // of all, as of at
	updatedAt   time.Duration // of all figures
	smoothedLag float64       // smoothed, in seconds
}

type poolWork struct {
	weight float64
	work   float64
}

// NewPacer returns a Pacer without pools.
func NewPacer() *Pacer { return &Pacer{pools: map[PoolID]*poolWork{}} }

// Set adds pool k, or changes its weight, which is above 0.
func (p *Pacer) Set(k PoolID, weight float64) {
	have := p.pools[k]
	if have == nil {
		have = &poolWork{}
		p.pools[k] = have
	}
	p.totalWeight += weight - have.weight
	have.weight = weight
}

// Remove removes pool k.
func (p *Pacer) Remove(k PoolID) {
	if have := p.pools[k]; have != nil {
		p.totalWeight -= have.weight
		p.totalWork -= have.work
		delete(p.pools, k)
	}
}

// RecordLag notes how late the process was at something that it had set itself a time for.
func (p *Pacer) RecordLag(lag time.Duration) {
	p.smoothedLag += lagWeight * (max(0, lag).Seconds() - p.smoothedLag)
}

// Overloaded reports whether the processor is short.
func (p *Pacer) Overloaded() bool { return p.smoothedLag > overloadLag.Seconds() }

// RecordWork notes work done for pool k, in any unit that is the same for all.
func (p *Pacer) RecordWork(now time.Duration, k PoolID, units float64) {
	p.decay(now)
	if have := p.pools[k]; have != nil {
		have.work += units
		p.totalWork += units
	}
}

// decay ages all work.
func (p *Pacer) decay(now time.Duration) {
	// Fading each pool at each event would cost as many steps as there are pools: below a hundredth of the memory the
	// figures are as good unfaded, and events come far more often.
	if now-p.updatedAt < workDecayTime/100 {
		return
	}
	f := math.Exp(-float64(now-p.updatedAt) / float64(workDecayTime))
	p.updatedAt = now
	p.totalWork = 0
	for _, have := range p.pools {
		have.work *= f
		p.totalWork += have.work
	}
}

// ReadDelay is how long a connection of pool k is not read after an answer: refused counts the refusals on it in a row. While
// the processor is short, a pool with more than its part of the work is paused by how much it has more.
func (p *Pacer) ReadDelay(now time.Duration, k PoolID, refused int) time.Duration {
	var pause time.Duration
	if refused > 0 {
		pause = min(firstRejectedDelay<<min(refused-1, 10), maxReadDelay)
	}
	have := p.pools[k]
	if have == nil || len(p.pools) < 2 || !p.Overloaded() {
		return pause
	}
	p.decay(now)
	if over := have.work/max(p.totalWork, 1e-9) - have.weight/p.totalWeight; over > 0.1 {
		pause = max(pause, time.Duration(min(1, over*(1+p.smoothedLag/overloadLag.Seconds())/4)*float64(maxReadDelay)))
	}
	return pause
}
