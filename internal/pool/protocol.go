package pool

import (
	"net/http"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

// BackendProtocol is the protocol of endpoints that do not speak the platform's protocol. Its methods are called concurrently, and
// without the pool's lock held.
type BackendProtocol interface {
	// ExtraFields returns header fields to send in addition to header, the header of the request. left is the time until the attempt's
	// deadline.
	ExtraFields(request *policy.Request, header http.Header, left time.Duration) []upstream.Field
	// ClassifyResponse returns the result of an attempt or a health check, given the head of its response, and the load report of the
	// response, or nil if it has none.
	ClassifyResponse(status int, header http.Header) (policy.Status, *policy.LoadReport)
	// HealthCheckTarget returns the request target of health checks.
	HealthCheckTarget() string
}

// EndToEndProtocol is a BackendProtocol that clients speak as well. Responses are passed on to clients, including those that
// ClassifyResponse classifies as failures, once no further attempt is made. A failure with status 429 or 503 is passed on only if the
// request is rejected: these statuses invite a retry.
type EndToEndProtocol interface {
	BackendProtocol
	// ParseRequest parses the attributes of a request, and replaces the request's header by the header to forward. The error is an
	// httpmsg.RejectionError.
	ParseRequest(request *httpmsg.Request, path string) (RequestAttributes, error)
	// RewriteResponseHeader changes the header of a response in place into the header to forward.
	RewriteResponseHeader(header http.Header)
}

// RequestAttributes are the attributes that an EndToEndProtocol parses from the head of a request.
type RequestAttributes struct {
	PolicyRequest policy.Request // without ID and Expires
	Timeout       time.Duration  // how long the client waits
	ID            string         // unique among the requests that are open or ended recently
	Idempotent    bool
}
