package emulator

import (
	"time"

	"sorrelrudder/policy"
)

// instance is a sidecar: a host of the module.
type instance struct {
	emulation       *Emulation
	index           int
	zone            string
	balancer        *policy.Balancer
	seed            uint64
	requests        map[policy.RequestID]*request
	lastRequest     policy.RequestID
	up              bool
	backends        map[policy.EndpointID]*backend    // by the list that it was told
	notifiedStarts  map[policy.EndpointID]policy.Time // of the servers, as it was told
	idleConnections map[*backend]int                  // connections on which nothing is asked
	watch           *endpointWatch
	deferred        []func()
	handling        bool
	lastHint        map[policy.EndpointID]policy.Time // when it told others of a server

	// Where zones are decided for all.
	endpointList      map[policy.EndpointID]policy.Endpoint // as it was told
	excluded          map[string]bool
	readmitted        map[policy.EndpointID]policy.Time
	startWhenExcluded map[policy.EndpointID]policy.Time // of those it avoids, as the list had their start then
}

// request is a request as an instance has it.
type request struct {
	client     *clientRequest
	instance   *instance
	id         policy.RequestID
	class      policy.Class
	expires    policy.Time
	attempts   []*attempt
	ended      bool
	clientDone bool // the client has its answer, or is gone
}

// attempt is one send of a try.
type attempt struct {
	request     *request
	number      int
	backend     *backend
	sentAt      policy.Time
	finished    bool
	executed    bool
	transmitted bool // its last byte is with the server
}

func newInstance(w *Emulation, ordinal int) (*instance, error) {
	in := &instance{
		emulation: w, index: ordinal, zone: w.scenario.Zones[ordinal%len(w.scenario.Zones)], seed: w.scenario.Seed<<16 + uint64(ordinal),
	}
	return in, in.resetState()
}

// resetState makes a module that knows nothing.
func (in *instance) resetState() error {
	cfg := in.emulation.scenario.Policy
	cfg.InstanceIndex, cfg.InstanceCount, cfg.Zone = in.index, in.emulation.scenario.InstanceCount, in.zone
	cfg.SlowStartMinCapacity, cfg.SlowStartDuration = in.emulation.scenario.SlowStartMinCapacity, in.emulation.scenario.SlowStartDuration
	cfg.Classes = nil
	for _, c := range in.emulation.scenario.Classes {
		cfg.Classes = append(cfg.Classes, c.Class)
	}
	in.seed++
	b, err := policy.New(cfg, in.seed)
	in.balancer, in.requests, in.backends, in.idleConnections, in.watch = b, map[policy.RequestID]*request{}, map[policy.EndpointID]*backend{}, map[*backend]int{}, nil
	in.lastHint, in.notifiedStarts = map[policy.EndpointID]policy.Time{}, map[policy.EndpointID]policy.Time{}
	in.endpointList, in.excluded, in.readmitted = map[policy.EndpointID]policy.Endpoint{}, nil, map[policy.EndpointID]policy.Time{}
	in.startWhenExcluded = map[policy.EndpointID]policy.Time{}
	return err
}

// handle hands the module one event, and those that its actions gave rise to.
func (in *instance) handle(f func(now policy.Time)) {
	if !in.up {
		return
	}
	if in.handling {
		in.deferred = append(in.deferred, func() { f(in.emulation.now) })
		return
	}
	in.handling = true
	f(in.emulation.now)
	for len(in.deferred) > 0 {
		next := in.deferred
		in.deferred = nil
		for _, g := range next {
			g()
		}
	}
	in.handling = false
}

// start starts the process with the list as it was at the day's start, which may be old.
func (in *instance) start() {
	in.up = true
	old := in.emulation.discovery.changes
	var known []policy.Endpoint
	for _, c := range old {
		if c.revision == 0 {
			known = append(known, c.entry)
		}
	}
	if in.emulation.scenario.Sharing.EndpointList && in.emulation.Elapsed() > in.emulation.scenario.StartupWindow {
		known = in.emulation.discovery.endpoints()
	}
	in.receiveUpdate(policy.UpdateCached, known)
	in.importLearnedState()
}

// RestartInstances kills the instances that match and starts them anew after down; clients of one that is down are told nothing and try
// again.
func (w *Emulation) RestartInstances(match func(ordinal int) bool, down time.Duration) {
	for _, in := range w.instances {
		if !match(in.index) || !in.up {
			continue
		}
		in.up = false
		if in.watch != nil {
			in.watch.canceled = true
		}
		for s, n := range in.idleConnections {
			s.connections -= n
		}
		var open []*request
		for id := policy.RequestID(1); id <= in.lastRequest; id++ {
			if t := in.requests[id]; t != nil {
				open = append(open, t)
			}
		}
		for _, t := range open {
			for _, a := range t.attempts {
				if !a.finished {
					a.finished = true
					a.backend.connections--
				}
			}
			if !t.clientDone {
				t.clientDone, t.ended = true, true
				w.observer.instanceKilled(t)
				t.client.handleAnswer(w, answerNone, 0)
			}
		}
		if err := in.resetState(); err != nil {
			panic(err) // the same configuration was taken at the start
		}
		w.after(down, in.start)
	}
}

// receiveUpdate takes a message about the list.
func (in *instance) receiveUpdate(kind policy.UpdateKind, entries []policy.Endpoint) {
	in.handle(func(now policy.Time) {
		in.emulation.observer.endpointsUpdated(in, kind, entries)
		if kind != policy.UpdateDelta {
			clear(in.backends)
		}
		for _, e := range entries {
			in.notifiedStarts[e.ID] = e.Started
			var at *backend
			for _, s := range in.emulation.backends {
				if policy.EndpointID(s.id) == e.ID && (at == nil || !s.stopped) {
					at = s
				}
			}
			if e.State == policy.Removed {
				delete(in.backends, e.ID)
			} else {
				in.backends[e.ID] = at
			}
		}
		in.balancer.UpdateEndpoints(now, kind, in.filterUpdate(kind, entries), in)
	})
}

// watchFailed takes the end of a call or of a watch.
func (in *instance) watchFailed() {
	in.handle(func(now policy.Time) {
		in.watch = nil
		in.balancer.UpdateEndpoints(now, policy.UpdatePollFailed, nil, in)
	})
}

// receive takes a request whose client waits so long.
func (in *instance) receive(q *clientRequest, wait time.Duration) {
	if !in.up {
		in.emulation.after(in.emulation.scenario.SameZoneDelay, func() { q.handleAnswer(in.emulation, answerNone, 0) })
		return
	}
	in.lastRequest++
	t := &request{client: q, instance: in, id: in.lastRequest, class: q.class.Class, expires: in.emulation.now + wait}
	in.requests[t.id] = t
	in.emulation.observer.requestReceived(t)
	in.emulation.after(wait, func() {
		if !t.clientDone { // the client has left
			t.clientDone = true
			q.handleAnswer(in.emulation, answerNone, 0)
			in.emulation.observer.clientTimedOut(t)
		}
	})
	in.handle(func(now policy.Time) {
		in.balancer.HandleRequest(now, policy.Request{ID: t.id, Class: q.class.Name, Expires: t.expires, ExpectedWork: q.work}, in)
	})
}

func (in *instance) forget(t *request) {
	if !t.ended {
		return
	}
	for _, a := range t.attempts {
		if !a.finished {
			return
		}
	}
	delete(in.requests, t.id)
}

// answer gives the client the final answer.
func (t *request) answer(how int, retryAfter time.Duration) {
	t.ended = true
	t.instance.emulation.observer.requestAnswered(t, how)
	switch how {
	case answerRejected:
		t.instance.emulation.counts().Rejected++
	case answerFailed:
		t.instance.emulation.counts().Failed++
	}
	if !t.clientDone {
		t.clientDone = true
		t.client.handleAnswer(t.instance.emulation, how, retryAfter)
	}
}

// delayTo is the time one way between the instance and a server.
func (in *instance) delayTo(s *backend) time.Duration {
	if s.zone == in.zone {
		return in.emulation.scenario.SameZoneDelay
	}
	return in.emulation.scenario.CrossZoneDelay
}

// connect calls then once there is a connection to s, with whether there is.
func (in *instance) connect(s *backend, then func(up bool)) {
	w := in.emulation
	if in.idleConnections[s] > 0 && !s.stopped {
		in.idleConnections[s]--
		w.after(0, func() { then(true) })
		return
	}
	w.counts().Dials++
	switch way := in.delayTo(s); {
	case s.silent || s.collapsed || s.partitioned:
		w.after(w.scenario.Policy.DialTimeout, func() { then(false) })
	case s.stopped, w.scenario.MaxConnections > 0 && s.connections >= w.scenario.MaxConnections:
		w.after(2*way, func() { then(false) })
	default:
		s.connections++
		w.after(2*way+w.scenario.HandshakeDuration, func() { then(true) })
	}
}

// finish tells the module the end of an attempt.
func (in *instance) finish(a *attempt, st policy.Status) {
	if a.finished {
		return
	}
	a.finished = true
	if in.emulation.onAttemptFinished != nil {
		in.emulation.onAttemptFinished(a, st)
	}
	switch st {
	case policy.StatusConnectFailed:
		in.emulation.counts().ConnectFailures++
	case policy.StatusTimeout:
		in.emulation.counts().Timeouts++
	case policy.StatusApplicationError:
		in.emulation.counts().ApplicationErrors++
	case policy.StatusOverloaded:
		in.emulation.counts().Overloaded++
	}
	if st != policy.StatusConnectFailed || a.transmitted {
		if st == policy.StatusOK || st == policy.StatusApplicationError || st == policy.StatusOverloaded {
			in.idleConnections[a.backend]++
		} else {
			a.backend.connections--
		}
	}
	in.handle(func(now policy.Time) {
		t := a.request
		if st == policy.StatusOK && !t.ended {
			t.answer(answerServed, 0)
		}
		in.emulation.observer.attemptFinished(a, st)
		defer in.shareFailure(now, a.backend, st)
		in.balancer.HandleAttemptResult(now, policy.AttemptResult{ID: t.id, Attempt: a.number, Endpoint: policy.EndpointID(a.backend.id), Status: st, Latency: now - a.sentAt, RequestEnded: t.ended}, in)
		in.forget(t)
	})
}

// respond brings the answer to an attempt.
func (a *attempt) respond(w *Emulation, st policy.Status) {
	in := a.request.instance
	if st == policy.StatusOK && w.dropFraction > 0 && w.rng.Float64() < w.dropFraction {
		return
	}
	w.after(in.delayTo(a.backend), func() { in.finish(a, st) })
}

// resetConnections breaks what the instance has with a server whose process has ended.
func (in *instance) resetConnections(s *backend) {
	delete(in.idleConnections, s)
	for id := policy.RequestID(1); id <= in.lastRequest; id++ {
		if t := in.requests[id]; t != nil {
			for _, a := range t.attempts {
				if a.backend == s && !a.finished && a.transmitted {
					in.emulation.after(in.delayTo(s), func() { in.finish(a, policy.StatusReset) })
				}
			}
		}
	}
}

// The methods of policy.Actions.

func (in *instance) StartAttempt(id policy.RequestID, to policy.EndpointID, timeout time.Duration) {
	t, s := in.requests[id], in.backends[to]
	if t == nil {
		in.emulation.observer.violation("1: %d sent something of a request that it has not", in.index)
		return
	}
	a := &attempt{request: t, number: len(t.attempts), backend: s, sentAt: in.emulation.now}
	in.emulation.observer.attemptStarted(a, to)
	t.attempts = append(t.attempts, a)
	sec := in.emulation.counts()
	sec.Attempts++
	if a.number > 0 {
		sec.Retries++
	}
	if s == nil {
		a.finished = true
		in.deferred = append(in.deferred, func() {
			in.balancer.HandleAttemptResult(in.emulation.now, policy.AttemptResult{ID: id, Attempt: a.number, Endpoint: to, Status: policy.StatusNotSent, RequestEnded: t.ended}, in)
			in.forget(t)
		})
		return
	}
	if s.capacityFraction(in.emulation) < 1 {
		sec.WarmingAttempts++
	}
	if s.zone != in.zone {
		sec.CrossZoneAttempts++
	}
	in.emulation.after(timeout, func() { in.finish(a, policy.StatusTimeout) })
	in.connect(s, func(up bool) {
		switch {
		case !up:
			in.finish(a, policy.StatusConnectFailed)
		case a.finished: // given up meanwhile
			in.idleConnections[s]++
		default:
			a.transmitted = true
			in.emulation.after(in.delayTo(s), func() { s.receive(in.emulation, a) })
			if in.emulation.resetFraction > 0 && in.emulation.rng.Float64() < in.emulation.resetFraction {
				in.emulation.after(2*in.delayTo(s), func() { in.finish(a, policy.StatusReset) })
			}
		}
	})
}

func (in *instance) Reject(id policy.RequestID, retryAfter time.Duration) {
	if t := in.requests[id]; t != nil {
		t.answer(answerRejected, retryAfter)
		in.deferred = append(in.deferred, func() { in.forget(t) })
	}
}

func (in *instance) Fail(id policy.RequestID) {
	if t := in.requests[id]; t != nil {
		t.answer(answerFailed, 0)
		in.deferred = append(in.deferred, func() { in.forget(t) })
	}
}

func (in *instance) CancelAttempt(id policy.RequestID, n int) {
	if t := in.requests[id]; t != nil && n < len(t.attempts) {
		a := t.attempts[n]
		in.deferred = append(in.deferred, func() { in.finish(a, policy.StatusCanceled) })
	}
}

func (in *instance) SetTimer(after time.Duration, token string) {
	b := in.balancer
	in.emulation.after(after, func() {
		if in.balancer == b { // else the process that asked for it has ended
			in.handle(func(now policy.Time) { b.HandleTimer(now, token, in) })
		}
	})
}

func (in *instance) CheckHealth(to policy.EndpointID) {
	s := in.backends[to]
	in.emulation.counts().HealthChecks++
	b := in.balancer
	answer := func(st policy.Status, l *policy.LoadReport) {
		if in.balancer == b {
			in.handle(func(now policy.Time) {
				in.balancer.HandleHealthCheck(now, policy.HealthCheckResult{Endpoint: to, Status: st, Load: l}, in)
				in.shareFailure(now, s, st)
				in.shareLoadReport(to, st, l)
			})
		}
	}
	if s == nil {
		in.deferred = append(in.deferred, func() { answer(policy.StatusNotSent, nil) })
		return
	}
	in.connect(s, func(up bool) {
		if !up {
			answer(policy.StatusConnectFailed, nil)
			return
		}
		in.emulation.after(in.delayTo(s), func() {
			if s.unreachable() {
				in.emulation.after(400*time.Millisecond, func() { s.connections--; answer(policy.StatusTimeout, nil) })
				return
			}
			queue := s.reportedQueueLength(in.emulation)
			in.emulation.after(in.delayTo(s), func() {
				in.idleConnections[s]++
				answer(policy.StatusOK, &policy.LoadReport{Queue: queue, InFlight: -1, Latency: -1, ErrorRate: -1})
			})
		})
	})
}

func (in *instance) WatchEndpoints(on bool) {
	if in.watch != nil {
		in.watch.canceled = true
		in.watch = nil
	}
	if on {
		in.watch = in.emulation.discovery.watch(in)
	}
}

func (in *instance) Log(string) {}
