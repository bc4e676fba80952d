// Package pool hosts one instance of the decision module: it turns what happens on sockets into the module's events, and the module's
// actions into traffic to the pool's endpoints. A pool has its own endpoint list, settings, requests and timers, and knows of no other
// pool, nor of its callers. It chooses no endpoint, and neither retries, hedges, rejects nor ejects by itself.
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
	"sorrelrudder/internal/metrics"
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
	CachedList *discovery.EndpointList // as it was last known, perhaps out of date; nil: none
	Seed       uint64                  // of the decision module's random choices
	// AcceptsRequests reports whether requests may be accepted: an endpoint is ready, or they may wait for one; nil: they may. It is
	// called under the pool's lock, and must not call the pool.
	AcceptsRequests func() bool
	// OnReadyCount is called with the number of ready endpoints on the list, at the start and whenever it may have changed. It is
	// called under the pool's lock, and must not call the pool.
	OnReadyCount func(ready int)
	// Protocol is that of the endpoints; nil: the platform's.
	Protocol BackendProtocol
	// ForwardRejected is given the requests that the decision module rejects; nil: their clients get the rejection. It is called in a
	// goroutine of its own, which must end soon after the context.
	ForwardRejected func(context.Context, *RejectedRequest)
	// Metrics counts how requests end, and the attempts sent completely; nil: they are not counted.
	Metrics *metrics.RequestCounters
	// OnUnreachable is called for an endpoint that has not answered an attempt or a health check, each time, and once it answers
	// again; nil: nobody asks. It is called under the pool's lock, and must not call the pool.
	OnUnreachable func(endpoint string, unreachable bool)
	// StatsInterval is how often the pool's statistics are logged; 0: never.
	StatsInterval time.Duration
}

// Pool owns a policy.Balancer. Its methods may be called from any goroutine, but those of policy.Actions, which are the balancer's.
type Pool struct {
	settings    settings.Settings
	log         *slog.Logger
	ctx         context.Context // ends with the pool
	cancel      context.CancelFunc
	clock       clock // the decision module's
	conns       *upstream.ConnPool
	classes     map[string]policy.Class // by name
	maxDeadline time.Duration           // of the classes
	protocol    BackendProtocol         // nil: the platform's
	endToEnd    EndToEndProtocol        // protocol, if it is one
	metrics     *metrics.RequestCounters
	statsLogged bool           // stats are logged; they are counted whether they are or not
	goroutines  sync.WaitGroup // added to under mu while not closed

	// The callbacks of Config; each may be nil.
	onReadyCount    func(ready int)
	acceptsRequests func() bool
	forwardRejected func(context.Context, *RejectedRequest)

	// mu guards all fields below, what changes of a request once it is accepted, and sentAt, completed and status of its attempts. It is
	// held while the balancer runs an event, and while onReadyCount, acceptsRequests and the report of reachability are called. Those
	// may take the gateway's lock of what the pools share, under which no method of a pool is called. The locks of an attempt and of
	// upstream.ConnPool are taken under mu too.
	mu                   sync.Mutex
	balancer             *policy.Balancer
	deferred             []func(now policy.Time) // what an event gave rise to: run as events of their own after it
	requests             map[policy.RequestID]*request
	lastRequestID        policy.RequestID
	requestIDs           requestIDSet
	peers                map[policy.EndpointID]*upstream.Peer     // of the endpoints on the list
	endpoints            map[policy.EndpointID]discovery.Endpoint // the list
	watch                listWatch
	exclusion            exclusion
	reachability         reachability
	zoneOutcomes         zoneOutcomes
	timers               timerQueue
	healthChecksInFlight int
	stats                statslog.IntervalStats // since they were logged last
	requestsAborted      bool                   // no request is accepted any more
	closed               bool                   // no event is run any more
}

// New starts a pool that uses the connections given, as an owner. It ends with Close. The error is that of the settings.
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
		if len(p.peers) == 0 || pollAtOnce { // the cached list has no endpoint to send to, or must not be used for long
			p.balancer.UpdateEndpoints(now, policy.UpdateWatchLost, nil, p)
		}
	})
	return p, nil
}

// newBalancer returns the decision module of a pool.
func newBalancer(cfg Config) (*policy.Balancer, error) {
	config := cfg.Settings.Config
	bound := cfg.Settings.ListStaleness()
	config.EndpointsPushed = false // the platform's agent, to which lists are pushed, must be polled too
	config.PollInterval = bound.PollInterval
	config.PollMaxBackoff = bound.RejectedBackoff
	config.WatchReopenMaxDelay = bound.RetryDelay
	return policy.New(config, cfg.Seed)
}

// newPool returns a pool in which nothing runs yet.
func newPool(cfg Config, balancer *policy.Balancer, conns *upstream.ConnPool, log *slog.Logger) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		settings: cfg.Settings, log: log, ctx: ctx, cancel: cancel, clock: newClock(), conns: conns,
		classes: map[string]policy.Class{}, protocol: cfg.Protocol, metrics: cmp.Or(cfg.Metrics, &metrics.RequestCounters{}),
		statsLogged:  cfg.StatsInterval > 0,
		onReadyCount: cfg.OnReadyCount, acceptsRequests: cfg.AcceptsRequests, forwardRejected: cfg.ForwardRejected,
		balancer: balancer, requests: map[policy.RequestID]*request{},
		peers: map[policy.EndpointID]*upstream.Peer{}, endpoints: map[policy.EndpointID]discovery.Endpoint{},
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
	p.requestIDs = newRequestIDSet(p.maxDeadline)
	p.timers = newTimerQueue(p.fireTimers)
	return p
}

// MaxDeadline returns the longest deadline of the pool's classes.
func (p *Pool) MaxDeadline() time.Duration { return p.maxDeadline }

// Close ends the pool and returns once its goroutines have ended. Requests that are still open are answered as failed.
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

// AbortRequests answers at once what is still open, as the process is about to end, and has no more requests accepted. A request for which no
// attempt was started is rejected, any other fails, whether or not its attempts may have been executed. A long response that has begun goes on.
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

// spawn runs f in a goroutine that Close waits for. The caller holds mu.
func (p *Pool) spawn(f func()) {
	if !p.closed {
		p.goroutines.Go(f)
	}
}

// runEvent runs f, which hands one event to the balancer, and then what its actions have deferred. It does nothing once the pool is
// closed. The caller does not hold mu; f runs under it.
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
