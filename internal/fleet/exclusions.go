package fleet

import (
	"maps"
	"slices"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zoneview"
)

// exclusions says which endpoints of a pool are excluded or recovering, by endpoint name.
type exclusions struct {
	excluded     map[string]bool // receive no new requests
	recovering   map[string]bool // were excluded, receive requests again and count as warming up
	untilRestart map[string]bool // excluded endpoints that may be used again once they have restarted
}

func newExclusions() exclusions {
	return exclusions{map[string]bool{}, map[string]bool{}, map[string]bool{}}
}

func (e exclusions) equal(other exclusions) bool {
	return maps.Equal(e.excluded, other.excluded) &&
		maps.Equal(e.recovering, other.recovering) &&
		maps.Equal(e.untilRestart, other.untilRestart)
}

// changedExclusions computes the exclusions in force and returns those that have changed, by pool. A pool whose exclusions have all ended
// is returned with empty ones.
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
		if _, ok := next[pool]; !ok {
			changed[pool] = exclusions{}
		}
	}
	s.excluded = next
	return changed
}

// exclusionsFor returns the exclusions of a pool in all, and creates them if they are missing.
func exclusionsFor(all map[string]exclusions, pool string) exclusions {
	if _, ok := all[pool]; !ok {
		all[pool] = newExclusions()
	}
	return all[pool]
}

// addOperatorExclusions adds the endpoints that operators have excluded.
func (s *sharedState) addOperatorExclusions(all map[string]exclusions) {
	s.node.Store().ForEach(consensus.OperatorKind+"/", func(e *gossip.Entry) bool {
		if pool, endpoint, ok := gossip.SplitPoolKey(e.Key); ok && len(e.Values()) > 0 {
			exclusionsFor(all, pool).excluded[endpoint] = true
		}
		return true
	})
}

// addZoneExclusions adds the endpoints of zones that are not fully in service.
func (s *sharedState) addZoneExclusions(all map[string]exclusions) {
	for pool, zones := range s.zones.endpointZones {
		excluded, recovering, untilRestart := zoneview.Exclusions(s.node, pool, zones)
		for endpoint := range untilRestart {
			e := exclusionsFor(all, pool)
			e.untilRestart[endpoint] = !e.excluded[endpoint] // an exclusion of the endpoint by an operator outlasts a restart
		}
		if len(excluded)+len(recovering) > 0 {
			e := exclusionsFor(all, pool)
			maps.Copy(e.excluded, excluded)
			maps.Copy(e.recovering, recovering)
		}
	}
}

// applyToPools applies hints and exclusions to the pools until the host closes. A single goroutine applies them one after the other, so
// that an earlier exclusion never replaces a later one. Pools are called without mu.
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

// applyExclusions applies the exclusions of a pool and withdraws this process's reports on the excluded endpoints: health checks observe
// these endpoints instead.
func (h *Host) applyExclusions(pool string, e exclusions) {
	shared := h.shared
	applied := shared.pools.ExcludeEndpoints(pool, e.excluded, e.recovering, e.untilRestart)
	h.mu.Lock()
	for endpoint := range e.excluded {
		shared.failureReports.Record(h.clock.Now(), shared.node, gossip.PoolKey(gossip.UnreachableKind, pool, endpoint), false)
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
