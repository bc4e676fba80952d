package policy

import (
	"slices"
	"time"
)

const (
	// hedgeBudgetRatio is the number of hedged requests that each request pays for. It limits their load when all endpoints are slow.
	hedgeBudgetRatio = 0.03
	// maxHedgeCredit is the largest number of hedged requests in a burst.
	maxHedgeCredit = 10
	// earlyHedgeWinRate is the win rate from which hedged requests are sent as soon as a response is slow.
	earlyHedgeWinRate = 0.5
	// timerLatenessTicks is the largest delay with which a timer fires, in ticks of Config.TimerResolution.
	timerLatenessTicks = 4
	// slowResponseFactor defines a slow response: its latency exceeds the expected latency times this factor.
	slowResponseFactor = 2
)

// hedgeBudget limits the number of hedged requests. Each request adds hedgeBudgetRatio to the credit. Each hedged request that wins, with a
// response before that of the other attempt in flight, adds one. If some endpoints do not respond, hedging thus continues as long as it
// helps. If all endpoints are equally slow, the first attempt wins and hedging stays within hedgeBudgetRatio.
type hedgeBudget struct {
	credit  float64 // hedged requests that may be sent now
	winRate float64 // moving average of the share of hedged requests that won
}

// earn adds the credit of one request.
func (h *hedgeBudget) earn() { h.credit = min(h.credit+hedgeBudgetRatio, maxHedgeCredit) }

// recordOutcome records which of two attempts in flight at once had the first response. won is true for an attempt other than the first of
// the request. This is usually the hedged request, but it is the earlier attempt if that is a retry.
func (h *hedgeBudget) recordOutcome(won bool) {
	h.winRate *= 1 - smoothingWeight
	if won {
		h.credit, h.winRate = min(h.credit+1, maxHedgeCredit), h.winRate+smoothingWeight
	}
}

// delay returns the time from the first attempt to the hedged request. If hedged requests win often, the hedged request is sent as soon
// as the response is slow. Otherwise it is sent at the last moment at which it can meet the objective, because most slow responses still
// arrive.
func (h *hedgeBudget) delay(expected, untilObjective, timerResolution time.Duration) time.Duration {
	wait := max(timerResolution, slowResponseFactor*expected)
	if h.winRate < earlyHedgeWinRate {
		wait = max(wait, untilObjective-expected-timerLatenessTicks*timerResolution)
	}
	return wait
}

// scheduleHedge sets the timer for a hedged request after the first attempt of r, which was sent to e.
func (b *Balancer) scheduleHedge(now Time, r *request, e *endpoint, act Actions) {
	wait := b.hedges.delay(b.expectedLatency(now, e), r.objectiveDeadline-now, b.cfg.TimerResolution)
	if b.cfg.HedgingAllowed && r.class.Idempotency != NonIdempotent && !r.StreamedBody && now+wait < r.objectiveDeadline {
		act.SetTimer(wait, hedgeTimerPrefix+timerToken(r.ID))
	}
}

// hedgeRequest sends a hedged request for r, whose response is slow, if the budget allows it and a warm endpoint without a queue is
// expected to respond in time. If the endpoint of the first attempt is unresponsive, neither the budget nor queues prevent the hedged
// request.
func (b *Balancer) hedgeRequest(now Time, r *request, act Actions) {
	if r.ended || r.responseStarted || r.inFlight != 1 {
		return
	}
	unresponsive := slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.inFlight && b.isUnresponsive(now, a.endpoint) })
	if b.hedges.credit < 1 && !unresponsive {
		return
	}
	candidates := slices.DeleteFunc(b.activeSubset(now), func(e *endpoint) bool {
		return !unresponsive && e.hasQueue() || b.missesObjective(now, r, e) || !b.slowStart.isWarm(now, e)
	})
	if b.pickEndpoint(now, r, candidates) == nil {
		return
	}
	b.hedges.credit--
	b.startOrAwaitEndpoint(now, r, candidates, act)
}
