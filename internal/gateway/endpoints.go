package gateway

import (
	"maps"
	"slices"
	"time"
)

// exclusionSet holds the arguments of pool.Pool.SetExcluded.
type exclusionSet struct{ excluded, recovering, untilRestart map[string]bool }

// RefreshEndpoints makes all pools query the sources of their endpoint lists soon; see pool.Pool.PollNow.
func (g *Gateway) RefreshEndpoints() {
	for _, p := range g.table.Load().pools {
		p.pool.PollNow()
	}
}

// EndpointsKnown reports whether every pool has received an endpoint list from its source.
func (g *Gateway) EndpointsKnown() bool {
	for _, p := range g.table.Load().pools {
		if _, known := p.pool.Readiness(); !known {
			return false
		}
	}
	return true
}

// PoolNames returns the names of all pools, sorted.
func (g *Gateway) PoolNames() []string { return slices.Sorted(maps.Keys(g.table.Load().pools)) }

// ReadyEndpoints returns the zones of a pool's endpoints that are ready in its endpoint list, keyed by endpoint name. It returns nil if
// there is no such pool.
func (g *Gateway) ReadyEndpoints(pool string) map[string]string {
	p := g.table.Load().pools[pool]
	if p == nil {
		return nil
	}
	zones := map[string]string{}
	for _, e := range p.pool.ReadyEndpoints() {
		zones[e.Name] = e.Zone
	}
	return zones
}

// ExcludeEndpoints makes a pool, and each instance that replaces it, send no new attempts to the excluded endpoints. The exclusion holds
// until the next call for the pool; see pool.Pool.SetExcluded. If no ready endpoint would be left, it excludes none and returns false.
func (g *Gateway) ExcludeEndpoints(pool string, excluded, recovering, untilRestart map[string]bool) bool {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	if g.exclusions == nil {
		g.exclusions = map[string]exclusionSet{}
	}
	g.exclusions[pool] = exclusionSet{excluded, recovering, untilRestart}
	if p := g.table.Load().pools[pool]; p != nil {
		return p.pool.SetExcluded(excluded, recovering, untilRestart)
	}
	return true
}

// OnReachabilityChange registers f, which replaces the function of an earlier call. f is called with unreachable true for each attempt or
// health check that an endpoint did not answer, and with false once the endpoint answers again, restarts, moves or is removed. It is called
// with the pool's lock held and must not call the pool or the gateway.
func (g *Gateway) OnReachabilityChange(f func(pool, endpoint string, unreachable bool)) {
	g.onReachabilityChange.Store(&f)
}

func (g *Gateway) notifyReachability(pool, endpoint string, unreachable bool) {
	if f := g.onReachabilityChange.Load(); f != nil {
		(*f)(pool, endpoint, unreachable)
	}
}

// HintUnreachable tells a pool's policy that an endpoint does not answer other processes.
func (g *Gateway) HintUnreachable(pool, endpoint string) {
	if p := g.table.Load().pools[pool]; p != nil {
		p.pool.HintUnreachable(endpoint)
	}
}

// AttemptOutcomes calls f with the outcomes of a pool's attempts in each zone; see pool.Pool.ZoneOutcomes.
func (g *Gateway) AttemptOutcomes(pool string, f func(zone string, answered, failed int64, latencySum time.Duration)) {
	if p := g.table.Load().pools[pool]; p != nil {
		p.pool.ZoneOutcomes(f)
	}
}

// CheckHealth sends a health check to an endpoint of a pool, and reports whether it succeeded; see pool.Pool.CheckEndpoint.
func (g *Gateway) CheckHealth(pool, endpoint string) bool {
	p := g.table.Load().pools[pool]
	return p != nil && p.pool.CheckEndpoint(endpoint)
}
