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
	// lastResponsesTimeout is the time, after the longest deadline, in which the last responses may be written.
	lastResponsesTimeout = 150 * time.Millisecond
	// drainPollInterval is how often a draining pool is checked for open requests.
	drainPollInterval = 5 * time.Millisecond
)

// errNotDrained reports that a removed pool still had open requests after the longest deadline.
var errNotDrained = errors.New("requests were still open after the longest deadline")

// routingTable maps requests to pools. It is immutable; a reload replaces the whole table.
type routingTable struct {
	routes *route.Table // nil: all requests go to only
	only   *poolInstance
	pools  map[string]*poolInstance
}

// poolInstance is a running pool: one of the configuration in force, or one that is draining after a reload.
type poolInstance struct {
	id        quota.PoolID
	policy    policy.Config // decides whether rejections carry Retry-After
	cfg       Pool          // guarded by Gateway.configMu
	pool      *pool.Pool
	static    *discovery.Static // guarded by Gateway.configMu; nil if the endpoint list comes from a discovery service
	spillover Spillover         // nil: rejected requests are not forwarded
}

// find returns the pool of a request, and the request's path below the route's prefix. It rewrites the request's URI as the route demands.
// The error is an httpmsg.RejectionError.
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

// routeErrorStatus returns the HTTP status for an error of route.Table.Find.
func routeErrorStatus(err error) int {
	switch {
	case errors.Is(err, route.ErrUnknownHost):
		return http.StatusMisdirectedRequest
	case errors.Is(err, route.ErrUnknownPath):
		return http.StatusNotFound
	}
	return http.StatusBadRequest
}

// startPool starts an instance of a pool of configuration c. The new instance replaces old unless old is nil. The caller holds configMu.
func (g *Gateway) startPool(c Config, cfg Pool, old *poolInstance) (*poolInstance, error) {
	g.lastPoolID++
	p := &poolInstance{id: g.lastPoolID, policy: cfg.Settings.Config, cfg: cfg}
	conns := upstream.New(cfg.Settings.Config, g.descriptors.Pool(p.id))
	// The instance may run health checks as soon as it starts, so its quotas must be registered before. They may be small until
	// assignQuotas has reduced those of the other pools.
	g.registerQuotas(c, p, conns.EvictIdle)
	var err error
	if p.pool, err = pool.New(g.poolConfig(c, p, old), conns, g.poolLogger(c, cfg.Name)); err != nil {
		g.removeQuotas(p)
		return nil, err
	}
	if x := g.exclusions[cfg.Name]; len(x.excluded) > 0 {
		p.pool.SetExcluded(x.excluded, x.recovering, x.untilRestart)
	}
	return p, nil
}

// poolConfig returns the configuration with which the pool of instance p is started. It sets p.static and p.spillover.
func (g *Gateway) poolConfig(c Config, p, old *poolInstance) pool.Config {
	name := p.cfg.Name // copied for the callbacks, as a reload changes p.cfg
	cfg := pool.Config{
		Name:            name,
		Settings:        p.cfg.Settings,
		Protocol:        p.cfg.Dialect,
		CachedList:      p.cfg.CachedList,
		Seed:            p.cfg.Seed,
		OnReadyCount:    func(n int) { g.quotas.setReady(p.id, n) },
		AcceptsRequests: func() bool { return g.quotas.acceptsRequests(p.id) },
		OnUnreachable:   func(endpoint string, unreachable bool) { g.notifyReachability(name, endpoint, unreachable) },
		StatsInterval:   c.StatsInterval,
		Metrics:         &g.counters,
		BufferMemory:    g.bufferMemory,
	}
	if old != nil {
		cfg.CachedList = old.pool.EndpointList()
		cfg.RequestIDs = old.pool.RequestIDs()
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

// poolLogger returns the logger of a pool. If the configuration has several pools, log lines carry the pool's name.
func (g *Gateway) poolLogger(c Config, name string) *slog.Logger {
	if len(c.Pools) > 1 {
		return g.log.With("pool", name)
	}
	return g.log
}

// discoverySource returns the source of the endpoint list of p. Pool p must have a discovery service.
func (p *Pool) discoverySource() discovery.Source {
	return discovery.Client{Address: p.Discovery, Staleness: p.Settings.ListStaleness()}
}

// setSource changes the endpoint list source of p, which stays in force, to that of cfg. The caller holds Gateway.configMu.
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

// retirePool drains an instance and closes it once its open requests are answered, at the latest lastResponsesTimeout after the longest
// deadline, or once the long bodies that are in transfer then have ended. Until then the instance has no reserved quota and uses only resources
// that are not reserved for other pools.
func (g *Gateway) retirePool(p *poolInstance) {
	g.quotas.retire(p)
	g.descriptors.SetClaim(p.id, quota.Claim{Limit: quota.Unlimited})
	name := p.cfg.Name
	g.log.Info("pool draining", "pool", name, "load", p.pool.String())
	g.drainTasks.Go(func() {
		err := g.awaitDrained(g.ctx, p, time.Now().Add(p.pool.MaxDeadline()+lastResponsesTimeout))
		p.pool.Close()
		g.descriptors.Unregister(p.id)
		g.log.Info("pool removed", "pool", name, "err", err)
		g.quotas.forgetRetired(p)
	})
}

// awaitDrained waits until instance p, which receives no new requests, has no open requests and no requests whose body is still being read.
// After the deadline it waits for long bodies in transfer only, which have no deadline, and returns errNotDrained if there is anything else. It
// returns the error of ctx if ctx ends before.
func (g *Gateway) awaitDrained(ctx context.Context, p *poolInstance, deadline time.Time) error {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for {
		requests, _, _ := p.pool.Counts()
		if requests == 0 && g.quotas.openRequests(p.id) == 0 {
			return nil
		}
		if time.Now().After(deadline) && p.pool.TransferCount() == 0 {
			return errNotDrained
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
