package process

import (
	"math"
	"runtime/metrics"
	"slices"
	"time"
)

// runnableWaitMetric is the runtime's histogram of how long goroutines were runnable before they ran.
const runnableWaitMetric = "/sched/latencies:seconds"

// RunnableWait measures how long goroutines wait until they run. It is not safe for concurrent use.
type RunnableWait struct {
	sample  [1]metrics.Sample
	last    []uint64 // counts of the histogram at the last call of Quantile
	current []uint64 // counts since then
}

// NewRunnableWait returns a RunnableWait that begins to measure now.
func NewRunnableWait() *RunnableWait {
	w := &RunnableWait{}
	w.sample[0].Name = runnableWaitMetric
	w.Quantile(1)
	return w
}

// Quantile returns the given quantile, from 0 to 1, of the waits since the last call, rounded up to a bound of the runtime's histogram. It is
// 0 if there were none.
func (w *RunnableWait) Quantile(q float64) time.Duration {
	metrics.Read(w.sample[:])
	if w.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	histogram := w.sample[0].Value.Float64Histogram()
	w.current = slices.Grow(w.current[:0], len(histogram.Counts))
	for i, count := range histogram.Counts {
		if w.last != nil {
			count -= w.last[i]
		}
		w.current = append(w.current, count)
	}
	w.last = append(w.last[:0], histogram.Counts...)
	return quantile(w.current, histogram.Buckets, q)
}

// quantile returns a quantile of a histogram as the upper bound of its bucket, or as the lower one if the bucket has no upper bound. Bucket i
// reaches from bounds[i] to bounds[i+1], in seconds.
func quantile(counts []uint64, bounds []float64, q float64) time.Duration {
	total := uint64(0)
	for _, count := range counts {
		total += count
	}
	rank := uint64(math.Ceil(q * float64(total)))
	if rank == 0 {
		return 0
	}
	i, seen := 0, counts[0]
	for seen < rank {
		i++
		seen += counts[i]
	}
	bound := bounds[i+1]
	if math.IsInf(bound, 1) {
		bound = bounds[i]
	}
	return time.Duration(bound * float64(time.Second))
}
