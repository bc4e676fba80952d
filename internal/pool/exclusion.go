package pool

import (
	"sorrelrudder/internal/discovery"
	"sorrelrudder/policy"
)

// neverListedStartMs is a start time that differs from every start time in an endpoint list.
const neverListedStartMs = -1

// exclusion records which endpoints an operator or the fleet has excluded: they take no new requests even if the list reports them ready.
// It also records when endpoints were readmitted. The pool's mu guards it.
type exclusion struct {
	slowStart          bool                   // slow start is configured; without it readmittedAt is not recorded
	excluded           map[string]bool        // the excluded endpoints of the last set applied
	untilRestart       map[string]bool        // the subset of excluded that is readmitted once the list has another start time
	startMsAtExclusion map[string]int64       // for each excluded endpoint: its listed start time then, in Unix milliseconds
	listedAtLastApply  map[string]bool        // the endpoints on the list when the last set was applied
	readmittedAt       map[string]policy.Time // when each endpoint was readmitted; 0: it restarted, and its listed start time counts
}

// exclusionSet is a complete set of exclusions, which replaces the preceding one.
type exclusionSet struct {
	excluded     map[string]bool
	recovering   map[string]bool // the fleet has just begun to send requests to them again
	untilRestart map[string]bool // the subset of excluded that is readmitted once the list has another start time
}

// excludes reports whether the endpoint of a list entry is excluded.
func (x *exclusion) excludes(e discovery.Endpoint) bool {
	if !x.excluded[e.ID] {
		return false
	}
	restarted := e.StartedMs != x.startMsAtExclusion[e.ID]
	return !x.untilRestart[e.ID] || !restarted
}

// uses reports whether the endpoint of a list entry takes new requests.
func (x *exclusion) uses(e discovery.Endpoint) bool {
	return e.State() == policy.Ready && !x.excludes(e)
}

// forget drops the readmission time of an endpoint that was removed from the list.
func (x *exclusion) forget(id string) { delete(x.readmittedAt, id) }

// apply replaces the exclusions with set, and returns the listed endpoints whose exclusion or readmission time has changed.
func (x *exclusion) apply(now policy.Time, set exclusionSet, endpoints map[policy.EndpointID]discovery.Endpoint) []discovery.Endpoint {
	before := x.excluded
	used := map[string]bool{} // includes excluded endpoints that have restarted
	for _, e := range endpoints {
		used[e.ID] = x.uses(e)
	}
	x.excluded, x.untilRestart = set.excluded, set.untilRestart
	x.recordStarts(before, endpoints)
	x.listedAtLastApply = map[string]bool{}
	for _, e := range endpoints {
		x.listedAtLastApply[e.ID] = true
	}
	var changed []discovery.Endpoint
	for _, e := range endpoints {
		readmitted := x.recordReadmission(now, e.ID, before[e.ID], used[e.ID], set.recovering[e.ID])
		if readmitted || before[e.ID] != set.excluded[e.ID] {
			changed = append(changed, e)
		}
	}
	return changed
}

// recordStarts records the listed start time of each newly excluded endpoint. before holds the endpoints that were excluded until now.
func (x *exclusion) recordStarts(before map[string]bool, endpoints map[policy.EndpointID]discovery.Endpoint) {
	for id := range x.startMsAtExclusion {
		if !x.excluded[id] {
			delete(x.startMsAtExclusion, id)
		}
	}
	zonesBefore := map[string]bool{} // the zones that already had an excluded endpoint
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
		if listed && startMs != 0 && zonesBefore[e.Zone] && !x.listedAtLastApply[id] {
			startMs = neverListedStartMs // it was listed only after the exclusion of its zone, so it has restarted since
		}
		x.startMsAtExclusion[id] = startMs
	}
}

// recordReadmission records whether the set just applied readmits an endpoint, and reports whether the endpoint counts as started now.
// It does if it took no requests until now, even if the list has no new start time: without a slow start all processes together would
// overload it.
func (x *exclusion) recordReadmission(now policy.Time, id string, excludedBefore, usedBefore, recovering bool) bool {
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

// SetExcluded replaces the set of excluded endpoints. An excluded endpoint takes no new requests, as if the list reported it as draining.
// If the current list would have no ready endpoint left, SetExcluded excludes none at all and returns false. This is checked only now, and
// not for an empty list: a later list may leave no ready endpoint.
//
// With slow start, an endpoint that is no longer excluded counts as started now, unless it has restarted and was readmitted for that reason.
// An endpoint of recovering, to which the fleet has just begun to send requests again, counts as started now, unless its readmission is
// already recorded. An endpoint of untilRestart, a subset of excluded, is readmitted once the list has another start time for it.
//
// The pool keeps the maps; the caller must not modify them afterwards.
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

// leavesReady reports whether the list has a ready endpoint that is not in excluded. The caller holds mu.
func (p *Pool) leavesReady(excluded map[string]bool) bool {
	for _, e := range p.endpoints {
		if e.State() == policy.Ready && !excluded[e.ID] {
			return true
		}
	}
	return false
}
