package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// checker is an Actions that plays the host: it keeps what the rules need to judge each action, by
// its own books and not by the balancer's, and reports breaches.
type checker struct {
	t        *testing.T
	cfg      Config
	now      Time
	classes  map[string]Class
	servers  map[EndpointID]Endpoint
	drained  map[EndpointID]bool // told draining or gone
	requests map[RequestID]*openRequest
	timers   []timerEvent
	probes   []EndpointID
	log      []string
	failed   bool
}

type timerEvent struct {
	at    Time
	token string
}

type openRequest struct {
	Request
	class    Class
	attempts []openAttempt
	answers  int
	ended    bool
	used     bool // its body, which is long, is gone or going
	going    bool
}

type openAttempt struct {
	server Endpoint
	sent   Time
	out    bool
	status Status
}

func (c *checker) breach(format string, args ...any) {
	c.t.Helper()
	c.failed = true
	c.t.Errorf("at %v: %s", c.now, fmt.Sprintf(format, args...))
}

func (c *checker) StartAttempt(id RequestID, s EndpointID, timeout time.Duration) {
	c.log = append(c.log, fmt.Sprint("send ", id, s, timeout))
	r := c.requests[id]
	srv, ok := c.servers[s]
	switch {
	case r == nil || r.ended:
		c.breach("send for the ended or unknown request %d", id)
		return
	case !ok:
		c.breach("send to the unknown server %s", s)
		return
	case c.drained[s]:
		c.breach("send to %s, which drains or is gone", s)
	case r.used:
		c.breach("send for request %d, whose body is used up", id)
	case r.StreamedBody && slices.ContainsFunc(r.attempts, func(a openAttempt) bool { return a.out }):
		c.breach("second copy of %d, whose body can be read once", id)
	case len(r.attempts) >= c.cfg.MaxAttempts:
		c.breach("attempt %d of %d", len(r.attempts)+1, c.cfg.MaxAttempts)
	}
	for _, a := range r.attempts {
		if a.out && !c.cfg.HedgingAllowed {
			c.breach("second copy of %d, which the site forbids", id)
		}
		proven := !a.out && (a.status == StatusOverloaded || a.status == StatusConnectFailed || a.status == StatusNotSent)
		if proven || r.class.Idempotency == Idempotent {
			continue
		}
		switch {
		case r.class.Idempotency == NonIdempotent:
			c.breach("unsafe request %d sent again", id)
		case c.now > a.sent+r.class.DedupWindow:
			c.breach("keyed request %d sent again %v after its first send", id, c.now-a.sent)
		case r.class.DedupScope == DedupZone && a.server.Zone != srv.Zone,
			r.class.DedupScope == DedupCell && a.server.Cell != srv.Cell:
			c.breach("keyed request %d sent outside its group", id)
		}
	}
	r.attempts = append(r.attempts, openAttempt{server: srv, sent: c.now, out: true})
}

func (c *checker) answer(id RequestID) *openRequest {
	r := c.requests[id]
	if r == nil {
		c.breach("answer to the unknown request %d", id)
		return nil
	}
	if r.ended {
		c.breach("second answer to request %d", id)
	}
	if c.now > r.Expires+c.cfg.ResponseGrace && !r.going {
		c.breach("answer to request %d comes %v late", id, c.now-r.Expires)
	}
	r.ended = true
	return r
}

func (c *checker) Reject(id RequestID, d time.Duration) {
	c.log = append(c.log, fmt.Sprint("refuse ", id, d))
	r := c.answer(id)
	if r == nil || r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupEverywhere {
		return
	}
	for _, a := range r.attempts {
		if a.out || a.status != StatusOverloaded && a.status != StatusConnectFailed && a.status != StatusNotSent {
			c.breach("request %d may have run and is refused", id)
		}
	}
}

func (c *checker) Fail(id RequestID) {
	c.log = append(c.log, fmt.Sprint("fail ", id))
	c.answer(id)
}

func (c *checker) CancelAttempt(id RequestID, attempt int) {
	c.log = append(c.log, fmt.Sprint("cancel ", id, attempt))
	if r := c.requests[id]; r == nil || attempt >= len(r.attempts) {
		c.breach("cancel of attempt %d of %d, which was never made", attempt, id)
	}
	if !c.cfg.CancellationAllowed {
		c.breach("cancel where the site forbids it")
	}
}

func (c *checker) SetTimer(d time.Duration, token string) {
	c.log = append(c.log, fmt.Sprint("timer ", d, token))
	if d > 71*time.Minute || token == "" || len(token) > 64 {
		c.breach("timer of %v named %q", d, token)
	}
	c.timers = append(c.timers, timerEvent{c.now + max(d, c.cfg.TimerResolution), token})
}

func (c *checker) CheckHealth(s EndpointID) {
	c.log = append(c.log, fmt.Sprint("probe ", s))
	if !c.cfg.HealthChecksAllowed {
		c.breach("probe where the site forbids it")
	}
	if _, ok := c.servers[s]; !ok {
		c.breach("probe of the unknown server %s", s)
	}
	c.probes = append(c.probes, s)
}

func (c *checker) WatchEndpoints(on bool) { c.log = append(c.log, fmt.Sprint("watch ", on)) }
func (c *checker) Log(text string)        { c.log = append(c.log, "log "+text) }

// play runs a random legal sequence of events drawn from seed and returns the actions taken.
func play(t *testing.T, seed uint64, steps int) []string {
	rng := rand.New(rand.NewPCG(seed, 7))
	cfg := testConfig()
	cfg.InstanceCount = 1 + rng.IntN(20)
	cfg.InstanceIndex = rng.IntN(cfg.InstanceCount)
	cfg.HealthChecksAllowed, cfg.CancellationAllowed, cfg.HedgingAllowed = rng.IntN(4) > 0, rng.IntN(4) > 0, rng.IntN(3) > 0
	cfg.MaxAttempts = 1 + rng.IntN(5)
	cfg.ConnectionCost, cfg.HandshakeCost = 0.05*float64(rng.IntN(2)), 0.05
	for i := range cfg.Classes {
		cfg.Classes[i].LateWeightFraction = 0.5 * float64(rng.IntN(2))
	}
	b, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	c := &checker{
		t: t, cfg: cfg, classes: map[string]Class{}, servers: map[EndpointID]Endpoint{},
		drained: map[EndpointID]bool{}, requests: map[RequestID]*openRequest{},
	}
	for _, cl := range cfg.Classes {
		c.classes[cl.Name] = cl
	}
	update := func(kind UpdateKind, list []Endpoint) {
		if kind == UpdatePollFailed {
			list = nil
		}
		if kind == UpdateFull || kind == UpdateCached {
			for id := range c.servers {
				c.drained[id] = true
			}
		}
		for _, s := range list {
			c.servers[s.ID], c.drained[s.ID] = s, s.State != Ready
		}
		b.UpdateEndpoints(c.now, kind, list, c)
	}
	draw := func(n int) (list []Endpoint) {
		for range n {
			i := rng.IntN(8)
			s := Endpoint{ID: EndpointID(fmt.Sprint("s", i)), Zone: string(rune('a' + i%2)), Cell: i / 2}
			s.State = EndpointState(max(0, rng.IntN(5)-2))
			if rng.IntN(3) == 0 {
				s.Started = max(1, c.now-time.Duration(rng.IntN(9))*time.Second)
			}
			if !slices.ContainsFunc(list, func(o Endpoint) bool { return o.ID == s.ID }) {
				list = append(list, s)
			}
		}
		return list
	}
	load := func() *LoadReport {
		if rng.IntN(3) == 0 {
			return nil
		}
		return &LoadReport{Queue: float64(rng.IntN(30)) - 1, Latency: 20, ErrorRate: -1}
	}
	settle := func(r *openRequest, i int, status Status) {
		a := &r.attempts[i]
		a.out, a.status = false, status
		if r.going && status != StatusCanceled { // its last byte was never written
			status = StatusConnectFailed
			a.status, r.going = status, false
			r.Expires = max(r.Expires, c.now) // it begins with the last byte
		}
		if status == StatusOK {
			r.ended = true
		}
		b.HandleAttemptResult(c.now, AttemptResult{
			ID: r.ID, Attempt: i, Endpoint: a.server.ID, Status: status, Delay: c.now - a.sent,
			RequestEnded: r.ended, Load: load(),
		}, c)
	}
	update(UpdateCached, draw(rng.IntN(9)))
	var ids []RequestID
	for step := range steps {
		c.now += cfg.TimerResolution * time.Duration(1+rng.IntN(4))
		due := slices.Clone(c.timers)
		c.timers = c.timers[:0]
		for _, e := range due {
			if e.at <= c.now {
				b.HandleTimer(c.now, e.token, c)
			} else {
				c.timers = append(c.timers, e)
			}
		}
		for _, id := range ids { // the host's own time-out at the client's deadline
			r := c.requests[id]
			if r.going {
				continue
			}
			if !r.ended && c.now > r.Expires+cfg.ResponseGrace {
				c.breach("request %d got no answer in time", id)
				return c.log
			}
			for i := range r.attempts {
				if r.attempts[i].out && c.now >= r.Expires {
					settle(r, i, StatusTimeout)
				}
			}
		}
		switch rng.IntN(14) {
		case 12, 13: // a long body begins to go to a server, or ends
			if len(ids) == 0 {
				continue
			}
			r := c.requests[ids[len(ids)-1-rng.IntN(min(len(ids), 8))]]
			out := slices.IndexFunc(r.attempts, func(a openAttempt) bool { return a.out })
			switch {
			case !r.StreamedBody || r.ended || out < 0:
			case !r.used:
				r.used, r.going = true, true
				b.HandleBodyStarted(c.now, r.ID, out)
			case r.going:
				r.going = false
				r.Expires = c.now + time.Duration(1+rng.IntN(900))*time.Millisecond
				r.attempts[out].sent = c.now
				b.HandleBodyFinished(c.now, r.ID, r.Expires, c)
			}
		case 0:
			update(UpdateKind(rng.IntN(4)), draw(rng.IntN(5)))
		case 1, 2, 3, 4:
			name := "unheard-of"
			if k := rng.IntN(len(cfg.Classes) + 1); k < len(cfg.Classes) {
				name = cfg.Classes[k].Name
			}
			cl, ok := c.classes[name]
			if !ok {
				cl = Class{Idempotency: NonIdempotent}
			}
			id := RequestID(step + 1)
			patience := time.Duration(1+rng.IntN(900)) * time.Millisecond
			q := Request{ID: id, Class: name, Expires: c.now + patience, StreamedBody: rng.IntN(4) == 0}
			c.requests[id] = &openRequest{Request: q, class: cl}
			ids = append(ids, id)
			b.HandleRequest(c.now, q, c)
		case 5:
			if len(ids) > 0 {
				r := c.requests[ids[rng.IntN(len(ids))]]
				r.ended = true
				b.HandleClientGone(c.now, r.ID, c)
			}
		case 6, 7:
			if len(c.probes) > 0 {
				p := c.probes[0]
				c.probes = c.probes[1:]
				b.HandleHealthCheck(c.now, HealthCheckResult{Endpoint: p, Status: Status(rng.IntN(8)), Load: load()}, c)
			}
		default:
			if len(ids) == 0 {
				continue
			}
			r := c.requests[ids[len(ids)-1-rng.IntN(min(len(ids), 5))]]
			for i := range r.attempts {
				if r.attempts[i].out {
					settle(r, i, Status(rng.IntN(8)))
					break
				}
			}
		}
		for id, s := range b.endpoints {
			out := 0
			for _, r := range b.requests {
				for _, a := range r.attempts {
					if a.inFlight && a.endpoint == s && !r.bodyInTransfer {
						out++
					}
				}
			}
			if s.inFlight != out {
				c.breach("%s counts %d out, %d are", id, s.inFlight, out)
			}
		}
		if c.failed {
			return c.log
		}
	}
	return c.log
}

// TestRulesOnRandomEvents guards rules 1 to 3 and the wire's obligations on every path.
func TestRulesOnRandomEvents(t *testing.T) {
	for seed := range uint64(300) {
		play(t, seed, 400)
		if t.Failed() {
			t.Fatalf("with seed %d", seed)
		}
	}
}

// TestEqualEventsGiveEqualActions guards against clocks, map order and shared state.
func TestEqualEventsGiveEqualActions(t *testing.T) {
	for seed := range uint64(20) {
		if !slices.Equal(play(t, seed, 400), play(t, seed, 400)) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) { play(t, seed, 400) })
}
