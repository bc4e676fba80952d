package keepalive

import (
	"math"
	"time"
)

const (
	// ageBuckets is how many buckets of age there are: the first of 1 ms, each further one twice as long, the last up to MaxIdle.
	ageBuckets = 12
	// priorWeight is how many connections are assumed at the start to have waited, and been used at priorRate: so few that what
	// is observed soon counts for more.
	priorWeight = 1
	// priorRate is in uses a second.
	priorRate = 0.25
	// historySize is how many waits through a bucket are remembered, as an exponential average, or historyPerWaiting times those
	// that go on, if that is more: these count as well, and would else outweigh the ones that ended.
	historySize       = 200
	historyPerWaiting = 8
	// refreshInterval is after how many waits the indices are computed anew.
	refreshInterval = 8
	// negligible avoids divisions by zero, of times in seconds and of probabilities.
	negligible = 1e-9
)

// kindStats is what is known of the waits of one kind, by bucket of age: the time waited there, and how often a request ended it.
// Waits that end early count for what they were, so that closing some does not make the rest look better.
type kindStats struct {
	waited  [ageBuckets]float64      // seconds
	used    [ageBuckets]float64      // uses
	index   [ageBuckets]float64      // Gittins index, uses a second, from the start of the bucket on
	changes int                      // waits that began or ended since index was computed
	waiting map[uint64]time.Duration // when the waits that go on began
}

// bucketStart and bucketEnd are the ages between which a bucket lies.
func bucketStart(i int) time.Duration {
	if i == 0 {
		return 0
	}
	return time.Millisecond << (i - 1)
}

func bucketEnd(i int) time.Duration {
	if i == ageBuckets-1 {
		return MaxIdle
	}
	return time.Millisecond << i
}

// bucketWidth is in seconds.
func bucketWidth(i int) float64 { return (bucketEnd(i) - bucketStart(i)).Seconds() }

// bucketOf is the bucket of an age.
func bucketOf(age time.Duration) int {
	i := 0
	for i < ageBuckets-1 && age >= bucketEnd(i) {
		i++
	}
	return i
}

// timeIn is how much of a wait, in seconds, falls into a bucket that it has reached.
func timeIn(i int, wait time.Duration) float64 {
	return (min(wait, bucketEnd(i)) - bucketStart(i)).Seconds()
}

func (s *kindStats) reset() {
	for i := range ageBuckets {
		s.waited[i] = priorWeight * bucketWidth(i)
		s.used[i] = priorRate * s.waited[i]
	}
	s.waiting = map[uint64]time.Duration{}
	s.refreshIndex(0)
}

// record adds a wait that has ended. Buckets that it has not reached forget nothing: they are reached more rarely.
func (s *kindStats) record(wait time.Duration, used bool) {
	wait = max(0, wait)
	size := float64(max(historySize, historyPerWaiting*len(s.waiting)))
	for i := range ageBuckets {
		if wait <= bucketStart(i) && i > 0 {
			break
		}
		s.waited[i] -= s.waited[i] / size
		s.used[i] -= s.used[i] / size
		s.waited[i] += timeIn(i, wait)
	}
	if used {
		s.used[bucketOf(wait)]++
	}
	s.changes++
}

// refreshIfDue computes the indices anew after some waits, the more the more there are, so that each costs little.
func (s *kindStats) refreshIfDue(now time.Duration) {
	s.changes++
	if s.changes >= refreshInterval && s.changes >= len(s.waiting)/refreshInterval {
		s.refreshIndex(now)
	}
}

// refreshIndex computes the Gittins index of each bucket: over all ends of the further wait, the greatest probability of a use for
// each second that it is expected to take.
func (s *kindStats) refreshIndex(now time.Duration) {
	s.changes = 0
	waited := s.waitedUntil(now)
	var hazard, survival [ageBuckets]float64 // rate of use, and probability of none, in a bucket
	for i := range ageBuckets {
		hazard[i] = s.used[i] / max(waited[i], negligible)
		survival[i] = math.Exp(-hazard[i] * bucketWidth(i))
	}
	for start := range ageBuckets {
		survives, seconds, best := 1.0, 0.0, 0.0
		for i := start; i < ageBuckets; i++ {
			seconds += survives * expectedTime(bucketWidth(i), hazard[i], survival[i])
			survives *= survival[i]
			best = max(best, (1-survives)/seconds)
		}
		s.index[start] = best
	}
}

// expectedTime is how many seconds a wait that reaches a bucket is expected to spend there.
func expectedTime(width, hazard, survival float64) float64 {
	if uses := hazard * width; uses > negligible {
		return width * ((1 - survival) / uses)
	}
	return width
}

// waitedUntil is the time waited in each bucket, in seconds, that of the waits that go on included: when clients cease to use their
// connections, those that are not used now are the first to show it.
func (s *kindStats) waitedUntil(now time.Duration) [ageBuckets]float64 {
	waited := s.waited
	for _, since := range s.waiting {
		for i := 0; i < ageBuckets && now-since > bucketStart(i); i++ {
			waited[i] += timeIn(i, now-since)
		}
	}
	return waited
}

// maxWait is the age from which the index is below the price.
func (s *kindStats) maxWait(price float64) time.Duration {
	for i, index := range s.index {
		if index < price {
			return bucketStart(i)
		}
	}
	return MaxIdle
}
