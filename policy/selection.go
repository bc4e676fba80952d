package policy

import "slices"

// safeLatencyFactor makes an endpoint a safe choice if this many times its expected latency fits into the objective: responses
// scatter about what is expected, and half of those that just fit would be late.
const safeLatencyFactor = 2

// rank orders the endpoints that a request may be sent to by what to expect of them.
type rank int

const (
	rankMarked   rank = iota // safe, and marked as below the threshold
	rankSafe                 // well within the objective: a slow endpoint that got an even share would collect an endless queue
	rankOnTime               // within the objective
	rankLate                 // beyond it
	notCandidate             // not to be attempted
)

// rankOf returns the rank of e for r.
func (b *Balancer) rankOf(now Time, r *request, e *endpoint) rank {
	if r.hasTried(e) || !b.attemptAllowed(now, r, e) || !b.slowStart.admits(now, r, e) {
		return notCandidate
	}
	expected := b.expectedLatency(now, e)
	switch {
	case now+expected > r.objectiveDeadline:
		if len(r.attempts) > 0 {
			return notCandidate // a retry or hedged request that would be late is not worth its load
		}
		return rankLate
	case now+safeLatencyFactor*expected > r.objectiveDeadline:
		return rankOnTime
	case !b.jbt.isMarked(now, e):
		return rankSafe
	}
	return rankMarked
}

// pickEndpoint draws one of the endpoints with the best rank for r; nil if none may be attempted.
func (b *Balancer) pickEndpoint(now Time, r *request, endpoints []*endpoint) *endpoint {
	var best []*endpoint
	bestRank := notCandidate
	for _, e := range endpoints {
		rank := b.rankOf(now, r, e)
		if rank < bestRank {
			best, bestRank = best[:0], rank
		}
		if rank == bestRank && rank != notCandidate {
			best = append(best, e)
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[b.rng.IntN(len(best))]
}

// selectEndpoint picks the endpoint for the next attempt of r: of the preferred ones, else of all that are ready; nil if there is
// none. A warming endpoint whose turn it is takes the place of the pick for a first attempt.
func (b *Balancer) selectEndpoint(now Time, r *request, preferred []*endpoint) *endpoint {
	picked := b.pickEndpoint(now, r, preferred)
	if picked == nil {
		picked = b.pickEndpoint(now, r, b.readyEndpoints)
	}
	if picked == nil {
		return nil
	}
	warming := b.drawWarming(now)
	if warming != nil && len(r.attempts) == 0 && b.attemptAllowed(now, r, warming) && !b.missesObjective(now, r, warming) {
		return warming
	}
	return picked
}

// startOrAwaitEndpoint starts the next attempt of r if an endpoint can be found, and reports whether r goes on: also if it waits, not
// attempted yet, until the list names an endpoint. Callers that ignore the result have found an endpoint for r, or know that none is ready.
func (b *Balancer) startOrAwaitEndpoint(now Time, r *request, preferred []*endpoint, act Actions) bool {
	e := b.selectEndpoint(now, r, preferred)
	if e == nil {
		return len(r.attempts) == 0 && len(b.readyEndpoints) == 0
	}
	e.marked = false
	b.addAttempt(now, r, e)
	if len(r.attempts) == 1 {
		b.healthChecks.earn(1 - arrivalCreditShare)
		b.hedges.earn()
		b.scheduleHedge(now, r, e, act)
	}
	act.StartAttempt(r.ID, e.ID, r.finalDeadline-now)
	return true
}

// addAttempt notes an attempt of r at e, with what is expected of it.
func (b *Balancer) addAttempt(now Time, r *request, e *endpoint) {
	r.attempts = append(r.attempts, attempt{
		endpoint: e, zone: e.Zone, cell: e.Cell, sentAt: now, inFlight: true,
		queueAtSend: b.expectedQueue(e), expectedLatency: b.expectedLatency(now, e), warmingUp: !b.slowStart.isWarm(now, e),
	})
	r.inFlight++
	e.recordSend(now)
	e.inFlight++
}

// missesObjective reports whether a response of e to r is expected after the objective.
func (b *Balancer) missesObjective(now Time, r *request, e *endpoint) bool {
	return now+b.expectedLatency(now, e) > r.objectiveDeadline
}

// hasTried reports whether an attempt of r was made at e.
func (r *request) hasTried(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}
