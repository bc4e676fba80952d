package policy

import "slices"

const (
	// hedgeBudgetRatio is the part of requests that may have a second copy sent while the first is out, and mostHedges how
	// many of them may come at once. What the copies cost must stay small where all are slow.
	hedgeBudgetRatio = 0.03
	maxHedgeCredit   = 10
	// earlyHedgeWinRate is the share of second copies that must answer first for them to be sent as soon as an answer is slow.
	earlyHedgeWinRate = 0.5
	// timerLatenessTicks is how many ticks a timer may come late.
	timerLatenessTicks = 4
)

// hedgeRequest sends a second copy of r, whose answer is slow, where it can be expected in time and nothing waits. It guards
// against servers that are silent, paused or stuck, whatever the reason; it might do harm where all are slow alike, and
// so is bounded by a share of the traffic and kept from queues.
func (b *Balancer) hedgeRequest(now Time, r *request, act Actions) {
	if r.ended || r.responseStarted || r.inFlight != 1 {
		return
	}
	silent := slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.inFlight && b.isUnresponsive(now, a.endpoint) })
	idle := slices.DeleteFunc(b.activeSubset(now), func(s *endpoint) bool {
		return !silent && s.reportedQueue >= 1 || now+b.expectedLatency(now, s) > r.objectiveDeadline || b.capacityFraction(now, s) < 1
	})
	if b.hedgeCredit < 1 && !silent || b.pickEndpoint(now, r, idle) == nil {
		return
	}
	b.hedgeCredit--
	b.startAttempt(now, r, idle, act)
}

// recordHedgeOutcome notes whether, of two attempts that were out together, the second answered first. Such a copy pays for a further
// one: where some servers swallow requests, copies go on for as long as they win, and where all are slow alike, so that
// the first answers first, they stay within their share of the traffic.
func (b *Balancer) recordHedgeOutcome(won bool) {
	b.hedgeWinRate *= 1 - smoothingWeight
	if won {
		b.hedgeCredit, b.hedgeWinRate = min(b.hedgeCredit+1, maxHedgeCredit), b.hedgeWinRate+smoothingWeight
	}
}
