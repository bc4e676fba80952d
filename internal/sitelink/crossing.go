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
	// hopTarget is what probes ask for.
	hopTarget = "/hop"
	// poolField names, on a probe, the pool that is asked about.
	poolField = "Sorrel-Hop-Pool"
	// hopIdle is the idle time of connections to peers. A listener for other sites keeps them for two seconds.
	hopIdle = 2 * time.Second
	// backSlack is what is kept of a request's time; what the ways take is reckoned with at the far site.
	backSlack = 3 * time.Millisecond
	// announceEvery is how often the far site is announced anew at the most, see Cross.
	announceEvery = time.Second
)

// crossing is what one pool has to do with other sites: the link by which its requests leave, if any, and the room that it
// grants to those of others.
type crossing struct {
	bridge  *Extension
	name    string
	cfg     Pool
	classes map[string]policy.Class
	most    int // attempts of a request, over both sites
	log     *slog.Logger
	peer    *Peer
	far     *pool.Pool // nil: no link
	list    *discovery.Static
	client  *http.Client
	kick    chan struct{} // tells watch that something crosses

	mu        sync.Mutex
	spill     *spillover.Link
	grant     *spillover.Grant
	rtt       time.Duration // smoothed
	stamp     time.Duration // the last of the far site's
	stampAt   time.Duration // when it came
	born      int64         // of the far member
	announced time.Duration
	farDrains bool
}

func newCrossing(b *Extension, name string, p Pool) *crossing {
	c := &crossing{
		bridge: b, name: name, cfg: p, classes: map[string]policy.Class{}, most: p.Settings.Config.MaxAttempts,
		log: b.log.With("pool", name, "peer", p.Peer), kick: make(chan struct{}, 1), grant: spillover.NewGrant(p.Grant),
	}
	var classes []spillover.Class
	for _, k := range p.Settings.Config.Classes {
		classes = append(classes, spillover.Class{Name: k.Name, PriorityWeight: k.PriorityWeight, ServiceTime: k.LatencyObjective})
		c.classes[k.Name] = k
	}
	c.spill = spillover.New(p.Spillover, classes)
	return c
}

// farMember is the far site as a member of the list.
const farMember = "far"

// start opens the link to a peer.
func (c *crossing) start(g *gateway.Gateway, peer *Peer) error {
	c.peer = peer
	cfg := c.cfg.Settings.Config
	cfg.Classes = slices.Clone(cfg.Classes)
	for i := range cfg.Classes {
		if k := &cfg.Classes[i]; k.Idempotency == policy.IdempotentByKey && !slices.Contains(c.cfg.SharedDedupClasses, k.Name) {
			k.DedupScope = policy.DedupZone // of this site, which the far one is not of
		}
	}
	cfg.MaxAttempts, cfg.HedgingAllowed, cfg.HealthChecksAllowed, cfg.CancellationAllowed = 16, false, true, true
	cfg.InstanceCount, cfg.InstanceIndex, cfg.Zone, cfg.ConnIdle = 1, 0, peer.zone(), hopIdle
	cfg.SlowStartMinCapacity, cfg.SlowStartDuration, cfg.InlineLoadReports, cfg.HealthCheckCost = 1, 0, true, 1000
	cfg.ConnectionCost, cfg.HandshakeCost, cfg.CrossZoneCost = 0, 0, 0
	dial := c.bridge.dial(peer)
	c.list = discovery.NewStatic(nil)
	pc := pool.Config{Name: c.name + "@" + peer.Name, Source: c.list, CachedList: c.list.List(), Protocol: c, Seed: uint64(time.Now().UnixNano())}
	pc.Settings = c.cfg.Settings
	pc.Settings.Config = cfg
	var err error
	if c.far, err = g.NewAuxiliaryPool(pc, dial, c.log); err != nil {
		return err
	}
	c.client = &http.Client{Transport: &http.Transport{
		DialContext:         func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) },
		MaxIdleConnsPerHost: 1, IdleConnTimeout: hopIdle / 2, DisableCompression: true,
	}}
	c.bridge.work.Go(c.watch)
	return nil
}

func (c *crossing) close() {
	if c.far != nil {
		c.client.CloseIdleConnections()
		c.far.Close()
	}
}

// watch looks after the link until the bridge ends.
func (c *crossing) watch() {
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
	busy, rare := probeBusy/5, probeEvery/5
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
		case <-c.bridge.ctx.Done():
			if probing {
				<-results
			}
			return
		case <-c.kick:
			pace(busy)
		case r := <-results:
			probing = false
			c.mu.Lock()
			now := c.bridge.now()
			var changes []*spillover.Transition
			if r.ok {
				if c.rtt == 0 {
					c.rtt = r.took
				}
				c.rtt += (r.took - c.rtt) / 8
				c.stamp, c.stampAt = r.stamp, now
				c.spill.SetStallTimeout(stallBase + 2*c.rtt)
			}
			if !c.bridge.draining.Load() && r.drains != c.farDrains {
				c.farDrains = r.drains
				changes = append(changes, c.spill.Drain(now, r.drains))
			}
			if !r.drains {
				changes = append(changes, c.spill.RecordHealthCheck(now, r.ok, r.room))
			}
			c.mu.Unlock()
			for _, ch := range changes {
				c.changed(ch, r.err)
			}
		case <-tick.C:
			c.mu.Lock()
			now := c.bridge.now()
			probe, ch := c.spill.Tick(now)
			often, look := probeEvery, rare
			if c.spill.InFlight() > 0 || c.spill.Spilling() {
				often, look = probeBusy, busy
			}
			if s := c.spill.State(); s == spillover.Open || s == spillover.Draining {
				probe = now-last >= often
			} else {
				look = busy
			}
			wait := min(mostProbe, stallBase+4*c.rtt)
			if c.rtt == 0 {
				wait = mostProbe
			}
			c.mu.Unlock()
			pace(look)
			c.changed(ch, nil)
			if !probe || probing || c.bridge.draining.Load() {
				continue
			}
			probing, last = true, now
			c.bridge.work.Go(func() {
				from := time.Now()
				a, status, err := c.probe(wait)
				results <- result{
					ok: err == nil && a.Outcome == siteheader.Served, drains: err == nil && a.Outcome == siteheader.Rejected && status == http.StatusServiceUnavailable,
					room: a.Credits, stamp: a.Stamp, took: time.Since(from), err: err,
				}
			})
		}
	}
}

// probe asks the far site for its room.
func (c *crossing) probe(wait time.Duration) (siteheader.Response, int, error) {
	ctx, cancel := context.WithTimeout(c.bridge.ctx, wait)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.peer.Address+hopTarget, nil)
	if err != nil {
		return siteheader.Response{}, 0, err
	}
	q.Header.Set(poolField, c.name)
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

// changed carries out a change of the link's state: the far member comes and goes in the list, and what is out on a link that
// is no more has broken off.
func (c *crossing) changed(ch *spillover.Transition, err error) {
	if ch == nil {
		return
	}
	c.log.Info("link", "from", ch.From.String(), "to", ch.To.String(), "cause", string(ch.Cause), "err", err)
	switch ch.To {
	case spillover.Open:
		c.announce("active")
	case spillover.Draining:
		c.announce("leaving")
	default:
		if ch.From == spillover.Open || ch.From == spillover.Draining {
			c.list.Set(nil)
			c.far.AbortAttempts(farMember)
		}
	}
}

// announce makes the far site the only member of the list, as one that has just started: it owes nothing to its past.
func (c *crossing) announce(health string) {
	c.mu.Lock()
	if health == "active" {
		c.born = max(c.born+1, time.Now().UnixMilli())
	}
	born := c.born
	c.announced = c.bridge.now()
	c.mu.Unlock()
	c.list.Set([]discovery.Endpoint{{ID: farMember, Address: c.peer.Address, Zone: c.peer.zone(), Cell: 0, Health: health, Weight: 1, StartedMs: born}})
}

func (c *crossing) drain() {
	if c.far == nil {
		return
	}
	c.mu.Lock()
	ch := c.spill.Drain(c.bridge.now(), true)
	c.mu.Unlock()
	c.changed(ch, nil)
}

// RecordRequest is the method of gateway.Spillover.
func (c *crossing) RecordRequest(class string) {
	now := c.bridge.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grant.RecordLocal(now)
	if c.far != nil {
		c.spill.RecordLocal(now, class, false)
	}
}

// Forward is the method of gateway.Spillover.
func (c *crossing) Forward(ctx context.Context, h *pool.RejectedRequest) {
	now := c.bridge.now()
	c.mu.Lock()
	c.grant.RecordLocalRejected(now)
	rtt, crosses := c.rtt, false
	if c.far != nil {
		c.spill.RecordRejected(now, h.PolicyRequest.Class)
		crosses = time.Until(h.Deadline) > rtt+backSlack && spillover.MayForward(c.rules(h.PolicyRequest.Class), h.PriorAttempts, c.most, rtt) && c.spill.TryForward(now, h.PolicyRequest.Class)
	}
	c.mu.Unlock()
	if !crosses {
		h.Respond(h.Rejection)
		return
	}
	select {
	case c.kick <- struct{}{}:
	default:
	}
	ans := h.Rejection
	x, err := c.far.SubmitRejected(h, time.Until(h.Deadline), len(h.PriorAttempts)+1)
	if err == nil {
		select {
		case ans = <-x.Response():
		case <-h.ClientGone():
			x.Cancel()
		case <-ctx.Done():
			x.Cancel()
		}
		if spent, _ := x.AttemptSummary(); spent == 0 && ans.Status == http.StatusServiceUnavailable {
			c.unstick()
		}
	}
	c.mu.Lock()
	c.spill.RecordReturn(c.bridge.now(), false, 0)
	c.mu.Unlock()
	if ans.Status == http.StatusServiceUnavailable {
		ans = h.Rejection // as true as before, and when to come back is better known here
	}
	h.Respond(ans)
}

// unstick announces the far site anew where the module has sent it nothing although it grants room: what it thinks of the only
// member that there is could not get better by itself.
func (c *crossing) unstick() {
	c.mu.Lock()
	stuck := c.spill.State() == spillover.Open && c.bridge.now()-c.announced >= announceEvery
	c.mu.Unlock()
	if stuck {
		c.announce("active")
	}
}

// rules are what may be done with a request of a class that may have run here.
func (c *crossing) rules(class string) spillover.Rules {
	k, known := c.classes[class]
	return spillover.Rules{
		Idempotent: known && k.Idempotency == policy.Idempotent, HasIdempotencyKey: known && k.Idempotency == policy.IdempotentByKey, SharedDedup: slices.Contains(c.cfg.SharedDedupClasses, class),
	}
}

// HealthCheckTarget is the method of pool.BackendProtocol.
func (c *crossing) HealthCheckTarget() string { return hopTarget }

// ExtraFields is the method of pool.BackendProtocol.
func (c *crossing) ExtraFields(q *policy.Request, _ http.Header, left time.Duration) []upstream.Field {
	now := c.bridge.now()
	c.mu.Lock()
	stamp, ago, within := c.stamp, now-c.stampAt, c.spill.TimeToStall(now)
	c.mu.Unlock()
	r := siteheader.Request{
		Stamp: stamp, StampAge: ago, StallTimeout: min(within, left), TimeLeft: max(time.Millisecond, left-backSlack), Pool: c.name, Class: q.Class, Tenant: q.Tenant, Key: q.Key, ExpectedWork: q.ExpectedWork, IsRetry: q.IsRetry,
		AttemptsMade: len(q.PriorAttempts), AttemptsAllowed: max(1, c.most-len(q.PriorAttempts)), Origin: c.bridge.cfg.Site, Path: []string{c.bridge.cfg.Site},
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
func (c *crossing) ClassifyResponse(status int, h http.Header) (policy.Status, *policy.LoadReport) {
	a, err := siteheader.ParseResponse(h.Values(siteheader.ResponseField), c.most)
	now := c.bridge.now()
	c.mu.Lock()
	if err == nil {
		c.spill.RecordGrant(now, a.Credits)
		c.stamp, c.stampAt = a.Stamp, now
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
