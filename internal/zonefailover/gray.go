package zonefailover

import (
	"maps"
	"slices"
	"time"
)

// AttemptCounts counts the attempts that a member has sent to the endpoints of a zone since the member started.
type AttemptCounts struct {
	Succeeded    int64
	Failed       int64         // error or timeout; a rejection counts neither as success nor as failure
	TotalLatency time.Duration // of the successful attempts
}

// GrayRules are the parameters by which a member detects a gray failure (partial failure) of a zone.
type GrayRules struct {
	Window            time.Duration // period over which attempts are compared
	MinAttempts       int64         // per zone within the window; a zone with fewer attempts is ignored
	FailureThreshold  float64       // fraction of failed attempts at which a zone is gray
	SlowdownThreshold float64       // multiple of the zone's baseline latency at which the zone is gray
}

// DefaultGrayRules returns rules for members that send a few requests per second.
func DefaultGrayRules() GrayRules {
	return GrayRules{Window: 4 * time.Second, MinAttempts: 12, FailureThreshold: 0.08, SlowdownThreshold: 3}
}

const (
	// maxSamples limits the number of samples kept for the window.
	maxSamples = 64
	// baselineWeight is the weight of one observation in a zone's baseline latency (exponential moving average).
	baselineWeight = 0.01
	// failureContrast is the minimum ratio between the failure fraction of a gray zone and the highest of all other zones.
	failureContrast = 4
	// slowdownContrast is the minimum ratio between the slowdown of a gray zone and the highest of all other zones.
	slowdownContrast = 2
	// clearingFactor scales the thresholds for a zone that is already gray. The hysteresis prevents flapping.
	clearingFactor = 0.5
)

// GrayDetector detects gray failures (Huang et al. 2017) of the zones of a pool from the outcomes of one member's own attempts.
// The latency of each zone is compared with the zone's own baseline, because a distant zone always has a higher latency. A
// GrayDetector is not safe for concurrent use.
type GrayDetector struct {
	rules    GrayRules
	samples  []sample                 // oldest first
	baseline map[string]time.Duration // moving average of the latency, by zone
	gray     map[string]bool          // zones found gray by the last observation
}

// sample holds the counts of all zones at one time.
type sample struct {
	at    time.Duration
	zones map[string]AttemptCounts
}

// zoneRates summarizes the attempts at one zone within the window.
type zoneRates struct {
	failed   float64 // fraction of the attempts
	slowdown float64 // multiple of the baseline latency
}

// NewGrayDetector returns a detector without observations.
func NewGrayDetector(r GrayRules) *GrayDetector {
	return &GrayDetector{rules: r, baseline: map[string]time.Duration{}, gray: map[string]bool{}}
}

// Observe records the current counts and returns the names of the zones that are gray from the view of this member, sorted.
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

// addSample appends a sample and removes the samples that are older than the window, except the newest of these. It also removes
// the oldest samples if there are more than maxSamples.
func (g *GrayDetector) addSample(now time.Duration, counts map[string]AttemptCounts) {
	g.samples = append(g.samples, sample{now, counts})
	for len(g.samples) > 2 && (g.samples[1].at <= now-g.rules.Window || len(g.samples) > maxSamples) {
		g.samples = g.samples[1:]
	}
}

// rates returns the rates of the zones that have at least MinAttempts attempts within the window.
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

// slowdown returns the mean latency of a zone as a multiple of its baseline, and updates the baseline. A slowdown at or above
// SlowdownThreshold does not update the baseline. Otherwise, a persistent failure would become the baseline.
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

// isGray compares a zone with the thresholds and with all other zones. A problem that all zones share is caused by load or by the
// member itself.
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
