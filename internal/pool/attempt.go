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
	// smallAnswer is the length up to which an answer's body is taken at once.
	smallAnswer = 4 << 10
	// mostErrorBody bounds what is read of the body of an answer that is no 200, to use the connection again.
	mostErrorBody = 4 << 10
)

// attempt is one send of a request.
type attempt struct {
	req      *request
	number   int
	server   policy.EndpointID
	sent     policy.Time
	deadline time.Time
	done     bool          // its outcome is told; under the host's lock
	status   policy.Status // that outcome
	zone     string        // of the server
	cell     int

	mu       sync.Mutex
	canceled bool
	stop     func() // ends what the attempt waits for
}

// cancel calls the attempt off. Its goroutine tells the outcome.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.canceled = true
	if a.stop != nil {
		a.stop()
	}
}

// cut ends what the attempt waits for, as a broken connection does.
func (a *attempt) cut() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stop != nil {
		a.stop()
	}
}

// onCancel makes stop what ends the present wait, and reports whether the attempt is still wanted.
func (a *attempt) onCancel(stop func()) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stop = stop
	return !a.canceled
}

func (a *attempt) isCanceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canceled
}

// attempt carries out one attempt, and tells its one outcome.
func (p *Pool) attempt(a *attempt, to *upstream.Peer) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !a.onCancel(cancel) {
		p.settle(a, policy.StatusCanceled, nil, httpmsg.Answer{})
		return
	}
	c, err := p.up.Connect(ctx, to, a.deadline)
	if err != nil {
		p.broken(a, upstream.NotWritten{Err: err})
		return
	}
	if !a.onCancel(func() { c.Close() }) {
		c.Close()
		p.settle(a, policy.StatusCanceled, nil, httpmsg.Answer{})
		return
	}
	q := p.request(a)
	if !p.begins(a, to) {
		c.Close()
		p.settle(a, policy.StatusNotSent, nil, httpmsg.Answer{})
		return
	}
	var resp *http.Response
	if err = c.Send(q); err == nil && q.Rest != nil {
		err = p.upload(a, c, q)
	}
	if err == nil {
		p.counts.Forwarded()
		resp, err = c.Receive(q)
	}
	if errors.Is(err, upstream.ErrEarly) {
		c.SetReadDeadline(time.Now().Add(a.req.timeout))
		early, bad := c.Receive(q)
		switch {
		case bad != nil:
		case p.service != nil: // an ordinary server may answer before it has all, such as that it wants no more
			resp, err = early, nil
			resp.Close = true
		case turnedAway(early):
			c.Close()
			p.settle(a, policy.StatusOverloaded, nil, httpmsg.Answer{})
			return
		}
	}
	if err != nil {
		c.Close()
		p.broken(a, err)
		return
	}
	var load *policy.LoadReport
	if p.dialect != nil {
		var status policy.Status
		if status, load = p.dialect.Read(resp.StatusCode, resp.Header); status != policy.StatusOK {
			if p.service != nil {
				p.failing(a, c, resp, status, load)
				return
			}
			_, err := io.CopyN(io.Discard, resp.Body, mostErrorBody)
			p.done(a, c, resp, err == io.EOF)
			p.settle(a, status, load, httpmsg.Answer{})
			return
		}
	} else if text := resp.Header.Get("X-Server-Load"); text != "" && p.settings.Config.InlineLoadReports {
		load = parseLoad(text, p.settings.Fields)
	}
	if p.dialect == nil && resp.StatusCode != http.StatusOK {
		status := policy.StatusApplicationError
		if turnedAway(resp) {
			status = policy.StatusOverloaded
		}
		_, err := io.CopyN(io.Discard, resp.Body, mostErrorBody)
		p.done(a, c, resp, err == io.EOF)
		p.settle(a, status, load, httpmsg.Answer{})
		return
	}
	p.pass(a, c, resp, load)
}

// begins is the one judge of whether an attempt, which was decided on some time ago, may still send its first byte: a connection that
// came up late, a wait for a descriptor, or a process that was not run lie between. It guards against sending to a server that has
// been told to drain or to have gone meanwhile, for a client that has left, past the deadline, and a repeat past the time for which
// repeats are dropped. An attempt that is stopped here has never run.
func (p *Pool) begins(a *attempt, to *upstream.Peer) (may bool) {
	r := a.req
	left := r.left != nil && r.left()
	p.event(func(now policy.Time) {
		switch {
		case r.ended:
		case left: // whoever waits for the answer is let go, and finds the client gone
			p.balancer.HandleClientGone(now, r.id, p)
			p.end(r, httpmsg.Answer{Status: http.StatusBadGateway})
		default:
			e, listed := p.entries[a.server]
			may = listed && p.peers[a.server] == to && p.listed(e).State == policy.Ready &&
				time.Now().Before(a.deadline) && !p.pastWindow(now, a)
		}
	})
	return may
}

// pastWindow reports whether a is the repeat of a keyed request that may have run so long ago that it might not be dropped.
func (p *Pool) pastWindow(now policy.Time, a *attempt) bool {
	r := a.req
	keep := p.keeps[r.event.Class]
	if p.effects[r.event.Class] != policy.IdempotentByKey {
		return false
	}
	for _, b := range r.attempts {
		if b != a && !(b.done && b.status.NotExecuted()) && now >= b.sent+keep {
			return true
		}
	}
	for _, b := range r.event.PriorAttempts {
		if !b.NotExecuted && now >= r.taken+b.DedupRemaining {
			return true
		}
	}
	return false
}

// turnedAway reports whether an answer proves that the request has not run.
func turnedAway(resp *http.Response) bool {
	s := resp.StatusCode
	return (s == http.StatusServiceUnavailable || s == http.StatusGatewayTimeout) && resp.Header.Get("X-Not-Processed") == "1"
}

// upload passes on the rest of a long body. No further attempt can be made once it has begun.
func (p *Pool) upload(a *attempt, c *upstream.Conn, q *upstream.Request) error {
	r := a.req
	p.event(func(now policy.Time) {
		r.body, q.Body = nil, nil
		p.balancer.HandleBodyStarted(now, r.id, a.number)
	})
	err := c.SendRest(q.Rest, func() time.Time {
		p.event(func(now policy.Time) {
			a.sent = now
			p.balancer.HandleBodyFinished(now, r.id, now+r.timeout, p)
		})
		a.deadline = time.Now().Add(r.timeout)
		return a.deadline
	})
	var broken upstream.RestBroken
	if !errors.As(err, &broken) {
		return err
	}
	// The client has left, or sends what cannot be used. Nothing has run.
	ans := httpmsg.Answer{Status: http.StatusBadRequest}
	var bad httpmsg.Bad
	if errors.As(err, &bad) {
		ans = bad.Answer()
	}
	p.event(func(now policy.Time) {
		if !r.ended {
			p.balancer.HandleClientGone(now, r.id, p)
			p.end(r, ans)
		}
	})
	return upstream.NotWritten{Err: err}
}

// failing takes an answer of a Service that is to be tried again where that is harmless. It is kept for the client if it is whole.
func (p *Pool) failing(a *attempt, c *upstream.Conn, resp *http.Response, status policy.Status, load *policy.LoadReport) {
	body, whole, err := readFirst(resp, c.Body(resp), a.deadline)
	p.done(a, c, resp, whole && err == nil)
	if whole && err == nil {
		ans := p.answerOf(resp, body)
		p.event(func(policy.Time) { a.req.last = &ans })
	}
	p.settle(a, status, load, httpmsg.Answer{})
}

// answerOf is what the client is told of an answer.
func (p *Pool) answerOf(resp *http.Response, body []byte) httpmsg.Answer {
	ans := httpmsg.Answer{Status: resp.StatusCode, Header: httpmsg.Forwarded(resp.Header), Body: body, Length: resp.ContentLength}
	if p.service != nil {
		p.service.Pass(ans.Header)
	}
	return ans
}

// pass takes a 200 answer. One that is not long counts only once it is whole, so that what is spoilt reaches no client; the
// client of a long one has it as it comes.
func (p *Pool) pass(a *attempt, c *upstream.Conn, resp *http.Response, load *policy.LoadReport) {
	from := c.Body(resp)
	body, whole, err := readFirst(resp, from, a.deadline)
	if err != nil {
		c.Close()
		p.broken(a, err)
		return
	}
	ans := p.answerOf(resp, body)
	if whole {
		p.done(a, c, resp, true)
		p.settle(a, policy.StatusOK, load, ans)
		return
	}
	ans.Rest = &stream{p: p, a: a, c: c, resp: resp, from: from, total: int64(len(body))}
	switch {
	case !a.onCancel(func() { c.Close() }):
		c.Close()
		p.settle(a, policy.StatusCanceled, nil, httpmsg.Answer{})
	case !p.settle(a, policy.StatusOK, load, ans): // another attempt has answered, or the client has left
		c.Close()
	}
}

// longAfter is how long an answer whose length is not told is waited for before it is taken for a long one, if it comes on:
// its first bytes must not be held back.
const longAfter = 300 * time.Millisecond

// readFirst reads the body of an answer whole, or the first of a long one. It takes memory for what has come, not for what the
// head promises.
func readFirst(resp *http.Response, from *upstream.Body, deadline time.Time) (body []byte, whole bool, err error) {
	length := resp.ContentLength
	if length > httpmsg.MostLong {
		return nil, false, fmt.Errorf("an answer of %d bytes", length)
	}
	if 0 <= length && length <= smallAnswer {
		body = make([]byte, 0, length)
	} else {
		body = make([]byte, 0, smallAnswer)
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
		n, err := from.Read(body[len(body):min(cap(body), httpmsg.MostBody)], upstream.AnswerPause, deadline)
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, true, nil
		case err != nil:
			return nil, false, err
		case len(body) == httpmsg.MostBody || length > httpmsg.MostBody && n > 0:
			return body, false, nil
		case length < 0 && len(body) > 0 && time.Since(began) > longAfter:
			return body, false, nil
		}
	}
}

// streamPause is how long a long answer may stand still.
const streamPause = 10 * time.Second

// stream is the rest of a long answer.
type stream struct {
	p     *Pool
	a     *attempt
	c     *upstream.Conn
	resp  *http.Response
	from  *upstream.Body
	total int64
}

// Length is the method of httpmsg.Rest.
func (s *stream) Length() int64 { return s.resp.ContentLength }

// Read is the method of httpmsg.Rest.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.from.Read(p, streamPause, time.Time{})
	if s.total += int64(n); s.total > httpmsg.MostLong {
		return 0, errors.New("the answer is too long")
	}
	return n, err
}

// Close is the method of httpmsg.Stream.
func (s *stream) Close(whole bool) {
	s.p.done(s.a, s.c, s.resp, whole)
	s.p.event(func(policy.Time) { s.p.streamed(s.a.req, whole) })
}

// done keeps a connection for the next request, if the exchange on it ended in order.
func (p *Pool) done(a *attempt, c *upstream.Conn, resp *http.Response, orderly bool) {
	if !a.onCancel(nil) || !orderly || resp.Close {
		c.Close()
		return
	}
	p.up.Keep(c)
}

// broken tells the outcome of an attempt that ended without a whole answer.
func (p *Pool) broken(a *attempt, err error) {
	status := policy.StatusReset
	var notWritten upstream.NotWritten
	var noSocket upstream.NoDescriptor
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
	p.log.Debug("attempt", "request", a.req.name, "upstream", a.server, "status", status, "err", err)
	p.settle(a, status, nil, httpmsg.Answer{})
}

// request is what the server is sent of a.
func (p *Pool) request(a *attempt) *upstream.Request {
	r := a.req
	left := time.Until(a.deadline)
	q := &upstream.Request{
		Method: r.method, Target: r.uri, Host: r.host, Header: r.header, Body: r.body, TimeoutMs: max(1, left.Milliseconds()),
	}
	q.Rest = r.rest
	if p.dialect != nil {
		q.Extra = p.dialect.Extra(&r.event, r.header, left)
	}
	if p.service != nil {
		q.TimeoutMs = 0 // the platform's
	}
	return q
}
