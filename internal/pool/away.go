package pool

import (
	"net/http"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/metrics"
	"sorrelrudder/policy"
)

// Handover is a request that the module has refused here, so that asking for it again is harmless, for whoever may have it
// served elsewhere. Nothing more goes out for it here. Answer must be called once.
type Handover struct {
	Message httpmsg.Request
	Name    string                // its id
	Event   policy.Request        // as the module was told, Prior without the attempts made here
	Until   time.Time             // so long the client waits
	Refusal httpmsg.Answer        // what it is to be answered if it is served nowhere else
	Prior   []policy.PriorAttempt // all attempts so far

	pool *Pool
	r    *request
	left chan struct{}
}

// Left is closed once the client has gone, or the pool has: nobody waits for the answer any more.
func (h *Handover) Left() <-chan struct{} { return h.left }

// Answer gives the request its final answer. After the client has left it does nothing.
func (h *Handover) Answer(a httpmsg.Answer) {
	taken := false
	h.pool.event(func(policy.Time) {
		if h.r.away != h {
			return
		}
		h.r.away, taken = nil, true
		h.pool.answer(h.r, a, metrics.Of(a.Status))
		if a.Rest != nil { // who has served it has the rest
			h.pool.streamed(h.r, true)
		}
		h.pool.forget(h.r)
	})
	if !taken && a.Rest != nil {
		a.Rest.Close(false)
	}
}

// refuse ends r with a refusal, or hands it over.
func (p *Pool) refuse(r *request, refusal httpmsg.Answer) {
	if p.away == nil || p.closed || r == nil || r.ended || r.foreign || r.rest != nil { // a long body cannot be read twice
		p.end(r, refusal)
		return
	}
	now := p.now()
	h := &Handover{
		Message: httpmsg.Request{Method: r.method, URI: r.uri, Host: r.host, Header: r.header.Clone(), Body: r.body, Left: r.left},
		Name:    r.name, Event: r.event, Until: p.origin.Add(r.event.Expires), Refusal: refusal, pool: p, r: r, left: make(chan struct{}),
	}
	if h.Message.Header == nil {
		h.Message.Header = http.Header{}
	}
	h.Prior = append(h.Prior, r.event.PriorAttempts...)
	keep := p.keeps[r.event.Class]
	for _, a := range r.attempts {
		h.Prior = append(h.Prior, policy.PriorAttempt{
			Zone: a.zone, Cell: a.cell, NotExecuted: a.done && a.status.NotExecuted(), DedupRemaining: max(0, keep-(now-a.sent)),
		})
	}
	r.ended, r.away = true, h
	p.spawn(func() { p.away(p.ctx, h) })
}

// Foreign is what another site says of a request that it hands over.
type Foreign struct {
	Event   policy.Request // without ID and Expires
	Timeout time.Duration
}

// LegalForeign is Legal for a request that another site has handed over: what it says of itself is in f.
func (p *Pool) LegalForeign(q *httpmsg.Request, f Foreign) (Ask, error) {
	ask := Ask{event: f.Event, foreign: true, name: q.Header.Get("X-Request-Id")}
	bad := func(status int, text string) (Ask, error) { return Ask{}, httpmsg.Bad{Status: status, Text: text} }
	if ask.name == "" || len(ask.name) > mostID {
		return bad(http.StatusBadRequest, "no usable X-Request-ID")
	}
	effect, known := p.effects[f.Event.Class]
	switch {
	case !known:
		return bad(http.StatusNotFound, "no such class")
	case effect == policy.IdempotentByKey && q.Header.Get("Idempotency-Key") == "":
		return bad(http.StatusBadRequest, "no Idempotency-Key")
	case effect == policy.NonIdempotent:
		for _, prior := range f.Event.PriorAttempts {
			if !prior.NotExecuted { // the other site must not have sent it at all
				return bad(http.StatusBadRequest, "an unsafe request that may have run")
			}
		}
	}
	ask.safe = effect == policy.Idempotent
	ask.timeout = min(f.Timeout, p.longest)
	return ask, nil
}

// TakeOver hands the module a request that another pool of this process has handed over, with so much time.
func (p *Pool) TakeOver(h *Handover, timeout time.Duration, most int) (*Exchange, error) {
	ask := Ask{event: h.Event, timeout: timeout, name: h.Name}
	ask.event.PriorAttempts, ask.event.MaxAttempts = h.Prior, most
	return p.Take(&h.Message, ask, func() {})
}

// Account is how many attempts were made here for a request that has its answer, and whether any of them may have run.
func (e *Exchange) Account() (spent int, ran bool) {
	p := e.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range e.r.attempts {
		ran = ran || !a.done || !a.status.NotExecuted()
	}
	return len(e.r.attempts), ran
}

// Break ends the connections on which attempts at a server are out: what was written whole may have run there.
func (p *Pool) Break(server policy.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.requests {
		for _, a := range r.attempts {
			if a.server == server && !a.done {
				a.cut()
			}
		}
	}
}
