package keepalive

import (
	"math"
	"time"
)

const (
	// ageBuckets is the number of age buckets. The first is 1 ms wide and starts at 0, each further one ends at twice the age of the one
	// before, and the last ends at MaxIdle.
	ageBuckets = 12
	// priorWeight is the number of connections that are assumed at the start to have waited through every bucket and to have been used
	// at priorRate. It is small so that observations soon outweigh it.
	priorWeight = 1
	// priorRate is in uses per second.
	priorRate = 0.25
	// historySize is the number of ended waits per bucket that the exponential average covers. It is raised to historyPerWaiting times
	// the number of ongoing waits if that is more, because ongoing waits count as well and would otherwise outweigh the ended ones.
	historySize       = 200
	historyPerWaiting = 8
	// refreshInterval is the least number of waits that begin or end between two computations of the indices.
	refreshInterval = 8
	// epsilon is the smallest divisor, in seconds of waiting and in expected uses. It avoids divisions by zero.
	epsilon = 1e-9
)

// kindStats holds the statistics of the waits of one kind of connection. For each age bucket it has the time waited there and the
// number of uses, which are the waits that a request ended there. A wait that is cut short counts for the time that it lasted, as a
// censored observation. So closing some connections does not raise the estimated rate of use of the others.
type kindStats struct {
	waited  [ageBuckets]float64      // seconds
	used    [ageBuckets]float64      // uses
	index   [ageBuckets]float64      // Gittins index at the start of the bucket, in uses per second
	changes int                      // waits that began or ended since index was computed
	waiting map[uint64]time.Duration // start times of the ongoing waits
}

// bucketStart returns the age at which bucket i starts.
func bucketStart(i int) time.Duration {
	if i == 0 {
		return 0
	}
	return time.Millisecond << (i - 1)
}

// bucketEnd returns the age at which bucket i ends.
func bucketEnd(i int) time.Duration {
	if i == ageBuckets-1 {
		return MaxIdle
	}
	return time.Millisecond << i
}

// bucketWidth returns the width of bucket i in seconds.
func bucketWidth(i int) float64 { return (bucketEnd(i) - bucketStart(i)).Seconds() }

// bucketOf returns the bucket that an age falls into. The last bucket includes all ages above MaxIdle.
func bucketOf(age time.Duration) int {
	i := 0
	for i < ageBuckets-1 && age >= bucketEnd(i) {
		i++
	}
	return i
}

// timeIn returns how many seconds of a wait fall into bucket i, which the wait must have reached.
func timeIn(i int, wait time.Duration) float64 {
	return (min(wait, bucketEnd(i)) - bucketStart(i)).Seconds()
}

// reset sets the statistics to the prior.
func (s *kindStats) reset() {
	for i := range ageBuckets {
		s.waited[i] = priorWeight * bucketWidth(i)
		s.used[i] = priorRate * s.waited[i]
	}
	s.waiting = map[uint64]time.Duration{}
	s.refreshIndex(0)
}

// record adds a wait that has ended. Buckets that the wait did not reach are not decayed, because fewer waits reach them.
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

// refreshIfDue counts a wait that begins, and recomputes the indices if enough waits began or ended since the last time. The
// required number grows with the number of ongoing waits, so that the cost per wait stays small.
func (s *kindStats) refreshIfDue(now time.Duration) {
	s.changes++
	if s.changes >= refreshInterval && s.changes >= len(s.waiting)/refreshInterval {
		s.refreshIndex(now)
	}
}

// refreshIndex computes the Gittins index at the start of each bucket: the probability of a use divided by the expected further
// waiting time in seconds. The wait may stop at the end of this or any later bucket. The index is the maximum over these choices.
func (s *kindStats) refreshIndex(now time.Duration) {
	s.changes = 0
	waited := s.waitedUntil(now)
	var hazard, survival [ageBuckets]float64 // by bucket: the rate of use, and the probability of no use
	for i := range ageBuckets {
		hazard[i] = s.used[i] / max(waited[i], epsilon)
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

// expectedTime returns the expected number of seconds that a wait spends in a bucket once it has reached the bucket. width is in
// seconds, hazard is in uses per second, and survival is the probability of no use in the bucket.
func expectedTime(width, hazard, survival float64) float64 {
	if uses := hazard * width; uses > epsilon {
		return width * ((1 - survival) / uses)
	}
	return width
}

// waitedUntil returns the seconds waited in each bucket, including those of ongoing waits: when clients stop reusing their
// connections, the ongoing waits are the first to show it.
func (s *kindStats) waitedUntil(now time.Duration) [ageBuckets]float64 {
	waited := s.waited
	for _, since := range s.waiting {
		for i := 0; i < ageBuckets && now-since > bucketStart(i); i++ {
			waited[i] += timeIn(i, now-since)
		}
	}
	return waited
}

// maxWait returns the age at which the index first falls below the price, or MaxIdle if it never does.
func (s *kindStats) maxWait(price float64) time.Duration {
	for i, index := range s.index {
		if index < price {
			return bucketStart(i)
		}
	}
	return MaxIdle
}
