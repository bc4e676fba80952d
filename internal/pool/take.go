package pool

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/policy"
)

const (
	// maxRequestIDBytes bounds what a client may name a request: ids are kept while the request is open, and a little longer.
	maxRequestIDBytes = 128
	// defaultMaxDeadline bounds a client's wait where the settings name no class.
	defaultMaxDeadline = time.Minute
)

var errIDInUse = httpmsg.RejectionError{Status: http.StatusConflict, Text: "a request with this X-Request-ID is open"}

// ParsedRequest is what a request says of itself, as the module is told it.
type ParsedRequest struct {
	policyRequest policy.Request
	timeout       time.Duration // how long the client waits
	requestID     string
	idempotent    bool
	forwarded     bool // another site has handed it over
	mayHaveBody   bool // it may have a body though it is safe
}

// Class is that of the request.
func (a *ParsedRequest) Class() string { return a.policyRequest.Class }

// ParseRequest reads what the head of a request says of itself; path is its path below what led to this pool, and its first part
// is the class. What does not have the protocol's form is turned away here with a httpmsg.RejectionError, as servers would turn it
// away, or read something else in it.
func (p *Pool) ParseRequest(q *httpmsg.Request, path string) (ParsedRequest, error) {
	var ask ParsedRequest
	if p.endToEnd != nil {
		said, err := p.endToEnd.ParseRequest(q, path)
		return ParsedRequest{policyRequest: said.PolicyRequest, timeout: min(said.Timeout, p.maxDeadline), requestID: said.ID, idempotent: said.Idempotent, mayHaveBody: true}, err
	}
	bad := func(status int, text string) (ParsedRequest, error) {
		return ParsedRequest{}, httpmsg.RejectionError{Status: status, Text: text}
	}
	ask.requestID = q.Header.Get("X-Request-Id")
	if ask.requestID == "" || len(ask.requestID) > maxRequestIDBytes {
		return bad(http.StatusBadRequest, "no usable X-Request-ID")
	}
	event := &ask.policyRequest
	path = strings.TrimPrefix(path, "/")
	event.Class, _, _ = strings.Cut(path, "/")
	if i := strings.LastIndexByte(path, '/'); i >= 0 {
		event.Key = path[i+1:]
	}
	event.Tenant = q.Header.Get("X-Tenant-Id")
	event.IsRetry = q.Header.Get("X-Retried") == "1"
	if us, err := strconv.ParseInt(q.Header.Get("X-Cost"), 10, 64); err == nil && us > 0 && us < int64(time.Hour/time.Microsecond) {
		event.ExpectedWork = time.Duration(us) * time.Microsecond
	}
	effect, known := p.idempotency[event.Class]
	key := q.Header.Get("Idempotency-Key") != ""
	switch {
	case len(p.idempotency) == 0: // the settings name no class: any will do
	case !known:
		return bad(http.StatusNotFound, "no such class")
	case (effect == policy.Idempotent) != (q.Method == http.MethodGet), effect != policy.Idempotent && q.Method != http.MethodPost:
		return bad(http.StatusMethodNotAllowed, "the class has another method")
	case effect == policy.IdempotentByKey && !key: // servers could not tell a repeat, so that it would run twice
		return bad(http.StatusBadRequest, "no Idempotency-Key")
	}
	ask.idempotent = known && effect == policy.Idempotent
	ms, err := strconv.ParseUint(q.Header.Get("X-Timeout-Ms"), 10, 63)
	if err != nil || ms == 0 {
		return bad(http.StatusBadRequest, "no usable X-Timeout-Ms")
	}
	// A client that would wait longer than any class allows must not make timers last for ever.
	ask.timeout = time.Duration(min(ms, uint64(p.maxDeadline.Milliseconds()))) * time.Millisecond
	return ask, nil
}

// Exchange is a request that the pool has taken.
type Exchange struct {
	pool    *Pool
	request *request
}

// Submit hands the module a request whose last byte has come. It calls free once the request's body is not needed any more,
// and not at all if it returns an error, which is a httpmsg.RejectionError.
func (p *Pool) Submit(q *httpmsg.Request, ask ParsedRequest, free func()) (*Exchange, error) {
	if ask.idempotent && !ask.mayHaveBody && (len(q.Body) > 0 || q.Remainder != nil) {
		return nil, httpmsg.RejectionError{Status: http.StatusBadRequest, Text: "a body where the class has none"}
	}
	r := &request{
		xRequestID: ask.requestID, forwarded: ask.forwarded, method: q.Method, uri: q.URI, host: q.Host, header: httpmsg.RemoveHopByHopHeaders(q.Header),
		body: q.Body, streamedBody: q.Remainder, releaseBody: free, clientGone: q.ClientGone, response: make(chan httpmsg.Response, 1),
	}
	if err := p.submit(r, ask.policyRequest, ask.timeout); err != nil {
		return nil, err
	}
	return &Exchange{p, r}, nil
}

// Response is where the one final answer comes.
func (e *Exchange) Response() <-chan httpmsg.Response { return e.request.response }

// Cancel tells that the client has left, and reports whether the request was still open: else its answer is there.
func (e *Exchange) Cancel() bool { return e.pool.cancelRequest(e.request) }
