package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// Balancer makes the decisions of one instance. Its methods must be called in order of time. A Balancer is not safe for concurrent use.
type Balancer struct {
	cfg Config
	rng *rand.Rand

	endpoints     map[EndpointID]*endpoint
	endpointOrder                        // of the ready endpoints
	requests      map[RequestID]*request // not ended, or with attempts in flight
	queued        []*request             // requests that wait for a load sample, in order of arrival
	classes       map[string]*classState

	// The rules and their learned state.
	poll               endpointPoll
	subsetRule         subsetRule
	jbt                joinBelowThreshold
	healthChecks       healthCheckBudget
	hedges             hedgeBudget
	retries            retryPolicy
	outliers           outlierPolicy
	slowStart          slowStart
	latency            latencyModel
	machineTypes       machineTypes
	capacity           capacityEstimator
	maxPriorityDensity float64 // highest of all classes
}

// New returns a Balancer for cfg. Equal seeds and events give equal actions. The returned error wraps ErrInvalidConfig.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	const pcgStream = 0x9e3779b97f4a7c15 // arbitrary stream selector of the PCG generator
	b := &Balancer{
		cfg:                cfg,
		rng:                rand.New(rand.NewPCG(seed, pcgStream)),
		endpoints:          map[EndpointID]*endpoint{},
		requests:           map[RequestID]*request{},
		classes:            map[string]*classState{},
		poll:               newEndpointPoll(cfg),
		subsetRule:         newSubsetRule(cfg),
		jbt:                newJoinBelowThreshold(cfg.Classes),
		healthChecks:       newHealthCheckBudget(cfg.HealthCheckCost),
		retries:            newRetryPolicy(cfg),
		outliers:           newOutlierPolicy(cfg),
		slowStart:          slowStart{minCapacity: cfg.SlowStartMinCapacity, duration: cfg.SlowStartDuration},
		machineTypes:       machineTypes{},
		maxPriorityDensity: highestPriorityDensity(cfg.Classes),
	}
	for _, c := range cfg.Classes {
		b.classes[c.Name] = &classState{Class: c}
	}
	return b, nil
}

// HandleRequest handles the arrival of a client request. The request is sent to an endpoint, waits for a load sample, or is rejected or
// failed.
func (b *Balancer) HandleRequest(now Time, q Request, act Actions) {
	r := b.addRequest(now, q)
	b.healthChecks.recordRequest(now)
	r.startedAt = r.class.estimateStart(now, q, b.cfg.TimerResolution)
	r.setDeadlines()
	r.latencyLimit = b.latencyLimit(now, r)
	if r.finalDeadline <= now+b.cfg.TimerResolution {
		b.finishRequest(now, r, endedDeadline, act)
		return
	}
	act.SetTimer(r.finalDeadline-now, timerToken(q.ID))
	b.healthChecks.earn(arrivalCreditShare)
	b.checkEjected(now, act)
	active := b.activeSubset(now)
	if !b.cfg.HealthChecksAllowed || !b.healthChecks.canAffordRound() || len(active) == 0 {
		b.admitOrReject(now, r, active, act)
		return
	}
	r.sampled = b.startSamplingRound(now, r, active, act)
	if b.hasMarkFor(now, r, active) {
		b.startOrAwaitEndpoint(now, r, active, act)
		return
	}
	b.enqueue(now, r, act)
}

// addRequest registers a request together with the attempts made elsewhere. A request of an unknown class counts as not idempotent,
// and its latency objective is the time until it expires, so that any response before then is of use.
func (b *Balancer) addRequest(now Time, q Request) *request {
	c := b.classes[q.Class]
	if c == nil {
		remaining := q.Expires - now
		c = &classState{Class: Class{Name: q.Class, Idempotency: NonIdempotent, LatencyObjective: remaining, Deadline: remaining}}
	}
	r := &request{Request: q, class: c, timerResolution: b.cfg.TimerResolution}
	for _, p := range q.PriorAttempts {
		sentAt := now + p.DedupRemaining - c.DedupWindow
		r.attempts = append(r.attempts, attempt{zone: p.Zone, cell: p.Cell, notExecuted: p.NotExecuted, sentAt: sentAt})
	}
	b.requests[q.ID] = r
	return r
}

// HandleHealthCheck handles the result of a health check. A result of an unknown endpoint is ignored.
func (b *Balancer) HandleHealthCheck(now Time, result HealthCheckResult, act Actions) {
	e := b.endpoints[result.Endpoint]
	if e == nil {
		return
	}
	e.healthChecksInFlight = max(0, e.healthChecksInFlight-1)
	unresponsive := b.isUnresponsive(now, e)
	e.recordContact(now, result.Status)
	if result.Status != StatusOK {
		b.recordFailure(now, e, result.Status, unresponsive)
		b.handleSampleReply(now, e, false, act)
		return
	}
	e.recordSuccess(now, e.ejectedUntil == 0)
	queue := reportedQueueLength(result.Load)
	if queue < 0 {
		b.handleSampleReply(now, e, false, act)
		return
	}
	b.healthChecks.recordQueue(queue)
	b.jbt.recordSample(queue, b.readyEndpoints)
	b.jbt.recordLoadReport(now, e, result.Load)
	b.handleSampleReply(now, e, true, act)
}

// HandleAttemptResult handles the result of an attempt. It updates the state of the endpoint. If the request has no response and no
// other attempt in flight, the request is retried, rejected or failed.
func (b *Balancer) HandleAttemptResult(now Time, result AttemptResult, act Actions) {
	r := b.requests[result.ID]
	a := r.attemptInFlight(result.Attempt)
	inconclusive := a != nil && result.Status == StatusTimeout && a.timeoutInconclusive(now)
	b.recordResult(now, result, inconclusive)
	if a == nil {
		return
	}
	b.endAttempt(now, r, a, result.Status)
	if result.Status == StatusOK && r.inFlight > 0 {
		b.hedges.recordOutcome(result.Attempt > 0)
	}
	if result.Status == StatusOK || result.Status == StatusTimeout && !inconclusive {
		b.recordLatency(a, float64(result.Latency))
	}
	r.ended = r.ended || result.RequestEnded
	if r.ended {
		b.cancelAttempts(r, act)
		b.release(r)
		return
	}
	if r.inFlight == 0 && !b.startOrAwaitEndpoint(now, r, b.activeSubset(now), act) {
		b.finishRequest(now, r, endedAttemptsFailed, act)
	}
}

// recordResult updates the health and load of the endpoint from the result of an attempt.
func (b *Balancer) recordResult(now Time, result AttemptResult, inconclusive bool) {
	e := b.endpoints[result.Endpoint]
	if e == nil {
		return
	}
	if result.Status == StatusOK {
		e.recordSuccess(now, true)
	} else if !inconclusive {
		b.recordFailure(now, e, result.Status, b.isUnresponsive(now, e))
	}
	b.jbt.recordLoadReport(now, e, result.Load)
}

// endAttempt ends an attempt of r. An attempt whose streamed body is still being sent does not count as in flight at its endpoint, and
// its end is no sample of the endpoint's response interval.
func (b *Balancer) endAttempt(now Time, r *request, a *attempt, status Status) {
	a.inFlight, a.notExecuted = false, status.NotExecuted()
	r.inFlight--
	if !r.bodyInTransfer {
		if status == StatusOK || status == StatusApplicationError {
			a.endpoint.recordResponse(now, a.sentAt)
		}
		a.endpoint.inFlight--
	}
	a.endpoint.recordContact(now, status)
}

// HandleResponseStarted records that part of a response has reached the client. The request is not retried from then on. A host need not
// call this method if it reports the attempt as StatusOK, with RequestEnded, once the first part of the response is handed over.
func (b *Balancer) HandleResponseStarted(_ Time, id RequestID, _ int, _ Actions) {
	if r := b.requests[id]; r != nil {
		r.responseStarted = true
	}
}

// HandleBodyStarted records that the only attempt in flight starts to send a streamed body. Until HandleBodyFinished, the duration
// depends on the client and says nothing about the endpoint. The request therefore has no deadline during this time.
func (b *Balancer) HandleBodyStarted(_ Time, id RequestID, number int) {
	r := b.requests[id]
	a := r.attemptInFlight(number)
	if a == nil || r.ended || r.bodyConsumed {
		return
	}
	r.bodyConsumed, r.bodyInTransfer, r.finalDeadline = true, true, math.MaxInt64
	a.endpoint.inFlight--
}

// HandleBodyFinished records that a streamed body was sent and that the client waits for the response until expires. The latency and
// the objective of the request are measured from now.
func (b *Balancer) HandleBodyFinished(now Time, id RequestID, expires Time, act Actions) {
	r := b.requests[id]
	if r == nil || r.ended || !r.bodyInTransfer {
		return
	}
	r.bodyInTransfer = false
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight {
			a.sentAt = now
			a.endpoint.recordSend(now)
			a.endpoint.inFlight++
		}
	}
	r.Expires, r.startedAt = expires, now
	r.setDeadlines()
	act.SetTimer(max(0, r.finalDeadline-now), timerToken(id))
}

// HandleRequestAbandoned records that the host has ended a request without a decision of the Balancer: the client disconnected, the body
// was cut short, or the process ends. Its attempts are canceled if Config.CancellationAllowed is set.
func (b *Balancer) HandleRequestAbandoned(_ Time, id RequestID, act Actions) {
	r := b.requests[id]
	if r == nil || r.ended {
		return
	}
	r.ended = true
	r.class.addUnanswered(r)
	b.dequeue(r)
	b.cancelAttempts(r, act)
	b.release(r)
}

// HandleTimer handles a timer of Actions.SetTimer that has fired. Timers are never stopped. A timer whose cause no longer exists has no
// effect.
func (b *Balancer) HandleTimer(now Time, token string, act Actions) {
	if token == watchToken {
		if !b.poll.watching {
			b.poll.watching = true
			act.WatchEndpoints(true)
		}
		return
	}
	id, hedge := parseTimerToken(token)
	r := b.requests[id]
	switch {
	case r == nil || r.ended || r.responseStarted:
	case hedge:
		b.hedgeRequest(now, r, act)
	case now >= r.finalDeadline:
		b.finishRequest(now, r, endedDeadline, act)
	case r.queuedUntil > 0 && now >= r.queuedUntil:
		b.resolveQueued(now, r, act)
	}
}

// finishRequest ends r without a response. It rejects r if a retry could help and is harmless, and fails r otherwise.
func (b *Balancer) finishRequest(now Time, r *request, reason endReason, act Actions) {
	b.cancelAttempts(r, act)
	r.ended = true
	r.class.addUnanswered(r)
	if r.queuedUntil > 0 {
		b.dequeue(r)
	}
	if reason.retryHelps() && b.retries.rejectionSafe(now, r) {
		act.Reject(r.ID, b.retryAfter(now, r))
	} else {
		act.Fail(r.ID)
	}
	b.release(r)
}

// cancelAttempts cancels the attempts of r in flight if Config.CancellationAllowed is set.
func (b *Balancer) cancelAttempts(r *request, act Actions) {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight && b.cfg.CancellationAllowed && !a.canceled {
			a.canceled = true
			act.CancelAttempt(r.ID, i)
		}
	}
}

// release removes an ended request once no attempt is in flight.
func (b *Balancer) release(r *request) {
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

// Summary is the state of a Balancer at one moment, for operators.
type Summary struct {
	TypicalLatency   time.Duration // moving average of the response latency
	CapacityShortage float64       // from 0, there is capacity for all requests, to 1, the lowest priorities are shed in full
	EjectedEndpoints int           // ready endpoints left out of the active subset after failures; 0 while more than half are ejected
}

// Summarize returns the Summary at now.
func (b *Balancer) Summarize(now Time) Summary {
	return Summary{
		TypicalLatency:   time.Duration(b.latency.meanLatency),
		CapacityShortage: b.capacity.shortage(now),
		EjectedEndpoints: b.EjectedCount(now),
	}
}
