package pool

import (
	"errors"
	"io"
	"net/http"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

const (
	// maxErrorBodyBytes bounds how much of the body of a failure response is read in order to reuse its connection.
	maxErrorBodyBytes = 4 << 10
	// streamStallTimeout is how long a streamed response may make no progress.
	streamStallTimeout = 10 * time.Second
)

// completeResponse reads the body of a response and reports the result of the attempt.
func (p *Pool) completeResponse(a *attempt, conn *upstream.Conn, response *http.Response) {
	status, load := p.classifyResponse(response)
	switch {
	case status == policy.StatusOK:
		p.completeOK(a, conn, response, load)
	case p.endToEnd != nil:
		p.completeEndToEndFailure(a, conn, response, status, load)
	default:
		conn.SetReadDeadline(time.Now().Add(upstream.BodyStallTimeout))
		_, err := io.CopyN(io.Discard, response.Body, maxErrorBodyBytes)
		p.releaseConn(a, conn, response, errors.Is(err, io.EOF))
		p.failAttempt(a, status, load)
	}
}

// classifyResponse returns the result that the head of a response stands for, and its load report, which is nil if there is none.
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

// completeEndToEndFailure reports the result of an attempt with a failure response of an EndToEndProtocol. A complete response is kept
// for the client, which gets it if no further attempt is made.
func (p *Pool) completeEndToEndFailure(
	a *attempt, conn *upstream.Conn, response *http.Response, status policy.Status, load *policy.LoadReport,
) {
	body, complete, err := p.readBodyStart(a, response, conn.Body(response))
	usable := complete && err == nil
	p.releaseConn(a, conn, response, usable)
	if usable {
		failure := p.clientResponse(response, body)
		p.runEvent(func(policy.Time) { a.request.lastFailure = &failure })
	}
	p.failAttempt(a, status, load)
}

// completeOK reports the result of an attempt with a successful response. A short response is used only once it is complete, so that no
// client gets a truncated or invalid one. A long response is streamed to the client.
func (p *Pool) completeOK(a *attempt, conn *upstream.Conn, response *http.Response, load *policy.LoadReport) {
	upstreamBody := conn.Body(response)
	body, complete, err := p.readBodyStart(a, response, upstreamBody)
	if err != nil {
		conn.Discard()
		p.completeBroken(a, err)
		return
	}
	converted := p.clientResponse(response, body)
	if complete {
		p.releaseConn(a, conn, response, true)
		p.completeAttempt(a, policy.StatusOK, load, converted)
		return
	}
	converted.Remainder = &responseStream{pool: p, attempt: a, conn: conn, response: response, body: upstreamBody, bytesRead: int64(len(body))}
	if !a.setInterrupt(conn.Discard) {
		conn.Discard()
		p.failAttempt(a, policy.StatusCanceled, nil)
		return
	}
	used := p.completeAttempt(a, policy.StatusOK, load, converted)
	if !used { // another attempt has succeeded, or the client has disconnected
		conn.Discard()
	}
}

// clientResponse converts the response of an endpoint, with the part of its body read so far, into the response for the client.
func (p *Pool) clientResponse(response *http.Response, body []byte) httpmsg.Response {
	converted := httpmsg.Response{
		Status: response.StatusCode, Header: httpmsg.RemoveHopByHopHeaders(response.Header), Body: body, Length: response.ContentLength,
	}
	if p.endToEnd != nil {
		p.endToEnd.RewriteResponseHeader(converted.Header)
	}
	return converted
}

// releaseConn keeps a connection for reuse if the response was read completely, the attempt is not canceled and the endpoint does not
// close the connection. Otherwise it closes the connection.
func (p *Pool) releaseConn(a *attempt, conn *upstream.Conn, response *http.Response, complete bool) {
	if !a.setInterrupt(nil) || !complete || response.Close {
		conn.Discard()
		return
	}
	p.conns.PutIdle(conn)
}

// responseStream is the rest of the body of a long response. It implements httpmsg.ResponseStream.
type responseStream struct {
	pool      *Pool
	attempt   *attempt
	conn      *upstream.Conn
	response  *http.Response
	body      *upstream.Body
	bytesRead int64
}

// Length implements httpmsg.BodyStream.
func (s *responseStream) Length() int64 { return s.response.ContentLength }

// Read implements httpmsg.BodyStream. It fails once the body exceeds httpmsg.MaxBodyBytes.
func (s *responseStream) Read(p []byte) (int, error) {
	until := time.Now().Add(streamStallTimeout)
	n, err := s.body.Read(p, until, until)
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
