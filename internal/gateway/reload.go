package gateway

import (
	"errors"
	"fmt"
	"reflect"
	"slices"

	"sorrelrudder/internal/route"
)

// errNoExtension is that a listener for other sites needs an extension, which this process was not started with.
var errNoExtension = errors.New("a listener for other sites, which this process was not started with")

// Apply replaces the configuration in force, under load. Pools that the new one lacks drain: their open requests are
// answered, and no new ones reach them. A pool whose settings or dialect have changed is replaced by a new instance that
// knows its endpoint list; where only its limits, its list or the source of that have changed, the instance stays. With an
// error the old configuration stays in force unchanged.
func (g *Gateway) Apply(next Config) error {
	return g.apply(next, g.listening.Load())
}

// apply is Apply. Without listen it opens and closes no listeners.
func (g *Gateway) apply(next Config, listen bool) error {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	if g.stopped {
		return ErrStopped
	}
	routes, err := g.validate(next)
	if err != nil {
		return err
	}
	var opened map[Listener]*activeListener
	if listen {
		if opened, err = g.openListeners(next.Listeners); err != nil {
			return err
		}
	}
	old := g.table.Load()
	table, started, err := g.buildTable(next, routes, old)
	if err != nil {
		closeListeners(opened)
		return err
	}
	// Nothing fails from here on.
	g.assignQuotas(next, table)
	table.updateKept(next, started)
	g.table.Store(table)
	g.retireReplaced(old, table)
	g.noteMultiplePools(table)
	if listen {
		g.drainRemovedListeners(next.Listeners)
		g.startAccepting(opened)
	}
	g.cfg = next
	return nil
}

// validate checks a configuration, and returns its routes; nil: all requests are for the only pool.
func (g *Gateway) validate(next Config) (*route.Table, error) {
	if err := next.Validate(); err != nil {
		return nil, err
	}
	if g.extension == nil && slices.ContainsFunc(next.Listeners, func(l Listener) bool { return l.InterSite }) {
		return nil, errNoExtension
	}
	routes, problems := route.New(next.Routes)
	if len(problems) > 0 {
		return nil, problems[0]
	}
	if len(next.Routes) == 0 {
		return nil, nil
	}
	return routes, nil
}

// buildTable returns the routing table of a configuration: instances of the old one where they can stay, and else new
// ones, which are started and returned too. With an error none of them is left running. The caller holds configMu.
func (g *Gateway) buildTable(next Config, routes *route.Table, old *routingTable) (*routingTable, []*poolInstance, error) {
	table := &routingTable{routes: routes, pools: map[string]*poolInstance{}}
	var started []*poolInstance
	for _, cfg := range next.Pools {
		p := old.pools[cfg.Name]
		if p == nil || p.needsRestart(cfg) {
			var err error
			if p, err = g.startPool(next, cfg, p); err != nil {
				g.abandonPools(started)
				return nil, nil, fmt.Errorf("pool %q: %w", cfg.Name, err)
			}
			started = append(started, p)
		}
		table.pools[cfg.Name] = p
		table.only = p
	}
	return table, started, nil
}

// abandonPools ends instances that have not come into force.
func (g *Gateway) abandonPools(pools []*poolInstance) {
	for _, p := range pools {
		g.dropQuotas(p)
		p.pool.Close()
	}
}

// needsRestart reports whether cfg can only come into force with a new instance of p.
func (p *poolInstance) needsRestart(cfg Pool) bool {
	return !reflect.DeepEqual(p.cfg.Settings, cfg.Settings) || !reflect.DeepEqual(p.cfg.Dialect, cfg.Dialect)
}

// updateKept gives the instances that were not just started what they take from next.
func (t *routingTable) updateKept(next Config, started []*poolInstance) {
	for _, cfg := range next.Pools {
		if p := t.pools[cfg.Name]; !slices.Contains(started, p) {
			p.setSource(cfg)
			p.cfg = cfg
		}
	}
}

// retireReplaced retires the instances of the old table that are not in the new one.
func (g *Gateway) retireReplaced(old, table *routingTable) {
	for name, p := range old.pools {
		if table.pools[name] != p {
			g.retirePool(p)
		}
	}
}

// noteMultiplePools closes multiplePools once there is more than one pool. The caller holds configMu.
func (g *Gateway) noteMultiplePools(table *routingTable) {
	if len(table.pools) <= 1 {
		return
	}
	select {
	case <-g.multiplePools:
	default:
		close(g.multiplePools)
	}
}
