package pool

import (
	"net/http"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/statslog"
	"sorrelrudder/policy"
)

// The balancer calls the methods of policy.Actions while mu is held, so they never block. Their results reach the balancer in a later
// event, through deferred or from a goroutine. WatchEndpoints, CheckHealth and SetTimer are in other files.

// StartAttempt implements policy.Actions.
func (p *Pool) StartAttempt(id policy.RequestID, endpoint policy.EndpointID, timeout time.Duration) {
	r := p.requests[id]
	if r == nil {
		return
	}
	a := p.newAttempt(r, endpoint, timeout)
	peer, listed := p.peers[endpoint]
	if r.ended || !listed || timeout <= 0 {
		p.deferred = append(p.deferred, func(now policy.Time) {
			p.completeAttemptLocked(now, a, policy.StatusNotSent, nil, httpmsg.Response{})
		})
		return
	}
	p.spawn(func() { p.runAttempt(a, peer) })
}

// newAttempt adds an attempt to r and counts it. The caller holds mu.
func (p *Pool) newAttempt(r *request, endpoint policy.EndpointID, timeout time.Duration) *attempt {
	now := time.Now()
	listed := p.endpoints[endpoint]
	a := &attempt{
		request: r, number: len(r.policyRequest.PriorAttempts) + len(r.attempts), endpoint: endpoint, zone: listed.Zone, cell: listed.Cell,
		sentAt: now.Sub(p.clock.origin), deadline: now.Add(timeout),
	}
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight++
	p.stats.Add(statslog.Attempts, 1)
	if a.number > 0 {
		p.stats.Add(statslog.FurtherAttempts, 1)
	}
	if p.statsLogged && p.warmingUp(a.sentAt, endpoint) {
		p.stats.Add(statslog.SlowStartAttempts, 1)
	}
	return a
}

// CancelAttempt implements policy.Actions.
func (p *Pool) CancelAttempt(id policy.RequestID, attempt int) {
	r := p.requests[id]
	if r == nil {
		return
	}
	i := attempt - len(r.policyRequest.PriorAttempts)
	if i >= 0 && i < len(r.attempts) {
		r.attempts[i].cancel()
	}
}

// Reject implements policy.Actions.
func (p *Pool) Reject(id policy.RequestID, retryAfter time.Duration) {
	r := p.requests[id]
	p.reject(r, r.lastFailureOr(httpmsg.Response{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter}, true))
}

// Fail implements policy.Actions.
func (p *Pool) Fail(id policy.RequestID) {
	r := p.requests[id]
	p.finish(r, r.lastFailureOr(httpmsg.Response{Status: http.StatusBadGateway}, false))
}

// Log implements policy.Actions.
func (p *Pool) Log(text string) { p.log.Info("policy: " + text) }
