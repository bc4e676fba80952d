package pool

import (
	"math"

	"sorrelrudder/policy"
)

// LearnedState is what a pool knows of its servers, for the process that takes this one's place. Its times of start are the list's.
type LearnedState struct {
	policy.LearnedState
	StartedMs map[policy.EndpointID]int64 `json:"Born"` // as the list tells it, in Unix milliseconds
}

// ExportLearnedState returns what has been learnt so far.
func (p *Pool) ExportLearnedState() LearnedState {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := LearnedState{p.balancer.ExportLearnedState(p.now()), map[policy.EndpointID]int64{}}
	for id, e := range p.endpoints {
		l.StartedMs[id] = e.StartedMs
	}
	return l
}

// usable reports whether l can have been learnt: what stands in a file may be anything.
func (l *LearnedState) usable() bool {
	figures := append([]float64{l.ProbeContention, l.HedgeWinRate}, l.DelayModel[:]...)
	for _, s := range l.Endpoints {
		figures = append(figures, s.Slowness, s.ResponseInterval, float64(s.EjectedFor))
	}
	for _, v := range figures {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < -maxLoadFigure*maxLoadFigure || v > maxLoadFigure*maxLoadFigure {
			return false
		}
	}
	return l.DelayModel[1] >= 0 && l.DelayModel[2] >= 0 && l.ProbeContention >= 0 && l.ProbeContention <= 1
}

// ImportLearnedState takes over what another process has learnt of the servers on the list.
func (p *Pool) ImportLearnedState(l LearnedState) {
	if !l.usable() {
		p.log.Warn("what another process has learnt cannot be used")
		return
	}
	p.runEvent(func(now policy.Time) {
		for id, s := range l.Endpoints {
			if born, known := l.StartedMs[id]; known { // each process has a clock of its own
				s.Started = p.startTime(born)
				l.Endpoints[id] = s
			}
		}
		p.balancer.ImportLearnedState(now, l.LearnedState)
	})
}
