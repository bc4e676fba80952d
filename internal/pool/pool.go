// Package pool is the host of one instance of the decision module: it turns what happens on sockets into the module's
// events, and the module's actions into traffic to the pool's servers. A pool has its own list of servers, settings,
// requests and timers, and knows of no other pool, nor of who asks it. It picks no server, and neither retries, hedges,
// refuses nor ejects by itself.
package pool

import (
	"cmp"
	"container/heap"
	"context"
	"errors"
	"fmt"
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

// clockOffset lies between the clock's origin and the process's start. It keeps every present time far from
// zero, which the module takes for 'never'.
const clockOffset = time.Hour

// Config is what a pool is told at its start.
type Config struct {
	Name       string
	Settings   settings.Settings
	Source     discovery.Source
	CachedList *discovery.EndpointList // the list as it was last known, perhaps out of date; nil: none
	Seed       uint64
	// AcceptsRequests is asked whether requests may wait for a first server; nil: they may. It is called under the pool's lock, as
	// Ready is, and must not call the pool.
	AcceptsRequests func() bool
	// OnReadyCount is told how many ready servers the list names, at the start and whenever that may have changed. It is called
	// under the pool's lock, and must not call the pool.
	OnReadyCount func(servers int)
	// Protocol is how the servers are spoken to; nil: by the platform's protocol.
	Protocol BackendProtocol
	// ForwardRejected is given the requests that the module refuses; nil: their clients are told so. It is called in a goroutine of
	// its own, which ends soon after the context that it is given.
	ForwardRejected func(context.Context, *RejectedRequest)
	// Metrics is told how requests end and of each attempt written whole; nil: nobody asks.
	Metrics *metrics.RequestCounters
	// OnUnreachable is told of each server that has not answered an attempt or a probe, each time, and once it answers again; nil: nobody asks. It
	// is called under the pool's lock, and must not call the pool.
	OnUnreachable func(server string, is bool)
	// StatsInterval is how often the log is told what the pool saw and did; 0: never.
	StatsInterval time.Duration
}

// BackendProtocol is how the servers of a pool are spoken to, where that is not the platform's protocol.
type BackendProtocol interface {
	// ExtraFields is what a server is sent beside a request with the fields h, with so much time left for it.
	ExtraFields(q *policy.Request, h http.Header, left time.Duration) []upstream.Field
	// ClassifyResponse says how the answer to an attempt or a probe ended it, by its status and fields, and the load that it tells.
	ClassifyResponse(status int, h http.Header) (policy.Status, *policy.LoadReport)
	// HealthCheckTarget is what probes ask for.
	HealthCheckTarget() string
}

// EndToEndProtocol is a Dialect of servers whose clients do not speak the platform's protocol either. Their answers reach the clients as
// they are, those included that Read tells as failures, once no further attempt is made.
type EndToEndProtocol interface {
	BackendProtocol
	// ParseRequest reads what a request says of itself, and makes its fields what goes on. The error is a httpmsg.RejectionError.
	ParseRequest(q *httpmsg.Request, path string) (RequestAttributes, error)
	// RewriteResponseHeader makes the fields of an answer what goes on.
	RewriteResponseHeader(h http.Header)
}

// RequestAttributes is what a request says of itself.
type RequestAttributes struct {
	PolicyRequest policy.Request // without ID and Expires
	Timeout       time.Duration  // how long its client waits
	ID            string         // no other request has it
	Idempotent    bool
}

// Pool owns a Balancer. All that is below mu is touched only under it.
type Pool struct {
	settings          settings.Settings
	log               *slog.Logger
	ctx               context.Context // ends with the pool
	cancel            context.CancelFunc
	clockOrigin       time.Time // of the module's clock
	clockOriginMs     int64     // the same instant in Unix milliseconds, read once: see started
	conns             *upstream.ConnPool
	maxDeadline       time.Duration
	idempotency       map[string]policy.Idempotency // by class
	dedupWindows      map[string]time.Duration      // how long repeats of it are dropped
	latencyObjectives map[string]time.Duration      // by class
	onReadyCount      func(servers int)
	acceptsRequests   func() bool
	protocol          BackendProtocol
	endToEnd          EndToEndProtocol // the same, if it is one
	metrics           *metrics.RequestCounters
	forwardRejected   func(context.Context, *RejectedRequest)
	goroutines        sync.WaitGroup // goroutines; added to under mu while not closed

	mu                   sync.Mutex
	balancer             *policy.Balancer
	requests             map[policy.RequestID]*request // until they have ended and their attempts are back
	lastID               policy.RequestID
	requestIDs           requestIDSet                             // of requests
	peers                map[policy.EndpointID]*upstream.Peer     // the upstreams that are listed
	endpoints            map[policy.EndpointID]discovery.Endpoint // what the list says of them
	source               discovery.Source
	listVersion          int64              // of the last list message
	listReceived         bool               // the source has told a list, beyond what was known at the start
	lastWatchError       string             // why the last watch ended, until a list comes
	outdatedInRow        int                // messages in a row that were older than the list in force
	cancelWatch          context.CancelFunc // nil while there is no watch
	healthChecksInFlight int                // probes under way
	timers               timerHeap
	wakeup               *time.Timer // fires when the first timer is due
	wakeupAt             policy.Time // zero: not set
	deferred             []func(now policy.Time)
	closed               bool                   // nothing more is to happen
	requestsAborted      bool                   // nothing more is taken
	stats                statslog.IntervalStats // what happened since the log was told; counted whether it is or not
	statsLogged          bool                   // it is
	onUnreachable        func(server string, is bool)
	reportedUnreachable  map[policy.EndpointID]bool // that silent was told of
	zoneOutcomes         map[string]*zoneOutcome    // by zone, where silent asks; nil: nobody does
	excluded             map[string]bool            // servers that take nothing new, by order
	softExcluded         map[string]bool            // of those the ones that are used again once the list names another start
	listedAtLastOrder    map[policy.EndpointID]bool // servers that the list had as orders were given last
	startMsAtExclusion   map[string]int64           // of those that are avoided: their start as the list had it then, in Unix milliseconds
	returnedAt           map[string]policy.Time     // servers that were avoided, and since when they are not; 0: as the list has their start
}

// request is one request of a client, from its last byte until all its attempts are back.
type request struct {
	id               policy.RequestID
	xRequestID       string // its X-Request-ID
	method           string
	uri              string // as it goes on
	host             string
	header           http.Header
	body             []byte
	streamedBody     httpmsg.BodyStream // what follows body; nil: nothing
	timeout          time.Duration      // how long the client waits once all of it is sent
	releaseBody      func()             // gives the room of body back
	clientGone       func() bool        // whether its client has left; nil: nobody can tell
	response         chan httpmsg.Response
	policyRequest    policy.Request // as the module was told
	acceptedAt       policy.Time
	forwarded        bool // handed over by another site: it goes no further
	attempts         []*attempt
	attemptsInFlight int
	ended            bool
	forwarding       *RejectedRequest  // not nil: it ended here and is elsewhere; its answer is still to come
	lastFailure      *httpmsg.Response // of a Service: the last failing answer of a server
	streaming        bool              // it has the first of a long answer; the rest is on its way
}

// New starts a pool whose connections are up. It ends with Close.
func New(cfg Config, up *upstream.ConnPool, log *slog.Logger) (*Pool, error) {
	module := cfg.Settings.Config
	// On sockets the agent that has what was pushed must be asked too.
	bound := cfg.Settings.ListStaleness()
	module.EndpointsPushed, module.PollInterval, module.PollMaxBackoff, module.WatchReopenMaxDelay = false, bound.PollInterval, bound.RejectedBackoff, bound.RetryDelay
	b, err := policy.New(module, cfg.Seed)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	origin := time.Now().Add(-clockOffset)
	p := &Pool{
		settings: cfg.Settings, log: log, ctx: ctx, cancel: stop, clockOrigin: origin, clockOriginMs: origin.UnixMilli(), conns: up,
		source: cfg.Source, balancer: b, requests: map[policy.RequestID]*request{}, onReadyCount: cfg.OnReadyCount, acceptsRequests: cfg.AcceptsRequests,
		onUnreachable: cfg.OnUnreachable, reportedUnreachable: map[policy.EndpointID]bool{},
		protocol: cfg.Protocol, forwardRejected: cfg.ForwardRejected, metrics: cmp.Or(cfg.Metrics, &metrics.RequestCounters{}),
		peers: map[policy.EndpointID]*upstream.Peer{}, endpoints: map[policy.EndpointID]discovery.Endpoint{},
		idempotency: map[string]policy.Idempotency{}, dedupWindows: map[string]time.Duration{}, latencyObjectives: map[string]time.Duration{},
	}
	p.endToEnd, _ = cfg.Protocol.(EndToEndProtocol)
	for _, c := range cfg.Settings.Config.Classes {
		p.idempotency[c.Name], p.dedupWindows[c.Name], p.latencyObjectives[c.Name] = c.Idempotency, c.DedupWindow, c.LatencyObjective
		p.metrics.Register(c.Name)
		p.maxDeadline = max(p.maxDeadline, c.Deadline)
	}
	if p.maxDeadline == 0 {
		p.maxDeadline = defaultMaxDeadline
	}
	p.requestIDs = newRequestIDSet(p.maxDeadline)
	p.wakeup = time.AfterFunc(clockOffset, p.fireTimers)
	p.wakeup.Stop()
	known := cfg.CachedList
	if known == nil {
		known = &discovery.EndpointList{Version: new(int64)}
	}
	p.goroutines.Go(func() { up.SweepIdle(ctx) })
	if cfg.StatsInterval > 0 {
		p.statsLogged = true
		p.goroutines.Go(func() { p.logStats(cfg.StatsInterval) })
	}
	p.runEvent(func(now policy.Time) {
		p.updateEndpoints(now, policy.UpdateCached, known)
		if len(p.peers) == 0 || bound.PollAtOnce() { // what is known is nothing that requests could go to, or cannot be held on to
			p.balancer.UpdateEndpoints(now, policy.UpdateWatchLost, nil, p)
		}
	})
	return p, nil
}

// MaxDeadline is the longest deadline of the pool's classes.
func (p *Pool) MaxDeadline() time.Duration { return p.maxDeadline }

// Close ends the pool, of which nothing is wanted any more, and returns once its goroutines have ended.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.wakeup.Stop()
	for _, r := range p.requests {
		for _, a := range r.attempts {
			a.cancel()
		}
		if !r.ended || r.forwarding != nil { // whoever closes a pool that is not drained still owes an answer
			r.ended, r.forwarding = true, nil
			p.respond(r, httpmsg.Response{Status: http.StatusBadGateway}, metrics.Failed)
		}
		r.releaseBody()
	}
	p.requests = nil
	for _, to := range p.peers {
		p.conns.Retire(to)
	}
	p.mu.Unlock()
	p.cancel()
	p.goroutines.Wait()
}

// AbortRequests answers at once what is still open, as the process is about to end, and has nothing more taken: what was never sent is
// refused, and what may have run has failed. A long answer that has begun goes on.
func (p *Pool) AbortRequests() {
	p.runEvent(func(now policy.Time) {
		p.requestsAborted = true
		p.rejectUnsent(now)
		for _, r := range p.requests {
			if h := r.forwarding; h != nil {
				r.forwarding = nil
				close(h.clientGone)
				p.respond(r, httpmsg.Response{Status: http.StatusBadGateway}, metrics.Failed)
				p.removeFinished(r)
			} else if !r.ended {
				p.balancer.HandleClientGone(now, r.id, p)
				p.finish(r, r.lastFailureOr(httpmsg.Response{Status: http.StatusBadGateway}, false))
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

// now reads the module's clock. Only event may do so for an event's time: read outside the lock, it could
// run backwards from one event to the next.
func (p *Pool) now() policy.Time { return time.Since(p.clockOrigin) }

// runEvent runs f, which hands one event to the balancer, and then those that f's actions gave rise to.
func (p *Pool) runEvent(f func(now policy.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	f(p.now())
	for len(p.deferred) > 0 {
		next := p.deferred
		p.deferred = nil
		for _, f := range next {
			f(p.now())
		}
	}
}

// errPoolClosed is what a request finds that comes after the pool has ended. It has run nowhere.
var errPoolClosed = httpmsg.RejectionError{Status: http.StatusServiceUnavailable, Text: "the pool is being removed", RetryAfter: 100 * time.Millisecond}

// errNoEndpoint is what a request finds that was admitted just before the list went empty. It has run nowhere.
var errNoEndpoint = httpmsg.RejectionError{Status: http.StatusServiceUnavailable, Text: "the pool has no ready server", RetryAfter: time.Second}

// submit hands a request, whose last byte has just come, to the module. It takes none whose id another has that is open.
func (p *Pool) submit(r *request, q policy.Request, timeout time.Duration) error {
	var err error = errPoolClosed
	p.runEvent(func(now policy.Time) {
		if p.requestsAborted {
			return
		}
		served := p.acceptsRequests == nil || p.acceptsRequests()
		if !served && (p.forwardRejected == nil || r.forwarded) {
			err = errNoEndpoint
			return
		}
		err = nil
		if !p.requestIDs.open(now, r.xRequestID) {
			err = errIDInUse
			return
		}
		p.lastID++
		r.id, r.timeout = p.lastID, timeout
		q.StreamedBody = r.streamedBody != nil
		p.requests[r.id] = r
		q.ID, q.Expires = r.id, now+timeout
		r.policyRequest, r.acceptedAt = q, now
		p.stats.Add(statslog.Requests, 1)
		if !served {
			p.reject(r, errNoEndpoint.Response())
			return
		}
		p.balancer.HandleRequest(now, q, p)
	})
	return err
}

// cancelRequest tells the module that the client has left, and reports whether the request was still open.
func (p *Pool) cancelRequest(r *request) (open bool) {
	p.runEvent(func(now policy.Time) {
		if h := r.forwarding; h != nil {
			open, r.forwarding = true, nil
			close(h.clientGone)
			p.removeFinished(r)
		}
		if r.ended {
			return
		}
		open, r.ended = true, true
		p.stats.Add(statslog.ClientGone, 1)
		p.balancer.HandleClientGone(now, r.id, p)
		p.removeFinished(r)
	})
	return open
}

// finish gives r its final answer. It guards against a second one.
func (p *Pool) finish(r *request, a httpmsg.Response) {
	if r == nil || r.ended {
		return
	}
	r.ended = true
	p.respond(r, a, metrics.OutcomeOfStatus(a.Status))
	p.deferred = append(p.deferred, func(policy.Time) { p.removeFinished(r) })
}

// respond hands the final answer of r over, by which it ended so.
func (p *Pool) respond(r *request, a httpmsg.Response, o metrics.Outcome) {
	if a.Remainder != nil {
		r.streaming = true
	} else {
		p.metrics.RecordOutcome(r.policyRequest.Class, o)
	}
	p.stats.Add(p.requestStat(r, o), 1)
	r.response <- a
}

// finishStream notes the end of a long answer.
func (p *Pool) finishStream(r *request, whole bool) {
	end := metrics.Succeeded
	if !whole {
		end = metrics.Failed
	}
	p.metrics.RecordOutcome(r.policyRequest.Class, end)
	r.streaming = false
	p.removeFinished(r)
}

// removeFinished drops a request that has ended once no attempt needs its body any more.
func (p *Pool) removeFinished(r *request) {
	if !r.ended || r.attemptsInFlight > 0 || r.forwarding != nil || r.streaming || p.requests[r.id] != r {
		return
	}
	delete(p.requests, r.id)
	p.requestIDs.close(p.now(), r.xRequestID)
	r.body = nil
	r.releaseBody()
}

// completeAttempt takes the end of an attempt: with OK, ans is its answer. It reports whether that is the request's.
func (p *Pool) completeAttempt(a *attempt, status policy.Status, load *policy.LoadReport, ans httpmsg.Response) (taken bool) {
	p.runEvent(func(now policy.Time) { taken = p.completeAttemptLocked(now, a, status, load, ans) })
	return taken
}

func (p *Pool) completeAttemptLocked(now policy.Time, a *attempt, status policy.Status, load *policy.LoadReport, ans httpmsg.Response) (taken bool) {
	r := a.request
	if a.completed { // guards against a second outcome of one attempt
		return false
	}
	a.completed, a.status = true, status
	r.attemptsInFlight--
	if c, is := attemptStats[status]; is {
		p.stats.Add(c, 1)
	}
	if status == policy.StatusOK && !r.ended {
		r.ended, taken = true, true
		p.respond(r, ans, metrics.Succeeded)
	}
	p.balancer.HandleAttemptResult(now, policy.AttemptResult{
		ID: r.id, Attempt: a.number, Endpoint: a.endpoint, Status: status, Delay: now - a.sentAt,
		RequestEnded: r.ended, Load: load,
	}, p)
	p.noteReachability(a.endpoint, status)
	p.countOutcome(a.zone, status, now-a.sentAt)
	p.removeFinished(r)
	return taken
}

// The methods of policy.Actions. The balancer calls them under mu, so they never block, and report what
// comes of them through after or from a goroutine of their own.

func (p *Pool) StartAttempt(id policy.RequestID, server policy.EndpointID, timeout time.Duration) {
	r := p.requests[id]
	if r == nil {
		return
	}
	now := time.Now()
	a := &attempt{request: r, endpoint: server, sentAt: now.Sub(p.clockOrigin), deadline: now.Add(timeout)}
	e := p.endpoints[server]
	a.number, a.zone, a.cell = len(r.policyRequest.PriorAttempts)+len(r.attempts), e.Zone, e.Cell
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight++
	p.stats.Add(statslog.Attempts, 1)
	if a.number > 0 {
		p.stats.Add(statslog.FurtherAttempts, 1)
	}
	if p.statsLogged && p.warmingUp(a.sentAt, server) {
		p.stats.Add(statslog.SlowStartAttempts, 1)
	}
	to, listed := p.peers[server]
	if r.ended || !listed || timeout <= 0 {
		p.deferred = append(p.deferred, func(now policy.Time) { p.completeAttemptLocked(now, a, policy.StatusNotSent, nil, httpmsg.Response{}) })
		return
	}
	p.spawn(func() { p.runAttempt(a, to) })
}

func (p *Pool) Reject(id policy.RequestID, retryAfter time.Duration) {
	r := p.requests[id]
	p.reject(r, r.lastFailureOr(httpmsg.Response{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter}, true))
}

func (p *Pool) Fail(id policy.RequestID) {
	r := p.requests[id]
	p.finish(r, r.lastFailureOr(httpmsg.Response{Status: http.StatusBadGateway}, false))
}

// lastFailureOr is what the client of r is told, whose attempts have failed: what a server has answered, or else a. An answer that
// promises that asking again is harmless is not passed on where it is not.
func (r *request) lastFailureOr(a httpmsg.Response, harmless bool) httpmsg.Response {
	if r == nil || r.lastFailure == nil {
		return a
	}
	if s := r.lastFailure.Status; !harmless && (s == http.StatusTooManyRequests || s == http.StatusServiceUnavailable) {
		return a
	}
	return *r.lastFailure
}

func (p *Pool) CancelAttempt(id policy.RequestID, attempt int) {
	if r := p.requests[id]; r != nil {
		if i := attempt - len(r.policyRequest.PriorAttempts); i >= 0 && i < len(r.attempts) {
			r.attempts[i].cancel()
		}
	}
}

func (p *Pool) Log(text string) { p.log.Info("policy: " + text) }

func (p *Pool) SetTimer(after time.Duration, token string) {
	at := p.now() + max(0, after)
	heap.Push(&p.timers, timer{at, token})
	p.scheduleWakeup()
}

// scheduleWakeup makes the alarm ring when the first timer is due.
func (p *Pool) scheduleWakeup() {
	if len(p.timers) > 0 && (p.wakeupAt == 0 || p.timers[0].at < p.wakeupAt) {
		p.wakeupAt = p.timers[0].at
		p.wakeup.Reset(max(0, p.wakeupAt-p.now()))
	}
}

// fireTimers hands the timers that are due to the module, all in one go.
func (p *Pool) fireTimers() {
	p.runEvent(func(now policy.Time) {
		p.wakeupAt = 0
		var due []string
		for len(p.timers) > 0 && p.timers[0].at <= now {
			due = append(due, heap.Pop(&p.timers).(timer).token)
		}
		for _, token := range due {
			p.balancer.HandleTimer(now, token, p)
		}
		p.scheduleWakeup()
	})
}

type timer struct {
	at    policy.Time
	token string
}

// timerHeap implements heap.Interface, the timer that is due first at its top.
type timerHeap []timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{} // lets go of the token
	*t = (*t)[:last]
	return x
}

// updateEndpoints hands a message about the server list to the module.
func (p *Pool) updateEndpoints(now policy.Time, kind policy.UpdateKind, l *discovery.EndpointList) {
	p.listVersion = *l.Version
	if kind != policy.UpdateCached {
		p.listReceived, p.lastWatchError = true, ""
	}
	servers := make([]policy.Endpoint, len(l.Endpoints))
	listed := make(map[policy.EndpointID]bool, len(l.Endpoints))
	for i, e := range l.Endpoints {
		id := policy.EndpointID(e.ID)
		listed[id] = true
		servers[i] = p.policyEndpoint(e)
		p.setPeer(id, servers[i], e)
	}
	if kind != policy.UpdateDelta {
		for id := range p.peers {
			if !listed[id] {
				p.setPeer(id, policy.Endpoint{State: policy.Removed}, discovery.Endpoint{})
			}
		}
	}
	if p.onReadyCount != nil {
		ready := 0
		for _, e := range p.endpoints {
			if discovery.States[e.Health] == policy.Ready {
				ready++
			}
		}
		p.onReadyCount(ready)
	}
	p.balancer.UpdateEndpoints(now, kind, servers, p)
	if p.acceptsRequests != nil && !p.acceptsRequests() {
		p.rejectUnsent(now)
	}
}

// rejectUnsent refuses the requests that were never sent, once the list names no server and they are not to wait for one: the
// module would hold them until their time is up.
func (p *Pool) rejectUnsent(now policy.Time) {
	for _, r := range p.requests {
		if r.ended || len(r.attempts) > 0 {
			continue
		}
		p.balancer.HandleClientGone(now, r.id, p)
		bad := errNoEndpoint.Response()
		if !p.settings.Config.RetryAfterHonored {
			bad.RetryAfter = 0
		}
		p.reject(r, bad)
	}
}

// setPeer notes what the list says of an upstream. One that restarts, moves or goes loses its connections: another
// process may stand at its address by now.
func (p *Pool) setPeer(id policy.EndpointID, s policy.Endpoint, e discovery.Endpoint) {
	to := p.peers[id]
	if to != nil && (s.State == policy.Removed || to.Addr() != e.Address || to.Started() != p.startTime(e.StartedMs)) {
		delete(p.peers, id)
		p.conns.Retire(to)
		to = nil
		p.clearUnreachable(id)
	}
	p.endpoints[id] = e
	switch {
	case s.State == policy.Removed:
		delete(p.endpoints, id)
		delete(p.returnedAt, string(id))
	case to == nil:
		p.peers[id] = upstream.NewPeer(e.Address, p.startTime(e.StartedMs))
	case s.State == policy.Draining:
		p.conns.CloseIdle(to)
	}
}

// minStableWatch is how long a watch must have stood for its end to be that of a watch, which is opened anew at once: one that ends
// sooner, each time, would be a call after the other.
const minStableWatch = time.Second

// WatchEndpoints is a method of policy.Actions. A watch ends in one ListFailed or ListLost, unless it is called off; when to ask again is
// for the module to say.
func (p *Pool) WatchEndpoints(on bool) {
	if p.cancelWatch != nil {
		p.cancelWatch()
		p.cancelWatch = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	p.cancelWatch = cancel
	since, from := p.listVersion, p.source
	p.stats.Add(statslog.DiscoveryCalls, 1)
	p.spawn(func() {
		var old error
		var stood policy.Time // since when it has; zero: it has told nothing
		watch, end := context.WithCancel(ctx)
		defer end()
		err := from.Watch(watch, since, func(l *discovery.EndpointList) {
			kind := policy.UpdateDelta
			if l.Complete {
				kind = policy.UpdateFull
			}
			p.runEvent(func(now policy.Time) {
				if watch.Err() != nil {
					return
				}
				if old = p.checkVersion(l); old != nil {
					end()
					return
				}
				stood = cmp.Or(stood, now)
				p.updateEndpoints(now, kind, l)
			})
		})
		if old != nil {
			err = old
		}
		p.runEvent(func(now policy.Time) {
			if ctx.Err() != nil { // called off
				return
			}
			cancel()
			p.cancelWatch = nil
			p.stats.Add(statslog.DiscoveryFailures, 1)
			p.logWatchEnd(err)
			kind := policy.UpdatePollFailed
			if errors.Is(err, discovery.ErrSilenceTimeout) || stood > 0 && now-stood >= minStableWatch {
				kind = policy.UpdateWatchLost
			}
			p.balancer.UpdateEndpoints(now, kind, nil, p)
		})
	})
}

// logWatchEnd tells the log why a watch has ended, once for each reason until a list comes.
func (p *Pool) logWatchEnd(err error) {
	if why := err.Error(); why != p.lastWatchError {
		p.lastWatchError = why
		p.log.Warn("watch on discovery ended", "err", err)
	}
}

// maxOutdatedInRow is how many calls in a row may tell a whole list that is older than the one in force before it is believed: then
// the source has begun to count anew, as after a loss of all it knew.
const maxOutdatedInRow = 3

// checkVersion says why a message of the source is not to be taken over. It guards against a replica that lags behind the one asked
// before: servers that have gone would be sent requests again. Where the source truly counts anew, its list is late by some calls.
func (p *Pool) checkVersion(l *discovery.EndpointList) error {
	if *l.Version >= p.listVersion {
		p.outdatedInRow = 0
		return nil
	}
	if p.outdatedInRow++; l.Complete && p.outdatedInRow > maxOutdatedInRow {
		p.outdatedInRow = 0
		return nil
	}
	return fmt.Errorf("the list is of version %d, older than %d, which stays in force", *l.Version, p.listVersion)
}

// SetSource makes another source that of the list, and has the module ask there. The list in force stays until it tells.
func (p *Pool) SetSource(from discovery.Source) {
	p.runEvent(func(now policy.Time) {
		p.source = from
		p.listVersion = 0 // whatever stands there may count otherwise
		if p.cancelWatch != nil {
			p.cancelWatch()
			p.cancelWatch = nil
		}
		p.balancer.UpdateEndpoints(now, policy.UpdateWatchLost, nil, p)
	})
}

// PollNow has the module ask for the list at once, unless that has been done: who waits for it is bound by it sooner than others that start.
func (p *Pool) PollNow() {
	p.runEvent(func(now policy.Time) {
		if !p.listReceived && p.cancelWatch == nil {
			p.balancer.UpdateEndpoints(now, policy.UpdateWatchLost, nil, p)
		}
	})
}

// EndpointList is the list in force, for an instance that takes this one's place.
func (p *Pool) EndpointList() *discovery.EndpointList {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &discovery.EndpointList{Version: new(int64), Complete: true}
	for _, e := range p.endpoints {
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}

// startTime is the module's time of a Unix time in milliseconds. It guards against a server that seems to have
// restarted because its time was converted anew by a wall clock that has since been set: equal times stay
// equal, and only 0 is long ago.
func (p *Pool) startTime(bornMs int64) policy.Time {
	if bornMs == 0 {
		return 0
	}
	const most = int64(1e12) // about 30 years either way: more would overflow, and none is real
	ms := min(max(bornMs-p.clockOriginMs, -most), most)
	if ms == 0 {
		return 1
	}
	return time.Duration(ms) * time.Millisecond
}

// Counts is how many requests the pool has, how many timers run for it and how many servers its list names.
func (p *Pool) Counts() (requests, timers, servers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.requests), len(p.timers), len(p.peers)
}

// Stats are what an operator is told of a pool at one moment.
type Stats struct {
	Outstanding int // requests taken and not yet ended
	Endpoints   int // servers
	Ejected     int // those of them that the module leaves out
}

// Stats tells them.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := Stats{Endpoints: len(p.peers), Ejected: p.balancer.EjectedCount(p.now())}
	for _, r := range p.requests {
		if !r.ended || r.forwarding != nil || r.streaming {
			f.Outstanding++
		}
	}
	return f
}

// Readiness reports whether the list names a server that takes requests, and whether the source itself has told it.
func (p *Pool) Readiness() (serves, told bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		serves = serves || discovery.States[e.Health] == policy.Ready
	}
	return serves, p.listReceived
}

// String describes the pool's load for logs.
func (p *Pool) String() string {
	requests, timers, servers := p.Counts()
	return fmt.Sprintf("%d requests, %d timers, %d upstreams", requests, timers, servers)
}
