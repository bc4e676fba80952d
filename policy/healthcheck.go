package policy

import "time"

const (
	// healthCheckBudgetPoints is what health checks may cost, in points of the result; with Config.HealthCheckCost it gives how
	// many may be sent for each request.
	healthCheckBudgetPoints = 0.05
	// minHealthCheckCost stands for a price of nothing, in points.
	minHealthCheckCost = 1e-9
	// trafficInfoLifetime is how long an instance's own traffic tells enough of its subset: an instance that has requests more often
	// sends fewer health checks for each, in proportion.
	trafficInfoLifetime = 600 * time.Millisecond
	// maxRequestInterval is the longest gap between requests that counts in full: one long pause tells little.
	maxRequestInterval = 4 * trafficInfoLifetime
	// minHealthCheckShare of the budget is left to an instance with much traffic: marks and threshold need some.
	minHealthCheckShare = 0.3
	// minContention is the share of the budget that is left while health checks find no queue, so that they find the next one.
	minContention = 0.1
	// arrivalCreditShare is the part of a request's credit that is earned on arrival, the rest on its first attempt: a client
	// whose request is rejected comes back up to three times, and must not pay in full each time.
	arrivalCreditShare = 0.4
)

// healthCheckBudget decides when a sampling round of health checks is paid for. The sampling period of JBT-d is thus counted in
// requests: an instance with little traffic neither checks in vain nor keeps a clock.
type healthCheckBudget struct {
	cost            float64       // of one health check, in points of the result for one a request
	credit          float64       // health checks that the traffic so far has paid for; at most a round
	contention      float64       // smoothed share of health checks that found a queue; 1 after a failure
	requestInterval time.Duration // smoothed, between requests
	lastRequest     Time
}

// newHealthCheckBudget returns a budget that pays for one round at once.
func newHealthCheckBudget(cost float64) healthCheckBudget {
	return healthCheckBudget{cost: cost, credit: sampleSize, contention: 1, requestInterval: trafficInfoLifetime}
}

// recordRequest notes the arrival of a request.
func (h *healthCheckBudget) recordRequest(now Time) {
	h.requestInterval += time.Duration(smoothingWeight * float64(min(now-h.lastRequest, maxRequestInterval)-h.requestInterval))
	h.lastRequest = now
}

// recordQueue notes the queue that a health check found, in requests.
func (h *healthCheckBudget) recordQueue(queue float64) {
	h.contention += smoothingWeight * (min(queue, 1) - h.contention)
}

// recordFailure notes that an endpoint failed: health checks are wanted.
func (h *healthCheckBudget) recordFailure() { h.contention = 1 }

// earn credits the health checks that a share of one request pays for: all while endpoints fail or have queues, few while
// they have none and any endpoint will do.
func (h *healthCheckBudget) earn(share float64) {
	share *= min(1, max(minHealthCheckShare, float64(h.requestInterval)/float64(trafficInfoLifetime)))
	h.credit = min(h.credit+share*max(h.contention, minContention)*healthCheckBudgetPoints/max(h.cost, minHealthCheckCost), sampleSize)
}

// canAffordRound reports whether a round of sampleSize health checks may be sent.
func (h *healthCheckBudget) canAffordRound() bool { return h.credit >= sampleSize }

// spendRound takes the price of a round.
func (h *healthCheckBudget) spendRound() { h.credit -= sampleSize }

// checkHealth asks e for a load report.
func (b *Balancer) checkHealth(now Time, e *endpoint, act Actions) {
	e.recordSend(now)
	e.healthChecksInFlight++
	act.CheckHealth(e.ID)
}

// checkEjected sends a health check to each endpoint whose ejection time is over, to find out whether it is back.
func (b *Balancer) checkEjected(now Time, act Actions) {
	for _, e := range b.readyEndpoints {
		if e.ejectedUntil <= now && b.isEjected(now, e) && e.healthChecksInFlight == 0 {
			b.checkHealth(now, e, act)
		}
	}
}
