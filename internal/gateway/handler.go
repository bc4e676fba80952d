package gateway

import (
	"errors"
	"net/http"
	"time"

	"sorrelrudder/internal/downstream"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/metrics"
	"sorrelrudder/internal/pool"
	"sorrelrudder/internal/quota"
	"sorrelrudder/internal/route"
)

// handler is what a Gateway is to the connections of its clients.
type handler Gateway

// bodyBytesPerWorkUnit is how many bytes of a body are as much work as a request without one.
const bodyBytesPerWorkUnit = 8 << 10

// find returns the pool of a request, and its path below the route.
func (t *routingTable) find(q *httpmsg.Request) (*poolInstance, string, error) {
	if t.routes == nil {
		return t.only, q.Path, nil
	}
	m, rest, err := t.routes.Find(q.Host, q.Path, q.URI)
	if err != nil {
		status := http.StatusBadRequest
		switch {
		case errors.Is(err, route.ErrUnknownHost):
			status = http.StatusMisdirectedRequest
		case errors.Is(err, route.ErrUnknownPath):
			status = http.StatusNotFound
		}
		return nil, "", httpmsg.RejectionError{Status: status, Text: err.Error()}
	}
	q.URI = m.Below(q.URI)
	return t.pools[m.Pool], rest, nil
}

// Admit is the method of downstream.Handler.
func (h *handler) Admit(q *httpmsg.Request) (downstream.AdmittedRequest, downstream.PoolID, error) {
	g := (*Gateway)(h)
	m, rest, err := g.table.Load().find(q)
	if err != nil {
		return nil, 0, err
	}
	ask, err := m.pool.ParseRequest(q, rest)
	a, owner, err := g.admit(m, q, ask, err)
	if err != nil {
		return nil, owner, err
	}
	return a, owner, nil
}

// admit asks the limits of pool m about a request that is legal there unless err is set.
func (g *Gateway) admit(m *poolInstance, q *httpmsg.Request, ask pool.ParsedRequest, err error) (*admittedRequest, downstream.PoolID, error) {
	owner := downstream.PoolID(m.key)
	room := q.Length
	if room < 0 || room > httpmsg.MaxBufferedBodyBytes { // so much of a long one is held
		room = httpmsg.MaxBufferedBodyBytes
	}
	g.quotaMu.Lock()
	defer g.quotaMu.Unlock()
	now := g.now()
	g.pacer.RecordWork(now, m.key, 1+float64(room)/bodyBytesPerWorkUnit)
	if err != nil {
		return nil, owner, err
	}
	if v := g.admission.Admit(now, m.key, room); v.Reason != quota.Admitted {
		bad := rejection(m, v)
		g.counters.RecordOutcome(ask.Class(), metrics.OutcomeOfStatus(bad.Status))
		return nil, owner, bad
	}
	return &admittedRequest{gateway: g, pool: m, request: q, poolRequest: ask, reservedBytes: room}, owner, nil
}

// rejection is what a client is told whose request is not admitted.
func rejection(m *poolInstance, v quota.Decision) httpmsg.RejectionError {
	bad := httpmsg.RejectionError{Status: http.StatusServiceUnavailable, Text: v.Reason.String()}
	if v.Reason == quota.RateExceeded || v.Reason == quota.TooManyOpen {
		bad.Status = http.StatusTooManyRequests
	}
	if cfg := m.policy; cfg.RetryAfterHonored {
		bad.RetryAfter = v.RetryAfter
		if cfg.MaxRetryAfter > 0 {
			bad.RetryAfter = min(bad.RetryAfter, cfg.MaxRetryAfter)
		}
	}
	return bad
}

// ReadDelay is the method of downstream.Handler.
func (h *handler) ReadDelay(o downstream.PoolID, refused int) time.Duration {
	g := (*Gateway)(h)
	g.quotaMu.Lock()
	defer g.quotaMu.Unlock()
	return g.pacer.ReadDelay(g.now(), quota.PoolID(o), refused)
}

// AcquireConnection is the method of downstream.Handler.
func (h *handler) AcquireConnection(o downstream.PoolID) bool {
	g := (*Gateway)(h)
	g.quotaMu.Lock()
	defer g.quotaMu.Unlock()
	return g.connections.Acquire(quota.PoolID(o), 1)
}

// ReleaseConnection is the method of downstream.Handler.
func (h *handler) ReleaseConnection(o downstream.PoolID) {
	g := (*Gateway)(h)
	g.quotaMu.Lock()
	defer g.quotaMu.Unlock()
	g.connections.Release(quota.PoolID(o), 1)
}

// ConnectionExcess is the method of downstream.Handler.
func (h *handler) ConnectionExcess(o downstream.PoolID) int64 {
	g := (*Gateway)(h)
	g.quotaMu.Lock()
	defer g.quotaMu.Unlock()
	return g.connections.Excess(quota.PoolID(o))
}

// admittedRequest is a request that its pool's limits let in.
type admittedRequest struct {
	gateway       *Gateway
	pool          *poolInstance
	request       *httpmsg.Request
	poolRequest   pool.ParsedRequest
	reservedBytes int64

	fromSite bool
}

// Dispatch is the method of downstream.AdmittedRequest.
func (a *admittedRequest) Dispatch(body []byte, rest httpmsg.BodyStream) (downstream.Exchange, error) {
	a.request.Body, a.request.Remainder = body, rest
	if unused := a.reservedBytes - int64(len(body)); unused > 0 {
		a.gateway.quotaMu.Lock()
		a.gateway.admission.ReleaseBody(a.pool.key, unused)
		a.gateway.quotaMu.Unlock()
		a.reservedBytes -= unused
	}
	if a.pool.spillover != nil && !a.fromSite {
		a.pool.spillover.RecordRequest(a.poolRequest.Class())
	}
	x, err := a.pool.pool.Submit(a.request, a.poolRequest, a.Release)
	if err != nil {
		a.Release()
		if bad := (httpmsg.RejectionError{}); errors.As(err, &bad) {
			a.gateway.counters.RecordOutcome(a.poolRequest.Class(), metrics.OutcomeOfStatus(bad.Status))
		}
		return nil, err
	}
	return x, nil
}

// Release is the method of downstream.AdmittedRequest.
func (a *admittedRequest) Release() {
	a.gateway.quotaMu.Lock()
	defer a.gateway.quotaMu.Unlock()
	a.gateway.admission.Release(a.pool.key, a.reservedBytes)
}
