package policy

import "math"

const (
	// slowStartMaxShare bounds how much more than its part of an even load a cold server is sent.
	slowStartMaxShare = 1.4
	// warmCapacityFraction is the least share of its capacity from which on a server is one like others: most are warm by then, and its queue
	// tells. A cold one falls over at a multiple of what it can do (2.5 on the platform); none is sent 1.75 times what it does warm.
	warmCapacityFraction = 0.7
)

// capacityFraction is the least share of its capacity that s has at now, or 1 from nearWarm on.
func (b *Balancer) capacityFraction(now Time, s *endpoint) float64 {
	w := b.cfg.SlowStartMinCapacity + (1-b.cfg.SlowStartMinCapacity)*float64(max(0, now-s.Started))/float64(max(b.cfg.SlowStartDuration, 1))
	if s.Started == 0 || w >= warmCapacityFraction {
		return 1
	}
	return w
}

// warmingShare is the part that s, which is cold, gets where no warm one is to be had: its least capacity, less where its kind is slow. With
// the same part for all, 80 sidecars before servers that were all cold pushed the smallest over.
func (b *Balancer) warmingShare(now Time, s *endpoint) float64 {
	return b.capacityFraction(now, s) / max(s.machineType.slowness, 1)
}

// admitsWarming lets a request have a cold server for its first attempt only, and only a share of requests: that
// of its least capacity. All picks for a request agree, so that asking twice does not double the share.
func (b *Balancer) admitsWarming(now Time, r *request, s *endpoint) bool {
	w := b.warmingShare(now, s)
	return b.capacityFraction(now, s) == 1 || len(r.attempts) == 0 && float64(rendezvousHash(s.ID, uint64(r.ID))) < w*math.MaxUint64
}

// drawWarming draws a place of the ready set, and returns the server there if it is cold, in proportion to
// the least capacity it can have. An empty queue would make every probe round choose it; this way it
// gets that part of what this sidecar sends a warm one, whatever its reports, and however many wait.
func (b *Balancer) drawWarming(now Time) *endpoint {
	s := b.readyEndpoints[b.rng.IntN(b.subsetSize)]
	w := b.capacityFraction(now, s)
	if w == 1 || b.isEjected(now, s) || b.isUnresponsive(now, s) || s.reportedQueue >= 1 {
		return nil
	}
	able, warm := 0.0, 0 // of what all could do warm
	for _, t := range b.readyEndpoints {
		x := b.capacityFraction(now, t)
		able += x
		if x == 1 {
			warm++
		}
	}
	if warm < minSubsetSize { // none is spared by it
		w = b.warmingShare(now, s)
	} else {
		w *= min(slowStartMaxShare, float64(len(b.readyEndpoints))/able)
	}
	if b.rng.Float64() >= w {
		return nil
	}
	return s
}
