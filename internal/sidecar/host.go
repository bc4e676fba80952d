// Package sidecar is the real host of the decision module: it turns what happens on sockets into the module's
// events, and the module's actions into traffic on sockets. It picks no upstream, and neither retries, hedges,
// refuses nor ejects by itself.
package sidecar

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"heathstack/internal/settings"
	"heathstack/policy"
)

// longAgo lies between the clock's origin and the process's start. It keeps every present time far from
// zero, which the module takes for 'never'.
const longAgo = time.Hour

// host owns the Balancer. All that is below mu is touched only under it.
type host struct {
	settings settings.Settings
	log      *slog.Logger
	ctx      context.Context // ends with the process
	origin   time.Time       // of the module's clock
	originMs int64           // the same instant in Unix milliseconds, read once: see started
	up       *upstreams
	longest  time.Duration
	effects  map[string]policy.Effect // by class

	mu        sync.Mutex
	balancer  *policy.Balancer
	requests  map[policy.RequestID]*request // until they have ended and their attempts are back
	lastID    policy.RequestID
	ids       openIDs                   // of requests
	peers     map[policy.ServerID]*peer // the upstreams that are listed
	disco     string                    // address of discovery
	seq       int64                     // of the last list message
	stopWatch context.CancelFunc        // nil while there is no watch
	probing   int                       // probes under way
	timers    timerHeap
	alarm     *time.Timer // fires when the first timer is due
	alarmAt   policy.Time // zero: not set
	after     []func(now policy.Time)
}

// request is one request of a client, from its last byte until all its attempts are back.
type request struct {
	id       policy.RequestID
	name     string // its X-Request-ID
	method   string
	uri      string // as the client wrote it
	host     string
	header   http.Header
	body     []byte
	free     func() // gives the room of body back
	answer   chan answer
	attempts []*attempt
	out      int
	ended    bool
}

// answer is the final answer to a request.
type answer struct {
	status     int
	retryAfter time.Duration
	header     http.Header
	body       []byte
}

func newHost(ctx context.Context, cfg Config, up *upstreams, log *slog.Logger) (*host, error) {
	module := cfg.Settings.Config
	module.Pushed = false // on sockets the agent that has what was pushed must be asked too
	b, err := policy.New(module, cfg.Seed)
	if err != nil {
		return nil, err
	}
	origin := time.Now().Add(-longAgo)
	h := &host{
		settings: cfg.Settings, log: log, ctx: ctx, origin: origin, originMs: origin.UnixMilli(), up: up,
		disco: cfg.Discovery, balancer: b, requests: map[policy.RequestID]*request{},
		peers: map[policy.ServerID]*peer{}, effects: map[string]policy.Effect{},
	}
	for _, c := range cfg.Settings.Config.Classes {
		h.effects[c.Name] = c.Effect
		h.longest = max(h.longest, c.Deadline)
	}
	if h.longest == 0 {
		h.longest = mostWait
	}
	h.ids = newOpenIDs(h.longest)
	h.alarm = time.AfterFunc(longAgo, h.ring)
	h.alarm.Stop()
	known := cfg.Known
	if known == nil {
		known = &list{Seq: new(int64)} // nothing is known: discovery is to be asked all the same
	}
	h.event(func(now policy.Time) { h.members(now, policy.ListCached, known) })
	return h, nil
}

// now reads the module's clock. Only event may do so for an event's time: read outside the lock, it could
// run backwards from one event to the next.
func (h *host) now() policy.Time { return time.Since(h.origin) }

// event runs f, which hands one event to the balancer, and then those that f's actions gave rise to.
func (h *host) event(f func(now policy.Time)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.now())
	for len(h.after) > 0 {
		next := h.after
		h.after = nil
		for _, f := range next {
			f(h.now())
		}
	}
}

// take hands a request, whose last byte has just come, to the module. It takes none whose id another has that is open.
func (h *host) take(r *request, q policy.Request, timeout time.Duration) error {
	var err error
	h.event(func(now policy.Time) {
		if !h.ids.open(now, r.name) {
			err = errIDInUse
			return
		}
		h.lastID++
		r.id = h.lastID
		h.requests[r.id] = r
		q.ID, q.Expires = r.id, now+timeout
		h.balancer.Request(now, q, h)
	})
	return err
}

// withdraw tells the module that the client has left, and reports whether the request was still open.
func (h *host) withdraw(r *request) (open bool) {
	h.event(func(now policy.Time) {
		if r.ended {
			return
		}
		open, r.ended = true, true
		h.balancer.Withdrawn(now, r.id, h)
		h.forget(r)
	})
	return open
}

// end gives r its final answer. It guards against a second one.
func (h *host) end(r *request, a answer) {
	if r == nil || r.ended {
		return
	}
	r.ended = true
	r.answer <- a
	h.after = append(h.after, func(policy.Time) { h.forget(r) })
}

// forget drops a request that has ended once no attempt needs its body any more.
func (h *host) forget(r *request) {
	if !r.ended || r.out > 0 || h.requests[r.id] != r {
		return
	}
	delete(h.requests, r.id)
	h.ids.close(h.now(), r.name)
	r.body = nil
	r.free()
}

// settle takes the end of an attempt: with OK, ans is its answer.
func (h *host) settle(a *attempt, status policy.Status, load *policy.Load, ans answer) {
	h.event(func(now policy.Time) { h.settled(now, a, status, load, ans) })
}

func (h *host) settled(now policy.Time, a *attempt, status policy.Status, load *policy.Load, ans answer) {
	r := a.req
	if a.done { // guards against a second outcome of one attempt
		return
	}
	a.done = true
	r.out--
	if status == policy.OK && !r.ended {
		r.ended = true
		r.answer <- ans
	}
	h.balancer.Outcome(now, policy.Outcome{
		ID: r.id, Attempt: a.number, Server: a.server, Status: status, Delay: now - a.sent,
		Closed: r.ended, Load: load,
	}, h)
	h.forget(r)
}

// The methods of policy.Actions. The balancer calls them under mu, so they never block, and report what
// comes of them through after or from a goroutine of their own.

func (h *host) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
	r := h.requests[id]
	if r == nil {
		return
	}
	now := time.Now()
	a := &attempt{req: r, number: len(r.attempts), server: server, sent: now.Sub(h.origin), deadline: now.Add(timeout)}
	r.attempts = append(r.attempts, a)
	r.out++
	p, listed := h.peers[server]
	if r.ended || !listed || timeout <= 0 {
		h.after = append(h.after, func(now policy.Time) { h.settled(now, a, policy.Moot, nil, answer{}) })
		return
	}
	go h.attempt(a, p)
}

func (h *host) Refuse(id policy.RequestID, retryAfter time.Duration) {
	h.end(h.requests[id], answer{status: http.StatusServiceUnavailable, retryAfter: retryAfter})
}

func (h *host) Fail(id policy.RequestID) {
	h.end(h.requests[id], answer{status: http.StatusBadGateway})
}

func (h *host) Cancel(id policy.RequestID, attempt int) {
	if r := h.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) {
		r.attempts[attempt].cancel()
	}
}

func (h *host) HangUp(server policy.ServerID) {
	if p := h.peers[server]; p != nil {
		h.up.hangUp(p)
	}
}

func (h *host) Log(text string) { h.log.Info("policy: " + text) }

func (h *host) SetTimer(after time.Duration, token string) {
	at := h.now() + max(0, after)
	heap.Push(&h.timers, timer{at, token})
	h.setAlarm()
}

// setAlarm makes the alarm ring when the first timer is due.
func (h *host) setAlarm() {
	if len(h.timers) > 0 && (h.alarmAt == 0 || h.timers[0].at < h.alarmAt) {
		h.alarmAt = h.timers[0].at
		h.alarm.Reset(max(0, h.alarmAt-h.now()))
	}
}

// ring hands the timers that are due to the module, all in one go.
func (h *host) ring() {
	h.event(func(now policy.Time) {
		h.alarmAt = 0
		var due []string
		for len(h.timers) > 0 && h.timers[0].at <= now {
			due = append(due, heap.Pop(&h.timers).(timer).token)
		}
		for _, token := range due {
			h.balancer.Timer(now, token, h)
		}
		h.setAlarm()
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
func (h *host) members(now policy.Time, kind policy.ListKind, l *list) {
	h.seq = *l.Seq
	servers := make([]policy.Server, len(l.Hosts))
	listed := make(map[policy.ServerID]bool, len(l.Hosts))
	for i, e := range l.Hosts {
		id := policy.ServerID(e.Host)
		listed[id] = true
		servers[i] = policy.Server{
			ID: id, State: states[e.Health], Zone: e.Site, Cell: e.Block, Weight: e.Share, Started: h.started(e.BornMs),
		}
		h.setPeer(id, servers[i], e.Dial)
	}
	if kind != policy.ListDelta {
		for id := range h.peers {
			if !listed[id] {
				h.setPeer(id, policy.Server{State: policy.Gone}, "")
			}
		}
	}
	h.balancer.Members(now, kind, servers, h)
}

// setPeer notes what the list says of an upstream. One that restarts, moves or goes loses its connections: another
// process may stand at its address by now.
func (h *host) setPeer(id policy.ServerID, s policy.Server, addr string) {
	p := h.peers[id]
	if p != nil && (s.State == policy.Gone || p.addr != addr || p.started != s.Started) {
		delete(h.peers, id)
		h.up.retire(p)
		p = nil
	}
	switch {
	case s.State == policy.Gone:
	case p == nil:
		h.peers[id] = &peer{addr: addr, started: s.Started}
	case s.State == policy.Draining:
		h.up.hangUp(p)
	}
}

// setDiscovery makes another address that of discovery, and has the module ask there.
func (h *host) setDiscovery(addr string) {
	h.event(func(now policy.Time) {
		if h.disco == addr {
			return
		}
		h.disco = addr
		h.seq = 0 // whatever stands there may count otherwise
		h.balancer.Members(now, policy.ListMoved, nil, h)
	})
}

// started is the module's time of a Unix time in milliseconds. It guards against a server that seems to have
// restarted because its time was converted anew by a wall clock that has since been set: equal times stay
// equal, and only 0 is long ago.
func (h *host) started(bornMs int64) policy.Time {
	if bornMs == 0 {
		return 0
	}
	const most = int64(1e12) // about 30 years either way: more would overflow, and none is real
	ms := min(max(bornMs-h.originMs, -most), most)
	if ms == 0 {
		return 1
	}
	return time.Duration(ms) * time.Millisecond
}

// String describes the host's load for logs.
func (h *host) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("%d requests, %d timers, %d upstreams", len(h.requests), len(h.timers), len(h.peers))
}
