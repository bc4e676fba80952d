package emulator

import (
	"cmp"
	"slices"

	"sorrelrudder/policy"
)

// startUnknown stands for the start of an endpoint that was first listed after its zone was left. It equals no endpoint's start.
const startUnknown policy.Time = -1

// exclusions says which endpoints of its list an instance does not use by the zone controller's decisions.
type exclusions struct {
	list       map[policy.EndpointID]policy.Endpoint // as the instance was notified of it
	excluded   map[string]bool
	readmitted map[policy.EndpointID]policy.Time // when; they count as started then
	// startWhenExcluded has the starts of the excluded endpoints as the list had them then. An endpoint that has restarted since is
	// not shown to the balancer as draining.
	startWhenExcluded map[policy.EndpointID]policy.Time
}

func newExclusions() exclusions {
	return exclusions{
		list:              map[policy.EndpointID]policy.Endpoint{},
		readmitted:        map[policy.EndpointID]policy.Time{},
		startWhenExcluded: map[policy.EndpointID]policy.Time{},
	}
}

// applyExclusions updates the balancer's endpoints by the zone controller's decisions. What is used again counts as started now, so that
// it gets its traffic back by slow start.
func (in *instance) applyExclusions() {
	zones := in.emulation.zones
	if !in.up || zones == nil {
		return
	}
	x := &in.exclusions
	before := x.excluded
	used := x.usedEndpoints() // includes excluded ones that have restarted
	x.excluded = zones.excludedEndpoints(x.list)
	var changed []policy.Endpoint
	for id, endpoint := range x.list {
		if x.excluded[string(id)] == before[string(id)] || endpoint.State != policy.Ready {
			continue
		}
		if before[string(id)] {
			x.readmit(id, used[id], in.emulation.now)
		} else {
			x.exclude(endpoint)
			delete(zones.failures[in.index], id)
		}
		changed = append(changed, x.overlay(endpoint))
	}
	slices.SortFunc(changed, func(a, b policy.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	if len(changed) > 0 {
		in.handle(func(now policy.Time) { in.balancer.UpdateEndpoints(now, policy.UpdateDelta, changed, in) })
	}
}

// usedEndpoints returns the endpoints that the balancer sees as ready.
func (x *exclusions) usedEndpoints() map[policy.EndpointID]bool {
	used := map[policy.EndpointID]bool{}
	for id, endpoint := range x.list {
		used[id] = x.overlay(endpoint).State == policy.Ready
	}
	return used
}

// readmit ends the exclusion of an endpoint.
func (x *exclusions) readmit(id policy.EndpointID, used bool, now policy.Time) {
	if !used {
		x.readmitted[id] = now
	}
	delete(x.startWhenExcluded, id)
}

// exclude begins the exclusion of an endpoint.
func (x *exclusions) exclude(endpoint policy.Endpoint) {
	x.startWhenExcluded[endpoint.ID] = endpoint.Started
	delete(x.readmitted, endpoint.ID)
}

// overlay returns the endpoint as the balancer sees it: an excluded one is draining, and one that was readmitted has started then.
func (x *exclusions) overlay(endpoint policy.Endpoint) policy.Endpoint {
	started, known := x.startWhenExcluded[endpoint.ID]
	restarted := known && started != endpoint.Started
	if endpoint.State == policy.Ready && x.excluded[string(endpoint.ID)] && !restarted {
		endpoint.State = policy.Draining
	}
	if at, readmitted := x.readmitted[endpoint.ID]; readmitted && endpoint.Started < at {
		endpoint.Started = at
	}
	return endpoint
}

// filterUpdate records an update of the endpoint list, and returns what the balancer is to see of it.
func (in *instance) filterUpdate(kind policy.UpdateKind, endpoints []policy.Endpoint) []policy.Endpoint {
	zones := in.emulation.zones
	if zones == nil {
		return endpoints
	}
	x := &in.exclusions
	if kind != policy.UpdateDelta {
		clear(x.list)
	}
	for _, endpoint := range endpoints {
		if endpoint.State == policy.Removed {
			delete(x.list, endpoint.ID)
			continue
		}
		if _, listed := x.list[endpoint.ID]; !listed && kind == policy.UpdateDelta && zones.left(endpoint.Zone) {
			x.startWhenExcluded[endpoint.ID] = startUnknown
		}
		x.list[endpoint.ID] = endpoint
	}
	x.excluded = zones.excludedEndpoints(x.list)
	x.dropReadmittedStarts()
	visible := make([]policy.Endpoint, len(endpoints))
	for i, endpoint := range endpoints {
		visible[i] = x.overlay(endpoint)
	}
	return visible
}

// dropReadmittedStarts forgets the starts of listed endpoints that are no longer excluded.
func (x *exclusions) dropReadmittedStarts() {
	for id := range x.startWhenExcluded {
		if _, listed := x.list[id]; listed && !x.excluded[string(id)] {
			delete(x.startWhenExcluded, id)
		}
	}
}
