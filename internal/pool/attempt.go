package pool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

const (
	// smallBodyBytes is the length up to which an answer's body is taken at once.
	smallBodyBytes = 4 << 10
	// maxErrorBodyBytes bounds what is read of the body of an answer that is no 200, to use the connection again.
	maxErrorBodyBytes = 4 << 10
)

// attempt is one send of a request.
type attempt struct {
	request   *request
	number    int
	endpoint  policy.EndpointID
	sentAt    policy.Time
	deadline  time.Time
	completed bool          // its outcome is told; under the host's lock
	status    policy.Status // that outcome
	zone      string        // of the server
	cell      int

	mu        sync.Mutex
	canceled  bool
	interrupt func() // ends what the attempt waits for
}

// cancel calls the attempt off. Its goroutine tells the outcome.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.canceled = true
	if a.interrupt != nil {
		a.interrupt()
	}
}

// abort ends what the attempt waits for, as a broken connection does.
func (a *attempt) abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.interrupt != nil {
		a.interrupt()
	}
}

// setInterrupt makes stop what ends the present wait, and reports whether the attempt is still wanted.
func (a *attempt) setInterrupt(stop func()) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.interrupt = stop
	return !a.canceled
}

func (a *attempt) isCanceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canceled
}

// runAttempt carries out one attempt, and tells its one outcome.
func (p *Pool) runAttempt(a *attempt, to *upstream.Peer) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !a.setInterrupt(cancel) {
		p.completeAttempt(a, policy.StatusCanceled, nil, httpmsg.Response{})
		return
	}
	c, err := p.conns.Connect(ctx, to, a.deadline)
	if err != nil {
		p.completeBroken(a, upstream.NotWrittenError{Err: err})
		return
	}
	if !a.setInterrupt(func() { c.Close() }) {
		c.Close()
		p.completeAttempt(a, policy.StatusCanceled, nil, httpmsg.Response{})
		return
	}
	q := p.upstreamRequest(a)
	if !p.mayBegin(a, to) {
		c.Close()
		p.completeAttempt(a, policy.StatusNotSent, nil, httpmsg.Response{})
		return
	}
	var resp *http.Response
	if err = c.Send(q); err == nil && q.StreamedBody != nil {
		err = p.sendStreamedBody(a, c, q)
	}
	if err == nil {
		p.metrics.RecordForwardedAttempt()
		resp, err = c.Receive(q)
	}
	if errors.Is(err, upstream.ErrEarlyResponse) {
		c.SetReadDeadline(time.Now().Add(a.request.timeout))
		early, bad := c.Receive(q)
		switch {
		case bad != nil:
		case p.endToEnd != nil: // an ordinary server may answer before it has all, such as that it wants no more
			resp, err = early, nil
			resp.Close = true
		case provesNotExecuted(early):
			c.Close()
			p.completeAttempt(a, policy.StatusOverloaded, nil, httpmsg.Response{})
			return
		}
	}
	if err != nil {
		c.Close()
		p.completeBroken(a, err)
		return
	}
	var load *policy.LoadReport
	if p.protocol != nil {
		var status policy.Status
		if status, load = p.protocol.ClassifyResponse(resp.StatusCode, resp.Header); status != policy.StatusOK {
			if p.endToEnd != nil {
				p.completeFailingResponse(a, c, resp, status, load)
				return
			}
			_, err := io.CopyN(io.Discard, resp.Body, maxErrorBodyBytes)
			p.releaseConn(a, c, resp, err == io.EOF)
			p.completeAttempt(a, status, load, httpmsg.Response{})
			return
		}
	} else if text := resp.Header.Get("X-Server-Load"); text != "" && p.settings.Config.InlineLoadReports {
		load = parseLoadReport(text, p.settings.LoadReportFields)
	}
	if p.protocol == nil && resp.StatusCode != http.StatusOK {
		status := policy.StatusApplicationError
		if provesNotExecuted(resp) {
			status = policy.StatusOverloaded
		}
		_, err := io.CopyN(io.Discard, resp.Body, maxErrorBodyBytes)
		p.releaseConn(a, c, resp, err == io.EOF)
		p.completeAttempt(a, status, load, httpmsg.Response{})
		return
	}
	p.passResponse(a, c, resp, load)
}

// mayBegin is the one judge of whether an attempt, which was decided on some time ago, may still send its first byte: a connection that
// came up late, a wait for a descriptor, or a process that was not run lie between. It guards against sending to a server that has
// been told to drain or to have gone meanwhile, for a client that has left, past the deadline, and a repeat past the time for which
// repeats are dropped. An attempt that is stopped here has never run.
func (p *Pool) mayBegin(a *attempt, to *upstream.Peer) (may bool) {
	r := a.request
	left := r.clientGone != nil && r.clientGone()
	p.runEvent(func(now policy.Time) {
		switch {
		case r.ended:
		case left: // whoever waits for the answer is let go, and finds the client gone
			p.balancer.HandleClientGone(now, r.id, p)
			p.finish(r, httpmsg.Response{Status: http.StatusBadGateway})
		default:
			e, listed := p.endpoints[a.endpoint]
			may = listed && p.peers[a.endpoint] == to && p.policyEndpoint(e).State == policy.Ready &&
				time.Now().Before(a.deadline) && !p.pastDedupWindow(now, a)
		}
	})
	return may
}

// pastDedupWindow reports whether a is the repeat of a keyed request that may have run so long ago that it might not be dropped.
func (p *Pool) pastDedupWindow(now policy.Time, a *attempt) bool {
	r := a.request
	keep := p.dedupWindows[r.policyRequest.Class]
	if p.idempotency[r.policyRequest.Class] != policy.IdempotentByKey {
		return false
	}
	for _, b := range r.attempts {
		if b != a && !(b.completed && b.status.NotExecuted()) && now >= b.sentAt+keep {
			return true
		}
	}
	for _, b := range r.policyRequest.PriorAttempts {
		if !b.NotExecuted && now >= r.acceptedAt+b.DedupRemaining {
			return true
		}
	}
	return false
}

// provesNotExecuted reports whether an answer proves that the request has not run.
func provesNotExecuted(resp *http.Response) bool {
	s := resp.StatusCode
	return (s == http.StatusServiceUnavailable || s == http.StatusGatewayTimeout) && resp.Header.Get("X-Not-Processed") == "1"
}

// sendStreamedBody passes on the rest of a long body. No further attempt can be made once it has begun.
func (p *Pool) sendStreamedBody(a *attempt, c *upstream.Conn, q *upstream.Request) error {
	r := a.request
	p.runEvent(func(now policy.Time) {
		r.body, q.Body = nil, nil
		p.balancer.HandleBodyStarted(now, r.id, a.number)
	})
	err := c.SendStreamedBody(q.StreamedBody, func() time.Time {
		p.runEvent(func(now policy.Time) {
			a.sentAt = now
			p.balancer.HandleBodyFinished(now, r.id, now+r.timeout, p)
		})
		a.deadline = time.Now().Add(r.timeout)
		return a.deadline
	})
	var broken upstream.RequestBodyError
	if !errors.As(err, &broken) {
		return err
	}
	// The client has left, or sends what cannot be used. Nothing has run.
	ans := httpmsg.Response{Status: http.StatusBadRequest}
	var bad httpmsg.RejectionError
	if errors.As(err, &bad) {
		ans = bad.Response()
	}
	p.runEvent(func(now policy.Time) {
		if !r.ended {
			p.balancer.HandleClientGone(now, r.id, p)
			p.finish(r, ans)
		}
	})
	return upstream.NotWrittenError{Err: err}
}

// completeFailingResponse takes an answer of a Service that is to be tried again where that is harmless. It is kept for the client if it is whole.
func (p *Pool) completeFailingResponse(a *attempt, c *upstream.Conn, resp *http.Response, status policy.Status, load *policy.LoadReport) {
	body, whole, err := readFirst(resp, c.Body(resp), a.deadline)
	p.releaseConn(a, c, resp, whole && err == nil)
	if whole && err == nil {
		ans := p.responseFrom(resp, body)
		p.runEvent(func(policy.Time) { a.request.lastFailure = &ans })
	}
	p.completeAttempt(a, status, load, httpmsg.Response{})
}

// responseFrom is what the client is told of an answer.
func (p *Pool) responseFrom(resp *http.Response, body []byte) httpmsg.Response {
	ans := httpmsg.Response{Status: resp.StatusCode, Header: httpmsg.RemoveHopByHopHeaders(resp.Header), Body: body, Length: resp.ContentLength}
	if p.endToEnd != nil {
		p.endToEnd.RewriteResponseHeader(ans.Header)
	}
	return ans
}

// passResponse takes a 200 answer. One that is not long counts only once it is whole, so that what is spoilt reaches no client; the
// client of a long one has it as it comes.
func (p *Pool) passResponse(a *attempt, c *upstream.Conn, resp *http.Response, load *policy.LoadReport) {
	from := c.Body(resp)
	body, whole, err := readFirst(resp, from, a.deadline)
	if err != nil {
		c.Close()
		p.completeBroken(a, err)
		return
	}
	ans := p.responseFrom(resp, body)
	if whole {
		p.releaseConn(a, c, resp, true)
		p.completeAttempt(a, policy.StatusOK, load, ans)
		return
	}
	ans.Remainder = &responseStream{pool: p, attempt: a, conn: c, response: resp, body: from, bytesRead: int64(len(body))}
	switch {
	case !a.setInterrupt(func() { c.Close() }):
		c.Close()
		p.completeAttempt(a, policy.StatusCanceled, nil, httpmsg.Response{})
	case !p.completeAttempt(a, policy.StatusOK, load, ans): // another attempt has answered, or the client has left
		c.Close()
	}
}

// unknownLengthWait is how long an answer whose length is not told is waited for before it is taken for a long one, if it comes on:
// its first bytes must not be held back.
const unknownLengthWait = 300 * time.Millisecond

// readFirst reads the body of an answer whole, or the first of a long one. It takes memory for what has come, not for what the
// head promises.
func readFirst(resp *http.Response, from *upstream.Body, deadline time.Time) (body []byte, whole bool, err error) {
	length := resp.ContentLength
	if length > httpmsg.MaxBodyBytes {
		return nil, false, fmt.Errorf("an answer of %d bytes", length)
	}
	if 0 <= length && length <= smallBodyBytes {
		body = make([]byte, 0, length)
	} else {
		body = make([]byte, 0, smallBodyBytes)
	}
	var began time.Time
	if length < 0 {
		began = time.Now()
	}
	for {
		if int64(len(body)) == length { // its end need not be waited for
			return body, true, nil
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := from.Read(body[len(body):min(cap(body), httpmsg.MaxBufferedBodyBytes)], upstream.BodyStallTimeout, deadline)
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, true, nil
		case err != nil:
			return nil, false, err
		case len(body) == httpmsg.MaxBufferedBodyBytes || length > httpmsg.MaxBufferedBodyBytes && n > 0:
			return body, false, nil
		case length < 0 && len(body) > 0 && time.Since(began) > unknownLengthWait:
			return body, false, nil
		}
	}
}

// streamStallTimeout is how long a long answer may stand still.
const streamStallTimeout = 10 * time.Second

// responseStream is the rest of a long answer.
type responseStream struct {
	pool      *Pool
	attempt   *attempt
	conn      *upstream.Conn
	response  *http.Response
	body      *upstream.Body
	bytesRead int64
}

// Length is the method of httpmsg.BodyStream.
func (s *responseStream) Length() int64 { return s.response.ContentLength }

// Read is the method of httpmsg.BodyStream.
func (s *responseStream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p, streamStallTimeout, time.Time{})
	if s.bytesRead += int64(n); s.bytesRead > httpmsg.MaxBodyBytes {
		return 0, errors.New("the answer is too long")
	}
	return n, err
}

// Close is the method of httpmsg.ResponseStream.
func (s *responseStream) Close(whole bool) {
	s.pool.releaseConn(s.attempt, s.conn, s.response, whole)
	s.pool.runEvent(func(policy.Time) { s.pool.finishStream(s.attempt.request, whole) })
}

// releaseConn keeps a connection for the next request, if the exchange on it ended in order.
func (p *Pool) releaseConn(a *attempt, c *upstream.Conn, resp *http.Response, orderly bool) {
	if !a.setInterrupt(nil) || !orderly || resp.Close {
		c.Close()
		return
	}
	p.conns.PutIdle(c)
}

// completeBroken tells the outcome of an attempt that ended without a whole answer.
func (p *Pool) completeBroken(a *attempt, err error) {
	status := policy.StatusReset
	var notWritten upstream.NotWrittenError
	var noSocket upstream.NoDescriptorError
	switch {
	case a.isCanceled():
		status = policy.StatusCanceled
	case errors.As(err, &noSocket): // no evidence against the upstream
		status = policy.StatusNotSent
	case errors.As(err, &notWritten): // whatever ended it, the upstream never had the whole
		status = policy.StatusConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(a.deadline):
		status = policy.StatusTimeout
	}
	p.log.Debug("attempt", "request", a.request.xRequestID, "upstream", a.endpoint, "status", status, "err", err)
	p.completeAttempt(a, status, nil, httpmsg.Response{})
}

// upstreamRequest is what the server is sent of a.
func (p *Pool) upstreamRequest(a *attempt) *upstream.Request {
	r := a.request
	left := time.Until(a.deadline)
	q := &upstream.Request{
		Method: r.method, Target: r.uri, Host: r.host, Header: r.header, Body: r.body, TimeoutMs: max(1, left.Milliseconds()),
	}
	q.StreamedBody = r.streamedBody
	if p.protocol != nil {
		q.ExtraFields = p.protocol.ExtraFields(&r.policyRequest, r.header, left)
	}
	if p.endToEnd != nil {
		q.TimeoutMs = 0 // the platform's
	}
	return q
}
