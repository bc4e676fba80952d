package pool

import (
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/metrics"
	"sorrelrudder/internal/statslog"
	"sorrelrudder/policy"
)

// attemptStats are the ends of attempts that are counted by kind.
var attemptStats = map[policy.Status]statslog.Counter{
	policy.StatusConnectFailed: statslog.ConnectFailures, policy.StatusTimeout: statslog.Timeouts, policy.StatusApplicationError: statslog.ErrorResponses,
	policy.StatusOverloaded: statslog.OverloadRejections, policy.StatusReset: statslog.ConnectionResets,
}

// requestStat is as what the end of r counts, where that is told. A long answer counts as its first bytes come.
func (p *Pool) requestStat(r *request, o metrics.Outcome) statslog.Counter {
	switch o {
	case metrics.Rejected:
		return statslog.Rejected
	case metrics.Succeeded:
		if aim := p.latencyObjectives[r.policyRequest.Class]; p.statsLogged && aim > 0 && p.now()-r.acceptedAt > aim {
			return statslog.BeyondObjective
		}
		return statslog.WithinObjective
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
		p.stats = statslog.IntervalStats{}
		now := p.now()
		seen := p.balancer.Summarize(now)
		row.TypicalDelay, row.CapacityShortage, row.EjectedEndpoints, row.OpenRequests = seen.TypicalLatency, seen.CapacityShortage, seen.EjectedEndpoints, len(p.requests)
		for id, e := range p.endpoints {
			if discovery.States[e.Health] == policy.Ready {
				row.ReadyEndpoints++
				if p.warmingUp(now, id) {
					row.WarmingEndpoints++
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
