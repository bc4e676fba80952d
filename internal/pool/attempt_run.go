package pool

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

// errRejectedEarly ends an attempt whose endpoint rejected the request before the complete request was sent.
var errRejectedEarly = errors.New("endpoint rejected the request before the complete request was sent")

// runAttempt executes an attempt and reports its result once. It runs in the attempt's own goroutine.
func (p *Pool) runAttempt(a *attempt, peer *upstream.Peer) {
	conn := p.connect(a, peer)
	if conn == nil {
		return
	}
	q := p.upstreamRequest(a)
	if denial := p.checkBegin(a, peer); denial != beginAllowed {
		conn.Discard()
		p.events.Info("attempt denied", append(a.logAttrs(), "reason", denial)...)
		p.failAttempt(a, policy.StatusNotSent, nil)
		return
	}
	response, err := p.exchange(a, conn, q) //nolint:bodyclose // the connection is closed, or reused once the body is read
	switch {
	case errors.Is(err, errRejectedEarly):
		conn.Discard()
		p.failAttempt(a, policy.StatusOverloaded, nil)
	case err != nil:
		conn.Discard()
		p.completeBroken(a, err)
	default:
		p.completeResponse(a, conn, response)
	}
}

// connect returns a connection for the attempt. It returns nil if it could get none; it has then reported the attempt's result.
func (p *Pool) connect(a *attempt, peer *upstream.Peer) *upstream.Conn {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !a.setInterrupt(cancel) {
		p.failAttempt(a, policy.StatusCanceled, nil)
		return nil
	}
	conn, err := p.conns.Connect(ctx, peer, p.connPurpose(a), a.deadline)
	if err != nil {
		p.completeBroken(a, upstream.NotWrittenError{Err: err})
		return nil
	}
	if !a.setInterrupt(conn.Discard) {
		conn.Discard()
		p.failAttempt(a, policy.StatusCanceled, nil)
		return nil
	}
	return conn
}

// connPurpose returns what the connection of an attempt is used for. Only the platform's protocol tells load reports from the responses to
// requests, and only by their bodies. A long body is not sent where an unexpected response may come, since that ends it.
func (p *Pool) connPurpose(a *attempt) upstream.Purpose {
	r := a.request
	if p.protocol != nil || r.method == http.MethodHead || r.streamedBody != nil {
		return upstream.ForRequest
	}
	return upstream.ForDistinctRequest
}

// upstreamRequest returns the request to send to the endpoint.
func (p *Pool) upstreamRequest(a *attempt) *upstream.Request {
	r := a.request
	left := time.Until(a.deadline)
	q := &upstream.Request{
		Method: r.method, Target: r.uri, Host: r.host, Header: r.header, Body: r.body, StreamedBody: r.streamedBody,
		TimeoutMs: max(1, left.Milliseconds()), KeepWaiting: func() bool { return !p.retryPossible(a) },
	}
	if p.protocol != nil {
		q.ExtraFields = p.protocol.ExtraFields(&r.policyRequest, r.header, left)
	}
	if p.endToEnd != nil {
		q.TimeoutMs = 0 // X-Timeout-Ms belongs to the platform's protocol
	}
	return q
}

// exchange sends a request and returns the head of its response. The error is errRejectedEarly, or the cause that ended the exchange.
func (p *Pool) exchange(a *attempt, conn *upstream.Conn, q *upstream.Request) (*http.Response, error) {
	err := conn.Send(q)
	if err == nil && q.StreamedBody != nil {
		err = p.sendStreamedBody(a, conn, q)
	}
	if errors.Is(err, upstream.ErrEarlyResponse) {
		return p.receiveEarly(a, conn, q, err)
	}
	if err != nil {
		return nil, err
	}
	p.metrics.RecordAttemptWritten()
	return conn.Receive(q)
}

// sendStreamedBody forwards the rest of a long body. The request cannot be retried once this has begun. The error is a NotWrittenError.
func (p *Pool) sendStreamedBody(a *attempt, conn *upstream.Conn, q *upstream.Request) error {
	r := a.request
	p.runEvent(func(now policy.Time) {
		r.body, q.Body, r.sendingBody = nil, nil, true
		p.balancer.HandleBodyStarted(now, r.id, a.number)
	})
	err := conn.SendStreamedBody(q.StreamedBody, r.timeout, func(expires time.Time) {
		p.runEvent(func(now policy.Time) {
			a.sentAt = now
			p.balancer.HandleBodyFinished(now, r.id, now+time.Until(expires), p)
		})
		a.deadline = expires
	})
	p.runEvent(func(policy.Time) { r.sendingBody = false })
	var broken upstream.RequestBodyError
	if !errors.As(err, &broken) {
		return err
	}
	p.finishBrokenBody(r, err)
	return upstream.NotWrittenError{Err: err}
}

// finishBrokenBody ends a request whose body could not be read completely: the client has disconnected, or the body is invalid, too long or
// too slow. The request has not been executed.
func (p *Pool) finishBrokenBody(r *request, err error) {
	response := httpmsg.Response{Status: http.StatusBadRequest}
	var bad httpmsg.RejectionError
	if errors.As(err, &bad) {
		response = bad.Response()
	}
	p.runEvent(func(now policy.Time) {
		if !r.ended {
			p.balancer.HandleRequestAbandoned(now, r.id, p)
			p.finish(r, response)
		}
	})
}

// receiveEarly receives a response that the endpoint sent before it had the complete request. cause is the error that ended the exchange.
// receiveEarly returns the response if it can be used, errRejectedEarly if it proves that the request was not executed, and otherwise cause.
func (p *Pool) receiveEarly(a *attempt, conn *upstream.Conn, q *upstream.Request, cause error) (*http.Response, error) {
	conn.SetReadDeadline(time.Now().Add(a.request.timeout))
	response, err := conn.Receive(q)
	switch {
	case err != nil:
		return nil, cause
	case p.endToEnd != nil: // ordinary servers may respond without reading the rest of the body
		response.Close = true
		return response, nil
	case provesNotExecuted(response):
		return nil, errRejectedEarly
	}
	return nil, cause
}

// completeBroken reports the result of an attempt that ended with err before a complete response.
func (p *Pool) completeBroken(a *attempt, err error) {
	status := policy.StatusReset
	var notWritten upstream.NotWrittenError
	var noDescriptor upstream.NoDescriptorError
	var bodyBroken upstream.RequestBodyError
	switch {
	case a.isCanceled():
		status = policy.StatusCanceled
	case errors.As(err, &noDescriptor), errors.As(err, &bodyBroken): // a local shortage or the client's fault, not a failure of the endpoint
		status = policy.StatusNotSent
	case errors.As(err, &notWritten): // whatever the cause, the endpoint never received the complete request
		status = policy.StatusConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(a.deadline):
		status = policy.StatusTimeout
	}
	p.events.Info("attempt ended without a complete response", append(a.logAttrs(), "status", status, "err", err)...)
	p.failAttempt(a, status, nil)
}
