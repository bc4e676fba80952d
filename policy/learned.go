package policy

import "time"

// LearnedState is what a Balancer has learned of its endpoints and clients, for the process that takes this one's place, which may
// be of another version: the tags are the stored form.
type LearnedState struct {
	LatencyModel          [4]float64                     `json:"Line"` // of latency by queue: both means, variance of the queue, covariance
	HealthCheckContention float64                        `json:"Busy"` // share of health checks that found a queue
	HedgeWinRate          float64                        `json:"CopyWins"`
	Endpoints             map[EndpointID]LearnedEndpoint `json:"Servers"`
	ClientTimeouts        map[string]time.Duration       `json:"Patience"` // usual ones, by class
}

// LearnedEndpoint is what was learned of one endpoint.
type LearnedEndpoint struct {
	Started             Time          `json:"Started"`    // as the endpoint list tells it, on the clock of this process
	Slowness            float64       `json:"Slowness"`   // ratio of its latencies to those predicted
	SlownessSamples     int           `json:"Answers"`    // responses that tell the slowness
	ResponseInterval    float64       `json:"Gap"`        // in nanoseconds
	EjectedFor          time.Duration `json:"EjectedFor"` // from now on; 0: it is not, or only its health check is still to come
	ConsecutiveFailures int           `json:"Fails"`
}

// ExportLearnedState returns what has been learned so far.
func (b *Balancer) ExportLearnedState(now Time) LearnedState {
	state := LearnedState{
		LatencyModel:          [4]float64{b.latency.meanQueue, b.latency.meanLatency, b.latency.queueVariance, b.latency.covariance},
		HealthCheckContention: b.healthChecks.contention,
		HedgeWinRate:          b.hedges.winRate,
		Endpoints:             map[EndpointID]LearnedEndpoint{},
		ClientTimeouts:        map[string]time.Duration{},
	}
	for id, e := range b.endpoints {
		state.Endpoints[id] = LearnedEndpoint{
			Started: e.Started, Slowness: e.slowness, SlownessSamples: e.slownessSamples, ResponseInterval: e.responseInterval,
			EjectedFor: max(0, e.ejectedUntil-now), ConsecutiveFailures: e.consecutiveFailures,
		}
	}
	for name, c := range b.classes {
		if c.timeoutVotes >= minTimeoutVotes {
			state.ClientTimeouts[name] = c.usualTimeout
		}
	}
	return state
}

// ImportLearnedState takes over what another Balancer has learned, of endpoints that are on the list and have not restarted since.
func (b *Balancer) ImportLearnedState(now Time, state LearnedState) {
	line := state.LatencyModel
	b.latency = latencyModel{meanQueue: line[0], meanLatency: line[1], queueVariance: line[2], covariance: line[3]}
	b.healthChecks.contention, b.hedges.winRate = state.HealthCheckContention, state.HedgeWinRate
	for id, learned := range state.Endpoints {
		if e := b.endpoints[id]; e != nil && e.Started == learned.Started {
			e.importLearned(now, learned)
		}
	}
	for name, usual := range state.ClientTimeouts {
		if c := b.classes[name]; c != nil {
			c.usualTimeout, c.timeoutVotes = usual, minTimeoutVotes
		}
	}
}

// importLearned takes over what was learned of e.
func (e *endpoint) importLearned(now Time, learned LearnedEndpoint) {
	e.slowness, e.slownessSamples = learned.Slowness, learned.SlownessSamples
	e.responseInterval = learned.ResponseInterval
	e.consecutiveFailures = learned.ConsecutiveFailures
	if learned.EjectedFor > 0 {
		e.ejectedUntil = now + learned.EjectedFor
	}
}
