package policy

import "time"

// Time is an instant on the monotonic clock of the host. The origin of the clock is arbitrary, but a host must only pass instants above 0
// to a Balancer, because 0 means "not set" in the state of the Balancer.
type Time = time.Duration

// EndpointID identifies an endpoint. The Balancer compares, sorts and hashes IDs and does not parse them.
type EndpointID string

// RequestID identifies a request. The host must not use a value twice.
type RequestID uint64

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState int

// The endpoint states.
const (
	Ready    EndpointState = iota
	Draining               // finishes its requests and takes no new ones
	Removed
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID          EndpointID
	State       EndpointState
	Zone        string
	Cell        int
	Weight      float64 // not used by the decisions
	MachineType string  // name of the machine type in the endpoint list; empty: unknown
	Started     Time    // start of the process; zero: long ago
}

// UpdateKind is the kind of an update of the endpoint list.
type UpdateKind int

// The kinds of updates.
const (
	UpdateDelta      UpdateKind = iota // changed entries only
	UpdateFull                         // all entries; endpoints without an entry were removed
	UpdateCached                       // all entries, possibly out of date
	UpdatePollFailed                   // no entries: a call to the list service failed, or its watch ended early; a backoff follows
	UpdateWatchLost                    // no entries: a working watch ended, the list service was replaced, or the host needs a list now
)

// PriorAttempt is an attempt of the request that was made before the request reached this instance, such as at another site. It counts
// towards the attempts of the request.
type PriorAttempt struct {
	Zone           string
	Cell           int
	NotExecuted    bool          // proven not to have been executed
	DedupRemaining time.Duration // for an attempt that may have been executed: how long from now repeats are dropped
}

// Request is a client's request.
type Request struct {
	ID            RequestID
	Class         string // a name from Config.Classes; a request of another class counts as not idempotent
	Tenant        string
	Key           string        // idempotency key (IdempotentByKey) or affinity key (Config.KeyAffinity); may be empty
	ExpectedWork  time.Duration // rough estimate; zero: unknown
	IsRetry       bool          // the client marked the request as a retry; not used by the decisions
	Expires       Time          // when the client gives up; with a streamed body: the time by which the host must have begun to send the body
	PriorAttempts []PriorAttempt
	MaxAttempts   int  // including PriorAttempts; 0: only Config.MaxAttempts applies
	StreamedBody  bool // the body is forwarded as it arrives; the host calls HandleBodyStarted and HandleBodyFinished
}

// Status is the outcome of an attempt or a health check.
type Status int

// The statuses. Status.NotExecuted tells which of them prove that the request was not executed.
const (
	StatusOK               Status = iota
	StatusApplicationError        // the endpoint returned an error of its own
	StatusOverloaded              // the endpoint rejected the request without executing it
	StatusTimeout
	StatusConnectFailed
	StatusReset // the connection broke before the response was complete; the request may have been executed
	StatusCanceled
	StatusNotSent
)

// LoadReport is the load that an endpoint reports. A negative field was not reported.
type LoadReport struct {
	Queue     float64 // waiting requests
	InFlight  float64 // requests that wait or are processed
	Latency   float64 // recent service time, in milliseconds; not used by the decisions
	ErrorRate float64 // errors per second; not used by the decisions
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	ID           RequestID
	Attempt      int // number of the attempt, as defined by Actions.StartAttempt
	Endpoint     EndpointID
	Status       Status
	Latency      time.Duration // from the start of the attempt
	RequestEnded bool          // the request has its response and needs no further attempts
	Load         *LoadReport   // nil: no report
}

// HealthCheckResult is the result of a health check.
type HealthCheckResult struct {
	Endpoint EndpointID
	Status   Status
	Latency  time.Duration // from the start of the health check
	Load     *LoadReport   // nil: no report
}

var statusNames = [...]string{
	StatusOK:               "ok",
	StatusApplicationError: "application error",
	StatusOverloaded:       "overloaded",
	StatusTimeout:          "timeout",
	StatusConnectFailed:    "connect failed",
	StatusReset:            "reset",
	StatusCanceled:         "canceled",
	StatusNotSent:          "not sent",
}

// String returns the name of the status, "unknown" for a value out of range.
func (s Status) String() string {
	if s < 0 || int(s) >= len(statusNames) {
		return "unknown"
	}
	return statusNames[s]
}
