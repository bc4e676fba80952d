package policy

import "time"

// Actions carries out what the Balancer decides. Calls take effect in order.
type Actions interface {
	// StartAttempt starts the request's next attempt, numbered from 0.
	StartAttempt(id RequestID, server EndpointID, timeout time.Duration)
	// Reject ends a request, promising that a retry is harmless.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail ends a request without any promise.
	Fail(id RequestID)
	// CancelAttempt calls an attempt off.
	CancelAttempt(id RequestID, attempt int)
	// SetTimer asks for a Timer event.
	SetTimer(after time.Duration, token string)
	// CheckHealth asks a server for a load report.
	CheckHealth(server EndpointID)
	// WatchEndpoints subscribes to the server list.
	WatchEndpoints(on bool)
	// Log adds a line for staff.
	Log(text string)
}
