package pool

import (
	"fmt"
	"time"

	"sorrelrudder/internal/metrics"
	"sorrelrudder/internal/statslog"
	"sorrelrudder/policy"
)

// countAttempt counts the result of an attempt for the log. The caller holds mu.
func (p *Pool) countAttempt(status policy.Status) {
	switch status {
	case policy.StatusConnectFailed:
		p.stats.Add(statslog.ConnectFailures, 1)
	case policy.StatusTimeout:
		p.stats.Add(statslog.Timeouts, 1)
	case policy.StatusApplicationError:
		p.stats.Add(statslog.ErrorResponses, 1)
	case policy.StatusOverloaded:
		p.stats.Add(statslog.OverloadRejections, 1)
	case policy.StatusReset:
		p.stats.Add(statslog.ConnectionResets, 1)
	}
}

// requestStat returns as what the end of r is counted for the log. A long response counts as its first bytes come. The caller holds
// mu.
func (p *Pool) requestStat(r *request, outcome metrics.Outcome) statslog.Counter {
	switch outcome {
	case metrics.Rejected:
		return statslog.Rejected
	case metrics.Succeeded:
		objective := p.classes[r.policyRequest.Class].LatencyObjective
		if p.statsLogged && objective > 0 && p.clock.now()-r.acceptedAt > objective {
			return statslog.BeyondObjective
		}
		return statslog.WithinObjective
	}
	return statslog.Failed
}

// warmingUp reports whether an endpoint started less than the slow start's duration ago. The caller holds mu.
func (p *Pool) warmingUp(now policy.Time, endpoint policy.EndpointID) bool {
	peer := p.peers[endpoint]
	return peer != nil && peer.Started() != 0 && now-peer.Started() < p.settings.Config.SlowStartDuration
}

// logStats logs what the pool saw and did, once an interval, until the pool ends. An interval in which nothing happened is not logged.
func (p *Pool) logStats(interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	dialed := int64(0)
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-tick.C:
		}
		row := p.takeStats()
		total := p.conns.DialCount()
		row.Add(statslog.Dials, int(total-dialed))
		dialed = total
		if !row.Empty() {
			p.log.Info(statslog.Message, row.Attrs()...)
		}
	}
}

// takeStats returns what happened since it was called last, and how things stand.
func (p *Pool) takeStats() statslog.IntervalStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.stats
	p.stats = statslog.IntervalStats{}
	now := p.clock.now()
	summary := p.balancer.Summarize(now)
	row.TypicalDelay, row.CapacityShortage, row.EjectedEndpoints = summary.TypicalLatency, summary.CapacityShortage, summary.EjectedEndpoints
	row.OpenRequests = len(p.requests)
	for id, e := range p.endpoints {
		if e.State() != policy.Ready {
			continue
		}
		row.ReadyEndpoints++
		if p.warmingUp(now, id) {
			row.WarmingEndpoints++
		}
	}
	return row
}

// Stats are the figures of a pool at one moment.
type Stats struct {
	Outstanding int // requests accepted and not yet ended
	Endpoints   int // on the list
	Ejected     int // of those, the ones that the decision module gives no requests
}

// Stats returns the pool's figures.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := Stats{Endpoints: len(p.peers), Ejected: p.balancer.EjectedCount(p.clock.now())}
	for _, r := range p.requests {
		if !r.ended || r.forwarding != nil || r.streaming {
			stats.Outstanding++
		}
	}
	return stats
}

// Counts returns how many requests the pool has, how many timers run for it and how many endpoints its list names.
func (p *Pool) Counts() (requests, timers, endpoints int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.requests), len(p.timers.pending), len(p.peers)
}

// String describes the pool's load for logs.
func (p *Pool) String() string {
	requests, timers, endpoints := p.Counts()
	return fmt.Sprintf("%d requests, %d timers, %d upstreams", requests, timers, endpoints)
}
