package policy

import (
	"math"
	"time"
)

const (
	// slowStartMaxShare limits the traffic of a warming endpoint, as a multiple of the fair share for its capacity. The limit is high
	// enough that the warming endpoints together can take the load that is too much for a few warm ones, and low enough that none of them
	// is overloaded.
	slowStartMaxShare = 1.4
	// warmCapacityFraction is the fraction of its full capacity from which an endpoint counts as warm. From then on it is selected like the
	// others and gets at most 1/0.7 of the load for its capacity. Its load reports reflect the remaining difference.
	warmCapacityFraction = 0.7
)

// slowStart is the rule for endpoints that have just started. Their capacity grows linearly from minCapacity to the full capacity over
// duration. Until they are warm they get only a share of the traffic. The queue of a new endpoint is empty, so that sampling alone would
// select it repeatedly and overload it.
type slowStart struct {
	minCapacity float64 // capacity at the start, as a fraction of the full capacity
	duration    time.Duration
}

// capacityFraction returns the estimated capacity of e at now, as a fraction from 0 to 1 of its full capacity. It is 1 once e counts as
// warm.
func (s slowStart) capacityFraction(now Time, e *endpoint) float64 {
	fraction := s.minCapacity + (1-s.minCapacity)*float64(max(0, now-e.Started))/float64(max(s.duration, 1))
	if e.Started == 0 || fraction >= warmCapacityFraction {
		return 1
	}
	return fraction
}

// isWarm reports whether e has reached warmCapacityFraction and is selected like any other endpoint.
func (s slowStart) isWarm(now Time, e *endpoint) bool { return s.capacityFraction(now, e) == 1 }

// warmingShare returns the traffic for the warming endpoint e, as a multiple of the fair share of a warm endpoint. It is the capacity
// fraction of e, raised by the capacity that all ready endpoints together lack, up to slowStartMaxShare.
func (s slowStart) warmingShare(now Time, e *endpoint, ready []*endpoint) float64 {
	total, warm := 0.0, 0 // total is the capacity of all, in warm endpoints
	for _, other := range ready {
		fraction := s.capacityFraction(now, other)
		total += fraction
		if fraction == 1 {
			warm++
		}
	}
	if warm < minSubsetSize {
		return s.uncompensatedShare(now, e)
	}
	return s.capacityFraction(now, e) * min(slowStartMaxShare, float64(len(ready))/total)
}

// uncompensatedShare returns the traffic share of the warming endpoint e that does not make up for missing capacity of other endpoints: the
// capacity fraction of e, divided by the slowness of a slow machine type. It applies if too few endpoints are warm.
func (s slowStart) uncompensatedShare(now Time, e *endpoint) float64 {
	return s.capacityFraction(now, e) / max(e.machineType.slowness, 1)
}

// admits reports whether slow start allows r to be sent to e. A warming endpoint gets only first attempts, and of these the fraction
// uncompensatedShare. The choice is a hash of both IDs, so that repeated calls for the same request do not raise the fraction.
func (s slowStart) admits(now Time, r *request, e *endpoint) bool {
	share := s.uncompensatedShare(now, e)
	return s.isWarm(now, e) || len(r.attempts) == 0 && float64(rendezvousHash(e.ID, uint64(r.ID))) < share*math.MaxUint64
}

// drawWarming selects a random endpoint of the subset. It returns the endpoint with probability warmingShare if the endpoint is warming up,
// is neither ejected nor unresponsive and has no queue; nil otherwise. The share thus does not depend on the queue that the endpoint
// reports or on the number of waiting requests.
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
