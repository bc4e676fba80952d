package policy

import "slices"

const (
	// sampleSize is d of JBT-d: two choices already tilt the pick (section 3.2).
	sampleSize = 2
)

// startSamplingRound starts a probe round, whose replies set the threshold. The period T is thus counted in
// requests, so that sidecars that send little neither probe in vain nor keep a clock.
// Where servers do less work for a key they met lately, the round asks the key's homes instead: the d
// servers that rendezvous hashing puts first.
func (b *Balancer) startSamplingRound(now Time, r *request, set []*endpoint, act Actions) []*endpoint {
	set = slices.Clone(set)
	b.rng.Shuffle(len(set), func(i, j int) { set[i], set[j] = set[j], set[i] })
	if b.cfg.KeyAffinity && r.Key != "" {
		sortByHash(set, rendezvousHash(EndpointID(r.Key), 0))
	}
	set = set[:min(sampleSize, len(set))]
	b.healthCheckCredit -= sampleSize
	b.awaitingFirstReply = true
	for _, s := range set {
		b.checkHealth(now, s, act)
	}
	return set
}

// isMarked reports whether s has a mark that is not stale.
func (b *Balancer) isMarked(now Time, s *endpoint) bool {
	return s.marked && now-s.markedAt <= b.markLifetime
}

// recordLoadReport notes a load report. The tick of the design is the arrival of a report: the server is
// marked if the figure is at or below the threshold. Figures are never used twice for marking,
// which is how marks and thresholds of a sidecar that sends little stay fresh.
func (b *Balancer) recordLoadReport(now Time, s *endpoint, l *LoadReport) {
	q := reportedQueueLength(l)
	if q < 0 {
		return
	}
	s.reportedQueue, s.hasReport = q, true
	s.marked, s.markedAt = s.State == Ready && s.reportedQueue <= b.threshold, now
}

// reportedQueueLength is the queue of JBT-d: all that a server holds, where it tells. Those that take many requests
// at once are slow long before any of them waits. It is negative if l tells neither.
func reportedQueueLength(l *LoadReport) float64 {
	if l == nil {
		return -1
	}
	return max(l.Queue, l.InFlight)
}
