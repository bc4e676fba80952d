package pool

import (
	"sorrelrudder/internal/httpmsg"
)

// Exchange is a request that the pool has accepted. Its methods may be called from any goroutine.
type Exchange struct {
	pool    *Pool
	request *request
}

// Submit hands a request whose last byte has come to the decision module. The pool calls releaseBody once the request's body is not
// needed any more, and not at all if Submit returns an error, which is an httpmsg.RejectionError.
func (p *Pool) Submit(q *httpmsg.Request, parsed ParsedRequest, releaseBody func()) (*Exchange, error) {
	hasBody := len(q.Body) > 0 || q.Remainder != nil
	if hasBody && parsed.idempotent && !parsed.mayHaveBody {
		return nil, errBodyWhereClassNone
	}
	r := &request{
		xRequestID: parsed.requestID, forwarded: parsed.forwarded, method: q.Method, uri: q.URI, host: q.Host,
		header: httpmsg.RemoveHopByHopHeaders(q.Header), body: q.Body, streamedBody: q.Remainder, releaseBody: releaseBody, clientGone: q.ClientGone,
		response: make(chan httpmsg.Response, 1),
	}
	if err := p.submit(r, parsed.policyRequest, parsed.timeout); err != nil {
		return nil, err
	}
	return &Exchange{pool: p, request: r}, nil
}

// Response returns the channel to which the one final response is sent.
func (e *Exchange) Response() <-chan httpmsg.Response { return e.request.response }

// Cancel notes that the client has left, and reports whether the request was still open; otherwise its response is there.
func (e *Exchange) Cancel() bool { return e.pool.cancelRequest(e.request) }

// AttemptSummary returns how many attempts were made here for a request that has its response, and whether any of them may have
// been executed.
func (e *Exchange) AttemptSummary() (attempts int, mayHaveExecuted bool) {
	p := e.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range e.request.attempts {
		mayHaveExecuted = mayHaveExecuted || a.mayHaveExecuted()
	}
	return len(e.request.attempts), mayHaveExecuted
}
