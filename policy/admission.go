package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// queueWaitDivisor divides the remaining time of a request to get its longest wait for a load sample, because the wait adds to the
	// latency.
	queueWaitDivisor = 6
	// randomRejectionBand is the width under a full shortage of the random rejection range, which ends at a request's latency limit. It is
	// a fraction of the part of the limit above the latency without a queue. The rejection probability rises to 1 across the range. The
	// range is wide enough that queues settle inside it, below the objective, even if each rejected client retries up to three times.
	randomRejectionBand = 0.4
	// sheddingLatencyMargin is the fraction that is added to expected latencies under a full shortage.
	sheddingLatencyMargin = 0.5
	// topPriorityDivisor defines top priority: a class has it if its priority density is above the highest one divided by this number.
	topPriorityDivisor = 2
	// minPriorityDensity is the least value used as the highest priority density. It prevents a division by zero if all weights are zero.
	minPriorityDensity = 1e-9

	// capacityDecayTime is the time constant of the exponential decay of the request counts in the capacity estimate.
	capacityDecayTime = 500 * time.Millisecond
	// capacityPriorRequests is the number of requests without capacity that are assumed in addition to those counted. An instance with
	// little traffic has little information and therefore rejects as under a shortage.
	capacityPriorRequests = 10
	// minCapacityRequests is the number of recent requests that are needed to prove that there is capacity.
	minCapacityRequests = 3
	// sheddingStartShortage is the fraction of requests without capacity up to which no class is shed.
	sheddingStartShortage = 0.15
	// sheddingFullShortage is the fraction of requests without capacity from which the lowest priorities are shed in full.
	sheddingFullShortage = 0.4
)

// endReason is the reason why a request ends without a response.
type endReason int

const (
	endedDeadline       endReason = iota // a response would be too late to be of use to the client
	endedOverLimit                       // load shedding: the expected latency is above the latency limit of the request
	endedNoEndpoint                      // no endpoint may get an attempt
	endedAttemptsFailed                  // the attempts failed, and no retry is allowed or of use
)

// retryHelps reports whether a retry by the client could succeed. Only then may the request be rejected instead of failed.
func (r endReason) retryHelps() bool { return r != endedDeadline }

// capacityEstimator distinguishes a capacity shortage from single slow responses. Among the recent requests of any priority that
// admitOrReject decided, it counts those for which at least one endpoint of the active subset had capacity (hasCapacity). Requests that are
// sent to a marked or just sampled endpoint are not counted.
type capacityEstimator struct {
	requests, withCapacity float64 // counts with exponential decay
	updatedAt              Time
}

// decay applies the exponential decay up to now.
func (c *capacityEstimator) decay(now Time) {
	factor := math.Exp(-float64(max(0, now-c.updatedAt)) / float64(capacityDecayTime))
	c.requests, c.withCapacity, c.updatedAt = c.requests*factor, c.withCapacity*factor, now
}

// record counts one request.
func (c *capacityEstimator) record(now Time, hadCapacity bool) {
	c.decay(now)
	c.requests++
	if hadCapacity {
		c.withCapacity++
	}
}

// provenSufficient reports whether enough recent requests were counted and enough of them had capacity. Unlike shortage, it does not count
// the assumed requests of capacityPriorRequests.
func (c *capacityEstimator) provenSufficient() bool {
	return c.requests >= minCapacityRequests && c.requests-c.withCapacity <= sheddingStartShortage*c.requests
}

// shortage returns the degree of the capacity shortage at now: from 0, there is capacity for all requests, to 1, the lowest priorities
// are shed in full.
func (c *capacityEstimator) shortage(now Time) float64 {
	c.decay(now)
	without := 1 - c.withCapacity/(c.requests+capacityPriorRequests)
	return min(1, max(0, (without-sheddingStartShortage)/(sheddingFullShortage-sheddingStartShortage)))
}

// priorityDensity returns the priority weight per second of the latency objective. It tells which class should get a scarce place in a
// queue.
func (c Class) priorityDensity() float64 { return c.PriorityWeight / c.LatencyObjective.Seconds() }

// highestPriorityDensity returns the highest priority density of the classes, 0 if there are none.
func highestPriorityDensity(classes []Class) float64 {
	highest := 0.0
	for _, c := range classes {
		highest = max(highest, c.priorityDensity())
	}
	return highest
}

// latencyLimit returns the expected latency above which r is rejected. It is the time left to the objective of r. For lower priorities it
// decreases as the capacity shortage grows. A request of the highest priority density is rejected only if it could be late, as judged by
// pessimisticLatency. Under a shortage, other requests are also rejected at random within randomRejectionBand below their limit.
func (b *Balancer) latencyLimit(now Time, r *request) time.Duration {
	unloaded := b.latency.predict(0)
	shortage := b.capacity.shortage(now)
	scale := math.Pow(r.class.priorityDensity()/max(b.maxPriorityDensity, minPriorityDensity), shortage)
	if scale < 1 {
		scale *= 1 - shortage*randomRejectionBand*b.rng.Float64()
	}
	return time.Duration(unloaded + (float64(r.objectiveDeadline-now)-unloaded)*scale)
}

// pessimisticLatency returns the latency of e that admission assumes. It exceeds the expected latency by a margin that grows with the
// shortage and with the share of health checks that find queues. Without the margin, half of the requests admitted just below the
// limit would be late, because latencies vary around the expected value.
func (b *Balancer) pessimisticLatency(now Time, e *endpoint, shortage float64) time.Duration {
	contention := b.healthChecks.contention
	factor := 1 + shortage*sheddingLatencyMargin*contention*contention
	return time.Duration(min(factor*float64(b.expectedLatency(now, e)), float64(maxExpectedLatency)))
}

// exceedsLimit reports whether r should be rejected rather than sent to e. It is false for an idle endpoint whatever its expected latency,
// because no other request gains from the rejection, and only further responses can show that a period of slow responses is over.
func (b *Balancer) exceedsLimit(now Time, r *request, e *endpoint) bool {
	return !e.isIdle() && b.pessimisticLatency(now, e, b.capacity.shortage(now)) > r.latencyLimit
}

// hasCapacity reports whether e is idle, or is expected to respond to r in time even with the full sheddingLatencyMargin.
func (b *Balancer) hasCapacity(now Time, r *request, e *endpoint) bool {
	return e.isIdle() || now+b.pessimisticLatency(now, e, 1) <= r.objectiveDeadline
}

// admitOrReject sends r to an endpoint of the active subset. It ends r if the selected endpoint exceeds the latency limit of r or no
// endpoint may get an attempt.
func (b *Balancer) admitOrReject(now Time, r *request, active []*endpoint, act Actions) {
	hadCapacity := slices.ContainsFunc(active, func(e *endpoint) bool { return b.hasCapacity(now, r, e) })
	b.capacity.record(now, hadCapacity)
	active = b.preferWithinLimit(now, r, active)
	if picked := b.pickEndpoint(now, r, active); picked != nil && b.exceedsLimit(now, r, picked) {
		b.finishRequest(now, r, endedOverLimit, act)
		return
	}
	if !b.startOrAwaitEndpoint(now, r, active, act) {
		b.finishRequest(now, r, endedNoEndpoint, act)
	}
}

// preferWithinLimit returns the endpoints of active that do not exceed the limit of r, or all of active if there are none. Under a full
// shortage that recent requests do not disprove, it returns all of active for a request without top priority, because the remaining
// capacity is for the highest priorities.
func (b *Balancer) preferWithinLimit(now Time, r *request, active []*endpoint) []*endpoint {
	shortage := b.capacity.shortage(now)
	topPriority := r.class.priorityDensity() > b.maxPriorityDensity/topPriorityDivisor
	if shortage >= 1 && !b.capacity.provenSufficient() && !topPriority {
		return active
	}
	within := slices.DeleteFunc(slices.Clone(active), func(e *endpoint) bool { return b.exceedsLimit(now, r, e) })
	if len(within) == 0 {
		return active
	}
	return within
}

// enqueue makes r wait for the first reply of its sampling round, and sets the timer that ends the wait.
func (b *Balancer) enqueue(now Time, r *request, act Actions) {
	r.queuedUntil = now + (r.finalDeadline-now)/queueWaitDivisor
	b.queued = append(b.queued, r)
	act.SetTimer(r.queuedUntil-now, timerToken(r.ID))
}

// dequeue ends the wait of r. It does nothing if r does not wait.
func (b *Balancer) dequeue(r *request) {
	b.queued = slices.DeleteFunc(b.queued, func(other *request) bool { return other == r })
	r.queuedUntil = 0
}

// handleSampleReply passes a health check result of e to the requests that wait for it; reported reports whether it has a load report. The
// first request for which e is within the limit is sent to e. If the subset is limited to the local zone and no endpoint of the first round
// is within the limit, a further round, if the budget allows it, samples endpoints outside the subset. The wait ends when the number of
// replies to all rounds of the request reaches the size of the latest round: with the last reply to the first round, but usually with the
// first reply to the second round.
func (b *Balancer) handleSampleReply(now Time, e *endpoint, reported bool, act Actions) {
	var unplaced []*request
	for _, r := range b.queued {
		if !slices.Contains(r.sampled, e) {
			continue
		}
		r.sampleReplies++
		admissible := reported && !b.exceedsLimit(now, r, e) && !b.mayExpire(now, r, e)
		if r.sampleReplies == len(r.sampled) && b.localZoneOnly && !admissible && b.healthChecks.canAffordRound() {
			r.sampled = b.startSamplingRound(now, r, b.readyEndpoints[b.subsetSize:], act) // the local zone is full
			continue
		}
		if admissible {
			b.jbt.markSampled(now, e)
			b.dequeue(r)
			b.startOrAwaitEndpoint(now, r, []*endpoint{e}, act)
			break
		}
		if r.sampleReplies >= len(r.sampled) {
			unplaced = append(unplaced, r)
		}
	}
	for _, r := range unplaced {
		b.resolveQueued(now, r, act)
	}
}

// mayExpire reports whether r could expire before e responds although it has no more time left than its objective. Latencies vary around the
// expected value, and a response after the client has given up is of no use. A request with more time left would still be answered late.
func (b *Balancer) mayExpire(now Time, r *request, e *endpoint) bool {
	return r.Expires <= r.objectiveDeadline && now+safeLatencyFactor*b.expectedLatency(now, e) > r.Expires
}

// resolveQueued ends the wait of r when no sampled endpoint was within its limit. r is admitted or rejected by the expected latency.
func (b *Balancer) resolveQueued(now Time, r *request, act Actions) {
	b.dequeue(r)
	b.admitOrReject(now, r, b.activeSubset(now), act)
}

// retryAfter returns how long a rejected client should wait before a retry: until one endpoint of the active subset is expected to respond
// within the latency limit of r. It is 0 if clients do not honor it, and at most Config.MaxRetryAfter.
func (b *Balancer) retryAfter(now Time, r *request) time.Duration {
	if !b.cfg.RetryAfterHonored {
		return 0
	}
	wait := b.cfg.MaxRetryAfter
	for _, e := range b.activeSubset(now) {
		excess := b.pessimisticLatency(now, e, b.capacity.shortage(now)) - r.latencyLimit
		wait = min(wait, max(b.cfg.TimerResolution, excess))
	}
	return wait
}
