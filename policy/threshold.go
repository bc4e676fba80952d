package policy

import (
	"math"
	"slices"
	"time"
)

// sampleSize is the d of JBT-d, the number of endpoints sampled per round. Two choices give most of the gain.
const sampleSize = 2

// joinBelowThreshold implements JBT-d of Zhou et al., "Designing Low-Complexity Heavy-Traffic Delay-Optimal Load Balancing Schemes" (2017).
// A round samples d endpoints, and the shortest queue that they report is the threshold. An endpoint is marked if its load report is at or
// below the threshold. An admitted request goes to a marked endpoint if there is one, and clears the mark. One report thus allows at most
// one request by a mark, and marks expire. An instance with little traffic therefore does not rely on outdated marks.
type joinBelowThreshold struct {
	threshold     float64       // shortest queue reported so far in the latest round, in requests; markSampled may raise it
	awaitingFirst bool          // the latest round has no reply yet
	markLifetime  time.Duration // the shortest latency objective of all classes
}

// newJoinBelowThreshold returns the state before the first round. Its threshold is infinite.
func newJoinBelowThreshold(classes []Class) joinBelowThreshold {
	j := joinBelowThreshold{threshold: math.Inf(1)}
	for _, c := range classes {
		if j.markLifetime == 0 || c.LatencyObjective < j.markLifetime {
			j.markLifetime = c.LatencyObjective
		}
	}
	return j
}

// beginRound starts a round: the next sampled queue replaces the threshold.
func (j *joinBelowThreshold) beginRound() { j.awaitingFirst = true }

// recordSample sets the threshold to the sampled queue if that is the first of its round or shorter than the threshold. It then clears the
// marks of endpoints above the new threshold.
func (j *joinBelowThreshold) recordSample(queue float64, endpoints []*endpoint) {
	if j.awaitingFirst || queue < j.threshold {
		j.awaitingFirst, j.threshold = false, queue
		for _, e := range endpoints {
			e.marked = e.marked && e.reportedQueue <= j.threshold
		}
	}
}

// recordLoadReport stores the queue that e reports, and marks e if the queue is at or below the threshold. It ignores a report without a
// queue.
func (j *joinBelowThreshold) recordLoadReport(now Time, e *endpoint, l *LoadReport) {
	queue := reportedQueueLength(l)
	if queue < 0 {
		return
	}
	e.reportedQueue, e.hasReport = queue, true
	e.marked, e.markedAt = e.State == Ready && e.reportedQueue <= j.threshold, now
}

// markSampled marks e and sets the threshold to its queue. e has replied in the round of a waiting request and is the first endpoint within
// its limit. The threshold may come from the round of another request. Keeping that threshold could reject a request that e can serve.
func (j *joinBelowThreshold) markSampled(now Time, e *endpoint) {
	j.threshold, e.marked, e.markedAt = e.reportedQueue, true, now
}

// isMarked reports whether e has a mark that has not expired at now.
func (j *joinBelowThreshold) isMarked(now Time, e *endpoint) bool {
	return e.marked && now-e.markedAt <= j.markLifetime
}

// hasMarkFor reports whether r can be sent without waiting for a sample: an endpoint of the active subset is marked and within the limit
// of r. With key affinity it reports false, because a mark says nothing about the endpoints of the key.
func (b *Balancer) hasMarkFor(now Time, r *request, active []*endpoint) bool {
	return slices.ContainsFunc(active, func(e *endpoint) bool {
		return b.jbt.isMarked(now, e) && !b.exceedsLimit(now, r, e) && !b.cfg.KeyAffinity
	})
}

// reportedQueueLength returns the queue that JBT-d uses, in requests: the larger of Queue and InFlight. InFlight includes the requests that
// are being processed, because an endpoint that processes many requests in parallel is slow long before any of them waits. The result is
// negative if l reports neither.
func reportedQueueLength(l *LoadReport) float64 {
	if l == nil {
		return -1
	}
	return max(l.Queue, l.InFlight)
}

// startSamplingRound sends the health checks of a round for r to sampleSize random endpoints of the given ones, and returns the sampled
// endpoints. With key affinity, the round samples the endpoints that are first in the rendezvous hash order of the key, because an endpoint
// does less work for a key that it has served recently.
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
