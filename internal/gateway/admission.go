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

// bodyBytesPerWorkUnit is how many bytes of a body cost the process as much as a request without one.
const bodyBytesPerWorkUnit = 8 << 10

// admittedRequest implements downstream.AdmittedRequest. It holds a part of its pool's quota until Release.
type admittedRequest struct {
	gateway       *Gateway
	instance      *poolInstance
	request       *httpmsg.Request
	parsed        pool.ParsedRequest
	reservedBytes int64 // of body memory
	fromSite      bool  // another site has sent it
}

// asAdmitted is the result of Gateway.admit as downstream.Handler has it: without a request of a nil pointer.
func asAdmitted(a *admittedRequest, id downstream.PoolID, err error) (downstream.AdmittedRequest, downstream.PoolID, error) {
	if err != nil {
		return nil, id, err
	}
	return a, id, nil
}

// admit counts request r as work of pool p, and takes a part of its quota for it, unless it was not parsed: parseErr is
// then returned. The error is a httpmsg.RejectionError.
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
		return nil, id, rejection
	}
	return &admittedRequest{gateway: g, instance: p, request: r, parsed: parsed, reservedBytes: bytes}, id, nil
}

// rejection is what the client of a request is told that was not admitted.
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

// Dispatch implements downstream.AdmittedRequest: it submits the request to its pool.
func (a *admittedRequest) Dispatch(body []byte, remainder httpmsg.BodyStream) (downstream.Exchange, error) {
	a.request.Body, a.request.Remainder = body, remainder
	a.releaseUnusedBytes(int64(len(body)))
	if a.instance.spillover != nil && !a.fromSite {
		a.instance.spillover.RecordRequest(a.parsed.Class())
	}
	x, err := a.instance.pool.Submit(a.request, a.parsed, a.Release)
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

// releaseUnusedBytes gives back the body memory beyond used bytes.
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
