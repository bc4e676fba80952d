package httpmsg

import (
	"net/http"
	"time"
)

// RejectionError is returned for a request that was rejected before any endpoint could have received it. It holds the response that is sent
// to the client.
type RejectionError struct {
	Status     int           // 400 to 599
	Text       string        // reason; sent as the body
	RetryAfter time.Duration // 0: no Retry-After field is sent
	Header     http.Header
}

// Error implements error.
func (e RejectionError) Error() string { return e.Text }

// Response returns the response to send to the client.
func (e RejectionError) Response() Response {
	return Response{Status: e.Status, RetryAfter: e.RetryAfter, Header: e.Header, Body: []byte(e.Text + "\n")}
}

// Retryable reports whether the same request may succeed later, that is, whether the status is 429 or 503.
func (e RejectionError) Retryable() bool {
	return e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable
}
