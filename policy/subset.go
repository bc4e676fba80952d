package policy

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

const (
	// maxSubsetSize bounds the endpoints of a subset: with more of them an instance has too few requests for each, and knows too
	// little of any.
	maxSubsetSize = 5
	// minSubsetSize leaves a choice and a spare when one endpoint fails.
	minSubsetSize = 3
	// connectionBudgetPoints is what open connections may cost, in points of the result.
	connectionBudgetPoints = 0.02
	// connectionsPerCost is for how many open connections at each endpoint Config.ConnectionCost is charged.
	connectionsPerCost = 100
	// localZoneFactor is how many times its even part of a subset the own zone has where crossing zones costs something. Load
	// reports even out the rest, and a zone with few endpoints is not crowded by its own instances.
	localZoneFactor = 2.4
	// minRendezvousSubsets is in how many subsets an endpoint must be for these to be dealt.
	minRendezvousSubsets = 5
	// rendezvousLoadFactor bounds the subsets that an endpoint is dealt into, as a multiple of its even part.
	rendezvousLoadFactor = 1.2
	// maxRendezvousInstances bounds the work of dealing, which goes through all instances.
	maxRendezvousInstances = 200
)

// subsetRule decides which endpoints this instance sends to (deterministic subsetting): connections cost something, and an
// instance must have enough requests for each of its endpoints to know it. Every instance computes its own subset from the same
// list, so that endpoints are in about equally many.
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

// endpointOrder is the ready endpoints in one instance's order of preference.
type endpointOrder struct {
	readyEndpoints []*endpoint // the subset, then the spares by rendezvous hashing
	subsetSize     int         // how many of them make the subset
	localZoneOnly  bool        // the subset is of the own zone by choice
}

// order sorts the ready endpoints, given in any fixed order.
func (r subsetRule) order(ready []*endpoint) endpointOrder {
	sortByHash(ready, 0)
	local := slices.DeleteFunc(slices.Clone(ready), r.isRemote)
	remote := slices.DeleteFunc(slices.Clone(ready), func(e *endpoint) bool { return !r.isRemote(e) })
	// No other zone is looked at where crossing costs more than the health checks that find an endpoint at home.
	localZoneOnly := len(local) >= minSubsetSize && r.crossZoneCost > sampleSize*r.healthCheckCost
	if localZoneOnly {
		remote = nil
	}
	size := r.size(len(local)+len(remote), len(ready))
	localSize := r.localSize(size, len(local), len(remote))
	ordered := append(r.choose(local, localSize), r.choose(remote, size-localSize)...)
	size = len(ordered) // dealing may give out fewer
	sortByHash(ready, uint64(r.instanceIndex)<<32)
	for _, e := range ready {
		if !slices.Contains(ordered[:size], e) {
			ordered = append(ordered, e)
		}
	}
	return endpointOrder{readyEndpoints: ordered, subsetSize: size, localZoneOnly: localZoneOnly}
}

// isRemote reports whether sending to e crosses zones at a cost.
func (r subsetRule) isRemote(e *endpoint) bool { return e.Zone != r.zone && r.crossZoneCost > 0 }

// size returns how many endpoints the subset has of those eligible, given how many are ready in all.
func (r subsetRule) size(eligible, ready int) int {
	size := min(eligible, maxSubsetSize)
	if r.connectionCost > 0 {
		affordable := connectionsPerCost * connectionBudgetPoints / r.connectionCost * float64(ready) / float64(r.instanceCount)
		size = min(size, max(minSubsetSize, int(affordable)))
	}
	return size
}

// localSize returns how many endpoints of a subset are of the own zone: more than its even part, but not all while there are
// remote ones.
func (r subsetRule) localSize(size, local, remote int) int {
	preferred := int(math.Round(localZoneFactor * float64(size*local) / float64(max(1, local+remote))))
	return max(size-remote, min(preferred, size-1, local))
}

// choose returns this instance's count endpoints of list. Where each endpoint is in many subsets these are dealt, since then an
// endpoint that goes moves few others; by stride it would move half of all, each to be connected and learnt anew.
func (r subsetRule) choose(list []*endpoint, count int) []*endpoint {
	if r.instanceCount > maxRendezvousInstances || r.instanceCount*count < minRendezvousSubsets*len(list) {
		return r.chooseByStride(list, count)
	}
	return r.chooseByRendezvous(list, count)
}

// chooseByStride begins at a place given by the instance's number and goes on in steps that differ between neighbors: every
// endpoint is in equally many subsets, and the load of one that fails spreads over many others.
func (r subsetRule) chooseByStride(list []*endpoint, count int) []*endpoint {
	n := len(list)
	stride := 1 + r.instanceIndex%max(1, (n-1)/max(1, count-1))
	chosen := make([]*endpoint, 0, count)
	for i := range count {
		chosen = append(chosen, list[(r.instanceIndex*n/r.instanceCount+i*stride)%n])
	}
	return chosen
}

// chooseByRendezvous gives each instance in turn the endpoints that rendezvous hashing puts first for it, and no endpoint to many
// more instances than its even part.
func (r subsetRule) chooseByRendezvous(list []*endpoint, count int) []*endpoint {
	remaining := make(map[*endpoint]int, len(list)) // subsets that an endpoint may still be dealt into
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

// activeSubset returns the endpoints to send to now: the first in order of preference that are neither ejected nor unresponsive
// nor warming up. If there are none, or too many are ejected, it is the subset whatever is known of it.
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

// sortByHash sorts endpoints by a hash of their ID and salt.
func sortByHash(list []*endpoint, salt uint64) {
	for _, e := range list {
		e.hashKey = rendezvousHash(e.ID, salt)
	}
	slices.SortFunc(list, func(x, y *endpoint) int { return cmp.Or(cmp.Compare(x.hashKey, y.hashKey), cmp.Compare(x.ID, y.ID)) })
}

// rendezvousHash returns a hash of id and salt whose bits all depend on both.
func rendezvousHash(id EndpointID, salt uint64) uint64 {
	const goldenRatio, mix = 0x9e3779b97f4a7c15, 0xbf58476d1ce4e5b9 // as in splitmix64
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	x := h.Sum64() ^ salt*goldenRatio
	x = (x ^ x>>30) * mix
	return x ^ x>>31
}
