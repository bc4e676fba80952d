package sitelink

import (
	"net/http"
	"time"

	"sorrelrudder/internal/pool"
	"sorrelrudder/internal/siteheader"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

// poolLink implements the protocol of the pool whose only endpoint is the peer.
var _ pool.BackendProtocol = (*poolLink)(nil)

// HealthCheckTarget implements pool.BackendProtocol.
func (l *poolLink) HealthCheckTarget() string { return healthCheckTarget }

// ExtraFields implements pool.BackendProtocol. It returns the RequestField of a forwarded request, or nil if an attribute of the request
// cannot be encoded.
func (l *poolLink) ExtraFields(q *policy.Request, _ http.Header, left time.Duration) []upstream.Field {
	now := l.extension.now()
	l.mu.Lock()
	peerClock, age, stallTimeout := l.peerClock, now-l.peerClockReadAt, l.spillover.TimeToStall(now)
	l.mu.Unlock()
	r := siteheader.Request{
		Stamp:           peerClock,
		StampAge:        age,
		StallTimeout:    min(stallTimeout, left),
		TimeLeft:        max(time.Millisecond, left-returnMargin),
		Pool:            l.name,
		Class:           q.Class,
		Tenant:          q.Tenant,
		Key:             q.Key,
		ExpectedWork:    q.ExpectedWork,
		IsRetry:         q.IsRetry,
		AttemptsMade:    len(q.PriorAttempts),
		AttemptsAllowed: max(1, l.maxAttempts-len(q.PriorAttempts)),
		Origin:          l.extension.cfg.Site,
		Path:            []string{l.extension.cfg.Site},
	}
	for _, p := range q.PriorAttempts {
		// spillover.MayForward allows a prior execution only if the class is idempotent or both sites deduplicate it together.
		if !p.NotExecuted {
			r.Executions = append(r.Executions, siteheader.Execution{DedupRemaining: p.DedupRemaining})
		}
	}
	text, err := r.String()
	if err != nil { // a name cannot be encoded in a header field; the peer rejects a request without the field
		l.log.Warn("request cannot be forwarded: its attributes cannot be encoded in a header field", "err", err)
		return nil
	}
	return []upstream.Field{{Name: siteheader.RequestField, Value: text}}
}

// ClassifyResponse implements pool.BackendProtocol. It also records the peer's credits and clock from the ResponseField.
func (l *poolLink) ClassifyResponse(status int, h http.Header) (policy.Status, *policy.LoadReport) {
	r, err := siteheader.ParseResponse(h.Values(siteheader.ResponseField), l.maxAttempts)
	now := l.extension.now()
	if err == nil {
		l.mu.Lock()
		l.spillover.RecordGrant(now, r.Credits)
		l.peerClock, l.peerClockReadAt = r.Stamp, now
		l.mu.Unlock()
	}
	load := &policy.LoadReport{Queue: 0, InFlight: -1, Latency: -1, ErrorRate: -1}
	switch {
	case err == nil && r.Outcome == siteheader.Served && status == http.StatusOK:
		return policy.StatusOK, load
	case err == nil && r.Outcome == siteheader.Rejected:
		return policy.StatusOverloaded, load
	}
	return policy.StatusApplicationError, load
}
