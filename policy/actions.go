package policy

import "time"

// Actions carries out the decisions of a Balancer. The Balancer calls its methods from within its own methods, in the order in which
// the actions are to take effect. An implementation must not call the Balancer from them.
type Actions interface {
	// StartAttempt starts the next attempt of a request and limits it to timeout. Attempts are numbered from 0; the PriorAttempts of
	// the request have the first numbers.
	StartAttempt(id RequestID, endpoint EndpointID, timeout time.Duration)
	// Reject ends a request and tells the client that a retry is harmless and has a chance of success after retryAfter.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail ends a request and tells the client nothing about retries.
	Fail(id RequestID)
	// CancelAttempt cancels an attempt. The host still reports the result with HandleAttemptResult.
	CancelAttempt(id RequestID, attempt int)
	// SetTimer schedules a call of HandleTimer with token.
	SetTimer(after time.Duration, token string)
	// CheckHealth sends a health check to an endpoint, which responds with a load report. The host reports the result with
	// HandleHealthCheck.
	CheckHealth(endpoint EndpointID)
	// WatchEndpoints calls the list service and watches the endpoint list. The Balancer always passes true; false would end the watch.
	WatchEndpoints(on bool)
	// Log writes a line to the log.
	Log(text string)
}
