package zonefailover

import (
	"maps"
	"slices"
	"time"
)

// AttemptCounts are the outcomes of a member's attempts at a zone's endpoints since the member started.
type AttemptCounts struct {
	Succeeded    int64
	Failed       int64         // an error, or no response in time; a rejection is neither success nor failure
	TotalLatency time.Duration // of those that succeeded
}

// GrayRules are the parameters by which a member finds that a zone fails in part.
type GrayRules struct {
	Window            time.Duration // over which attempts are compared
	MinAttempts       int64         // at a zone within the window, below which the zone is left out
	FailureThreshold  float64       // fraction of failed attempts from which a zone is gray
	SlowdownThreshold float64       // multiple of the zone's usual latency from which it is gray
}

// DefaultGrayRules suit members with some requests a second.
func DefaultGrayRules() GrayRules {
	return GrayRules{Window: 4 * time.Second, MinAttempts: 12, FailureThreshold: 0.08, SlowdownThreshold: 3}
}

const (
	// maxSamples bounds the samples of a window.
	maxSamples = 64
	// baselineWeight is the weight of one observation in a zone's usual latency.
	baselineWeight = 0.01
	// failureContrast is how many times as often as at any other zone attempts must fail at a gray one.
	failureContrast = 4
	// slowdownContrast is how many times the slowdown of any other zone a gray one must have.
	slowdownContrast = 2
	// clearingFactor scales the thresholds for a zone that is already gray, so that it does not flap.
	clearingFactor = 0.5
)

// GrayDetector finds gray failures (Huang et al. 2017) of a pool's zones by the outcomes of one member's own attempts. A
// distant zone is slow by nature: each is compared with its own usual latency. It is not safe for concurrent use.
type GrayDetector struct {
	rules    GrayRules
	samples  []sample                 // oldest first
	baseline map[string]time.Duration // usual latency, by zone
	gray     map[string]bool          // by the last observation
}

// sample holds the counts of all zones at one moment.
type sample struct {
	at    time.Duration
	zones map[string]AttemptCounts
}

// zoneRates are the outcomes at one zone within the window.
type zoneRates struct {
	failed   float64 // fraction of the attempts
	slowdown float64 // multiple of the usual latency
}

// NewGrayDetector returns a detector without observations.
func NewGrayDetector(r GrayRules) *GrayDetector {
	return &GrayDetector{rules: r, baseline: map[string]time.Duration{}, gray: map[string]bool{}}
}

// Observe takes the counts as they stand now, and returns the zones that are gray to this member, in order.
func (g *GrayDetector) Observe(now time.Duration, counts map[string]AttemptCounts) []string {
	g.addSample(now, counts)
	rates := g.rates(counts)
	gray := map[string]bool{}
	for zone := range rates {
		if g.isGray(zone, rates) {
			gray[zone] = true
		}
	}
	g.gray = gray
	return slices.Sorted(maps.Keys(gray))
}

// addSample drops samples beyond the window, but the newest of them.
func (g *GrayDetector) addSample(now time.Duration, counts map[string]AttemptCounts) {
	g.samples = append(g.samples, sample{now, counts})
	for len(g.samples) > 2 && (g.samples[1].at <= now-g.rules.Window || len(g.samples) > maxSamples) {
		g.samples = g.samples[1:]
	}
}

// rates are those of the zones with enough attempts within the window.
func (g *GrayDetector) rates(counts map[string]AttemptCounts) map[string]zoneRates {
	oldest := g.samples[0].zones
	rates := map[string]zoneRates{}
	for zone, count := range counts {
		before := oldest[zone]
		succeeded, failed := count.Succeeded-before.Succeeded, count.Failed-before.Failed
		attempts := succeeded + failed
		if zone == "" || attempts < g.rules.MinAttempts {
			continue
		}
		slowdown := 1.0
		if succeeded > 0 {
			slowdown = g.slowdown(zone, (count.TotalLatency-before.TotalLatency)/time.Duration(succeeded))
		}
		rates[zone] = zoneRates{failed: float64(failed) / float64(attempts), slowdown: slowdown}
	}
	return rates
}

// slowdown is a zone's mean latency as a multiple of its usual one, which it updates: not by one that is far from usual, or a
// lasting failure would become the baseline.
func (g *GrayDetector) slowdown(zone string, mean time.Duration) float64 {
	if g.baseline[zone] == 0 {
		g.baseline[zone] = mean
	}
	slowdown := float64(mean) / float64(max(g.baseline[zone], 1))
	if slowdown < g.rules.SlowdownThreshold {
		g.baseline[zone] += time.Duration(baselineWeight * float64(mean-g.baseline[zone]))
	}
	return slowdown
}

// isGray compares a zone with its thresholds and with all others: what is common to all is load, or the member itself.
func (g *GrayDetector) isGray(zone string, rates map[string]zoneRates) bool {
	if len(rates) < 2 {
		return false
	}
	maxFailed, maxSlowdown := 0.0, 1.0
	for other, r := range rates {
		if other != zone {
			maxFailed = max(maxFailed, r.failed)
			maxSlowdown = max(maxSlowdown, r.slowdown)
		}
	}
	factor := 1.0
	if g.gray[zone] {
		factor = clearingFactor
	}
	own := rates[zone]
	failing := own.failed >= factor*g.rules.FailureThreshold && own.failed >= failureContrast*maxFailed
	slow := own.slowdown >= factor*g.rules.SlowdownThreshold && own.slowdown >= slowdownContrast*maxSlowdown
	return failing || slow
}
