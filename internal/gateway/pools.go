package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"reflect"
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/pool"
	"sorrelrudder/internal/quota"
	"sorrelrudder/internal/route"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

const (
	// lastResponsesTimeout is the time for the last responses beyond the longest deadline.
	lastResponsesTimeout = 150 * time.Millisecond
	// drainPollInterval is how often a draining pool is checked for open requests.
	drainPollInterval = 5 * time.Millisecond
)

// routingTable leads requests to pools. It is immutable, and replaced whole by a reload.
type routingTable struct {
	routes *route.Table // nil: all requests are for only
	only   *poolInstance
	pools  map[string]*poolInstance
}

// poolInstance is a pool in force, or one that drains after a reload.
type poolInstance struct {
	id        quota.PoolID
	policy    policy.Config // what its clients may be told
	cfg       Pool          // guarded by Gateway.configMu
	pool      *pool.Pool
	static    *discovery.Static // guarded by Gateway.configMu; nil if its list comes from discovery
	spillover Spillover         // nil: its rejected requests go nowhere else
}

// find returns the pool of a request and its path below the route, and makes the request's URI the one below the route.
// The error is a httpmsg.RejectionError.
func (t *routingTable) find(q *httpmsg.Request) (p *poolInstance, path string, err error) {
	if t.routes == nil {
		return t.only, q.Path, nil
	}
	match, path, err := t.routes.Find(q.Host, q.Path, q.URI)
	if err != nil {
		return nil, "", httpmsg.RejectionError{Status: routeErrorStatus(err), Text: err.Error()}
	}
	q.URI = match.RewriteTarget(q.URI)
	return t.pools[match.Pool], path, nil
}

// routeErrorStatus is the HTTP status for an error of route.Table.Find.
func routeErrorStatus(err error) int {
	switch {
	case errors.Is(err, route.ErrUnknownHost):
		return http.StatusMisdirectedRequest
	case errors.Is(err, route.ErrUnknownPath):
		return http.StatusNotFound
	}
	return http.StatusBadRequest
}

// startPool starts an instance of a pool of c, which replaces old unless that is nil. The caller holds configMu.
func (g *Gateway) startPool(c Config, cfg Pool, old *poolInstance) (*poolInstance, error) {
	g.lastPoolID++
	p := &poolInstance{id: g.lastPoolID, policy: cfg.Settings.Config, cfg: cfg}
	conns := upstream.New(cfg.Settings.Config, g.descriptors.Pool(p.id))
	// It may run health checks as soon as it starts, and so needs its quotas before; until assignQuotas shrinks those of
	// others little may be left of them.
	g.registerQuotas(c, p, conns.EvictIdle)
	var err error
	if p.pool, err = pool.New(g.poolConfig(c, p, old), conns, g.poolLogger(c, cfg.Name)); err != nil {
		g.dropQuotas(p)
		return nil, err
	}
	if x := g.exclusions[cfg.Name]; len(x.excluded) > 0 {
		p.pool.SetExcluded(x.excluded, x.returning, x.untilRestart)
	}
	return p, nil
}

// poolConfig is what instance p is started with. It sets p.static and p.spillover.
func (g *Gateway) poolConfig(c Config, p, old *poolInstance) pool.Config {
	name := p.cfg.Name // p.cfg changes with a reload
	cfg := pool.Config{
		Name:            name,
		Settings:        p.cfg.Settings,
		Protocol:        p.cfg.Dialect,
		CachedList:      p.cfg.CachedList,
		Seed:            p.cfg.Seed,
		OnReadyCount:    func(n int) { g.quotas.setReady(p.id, n) },
		AcceptsRequests: func() bool { return g.quotas.mayTakeRequests(p.id) },
		OnUnreachable:   func(endpoint string, unreachable bool) { g.notifyReachability(name, endpoint, unreachable) },
		StatsInterval:   c.StatsInterval,
		Metrics:         &g.counters,
	}
	if old != nil {
		cfg.CachedList = old.pool.EndpointList()
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	if g.extension != nil {
		p.spillover = g.extension.Spillover(name)
	}
	if p.spillover != nil {
		cfg.ForwardRejected = p.spillover.Forward
	}
	if p.cfg.Discovery != "" {
		cfg.Source = p.cfg.discoverySource()
	} else {
		p.static = discovery.NewStatic(p.cfg.StaticEndpoints)
		cfg.Source, cfg.CachedList = p.static, p.static.List()
	}
	return cfg
}

// poolLogger is the logger of a pool: it names the pool where there are several.
func (g *Gateway) poolLogger(c Config, name string) *slog.Logger {
	if len(c.Pools) > 1 {
		return g.log.With("pool", name)
	}
	return g.log
}

// discoverySource is the source of the endpoint list of p, which has a discovery service.
func (p *Pool) discoverySource() discovery.Source {
	return discovery.Client{Address: p.Discovery, Staleness: p.Settings.ListStaleness()}
}

// setSource makes p, which stays in force, take its endpoint list from where cfg says. The caller holds
// Gateway.configMu.
func (p *poolInstance) setSource(cfg Pool) {
	switch {
	case cfg.Discovery != "":
		if cfg.Discovery != p.cfg.Discovery {
			p.static = nil
			p.pool.SetSource(cfg.discoverySource())
		}
	case p.static == nil:
		p.static = discovery.NewStatic(cfg.StaticEndpoints)
		p.pool.SetSource(p.static)
	case !reflect.DeepEqual(cfg.StaticEndpoints, p.cfg.StaticEndpoints):
		p.static.Set(cfg.StaticEndpoints)
	}
}

// retirePool closes an instance once its open requests are answered. Until then they are served from what other pools do
// not claim.
func (g *Gateway) retirePool(p *poolInstance) {
	g.quotas.retire(p)
	g.descriptors.SetClaim(p.id, quota.Claim{Limit: quota.Unlimited})
	name := p.cfg.Name
	g.log.Info("pool draining", "pool", name, "load", p.pool.String())
	g.drainTasks.Go(func() {
		ctx, cancel := context.WithTimeout(g.ctx, p.pool.MaxDeadline()+lastResponsesTimeout)
		defer cancel()
		err := g.awaitDrained(ctx, p)
		p.pool.Close()
		g.descriptors.Unregister(p.id)
		g.log.Info("pool removed", "pool", name, "err", err)
		g.quotas.forgetRetired(p)
	})
}

// awaitDrained returns once p, which gets no new requests, has neither an open request nor one whose body is still to
// come, or with the error of ctx.
func (g *Gateway) awaitDrained(ctx context.Context, p *poolInstance) error {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for {
		requests, _, _ := p.pool.Counts()
		if requests == 0 && g.quotas.openRequests(p.id) == 0 {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
