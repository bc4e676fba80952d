package emulator

import (
	"time"

	"sorrelrudder/policy"
)

// instance is a process that hosts a balancer. It implements policy.Actions.
type instance struct {
	emulation *Emulation
	index     int
	zone      string
	up        bool
	seed      uint64 // of the next balancer
	balancer  *policy.Balancer

	// The balancer is not reentrant: what its actions cause at once is deferred until the event is handled.
	handling bool
	deferred []func()

	requests    map[policy.RequestID]*request
	lastRequest policy.RequestID

	watch           *endpointWatch                    // nil: none is open
	backends        map[policy.EndpointID]*backend    // of the endpoint list that it was notified of
	notifiedStarts  map[policy.EndpointID]policy.Time // of the backends
	idleConnections map[*backend]int
	lastHint        map[policy.EndpointID]policy.Time // when it last reported a backend to the others

	exclusions exclusions
}

// request is a client's attempt, as an instance sees it.
type request struct {
	client     *clientRequest
	instance   *instance
	id         policy.RequestID
	class      policy.Class
	expires    policy.Time
	attempts   []*attempt
	ended      bool // by the balancer, or with the instance
	clientDone bool // the client has its answer, or has timed out
}

func newInstance(e *Emulation, index int) (*instance, error) {
	in := &instance{
		emulation: e,
		index:     index,
		zone:      e.scenario.Zones[index%len(e.scenario.Zones)],
		seed:      e.scenario.Seed<<16 + uint64(index),
	}
	return in, in.resetState()
}

// resetState replaces all that the process holds in memory, its balancer included.
func (in *instance) resetState() error {
	in.seed++
	balancer, err := policy.New(in.config(), in.seed)
	in.balancer = balancer
	in.requests = map[policy.RequestID]*request{}
	in.watch = nil
	in.backends = map[policy.EndpointID]*backend{}
	in.notifiedStarts = map[policy.EndpointID]policy.Time{}
	in.idleConnections = map[*backend]int{}
	in.lastHint = map[policy.EndpointID]policy.Time{}
	in.exclusions = newExclusions()
	return err
}

// config returns the configuration of the instance's balancer.
func (in *instance) config() policy.Config {
	scenario := &in.emulation.scenario
	cfg := scenario.Policy
	cfg.InstanceIndex = in.index
	cfg.InstanceCount = scenario.InstanceCount
	cfg.Zone = in.zone
	cfg.SlowStartMinCapacity = scenario.SlowStartMinCapacity
	cfg.SlowStartDuration = scenario.SlowStartDuration
	cfg.Classes = nil
	for _, class := range scenario.Classes {
		cfg.Classes = append(cfg.Classes, class.Class)
	}
	return cfg
}

// start starts the process with a cached endpoint list: that of the start of the run, unless lists are shared.
func (in *instance) start() {
	in.up = true
	cached := in.emulation.discovery.initialEndpoints()
	if in.emulation.scenario.Sharing.EndpointList && in.startsLate() {
		cached = in.emulation.discovery.endpoints()
	}
	in.receiveUpdate(policy.UpdateCached, cached)
	in.importLearnedState()
}

// startsLate reports whether other instances have been running for a while.
func (in *instance) startsLate() bool {
	return in.emulation.Elapsed() > in.emulation.scenario.StartupWindow
}

// kill ends the process. Its clients get no answer.
func (in *instance) kill() error {
	in.up = false
	if in.watch != nil {
		in.watch.canceled = true
	}
	for target, idle := range in.idleConnections {
		target.connections -= idle
	}
	for _, open := range in.openRequests() {
		open.abandon()
	}
	return in.resetState()
}

// openRequests returns the requests in the order in which they came.
func (in *instance) openRequests() []*request {
	var open []*request
	for id := policy.RequestID(1); id <= in.lastRequest; id++ {
		if r := in.requests[id]; r != nil {
			open = append(open, r)
		}
	}
	return open
}

// abandon ends a request whose process is killed.
func (r *request) abandon() {
	for _, a := range r.attempts {
		if !a.finished {
			a.finished = true
			a.backend.connections--
		}
	}
	if !r.clientDone {
		r.clientDone, r.ended = true, true
		r.instance.emulation.observer.instanceKilled(r)
		r.client.handleAnswer(r.instance.emulation, answerNone, 0)
	}
}

// handle passes an event to the balancer, and then runs what its actions have deferred. It does nothing while the process is down.
func (in *instance) handle(event func(now policy.Time)) {
	if !in.up {
		return
	}
	if in.handling {
		in.deferred = append(in.deferred, func() { event(in.emulation.now) })
		return
	}
	in.handling = true
	event(in.emulation.now)
	for len(in.deferred) > 0 {
		next := in.deferred
		in.deferred = nil
		for _, run := range next {
			run()
		}
	}
	in.handling = false
}

// receiveUpdate handles an update of the endpoint list.
func (in *instance) receiveUpdate(kind policy.UpdateKind, endpoints []policy.Endpoint) {
	in.handle(func(now policy.Time) {
		in.emulation.observer.endpointsUpdated(in, kind, endpoints)
		if kind != policy.UpdateDelta {
			clear(in.backends)
		}
		for _, endpoint := range endpoints {
			in.notifiedStarts[endpoint.ID] = endpoint.Started
			if endpoint.State == policy.Removed {
				delete(in.backends, endpoint.ID)
			} else {
				in.backends[endpoint.ID] = in.emulation.backendByID(endpoint.ID)
			}
		}
		in.balancer.UpdateEndpoints(now, kind, in.filterUpdate(kind, endpoints), in)
	})
}

// watchFailed handles a watch request that was rejected, or the end of a watch.
func (in *instance) watchFailed() {
	in.handle(func(now policy.Time) {
		in.watch = nil
		in.balancer.UpdateEndpoints(now, policy.UpdatePollFailed, nil, in)
	})
}

// receive handles a client's attempt that times out after timeout.
func (in *instance) receive(client *clientRequest, timeout time.Duration) {
	e := in.emulation
	if !in.up {
		e.after(e.scenario.SameZoneDelay, func() { client.handleAnswer(e, answerNone, 0) })
		return
	}
	in.lastRequest++
	r := &request{client: client, instance: in, id: in.lastRequest, class: client.class.Class, expires: e.now + timeout}
	in.requests[r.id] = r
	e.observer.requestReceived(r)
	e.after(timeout, func() {
		if !r.clientDone {
			r.clientDone = true
			client.handleAnswer(e, answerNone, 0)
			e.observer.clientTimedOut(r)
		}
	})
	in.handle(func(now policy.Time) {
		in.balancer.HandleRequest(now, policy.Request{ID: r.id, Class: client.class.Name, Expires: r.expires, ExpectedWork: client.work}, in)
	})
}

// answer gives the client the final answer, unless it has timed out.
func (r *request) answer(how answer, retryAfter time.Duration) {
	e := r.instance.emulation
	r.ended = true
	e.observer.requestAnswered(r, how)
	switch how {
	case answerRejected:
		e.counts().Rejected++
	case answerFailed:
		e.counts().Failed++
	}
	if !r.clientDone {
		r.clientDone = true
		r.client.handleAnswer(e, how, retryAfter)
	}
}

// forget drops a request that has ended, with all its attempts.
func (in *instance) forget(r *request) {
	if !r.ended {
		return
	}
	for _, a := range r.attempts {
		if !a.finished {
			return
		}
	}
	delete(in.requests, r.id)
}
