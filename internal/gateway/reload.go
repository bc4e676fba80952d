package gateway

import (
	"errors"
	"fmt"
	"reflect"
	"slices"

	"sorrelrudder/internal/route"
)

// errNoExtension is returned for an inter-site listener in a process that was started without an extension.
var errNoExtension = errors.New("an inter-site listener is configured, but this process was started without connections to other sites")

// Apply replaces the configuration in force while the process serves requests. Pools that are not in the new configuration drain: their
// open requests are answered, and they receive no new ones. A pool whose settings or dialect have changed is replaced by a new instance,
// which starts with the endpoint list of the old one. If only its limits, its endpoint list or the source of the list have changed, the
// instance is kept. On error the old configuration stays in force unchanged.
func (g *Gateway) Apply(next Config) error {
	return g.apply(next, g.listening.Load())
}

// apply implements Apply. If listen is false it opens and closes no listeners.
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
	// No step below can fail.
	g.assignQuotas(next, table)
	table.updateKept(next, started)
	g.table.Store(table)
	g.retireReplaced(old, table)
	g.signalMultiplePools(table)
	if listen {
		g.drainRemovedListeners(next.Listeners)
		g.startAccepting(opened)
	}
	g.cfg = next
	return nil
}

// validate checks a configuration and returns its routes. They are nil if all requests go to the only pool.
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

// buildTable returns the routing table of a configuration. It keeps instances of the old table where possible. It starts new instances for
// the other pools, and returns these too. On error no new instance is left running. The caller holds configMu.
func (g *Gateway) buildTable(next Config, routes *route.Table, old *routingTable) (*routingTable, []*poolInstance, error) {
	table := &routingTable{routes: routes, pools: map[string]*poolInstance{}}
	var started []*poolInstance
	for _, cfg := range next.Pools {
		p := old.pools[cfg.Name]
		if p == nil || p.needsRestart(cfg) {
			var err error
			if p, err = g.startPool(next, cfg, p); err != nil {
				g.closePools(started)
				return nil, nil, fmt.Errorf("pool %q: %w", cfg.Name, err)
			}
			started = append(started, p)
		}
		table.pools[cfg.Name] = p
		table.only = p
	}
	return table, started, nil
}

// closePools closes instances that were started for a configuration that is not applied.
func (g *Gateway) closePools(pools []*poolInstance) {
	for _, p := range pools {
		g.removeQuotas(p)
		p.pool.Close()
	}
}

// needsRestart reports whether applying cfg requires a new instance of p.
func (p *poolInstance) needsRestart(cfg Pool) bool {
	return !reflect.DeepEqual(p.cfg.Settings, cfg.Settings) || !reflect.DeepEqual(p.cfg.Dialect, cfg.Dialect)
}

// updateKept applies next to the kept instances, that is, all that are not in started.
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

// signalMultiplePools closes multiplePools when the table has more than one pool for the first time. The caller holds configMu.
func (g *Gateway) signalMultiplePools(table *routingTable) {
	if len(table.pools) <= 1 {
		return
	}
	select {
	case <-g.multiplePools:
	default:
		close(g.multiplePools)
	}
}
