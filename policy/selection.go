package policy

import "slices"

const (
	// safeLatencyFactor times the delay expected of a server must fit into the aim for it to be drawn before others: answers
	// scatter about what is expected, so that half of those that just fit would be late.
	safeLatencyFactor = 2
)

// pickEndpoint draws a marked server of set at random, or else a server uniformly: of those that would safely answer in time, or
// else just so, if there are any, since a slow server that takes its even share collects an endless queue.
func (b *Balancer) pickEndpoint(now Time, r *request, set []*endpoint) *endpoint {
	var marked, safe, all, late []*endpoint
	for _, s := range set {
		tried := slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == s })
		if tried || !b.attemptAllowed(now, r, s) || !b.slowStart.admits(now, r, s) {
			continue
		}
		if b.missesObjective(now, r, s) {
			late = append(late, s)
			continue
		}
		all = append(all, s)
		if now+safeLatencyFactor*b.expectedLatency(now, s) > r.objectiveDeadline {
			continue
		}
		safe = append(safe, s)
		if b.jbt.isMarked(now, s) {
			marked = append(marked, s)
		}
	}
	if len(r.attempts) > 0 {
		late = nil // a further attempt that would be late as well only feeds the overload
	}
	for _, from := range [][]*endpoint{marked, safe, all, late} {
		if len(from) > 0 {
			return from[b.rng.IntN(len(from))]
		}
	}
	return nil
}

// startAttempt starts a further attempt of r if a legal one exists and reports whether it did, or whether
// the request may still be held.
func (b *Balancer) startAttempt(now Time, r *request, set []*endpoint, act Actions) bool {
	s := b.pickEndpoint(now, r, set)
	if s == nil {
		s = b.pickEndpoint(now, r, b.readyEndpoints)
	}
	if s == nil {
		return len(r.attempts) == 0 && len(b.readyEndpoints) == 0 // hold until the list names a server
	}
	if c := b.drawWarming(now); c != nil && len(r.attempts) == 0 && b.attemptAllowed(now, r, c) && !b.missesObjective(now, r, c) {
		s = c
	}
	s.marked = false
	a := attempt{endpoint: s, zone: s.Zone, cell: s.Cell, sentAt: now, inFlight: true, queueAtSend: b.expectedQueue(s), expectedLatency: b.expectedLatency(now, s), warmingUp: !b.slowStart.isWarm(now, s)}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	s.recordSend(now)
	s.inFlight++
	if len(r.attempts) == 1 {
		b.healthChecks.earn(1 - arrivalCreditShare)
		b.hedges.earn()
		b.scheduleHedge(now, r, s, act)
	}
	act.StartAttempt(r.ID, s.ID, r.finalDeadline-now)
	return true
}

// missesObjective reports whether r would miss its aim at s by the latest figures.
func (b *Balancer) missesObjective(now Time, r *request, s *endpoint) bool {
	return now+b.expectedLatency(now, s) > r.objectiveDeadline
}
