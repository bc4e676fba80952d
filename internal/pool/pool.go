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

// longAgo lies between the clock's origin and the process's start. It keeps every present time far from
// zero, which the module takes for 'never'.
const longAgo = time.Hour

// Config is what a pool is told at its start.
type Config struct {
	Name     string
	Settings settings.Settings
	Source   discovery.Source
	Known    *discovery.List // the list as it was last known, perhaps out of date; nil: none
	Seed     uint64
	// Serves is asked whether requests may wait for a first server; nil: they may. It is called under the pool's lock, as
	// Ready is, and must not call the pool.
	Serves func() bool
	// Ready is told how many ready servers the list names, at the start and whenever that may have changed. It is called
	// under the pool's lock, and must not call the pool.
	Ready func(servers int)
	// Dialect is how the servers are spoken to; nil: by the platform's protocol.
	Dialect Dialect
	// Elsewhere is given the requests that the module refuses; nil: their clients are told so. It is called in a goroutine of
	// its own, which ends soon after the context that it is given.
	Elsewhere func(context.Context, *Handover)
	// Counts is told how requests end and of each attempt written whole; nil: nobody asks.
	Counts *metrics.Counts
	// Silent is told of each server that has not answered an attempt or a probe, each time, and once it answers again; nil: nobody asks. It
	// is called under the pool's lock, and must not call the pool.
	Silent func(server string, is bool)
	// FiguresEvery is how often the log is told what the pool saw and did; 0: never.
	FiguresEvery time.Duration
}

// Dialect is how the servers of a pool are spoken to, where that is not the platform's protocol.
type Dialect interface {
	// Extra is what a server is sent beside a request with the fields h, with so much time left for it.
	Extra(q *policy.Request, h http.Header, left time.Duration) []upstream.Field
	// Read says how the answer to an attempt or a probe ended it, by its status and fields, and the load that it tells.
	Read(status int, h http.Header) (policy.Status, *policy.LoadReport)
	// ProbeTarget is what probes ask for.
	ProbeTarget() string
}

// Service is a Dialect of servers whose clients do not speak the platform's protocol either. Their answers reach the clients as
// they are, those included that Read tells as failures, once no further attempt is made.
type Service interface {
	Dialect
	// Ask reads what a request says of itself, and makes its fields what goes on. The error is a httpmsg.Bad.
	Ask(q *httpmsg.Request, path string) (Said, error)
	// Pass makes the fields of an answer what goes on.
	Pass(h http.Header)
}

// Said is what a request says of itself.
type Said struct {
	Event   policy.Request // without ID and Expires
	Timeout time.Duration  // how long its client waits
	Name    string         // no other request has it
	Safe    bool
}

// Pool owns a Balancer. All that is below mu is touched only under it.
type Pool struct {
	settings settings.Settings
	log      *slog.Logger
	ctx      context.Context // ends with the pool
	stop     context.CancelFunc
	origin   time.Time // of the module's clock
	originMs int64     // the same instant in Unix milliseconds, read once: see started
	up       *upstream.Conns
	longest  time.Duration
	effects  map[string]policy.Idempotency // by class
	keeps    map[string]time.Duration      // how long repeats of it are dropped
	aims     map[string]time.Duration      // by class
	tell     func(servers int)
	serves   func() bool
	dialect  Dialect
	service  Service // the same, if it is one
	counts   *metrics.Counts
	away     func(context.Context, *Handover)
	work     sync.WaitGroup // goroutines; added to under mu while not closed

	mu        sync.Mutex
	balancer  *policy.Balancer
	requests  map[policy.RequestID]*request // until they have ended and their attempts are back
	lastID    policy.RequestID
	ids       openIDs                               // of requests
	peers     map[policy.EndpointID]*upstream.Peer  // the upstreams that are listed
	entries   map[policy.EndpointID]discovery.Entry // what the list says of them
	source    discovery.Source
	seq       int64              // of the last list message
	told      bool               // the source has told a list, beyond what was known at the start
	warned    string             // why the last watch ended, until a list comes
	older     int                // messages in a row that were older than the list in force
	stopWatch context.CancelFunc // nil while there is no watch
	probing   int                // probes under way
	timers    timerHeap
	alarm     *time.Timer // fires when the first timer is due
	alarmAt   policy.Time // zero: not set
	after     []func(now policy.Time)
	closed    bool         // nothing more is to happen
	givenUp   bool         // nothing more is taken
	tally     statslog.Row // what happened since the log was told; counted whether it is or not
	tells     bool         // it is
	silent    func(server string, is bool)
	said      map[policy.EndpointID]bool // that silent was told of
	outcomes  map[string]*outcomes       // by zone, where silent asks; nil: nobody does
	avoided   map[string]bool            // servers that take nothing new, by order
	soft      map[string]bool            // of those the ones that are used again once the list names another start
	met       map[policy.EndpointID]bool // servers that the list had as orders were given last
	leftBorn  map[string]int64           // of those that are avoided: their start as the list had it then, in Unix milliseconds
	returned  map[string]policy.Time     // servers that were avoided, and since when they are not; 0: as the list has their start
}

// request is one request of a client, from its last byte until all its attempts are back.
type request struct {
	id       policy.RequestID
	name     string // its X-Request-ID
	method   string
	uri      string // as it goes on
	host     string
	header   http.Header
	body     []byte
	rest     httpmsg.Rest  // what follows body; nil: nothing
	timeout  time.Duration // how long the client waits once all of it is sent
	free     func()        // gives the room of body back
	left     func() bool   // whether its client has left; nil: nobody can tell
	answer   chan httpmsg.Answer
	event    policy.Request // as the module was told
	taken    policy.Time
	foreign  bool // handed over by another site: it goes no further
	attempts []*attempt
	out      int
	ended    bool
	away     *Handover       // not nil: it ended here and is elsewhere; its answer is still to come
	last     *httpmsg.Answer // of a Service: the last failing answer of a server
	streams  bool            // it has the first of a long answer; the rest is on its way
}

// New starts a pool whose connections are up. It ends with Close.
func New(cfg Config, up *upstream.Conns, log *slog.Logger) (*Pool, error) {
	module := cfg.Settings.Config
	// On sockets the agent that has what was pushed must be asked too.
	bound := cfg.Settings.ListBound()
	module.EndpointsPushed, module.PollInterval, module.PollMaxBackoff, module.WatchReopenMaxDelay = false, bound.PollInterval, bound.RejectedBackoff, bound.RetryDelay
	b, err := policy.New(module, cfg.Seed)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	origin := time.Now().Add(-longAgo)
	p := &Pool{
		settings: cfg.Settings, log: log, ctx: ctx, stop: stop, origin: origin, originMs: origin.UnixMilli(), up: up,
		source: cfg.Source, balancer: b, requests: map[policy.RequestID]*request{}, tell: cfg.Ready, serves: cfg.Serves,
		silent: cfg.Silent, said: map[policy.EndpointID]bool{},
		dialect: cfg.Dialect, away: cfg.Elsewhere, counts: cmp.Or(cfg.Counts, &metrics.Counts{}),
		peers: map[policy.EndpointID]*upstream.Peer{}, entries: map[policy.EndpointID]discovery.Entry{},
		effects: map[string]policy.Idempotency{}, keeps: map[string]time.Duration{}, aims: map[string]time.Duration{},
	}
	p.service, _ = cfg.Dialect.(Service)
	for _, c := range cfg.Settings.Config.Classes {
		p.effects[c.Name], p.keeps[c.Name], p.aims[c.Name] = c.Idempotency, c.DedupWindow, c.LatencyObjective
		p.counts.Name(c.Name)
		p.longest = max(p.longest, c.Deadline)
	}
	if p.longest == 0 {
		p.longest = mostWait
	}
	p.ids = newOpenIDs(p.longest)
	p.alarm = time.AfterFunc(longAgo, p.ring)
	p.alarm.Stop()
	known := cfg.Known
	if known == nil {
		known = &discovery.List{Seq: new(int64)}
	}
	p.work.Go(func() { up.Sweep(ctx) })
	if cfg.FiguresEvery > 0 {
		p.tells = true
		p.work.Go(func() { p.tellFigures(cfg.FiguresEvery) })
	}
	p.event(func(now policy.Time) {
		p.members(now, policy.UpdateCached, known)
		if len(p.peers) == 0 || bound.PollAtOnce() { // what is known is nothing that requests could go to, or cannot be held on to
			p.balancer.UpdateEndpoints(now, policy.UpdateWatchLost, nil, p)
		}
	})
	return p, nil
}

// Longest is the longest deadline of the pool's classes.
func (p *Pool) Longest() time.Duration { return p.longest }

// Close ends the pool, of which nothing is wanted any more, and returns once its goroutines have ended.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.alarm.Stop()
	for _, r := range p.requests {
		for _, a := range r.attempts {
			a.cancel()
		}
		if !r.ended || r.away != nil { // whoever closes a pool that is not drained still owes an answer
			r.ended, r.away = true, nil
			p.answer(r, httpmsg.Answer{Status: http.StatusBadGateway}, metrics.Aborted)
		}
		r.free()
	}
	p.requests = nil
	for _, to := range p.peers {
		p.up.Retire(to)
	}
	p.mu.Unlock()
	p.stop()
	p.work.Wait()
}

// GiveUp answers at once what is still open, as the process is about to end, and has nothing more taken: what was never sent is
// refused, and what may have run has failed. A long answer that has begun goes on.
func (p *Pool) GiveUp() {
	p.event(func(now policy.Time) {
		p.givenUp = true
		p.giveBack(now)
		for _, r := range p.requests {
			if h := r.away; h != nil {
				r.away = nil
				close(h.left)
				p.answer(r, httpmsg.Answer{Status: http.StatusBadGateway}, metrics.Aborted)
				p.forget(r)
			} else if !r.ended {
				p.balancer.HandleClientGone(now, r.id, p)
				p.end(r, r.lastOr(httpmsg.Answer{Status: http.StatusBadGateway}, false))
			}
		}
	})
}

// spawn runs f in a goroutine that Close waits for. The caller holds mu.
func (p *Pool) spawn(f func()) {
	if !p.closed {
		p.work.Go(f)
	}
}

// now reads the module's clock. Only event may do so for an event's time: read outside the lock, it could
// run backwards from one event to the next.
func (p *Pool) now() policy.Time { return time.Since(p.origin) }

// event runs f, which hands one event to the balancer, and then those that f's actions gave rise to.
func (p *Pool) event(f func(now policy.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	f(p.now())
	for len(p.after) > 0 {
		next := p.after
		p.after = nil
		for _, f := range next {
			f(p.now())
		}
	}
}

// errClosed is what a request finds that comes after the pool has ended. It has run nowhere.
var errClosed = httpmsg.Bad{Status: http.StatusServiceUnavailable, Text: "the pool is being removed", RetryAfter: 100 * time.Millisecond}

// errNoServer is what a request finds that was admitted just before the list went empty. It has run nowhere.
var errNoServer = httpmsg.Bad{Status: http.StatusServiceUnavailable, Text: "the pool has no ready server", RetryAfter: time.Second}

// take hands a request, whose last byte has just come, to the module. It takes none whose id another has that is open.
func (p *Pool) take(r *request, q policy.Request, timeout time.Duration) error {
	var err error = errClosed
	p.event(func(now policy.Time) {
		if p.givenUp {
			return
		}
		served := p.serves == nil || p.serves()
		if !served && (p.away == nil || r.foreign) {
			err = errNoServer
			return
		}
		err = nil
		if !p.ids.open(now, r.name) {
			err = errIDInUse
			return
		}
		p.lastID++
		r.id, r.timeout = p.lastID, timeout
		q.StreamedBody = r.rest != nil
		p.requests[r.id] = r
		q.ID, q.Expires = r.id, now+timeout
		r.event, r.taken = q, now
		p.tally.Add(statslog.Taken, 1)
		if !served {
			p.refuse(r, errNoServer.Answer())
			return
		}
		p.balancer.HandleRequest(now, q, p)
	})
	return err
}

// withdraw tells the module that the client has left, and reports whether the request was still open.
func (p *Pool) withdraw(r *request) (open bool) {
	p.event(func(now policy.Time) {
		if h := r.away; h != nil {
			open, r.away = true, nil
			close(h.left)
			p.forget(r)
		}
		if r.ended {
			return
		}
		open, r.ended = true, true
		p.tally.Add(statslog.Left, 1)
		p.balancer.HandleClientGone(now, r.id, p)
		p.forget(r)
	})
	return open
}

// end gives r its final answer. It guards against a second one.
func (p *Pool) end(r *request, a httpmsg.Answer) {
	if r == nil || r.ended {
		return
	}
	r.ended = true
	p.answer(r, a, metrics.Of(a.Status))
	p.after = append(p.after, func(policy.Time) { p.forget(r) })
}

// answer hands the final answer of r over, by which it ended so.
func (p *Pool) answer(r *request, a httpmsg.Answer, o metrics.Outcome) {
	if a.Rest != nil {
		r.streams = true
	} else {
		p.counts.Ended(r.event.Class, o)
	}
	p.tally.Add(p.endOf(r, o), 1)
	r.answer <- a
}

// streamed notes the end of a long answer.
func (p *Pool) streamed(r *request, whole bool) {
	end := metrics.Succeeded
	if !whole {
		end = metrics.Aborted
	}
	p.counts.Ended(r.event.Class, end)
	r.streams = false
	p.forget(r)
}

// forget drops a request that has ended once no attempt needs its body any more.
func (p *Pool) forget(r *request) {
	if !r.ended || r.out > 0 || r.away != nil || r.streams || p.requests[r.id] != r {
		return
	}
	delete(p.requests, r.id)
	p.ids.close(p.now(), r.name)
	r.body = nil
	r.free()
}

// settle takes the end of an attempt: with OK, ans is its answer. It reports whether that is the request's.
func (p *Pool) settle(a *attempt, status policy.Status, load *policy.LoadReport, ans httpmsg.Answer) (taken bool) {
	p.event(func(now policy.Time) { taken = p.settled(now, a, status, load, ans) })
	return taken
}

func (p *Pool) settled(now policy.Time, a *attempt, status policy.Status, load *policy.LoadReport, ans httpmsg.Answer) (taken bool) {
	r := a.req
	if a.done { // guards against a second outcome of one attempt
		return false
	}
	a.done, a.status = true, status
	r.out--
	if c, is := tallied[status]; is {
		p.tally.Add(c, 1)
	}
	if status == policy.StatusOK && !r.ended {
		r.ended, taken = true, true
		p.answer(r, ans, metrics.Succeeded)
	}
	p.balancer.HandleAttemptResult(now, policy.AttemptResult{
		ID: r.id, Attempt: a.number, Endpoint: a.server, Status: status, Delay: now - a.sent,
		RequestEnded: r.ended, Load: load,
	}, p)
	p.notice(a.server, status)
	p.count(a.zone, status, now-a.sent)
	p.forget(r)
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
	a := &attempt{req: r, server: server, sent: now.Sub(p.origin), deadline: now.Add(timeout)}
	e := p.entries[server]
	a.number, a.zone, a.cell = len(r.event.PriorAttempts)+len(r.attempts), e.Site, e.Block
	r.attempts = append(r.attempts, a)
	r.out++
	p.tally.Add(statslog.Sends, 1)
	if a.number > 0 {
		p.tally.Add(statslog.Again, 1)
	}
	if p.tells && p.warming(a.sent, server) {
		p.tally.Add(statslog.Cold, 1)
	}
	to, listed := p.peers[server]
	if r.ended || !listed || timeout <= 0 {
		p.after = append(p.after, func(now policy.Time) { p.settled(now, a, policy.StatusNotSent, nil, httpmsg.Answer{}) })
		return
	}
	p.spawn(func() { p.attempt(a, to) })
}

func (p *Pool) Reject(id policy.RequestID, retryAfter time.Duration) {
	r := p.requests[id]
	p.refuse(r, r.lastOr(httpmsg.Answer{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter}, true))
}

func (p *Pool) Fail(id policy.RequestID) {
	r := p.requests[id]
	p.end(r, r.lastOr(httpmsg.Answer{Status: http.StatusBadGateway}, false))
}

// lastOr is what the client of r is told, whose attempts have failed: what a server has answered, or else a. An answer that
// promises that asking again is harmless is not passed on where it is not.
func (r *request) lastOr(a httpmsg.Answer, harmless bool) httpmsg.Answer {
	if r == nil || r.last == nil {
		return a
	}
	if s := r.last.Status; !harmless && (s == http.StatusTooManyRequests || s == http.StatusServiceUnavailable) {
		return a
	}
	return *r.last
}

func (p *Pool) CancelAttempt(id policy.RequestID, attempt int) {
	if r := p.requests[id]; r != nil {
		if i := attempt - len(r.event.PriorAttempts); i >= 0 && i < len(r.attempts) {
			r.attempts[i].cancel()
		}
	}
}

func (p *Pool) Log(text string) { p.log.Info("policy: " + text) }

func (p *Pool) SetTimer(after time.Duration, token string) {
	at := p.now() + max(0, after)
	heap.Push(&p.timers, timer{at, token})
	p.setAlarm()
}

// setAlarm makes the alarm ring when the first timer is due.
func (p *Pool) setAlarm() {
	if len(p.timers) > 0 && (p.alarmAt == 0 || p.timers[0].at < p.alarmAt) {
		p.alarmAt = p.timers[0].at
		p.alarm.Reset(max(0, p.alarmAt-p.now()))
	}
}

// ring hands the timers that are due to the module, all in one go.
func (p *Pool) ring() {
	p.event(func(now policy.Time) {
		p.alarmAt = 0
		var due []string
		for len(p.timers) > 0 && p.timers[0].at <= now {
			due = append(due, heap.Pop(&p.timers).(timer).token)
		}
		for _, token := range due {
			p.balancer.HandleTimer(now, token, p)
		}
		p.setAlarm()
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

// members hands a message about the server list to the module.
func (p *Pool) members(now policy.Time, kind policy.UpdateKind, l *discovery.List) {
	p.seq = *l.Seq
	if kind != policy.UpdateCached {
		p.told, p.warned = true, ""
	}
	servers := make([]policy.Endpoint, len(l.Hosts))
	listed := make(map[policy.EndpointID]bool, len(l.Hosts))
	for i, e := range l.Hosts {
		id := policy.EndpointID(e.Host)
		listed[id] = true
		servers[i] = p.listed(e)
		p.setPeer(id, servers[i], e)
	}
	if kind != policy.UpdateDelta {
		for id := range p.peers {
			if !listed[id] {
				p.setPeer(id, policy.Endpoint{State: policy.Removed}, discovery.Entry{})
			}
		}
	}
	if p.tell != nil {
		ready := 0
		for _, e := range p.entries {
			if discovery.States[e.Health] == policy.Ready {
				ready++
			}
		}
		p.tell(ready)
	}
	p.balancer.UpdateEndpoints(now, kind, servers, p)
	if p.serves != nil && !p.serves() {
		p.giveBack(now)
	}
}

// giveBack refuses the requests that were never sent, once the list names no server and they are not to wait for one: the
// module would hold them until their time is up.
func (p *Pool) giveBack(now policy.Time) {
	for _, r := range p.requests {
		if r.ended || len(r.attempts) > 0 {
			continue
		}
		p.balancer.HandleClientGone(now, r.id, p)
		bad := errNoServer.Answer()
		if !p.settings.Config.RetryAfterHonored {
			bad.RetryAfter = 0
		}
		p.refuse(r, bad)
	}
}

// setPeer notes what the list says of an upstream. One that restarts, moves or goes loses its connections: another
// process may stand at its address by now.
func (p *Pool) setPeer(id policy.EndpointID, s policy.Endpoint, e discovery.Entry) {
	to := p.peers[id]
	if to != nil && (s.State == policy.Removed || to.Addr() != e.Dial || to.Started() != p.started(e.BornMs)) {
		delete(p.peers, id)
		p.up.Retire(to)
		to = nil
		p.unsay(id)
	}
	p.entries[id] = e
	switch {
	case s.State == policy.Removed:
		delete(p.entries, id)
		delete(p.returned, string(id))
	case to == nil:
		p.peers[id] = upstream.NewPeer(e.Dial, p.started(e.BornMs))
	case s.State == policy.Draining:
		p.up.HangUp(to)
	}
}

// steadyWatch is how long a watch must have stood for its end to be that of a watch, which is opened anew at once: one that ends
// sooner, each time, would be a call after the other.
const steadyWatch = time.Second

// WatchEndpoints is a method of policy.Actions. A watch ends in one ListFailed or ListLost, unless it is called off; when to ask again is
// for the module to say.
func (p *Pool) WatchEndpoints(on bool) {
	if p.stopWatch != nil {
		p.stopWatch()
		p.stopWatch = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	p.stopWatch = cancel
	since, from := p.seq, p.source
	p.tally.Add(statslog.Calls, 1)
	p.spawn(func() {
		var old error
		var stood policy.Time // since when it has; zero: it has told nothing
		watch, end := context.WithCancel(ctx)
		defer end()
		err := from.Watch(watch, since, func(l *discovery.List) {
			kind := policy.UpdateDelta
			if l.Whole {
				kind = policy.UpdateFull
			}
			p.event(func(now policy.Time) {
				if watch.Err() != nil {
					return
				}
				if old = p.outdated(l); old != nil {
					end()
					return
				}
				stood = cmp.Or(stood, now)
				p.members(now, kind, l)
			})
		})
		if old != nil {
			err = old
		}
		p.event(func(now policy.Time) {
			if ctx.Err() != nil { // called off
				return
			}
			cancel()
			p.stopWatch = nil
			p.tally.Add(statslog.CallsFailed, 1)
			p.warn(err)
			kind := policy.UpdatePollFailed
			if errors.Is(err, discovery.ErrSilent) || stood > 0 && now-stood >= steadyWatch {
				kind = policy.UpdateWatchLost
			}
			p.balancer.UpdateEndpoints(now, kind, nil, p)
		})
	})
}

// warn tells the log why a watch has ended, once for each reason until a list comes.
func (p *Pool) warn(err error) {
	if why := err.Error(); why != p.warned {
		p.warned = why
		p.log.Warn("watch on discovery ended", "err", err)
	}
}

// mostOutdated is how many calls in a row may tell a whole list that is older than the one in force before it is believed: then
// the source has begun to count anew, as after a loss of all it knew.
const mostOutdated = 3

// outdated says why a message of the source is not to be taken over. It guards against a replica that lags behind the one asked
// before: servers that have gone would be sent requests again. Where the source truly counts anew, its list is late by some calls.
func (p *Pool) outdated(l *discovery.List) error {
	if *l.Seq >= p.seq {
		p.older = 0
		return nil
	}
	if p.older++; l.Whole && p.older > mostOutdated {
		p.older = 0
		return nil
	}
	return fmt.Errorf("the list is of version %d, older than %d, which stays in force", *l.Seq, p.seq)
}

// SetSource makes another source that of the list, and has the module ask there. The list in force stays until it tells.
func (p *Pool) SetSource(from discovery.Source) {
	p.event(func(now policy.Time) {
		p.source = from
		p.seq = 0 // whatever stands there may count otherwise
		if p.stopWatch != nil {
			p.stopWatch()
			p.stopWatch = nil
		}
		p.balancer.UpdateEndpoints(now, policy.UpdateWatchLost, nil, p)
	})
}

// Hurry has the module ask for the list at once, unless that has been done: who waits for it is bound by it sooner than others that start.
func (p *Pool) Hurry() {
	p.event(func(now policy.Time) {
		if !p.told && p.stopWatch == nil {
			p.balancer.UpdateEndpoints(now, policy.UpdateWatchLost, nil, p)
		}
	})
}

// Known is the list in force, for an instance that takes this one's place.
func (p *Pool) Known() *discovery.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &discovery.List{Seq: new(int64), Whole: true}
	for _, e := range p.entries {
		l.Hosts = append(l.Hosts, e)
	}
	return l
}

// started is the module's time of a Unix time in milliseconds. It guards against a server that seems to have
// restarted because its time was converted anew by a wall clock that has since been set: equal times stay
// equal, and only 0 is long ago.
func (p *Pool) started(bornMs int64) policy.Time {
	if bornMs == 0 {
		return 0
	}
	const most = int64(1e12) // about 30 years either way: more would overflow, and none is real
	ms := min(max(bornMs-p.originMs, -most), most)
	if ms == 0 {
		return 1
	}
	return time.Duration(ms) * time.Millisecond
}

// Load is how many requests the pool has, how many timers run for it and how many servers its list names.
func (p *Pool) Load() (requests, timers, servers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.requests), len(p.timers), len(p.peers)
}

// Figures are what an operator is told of a pool at one moment.
type Figures struct {
	Outstanding int // requests taken and not yet ended
	Listed      int // servers
	Avoided     int // those of them that the module leaves out
}

// Figures tells them.
func (p *Pool) Figures() Figures {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := Figures{Listed: len(p.peers), Avoided: p.balancer.EjectedCount(p.now())}
	for _, r := range p.requests {
		if !r.ended || r.away != nil || r.streams {
			f.Outstanding++
		}
	}
	return f
}

// Ready reports whether the list names a server that takes requests, and whether the source itself has told it.
func (p *Pool) Ready() (serves, told bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.entries {
		serves = serves || discovery.States[e.Health] == policy.Ready
	}
	return serves, p.told
}

// String describes the pool's load for logs.
func (p *Pool) String() string {
	requests, timers, servers := p.Load()
	return fmt.Sprintf("%d requests, %d timers, %d upstreams", requests, timers, servers)
}
