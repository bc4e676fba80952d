package pool

import (
	"math"

	"sorrelrudder/policy"
)

// Learnt is what a pool knows of its servers, for the process that takes this one's place. Its times of start are the list's.
type Learnt struct {
	policy.Learnt
	Born map[policy.ServerID]int64 `json:"Born"` // as the list tells it, in Unix milliseconds
}

// Learnt returns what has been learnt so far.
func (p *Pool) Learnt() Learnt {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := Learnt{p.balancer.Learnt(p.now()), map[policy.ServerID]int64{}}
	for id, e := range p.entries {
		l.Born[id] = e.BornMs
	}
	return l
}

// usable reports whether l can have been learnt: what stands in a file may be anything.
func (l *Learnt) usable() bool {
	figures := append([]float64{l.Busy, l.CopyWins}, l.Line[:]...)
	for _, s := range l.Servers {
		figures = append(figures, s.Slowness, s.Gap, float64(s.EjectedFor))
	}
	for _, v := range figures {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < -mostLoad*mostLoad || v > mostLoad*mostLoad {
			return false
		}
	}
	return l.Line[1] >= 0 && l.Line[2] >= 0 && l.Busy >= 0 && l.Busy <= 1
}

// Adopt takes over what another process has learnt of the servers on the list.
func (p *Pool) Adopt(l Learnt) {
	if !l.usable() {
		p.log.Warn("what another process has learnt cannot be used")
		return
	}
	p.event(func(now policy.Time) {
		for id, s := range l.Servers {
			if born, known := l.Born[id]; known { // each process has a clock of its own
				s.Started = p.started(born)
				l.Servers[id] = s
			}
		}
		p.balancer.Adopt(now, l.Learnt)
	})
}
