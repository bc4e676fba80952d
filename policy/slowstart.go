package policy

import (
	"math"
	"time"
)

const (
	// slowStartMaxShare caps the traffic of a warming endpoint, as a multiple of its capacity's part of an even load: together
	// the warming endpoints take over what few warm ones cannot, and none is overloaded by it.
	slowStartMaxShare = 1.4
	// warmCapacityFraction is the capacity, as a fraction of full, from which an endpoint counts as warm: it has at least that
	// much, and its load reports tell the rest. An endpoint picked like the others from then on gets at most 1/0.7 of its load.
	warmCapacityFraction = 0.7
)

// slowStart is the rule for endpoints that have just started: their capacity grows from minCapacity to full over duration, and
// until they are warm they get only a share of the traffic. A new endpoint's queue is empty, so that sampling alone would choose
// it again and again and overload it.
type slowStart struct {
	minCapacity float64 // capacity at the start, as a fraction of full
	duration    time.Duration
}

// capacityFraction returns the least capacity that e has at now, as a fraction of full: 0 to 1. It is 1 for a warm endpoint.
func (s slowStart) capacityFraction(now Time, e *endpoint) float64 {
	fraction := s.minCapacity + (1-s.minCapacity)*float64(max(0, now-e.Started))/float64(max(s.duration, 1))
	if e.Started == 0 || fraction >= warmCapacityFraction {
		return 1
	}
	return fraction
}

// isWarm reports whether e takes part in the subset like any other endpoint.
func (s slowStart) isWarm(now Time, e *endpoint) bool { return s.capacityFraction(now, e) == 1 }

// warmingShare returns the traffic to send to the warming endpoint e, as a multiple of the fair share of a warm one: its
// capacity, raised by what all ready endpoints together lack.
func (s slowStart) warmingShare(now Time, e *endpoint, ready []*endpoint) float64 {
	total, warm := 0.0, 0 // capacity of all, in warm endpoints
	for _, other := range ready {
		fraction := s.capacityFraction(now, other)
		total += fraction
		if fraction == 1 {
			warm++
		}
	}
	if warm < minSubsetSize {
		return s.lastResortShare(now, e)
	}
	return s.capacityFraction(now, e) * min(slowStartMaxShare, float64(len(ready))/total)
}

// lastResortShare returns the share of traffic for the warming endpoint e where too few warm ones are left to relieve it: its
// capacity, less where its machine type is slow.
func (s slowStart) lastResortShare(now Time, e *endpoint) float64 {
	return s.capacityFraction(now, e) / max(e.machineType.slowness, 1)
}

// admits reports whether r may be sent to e as far as slow start goes: to a warming endpoint go first attempts only, and of
// those the last resort's share. The choice is a hash of both, so that asking again for the same request does not raise the share.
func (s slowStart) admits(now Time, r *request, e *endpoint) bool {
	share := s.lastResortShare(now, e)
	return s.isWarm(now, e) || len(r.attempts) == 0 && float64(rendezvousHash(e.ID, uint64(r.ID))) < share*math.MaxUint64
}

// drawWarming draws an endpoint of the subset and returns it if it is warming up and its share says that this request is for
// it; nil otherwise. The share thus holds whatever the endpoint reports and however many requests wait.
func (b *Balancer) drawWarming(now Time) *endpoint {
	e := b.readyEndpoints[b.rng.IntN(b.subsetSize)]
	if b.slowStart.isWarm(now, e) || b.isEjected(now, e) || b.isUnresponsive(now, e) || e.hasQueue() {
		return nil
	}
	share := b.slowStart.warmingShare(now, e, b.readyEndpoints)
	if b.rng.Float64() >= share {
		return nil
	}
	return e
}
