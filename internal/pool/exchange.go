package pool

import (
	"sorrelrudder/internal/httpmsg"
)

// Exchange is a request that the pool has accepted. Its methods are safe for concurrent use.
type Exchange struct {
	pool    *Pool
	request *request
}

// Submit passes a request to the decision module. The head and the buffered part of the body have been received. The pool calls
// releaseBody once the body is no longer needed, and never if Submit returns an error. The error is an httpmsg.RejectionError.
func (p *Pool) Submit(q *httpmsg.Request, parsed ParsedRequest, releaseBody func()) (*Exchange, error) {
	hasBody := len(q.Body) > 0 || q.Remainder != nil
	if hasBody && parsed.idempotent && !parsed.mayHaveBody {
		return nil, errUnexpectedBody
	}
	r := &request{
		xRequestID: parsed.requestID, forwarded: parsed.forwarded, method: q.Method, uri: q.URI, host: q.Host,
		header: httpmsg.RemoveHopByHopHeaders(q.Header), body: q.Body, streamedBody: q.Remainder, releaseBody: releaseBody, clientGone: q.ClientGone,
		clientMayBeGone: q.ClientMayBeGone,
		response:        make(chan httpmsg.Response, 1),
	}
	if err := p.submit(r, parsed.policyRequest, parsed.timeout); err != nil {
		return nil, err
	}
	return &Exchange{pool: p, request: r}, nil
}

// Response returns the channel on which the one final response is delivered.
func (e *Exchange) Response() <-chan httpmsg.Response { return e.request.response }

// Cancel reports to the pool that the client has disconnected. It returns false if the request had already ended; its response is then
// in the channel.
func (e *Exchange) Cancel() bool { return e.pool.cancelRequest(e.request) }

// AttemptSummary returns the number of attempts made by this pool, and whether any of them, or an attempt of another site that the request
// was forwarded to, may have been executed. It must be called only after the response has been received.
func (e *Exchange) AttemptSummary() (attempts int, mayHaveExecuted bool) {
	p := e.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(e.request.attempts), e.request.executedFromHere()
}
