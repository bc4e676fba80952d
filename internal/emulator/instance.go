package emulator

import (
	"time"

	"sorrelrudder/policy"
)

// instance is a process that runs a balancer. It implements policy.Actions.
type instance struct {
	emulation *Emulation
	index     int
	zone      string
	up        bool
	seed      uint64 // seed of the balancer; incremented for each new one
	balancer  *policy.Balancer

	// The balancer is not reentrant. Immediate consequences of its actions are deferred until the event has been handled.
	handling bool
	deferred []func()

	requests    map[policy.RequestID]*request
	lastRequest policy.RequestID

	watch           *endpointWatch                    // nil: no watch is open
	backends        map[policy.EndpointID]*backend    // backends of the received endpoint list
	notifiedStarts  map[policy.EndpointID]policy.Time // start times of the backends in the received list
	idleConnections map[*backend]int
	lastHint        map[policy.EndpointID]policy.Time // time of the last report of a backend to the other instances

	exclusions exclusions
}

// request is a client's attempt at an instance.
type request struct {
	client     *clientRequest
	instance   *instance
	id         policy.RequestID
	class      policy.Class
	expires    policy.Time
	attempts   []*attempt
	ended      bool // answered by the balancer, or the instance was killed
	clientDone bool // the client has received an answer or has timed out
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

// resetState replaces the in-memory state of the process, including its balancer.
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

// start starts the process with a cached endpoint list. This is the list at the start of the run or, if lists are shared and other
// instances have been running for a while, the current one.
func (in *instance) start() {
	in.up = true
	cached := in.emulation.discovery.initialEndpoints()
	if in.emulation.scenario.Sharing.EndpointList && in.startsLate() {
		cached = in.emulation.discovery.endpoints()
	}
	in.receiveUpdate(policy.UpdateCached, cached)
	in.importLearnedState()
}

// startsLate reports whether the startup window is over, so that other instances have been running for a while.
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

// openRequests returns the requests in the order of their arrival.
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

// handle passes an event to the balancer and then runs the functions that its actions have deferred. It does nothing while the process is
// down.
func (in *instance) handle(event func(now policy.Time)) {
	if !in.up {
		return
	}
	if in.handling {
		in.deferred = append(in.deferred, func() { event(in.emulation.scheduler.Now()) })
		return
	}
	in.handling = true
	event(in.emulation.scheduler.Now())
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

// receive handles a client's attempt, which the client abandons after timeout.
func (in *instance) receive(client *clientRequest, timeout time.Duration) {
	e := in.emulation
	if !in.up {
		e.scheduler.After(e.scenario.SameZoneDelay, func() { client.handleAnswer(e, answerNone, 0) })
		return
	}
	in.lastRequest++
	r := &request{client: client, instance: in, id: in.lastRequest, class: client.class.Class, expires: e.scheduler.Now() + timeout}
	in.requests[r.id] = r
	e.observer.requestReceived(r)
	e.scheduler.After(timeout, func() {
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

// answer ends a request and sends the final answer to the client, unless the client has timed out.
func (r *request) answer(outcome answer, retryAfter time.Duration) {
	e := r.instance.emulation
	r.ended = true
	e.observer.requestAnswered(r, outcome)
	switch outcome {
	case answerRejected:
		e.counts().Rejected++
	case answerFailed:
		e.counts().Failed++
	}
	if !r.clientDone {
		r.clientDone = true
		r.client.handleAnswer(e, outcome, retryAfter)
	}
}

// forget deletes a request once it has been answered and all its attempts have finished.
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
