package gateway

import (
	"maps"
	"slices"
	"time"
)

// OnUnresponsive has f told of each server that has not answered a pool, each time, and once it answers again. It is called under the pool's lock,
// and must call neither pool nor gateway. Only the product asks.
func (g *Gateway) OnUnresponsive(f func(pool, server string, is bool)) { g.onUnresponsive.Store(&f) }

// HintUnreachable has a pool's module hear that a server does not answer others.
func (g *Gateway) HintUnreachable(pool, server string) {
	if m := g.table.Load().pools[pool]; m != nil {
		m.pool.HintUnreachable(server)
	}
}

// exclusionSet are what a pool was told to avoid last; see pool.Pool.Avoid.
type exclusionSet struct{ excluded, returning, soft map[string]bool }

// ExcludeEndpoints has a pool send nothing new to the servers named, by order, until another call names others; also an instance of the pool that
// takes the place of this one. Those of returning, of which the fleet has just begun to use, count as cold; see pool.Pool.Avoid. It returns false
// where no ready server would be left: then it is not done.
func (g *Gateway) ExcludeEndpoints(pool string, servers, returning, soft map[string]bool) bool {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	if g.exclusions == nil {
		g.exclusions = map[string]exclusionSet{}
	}
	g.exclusions[pool] = exclusionSet{servers, returning, soft}
	if m := g.table.Load().pools[pool]; m != nil {
		return m.pool.SetExcluded(servers, returning, soft)
	}
	return true
}

// PoolNames are those of all pools, in order.
func (g *Gateway) PoolNames() []string { return slices.Sorted(maps.Keys(g.table.Load().pools)) }

// ReadyEndpoints are those that a pool's list names ready: zones by name.
func (g *Gateway) ReadyEndpoints(pool string) map[string]string {
	m := g.table.Load().pools[pool]
	if m == nil {
		return nil
	}
	zones := map[string]string{}
	for _, s := range m.pool.ReadyEndpoints() {
		zones[s.Name] = s.Zone
	}
	return zones
}

// AttemptOutcomes are what became of a pool's attempts, by zone; see pool.Pool.Outcomes.
func (g *Gateway) AttemptOutcomes(pool string, f func(zone string, answered, failed int64, delay time.Duration)) {
	if m := g.table.Load().pools[pool]; m != nil {
		m.pool.ZoneOutcomes(f)
	}
}

// CheckHealth asks a server of a pool whether it answers.
func (g *Gateway) CheckHealth(pool, server string) bool {
	m := g.table.Load().pools[pool]
	return m != nil && m.pool.CheckEndpoint(server)
}
