package gateway

import (
	"errors"
	"net/http"

	"sorrelrudder/internal/downstream"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/metrics"
	"sorrelrudder/internal/pool"
	"sorrelrudder/internal/quota"
)

// bodyBytesPerWorkUnit is the number of body bytes whose processing costs as much CPU time as a request without a body.
const bodyBytesPerWorkUnit = 8 << 10

// admittedRequest implements downstream.AdmittedRequest. It holds a share of its pool's quota until Release.
type admittedRequest struct {
	gateway       *Gateway
	instance      *poolInstance
	request       *httpmsg.Request
	parsed        pool.ParsedRequest
	reservedBytes int64 // body memory reserved for the request, in bytes
	fromSite      bool  // the request was forwarded by another site
}

// asAdmitted converts the result of Gateway.admit to that of downstream.Handler.Admit. On error it returns a nil interface rather than an
// interface that holds a nil pointer.
func asAdmitted(a *admittedRequest, id downstream.PoolID, err error) (downstream.AdmittedRequest, downstream.PoolID, error) {
	if err != nil {
		return nil, id, err
	}
	return a, id, nil
}

// admit records request r as work of pool p and reserves quota of the pool for it. If parseErr is not nil the request could not be parsed:
// admit reserves nothing and returns parseErr. The error is an httpmsg.RejectionError.
func (g *Gateway) admit(p *poolInstance, r *httpmsg.Request, parsed pool.ParsedRequest, parseErr error) (*admittedRequest, downstream.PoolID, error) {
	id := downstream.PoolID(p.id)
	bytes := r.Length
	if bytes < 0 || bytes > httpmsg.MaxBufferedBodyBytes {
		bytes = httpmsg.MaxBufferedBodyBytes
	}
	q := &g.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.pacer.RecordWork(now, p.id, 1+float64(bytes)/bodyBytesPerWorkUnit)
	if parseErr != nil {
		return nil, id, parseErr
	}
	if d := q.admission.Admit(now, p.id, bytes); d.Reason != quota.Admitted {
		rejection := p.rejection(d)
		g.counters.RecordOutcome(parsed.Class(), metrics.OutcomeOfStatus(rejection.Status))
		g.events.Info("request not admitted", "request", parsed.RequestID(), "class", parsed.Class(), "status", rejection.Status, "reason", rejection.Text)
		return nil, id, rejection
	}
	return &admittedRequest{gateway: g, instance: p, request: r, parsed: parsed, reservedBytes: bytes}, id, nil
}

// rejection returns the error that is sent to the client of a request that was not admitted.
func (p *poolInstance) rejection(d quota.Decision) httpmsg.RejectionError {
	rejection := httpmsg.RejectionError{Status: http.StatusServiceUnavailable, Text: d.Reason.String()}
	if d.Reason == quota.RateExceeded || d.Reason == quota.TooManyOpen {
		rejection.Status = http.StatusTooManyRequests
	}
	if !p.policy.RetryAfterHonored {
		return rejection
	}
	rejection.RetryAfter = d.RetryAfter
	if p.policy.MaxRetryAfter > 0 {
		rejection.RetryAfter = min(rejection.RetryAfter, p.policy.MaxRetryAfter)
	}
	return rejection
}

// Dispatch implements downstream.AdmittedRequest. It submits the request to its pool.
func (a *admittedRequest) Dispatch(body []byte, remainder httpmsg.RequestStream) (downstream.Exchange, error) {
	a.request.Body, a.request.Remainder = body, remainder
	a.releaseUnusedBytes(int64(len(body)))
	if a.instance.spillover != nil && !a.fromSite {
		a.instance.spillover.RecordRequest(a.parsed.Class())
	}
	x, err := a.instance.pool.Submit(a.request, a.parsed, a.Release)
	a.request.Body, a.request.Remainder = nil, nil // the pool keeps the body as long as it needs it
	if err != nil {
		a.Release()
		var rejection httpmsg.RejectionError
		if errors.As(err, &rejection) {
			a.gateway.counters.RecordOutcome(a.parsed.Class(), metrics.OutcomeOfStatus(rejection.Status))
		}
		return nil, err
	}
	return x, nil
}

// releaseUnusedBytes returns the reserved body memory beyond used bytes to the quota.
func (a *admittedRequest) releaseUnusedBytes(used int64) {
	unused := a.reservedBytes - used
	if unused <= 0 {
		return
	}
	q := &a.gateway.quotas
	q.mu.Lock()
	q.admission.ReleaseBody(a.instance.id, unused)
	q.mu.Unlock()
	a.reservedBytes -= unused
}

// Release implements downstream.AdmittedRequest.
func (a *admittedRequest) Release() {
	q := &a.gateway.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admission.Release(a.instance.id, a.reservedBytes)
}
