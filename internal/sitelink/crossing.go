package sitelink

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/pool"
	"sorrelrudder/internal/siteheader"
	"sorrelrudder/internal/spillover"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

const (
	// healthCheckTarget is what probes ask for.
	healthCheckTarget = "/hop"
	// healthCheckPoolField names, on a probe, the pool that is asked about.
	healthCheckPoolField = "Sorrel-Hop-Pool"
	// peerConnIdle is the idle time of connections to peers. A listener for other sites keeps them for two seconds.
	peerConnIdle = 2 * time.Second
	// returnMargin is what is kept of a request's time; what the ways take is reckoned with at the far site.
	returnMargin = 3 * time.Millisecond
	// minPublishInterval is how often the far site is announced anew at the most, see Cross.
	minPublishInterval = time.Second
)

// poolLink is what one pool has to do with other sites: the link by which its requests leave, if any, and the room that it
// grants to those of others.
type poolLink struct {
	extension   *Extension
	name        string
	cfg         Pool
	classes     map[string]policy.Class
	maxAttempts int // attempts of a request, over both sites
	log         *slog.Logger
	peer        *Peer
	remotePool  *pool.Pool // nil: no link
	endpoints   *discovery.Static
	client      *http.Client
	forwarded   chan struct{} // tells watch that something crosses

	mu              sync.Mutex
	spillover       *spillover.Link
	grant           *spillover.Grant
	roundTrip       time.Duration // smoothed
	peerClock       time.Duration // the last of the far site's
	peerClockReadAt time.Duration // when it came
	endpointStartMs int64         // of the far member
	publishedAt     time.Duration
	peerDraining    bool
}

func newPoolLink(b *Extension, name string, p Pool) *poolLink {
	c := &poolLink{
		extension: b, name: name, cfg: p, classes: map[string]policy.Class{}, maxAttempts: p.Settings.Config.MaxAttempts,
		log: b.log.With("pool", name, "peer", p.Peer), forwarded: make(chan struct{}, 1), grant: spillover.NewGrant(p.Grant),
	}
	var classes []spillover.Class
	for _, k := range p.Settings.Config.Classes {
		classes = append(classes, spillover.Class{Name: k.Name, PriorityWeight: k.PriorityWeight, ServiceTime: k.LatencyObjective})
		c.classes[k.Name] = k
	}
	c.spillover = spillover.New(p.Spillover, classes)
	return c
}

// peerEndpointID is the far site as a member of the list.
const peerEndpointID = "far"

// start opens the link to a peer.
func (c *poolLink) start(g *gateway.Gateway, peer *Peer) error {
	c.peer = peer
	cfg := c.cfg.Settings.Config
	cfg.Classes = slices.Clone(cfg.Classes)
	for i := range cfg.Classes {
		if k := &cfg.Classes[i]; k.Idempotency == policy.IdempotentByKey && !slices.Contains(c.cfg.SharedDedupClasses, k.Name) {
			k.DedupScope = policy.DedupZone // of this site, which the far one is not of
		}
	}
	cfg.MaxAttempts, cfg.HedgingAllowed, cfg.HealthChecksAllowed, cfg.CancellationAllowed = 16, false, true, true
	cfg.InstanceCount, cfg.InstanceIndex, cfg.Zone, cfg.ConnIdle = 1, 0, peer.zone(), peerConnIdle
	cfg.SlowStartMinCapacity, cfg.SlowStartDuration, cfg.InlineLoadReports, cfg.HealthCheckCost = 1, 0, true, 1000
	cfg.ConnectionCost, cfg.HandshakeCost, cfg.CrossZoneCost = 0, 0, 0
	dial := c.extension.dial(peer)
	c.endpoints = discovery.NewStatic(nil)
	pc := pool.Config{Name: c.name + "@" + peer.Name, Source: c.endpoints, CachedList: c.endpoints.List(), Protocol: c, Seed: uint64(time.Now().UnixNano())}
	pc.Settings = c.cfg.Settings
	pc.Settings.Config = cfg
	var err error
	if c.remotePool, err = g.NewAuxiliaryPool(pc, dial, c.log); err != nil {
		return err
	}
	c.client = &http.Client{Transport: &http.Transport{
		DialContext:         func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) },
		MaxIdleConnsPerHost: 1, IdleConnTimeout: peerConnIdle / 2, DisableCompression: true,
	}}
	c.extension.goroutines.Go(c.runHealthChecks)
	return nil
}

func (c *poolLink) close() {
	if c.remotePool != nil {
		c.client.CloseIdleConnections()
		c.remotePool.Close()
	}
}

// runHealthChecks looks after the link until the bridge ends.
func (c *poolLink) runHealthChecks() {
	type result struct {
		ok, drains bool
		room       int
		stamp      time.Duration
		took       time.Duration
		err        error
	}
	results := make(chan result, 1)
	probing := false
	last := time.Duration(0)
	// A link that carries nothing is looked at rarely: each look costs a turn of the scheduler.
	busy, rare := busyCheckInterval/5, idleCheckInterval/5
	every := busy
	tick := time.NewTicker(every)
	defer tick.Stop()
	pace := func(d time.Duration) {
		if d != every {
			every = d
			tick.Reset(d)
		}
	}
	for {
		select {
		case <-c.extension.ctx.Done():
			if probing {
				<-results
			}
			return
		case <-c.forwarded:
			pace(busy)
		case r := <-results:
			probing = false
			c.mu.Lock()
			now := c.extension.now()
			var changes []*spillover.Transition
			if r.ok {
				if c.roundTrip == 0 {
					c.roundTrip = r.took
				}
				c.roundTrip += (r.took - c.roundTrip) / 8
				c.peerClock, c.peerClockReadAt = r.stamp, now
				c.spillover.SetStallTimeout(baseStallTimeout + 2*c.roundTrip)
			}
			if !c.extension.draining.Load() && r.drains != c.peerDraining {
				c.peerDraining = r.drains
				changes = append(changes, c.spillover.Drain(now, r.drains))
			}
			if !r.drains {
				changes = append(changes, c.spillover.RecordHealthCheck(now, r.ok, r.room))
			}
			c.mu.Unlock()
			for _, ch := range changes {
				c.applyTransition(ch, r.err)
			}
		case <-tick.C:
			c.mu.Lock()
			now := c.extension.now()
			probe, ch := c.spillover.Tick(now)
			often, look := idleCheckInterval, rare
			if c.spillover.InFlight() > 0 || c.spillover.Spilling() {
				often, look = busyCheckInterval, busy
			}
			if s := c.spillover.State(); s == spillover.Open || s == spillover.Draining {
				probe = now-last >= often
			} else {
				look = busy
			}
			wait := min(maxCheckTimeout, baseStallTimeout+4*c.roundTrip)
			if c.roundTrip == 0 {
				wait = maxCheckTimeout
			}
			c.mu.Unlock()
			pace(look)
			c.applyTransition(ch, nil)
			if !probe || probing || c.extension.draining.Load() {
				continue
			}
			probing, last = true, now
			c.extension.goroutines.Go(func() {
				from := time.Now()
				a, status, err := c.checkPeer(wait)
				results <- result{
					ok: err == nil && a.Outcome == siteheader.Served, drains: err == nil && a.Outcome == siteheader.Rejected && status == http.StatusServiceUnavailable,
					room: a.Credits, stamp: a.Stamp, took: time.Since(from), err: err,
				}
			})
		}
	}
}

// checkPeer asks the far site for its room.
func (c *poolLink) checkPeer(wait time.Duration) (siteheader.Response, int, error) {
	ctx, cancel := context.WithTimeout(c.extension.ctx, wait)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.peer.Address+healthCheckTarget, nil)
	if err != nil {
		return siteheader.Response{}, 0, err
	}
	q.Header.Set(healthCheckPoolField, c.name)
	resp, err := c.client.Do(q)
	if err != nil {
		return siteheader.Response{}, 0, err
	}
	defer resp.Body.Close()
	if _, err := io.CopyN(io.Discard, resp.Body, httpmsg.MaxBufferedBodyBytes); !errors.Is(err, io.EOF) {
		return siteheader.Response{}, 0, fmt.Errorf("a probe's answer: %w", err)
	}
	a, err := siteheader.ParseResponse(resp.Header.Values(siteheader.ResponseField), 0)
	if err == nil && a.Outcome == siteheader.Rejected && resp.StatusCode != http.StatusServiceUnavailable {
		err = fmt.Errorf("the peer refuses probes with %s", resp.Status)
	}
	return a, resp.StatusCode, err
}

// applyTransition carries out a change of the link's state: the far member comes and goes in the list, and what is out on a link that
// is no more has broken off.
func (c *poolLink) applyTransition(ch *spillover.Transition, err error) {
	if ch == nil {
		return
	}
	c.log.Info("link", "from", ch.From.String(), "to", ch.To.String(), "cause", string(ch.Cause), "err", err)
	switch ch.To {
	case spillover.Open:
		c.publishEndpoint("active")
	case spillover.Draining:
		c.publishEndpoint("leaving")
	default:
		if ch.From == spillover.Open || ch.From == spillover.Draining {
			c.endpoints.Set(nil)
			c.remotePool.AbortAttempts(peerEndpointID)
		}
	}
}

// publishEndpoint makes the far site the only member of the list, as one that has just started: it owes nothing to its past.
func (c *poolLink) publishEndpoint(health string) {
	c.mu.Lock()
	if health == "active" {
		c.endpointStartMs = max(c.endpointStartMs+1, time.Now().UnixMilli())
	}
	born := c.endpointStartMs
	c.publishedAt = c.extension.now()
	c.mu.Unlock()
	c.endpoints.Set([]discovery.Endpoint{{ID: peerEndpointID, Address: c.peer.Address, Zone: c.peer.zone(), Cell: 0, Health: health, Weight: 1, StartedMs: born}})
}

func (c *poolLink) drain() {
	if c.remotePool == nil {
		return
	}
	c.mu.Lock()
	ch := c.spillover.Drain(c.extension.now(), true)
	c.mu.Unlock()
	c.applyTransition(ch, nil)
}

// RecordRequest is the method of gateway.Spillover.
func (c *poolLink) RecordRequest(class string) {
	now := c.extension.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grant.RecordLocal(now)
	if c.remotePool != nil {
		c.spillover.RecordLocal(now, class, false)
	}
}

// Forward is the method of gateway.Spillover.
func (c *poolLink) Forward(ctx context.Context, h *pool.RejectedRequest) {
	now := c.extension.now()
	c.mu.Lock()
	c.grant.RecordLocalRejected(now)
	rtt, crosses := c.roundTrip, false
	if c.remotePool != nil {
		c.spillover.RecordRejected(now, h.PolicyRequest.Class)
		crosses = time.Until(h.Deadline) > rtt+returnMargin && spillover.MayForward(c.forwardRules(h.PolicyRequest.Class), h.PriorAttempts, c.maxAttempts, rtt) && c.spillover.TryForward(now, h.PolicyRequest.Class)
	}
	c.mu.Unlock()
	if !crosses {
		h.Respond(h.Rejection)
		return
	}
	select {
	case c.forwarded <- struct{}{}:
	default:
	}
	ans := h.Rejection
	x, err := c.remotePool.SubmitRejected(h, time.Until(h.Deadline), len(h.PriorAttempts)+1)
	if err == nil {
		select {
		case ans = <-x.Response():
		case <-h.ClientGone():
			x.Cancel()
		case <-ctx.Done():
			x.Cancel()
		}
		if spent, _ := x.AttemptSummary(); spent == 0 && ans.Status == http.StatusServiceUnavailable {
			c.republishIfUnused()
		}
	}
	c.mu.Lock()
	c.spillover.RecordReturn(c.extension.now(), false, 0)
	c.mu.Unlock()
	if ans.Status == http.StatusServiceUnavailable {
		ans = h.Rejection // as true as before, and when to come back is better known here
	}
	h.Respond(ans)
}

// republishIfUnused announces the far site anew where the module has sent it nothing although it grants room: what it thinks of the only
// member that there is could not get better by itself.
func (c *poolLink) republishIfUnused() {
	c.mu.Lock()
	stuck := c.spillover.State() == spillover.Open && c.extension.now()-c.publishedAt >= minPublishInterval
	c.mu.Unlock()
	if stuck {
		c.publishEndpoint("active")
	}
}

// forwardRules are what may be done with a request of a class that may have run here.
func (c *poolLink) forwardRules(class string) spillover.Rules {
	k, known := c.classes[class]
	return spillover.Rules{
		Idempotent: known && k.Idempotency == policy.Idempotent, HasIdempotencyKey: known && k.Idempotency == policy.IdempotentByKey, SharedDedup: slices.Contains(c.cfg.SharedDedupClasses, class),
	}
}

// HealthCheckTarget is the method of pool.BackendProtocol.
func (c *poolLink) HealthCheckTarget() string { return healthCheckTarget }

// ExtraFields is the method of pool.BackendProtocol.
func (c *poolLink) ExtraFields(q *policy.Request, _ http.Header, left time.Duration) []upstream.Field {
	now := c.extension.now()
	c.mu.Lock()
	stamp, ago, within := c.peerClock, now-c.peerClockReadAt, c.spillover.TimeToStall(now)
	c.mu.Unlock()
	r := siteheader.Request{
		Stamp: stamp, StampAge: ago, StallTimeout: min(within, left), TimeLeft: max(time.Millisecond, left-returnMargin), Pool: c.name, Class: q.Class, Tenant: q.Tenant, Key: q.Key, ExpectedWork: q.ExpectedWork, IsRetry: q.IsRetry,
		AttemptsMade: len(q.PriorAttempts), AttemptsAllowed: max(1, c.maxAttempts-len(q.PriorAttempts)), Origin: c.extension.cfg.Site, Path: []string{c.extension.cfg.Site},
	}
	for _, p := range q.PriorAttempts {
		if !p.NotExecuted { // only of classes whose repeats are dropped at both sites alike, see spillover.MayForward
			r.Executions = append(r.Executions, siteheader.Execution{DedupRemaining: p.DedupRemaining})
		}
	}
	text, err := r.String()
	if err != nil { // a name that no field can hold; the far site refuses what has none
		c.log.Warn("a request that cannot cross", "err", err)
		return nil
	}
	return []upstream.Field{{Name: siteheader.RequestField, Value: text}}
}

// ClassifyResponse is the method of pool.BackendProtocol.
func (c *poolLink) ClassifyResponse(status int, h http.Header) (policy.Status, *policy.LoadReport) {
	a, err := siteheader.ParseResponse(h.Values(siteheader.ResponseField), c.maxAttempts)
	now := c.extension.now()
	c.mu.Lock()
	if err == nil {
		c.spillover.RecordGrant(now, a.Credits)
		c.peerClock, c.peerClockReadAt = a.Stamp, now
	}
	c.mu.Unlock()
	load := &policy.LoadReport{Queue: 0, InFlight: -1, Latency: -1, ErrorRate: -1}
	switch {
	case err == nil && a.Outcome == siteheader.Served && status == http.StatusOK:
		return policy.StatusOK, load
	case err == nil && a.Outcome == siteheader.Rejected:
		return policy.StatusOverloaded, load
	}
	return policy.StatusApplicationError, load
}
