package emulator

import (
	"cmp"
	"slices"

	"sorrelrudder/policy"
)

// startUnknown stands for the start time of an endpoint that was first listed after endpoints of its zone had been excluded. It differs
// from the start time of every endpoint.
const startUnknown policy.Time = -1

// exclusions records which endpoints of the list an instance does not use because of the zone controller's decisions.
type exclusions struct {
	list       map[policy.EndpointID]policy.Endpoint // as received by the instance
	excluded   map[string]bool
	readmitted map[policy.EndpointID]policy.Time // time of readmission, which replaces the start time
	// startWhenExcluded has the start times of the excluded endpoints at the time of their exclusion. An endpoint that has restarted since
	// then is not presented to the balancer as draining.
	startWhenExcluded map[policy.EndpointID]policy.Time
}

func newExclusions() exclusions {
	return exclusions{
		list:              map[policy.EndpointID]policy.Endpoint{},
		readmitted:        map[policy.EndpointID]policy.Time{},
		startWhenExcluded: map[policy.EndpointID]policy.Time{},
	}
}

// applyExclusions updates the balancer's endpoints according to the zone controller's decisions. A readmitted endpoint counts as started
// now, so that its traffic returns by slow start.
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
			x.readmit(id, used[id], in.emulation.scheduler.Now())
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

// usedEndpoints returns the endpoints that are presented to the balancer as ready.
func (x *exclusions) usedEndpoints() map[policy.EndpointID]bool {
	used := map[policy.EndpointID]bool{}
	for id, endpoint := range x.list {
		used[id] = x.overlay(endpoint).State == policy.Ready
	}
	return used
}

// readmit ends the exclusion of an endpoint. It records the time of the readmission, unless the endpoint was presented to the balancer as
// ready despite the exclusion, as after a restart.
func (x *exclusions) readmit(id policy.EndpointID, used bool, now policy.Time) {
	if !used {
		x.readmitted[id] = now
	}
	delete(x.startWhenExcluded, id)
}

// exclude starts the exclusion of an endpoint.
func (x *exclusions) exclude(endpoint policy.Endpoint) {
	x.startWhenExcluded[endpoint.ID] = endpoint.Started
	delete(x.readmitted, endpoint.ID)
}

// overlay returns the endpoint as it is presented to the balancer. An excluded endpoint is draining. A readmitted endpoint has the time of
// its readmission as its start time, unless it has restarted since.
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

// filterUpdate records an update of the endpoint list and returns the endpoints as they are presented to the balancer.
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
		if _, listed := x.list[endpoint.ID]; !listed && kind == policy.UpdateDelta && zones.hasExclusions(endpoint.Zone) {
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

// dropReadmittedStarts deletes the recorded start times of listed endpoints that are no longer excluded.
func (x *exclusions) dropReadmittedStarts() {
	for id := range x.startWhenExcluded {
		if _, listed := x.list[id]; listed && !x.excluded[string(id)] {
			delete(x.startWhenExcluded, id)
		}
	}
}
