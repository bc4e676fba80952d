package sitelink

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/pool"
	"sorrelrudder/internal/spillover"
	"sorrelrudder/policy"
)

const (
	// peerConnIdle is the idle timeout of connections to peers. An inter-site listener closes idle connections after two seconds.
	peerConnIdle = 2 * time.Second
	// minPublishInterval is the minimum time from any publication of the peer's endpoint to the next one by republishIfUnused.
	minPublishInterval = time.Second
	// peerEndpointID is the ID of the peer's endpoint.
	peerEndpointID = "far"
	// remoteMaxAttempts is so high that only the request's own limit applies, which covers the attempts at both sites.
	remoteMaxAttempts = 16
	// remoteHealthCheckCost is so high that the decision module rarely sends health checks. runHealthChecks sends them instead.
	remoteHealthCheckCost = 1000
)

// Health states of an endpoint as encoded in endpoint lists.
const (
	healthActive   = "active"
	healthDraining = "leaving"
)

// poolLink exchanges the requests of one pool with other sites. It consists of the link over which rejected requests are forwarded, if the
// pool has a peer, and the credits that the pool grants to other sites.
type poolLink struct {
	extension   *Extension
	name        string // name of the pool
	cfg         Pool
	classes     map[string]policy.Class
	maxAttempts int // of a request at both sites together
	log         *slog.Logger

	// Set by start; nil without a peer.
	peer       *Peer
	remotePool *pool.Pool // its only endpoint is the peer
	endpoints  *discovery.Static
	client     *http.Client // for health checks

	forwarded chan struct{} // signals runHealthChecks that a request is being forwarded

	// mu guards the fields below. No method of a pool, a gateway or the source of the endpoint list is called while mu is held.
	mu              sync.Mutex
	spillover       *spillover.Link
	grant           *spillover.Grant
	roundTrip       time.Duration // smoothed; 0: not measured yet
	peerClock       time.Duration // last reading of the peer's clock
	peerClockReadAt time.Duration // when it arrived, by this site's clock
	endpointStartMs int64         // start time of the peer's endpoint, Unix milliseconds
	publishedAt     time.Duration // when the peer's endpoint was last published
	peerDraining    bool
}

func newPoolLink(e *Extension, name string, cfg Pool) *poolLink {
	l := &poolLink{
		extension:   e,
		name:        name,
		cfg:         cfg,
		classes:     map[string]policy.Class{},
		maxAttempts: cfg.Settings.Config.MaxAttempts,
		log:         e.log.With("pool", name, "peer", cfg.Peer),
		forwarded:   make(chan struct{}, 1),
		grant:       spillover.NewGrant(cfg.Grant),
	}
	var classes []spillover.Class
	for _, c := range cfg.Settings.Config.Classes {
		classes = append(classes, spillover.Class{Name: c.Name, PriorityWeight: c.PriorityWeight, ServiceTime: c.LatencyObjective})
		l.classes[c.Name] = c
	}
	l.spillover = spillover.New(cfg.Spillover, classes)
	return l
}

// start opens the link to a peer.
func (l *poolLink) start(g *gateway.Gateway, peer *Peer) error {
	l.peer = peer
	dial := l.extension.dialer(peer)
	l.endpoints = discovery.NewStatic(nil)
	cfg := pool.Config{
		Name:       l.name + "@" + peer.Name,
		Source:     l.endpoints,
		CachedList: l.endpoints.List(),
		Protocol:   l,
		Seed:       uint64(time.Now().UnixNano()),
		Settings:   l.cfg.Settings,
	}
	cfg.Settings.Config = l.remotePolicy()
	var err error
	if l.remotePool, err = g.NewAuxiliaryPool(cfg, dial, l.log); err != nil {
		return err
	}
	l.client = &http.Client{Transport: &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     peerConnIdle / 2,
		DisableCompression:  true,
	}}
	l.extension.goroutines.Go(l.runHealthChecks)
	return nil
}

// remotePolicy returns the pool's configuration of the decision module, adapted to a pool whose only endpoint is the peer.
func (l *poolLink) remotePolicy() policy.Config {
	cfg := l.cfg.Settings.Config
	cfg.Classes = slices.Clone(cfg.Classes)
	for i := range cfg.Classes {
		if c := &cfg.Classes[i]; c.Idempotency == policy.IdempotentByKey && !l.sharesDedup(c.Name) {
			c.DedupScope = policy.DedupZone // covers only this site; the peer deduplicates separately
		}
	}
	cfg.MaxAttempts = remoteMaxAttempts
	cfg.HedgingAllowed = false
	cfg.HealthChecksAllowed = true
	cfg.CancellationAllowed = true
	cfg.InstanceCount = 1
	cfg.InstanceIndex = 0
	cfg.Zone = l.peer.zone()
	cfg.ConnIdle = peerConnIdle
	cfg.SlowStartMinCapacity = 1
	cfg.SlowStartDuration = 0
	cfg.InlineLoadReports = true
	cfg.HealthCheckCost = remoteHealthCheckCost
	cfg.ConnectionCost = 0
	cfg.HandshakeCost = 0
	cfg.CrossZoneCost = 0
	return cfg
}

// sharesDedup reports whether the servers of both sites deduplicate requests of a class together.
func (l *poolLink) sharesDedup(class string) bool {
	return slices.Contains(l.cfg.SharedDedupClasses, class)
}

func (l *poolLink) close() {
	if l.remotePool != nil {
		l.client.CloseIdleConnections()
		l.remotePool.Close()
	}
}

func (l *poolLink) drain() {
	if l.remotePool == nil {
		return
	}
	l.mu.Lock()
	transition := l.spillover.Drain(l.extension.now(), true)
	l.mu.Unlock()
	l.applyTransition(transition, nil)
}

// applyTransition carries out a state change of the link; a nil transition is no change. It publishes or withdraws the peer's endpoint,
// and aborts the attempts in flight if the link has closed. err is the error of the health check that caused the change, if any.
func (l *poolLink) applyTransition(transition *spillover.Transition, err error) {
	if transition == nil {
		return
	}
	from, to := transition.From, transition.To
	l.log.Info("site link changed state", "from", from.String(), "to", to.String(), "cause", string(transition.Cause), "err", err)
	switch to {
	case spillover.Open:
		l.publishEndpoint(healthActive)
	case spillover.Draining:
		l.publishEndpoint(healthDraining)
	default:
		if from == spillover.Open || from == spillover.Draining {
			l.endpoints.Set(nil)
			l.remotePool.AbortAttempts(peerEndpointID)
		}
	}
}

// publishEndpoint makes the peer the only endpoint of the list. An active endpoint is published with a new start time, so that the decision
// module discards its record of earlier failures.
func (l *poolLink) publishEndpoint(health string) {
	l.mu.Lock()
	if health == healthActive {
		l.endpointStartMs = max(l.endpointStartMs+1, time.Now().UnixMilli())
	}
	startedMs := l.endpointStartMs
	l.publishedAt = l.extension.now()
	l.mu.Unlock()
	l.endpoints.Set([]discovery.Endpoint{{
		ID:        peerEndpointID,
		Address:   l.peer.Address,
		Zone:      l.peer.zone(),
		Health:    health,
		Weight:    1,
		StartedMs: startedMs,
	}})
}
