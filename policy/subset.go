package policy

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

const (
	// maxSubsetSize limits the size of a subset. With more endpoints an instance has too few requests for each, and thus too little
	// information about each.
	maxSubsetSize = 5
	// minSubsetSize leaves a choice of two endpoints when one fails.
	minSubsetSize = 3
	// connectionBudgetPoints is the budget for open connections, in points.
	connectionBudgetPoints = 0.02
	// connectionsPerCost is the number of open connections per endpoint that cost Config.ConnectionCost.
	connectionsPerCost = 100
	// localZoneFactor is the share of the local zone in a subset, as a multiple of its even share, if crossing zones has a cost. Load
	// reports balance the remaining difference. The factor is small enough that a zone with few endpoints is not overloaded by its own
	// instances.
	localZoneFactor = 2.4
	// minRendezvousSubsets is the least average number of subsets per endpoint with which subsets are chosen by rendezvous hashing.
	minRendezvousSubsets = 5
	// rendezvousLoadFactor limits the number of subsets with an endpoint, as a multiple of the mean (rendezvous hashing with bounded
	// loads).
	rendezvousLoadFactor = 1.2
	// maxRendezvousInstances limits the work of rendezvous hashing, which computes the subsets of other instances too.
	maxRendezvousInstances = 200
)

// subsetRule decides which endpoints this instance sends to (deterministic subsetting). A subset saves the cost of connections, and
// gives an instance enough requests per endpoint to estimate the state of each. Every instance computes its own subset from the same
// list, so that all endpoints are in about the same number of subsets.
type subsetRule struct {
	instanceIndex, instanceCount                   int
	zone                                           string
	connectionCost, crossZoneCost, healthCheckCost float64
}

// newSubsetRule returns the rule for cfg.
func newSubsetRule(cfg Config) subsetRule {
	return subsetRule{
		instanceIndex: cfg.InstanceIndex, instanceCount: cfg.InstanceCount, zone: cfg.Zone,
		connectionCost: cfg.ConnectionCost, crossZoneCost: cfg.CrossZoneCost, healthCheckCost: cfg.HealthCheckCost,
	}
}

// endpointOrder holds the ready endpoints in the order of preference of one instance.
type endpointOrder struct {
	readyEndpoints []*endpoint // the subset, then the other endpoints in the order of rendezvous hashing
	subsetSize     int         // the first subsetSize of readyEndpoints are the subset
	localZoneOnly  bool        // the subset is limited to the local zone because of the cost of crossing zones
}

// order returns the ready endpoints in the order of preference of this instance. The result does not depend on the order of ready.
func (r subsetRule) order(ready []*endpoint) endpointOrder {
	sortByHash(ready, 0)
	local := slices.DeleteFunc(slices.Clone(ready), r.isRemote)
	remote := slices.DeleteFunc(slices.Clone(ready), func(e *endpoint) bool { return !r.isRemote(e) })
	// Other zones are excluded if crossing zones costs more than the health checks that find an endpoint in the local zone.
	localZoneOnly := len(local) >= minSubsetSize && r.crossZoneCost > sampleSize*r.healthCheckCost
	if localZoneOnly {
		remote = nil
	}
	size := r.size(len(local)+len(remote), len(ready))
	localSize := r.localSize(size, len(local), len(remote))
	ordered := append(r.choose(local, localSize), r.choose(remote, size-localSize)...)
	size = len(ordered) // rendezvous hashing with bounded loads may choose fewer
	sortByHash(ready, uint64(r.instanceIndex)<<32)
	for _, e := range ready {
		if !slices.Contains(ordered[:size], e) {
			ordered = append(ordered, e)
		}
	}
	return endpointOrder{readyEndpoints: ordered, subsetSize: size, localZoneOnly: localZoneOnly}
}

// isRemote reports whether e is in another zone and crossing zones has a cost.
func (r subsetRule) isRemote(e *endpoint) bool { return e.Zone != r.zone && r.crossZoneCost > 0 }

// size returns the size of the subset, given the number of eligible endpoints and of all ready endpoints.
func (r subsetRule) size(eligible, ready int) int {
	size := min(eligible, maxSubsetSize)
	if r.connectionCost > 0 {
		affordable := connectionsPerCost * connectionBudgetPoints / r.connectionCost * float64(ready) / float64(r.instanceCount)
		size = min(size, max(minSubsetSize, int(affordable)))
	}
	return size
}

// localSize returns the number of endpoints of the local zone in a subset: more than the even share of the zone, but not the whole subset
// if there are remote endpoints.
func (r subsetRule) localSize(size, local, remote int) int {
	preferred := int(math.Round(localZoneFactor * float64(size*local) / float64(max(1, local+remote))))
	return max(size-remote, min(preferred, size-1, local))
}

// choose returns the count endpoints of list for this instance. It uses rendezvous hashing if each endpoint is in many subsets. The removal
// of an endpoint then changes few other subset members. Choosing by stride would replace half of all members, and each replacement needs
// new connections and new latency samples.
func (r subsetRule) choose(list []*endpoint, count int) []*endpoint {
	if r.instanceCount > maxRendezvousInstances || r.instanceCount*count < minRendezvousSubsets*len(list) {
		return r.chooseByStride(list, count)
	}
	return r.chooseByRendezvous(list, count)
}

// chooseByStride starts at a position given by the instance index and proceeds with a stride that differs between neighboring instances.
// Every endpoint is in the same number of subsets, and the load of a failed endpoint spreads over many others.
func (r subsetRule) chooseByStride(list []*endpoint, count int) []*endpoint {
	n := len(list)
	stride := 1 + r.instanceIndex%max(1, (n-1)/max(1, count-1))
	chosen := make([]*endpoint, 0, count)
	for i := range count {
		chosen = append(chosen, list[(r.instanceIndex*n/r.instanceCount+i*stride)%n])
	}
	return chosen
}

// chooseByRendezvous uses rendezvous hashing with bounded loads. In the order of their indexes, each instance gets the first endpoints in
// its hash order that are not yet in their maximum number of subsets (rendezvousLoadFactor).
func (r subsetRule) chooseByRendezvous(list []*endpoint, count int) []*endpoint {
	remaining := make(map[*endpoint]int, len(list)) // number of subsets to which an endpoint may still be added
	for _, e := range list {
		remaining[e] = int(math.Ceil(rendezvousLoadFactor * float64(r.instanceCount*count) / float64(len(list))))
	}
	var chosen []*endpoint
	for instance := range r.instanceIndex + 1 {
		sortByHash(list, uint64(instance)<<32)
		chosen = chosen[:0]
		for _, e := range list {
			if len(chosen) < count && remaining[e] > 0 {
				remaining[e]--
				chosen = append(chosen, e)
			}
		}
	}
	return chosen
}

// activeSubset returns the endpoints to send to at now: the first subsetSize endpoints in order of preference that are neither ejected nor
// unresponsive nor warming up. If there are none, or too many are ejected, it returns the subset regardless of the state of its endpoints.
func (b *Balancer) activeSubset(now Time) []*endpoint {
	active := make([]*endpoint, 0, b.subsetSize)
	for _, e := range b.readyEndpoints {
		if len(active) < b.subsetSize && !b.isEjected(now, e) && !b.isUnresponsive(now, e) && b.slowStart.isWarm(now, e) {
			active = append(active, e)
		}
	}
	if len(active) == 0 || b.tooManyEjected(now) {
		active = append(active[:0], b.readyEndpoints[:b.subsetSize]...)
	}
	return active
}

// sortByHash sorts list by the rendezvous hash of ID and salt, and by ID if hashes are equal.
func sortByHash(list []*endpoint, salt uint64) {
	for _, e := range list {
		e.hashKey = rendezvousHash(e.ID, salt)
	}
	slices.SortFunc(list, func(x, y *endpoint) int { return cmp.Or(cmp.Compare(x.hashKey, y.hashKey), cmp.Compare(x.ID, y.ID)) })
}

// rendezvousHash returns a hash of id and salt. All bits of the hash depend on both.
func rendezvousHash(id EndpointID, salt uint64) uint64 {
	const goldenRatio, mix = 0x9e3779b97f4a7c15, 0xbf58476d1ce4e5b9 // constants of splitmix64
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash never returns an error
	x := h.Sum64() ^ salt*goldenRatio
	x = (x ^ x>>30) * mix
	return x ^ x>>31
}
