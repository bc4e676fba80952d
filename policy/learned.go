package policy

import "time"

// LearnedState is what a Balancer has learnt of its servers and clients, for the process that takes this one's place, which may be of
// another version: the tags are the stored form.
type LearnedState struct {
	DelayModel      [4]float64                     `json:"Line"` // of the delay by queue: means of both, variance, covariance
	ProbeContention float64                        `json:"Busy"`
	HedgeWinRate    float64                        `json:"CopyWins"`
	Endpoints       map[EndpointID]LearnedEndpoint `json:"Servers"`
	ClientTimeouts  map[string]time.Duration       `json:"Patience"` // by class: the time that clients give most tries
}

// LearnedEndpoint is what it has learnt of one.
type LearnedEndpoint struct {
	Started             Time          `json:"Started"` // as the list tells it, on the clock of who asks
	Slowness            float64       `json:"Slowness"`
	Samples             int           `json:"Answers"` // that tell it
	ResponseInterval    float64       `json:"Gap"`
	EjectedFor          time.Duration `json:"EjectedFor"` // from now on; 0: it is not
	ConsecutiveFailures int           `json:"Fails"`
}

// ExportLearnedState returns what has been learnt so far.
func (b *Balancer) ExportLearnedState(now Time) LearnedState {
	l := LearnedState{
		DelayModel: [4]float64{b.latency.meanQueue, b.latency.meanLatency, b.latency.queueVariance, b.latency.covariance}, ProbeContention: b.healthChecks.contention, HedgeWinRate: b.hedges.winRate,
		Endpoints: map[EndpointID]LearnedEndpoint{}, ClientTimeouts: map[string]time.Duration{},
	}
	for id, s := range b.endpoints {
		l.Endpoints[id] = LearnedEndpoint{s.Started, s.slowness, s.slownessSamples, s.responseInterval, max(0, s.ejectedUntil-now), s.consecutiveFailures}
	}
	for name, c := range b.classes {
		if c.timeoutVotes >= minTimeoutVotes {
			l.ClientTimeouts[name] = c.usualTimeout
		}
	}
	return l
}

// ImportLearnedState takes over what another Balancer has learnt, of the servers that are on the list and have not restarted since.
func (b *Balancer) ImportLearnedState(now Time, l LearnedState) {
	b.latency = latencyModel{l.DelayModel[0], l.DelayModel[1], l.DelayModel[2], l.DelayModel[3]}
	b.healthChecks.contention, b.hedges.winRate = l.ProbeContention, l.HedgeWinRate
	for id, t := range l.Endpoints {
		if s := b.endpoints[id]; s != nil && s.Started == t.Started {
			s.slowness, s.slownessSamples, s.responseInterval, s.consecutiveFailures = t.Slowness, t.Samples, t.ResponseInterval, t.ConsecutiveFailures
			if t.EjectedFor > 0 {
				s.ejectedUntil = now + t.EjectedFor
			}
		}
	}
	for name, usual := range l.ClientTimeouts {
		if c := b.classes[name]; c != nil {
			c.usualTimeout, c.timeoutVotes = usual, minTimeoutVotes
		}
	}
}
