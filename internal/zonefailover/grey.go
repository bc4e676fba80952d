package zonefailover

import (
	"slices"
	"time"
)

// AttemptCounts counts what became of a member's attempts at a zone's servers, since the member's start.
type AttemptCounts struct {
	Succeeded, Failed int64 // an error or none in time is a failure; a refusal is none
	TotalLatency      time.Duration
}

// GrayRules are the figures by which a member finds that a zone fails in part.
type GrayRules struct {
	Window            time.Duration // that is looked at
	MinAttempts       int64         // attempts within it, at the zone and at others, without which nothing is said
	FailureThreshold  float64       // share of them from which on a zone is grey, where the others fail a quarter as often
	SlowdownThreshold float64       // times its usual delay from which on it is, where the others are half as slow by theirs
}

// DefaultGrayRules are figures for members with some requests a second. One in eight that fail are found, a twentieth is not.
func DefaultGrayRules() GrayRules {
	return GrayRules{Window: 4 * time.Second, MinAttempts: 12, FailureThreshold: 0.08, SlowdownThreshold: 3}
}

const (
	// maxSamples bounds the looks that a window is made of.
	maxSamples = 64
	// baselineWeight is by how much a look changes what counts as usual, of the delay within the window: some minutes of looks each half second.
	baselineWeight = 0.01
)

// GrayDetector is a member's own judgement on the zones of one pool. A zone that is far is slow by nature: what counts is its own usual delay.
type GrayDetector struct {
	rules    GrayRules
	samples  []sample
	baseline map[string]time.Duration // delay
	gray     map[string]bool
}

type sample struct {
	at    time.Duration
	zones map[string]AttemptCounts
}

// NewGrayDetector returns one that has seen nothing.
func NewGrayDetector(r GrayRules) *GrayDetector {
	return &GrayDetector{rules: r, baseline: map[string]time.Duration{}, gray: map[string]bool{}}
}

// Observe takes the tallies as they stand, and returns the zones that are grey to this member, in order.
func (g *GrayDetector) Observe(now time.Duration, zones map[string]AttemptCounts) []string {
	g.samples = append(g.samples, sample{now, zones})
	for len(g.samples) > 2 && (g.samples[1].at <= now-g.rules.Window || len(g.samples) > maxSamples) {
		g.samples = g.samples[1:]
	}
	from := g.samples[0].zones
	type figures struct {
		n            int64
		failed, slow float64
	}
	seen := map[string]figures{}
	for zone, t := range zones {
		was := from[zone]
		answered, failed := t.Succeeded-was.Succeeded, t.Failed-was.Failed
		if n := answered + failed; n >= g.rules.MinAttempts && zone != "" {
			f := figures{n: n, failed: float64(failed) / float64(n), slow: 1}
			if answered > 0 {
				mean := (t.TotalLatency - was.TotalLatency) / time.Duration(answered)
				if g.baseline[zone] == 0 {
					g.baseline[zone] = mean
				}
				f.slow = float64(mean) / float64(max(g.baseline[zone], 1))
				if f.slow < g.rules.SlowdownThreshold { // what is far from usual is not to become it
					g.baseline[zone] += time.Duration(baselineWeight * float64(mean-g.baseline[zone]))
				}
			}
			seen[zone] = f
		}
	}
	var all []string
	next := map[string]bool{}
	for zone, f := range seen {
		others, slowest, most := 0, 1.0, 0.0
		for other, o := range seen {
			if other != zone {
				others++
				slowest, most = max(slowest, o.slow), max(most, o.failed)
			}
		}
		// One that is grey already is so until it is well by half.
		ease := 1.0
		if g.gray[zone] {
			ease = 0.5
		}
		if others > 0 && (f.failed >= ease*g.rules.FailureThreshold && f.failed >= 4*most || f.slow >= ease*g.rules.SlowdownThreshold && f.slow >= 2*slowest) {
			next[zone] = true
			all = append(all, zone)
		}
	}
	g.gray = next
	slices.Sort(all)
	return all
}
