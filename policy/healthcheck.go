package policy

import "time"

const (
	// healthCheckBudgetPoints is what probing may cost in points of the result; with the tariff it gives the period T.
	healthCheckBudgetPoints = 0.05
	// trafficFreshness is how long what a sidecar's own traffic has told holds: one that has requests more often spends less on probes
	// by as much, down to leastProbes of probeSpend. Too little of it would leave marks and thresholds to chance.
	trafficFreshness    = 600 * time.Millisecond
	minHealthCheckShare = 0.3
	// arrivalCreditShare of it is spent on a request that ends up refused: it comes back up to three times.
	arrivalCreditShare = 0.4
)

// earnHealthChecks credits the probes that a share of a request pays for: all of them after a failure or while they
// find requests waiting, and down to a tenth while they find none, when any server will do.
func (b *Balancer) earnHealthChecks(share float64) {
	share *= min(1, max(minHealthCheckShare, float64(b.requestInterval)/float64(trafficFreshness)))
	b.healthCheckCredit = min(b.healthCheckCredit+share*max(b.contention, 0.1)*healthCheckBudgetPoints/max(b.cfg.HealthCheckCost, 1e-9), sampleSize)
}

func (b *Balancer) checkHealth(now Time, s *endpoint, act Actions) {
	s.recordSend(now)
	s.healthChecksInFlight++
	act.CheckHealth(s.ID)
}
