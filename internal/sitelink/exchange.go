package sitelink

import (
	"errors"
	"net/http"

	"sorrelrudder/internal/downstream"
	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/siteheader"
)

// availableCredits returns the number of requests that the pool currently accepts from other sites in addition to those in flight.
func (l *poolLink) availableCredits() int {
	now := l.extension.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grant.Available(now)
}

// withCredits adds the ResponseField with the current credits to err if err is an httpmsg.RejectionError. It returns other errors
// unchanged.
func (l *poolLink) withCredits(err error) error {
	var rejection httpmsg.RejectionError
	if !errors.As(err, &rejection) {
		return err
	}
	rejection.Header = l.extension.responseHeader(siteheader.Response{Outcome: siteheader.Rejected, Credits: l.availableCredits()})
	return rejection
}

// admittedRequest is a request from another site that the pool's limits have admitted.
type admittedRequest struct {
	downstream.AdmittedRequest
	link *poolLink
}

// Dispatch implements downstream.AdmittedRequest.
func (a *admittedRequest) Dispatch(body []byte, remainder httpmsg.RequestStream) (downstream.Exchange, error) {
	x, err := a.AdmittedRequest.Dispatch(body, remainder)
	if err != nil {
		return nil, a.link.withCredits(err)
	}
	a.link.mu.Lock()
	a.link.grant.RecordRemote(a.link.extension.now())
	a.link.mu.Unlock()
	return newExchange(a.link, x), nil
}

// exchange is a request from another site that was dispatched to the pool. It adds the ResponseField to the response.
type exchange struct {
	downstream.Exchange
	link       *poolLink
	response   chan httpmsg.Response
	clientGone chan struct{}
}

func newExchange(l *poolLink, x downstream.Exchange) *exchange {
	e := &exchange{Exchange: x, link: l, response: make(chan httpmsg.Response, 1), clientGone: make(chan struct{})}
	l.extension.goroutines.Go(func() {
		select {
		case response := <-x.Response():
			e.response <- e.withResponseField(response)
		case <-e.clientGone:
			e.recordDone(false)
		}
	})
	return e
}

// recordDone releases the credit of the request and returns the number of credits that are then available.
func (e *exchange) recordDone(rejected bool) int {
	now := e.link.extension.now()
	e.link.mu.Lock()
	defer e.link.mu.Unlock()
	e.link.grant.RecordRemoteDone(now, rejected)
	return e.link.grant.Available(now)
}

// withResponseField returns response with the ResponseField, which states the outcome, the number of attempts and the credits.
func (e *exchange) withResponseField(response httpmsg.Response) httpmsg.Response {
	rejected := response.Status == http.StatusTooManyRequests || response.Status == http.StatusServiceUnavailable
	r := siteheader.Response{Outcome: siteheader.MayHaveExecuted, Credits: e.recordDone(rejected)}
	mayHaveExecuted := true
	if x, ok := e.Exchange.(gateway.AttemptSummarizer); ok {
		r.Attempts, mayHaveExecuted = x.AttemptSummary()
	}
	switch {
	case response.Status == http.StatusOK:
		r.Outcome = siteheader.Served
	case !mayHaveExecuted:
		r.Outcome = siteheader.Rejected
		r.RetryAfter = response.RetryAfter
	}
	if e.link.extension.draining.Load() {
		r.Credits = 0
	}
	header := response.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	for name, values := range e.link.extension.responseHeader(r) {
		header[name] = values
	}
	response.Header = header
	return response
}

// Response implements downstream.Exchange.
func (e *exchange) Response() <-chan httpmsg.Response { return e.response }

// Cancel implements downstream.Exchange.
func (e *exchange) Cancel() bool {
	if !e.Exchange.Cancel() {
		return false
	}
	close(e.clientGone)
	return true
}
