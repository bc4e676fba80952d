// Package pool hosts one instance of the decision module, package policy. It translates network activity into events of the module, and
// the module's actions into traffic to the pool's endpoints. Each pool has its own endpoint list, settings, requests and timers, and is
// independent of other pools and of its callers. The decision module, not the pool, chooses the endpoints, decides about retries, hedged
// requests and rejections, and ejects endpoints.
package pool

import (
	"cmp"
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/limitedlog"
	"sorrelrudder/internal/metrics"
	"sorrelrudder/internal/process"
	"sorrelrudder/internal/settings"
	"sorrelrudder/internal/statslog"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

// Config configures a pool.
type Config struct {
	Name       string
	Settings   settings.Settings
	Source     discovery.Source
	CachedList *discovery.EndpointList // the last known list, perhaps out of date; nil: none
	Seed       uint64                  // of the decision module's random choices
	// AcceptsRequests reports whether requests may be accepted: an endpoint is ready, or requests may wait for one. If nil, requests are
	// always accepted. It is called with the pool's lock held, and must not call the pool.
	AcceptsRequests func() bool
	// OnReadyCount is called with the number of ready endpoints on the list, at the start and whenever it may have changed. It is
	// called with the pool's lock held, and must not call the pool. It may be nil.
	OnReadyCount func(ready int)
	// Protocol is the protocol of the endpoints. If nil, they speak the platform's protocol.
	Protocol BackendProtocol
	// ForwardRejected is called with each request that the pool rejects and that may be forwarded to another site. If nil,
	// the clients get the rejections. It is called in a goroutine of its own, and must return soon after the context is done.
	ForwardRejected func(context.Context, *RejectedRequest)
	// Metrics counts the outcomes of requests, and the attempts sent completely. If nil, they are not counted.
	Metrics *metrics.RequestCounters
	// OnUnreachable is called with true each time an endpoint fails to respond to an attempt or a health check, and with false once it
	// responds again, restarts, moves to another address or is removed. It is called with the pool's lock held, and must not call the pool.
	// It may be nil.
	OnUnreachable func(endpoint string, unreachable bool)
	// RequestIDs are those of the instance that this one replaces; nil: there is none.
	RequestIDs *RequestIDs
	// BufferMemory is the memory for the bodies of responses that are being received. If nil, only short ones are received as a whole.
	BufferMemory *process.BufferMemory
	// StatsInterval is the interval at which the pool's statistics are logged; 0: never.
	StatsInterval time.Duration
}

// Pool owns a policy.Balancer. Its methods are safe for concurrent use, except those of policy.Actions, which only the balancer calls.
type Pool struct {
	settings     settings.Settings
	log          *slog.Logger
	events       *limitedlog.Logger // what happens to single requests
	ctx          context.Context    // canceled by Close
	cancel       context.CancelFunc
	clock        clock // the decision module's time
	conns        *upstream.ConnPool
	classes      map[string]policy.Class // by name
	maxDeadline  time.Duration           // the longest deadline of the classes
	protocol     BackendProtocol         // nil: the platform's
	endToEnd     EndToEndProtocol        // protocol, if it implements this interface
	metrics      *metrics.RequestCounters
	bufferMemory *process.BufferMemory
	statsLogged  bool           // stats are logged; they are counted in any case
	goroutines   sync.WaitGroup // added to with mu held, and only while the pool is not closed

	// The callbacks of Config; each may be nil.
	onReadyCount    func(ready int)
	acceptsRequests func() bool
	forwardRejected func(context.Context, *RejectedRequest)

	// mu guards all fields below, the mutable fields of an accepted request, and sentAt, completed and status of its attempts. It is held
	// while the balancer handles an event, and while onReadyCount, acceptsRequests and reachability.report are called.
	//
	// Lock order: the callbacks may lock the gateway's state that is shared by the pools, and no method of a pool is called with that
	// lock held. The locks of an attempt and of upstream.ConnPool may be locked while mu is held.
	mu                   sync.Mutex
	balancer             *policy.Balancer
	deferred             []func(now policy.Time) // follow-up events of the current event, run after it
	requests             map[policy.RequestID]*request
	lastRequestID        policy.RequestID
	requestIDs           *RequestIDs
	sharedIDs            SharedIDs                                // nil: there is no other process
	peers                map[policy.EndpointID]*upstream.Peer     // of the endpoints on the list
	endpoints            map[policy.EndpointID]discovery.Endpoint // the list
	addresses            addressOwners
	watch                listWatch
	exclusion            exclusion
	reachability         reachability
	zoneOutcomes         zoneOutcomes
	timers               timerQueue
	healthChecksInFlight int
	stats                statslog.IntervalStats // since the last log line
	requestsAborted      bool                   // AbortRequests was called: no more requests are accepted
	closed               bool                   // Close was called: no more events are run
}

// New starts a pool, which takes ownership of conns. The caller must call Close. New returns an error if the settings are invalid.
func New(cfg Config, conns *upstream.ConnPool, log *slog.Logger) (*Pool, error) {
	balancer, err := newBalancer(cfg)
	if err != nil {
		return nil, err
	}
	p := newPool(cfg, balancer, conns, log)
	p.goroutines.Go(func() { conns.SweepIdle(p.ctx) })
	if p.statsLogged {
		p.goroutines.Go(func() { p.logStats(cfg.StatsInterval) })
	}
	pollAtOnce := cfg.Settings.ListStaleness().PollAtOnce()
	cached := cfg.CachedList
	if cached == nil {
		cached = &discovery.EndpointList{Version: new(int64)}
	}
	p.runEvent(func(now policy.Time) {
		p.updateEndpoints(now, policy.UpdateCached, cached)
		if len(p.peers) == 0 || pollAtOnce { // the cached list is empty, or its staleness bound leaves no time to delay the first poll
			p.balancer.UpdateEndpoints(now, policy.UpdateWatchLost, nil, p)
		}
	})
	return p, nil
}

// newBalancer returns a decision module configured for a pool with the settings of cfg.
func newBalancer(cfg Config) (*policy.Balancer, error) {
	config := cfg.Settings.Config
	bound := cfg.Settings.ListStaleness()
	config.EndpointsPushed = false // lists are pushed to the platform's agent, and the agent must be polled
	config.PollInterval = bound.PollInterval
	config.PollMaxBackoff = bound.RejectedBackoff
	config.WatchReopenMaxDelay = bound.RetryDelay
	return policy.New(config, cfg.Seed)
}

// newPool returns a pool that has not started any goroutine.
func newPool(cfg Config, balancer *policy.Balancer, conns *upstream.ConnPool, log *slog.Logger) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		settings: cfg.Settings, log: log, events: limitedlog.New(log), ctx: ctx, cancel: cancel, clock: newClock(), conns: conns,
		classes: map[string]policy.Class{}, protocol: cfg.Protocol, metrics: cmp.Or(cfg.Metrics, &metrics.RequestCounters{}),
		bufferMemory: cmp.Or(cfg.BufferMemory, &process.BufferMemory{}),
		statsLogged:  cfg.StatsInterval > 0,
		onReadyCount: cfg.OnReadyCount, acceptsRequests: cfg.AcceptsRequests, forwardRejected: cfg.ForwardRejected,
		balancer: balancer, requests: map[policy.RequestID]*request{},
		peers: map[policy.EndpointID]*upstream.Peer{}, endpoints: map[policy.EndpointID]discovery.Endpoint{},
		addresses:    newAddressOwners(),
		watch:        listWatch{source: cfg.Source},
		exclusion:    exclusion{slowStart: cfg.Settings.Config.SlowStartDuration > 0},
		reachability: reachability{report: cfg.OnUnreachable, reported: map[policy.EndpointID]bool{}},
		zoneOutcomes: zoneOutcomes{enabled: cfg.OnUnreachable != nil},
	}
	p.endToEnd, _ = cfg.Protocol.(EndToEndProtocol)
	for _, class := range cfg.Settings.Config.Classes {
		p.classes[class.Name] = class
		p.metrics.Register(class.Name)
		p.maxDeadline = max(p.maxDeadline, class.Deadline)
	}
	p.maxDeadline = cmp.Or(p.maxDeadline, defaultMaxDeadline)
	p.requestIDs = cfg.RequestIDs
	if p.requestIDs == nil {
		p.requestIDs = newRequestIDs(p.maxDeadline)
	}
	p.timers = newTimerQueue(p.fireTimers)
	return p
}

// RequestIDs returns the ids of the pool's requests, for the instance that replaces it.
func (p *Pool) RequestIDs() *RequestIDs { return p.requestIDs }

// MaxDeadline returns the longest deadline of the pool's classes, or a default if no class has a deadline.
func (p *Pool) MaxDeadline() time.Duration { return p.maxDeadline }

// Close stops the pool and waits for its goroutines to end. Requests that are still open fail with status 502.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.timers.stop()
	for _, r := range p.requests {
		for _, a := range r.attempts {
			a.cancel()
		}
		if !r.ended || r.forwarding != nil {
			r.ended, r.forwarding = true, nil
			p.respond(r, httpmsg.Response{Status: http.StatusBadGateway}, metrics.Failed)
		}
		p.requestIDs.close(r.xRequestID, p.hasEffect(r.policyRequest.Class), true)
		r.releaseBody()
	}
	p.requests = nil
	for _, peer := range p.peers {
		p.conns.Retire(peer)
	}
	p.mu.Unlock()
	p.cancel()
	p.goroutines.Wait()
}

// AbortRequests ends all open requests before the process exits, and makes Submit reject further ones. A request without an attempt is
// rejected. Any other request fails, whether or not its attempts may have been executed. Responses that are being streamed continue.
func (p *Pool) AbortRequests() {
	p.runEvent(func(now policy.Time) {
		p.requestsAborted = true
		p.rejectUnsent(now)
		failed := httpmsg.Response{Status: http.StatusBadGateway}
		for _, r := range p.requests {
			switch {
			case r.forwarding != nil:
				p.stopForwarding(r)
				p.respond(r, failed, metrics.Failed)
				p.removeFinished(r)
			case !r.ended:
				p.balancer.HandleRequestAbandoned(now, r.id, p)
				p.finish(r, r.lastFailureOr(failed, false))
			}
		}
	})
}

// spawn runs f in a goroutine that Close waits for. It does nothing once the pool is closed. The caller holds mu.
func (p *Pool) spawn(f func()) {
	if !p.closed {
		p.goroutines.Go(f)
	}
}

// runEvent locks mu and runs f, which passes one event to the balancer, and then the events deferred by the balancer's actions. It does
// nothing once the pool is closed. The caller must not hold mu.
func (p *Pool) runEvent(f func(now policy.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	f(p.clock.now())
	for len(p.deferred) > 0 {
		next := p.deferred
		p.deferred = nil
		for _, f := range next {
			f(p.clock.now())
		}
	}
}
