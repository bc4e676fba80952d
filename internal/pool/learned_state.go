package pool

import (
	"math"

	"sorrelrudder/policy"
)

// LearnedState is what a pool has learned about its endpoints, for the process that replaces this one. It is stored as JSON. Start times
// are stored in the endpoint list's time, since each process has a clock of its own.
type LearnedState struct {
	policy.LearnedState
	StartedMs map[policy.EndpointID]int64 `json:"Born"` // start times on the list, in Unix milliseconds
}

// ExportLearnedState returns the state learned so far.
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

// usable reports whether all values are in the range that learning can produce. The state is read from a file, which may hold anything.
func (s *LearnedState) usable() bool {
	const maxMagnitude = maxLoadValue * maxLoadValue
	values := append([]float64{s.HealthCheckContention, s.HedgeWinRate}, s.LatencyModel[:]...)
	for _, e := range s.Endpoints {
		values = append(values, e.Slowness, e.ResponseInterval, float64(e.EjectedFor))
	}
	for _, v := range values {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < -maxMagnitude || v > maxMagnitude {
			return false
		}
	}
	return s.LatencyModel[1] >= 0 && s.LatencyModel[2] >= 0 && s.HealthCheckContention >= 0 && s.HealthCheckContention <= 1
}

// ImportLearnedState adopts what another process has learned about the endpoints on the list. A state with a value out of range is
// ignored with a warning in the log.
func (p *Pool) ImportLearnedState(state LearnedState) {
	if !state.usable() {
		p.log.Warn("ignoring the learned state of another process: a value is out of range")
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
