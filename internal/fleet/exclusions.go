package fleet

import (
	"maps"
	"slices"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zoneview"
)

// exclusions are what a pool has to do with some of its endpoints, by name.
type exclusions struct {
	excluded     map[string]bool // get nothing new
	recovering   map[string]bool // were excluded, are used again, and count as warming up
	untilRestart map[string]bool // of the excluded: those that may be used again once they have restarted
}

func newExclusions() exclusions {
	return exclusions{map[string]bool{}, map[string]bool{}, map[string]bool{}}
}

func (e exclusions) equal(other exclusions) bool {
	return maps.Equal(e.excluded, other.excluded) &&
		maps.Equal(e.recovering, other.recovering) &&
		maps.Equal(e.untilRestart, other.untilRestart)
}

// changedExclusions works out the exclusions in force and returns those that have changed, by pool; a pool that has none any more is there
// with empty ones.
func (s *sharedState) changedExclusions() map[string]exclusions {
	next := map[string]exclusions{}
	s.addOperatorExclusions(next)
	s.addZoneExclusions(next)
	changed := map[string]exclusions{}
	for pool, e := range next {
		if !e.equal(s.excluded[pool]) {
			changed[pool] = e
		}
	}
	for pool := range s.excluded {
		if _, some := next[pool]; !some {
			changed[pool] = exclusions{}
		}
	}
	s.excluded = next
	return changed
}

// ofPool returns the exclusions of a pool, made when they are first asked for.
func ofPool(all map[string]exclusions, pool string) exclusions {
	if _, some := all[pool]; !some {
		all[pool] = newExclusions()
	}
	return all[pool]
}

// addOperatorExclusions adds the endpoints that operators have excluded.
func (s *sharedState) addOperatorExclusions(all map[string]exclusions) {
	s.node.Store().ForEach(consensus.OperatorKind+"/", func(e *gossip.Entry) bool {
		if pool, endpoint, ok := gossip.SplitPoolKey(e.Key); ok && len(e.Values()) > 0 {
			ofPool(all, pool).excluded[endpoint] = true
		}
		return true
	})
}

// addZoneExclusions adds the endpoints of zones that are not wholly in use.
func (s *sharedState) addZoneExclusions(all map[string]exclusions) {
	for pool, zones := range s.zones.endpointZones {
		excluded, recovering, untilRestart := zoneview.Exclusions(s.node, pool, zones)
		for endpoint := range untilRestart {
			e := ofPool(all, pool)
			e.untilRestart[endpoint] = !e.excluded[endpoint] // an operator's exclusion of the endpoint itself outlasts a restart
		}
		if len(excluded)+len(recovering) > 0 {
			e := ofPool(all, pool)
			maps.Copy(e.excluded, excluded)
			maps.Copy(e.recovering, recovering)
		}
	}
}

// applyToPools hands hints and exclusions to the pools, one after the other, so that an earlier exclusion never replaces a later one. Pools are
// called without mu.
func (h *Host) applyToPools() {
	shared := h.shared
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-shared.work:
		}
		h.mu.Lock()
		hints, due := shared.hints, shared.dueExclusions
		shared.hints, shared.dueExclusions = map[string]bool{}, map[string]exclusions{}
		h.mu.Unlock()
		for _, pool := range slices.Sorted(maps.Keys(due)) {
			h.applyExclusions(pool, due[pool])
		}
		for _, key := range slices.Sorted(maps.Keys(hints)) {
			if pool, endpoint, ok := gossip.SplitPoolKey(key); ok {
				shared.pools.HintUnreachable(pool, endpoint)
			}
		}
	}
}

// applyExclusions hands a pool its exclusions. What it excludes is no longer this process' to report: health checks look after it.
func (h *Host) applyExclusions(pool string, e exclusions) {
	shared := h.shared
	applied := shared.pools.ExcludeEndpoints(pool, e.excluded, e.recovering, e.untilRestart)
	h.mu.Lock()
	for endpoint := range e.excluded {
		shared.evidence.Record(h.clock.Now(), shared.node, gossip.PoolKey(gossip.UnreachableKind, pool, endpoint), false)
	}
	shared.notApplied[pool] = !applied
	h.runDue()
	h.mu.Unlock()
	names := slices.Sorted(maps.Keys(e.excluded))
	if applied {
		h.log.Info("exclusions applied", "pool", pool, "avoided", names)
	} else {
		h.log.Warn("exclusions not applied: no ready endpoint would be left", "pool", pool, "avoided", names)
	}
}
