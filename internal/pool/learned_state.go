package pool

import (
	"math"

	"sorrelrudder/policy"
)

// LearnedState is what a pool knows of its endpoints, for the process that takes this one's place. It is stored as JSON. Each process
// has a clock of its own, so that starts are stored in the endpoint list's time.
type LearnedState struct {
	policy.LearnedState
	StartedMs map[policy.EndpointID]int64 `json:"Born"` // as the list says, in Unix milliseconds
}

// ExportLearnedState returns what has been learned so far.
func (p *Pool) ExportLearnedState() LearnedState {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := LearnedState{
		LearnedState: p.balancer.ExportLearnedState(p.clock.now()), StartedMs: map[policy.EndpointID]int64{},
	}
	for id, e := range p.endpoints {
		state.StartedMs[id] = e.StartedMs
	}
	return state
}

// usable reports whether the state can have been learned: what is stored in a file may be anything.
func (s *LearnedState) usable() bool {
	const maxMagnitude = maxLoadValue * maxLoadValue
	figures := append([]float64{s.HealthCheckContention, s.HedgeWinRate}, s.LatencyModel[:]...)
	for _, e := range s.Endpoints {
		figures = append(figures, e.Slowness, e.ResponseInterval, float64(e.EjectedFor))
	}
	for _, v := range figures {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < -maxMagnitude || v > maxMagnitude {
			return false
		}
	}
	return s.LatencyModel[1] >= 0 && s.LatencyModel[2] >= 0 && s.HealthCheckContention >= 0 && s.HealthCheckContention <= 1
}

// ImportLearnedState takes over what another process has learned of the endpoints on the list. A state that cannot have been learned
// is logged and ignored.
func (p *Pool) ImportLearnedState(state LearnedState) {
	if !state.usable() {
		p.log.Warn("the learned state of another process cannot be used")
		return
	}
	p.runEvent(func(now policy.Time) {
		for id, e := range state.Endpoints {
			if startedMs, known := state.StartedMs[id]; known {
				e.Started = p.clock.startTime(startedMs)
				state.Endpoints[id] = e
			}
		}
		p.balancer.ImportLearnedState(now, state.LearnedState)
	})
}
