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

// handler handles the requests that arrive at the inter-site listeners.
type handler struct {
	extension *Extension
	gateway   *gateway.Gateway
}

var _ downstream.Handler = (*handler)(nil)

// responseHeader returns a header that contains only the ResponseField. It returns nil if r cannot be encoded.
func (e *Extension) responseHeader(r siteheader.Response) http.Header {
	r.Stamp = e.now()
	text, err := r.String()
	if err != nil {
		return nil
	}
	return http.Header{siteheader.ResponseField: {text}}
}

// rejection returns the rejection of a request that was not executed.
func (h *handler) rejection(status int, text string) httpmsg.RejectionError {
	header := h.extension.responseHeader(siteheader.Response{Outcome: siteheader.Rejected})
	return httpmsg.RejectionError{Status: status, Text: text, Header: header}
}

// Admit implements downstream.Handler. The error is an httpmsg.RejectionError whose header states that the request was not executed.
func (h *handler) Admit(q *httpmsg.Request) (downstream.AdmittedRequest, downstream.PoolID, error) {
	if h.extension.peer(q.Peer) == nil {
		return nil, 0, h.rejection(http.StatusForbidden, "not a peer of this site")
	}
	if q.Path == healthCheckTarget && q.Method == http.MethodGet {
		return h.answerHealthCheck(q)
	}
	r, err := h.parseField(q)
	if err != nil {
		return nil, 0, err
	}
	l, err := h.targetLink(r)
	if err != nil {
		return nil, 0, err
	}
	delay := r.Delay(h.extension.now())
	if delay > r.StallTimeout || delay >= r.TimeLeft {
		// The sender has already given up the request and responded to its client, so the request must not be executed.
		return nil, 0, h.rejection(http.StatusServiceUnavailable, "it was on its way for too long")
	}
	r.TimeLeft -= delay
	q.Header.Del(siteheader.RequestField)
	if len(r.Executions) > r.AttemptsMade {
		return nil, 0, h.rejection(http.StatusBadRequest, "more groups may have run it than attempts were made")
	}
	a, poolID, err := h.gateway.AdmitFromSite(q, r.Pool, forwardedAttributes(r))
	if err != nil {
		return nil, poolID, l.withCredits(err)
	}
	return &admittedRequest{AdmittedRequest: a, link: l}, poolID, nil
}

// parseField parses the RequestField and checks that its origin is the sending peer. The error is an httpmsg.RejectionError.
func (h *handler) parseField(q *httpmsg.Request) (*siteheader.Request, error) {
	r, err := siteheader.ParseRequest(q.Header.Values(siteheader.RequestField), h.extension.cfg.Site)
	switch {
	case errors.Is(err, siteheader.ErrVersion):
		return nil, h.rejection(http.StatusHTTPVersionNotSupported, err.Error())
	case errors.Is(err, siteheader.ErrLoop):
		return nil, h.rejection(http.StatusLoopDetected, err.Error())
	case err != nil:
		return nil, h.rejection(http.StatusBadRequest, err.Error())
	case r.Origin != q.Peer:
		return nil, h.rejection(http.StatusForbidden, "the origin is not the peer that sends it")
	}
	return r, nil
}

// targetLink returns the link of the pool that a request is for. It rejects a request that the pool does not currently accept from other
// sites; the error is an httpmsg.RejectionError.
func (h *handler) targetLink(r *siteheader.Request) (*poolLink, error) {
	l := h.extension.links[r.Pool]
	if l == nil {
		return nil, h.rejection(http.StatusNotFound, "no such pool takes requests of other sites")
	}
	if rules := l.forwardRules(r.Class); rules.HasIdempotencyKey && !rules.SharedDedup {
		return nil, h.rejection(http.StatusForbidden, "repeats of the class are not dropped at both sites together")
	}
	if h.extension.draining.Load() {
		return nil, h.rejection(http.StatusServiceUnavailable, "the site drains")
	}
	return l, nil
}

// forwardedAttributes converts the attributes of a forwarded request to those that the pool expects.
func forwardedAttributes(r *siteheader.Request) pool.ForwardedAttributes {
	f := pool.ForwardedAttributes{Timeout: r.TimeLeft, PolicyRequest: policy.Request{
		Class:        r.Class,
		Tenant:       r.Tenant,
		Key:          r.Key,
		ExpectedWork: r.ExpectedWork,
		IsRetry:      r.IsRetry,
		MaxAttempts:  r.AttemptsMade + r.AttemptsAllowed,
	}}
	for _, e := range r.Executions {
		prior := policy.PriorAttempt{Zone: e.Group.Zone, Cell: e.Group.Cell, DedupRemaining: e.DedupRemaining}
		f.PolicyRequest.PriorAttempts = append(f.PolicyRequest.PriorAttempts, prior)
	}
	for len(f.PolicyRequest.PriorAttempts) < r.AttemptsMade {
		f.PolicyRequest.PriorAttempts = append(f.PolicyRequest.PriorAttempts, policy.PriorAttempt{NotExecuted: true})
	}
	return f
}

// answerHealthCheck responds to a health check with the credits of the pool that its healthCheckPoolField names.
func (h *handler) answerHealthCheck(q *httpmsg.Request) (downstream.AdmittedRequest, downstream.PoolID, error) {
	name := q.Header.Get(healthCheckPoolField)
	l := h.extension.links[name]
	if l == nil && name != "" {
		return nil, 0, h.rejection(http.StatusNotFound, "no such pool takes requests of other sites")
	}
	if h.extension.draining.Load() {
		return nil, 0, h.rejection(http.StatusServiceUnavailable, "the site drains")
	}
	r := siteheader.Response{Outcome: siteheader.Served}
	if l != nil && h.gateway.HasReadyEndpoint(l.name) {
		r.Credits = l.availableCredits()
	}
	return fixedResponse{httpmsg.Response{Status: http.StatusOK, Header: h.extension.responseHeader(r)}}, 0, nil
}

// ReadDelay implements downstream.Handler: peers are limited by credits, not by pacing.
func (*handler) ReadDelay(downstream.PoolID, int) time.Duration { return 0 }

// AcquireConnection implements downstream.Handler.
func (*handler) AcquireConnection(downstream.PoolID) bool { return true }

// ReleaseConnection implements downstream.Handler.
func (*handler) ReleaseConnection(downstream.PoolID) {}

// ConnectionExcess implements downstream.Handler.
func (*handler) ConnectionExcess(downstream.PoolID) int64 { return 0 }

// fixedResponse is a request whose response is known without dispatching it.
type fixedResponse struct{ response httpmsg.Response }

// Dispatch implements downstream.AdmittedRequest.
func (f fixedResponse) Dispatch([]byte, httpmsg.RequestStream) (downstream.Exchange, error) {
	return f, nil
}

// Release implements downstream.AdmittedRequest.
func (fixedResponse) Release() {}

// Cancel implements downstream.Exchange.
func (fixedResponse) Cancel() bool { return false }

// Response implements downstream.Exchange.
func (f fixedResponse) Response() <-chan httpmsg.Response {
	c := make(chan httpmsg.Response, 1)
	c <- f.response
	return c
}
