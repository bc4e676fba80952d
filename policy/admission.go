package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// queueWaitDivisor of the time left may pass until a good reply: the request then stands in that queue too.
	queueWaitDivisor = 6
	// rejectionBand is the part of the time left over which refusals set in, up to certain: wide enough that
	// queues settle inside it, below the aim, although each refused client comes back up to three times.
	rejectionBand         = 0.4
	capacityMemory        = 500 * time.Millisecond
	capacityPriorRequests = 10
	minCapacityRequests   = 3
	// Refusals by worth are off up to a part of roomEnough that found no room, and fully on from roomShort.
	sheddingStartShortage = 0.15
	sheddingFullShortage  = 0.4
)

// sheddingLatencyMargin is the part by which answers of servers where all have to wait are reckoned with as slower than expected.
const sheddingLatencyMargin = 0.5

// admitOrReject sends r to a server of set, or refuses it if one drawn is full for it.
// Where this sidecar has seen lately that there is room, a full one is not drawn while there are others: what is refused
// then is in time there. Under a true shortage such picks would only fill what is left, and the refusals are right, but for
// what is worth most: what is left is for that.
func (b *Balancer) admitOrReject(now Time, r *request, set []*endpoint, act Actions) {
	hasRoom := func(s *endpoint) bool {
		return s.isIdle() || now+b.pessimisticLatency(now, s, 1) <= r.objectiveDeadline
	}
	b.capacity.record(now, slices.ContainsFunc(set, hasRoom))
	if b.capacity.shortage(now) < 1 || b.capacity.provenSufficient() || r.class.PriorityWeight/r.class.LatencyObjective.Seconds() > b.maxPriorityDensity/2 {
		if free := slices.DeleteFunc(slices.Clone(set), func(s *endpoint) bool { return b.exceedsLimit(now, r, s) }); len(free) > 0 {
			set = free
		}
	}
	if s := b.pickEndpoint(now, r, set); s != nil && b.exceedsLimit(now, r, s) || !b.startAttempt(now, r, set, act) {
		b.finishRequest(now, r, true, act)
	}
}

// handleSampleReply hands a reply of s to the requests that are held for it: the first for which s is good goes there. One that has
// had all its replies waits no longer.
func (b *Balancer) handleSampleReply(now Time, s *endpoint, told bool, act Actions) {
	var done []*request
	for i, r := range b.queued {
		if !slices.Contains(r.sampled, s) {
			continue
		}
		r.sampleReplies++
		if r.sampleReplies == len(r.sampled) && b.localZoneOnly && (!told || b.exceedsLimit(now, r, s)) && b.healthChecks.paysForRound() {
			r.sampled = b.startSamplingRound(now, r, b.readyEndpoints[b.subsetSize:], act) // the own zone is full: look abroad
			continue
		}
		if told && !b.exceedsLimit(now, r, s) {
			b.jbt.admitSample(now, s)
			b.queued = slices.Delete(b.queued, i, i+1)
			r.queuedUntil = 0
			b.startAttempt(now, r, []*endpoint{s}, act)
			break
		}
		if r.sampleReplies >= len(r.sampled) {
			done = append(done, r)
		}
	}
	for _, r := range done {
		b.resolveQueued(now, r, act)
	}
}

// resolveQueued ends the wait of a request that is held: it goes where it can be expected in time, or else is refused.
func (b *Balancer) resolveQueued(now Time, r *request, act Actions) {
	b.queued = slices.DeleteFunc(b.queued, func(h *request) bool { return h == r })
	r.queuedUntil = 0
	b.admitOrReject(now, r, b.activeSubset(now), act)
}

// exceedsLimit reports whether r should rather be refused than stand in the queue of s. Where s is idle, refusing makes
// nobody faster, whatever the delays so far tell: without this a spell of slow answers would have all refused for good,
// since no further answer could tell that it is over.
func (b *Balancer) exceedsLimit(now Time, r *request, s *endpoint) bool {
	return !s.isIdle() && b.pessimisticLatency(now, s, b.capacity.shortage(now)) > r.latencyLimit
}

// pessimisticLatency is the delay of s to reckon with: answers scatter about what is expected, so that where many wait, half of those
// let in at the very limit would come late and cost as much. Too much of it turns away what would be in time.
func (b *Balancer) pessimisticLatency(now Time, s *endpoint, strict float64) time.Duration {
	return time.Duration(min((1+strict*sheddingLatencyMargin*b.healthChecks.contention*b.healthChecks.contention)*float64(b.expectedLatency(now, s)), float64(maxExpectedLatency)))
}

// retryAfter is how long the client of a refused request had better wait: until the queue by which it could first be
// served will have shrunk to its limit.
func (b *Balancer) retryAfter(now Time, r *request) time.Duration {
	if !b.cfg.RetryAfterHonored {
		return 0
	}
	wait := b.cfg.MaxRetryAfter
	for _, s := range b.activeSubset(now) {
		wait = min(wait, max(b.cfg.TimerResolution, b.pessimisticLatency(now, s, b.capacity.shortage(now))-r.latencyLimit))
	}
	return wait
}

// capacityEstimator tells a shortage from a slow answer or a spoilt one: in how many of the latest requests some server of the set
// could be expected to answer in time, worth aside. Only what was seen within roomMemory counts, and roomPrior requests that
// found no room beside it, so that a sidecar that sends little, whose figures are a guess, refuses as under a shortage.
type capacityEstimator struct {
	requests, withCapacity float64
	updatedAt              Time
}

func (m *capacityEstimator) decay(now Time) {
	f := math.Exp(-float64(max(0, now-m.updatedAt)) / float64(capacityMemory))
	m.requests, m.withCapacity, m.updatedAt = m.requests*f, m.withCapacity*f, now
}

// record takes one request.
func (m *capacityEstimator) record(now Time, had bool) {
	m.decay(now)
	m.requests++
	if had {
		m.withCapacity++
	}
}

// provenSufficient reports whether enough was seen of late to tell that there is room, and it was. Unlike strict it takes nothing for granted.
func (m *capacityEstimator) provenSufficient() bool {
	return m.requests >= minCapacityRequests && m.requests-m.withCapacity <= sheddingStartShortage*m.requests
}

// shortage is how far what is worth least is to give way: from 0, there is room for all, to 1, there is a shortage.
func (m *capacityEstimator) shortage(now Time) float64 {
	m.decay(now)
	short := 1 - m.withCapacity/(m.requests+capacityPriorRequests)
	return min(1, max(0, (short-sheddingStartShortage)/(sheddingFullShortage-sheddingStartShortage)))
}
