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

// bodyWork is how many bytes of a body are as much work as a request without one.
const bodyWork = 8 << 10

// find returns the pool of a request, and its path below the route.
func (t *table) find(q *httpmsg.Request) (*member, string, error) {
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
		return nil, "", httpmsg.Bad{Status: status, Text: err.Error()}
	}
	q.URI = m.Below(q.URI)
	return t.pools[m.Pool], rest, nil
}

// Admit is the method of downstream.Handler.
func (h *handler) Admit(q *httpmsg.Request) (downstream.Admission, downstream.Owner, error) {
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
func (g *Gateway) admit(m *member, q *httpmsg.Request, ask pool.ParsedRequest, err error) (*admission, downstream.Owner, error) {
	owner := downstream.Owner(m.key)
	room := q.Length
	if room < 0 || room > httpmsg.MostBody { // so much of a long one is held
		room = httpmsg.MostBody
	}
	g.shares.Lock()
	defer g.shares.Unlock()
	now := g.now()
	g.pacer.RecordWork(now, m.key, 1+float64(room)/bodyWork)
	if err != nil {
		return nil, owner, err
	}
	if v := g.admission.Admit(now, m.key, room); v.Reason != quota.Admitted {
		bad := refusal(m, v)
		g.counts.Ended(ask.Class(), metrics.Of(bad.Status))
		return nil, owner, bad
	}
	return &admission{g: g, m: m, q: q, ask: ask, room: room}, owner, nil
}

// refusal is what a client is told whose request is not admitted.
func refusal(m *member, v quota.Decision) httpmsg.Bad {
	bad := httpmsg.Bad{Status: http.StatusServiceUnavailable, Text: v.Reason.String()}
	if v.Reason == quota.RateExceeded || v.Reason == quota.TooManyOpen {
		bad.Status = http.StatusTooManyRequests
	}
	if cfg := m.module; cfg.RetryAfterHonored {
		bad.RetryAfter = v.RetryAfter
		if cfg.MaxRetryAfter > 0 {
			bad.RetryAfter = min(bad.RetryAfter, cfg.MaxRetryAfter)
		}
	}
	return bad
}

// Pause is the method of downstream.Handler.
func (h *handler) Pause(o downstream.Owner, refused int) time.Duration {
	g := (*Gateway)(h)
	g.shares.Lock()
	defer g.shares.Unlock()
	return g.pacer.ReadDelay(g.now(), quota.PoolID(o), refused)
}

// Hold is the method of downstream.Handler.
func (h *handler) Hold(o downstream.Owner) bool {
	g := (*Gateway)(h)
	g.shares.Lock()
	defer g.shares.Unlock()
	return g.conns.Acquire(quota.PoolID(o), 1)
}

// Drop is the method of downstream.Handler.
func (h *handler) Drop(o downstream.Owner) {
	g := (*Gateway)(h)
	g.shares.Lock()
	defer g.shares.Unlock()
	g.conns.Release(quota.PoolID(o), 1)
}

// Excess is the method of downstream.Handler.
func (h *handler) Excess(o downstream.Owner) int64 {
	g := (*Gateway)(h)
	g.shares.Lock()
	defer g.shares.Unlock()
	return g.conns.Excess(quota.PoolID(o))
}

// admission is a request that its pool's limits let in.
type admission struct {
	g    *Gateway
	m    *member
	q    *httpmsg.Request
	ask  pool.ParsedRequest
	room int64

	foreign bool
}

// Take is the method of downstream.Admission.
func (a *admission) Take(body []byte, rest httpmsg.Rest) (downstream.Exchange, error) {
	a.q.Body, a.q.Rest = body, rest
	if unused := a.room - int64(len(body)); unused > 0 {
		a.g.shares.Lock()
		a.g.admission.ReleaseBody(a.m.key, unused)
		a.g.shares.Unlock()
		a.room -= unused
	}
	if a.m.crossing != nil && !a.foreign {
		a.m.crossing.Offered(a.ask.Class())
	}
	x, err := a.m.pool.Submit(a.q, a.ask, a.Release)
	if err != nil {
		a.Release()
		if bad := (httpmsg.Bad{}); errors.As(err, &bad) {
			a.g.counts.Ended(a.ask.Class(), metrics.Of(bad.Status))
		}
		return nil, err
	}
	return x, nil
}

// Release is the method of downstream.Admission.
func (a *admission) Release() {
	a.g.shares.Lock()
	defer a.g.shares.Unlock()
	a.g.admission.Release(a.m.key, a.room)
}
