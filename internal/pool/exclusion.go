package pool

import (
	"sorrelrudder/internal/discovery"
	"sorrelrudder/policy"
)

// neverListedStartMs stands for a start that no list names.
const neverListedStartMs = -1

// exclusion holds which endpoints take no new requests by an order of an operator or of the fleet, though the list names them ready,
// and which are used again after one. The pool's mu guards it.
type exclusion struct {
	slowStart          bool                   // the settings have a slow start: readmittedAt is kept
	excluded           map[string]bool        // by the last order
	untilRestart       map[string]bool        // of those: used again once the list names another start
	startMsAtExclusion map[string]int64       // of those excluded: the list's start then, in Unix milliseconds
	listedAtLastUpdate map[string]bool        // what the list had named at the last order
	readmittedAt       map[string]policy.Time // used again since then; 0: since the start that the list names
}

// exclusionSet is which endpoints are to be excluded from now on.
type exclusionSet struct {
	excluded     map[string]bool
	recovering   map[string]bool // the fleet has just begun to use them again
	untilRestart map[string]bool // of excluded: until the list names another start
}

// excludes reports whether an endpoint that the list names so takes no new requests.
func (x *exclusion) excludes(e discovery.Endpoint) bool {
	if !x.excluded[e.ID] {
		return false
	}
	restarted := e.StartedMs != x.startMsAtExclusion[e.ID]
	return !x.untilRestart[e.ID] || !restarted
}

// uses reports whether an endpoint that the list names so takes new requests.
func (x *exclusion) uses(e discovery.Endpoint) bool {
	return e.State() == policy.Ready && !x.excludes(e)
}

// forget drops what is known of an endpoint that the list names no more.
func (x *exclusion) forget(id string) { delete(x.readmittedAt, id) }

// apply carries out an order for the endpoints of the list, and returns those for which it changes something.
func (x *exclusion) apply(now policy.Time, set exclusionSet, endpoints map[policy.EndpointID]discovery.Endpoint) []discovery.Endpoint {
	before := x.excluded
	used := map[string]bool{} // some of those excluded are: they have restarted
	for _, e := range endpoints {
		used[e.ID] = x.uses(e)
	}
	x.excluded, x.untilRestart = set.excluded, set.untilRestart
	x.recordStarts(before, endpoints)
	x.listedAtLastUpdate = map[string]bool{}
	for _, e := range endpoints {
		x.listedAtLastUpdate[e.ID] = true
	}
	var changed []discovery.Endpoint
	for _, e := range endpoints {
		returns := x.recordReturn(now, e.ID, before[e.ID], used[e.ID], set.recovering[e.ID])
		if returns || before[e.ID] != set.excluded[e.ID] {
			changed = append(changed, e)
		}
	}
	return changed
}

// recordStarts notes the start of each endpoint that is newly excluded; before are those that were excluded already.
func (x *exclusion) recordStarts(before map[string]bool, endpoints map[policy.EndpointID]discovery.Endpoint) {
	for id := range x.startMsAtExclusion {
		if !x.excluded[id] {
			delete(x.startMsAtExclusion, id)
		}
	}
	zonesBefore := map[string]bool{} // of which some were excluded already
	for id := range before {
		if e, listed := endpoints[policy.EndpointID(id)]; listed {
			zonesBefore[e.Zone] = true
		}
	}
	for id := range x.excluded {
		if _, noted := x.startMsAtExclusion[id]; noted {
			continue
		}
		if x.startMsAtExclusion == nil {
			x.startMsAtExclusion = map[string]int64{}
		}
		e, listed := endpoints[policy.EndpointID(id)]
		startMs := e.StartedMs
		if listed && startMs != 0 && zonesBefore[e.Zone] && !x.listedAtLastUpdate[id] {
			startMs = neverListedStartMs // the list has first named it since its zone was excluded: it has restarted since
		}
		x.startMsAtExclusion[id] = startMs
	}
}

// recordReturn notes whether an endpoint is used again by the order now in force, and reports whether it counts as started now for
// that. It counts so if it took no requests before: no list need say so, and all processes together would overload it.
func (x *exclusion) recordReturn(now policy.Time, id string, excludedBefore, usedBefore, recovering bool) bool {
	_, readmittedBefore := x.readmittedAt[id]
	switch {
	case x.excluded[id]:
		delete(x.readmittedAt, id)
		return false
	case excludedBefore && usedBefore:
		x.setReadmittedAt(id, 0)
		return false
	case excludedBefore, recovering && !readmittedBefore:
		x.setReadmittedAt(id, max(now, 1))
		return true
	}
	return false
}

func (x *exclusion) setReadmittedAt(id string, at policy.Time) {
	if !x.slowStart {
		return
	}
	if x.readmittedAt == nil {
		x.readmittedAt = map[string]policy.Time{}
	}
	x.readmittedAt[id] = at
}

// SetExcluded orders which endpoints take no new requests from now on, as if the list said that they drain. It excludes none of them,
// and returns false, where no ready endpoint would be left by the list in force; a later list may leave none. An endpoint that was excluded and is not any more counts as started now,
// and so does one of recovering, which the fleet has just begun to use again; those of untilRestart are used again once the list names
// another start. The pool keeps the maps, which must not be changed.
func (p *Pool) SetExcluded(excluded, recovering, untilRestart map[string]bool) (applied bool) {
	p.runEvent(func(now policy.Time) {
		set := exclusionSet{excluded: excluded, recovering: recovering, untilRestart: untilRestart}
		applied = len(p.endpoints) == 0 || p.leavesReady(excluded)
		if !applied {
			set = exclusionSet{}
		}
		var changed []policy.Endpoint
		for _, e := range p.exclusion.apply(now, set, p.endpoints) {
			changed = append(changed, p.policyEndpoint(e))
		}
		if len(changed) > 0 {
			p.balancer.UpdateEndpoints(now, policy.UpdateDelta, changed, p)
		}
	})
	return applied
}

// leavesReady reports whether the list names a ready endpoint beside those excluded. The caller holds mu.
func (p *Pool) leavesReady(excluded map[string]bool) bool {
	for _, e := range p.endpoints {
		if e.State() == policy.Ready && !excluded[e.ID] {
			return true
		}
	}
	return false
}
