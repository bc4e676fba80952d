package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Balancer decides for one sidecar. It is not safe for concurrent use.
type Balancer struct {
	cfg       Config
	rng       *rand.Rand
	classes   map[string]*classState
	endpoints map[EndpointID]*endpoint
	endpointOrder
	requests map[RequestID]*request

	queued       []*request // in order of arrival: requests waiting for a mark
	jbt          joinBelowThreshold
	healthChecks healthCheckBudget
	hedges       hedgeBudget
	slowStart    slowStart
	retries      retryPolicy
	outliers     outlierPolicy

	latency      latencyModel // of answers by the reported queue
	machineTypes machineTypes

	capacity           capacityEstimator // whether the set had room for the requests of late
	maxPriorityDensity float64           // highest worth of a class for each second of its aim
	poll               endpointPoll
	subsetRule         subsetRule
}

// New returns a Balancer for cfg; seed feeds its private random numbers.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		classes: map[string]*classState{}, endpoints: map[EndpointID]*endpoint{}, requests: map[RequestID]*request{}, machineTypes: machineTypes{},
		jbt: newJoinBelowThreshold(cfg.Classes), healthChecks: newHealthCheckBudget(cfg.HealthCheckCost), outliers: newOutlierPolicy(cfg), poll: newEndpointPoll(cfg), subsetRule: newSubsetRule(cfg),
		slowStart: slowStart{minCapacity: cfg.SlowStartMinCapacity, duration: cfg.SlowStartDuration},
		retries: retryPolicy{
			maxAttempts: cfg.MaxAttempts, hedgingAllowed: cfg.HedgingAllowed, dedupMargin: cfg.DialTimeout + cfg.TimerResolution,
		},
	}
	for _, c := range cfg.Classes {
		b.classes[c.Name] = &classState{Class: c}
		b.maxPriorityDensity = max(b.maxPriorityDensity, c.PriorityWeight/c.LatencyObjective.Seconds())
	}
	return b, nil
}

// HandleRequest takes a client's request.
func (b *Balancer) HandleRequest(now Time, q Request, act Actions) {
	c := b.classes[q.Class]
	if c == nil { // unknown: assume the worst of a repeat and the best of a late answer
		left := q.Expires - now
		c = &classState{Class: Class{Name: q.Class, Idempotency: NonIdempotent, LatencyObjective: left, Deadline: left}}
	}
	r := &request{Request: q, class: c}
	for _, p := range q.PriorAttempts {
		r.attempts = append(r.attempts, attempt{zone: p.Zone, cell: p.Cell, notExecuted: p.NotExecuted, sentAt: now + p.DedupRemaining - c.DedupWindow})
	}
	b.requests[q.ID] = r
	b.healthChecks.recordRequest(now)
	r.startedAt, r.timerResolution = c.estimateStart(now, q, b.cfg.TimerResolution), b.cfg.TimerResolution
	r.setDeadlines()
	// Under overload what is worth less for its time gives way first, by standing less of a queue.
	bare := b.latency.predict(0)
	strict := b.capacity.shortage(now)
	// What is worth most is refused only where it would be late: the band is for those that make room for it.
	scale := math.Pow(c.PriorityWeight/c.LatencyObjective.Seconds()/max(b.maxPriorityDensity, 1e-9), strict)
	if scale < 1 {
		scale *= 1 - strict*rejectionBand*b.rng.Float64()
	}
	r.latencyLimit = time.Duration(bare + (float64(r.objectiveDeadline-now)-bare)*scale)
	if r.finalDeadline <= now+b.cfg.TimerResolution { // nobody gains from the work
		b.finishRequest(now, r, false, act)
		return
	}
	act.SetTimer(r.finalDeadline-now, timerToken(q.ID))
	b.healthChecks.earn(arrivalCreditShare)
	b.checkEjected(now, act)
	set := b.activeSubset(now)
	if !b.cfg.HealthChecksAllowed || !b.healthChecks.paysForRound() || len(set) == 0 {
		// Work that nobody awaits any more keeps queues long for all.
		b.admitOrReject(now, r, set, act)
		return
	}
	r.sampled = b.startSamplingRound(now, r, set, act)
	good := func(s *endpoint) bool {
		return b.jbt.isMarked(now, s) && !b.exceedsLimit(now, r, s) && !b.cfg.KeyAffinity
	}
	if slices.ContainsFunc(set, good) {
		b.startAttempt(now, r, set, act)
		return
	}
	// Only stale figures: the request waits for the first reply of its round, or else is refused.
	r.queuedUntil = now + (r.finalDeadline-now)/queueWaitDivisor
	b.queued = append(b.queued, r)
	act.SetTimer(r.queuedUntil-now, timerToken(q.ID))
}

// HandleHealthCheck takes the result of a probe.
func (b *Balancer) HandleHealthCheck(now Time, p HealthCheckResult, act Actions) {
	s := b.endpoints[p.Endpoint]
	if s == nil {
		return
	}
	s.healthChecksInFlight = max(0, s.healthChecksInFlight-1)
	silent := b.isUnresponsive(now, s)
	s.recordContact(now, p.Status)
	if p.Status != StatusOK {
		b.recordFailure(now, s, p.Status, silent)
		b.handleSampleReply(now, s, false, act)
		return
	}
	s.recordSuccess(now, s.ejectedUntil == 0)
	q := reportedQueueLength(p.Load)
	if q < 0 {
		b.handleSampleReply(now, s, false, act)
		return
	}
	b.healthChecks.recordQueue(q)
	b.jbt.recordSample(q, b.readyEndpoints)
	b.jbt.recordLoadReport(now, s, p.Load)
	b.handleSampleReply(now, s, true, act)
}

// HandleAttemptResult takes the end of an attempt.
func (b *Balancer) HandleAttemptResult(now Time, o AttemptResult, act Actions) {
	r := b.requests[o.ID]
	known := r != nil && o.Attempt >= 0 && o.Attempt < len(r.attempts) && r.attempts[o.Attempt].inFlight
	own := known && o.Status == StatusTimeout && r.attempts[o.Attempt].timeoutInconclusive(now)
	if s := b.endpoints[o.Endpoint]; s != nil {
		if o.Status == StatusOK {
			s.recordSuccess(now, true)
		} else if !own {
			b.recordFailure(now, s, o.Status, b.isUnresponsive(now, s))
		}
		b.jbt.recordLoadReport(now, s, o.Load)
	}
	if !known {
		return
	}
	a := &r.attempts[o.Attempt]
	a.inFlight, a.notExecuted = false, o.Status.NotExecuted()
	r.inFlight--
	if (o.Status == StatusOK || o.Status == StatusApplicationError) && !r.bodyInTransfer {
		a.endpoint.recordResponse(now, a.sentAt)
	}
	if !r.bodyInTransfer {
		a.endpoint.inFlight--
	}
	a.endpoint.recordContact(now, o.Status)
	if o.Status == StatusOK && (r.inFlight > 0) {
		b.hedges.recordOutcome(o.Attempt > 0)
	}
	r.ended = r.ended || o.RequestEnded
	if o.Status == StatusOK || o.Status == StatusTimeout && !own {
		b.recordLatency(a, float64(o.Delay))
	}
	switch {
	case r.ended:
		b.cancelAttempts(r, act)
		b.release(r)
	case r.inFlight == 0 && !b.startAttempt(now, r, b.activeSubset(now), act):
		b.finishRequest(now, r, true, act)
	}
}

// HandleResponseStarted notes that the answer of r has begun.
func (b *Balancer) HandleResponseStarted(now Time, id RequestID, attempt int, act Actions) {
	if r := b.requests[id]; r != nil {
		r.responseStarted = true
	}
}

// HandleBodyStarted notes that the body of r, which is long, begins to be used up by its only attempt that is out. From here on the
// client's pace counts, which tells nothing of the server, until Uploaded.
func (b *Balancer) HandleBodyStarted(now Time, id RequestID, attempt int) {
	r := b.requests[id]
	if r == nil || r.ended || r.bodyConsumed || attempt >= len(r.attempts) || !r.attempts[attempt].inFlight {
		return
	}
	r.bodyConsumed, r.bodyInTransfer, r.finalDeadline = true, true, math.MaxInt64
	r.attempts[attempt].endpoint.inFlight--
}

// HandleBodyFinished notes that the last byte of r is written, and that its client waits until expires. All times count from here.
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

// HandleClientGone notes that the client has left.
func (b *Balancer) HandleClientGone(now Time, id RequestID, act Actions) {
	if r := b.requests[id]; r != nil && !r.ended {
		r.ended = true
		r.class.addUnanswered(r)
		b.queued = slices.DeleteFunc(b.queued, func(h *request) bool { return h == r })
		b.cancelAttempts(r, act)
		b.release(r)
	}
}

// HandleTimer takes a timer that has fallen due.
func (b *Balancer) HandleTimer(now Time, tok string, act Actions) {
	if tok == watchToken {
		if !b.poll.watching {
			b.poll.watching = true
			act.WatchEndpoints(true)
		}
		return
	}
	digits, hedge := strings.CutPrefix(tok, hedgeTimerPrefix)
	id, _ := strconv.ParseUint(digits, 36, 64)
	r := b.requests[RequestID(id)]
	switch {
	case r != nil && hedge:
		b.hedgeRequest(now, r, act)
	case r == nil || r.ended || r.responseStarted:
	case now >= r.finalDeadline:
		b.finishRequest(now, r, false, act)
	case r.queuedUntil > 0 && now >= r.queuedUntil:
		b.resolveQueued(now, r, act)
	}
}

// finishRequest gives the final answer: a refusal where it is true and a retry could help, else a failure.
func (b *Balancer) finishRequest(now Time, r *request, retry bool, act Actions) {
	b.cancelAttempts(r, act)
	r.ended = true
	r.class.addUnanswered(r)
	if r.queuedUntil > 0 {
		r.queuedUntil = 0
		b.queued = slices.DeleteFunc(b.queued, func(h *request) bool { return h == r })
	}
	if retry && rejectionSafe(r) {
		act.Reject(r.ID, b.retryAfter(now, r))
	} else {
		act.Fail(r.ID)
	}
	b.release(r)
}

func (b *Balancer) cancelAttempts(r *request, act Actions) {
	for i, a := range r.attempts {
		if a.inFlight && b.cfg.CancellationAllowed && !a.canceled {
			r.attempts[i].canceled = true
			act.CancelAttempt(r.ID, i)
		}
	}
}

// release drops an ended request once all its attempts are back.
func (b *Balancer) release(r *request) {
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

// Summary is how a Balancer sees its servers at one moment, for operators.
type Summary struct {
	TypicalLatency   time.Duration // the usual delay of answers
	CapacityShortage float64       // how short of room its servers are: 0, there is room for all, to 1
	EjectedEndpoints int           // servers left out after failures
}

// Summarize tells how things look.
func (b *Balancer) Summarize(now Time) Summary {
	return Summary{TypicalLatency: time.Duration(b.latency.meanLatency), CapacityShortage: b.capacity.shortage(now), EjectedEndpoints: b.EjectedCount(now)}
}
