package policy

import "time"

// LearnedState is the learned state of a Balancer about its endpoints and clients. It is passed to the process that replaces this one.
// That process may have another version, so the JSON names must not change.
type LearnedState struct {
	LatencyModel          [4]float64                     `json:"Line"` // mean queue, mean latency, variance of the queue, covariance
	HealthCheckContention float64                        `json:"Busy"` // moving average of the queues that health checks found, each at most 1
	HedgeWinRate          float64                        `json:"CopyWins"`
	Endpoints             map[EndpointID]LearnedEndpoint `json:"Servers"`
	ClientTimeouts        map[string]time.Duration       `json:"Patience"` // usual client timeout by class
}

// LearnedEndpoint is the learned state of one endpoint.
type LearnedEndpoint struct {
	Started             Time          `json:"Started"`    // start according to the endpoint list, on the clock of the exporting process
	Slowness            float64       `json:"Slowness"`   // ratio of latency to predicted latency
	SlownessSamples     int           `json:"Answers"`    // responses in Slowness
	ResponseInterval    float64       `json:"Gap"`        // in nanoseconds
	EjectedFor          time.Duration `json:"EjectedFor"` // remaining ejection time; 0: not ejected, or only the health check is pending
	ConsecutiveFailures int           `json:"Fails"`
}

// ExportLearnedState returns the learned state at now.
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

// ImportLearnedState restores the state that another Balancer exported. The state of an endpoint is restored only if the endpoint is on the
// list with the same start time and so has not restarted. The host must first convert LearnedEndpoint.Started to its own clock.
func (b *Balancer) ImportLearnedState(now Time, state LearnedState) {
	model := state.LatencyModel
	b.latency = latencyModel{meanQueue: model[0], meanLatency: model[1], queueVariance: model[2], covariance: model[3]}
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

// importLearned restores the learned state of e.
func (e *endpoint) importLearned(now Time, learned LearnedEndpoint) {
	e.slowness, e.slownessSamples = learned.Slowness, learned.SlownessSamples
	e.responseInterval = learned.ResponseInterval
	e.consecutiveFailures = learned.ConsecutiveFailures
	if learned.EjectedFor > 0 {
		e.ejectedUntil = now + learned.EjectedFor
	}
}
