package policy

import (
	"slices"
	"time"
)

const (
	// hedgeBudgetRatio is how many hedged requests each request pays for: they must cost little where all endpoints are slow.
	hedgeBudgetRatio = 0.03
	// maxHedgeCredit is how many hedged requests may be sent in a burst.
	maxHedgeCredit = 10
	// earlyHedgeWinRate is the share of hedged requests answered first from which they are sent as soon as a response is slow.
	earlyHedgeWinRate = 0.5
	// timerLatenessTicks is how late a timer may fire, in ticks of Config.TimerResolution.
	timerLatenessTicks = 4
	// slowResponseFactor makes a response slow that takes longer than this many times its expected latency.
	slowResponseFactor = 2
)

// hedgeBudget bounds hedged requests: a share of the traffic pays for some, and each that is answered first pays for another.
// Where some endpoints swallow requests, hedging thus goes on for as long as it helps; where all are slow alike, so that the
// first attempt wins, it stays within its share.
type hedgeBudget struct {
	credit  float64 // hedged requests that may be sent now
	winRate float64 // smoothed share of hedged requests that were answered before the first attempt
}

// earn credits the share of one request.
func (h *hedgeBudget) earn() { h.credit = min(h.credit+hedgeBudgetRatio, maxHedgeCredit) }

// recordOutcome notes whether, of two attempts in flight at once, the hedged request was answered first.
func (h *hedgeBudget) recordOutcome(won bool) {
	h.winRate *= 1 - smoothingWeight
	if won {
		h.credit, h.winRate = min(h.credit+1, maxHedgeCredit), h.winRate+smoothingWeight
	}
}

// delay returns how long after the first attempt a hedged request is due: as soon as the response is slow where hedging wins
// often, else at the last moment at which it can meet the objective, since most slow responses still come.
func (h *hedgeBudget) delay(expected, untilObjective, timerResolution time.Duration) time.Duration {
	wait := max(timerResolution, slowResponseFactor*expected)
	if h.winRate < earlyHedgeWinRate {
		wait = max(wait, untilObjective-expected-timerLatenessTicks*timerResolution)
	}
	return wait
}

// scheduleHedge sets the timer for a hedged request after the first attempt of r, at e.
func (b *Balancer) scheduleHedge(now Time, r *request, e *endpoint, act Actions) {
	wait := b.hedges.delay(b.expectedLatency(now, e), r.objectiveDeadline-now, b.cfg.TimerResolution)
	if b.cfg.HedgingAllowed && r.class.Idempotency != NonIdempotent && !r.StreamedBody && now+wait < r.objectiveDeadline {
		act.SetTimer(wait, hedgeTimerPrefix+timerToken(r.ID))
	}
}

// hedgeRequest sends a hedged request for r, whose response is slow, if the budget pays for it and an endpoint can be expected
// to answer in time. An attempt at an endpoint that has gone unresponsive is hedged whatever the budget and the queues.
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
