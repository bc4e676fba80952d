package pool

import (
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/metrics"
	"sorrelrudder/internal/statslog"
	"sorrelrudder/policy"
)

// attemptStats are the ends of attempts that are counted by kind.
var attemptStats = map[policy.Status]statslog.Count{
	policy.StatusConnectFailed: statslog.Unreached, policy.StatusTimeout: statslog.TimedOut, policy.StatusApplicationError: statslog.Erred,
	policy.StatusOverloaded: statslog.TurnedAway, policy.StatusReset: statslog.Broken,
}

// requestStat is as what the end of r counts, where that is told. A long answer counts as its first bytes come.
func (p *Pool) requestStat(r *request, o metrics.Outcome) statslog.Count {
	switch o {
	case metrics.Declined:
		return statslog.Refused
	case metrics.Succeeded:
		if aim := p.latencyObjectives[r.policyRequest.Class]; p.statsLogged && aim > 0 && p.now()-r.acceptedAt > aim {
			return statslog.Late
		}
		return statslog.InAim
	}
	return statslog.Failed
}

// warmingUp reports whether a server started less than the ramp time ago.
func (p *Pool) warmingUp(now policy.Time, server policy.EndpointID) bool {
	to := p.peers[server]
	return to != nil && to.Started() != 0 && now-to.Started() < p.settings.Config.SlowStartDuration
}

// logStats has the log told, until the pool ends, what the pool saw and did. A spell in which nothing happened is not told.
func (p *Pool) logStats(every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	dialled := int64(0)
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-tick.C:
		}
		p.mu.Lock()
		row := p.stats
		p.stats = statslog.Row{}
		now := p.now()
		seen := p.balancer.Summarize(now)
		row.Usual, row.Short, row.Avoided, row.Open = seen.TypicalLatency, seen.CapacityShortage, seen.EjectedEndpoints, len(p.requests)
		for id, e := range p.endpoints {
			if discovery.States[e.Health] == policy.Ready {
				row.Listed++
				if p.warmingUp(now, id) {
					row.Warming++
				}
			}
		}
		p.mu.Unlock()
		d := p.conns.DialCount()
		row.Add(statslog.Dials, int(d-dialled))
		dialled = d
		if !row.Empty() {
			p.log.Info(statslog.Message, row.Attrs()...)
		}
	}
}
