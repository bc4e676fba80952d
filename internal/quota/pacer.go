package quota

import (
	"math"
	"time"
)

const (
	// workMemory is the time over which the work of pools is compared, in the sense of an exponential average: long
	// enough that a burst of some milliseconds is no flood, short enough that a flood is met at once.
	workMemory = 200 * time.Millisecond
	// shortLag is the lateness of the process from which its processor counts as short.
	shortLag = 2 * time.Millisecond
	// lagWeight is the weight of a new sample of the lateness.
	lagWeight = 0.3
	// mostPace bounds how long a connection is not read for its pool's sake. A client on it waits so much longer for the
	// answer, which is to be little beside what it allows.
	mostPace = 50 * time.Millisecond
	// firstRefused is how long a connection is not read after a refusal; it doubles with each in a row.
	firstRefused = 2 * time.Millisecond
)

// Pacer decides how much the connections of each pool are read while the processor is short. A pool that does more than
// its part of the work is read less; no answer waits for it. It is not safe for concurrent use.
type Pacer struct {
	pools  map[Key]*paced
	weight float64       // sum
	work   float64       // of all, as of at
	at     time.Duration // of all figures
	lag    float64       // smoothed, in seconds
}

type paced struct {
	weight float64
	work   float64
}

// NewPacer returns a Pacer without pools.
func NewPacer() *Pacer { return &Pacer{pools: map[Key]*paced{}} }

// Set adds pool k, or changes its weight, which is above 0.
func (p *Pacer) Set(k Key, weight float64) {
	have := p.pools[k]
	if have == nil {
		have = &paced{}
		p.pools[k] = have
	}
	p.weight += weight - have.weight
	have.weight = weight
}

// Drop removes pool k.
func (p *Pacer) Drop(k Key) {
	if have := p.pools[k]; have != nil {
		p.weight -= have.weight
		p.work -= have.work
		delete(p.pools, k)
	}
}

// Lag notes how late the process was at something that it had set itself a time for.
func (p *Pacer) Lag(lag time.Duration) { p.lag += lagWeight * (max(0, lag).Seconds() - p.lag) }

// Short reports whether the processor is short.
func (p *Pacer) Short() bool { return p.lag > shortLag.Seconds() }

// Worked notes work done for pool k, in any unit that is the same for all.
func (p *Pacer) Worked(now time.Duration, k Key, units float64) {
	p.fade(now)
	if have := p.pools[k]; have != nil {
		have.work += units
		p.work += units
	}
}

// fade ages all work.
func (p *Pacer) fade(now time.Duration) {
	// Fading each pool at each event would cost as many steps as there are pools: below a hundredth of the memory the
	// figures are as good unfaded, and events come far more often.
	if now-p.at < workMemory/100 {
		return
	}
	f := math.Exp(-float64(now-p.at) / float64(workMemory))
	p.at = now
	p.work = 0
	for _, have := range p.pools {
		have.work *= f
		p.work += have.work
	}
}

// Pause is how long a connection of pool k is not read after an answer: refused counts the refusals on it in a row. While
// the processor is short, a pool with more than its part of the work is paused by how much it has more.
func (p *Pacer) Pause(now time.Duration, k Key, refused int) time.Duration {
	var pause time.Duration
	if refused > 0 {
		pause = min(firstRefused<<min(refused-1, 10), mostPace)
	}
	have := p.pools[k]
	if have == nil || len(p.pools) < 2 || !p.Short() {
		return pause
	}
	p.fade(now)
	if over := have.work/max(p.work, 1e-9) - have.weight/p.weight; over > 0.1 {
		pause = max(pause, time.Duration(min(1, over*(1+p.lag/shortLag.Seconds())/4)*float64(mostPace)))
	}
	return pause
}
