package pool

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

const (
	// initialBufferBytes is the first buffer for the body of a response whose length is longer or not known.
	initialBufferBytes = 4 << 10
	// maxErrorBodyBytes bounds what is read of the body of a failing response, to use its connection again.
	maxErrorBodyBytes = 4 << 10
	// unknownLengthWait is how long the end of a response without a length is waited for before it is taken for a long one: its first
	// bytes must not be held back.
	unknownLengthWait = 300 * time.Millisecond
	// streamStallTimeout is how long a long response may stand still.
	streamStallTimeout = 10 * time.Second
)

// errResponseTooLong is the end of a response whose body exceeds httpmsg.MaxBodyBytes.
var errResponseTooLong = errors.New("the answer is too long")

// completeResponse takes the head of a response, reads the body and reports the result of the attempt.
func (p *Pool) completeResponse(a *attempt, conn *upstream.Conn, response *http.Response) {
	status, load := p.classifyResponse(response)
	switch {
	case status == policy.StatusOK:
		p.completeOK(a, conn, response, load)
	case p.endToEnd != nil:
		p.completeEndToEndFailure(a, conn, response, status, load)
	default:
		_, err := io.CopyN(io.Discard, response.Body, maxErrorBodyBytes)
		p.releaseConn(a, conn, response, errors.Is(err, io.EOF))
		p.failAttempt(a, status, load)
	}
}

// classifyResponse returns the result that the head of a response means for an attempt, and the load that it reports; nil: none.
func (p *Pool) classifyResponse(response *http.Response) (policy.Status, *policy.LoadReport) {
	if p.protocol != nil {
		return p.protocol.ClassifyResponse(response.StatusCode, response.Header)
	}
	var load *policy.LoadReport
	text := response.Header.Get("X-Server-Load")
	if text != "" && p.settings.Config.InlineLoadReports {
		load = parseLoadReport(text, p.settings.LoadReportFields)
	}
	switch {
	case response.StatusCode == http.StatusOK:
		return policy.StatusOK, load
	case provesNotExecuted(response):
		return policy.StatusOverloaded, load
	}
	return policy.StatusApplicationError, load
}

// provesNotExecuted reports whether a response proves that the request was not executed.
func provesNotExecuted(response *http.Response) bool {
	status := response.StatusCode
	return (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) &&
		response.Header.Get("X-Not-Processed") == "1"
}

// completeEndToEndFailure takes a failing response of an EndToEndProtocol. A complete one is kept for the client, for the case that no
// further attempt is made.
func (p *Pool) completeEndToEndFailure(
	a *attempt, conn *upstream.Conn, response *http.Response, status policy.Status, load *policy.LoadReport,
) {
	body, complete, err := readBodyStart(response, conn.Body(response), a.deadline)
	usable := complete && err == nil
	p.releaseConn(a, conn, response, usable)
	if usable {
		answer := p.clientResponse(response, body)
		p.runEvent(func(policy.Time) { a.request.lastFailure = &answer })
	}
	p.failAttempt(a, status, load)
}

// completeOK takes a successful response. A short one counts only once it is complete, so that a spoilt one reaches no client; the
// client of a long one gets it as it comes.
func (p *Pool) completeOK(a *attempt, conn *upstream.Conn, response *http.Response, load *policy.LoadReport) {
	from := conn.Body(response)
	body, complete, err := readBodyStart(response, from, a.deadline)
	if err != nil {
		conn.Discard()
		p.completeBroken(a, err)
		return
	}
	answer := p.clientResponse(response, body)
	if complete {
		p.releaseConn(a, conn, response, true)
		p.completeAttempt(a, policy.StatusOK, load, answer)
		return
	}
	answer.Remainder = &responseStream{pool: p, attempt: a, conn: conn, response: response, body: from, bytesRead: int64(len(body))}
	if !a.setInterrupt(conn.Discard) {
		conn.Discard()
		p.failAttempt(a, policy.StatusCanceled, nil)
		return
	}
	used := p.completeAttempt(a, policy.StatusOK, load, answer)
	if !used { // another attempt has answered, or the client has left
		conn.Discard()
	}
}

// clientResponse returns what the client is sent of a response.
func (p *Pool) clientResponse(response *http.Response, body []byte) httpmsg.Response {
	answer := httpmsg.Response{
		Status: response.StatusCode, Header: httpmsg.RemoveHopByHopHeaders(response.Header), Body: body, Length: response.ContentLength,
	}
	if p.endToEnd != nil {
		p.endToEnd.RewriteResponseHeader(answer.Header)
	}
	return answer
}

// releaseConn keeps a connection for the next request, if the exchange on it ended in order, or closes it.
func (p *Pool) releaseConn(a *attempt, conn *upstream.Conn, response *http.Response, orderly bool) {
	if !a.setInterrupt(nil) || !orderly || response.Close {
		conn.Discard()
		return
	}
	p.conns.PutIdle(conn)
}

// readBodyStart reads the body of a response, or the first part of a long one. It takes memory for what has come, not for what the head
// promises.
func readBodyStart(response *http.Response, from *upstream.Body, deadline time.Time) (body []byte, complete bool, err error) {
	length := response.ContentLength
	if length > httpmsg.MaxBodyBytes {
		return nil, false, fmt.Errorf("%w: %d bytes", errResponseTooLong, length)
	}
	capacity := int64(initialBufferBytes)
	if length >= 0 {
		capacity = min(capacity, length)
	}
	body = make([]byte, 0, capacity)
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
		case err == io.EOF: //nolint:errorlint // a wrapped EOF is a body that broke off, not its end
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

// responseStream is the rest of a long response. It implements httpmsg.ResponseStream.
type responseStream struct {
	pool      *Pool
	attempt   *attempt
	conn      *upstream.Conn
	response  *http.Response
	body      *upstream.Body
	bytesRead int64
}

// Length implements httpmsg.Remainder.
func (s *responseStream) Length() int64 { return s.response.ContentLength }

// Read implements httpmsg.Remainder.
func (s *responseStream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p, streamStallTimeout, time.Time{})
	s.bytesRead += int64(n)
	if s.bytesRead > httpmsg.MaxBodyBytes {
		return 0, errResponseTooLong
	}
	return n, err
}

// Close implements httpmsg.ResponseStream.
func (s *responseStream) Close(complete bool) {
	s.pool.releaseConn(s.attempt, s.conn, s.response, complete)
	s.pool.runEvent(func(policy.Time) { s.pool.finishStream(s.attempt.request, complete) })
}
