package policy

import "time"

// Actions carries out what a Balancer decides. Its methods are called during the Balancer's own, in the order in which they are to
// take effect, and must not call back.
type Actions interface {
	// StartAttempt starts the request's next attempt, numbered from 0 and from its PriorAttempts on. It is given up after timeout.
	StartAttempt(id RequestID, endpoint EndpointID, timeout time.Duration)
	// Reject ends a request, promising the client that a retry is harmless and worth while after retryAfter.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail ends a request without any promise.
	Fail(id RequestID)
	// CancelAttempt cancels an attempt. Its end is reported all the same.
	CancelAttempt(id RequestID, attempt int)
	// SetTimer asks for a call of HandleTimer with token.
	SetTimer(after time.Duration, token string)
	// CheckHealth asks an endpoint for a load report.
	CheckHealth(endpoint EndpointID)
	// WatchEndpoints subscribes to the endpoint list.
	WatchEndpoints(on bool)
	// Log writes a line to the log.
	Log(text string)
}
