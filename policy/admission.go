package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// queueWaitDivisor of the time left may pass while a request waits for its sample: the wait is latency too.
	queueWaitDivisor = 6
	// randomRejectionBand is the part of a request's latency limit over which rejections set in at random, up to certain: queues settle
	// inside it, below the objective, although each rejected client comes back up to three times.
	randomRejectionBand = 0.4
	// sheddingLatencyMargin is by how much, as a fraction, latencies are expected to be longer under a full shortage.
	sheddingLatencyMargin = 0.5
	// topPriorityDivisor makes a class one of top priority whose priority density is above the highest over it.
	topPriorityDivisor = 2
	// minPriorityDensity stands for the highest priority density where all are zero.
	minPriorityDensity = 1e-9

	// capacityDecayTime is the time constant after which requests count less for the capacity estimate.
	capacityDecayTime = 500 * time.Millisecond
	// capacityPriorRequests without capacity are assumed beside those seen, so that an instance with little traffic, which
	// knows little, rejects as under a shortage.
	capacityPriorRequests = 10
	// minCapacityRequests must have been seen of late to prove that there is capacity.
	minCapacityRequests = 3
	// sheddingStartShortage is the fraction of requests without capacity up to which no class is shed.
	sheddingStartShortage = 0.15
	// sheddingFullShortage is the fraction from which the lowest priorities are shed in full.
	sheddingFullShortage = 0.4
)

// endReason says why a request ends without a response.
type endReason int

const (
	endedDeadline       endReason = iota // no response can be of use to the client any more
	endedOverLimit                       // the expected latency is above the request's limit: load shedding
	endedNoEndpoint                      // no endpoint may be attempted
	endedAttemptsFailed                  // its attempts failed, and no retry is allowed or of use
)

// retryHelps reports whether the client had better try again; only then a request is rejected, and not failed.
func (r endReason) retryHelps() bool { return r != endedDeadline }

// capacityEstimator tells a shortage of capacity from single slow responses: for how many of the latest requests some endpoint of
// the subset was expected to answer in time, whatever their priority.
type capacityEstimator struct {
	requests, withCapacity float64 // decaying counts
	updatedAt              Time
}

// decay has the counts fade until now.
func (c *capacityEstimator) decay(now Time) {
	factor := math.Exp(-float64(max(0, now-c.updatedAt)) / float64(capacityDecayTime))
	c.requests, c.withCapacity, c.updatedAt = c.requests*factor, c.withCapacity*factor, now
}

// record takes one request.
func (c *capacityEstimator) record(now Time, hadCapacity bool) {
	c.decay(now)
	c.requests++
	if hadCapacity {
		c.withCapacity++
	}
}

// provenSufficient reports whether enough requests were seen of late, and had capacity. Unlike shortage it assumes nothing.
func (c *capacityEstimator) provenSufficient() bool {
	return c.requests >= minCapacityRequests && c.requests-c.withCapacity <= sheddingStartShortage*c.requests
}

// shortage returns how far the lowest priorities are to be shed, from 0, there is capacity for all, to 1.
func (c *capacityEstimator) shortage(now Time) float64 {
	c.decay(now)
	without := 1 - c.withCapacity/(c.requests+capacityPriorRequests)
	return min(1, max(0, (without-sheddingStartShortage)/(sheddingFullShortage-sheddingStartShortage)))
}

// priorityDensity returns the priority weight for each second of the latency objective: what the class gains by a place in a queue.
func (c Class) priorityDensity() float64 { return c.PriorityWeight / c.LatencyObjective.Seconds() }

// highestPriorityDensity returns the highest of all classes.
func highestPriorityDensity(classes []Class) float64 {
	highest := 0.0
	for _, c := range classes {
		highest = max(highest, c.priorityDensity())
	}
	return highest
}

// latencyLimit returns the expected latency above which r is rejected: the time left to its objective, and less for lower
// priorities the more capacity is short. The highest priority is rejected only where it would be late; the others also at random
// within randomRejectionBand below their limit.
func (b *Balancer) latencyLimit(now Time, r *request) time.Duration {
	unloaded := b.latency.predict(0)
	shortage := b.capacity.shortage(now)
	scale := math.Pow(r.class.priorityDensity()/max(b.maxPriorityDensity, minPriorityDensity), shortage)
	if scale < 1 {
		scale *= 1 - shortage*randomRejectionBand*b.rng.Float64()
	}
	return time.Duration(unloaded + (float64(r.objectiveDeadline-now)-unloaded)*scale)
}

// pessimisticLatency returns the latency of e to reckon with for admission, longer than expected by as much as there is a shortage
// and queues are found: responses scatter, and half of those admitted at the very limit would come late.
func (b *Balancer) pessimisticLatency(now Time, e *endpoint, shortage float64) time.Duration {
	contention := b.healthChecks.contention
	factor := 1 + shortage*sheddingLatencyMargin*contention*contention
	return time.Duration(min(factor*float64(b.expectedLatency(now, e)), float64(maxExpectedLatency)))
}

// exceedsLimit reports whether r should be rejected rather than queue at e. An idle endpoint never exceeds it, whatever latency is
// expected: nobody gains by the rejection, and after a spell of slow responses only further ones can tell that it is over.
func (b *Balancer) exceedsLimit(now Time, r *request, e *endpoint) bool {
	return !e.isIdle() && b.pessimisticLatency(now, e, b.capacity.shortage(now)) > r.latencyLimit
}

// hasCapacity reports whether e can be expected to answer r in time, by the most cautious estimate.
func (b *Balancer) hasCapacity(now Time, r *request, e *endpoint) bool {
	return e.isIdle() || now+b.pessimisticLatency(now, e, 1) <= r.objectiveDeadline
}

// admitOrReject sends r to an endpoint of the active subset, or rejects it if the one picked exceeds its latency limit or none may
// be attempted.
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

// preferWithinLimit drops the endpoints that exceed the limit of r while others do not, unless there is a shortage: then r would
// only fill what is left, which is for the highest priorities.
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

// enqueue has r wait for the first reply of its sampling round.
func (b *Balancer) enqueue(now Time, r *request, act Actions) {
	r.queuedUntil = now + (r.finalDeadline-now)/queueWaitDivisor
	b.queued = append(b.queued, r)
	act.SetTimer(r.queuedUntil-now, timerToken(r.ID))
}

// dequeue ends the wait of r, if it waits.
func (b *Balancer) dequeue(r *request) {
	b.queued = slices.DeleteFunc(b.queued, func(other *request) bool { return other == r })
	r.queuedUntil = 0
}

// handleSampleReply gives a reply of e, which reported its load or failed to, to the requests that wait for it. The first for
// which e is good goes there; one that has all its replies waits no longer.
func (b *Balancer) handleSampleReply(now Time, e *endpoint, reported bool, act Actions) {
	var unplaced []*request
	for _, r := range b.queued {
		if !slices.Contains(r.sampled, e) {
			continue
		}
		r.sampleReplies++
		admissible := reported && !b.exceedsLimit(now, r, e)
		if r.sampleReplies == len(r.sampled) && b.localZoneOnly && !admissible && b.healthChecks.canAffordRound() {
			r.sampled = b.startSamplingRound(now, r, b.readyEndpoints[b.subsetSize:], act) // the own zone is full: sample others
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

// resolveQueued ends the wait of r without a good sample: it is admitted where it can be expected in time, or rejected.
func (b *Balancer) resolveQueued(now Time, r *request, act Actions) {
	b.dequeue(r)
	b.admitOrReject(now, r, b.activeSubset(now), act)
}

// retryAfter returns how long a rejected client had better wait: until the queue by which it could first be served has shrunk to
// its limit. It is 0 if clients do not honor it.
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
