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
	// maxRequestIDBytes bounds an X-Request-ID, which is kept in memory while its request is open and for a retention period after it.
	maxRequestIDBytes = 128
	// defaultMaxDeadline bounds a client's timeout if the settings have no class with a deadline.
	defaultMaxDeadline = time.Minute
	// maxExpectedWork is the exclusive upper bound of an X-Cost. A cost at or above it is ignored.
	maxExpectedWork = time.Hour
)

// The rejections of requests that violate the protocol. Endpoints would reject or misinterpret such requests.
var (
	errBadRequestID     = httpmsg.RejectionError{Status: http.StatusBadRequest, Text: "no usable X-Request-ID"}
	errUnknownClass     = httpmsg.RejectionError{Status: http.StatusNotFound, Text: "no such class"}
	errBadMethod        = httpmsg.RejectionError{Status: http.StatusMethodNotAllowed, Text: "the class has another method"}
	errNoIdempotencyKey = httpmsg.RejectionError{Status: http.StatusBadRequest, Text: "no Idempotency-Key"}
	errBadTimeout       = httpmsg.RejectionError{Status: http.StatusBadRequest, Text: "no usable X-Timeout-Ms"}
	errMayHaveExecuted  = httpmsg.RejectionError{Status: http.StatusBadRequest, Text: "an unsafe request that may have run"}
	errUnexpectedBody   = httpmsg.RejectionError{Status: http.StatusBadRequest, Text: "a body where the class has none"}
)

// ParsedRequest holds the attributes parsed from the head of a request, for Submit.
type ParsedRequest struct {
	policyRequest policy.Request // without ID and Expires
	timeout       time.Duration  // how long the client waits
	requestID     string
	idempotent    bool
	forwarded     bool // by another site
	mayHaveBody   bool // a body is accepted even if the request is idempotent
}

// Class returns the request's class.
func (r *ParsedRequest) Class() string { return r.policyRequest.Class }

// RequestID returns the request's X-Request-ID, or what stands for it.
func (r *ParsedRequest) RequestID() string { return r.requestID }

// ParseRequest parses the head of a request. path is the request's path without the prefix of the route. With the platform's protocol, its
// first segment is the class. The error is an httpmsg.RejectionError.
func (p *Pool) ParseRequest(q *httpmsg.Request, path string) (ParsedRequest, error) {
	if p.endToEnd != nil {
		attributes, err := p.endToEnd.ParseRequest(q, path)
		return ParsedRequest{
			policyRequest: attributes.PolicyRequest, timeout: min(attributes.Timeout, p.maxDeadline), requestID: attributes.ID,
			idempotent: attributes.Idempotent, mayHaveBody: true,
		}, err
	}
	id, err := parseRequestID(q.Header)
	if err != nil {
		return ParsedRequest{}, err
	}
	request := parsePolicyRequest(q.Header, path)
	if err := p.checkClass(q, request.Class); err != nil {
		return ParsedRequest{}, err
	}
	timeout, err := p.parseTimeout(q.Header)
	if err != nil {
		return ParsedRequest{}, err
	}
	class, known := p.classes[request.Class]
	return ParsedRequest{
		policyRequest: request, timeout: timeout, requestID: id, idempotent: known && class.Idempotency == policy.Idempotent,
	}, nil
}

// parseRequestID returns the X-Request-ID, which must be unique among the requests that are open or ended recently; Submit checks this.
func parseRequestID(header http.Header) (string, error) {
	id := header.Get("X-Request-Id")
	if id == "" || len(id) > maxRequestIDBytes {
		return "", errBadRequestID
	}
	return id, nil
}

// parsePolicyRequest returns the request for the decision module.
func parsePolicyRequest(header http.Header, path string) policy.Request {
	path = strings.TrimPrefix(path, "/")
	class, _, _ := strings.Cut(path, "/")
	key := ""
	if i := strings.LastIndexByte(path, '/'); i >= 0 {
		key = path[i+1:]
	}
	return policy.Request{
		Class: class, Key: key, Tenant: header.Get("X-Tenant-Id"), IsRetry: header.Get("X-Retried") == "1",
		ExpectedWork: parseExpectedWork(header.Get("X-Cost")),
	}
}

// parseExpectedWork parses an X-Cost, which is the expected work in microseconds. It returns 0 for a missing or invalid one.
func parseExpectedWork(text string) time.Duration {
	us, err := strconv.ParseInt(text, 10, 64)
	if err != nil || us <= 0 || us >= maxExpectedWork.Microseconds() {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

// checkClass checks that the class is known, that an idempotent class is used with GET and any other class with POST, and that an
// idempotency key is present if the class requires one.
func (p *Pool) checkClass(q *httpmsg.Request, name string) error {
	class, known := p.classes[name]
	idempotent := class.Idempotency == policy.Idempotent
	switch {
	case len(p.classes) == 0: // without configured classes any class is accepted
		return nil
	case !known:
		return errUnknownClass
	case idempotent != (q.Method == http.MethodGet), !idempotent && q.Method != http.MethodPost:
		return errBadMethod
	case class.Idempotency == policy.IdempotentByKey && q.Header.Get("Idempotency-Key") == "":
		return errNoIdempotencyKey // without a key endpoints could not recognize a retry, and would execute the request twice
	}
	return nil
}

// parseTimeout parses the client's timeout, X-Timeout-Ms. It limits the timeout to the pool's MaxDeadline, so that no timer runs longer.
func (p *Pool) parseTimeout(header http.Header) (time.Duration, error) {
	ms, err := strconv.ParseUint(header.Get("X-Timeout-Ms"), 10, 63)
	if err != nil || ms == 0 {
		return 0, errBadTimeout
	}
	ms = min(ms, uint64(p.maxDeadline.Milliseconds()))
	return time.Duration(ms) * time.Millisecond, nil
}
