package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// eventDriver passes a random valid sequence of events to a Balancer, and checks its actions with a checker.
type eventDriver struct {
	*checker
	b   *Balancer
	rng *rand.Rand
	ids []RequestID // in order of arrival
}

// eventsPerRun is the number of events of runRandomEvents.
const eventsPerRun = 400

// runRandomEvents runs the sequence of events for seed and returns the actions.
func runRandomEvents(t *testing.T, seed uint64) []string {
	rng := rand.New(rand.NewPCG(seed, 7))
	cfg := randomConfig(rng)
	b, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	c := &checker{
		t: t, cfg: cfg, classes: map[string]Class{}, endpoints: map[EndpointID]Endpoint{},
		notReady: map[EndpointID]bool{}, requests: map[RequestID]*openRequest{},
	}
	for _, cl := range cfg.Classes {
		c.classes[cl.Name] = cl
	}
	p := &eventDriver{checker: c, b: b, rng: rng}
	p.update(UpdateCached, p.randomEntries(rng.IntN(9)))
	for step := range eventsPerRun {
		c.now += cfg.TimerResolution * time.Duration(1+rng.IntN(4))
		p.fireTimers()
		if !p.expireAttempts() {
			return c.log
		}
		p.randomEvent(RequestID(step + 1))
		p.checkInFlight()
		if c.failed {
			return c.log
		}
	}
	return c.log
}

// randomConfig returns a Config with random settings.
func randomConfig(rng *rand.Rand) Config {
	cfg := testConfig()
	cfg.InstanceCount = 1 + rng.IntN(20)
	cfg.InstanceIndex = rng.IntN(cfg.InstanceCount)
	cfg.HealthChecksAllowed, cfg.CancellationAllowed, cfg.HedgingAllowed = rng.IntN(4) > 0, rng.IntN(4) > 0, rng.IntN(3) > 0
	cfg.MaxAttempts = 1 + rng.IntN(5)
	cfg.ConnectionCost, cfg.HandshakeCost = 0.05*float64(rng.IntN(2)), 0.05
	for i := range cfg.Classes {
		cfg.Classes[i].LateWeightFraction = 0.5 * float64(rng.IntN(2))
	}
	return cfg
}

// update passes an update of the endpoint list to the Balancer.
func (p *eventDriver) update(kind UpdateKind, list []Endpoint) {
	if kind == UpdatePollFailed {
		list = nil
	}
	if kind == UpdateFull || kind == UpdateCached {
		for id := range p.endpoints {
			p.notReady[id] = true
		}
	}
	for _, e := range list {
		p.endpoints[e.ID], p.notReady[e.ID] = e, e.State != Ready
	}
	p.b.UpdateEndpoints(p.now, kind, list, p.checker)
}

// randomEntries returns at most n random entries of eight endpoints.
func (p *eventDriver) randomEntries(n int) (list []Endpoint) {
	for range n {
		i := p.rng.IntN(8)
		e := Endpoint{ID: EndpointID(fmt.Sprint("s", i)), Zone: string(rune('a' + i%2)), Cell: i / 2}
		e.State = EndpointState(max(0, p.rng.IntN(5)-2))
		if p.rng.IntN(3) == 0 {
			e.Started = max(1, p.now-time.Duration(p.rng.IntN(9))*time.Second)
		}
		if !slices.ContainsFunc(list, func(o Endpoint) bool { return o.ID == e.ID }) {
			list = append(list, e)
		}
	}
	return list
}

func (p *eventDriver) randomLoad() *LoadReport {
	if p.rng.IntN(3) == 0 {
		return nil
	}
	return &LoadReport{Queue: float64(p.rng.IntN(30)) - 1, Latency: 20, ErrorRate: -1}
}

// endAttempt ends an attempt of r with a status.
func (p *eventDriver) endAttempt(r *openRequest, i int, status Status) {
	a := &r.attempts[i]
	a.inFlight, a.status = false, status
	if r.bodyInTransfer && status != StatusCanceled { // the body was not sent completely
		status = StatusConnectFailed
		a.status, r.bodyInTransfer = status, false
		r.Expires = max(r.Expires, p.now) // the deadline for the response starts with the last byte of the body
	}
	if status == StatusOK {
		r.ended = true
	}
	p.b.HandleAttemptResult(p.now, AttemptResult{
		ID: r.ID, Attempt: i, Endpoint: a.endpoint.ID, Status: status, Latency: p.now - a.sentAt,
		RequestEnded: r.ended, Load: p.randomLoad(),
	}, p.checker)
}

// fireTimers fires the timers that are due.
func (p *eventDriver) fireTimers() {
	due := slices.Clone(p.timers)
	p.timers = p.timers[:0]
	for _, e := range due {
		if e.at <= p.now {
			p.b.HandleTimer(p.now, e.token, p.checker)
		} else {
			p.timers = append(p.timers, e)
		}
	}
}

// expireAttempts ends attempts at the deadlines of their clients, as a host does. It reports false if a request was not ended in time.
func (p *eventDriver) expireAttempts() bool {
	for _, id := range p.ids {
		r := p.requests[id]
		if r.bodyInTransfer {
			continue
		}
		if !r.ended && p.now > r.Expires+p.cfg.ResponseGrace {
			p.reportViolation("request %d was not ended within ResponseGrace after its deadline", id)
			return false
		}
		for i := range r.attempts {
			if r.attempts[i].inFlight && p.now >= r.Expires {
				p.endAttempt(r, i, StatusTimeout)
			}
		}
	}
	return true
}

// randomEvent passes one random event to the Balancer. A new request gets id.
func (p *eventDriver) randomEvent(id RequestID) {
	switch p.rng.IntN(14) {
	case 12, 13:
		p.advanceBody()
	case 0:
		p.update(UpdateKind(p.rng.IntN(4)), p.randomEntries(p.rng.IntN(5)))
	case 1, 2, 3, 4:
		p.sendRequest(id)
	case 5:
		if len(p.ids) > 0 {
			r := p.requests[p.ids[p.rng.IntN(len(p.ids))]]
			r.ended = true
			p.b.HandleRequestAbandoned(p.now, r.ID, p.checker)
		}
	case 6, 7:
		if len(p.healthChecks) > 0 {
			id := p.healthChecks[0]
			p.healthChecks = p.healthChecks[1:]
			p.b.HandleHealthCheck(p.now, HealthCheckResult{Endpoint: id, Status: Status(p.rng.IntN(8)), Load: p.randomLoad()}, p.checker)
		}
	default:
		p.endRandomAttempt()
	}
}

// advanceBody starts or ends the transfer of the streamed body of a recent request.
func (p *eventDriver) advanceBody() {
	if len(p.ids) == 0 {
		return
	}
	r := p.requests[p.ids[len(p.ids)-1-p.rng.IntN(min(len(p.ids), 8))]]
	inFlight := slices.IndexFunc(r.attempts, func(a openAttempt) bool { return a.inFlight })
	switch {
	case !r.StreamedBody || r.ended || inFlight < 0:
	case !r.bodyConsumed:
		r.bodyConsumed, r.bodyInTransfer = true, true
		p.b.HandleBodyStarted(p.now, r.ID, inFlight)
	case r.bodyInTransfer:
		r.bodyInTransfer = false
		r.Expires = p.now + time.Duration(1+p.rng.IntN(900))*time.Millisecond
		r.attempts[inFlight].sentAt = p.now
		p.b.HandleBodyFinished(p.now, r.ID, r.Expires, p.checker)
	}
}

// sendRequest passes a request of a known or an unknown class to the Balancer.
func (p *eventDriver) sendRequest(id RequestID) {
	name := "unheard-of"
	if k := p.rng.IntN(len(p.cfg.Classes) + 1); k < len(p.cfg.Classes) {
		name = p.cfg.Classes[k].Name
	}
	cl, ok := p.classes[name]
	if !ok {
		cl = Class{Idempotency: NonIdempotent}
	}
	timeout := time.Duration(1+p.rng.IntN(900)) * time.Millisecond
	q := Request{ID: id, Class: name, Expires: p.now + timeout, StreamedBody: p.rng.IntN(4) == 0}
	p.requests[id] = &openRequest{Request: q, class: cl}
	p.ids = append(p.ids, id)
	p.b.HandleRequest(p.now, q, p.checker)
}

// endRandomAttempt ends the first attempt in flight of a recent request with a random status.
func (p *eventDriver) endRandomAttempt() {
	if len(p.ids) == 0 {
		return
	}
	r := p.requests[p.ids[len(p.ids)-1-p.rng.IntN(min(len(p.ids), 5))]]
	for i := range r.attempts {
		if r.attempts[i].inFlight {
			p.endAttempt(r, i, Status(p.rng.IntN(8)))
			return
		}
	}
}

// checkInFlight compares the in-flight count of each endpoint with the attempts of all requests.
func (p *eventDriver) checkInFlight() {
	for id, e := range p.b.endpoints {
		inFlight := 0
		for _, r := range p.b.requests {
			for _, a := range r.attempts {
				if a.inFlight && a.endpoint == e && !r.bodyInTransfer {
					inFlight++
				}
			}
		}
		if e.inFlight != inFlight {
			p.reportViolation("endpoint %s counts %d attempts in flight, its requests have %d", id, e.inFlight, inFlight)
		}
	}
}

// TestRulesOnRandomEvents guards against violations of the rules on any path: a forbidden repeat, a false rejection, or a request that is
// not ended exactly once and in time.
func TestRulesOnRandomEvents(t *testing.T) {
	for seed := range uint64(300) {
		runRandomEvents(t, seed)
		if t.Failed() {
			t.Fatalf("violation with seed %d", seed)
		}
	}
}

// TestEqualEventsGiveEqualActions guards against decisions that depend on a clock, the order of a map or shared state.
func TestEqualEventsGiveEqualActions(t *testing.T) {
	for seed := range uint64(20) {
		if !slices.Equal(runRandomEvents(t, seed), runRandomEvents(t, seed)) {
			t.Fatalf("seed %d: two runs have different actions", seed)
		}
	}
}

// FuzzRules checks the rules on random events for arbitrary seeds.
func FuzzRules(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) { runRandomEvents(t, seed) })
}
