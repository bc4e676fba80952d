package pool

import (
	"fmt"
	"time"

	"sorrelrudder/internal/metrics"
	"sorrelrudder/internal/statslog"
	"sorrelrudder/policy"
)

// countAttempt counts the result of an attempt in the statistics. The caller holds mu.
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

// requestStat returns the counter for the end of r in the statistics. A streamed response is counted when its first part is passed on, so
// its latency is that of the first part. The caller holds mu.
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

// logStats logs the pool's statistics once per interval until the pool is closed. It skips an interval in which nothing was counted.
func (p *Pool) logStats(interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	loggedDials := int64(0)
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}
		stats := p.takeStats()
		dials := p.conns.DialCount()
		stats.Add(statslog.Dials, int(dials-loggedDials))
		loggedDials = dials
		if !stats.Empty() {
			p.log.Info(statslog.Message, stats.Attrs()...)
		}
	}
}

// takeStats returns the counters since its last call, which it resets, and the current gauges.
func (p *Pool) takeStats() statslog.IntervalStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	snapshot := p.stats
	p.stats = statslog.IntervalStats{}
	now := p.clock.now()
	summary := p.balancer.Summarize(now)
	snapshot.TypicalDelay, snapshot.CapacityShortage, snapshot.EjectedEndpoints = summary.TypicalLatency, summary.CapacityShortage, summary.EjectedEndpoints
	snapshot.OpenRequests = len(p.requests)
	for id, e := range p.endpoints {
		if e.State() != policy.Ready {
			continue
		}
		snapshot.ReadyEndpoints++
		if p.warmingUp(now, id) {
			snapshot.WarmingEndpoints++
		}
	}
	return snapshot
}

// Stats is a snapshot of a pool's gauges.
type Stats struct {
	Outstanding int // requests accepted and not yet ended
	Endpoints   int // on the list
	Ejected     int // the ready endpoints on the list that get no requests because they are ejected
}

// Stats returns the current values of the pool's gauges.
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

// Counts returns the number of requests that the pool keeps, of pending timers and of endpoints on the list.
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

// TransferCount returns the number of requests of which a long body or a long response is in transfer.
func (p *Pool) TransferCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, r := range p.requests {
		if r.streaming || r.sendingBody {
			count++
		}
	}
	return count
}
