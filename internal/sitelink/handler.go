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
	extension *Extension
	gateway   *gateway.Gateway
}

// responseHeader is a head with the field of a hop's answer.
func (b *Extension) responseHeader(a siteheader.Response) http.Header {
	a.Stamp = b.now()
	text, err := a.String()
	if err != nil {
		return nil
	}
	return http.Header{siteheader.ResponseField: {text}}
}

// rejection turns a request away of which nothing has run.
func (h *handler) rejection(status int, text string) httpmsg.RejectionError {
	return httpmsg.RejectionError{Status: status, Text: text, Header: h.extension.responseHeader(siteheader.Response{Outcome: siteheader.Rejected})}
}

// Admit is the method of downstream.Handler.
func (h *handler) Admit(q *httpmsg.Request) (downstream.AdmittedRequest, downstream.PoolID, error) {
	if h.extension.peer(q.Peer) == nil {
		return nil, 0, h.rejection(http.StatusForbidden, "not a peer of this site")
	}
	if q.Path == healthCheckTarget && q.Method == http.MethodGet {
		return h.answerHealthCheck(q)
	}
	r, err := siteheader.ParseRequest(q.Header.Values(siteheader.RequestField), h.extension.cfg.Site)
	switch {
	case errors.Is(err, siteheader.ErrVersion):
		return nil, 0, h.rejection(http.StatusHTTPVersionNotSupported, err.Error())
	case errors.Is(err, siteheader.ErrLoop):
		return nil, 0, h.rejection(http.StatusLoopDetected, err.Error())
	case err != nil:
		return nil, 0, h.rejection(http.StatusBadRequest, err.Error())
	case r.Origin != q.Peer:
		return nil, 0, h.rejection(http.StatusForbidden, "the origin is not the peer that sends it")
	}
	c := h.extension.links[r.Pool]
	if c == nil {
		return nil, 0, h.rejection(http.StatusNotFound, "no such pool takes requests of other sites")
	}
	if rules := c.forwardRules(r.Class); rules.HasIdempotencyKey && !rules.SharedDedup {
		return nil, 0, h.rejection(http.StatusForbidden, "repeats of the class are not dropped at both sites together")
	}
	if h.extension.draining.Load() {
		return nil, 0, h.rejection(http.StatusServiceUnavailable, "the site drains")
	}
	late := r.Delay(h.extension.now())
	if late > r.StallTimeout || late >= r.TimeLeft {
		// The link has held it up until its sender had given it up: it was answered there, and must not go on here.
		return nil, 0, h.rejection(http.StatusServiceUnavailable, "it was on its way for too long")
	}
	r.TimeLeft -= late
	q.Header.Del(siteheader.RequestField)
	f := pool.ForwardedAttributes{Timeout: r.TimeLeft, PolicyRequest: policy.Request{
		Class: r.Class, Tenant: r.Tenant, Key: r.Key, ExpectedWork: r.ExpectedWork, IsRetry: r.IsRetry, MaxAttempts: r.AttemptsMade + r.AttemptsAllowed,
	}}
	if len(r.Executions) > r.AttemptsMade {
		return nil, 0, h.rejection(http.StatusBadRequest, "more groups may have run it than attempts were made")
	}
	for _, p := range r.Executions {
		f.PolicyRequest.PriorAttempts = append(f.PolicyRequest.PriorAttempts, policy.PriorAttempt{Zone: p.Group.Zone, Cell: p.Group.Cell, DedupRemaining: p.DedupRemaining})
	}
	for len(f.PolicyRequest.PriorAttempts) < r.AttemptsMade {
		f.PolicyRequest.PriorAttempts = append(f.PolicyRequest.PriorAttempts, policy.PriorAttempt{NotExecuted: true})
	}
	a, owner, err := h.gateway.AdmitFromSite(q, r.Pool, f)
	if err != nil {
		var why httpmsg.RejectionError
		if !errors.As(err, &why) {
			return nil, owner, err
		}
		why.Header = h.extension.responseHeader(siteheader.Response{Outcome: siteheader.Rejected, Credits: c.availableCredits()})
		return nil, owner, why
	}
	return &admittedRequest{AdmittedRequest: a, link: c}, owner, nil
}

// answerHealthCheck answers a probe with the room of the pool that it asks about.
func (h *handler) answerHealthCheck(q *httpmsg.Request) (downstream.AdmittedRequest, downstream.PoolID, error) {
	c := h.extension.links[q.Header.Get(healthCheckPoolField)]
	if c == nil && q.Header.Get(healthCheckPoolField) != "" {
		return nil, 0, h.rejection(http.StatusNotFound, "no such pool takes requests of other sites")
	}
	if h.extension.draining.Load() {
		return nil, 0, h.rejection(http.StatusServiceUnavailable, "the site drains")
	}
	a := siteheader.Response{Outcome: siteheader.Served}
	if c != nil && h.gateway.HasReadyEndpoint(c.name) {
		a.Credits = c.availableCredits()
	}
	return fixedResponse{httpmsg.Response{Status: http.StatusOK, Header: h.extension.responseHeader(a)}}, 0, nil
}

// fixedResponse is a request whose answer is known.
type fixedResponse struct{ response httpmsg.Response }

func (t fixedResponse) Dispatch([]byte, httpmsg.BodyStream) (downstream.Exchange, error) {
	return t, nil
}
func (fixedResponse) Release()     {}
func (fixedResponse) Cancel() bool { return false }
func (t fixedResponse) Response() <-chan httpmsg.Response {
	c := make(chan httpmsg.Response, 1)
	c <- t.response
	return c
}

// availableCredits is what the pool grants now.
func (c *poolLink) availableCredits() int {
	now := c.extension.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.grant.Available(now)
}

// admittedRequest is a foreign request that the pool's limits let in.
type admittedRequest struct {
	downstream.AdmittedRequest
	link *poolLink
}

// Dispatch is the method of downstream.AdmittedRequest.
func (a *admittedRequest) Dispatch(body []byte, rest httpmsg.BodyStream) (downstream.Exchange, error) {
	x, err := a.AdmittedRequest.Dispatch(body, rest)
	if err != nil {
		var why httpmsg.RejectionError
		if errors.As(err, &why) {
			why.Header = a.link.extension.responseHeader(siteheader.Response{Outcome: siteheader.Rejected, Credits: a.link.availableCredits()})
			return nil, why
		}
		return nil, err
	}
	a.link.mu.Lock()
	a.link.grant.RecordRemote(a.link.extension.now())
	a.link.mu.Unlock()
	return newExchange(a.link, x), nil
}

// exchange is one that a pool has taken. Its answer is given the field of the hop.
type exchange struct {
	downstream.Exchange
	link       *poolLink
	response   chan httpmsg.Response
	clientGone chan struct{}
}

// attemptSummarizer is a downstream.Exchange that knows what was attempted for its request.
type attemptSummarizer interface {
	AttemptSummary() (attempts int, mayHaveExecuted bool)
}

// The exchanges of a pool are found to be attemptSummarizers by a type assertion at run time.
var _ attemptSummarizer = (*pool.Exchange)(nil)

func newExchange(c *poolLink, x downstream.Exchange) *exchange {
	e := &exchange{Exchange: x, link: c, response: make(chan httpmsg.Response, 1), clientGone: make(chan struct{})}
	c.extension.goroutines.Go(func() {
		select {
		case ans := <-x.Response():
			e.response <- e.addResponseHeader(ans)
		case <-e.clientGone:
			e.recordDone(false)
		}
	})
	return e
}

func (e *exchange) recordDone(refused bool) int {
	now := e.link.extension.now()
	e.link.mu.Lock()
	defer e.link.mu.Unlock()
	e.link.grant.RecordRemoteDone(now, refused)
	return e.link.grant.Available(now)
}

// addResponseHeader adds the field of the hop to an answer.
func (e *exchange) addResponseHeader(ans httpmsg.Response) httpmsg.Response {
	refused := ans.Status == http.StatusTooManyRequests || ans.Status == http.StatusServiceUnavailable
	a := siteheader.Response{Outcome: siteheader.MayHaveExecuted, Credits: e.recordDone(refused)}
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
	if e.link.extension.draining.Load() {
		a.Credits = 0
	}
	head := ans.Header.Clone()
	if head == nil {
		head = http.Header{}
	}
	for name, values := range e.link.extension.responseHeader(a) {
		head[name] = values
	}
	ans.Header = head
	return ans
}

// Response is the method of downstream.Exchange.
func (e *exchange) Response() <-chan httpmsg.Response { return e.response }

// Cancel is the method of downstream.Exchange.
func (e *exchange) Cancel() bool {
	if !e.Exchange.Cancel() {
		return false
	}
	close(e.clientGone)
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
