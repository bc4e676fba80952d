package policy

import (
	"math"
	"slices"
	"time"
)

// sampleSize is d of JBT-d, the endpoints sampled in a round: two choices are most of the gain.
const sampleSize = 2

// joinBelowThreshold is JBT-d of Zhou et al. A round samples d endpoints; the shortest queue that they report is the threshold.
// An endpoint whose load report is at or below it is marked; an admitted request goes to a marked endpoint if there is one, and
// takes its mark. A report marks once only, and marks expire, so that an instance with little traffic does not go by old ones.
type joinBelowThreshold struct {
	threshold     float64       // shortest queue reported so far in the latest round, in requests
	awaitingFirst bool          // no reply of that round has come
	markLifetime  time.Duration // the shortest latency objective
}

// newJoinBelowThreshold returns the rule before its first round: anything is below the threshold.
func newJoinBelowThreshold(classes []Class) joinBelowThreshold {
	j := joinBelowThreshold{threshold: math.Inf(1)}
	for _, c := range classes {
		if j.markLifetime == 0 || c.LatencyObjective < j.markLifetime {
			j.markLifetime = c.LatencyObjective
		}
	}
	return j
}

// beginRound makes the next sample the threshold.
func (j *joinBelowThreshold) beginRound() { j.awaitingFirst = true }

// recordSample lowers the threshold to the sampled queue if it is shorter, or the first of its round, and takes the marks of
// those that are above it now.
func (j *joinBelowThreshold) recordSample(queue float64, endpoints []*endpoint) {
	if j.awaitingFirst || queue < j.threshold {
		j.awaitingFirst, j.threshold = false, queue
		for _, e := range endpoints {
			e.marked = e.marked && e.reportedQueue <= j.threshold
		}
	}
}

// recordLoadReport notes what e reports, and marks it if that is at or below the threshold.
func (j *joinBelowThreshold) recordLoadReport(now Time, e *endpoint, l *LoadReport) {
	queue := reportedQueueLength(l)
	if queue < 0 {
		return
	}
	e.reportedQueue, e.hasReport = queue, true
	e.marked, e.markedAt = e.State == Ready && e.reportedQueue <= j.threshold, now
}

// markSampled makes e, the first to reply to a waiting request's own round, the threshold and marks it. If the request had to
// wait for a mark below the threshold of another request's round, it would be rejected although it could be served.
func (j *joinBelowThreshold) markSampled(now Time, e *endpoint) {
	j.threshold, e.marked, e.markedAt = e.reportedQueue, true, now
}

// isMarked reports whether e has a mark that has not expired.
func (j *joinBelowThreshold) isMarked(now Time, e *endpoint) bool {
	return e.marked && now-e.markedAt <= j.markLifetime
}

// hasMarkFor reports whether r can be sent at once by marks alone: an endpoint of the active subset is marked and within the
// limit. Where keys have affinity, a mark tells nothing of the key's own endpoints.
func (b *Balancer) hasMarkFor(now Time, r *request, active []*endpoint) bool {
	return slices.ContainsFunc(active, func(e *endpoint) bool {
		return b.jbt.isMarked(now, e) && !b.exceedsLimit(now, r, e) && !b.cfg.KeyAffinity
	})
}

// reportedQueueLength returns the queue that JBT-d goes by, in requests: all that an endpoint holds, if it reports that, since one
// that works on many requests at once is slow long before any of them waits. It is negative if l reports neither.
func reportedQueueLength(l *LoadReport) float64 {
	if l == nil {
		return -1
	}
	return max(l.Queue, l.InFlight)
}

// startSamplingRound sends the health checks of a round for r, to random endpoints of the given ones, and returns these. Where
// endpoints do less work for a key that they met lately, the round samples the key's own: those that rendezvous hashing
// puts first.
func (b *Balancer) startSamplingRound(now Time, r *request, endpoints []*endpoint, act Actions) []*endpoint {
	sample := slices.Clone(endpoints)
	b.rng.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	if b.cfg.KeyAffinity && r.Key != "" {
		sortByHash(sample, rendezvousHash(EndpointID(r.Key), 0))
	}
	sample = sample[:min(sampleSize, len(sample))]
	b.healthChecks.spendRound()
	b.jbt.beginRound()
	for _, e := range sample {
		b.checkHealth(now, e, act)
	}
	return sample
}
