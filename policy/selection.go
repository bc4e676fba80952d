package policy

import "slices"

// safeLatencyFactor defines a safe endpoint: its expected latency times this factor is within the objective. Latencies vary around the
// expected value, so that half of the responses expected just within the objective would be late.
const safeLatencyFactor = 2

// rank orders the endpoints that a request may be sent to, best first.
type rank int

const (
	rankMarked   rank = iota // safe, and marked as at or below the threshold
	rankSafe                 // safe: without this rank, slow endpoints would get an even share and ever longer queues
	rankOnTime               // expected within the objective
	rankLate                 // expected after the objective
	notCandidate             // must not get an attempt
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
			return notCandidate // the load of a retry or hedged request is not justified if it would be late
		}
		return rankLate
	case now+safeLatencyFactor*expected > r.objectiveDeadline:
		return rankOnTime
	case !b.jbt.isMarked(now, e):
		return rankSafe
	}
	return rankMarked
}

// pickEndpoint returns a random endpoint among those with the best rank for r; nil if none may get an attempt.
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

// selectEndpoint returns the endpoint for the next attempt of r: one of the preferred endpoints, or else any ready endpoint, even if it is
// ejected or unresponsive; nil if there is none. For a first attempt, a warming endpoint drawn by drawWarming replaces the selected
// endpoint.
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

// startOrAwaitEndpoint starts the next attempt of r if there is an endpoint for it. It reports whether r continues: with an attempt, or, if
// r has neither attempts nor PriorAttempts and the list has no ready endpoint, by waiting for one. Callers that ignore the result expect
// that there is an endpoint for r or that none is ready. Otherwise, for example if slow start or the dedup scope of a prior attempt
// excludes all ready endpoints, r waits until its deadline, or, if it has no attempt yet, until an update of the list.
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

// addAttempt records an attempt of r at e, with the expected queue and latency.
func (b *Balancer) addAttempt(now Time, r *request, e *endpoint) {
	r.attempts = append(r.attempts, attempt{
		endpoint: e, zone: e.Zone, cell: e.Cell, sentAt: now, inFlight: true,
		queueAtSend: b.expectedQueue(e), expectedLatency: b.expectedLatency(now, e), warmingUp: !b.slowStart.isWarm(now, e),
	})
	r.inFlight++
	e.recordSend(now)
	e.inFlight++
}

// missesObjective reports whether the response of e to r is expected after the objective of r.
func (b *Balancer) missesObjective(now Time, r *request, e *endpoint) bool {
	return now+b.expectedLatency(now, e) > r.objectiveDeadline
}

// hasTried reports whether r has an attempt at e.
func (r *request) hasTried(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}
