package sitelink

import (
	"errors"
	"net/http"
	"time"

	"sorrelrudder/internal/downstream"
	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/pool"
	"sorrelrudder/internal/siteheader"
	"sorrelrudder/policy"
)

// handler has the requests that come in at the listeners for other sites.
type handler struct {
	b *Extension
	g *gateway.Gateway
}

// field is a head with the field of a hop's answer.
func (b *Extension) field(a siteheader.Response) http.Header {
	a.Stamp = b.now()
	text, err := a.String()
	if err != nil {
		return nil
	}
	return http.Header{siteheader.ResponseField: {text}}
}

// bad turns a request away of which nothing has run.
func (h *handler) bad(status int, text string) httpmsg.RejectionError {
	return httpmsg.RejectionError{Status: status, Text: text, Header: h.b.field(siteheader.Response{Outcome: siteheader.Rejected})}
}

// Admit is the method of downstream.Handler.
func (h *handler) Admit(q *httpmsg.Request) (downstream.AdmittedRequest, downstream.PoolID, error) {
	if h.b.peer(q.Peer) == nil {
		return nil, 0, h.bad(http.StatusForbidden, "not a peer of this site")
	}
	if q.Path == hopTarget && q.Method == http.MethodGet {
		return h.probed(q)
	}
	r, err := siteheader.ParseRequest(q.Header.Values(siteheader.RequestField), h.b.cfg.Site)
	switch {
	case errors.Is(err, siteheader.ErrVersion):
		return nil, 0, h.bad(http.StatusHTTPVersionNotSupported, err.Error())
	case errors.Is(err, siteheader.ErrLoop):
		return nil, 0, h.bad(http.StatusLoopDetected, err.Error())
	case err != nil:
		return nil, 0, h.bad(http.StatusBadRequest, err.Error())
	case r.Origin != q.Peer:
		return nil, 0, h.bad(http.StatusForbidden, "the origin is not the peer that sends it")
	}
	c := h.b.pools[r.Pool]
	if c == nil {
		return nil, 0, h.bad(http.StatusNotFound, "no such pool takes requests of other sites")
	}
	if rules := c.rules(r.Class); rules.HasIdempotencyKey && !rules.SharedDedup {
		return nil, 0, h.bad(http.StatusForbidden, "repeats of the class are not dropped at both sites together")
	}
	if h.b.draining.Load() {
		return nil, 0, h.bad(http.StatusServiceUnavailable, "the site drains")
	}
	late := r.Delay(h.b.now())
	if late > r.StallTimeout || late >= r.TimeLeft {
		// The link has held it up until its sender had given it up: it was answered there, and must not go on here.
		return nil, 0, h.bad(http.StatusServiceUnavailable, "it was on its way for too long")
	}
	r.TimeLeft -= late
	q.Header.Del(siteheader.RequestField)
	f := pool.ForwardedAttributes{Timeout: r.TimeLeft, PolicyRequest: policy.Request{
		Class: r.Class, Tenant: r.Tenant, Key: r.Key, ExpectedWork: r.ExpectedWork, IsRetry: r.IsRetry, MaxAttempts: r.AttemptsMade + r.AttemptsAllowed,
	}}
	if len(r.Executions) > r.AttemptsMade {
		return nil, 0, h.bad(http.StatusBadRequest, "more groups may have run it than attempts were made")
	}
	for _, p := range r.Executions {
		f.PolicyRequest.PriorAttempts = append(f.PolicyRequest.PriorAttempts, policy.PriorAttempt{Zone: p.Group.Zone, Cell: p.Group.Cell, DedupRemaining: p.DedupRemaining})
	}
	for len(f.PolicyRequest.PriorAttempts) < r.AttemptsMade {
		f.PolicyRequest.PriorAttempts = append(f.PolicyRequest.PriorAttempts, policy.PriorAttempt{NotExecuted: true})
	}
	a, owner, err := h.g.AdmitFromSite(q, r.Pool, f)
	if err != nil {
		var why httpmsg.RejectionError
		if !errors.As(err, &why) {
			return nil, owner, err
		}
		why.Header = h.b.field(siteheader.Response{Outcome: siteheader.Rejected, Credits: c.room()})
		return nil, owner, why
	}
	return &admission{AdmittedRequest: a, c: c}, owner, nil
}

// probed answers a probe with the room of the pool that it asks about.
func (h *handler) probed(q *httpmsg.Request) (downstream.AdmittedRequest, downstream.PoolID, error) {
	c := h.b.pools[q.Header.Get(poolField)]
	if c == nil && q.Header.Get(poolField) != "" {
		return nil, 0, h.bad(http.StatusNotFound, "no such pool takes requests of other sites")
	}
	if h.b.draining.Load() {
		return nil, 0, h.bad(http.StatusServiceUnavailable, "the site drains")
	}
	a := siteheader.Response{Outcome: siteheader.Served}
	if c != nil && h.g.HasReadyEndpoint(c.name) {
		a.Credits = c.room()
	}
	return told{httpmsg.Response{Status: http.StatusOK, Header: h.b.field(a)}}, 0, nil
}

// told is a request whose answer is known.
type told struct{ a httpmsg.Response }

func (t told) Dispatch([]byte, httpmsg.BodyStream) (downstream.Exchange, error) { return t, nil }
func (told) Release()                                                           {}
func (told) Cancel() bool                                                       { return false }
func (t told) Response() <-chan httpmsg.Response {
	c := make(chan httpmsg.Response, 1)
	c <- t.a
	return c
}

// room is what the pool grants now.
func (c *crossing) room() int {
	now := c.bridge.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.grant.Available(now)
}

// admission is a foreign request that the pool's limits let in.
type admission struct {
	downstream.AdmittedRequest
	c *crossing
}

// Dispatch is the method of downstream.AdmittedRequest.
func (a *admission) Dispatch(body []byte, rest httpmsg.BodyStream) (downstream.Exchange, error) {
	x, err := a.AdmittedRequest.Dispatch(body, rest)
	if err != nil {
		var why httpmsg.RejectionError
		if errors.As(err, &why) {
			why.Header = a.c.bridge.field(siteheader.Response{Outcome: siteheader.Rejected, Credits: a.c.room()})
			return nil, why
		}
		return nil, err
	}
	a.c.mu.Lock()
	a.c.grant.RecordRemote(a.c.bridge.now())
	a.c.mu.Unlock()
	return newExchange(a.c, x), nil
}

// exchange is one that a pool has taken. Its answer is given the field of the hop.
type exchange struct {
	downstream.Exchange
	c      *crossing
	answer chan httpmsg.Response
	left   chan struct{}
}

// attemptSummarizer is a downstream.Exchange that knows what was attempted for its request.
type attemptSummarizer interface {
	AttemptSummary() (attempts int, mayHaveExecuted bool)
}

// The exchanges of a pool are found to be attemptSummarizers by a type assertion at run time.
var _ attemptSummarizer = (*pool.Exchange)(nil)

func newExchange(c *crossing, x downstream.Exchange) *exchange {
	e := &exchange{Exchange: x, c: c, answer: make(chan httpmsg.Response, 1), left: make(chan struct{})}
	c.bridge.work.Go(func() {
		select {
		case ans := <-x.Response():
			e.answer <- e.mark(ans)
		case <-e.left:
			e.back(false)
		}
	})
	return e
}

func (e *exchange) back(refused bool) int {
	now := e.c.bridge.now()
	e.c.mu.Lock()
	defer e.c.mu.Unlock()
	e.c.grant.RecordRemoteDone(now, refused)
	return e.c.grant.Available(now)
}

// mark adds the field of the hop to an answer.
func (e *exchange) mark(ans httpmsg.Response) httpmsg.Response {
	refused := ans.Status == http.StatusTooManyRequests || ans.Status == http.StatusServiceUnavailable
	a := siteheader.Response{Outcome: siteheader.MayHaveExecuted, Credits: e.back(refused)}
	ran := true
	if x, ok := e.Exchange.(attemptSummarizer); ok {
		a.Attempts, ran = x.AttemptSummary()
	}
	switch {
	case ans.Status == http.StatusOK:
		a.Outcome = siteheader.Served
	case !ran:
		a.Outcome = siteheader.Rejected
		a.RetryAfter = ans.RetryAfter
	}
	if e.c.bridge.draining.Load() {
		a.Credits = 0
	}
	head := ans.Header.Clone()
	if head == nil {
		head = http.Header{}
	}
	for name, values := range e.c.bridge.field(a) {
		head[name] = values
	}
	ans.Header = head
	return ans
}

// Response is the method of downstream.Exchange.
func (e *exchange) Response() <-chan httpmsg.Response { return e.answer }

// Cancel is the method of downstream.Exchange.
func (e *exchange) Cancel() bool {
	if !e.Exchange.Cancel() {
		return false
	}
	close(e.left)
	return true
}

// ReadDelay is the method of downstream.Handler: peers are not paced, their room is.
func (*handler) ReadDelay(downstream.PoolID, int) time.Duration { return 0 }

// AcquireConnection is the method of downstream.Handler.
func (*handler) AcquireConnection(downstream.PoolID) bool { return true }

// ReleaseConnection is the method of downstream.Handler.
func (*handler) ReleaseConnection(downstream.PoolID) {}

// ConnectionExcess is the method of downstream.Handler.
func (*handler) ConnectionExcess(downstream.PoolID) int64 { return 0 }
