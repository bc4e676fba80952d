package gateway

import (
	"maps"
	"slices"
	"time"
)

// exclusionSet is the arguments of pool.Pool.SetExcluded.
type exclusionSet struct{ excluded, returning, untilRestart map[string]bool }

// RefreshEndpoints has all pools open a watch of their sources soon; see pool.Pool.PollNow.
func (g *Gateway) RefreshEndpoints() {
	for _, p := range g.table.Load().pools {
		p.pool.PollNow()
	}
}

// EndpointsKnown reports whether every pool has had its list from its source.
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

// ReadyEndpoints returns the zone of each endpoint that a pool's list names ready, by the endpoint's name.
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

// ExcludeEndpoints has a pool, and each instance that replaces it, send nothing new to the servers in excluded until the next
// call names others; see pool.Pool.SetExcluded. It returns false if no ready server would be left: then none is excluded.
func (g *Gateway) ExcludeEndpoints(pool string, excluded, returning, untilRestart map[string]bool) bool {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	if g.exclusions == nil {
		g.exclusions = map[string]exclusionSet{}
	}
	g.exclusions[pool] = exclusionSet{excluded, returning, untilRestart}
	if p := g.table.Load().pools[pool]; p != nil {
		return p.pool.SetExcluded(excluded, returning, untilRestart)
	}
	return true
}

// OnReachabilityChange has f called, with unreachable true, for each attempt or health check that an endpoint left unanswered, and
// with false once it answers again. It is called under the pool's lock, and must call neither pool nor gateway. There is one such
// function at a time.
func (g *Gateway) OnReachabilityChange(f func(pool, endpoint string, unreachable bool)) {
	g.onReachabilityChange.Store(&f)
}

func (g *Gateway) notifyReachability(pool, endpoint string, unreachable bool) {
	if f := g.onReachabilityChange.Load(); f != nil {
		(*f)(pool, endpoint, unreachable)
	}
}

// HintUnreachable tells a pool's policy that a server does not answer other processes.
func (g *Gateway) HintUnreachable(pool, server string) {
	if p := g.table.Load().pools[pool]; p != nil {
		p.pool.HintUnreachable(server)
	}
}

// AttemptOutcomes calls f with what became of a pool's attempts in each zone; see pool.Pool.ZoneOutcomes.
func (g *Gateway) AttemptOutcomes(pool string, f func(zone string, answered, failed int64, delay time.Duration)) {
	if p := g.table.Load().pools[pool]; p != nil {
		p.pool.ZoneOutcomes(f)
	}
}

// CheckHealth sends a health check to a server of a pool, and reports whether it was answered.
func (g *Gateway) CheckHealth(pool, server string) bool {
	p := g.table.Load().pools[pool]
	return p != nil && p.pool.CheckEndpoint(server)
}
