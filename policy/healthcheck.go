package policy

import "time"

const (
	// healthCheckBudgetPoints is the budget for health checks, in points. Divided by Config.HealthCheckCost it is the number of health
	// checks per request.
	healthCheckBudgetPoints = 0.05
	// minHealthCheckCost replaces a cost of zero, in points. It prevents a division by zero.
	minHealthCheckCost = 1e-9
	// trafficInfoLifetime is how long the load information in the responses to an instance's own requests stays accurate. An instance whose
	// requests arrive at shorter intervals sends proportionally fewer health checks per request.
	trafficInfoLifetime = 600 * time.Millisecond
	// maxRequestInterval caps each interval in the average of request intervals, because one long pause says little about the traffic.
	maxRequestInterval = 4 * trafficInfoLifetime
	// minHealthCheckShare is the share of the budget that remains under heavy traffic, because marks and threshold need some health checks.
	minHealthCheckShare = 0.3
	// minContention is the share of the budget that remains while health checks find no queue, so that they can find the next queue.
	minContention = 0.1
	// arrivalCreditShare is the share of a request's credit that is earned on its arrival. The rest is earned with its first attempt. A
	// client may retry a rejected request up to three times, and each retry must not earn the full credit.
	arrivalCreditShare = 0.4
)

// healthCheckBudget decides when a sampling round of health checks may be sent. The sampling period of JBT-d is thus counted in
// requests: an instance with little traffic sends no useless health checks and needs no periodic timer.
type healthCheckBudget struct {
	cost            float64       // of one health check per request, in points
	credit          float64       // health checks that past requests have paid for; at most one round
	contention      float64       // moving average of the queues that health checks found, each at most 1; 1 after a failure
	requestInterval time.Duration // moving average of the time between requests
	lastRequest     Time
}

// newHealthCheckBudget returns a budget with the credit of one round.
func newHealthCheckBudget(cost float64) healthCheckBudget {
	return healthCheckBudget{cost: cost, credit: sampleSize, contention: 1, requestInterval: trafficInfoLifetime}
}

// recordRequest records the arrival of a request.
func (h *healthCheckBudget) recordRequest(now Time) {
	h.requestInterval += time.Duration(smoothingWeight * float64(min(now-h.lastRequest, maxRequestInterval)-h.requestInterval))
	h.lastRequest = now
}

// recordQueue records the queue that a health check found, in requests.
func (h *healthCheckBudget) recordQueue(queue float64) {
	h.contention += smoothingWeight * (min(queue, 1) - h.contention)
}

// recordFailure records the failure of an endpoint. Requests earn the full credit until health checks find empty queues again.
func (h *healthCheckBudget) recordFailure() { h.contention = 1 }

// earn adds the given share of the credit of one request: the full credit while endpoints fail or have queues, little while they have no
// queues and any endpoint is a good choice.
func (h *healthCheckBudget) earn(share float64) {
	share *= min(1, max(minHealthCheckShare, float64(h.requestInterval)/float64(trafficInfoLifetime)))
	h.credit = min(h.credit+share*max(h.contention, minContention)*healthCheckBudgetPoints/max(h.cost, minHealthCheckCost), sampleSize)
}

// canAffordRound reports whether a round of sampleSize health checks may be sent.
func (h *healthCheckBudget) canAffordRound() bool { return h.credit >= sampleSize }

// spendRound deducts the health checks of one round from the credit.
func (h *healthCheckBudget) spendRound() { h.credit -= sampleSize }

// checkHealth sends a health check to e.
func (b *Balancer) checkHealth(now Time, e *endpoint, act Actions) {
	e.recordSend(now)
	e.healthChecksInFlight++
	act.CheckHealth(e.ID)
}

// checkEjected sends a health check to each ready endpoint that stays ejected although its ejection time is over. Its success readmits
// the endpoint.
func (b *Balancer) checkEjected(now Time, act Actions) {
	for _, e := range b.readyEndpoints {
		if e.ejectedUntil <= now && b.isEjected(now, e) && e.healthChecksInFlight == 0 {
			b.checkHealth(now, e, act)
		}
	}
}
