package policy

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
)

const (
	// maxSubsetSize keeps each member's figures fresh: more members than this see too few of a sidecar's
	// own requests and probes.
	maxSubsetSize = 5
	// minSubsetSize keeps a choice and two spares when one member fails.
	minSubsetSize = 3
	// connectionBudgetPoints is what held connections may cost in points; with the tariff it sizes the ready set.
	connectionBudgetPoints = 0.02
	// localZoneFactor is how many times its part of the set the own zone has where leaving it has a price, up to all but one. Queues even
	// out what is left uneven; a zone with few servers must not be crowded by its own sidecars.
	localZoneFactor = 2.4
	// minDealtSubsets is in how many sets a server must be for these to be dealt, dealtMore how many times its part it may be in, and
	// mostDealt the most sidecars for which that is worth the work.
	minDealtSubsets   = 5
	dealtOverfill     = 1.2
	maxDealtInstances = 200
)

// rebuildSubset orders the ready servers. A ready set starts at a place given by the sidecar's number and
// goes on in steps that differ between neighbours: every server gets equally many sidecars, and the
// load of one that fails spreads over many. The spares after it follow by rendezvous hashing. Where each server is in many sets
// they are dealt: by places, one server that goes moves half of all members, and everyone connects and learns anew at once.
func (b *Balancer) rebuildSubset() {
	pool := b.readyEndpoints[:0]
	for _, id := range slices.Sorted(maps.Keys(b.endpoints)) {
		s := b.endpoints[id]
		s.marked = s.marked && s.State == Ready
		if s.State == Ready {
			pool = append(pool, s)
		}
	}
	sortByHash(pool, 0)
	// Where leaving the zone has a price, the set holds more of the own zone than its part, and nothing else where it costs more than
	// the probes to find a server there.
	abroad := func(s *endpoint) bool { return s.Zone != b.cfg.Zone && b.cfg.CrossZoneCost > 0 }
	near := slices.DeleteFunc(slices.Clone(pool), abroad)
	far := slices.DeleteFunc(slices.Clone(pool), func(s *endpoint) bool { return !abroad(s) })
	b.localZoneOnly = len(near) >= minSubsetSize && b.cfg.CrossZoneCost > sampleSize*b.cfg.HealthCheckCost
	if b.localZoneOnly {
		far = nil
	}
	b.subsetSize = min(len(near)+len(far), maxSubsetSize)
	if b.cfg.ConnectionCost > 0 {
		perSidecar := 100 * connectionBudgetPoints / b.cfg.ConnectionCost * float64(len(pool)) / float64(b.cfg.InstanceCount)
		b.subsetSize = min(b.subsetSize, max(minSubsetSize, int(perSidecar)))
	}
	home := int(math.Round(localZoneFactor * float64(b.subsetSize*len(near)) / float64(max(1, len(near)+len(far)))))
	home = max(b.subsetSize-len(far), min(home, b.subsetSize-1, len(near)))
	ordered := b.selectSubset(b.selectSubset(nil, near, home), far, b.subsetSize-home)
	b.subsetSize = len(ordered) // all but always as many as before
	sortByHash(pool, uint64(b.cfg.InstanceIndex)<<32)
	for _, s := range pool {
		if !slices.Contains(ordered[:b.subsetSize], s) {
			ordered = append(ordered, s)
		}
	}
	b.readyEndpoints = ordered
}

// selectSubset adds k servers of list to set. A deal gives each sidecar its part in turn, as rendezvous hashing puts the servers, but none to
// many more than its part of the sets. Else they are by places.
func (b *Balancer) selectSubset(set, list []*endpoint, k int) []*endpoint {
	n, before := len(list), len(set)
	if b.cfg.InstanceCount > maxDealtInstances || b.cfg.InstanceCount*k < minDealtSubsets*n {
		step := 1 + b.cfg.InstanceIndex%max(1, (n-1)/max(1, k-1))
		for j := range k {
			set = append(set, list[(b.cfg.InstanceIndex*n/b.cfg.InstanceCount+j*step)%n])
		}
		return set
	}
	left := make(map[*endpoint]int, n)
	for _, s := range list {
		left[s] = int(math.Ceil(dealtOverfill * float64(b.cfg.InstanceCount*k) / float64(n)))
	}
	for o := range b.cfg.InstanceIndex + 1 {
		sortByHash(list, uint64(o)<<32)
		set = set[:before]
		for _, s := range list {
			if len(set) < before+k && left[s] > 0 {
				left[s]--
				set = append(set, s)
			}
		}
	}
	return set
}

// activeSubset returns the ready set: the first servers in order of preference that are not ejected. When
// more than half of all are ejected the evidence is against the network or the load, not
// against servers, and ejections are ignored.
func (b *Balancer) activeSubset(now Time) []*endpoint {
	set := make([]*endpoint, 0, b.subsetSize)
	for _, s := range b.readyEndpoints {
		if len(set) < b.subsetSize && !b.isEjected(now, s) && !b.isUnresponsive(now, s) && b.slowStart.isWarm(now, s) {
			set = append(set, s)
		}
	}
	if len(set) == 0 || b.tooManyEjected(now) {
		set = append(set[:0], b.readyEndpoints[:b.subsetSize]...)
	}
	return set
}

// sortByHash sorts servers by a hash of their ID and salt.
func sortByHash(list []*endpoint, salt uint64) {
	for _, s := range list {
		s.hashKey = rendezvousHash(s.ID, salt)
	}
	slices.SortFunc(list, func(x, y *endpoint) int { return cmp.Or(cmp.Compare(x.hashKey, y.hashKey), cmp.Compare(x.ID, y.ID)) })
}

func rendezvousHash(id EndpointID, salt uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	x := h.Sum64() ^ salt*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return x ^ x>>31
}
