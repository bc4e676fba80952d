package pool

import (
	"net/http"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

// BackendProtocol is the protocol of endpoints that do not speak the platform's. Its methods are called concurrently, without a lock
// of the pool.
type BackendProtocol interface {
	// ExtraFields returns the header fields that are sent beside those of the request, which has header and the given time left.
	ExtraFields(request *policy.Request, header http.Header, left time.Duration) []upstream.Field
	// ClassifyResponse returns the result of an attempt or a health check by the head of its response, and the load that the
	// response reports; nil: none.
	ClassifyResponse(status int, header http.Header) (policy.Status, *policy.LoadReport)
	// HealthCheckTarget returns the request target of health checks.
	HealthCheckTarget() string
}

// EndToEndProtocol is a BackendProtocol that the clients speak too. Responses reach the clients as they are, including those that
// ClassifyResponse calls failures, once no further attempt is made.
type EndToEndProtocol interface {
	BackendProtocol
	// ParseRequest reads the attributes of a request, and replaces its header by the one to forward. The error is an httpmsg.RejectionError.
	ParseRequest(request *httpmsg.Request, path string) (RequestAttributes, error)
	// RewriteResponseHeader turns the header of a response into the one to forward.
	RewriteResponseHeader(header http.Header)
}

// RequestAttributes are what an EndToEndProtocol reads from the head of a request.
type RequestAttributes struct {
	PolicyRequest policy.Request // without ID and Expires
	Timeout       time.Duration  // how long the client waits
	ID            string         // unique among the requests that are open
	Idempotent    bool
}
