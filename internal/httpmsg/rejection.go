package httpmsg

import (
	"net/http"
	"time"
)

// RejectionError is the reason why a request was rejected before any server could have received it, and what its client is
// told.
type RejectionError struct {
	Status     int // 400 to 599
	Text       string
	RetryAfter time.Duration // 0: none is sent
	Header     http.Header
}

// Error implements error.
func (e RejectionError) Error() string { return e.Text }

// Response returns the response to the client.
func (e RejectionError) Response() Response {
	return Response{Status: e.Status, RetryAfter: e.RetryAfter, Header: e.Header, Body: []byte(e.Text + "\n")}
}

// Retryable reports whether the same request may succeed later.
func (e RejectionError) Retryable() bool {
	return e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable
}
