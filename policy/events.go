package policy

import "time"

// Time is an instant on the host's monotonic clock. Its origin is arbitrary, but every instant passed must be above 0: in the module's state 0
// stands for never.
type Time = time.Duration

// EndpointID names an endpoint. Only equality, order and hash of it are used.
type EndpointID string

// RequestID names a request; the host never uses one twice.
type RequestID uint64

// EndpointState is what the endpoint list says of an endpoint.
type EndpointState int

// The endpoint states.
const (
	Ready    EndpointState = iota
	Draining               // finishes what it has, takes nothing new
	Removed
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID          EndpointID
	State       EndpointState
	Zone        string
	Cell        int
	Weight      float64
	MachineType string // machine type, by the list's name; empty: not known
	Started     Time   // of the process; zero: long ago
}

// UpdateKind says how an update of the endpoint list is to be read.
type UpdateKind int

// The kinds of updates.
const (
	UpdateDelta      UpdateKind = iota // changed entries only
	UpdateFull                         // all entries; absent endpoints were removed
	UpdateCached                       // all entries, perhaps out of date
	UpdatePollFailed                   // no entries: a call to the list service failed, or the watch broke
	UpdateWatchLost                    // no entries: the watch ended or moved, or a list is wanted now; a watch can be had
)

// PriorAttempt is an attempt made before the request came here, such as at another site. It counts as one of the request's.
type PriorAttempt struct {
	Zone           string
	Cell           int
	NotExecuted    bool          // proven
	DedupRemaining time.Duration // if it may have been executed: for how long from now on repeats are dropped
}

// Request is a client's request.
type Request struct {
	ID            RequestID
	Class         string // a name of Config.Classes; others count as not idempotent
	Tenant        string
	Key           string        // idempotency or affinity key; may be empty
	ExpectedWork  time.Duration // rough; zero: unknown
	IsRetry       bool          // marked so by the client; not used by the decisions
	Expires       Time          // the client gives up; for a streamed body: its first attempt must begin by then
	PriorAttempts []PriorAttempt
	MaxAttempts   int  // including PriorAttempts; 0: Config.MaxAttempts alone counts
	StreamedBody  bool // the body is passed on as it comes; the host calls HandleBodyStarted and HandleBodyFinished
}

// Status says how an attempt or a health check ended.
type Status int

// The statuses. NotExecuted tells which prove that nothing was executed.
const (
	StatusOK               Status = iota
	StatusApplicationError        // the endpoint answered with a failure of its own
	StatusOverloaded              // the endpoint rejected it unexecuted
	StatusTimeout
	StatusConnectFailed
	StatusReset // the connection broke in between
	StatusCanceled
	StatusNotSent
)

// LoadReport is an endpoint's report of its load; negative fields were not reported.
type LoadReport struct {
	Queue     float64 // requests waiting
	InFlight  float64 // requests waiting or worked on
	Latency   float64 // recent service time, in milliseconds; not used by the decisions
	ErrorRate float64 // errors a second; not used by the decisions
}

// AttemptResult is the end of an attempt.
type AttemptResult struct {
	ID           RequestID
	Attempt      int // number, as counted by Actions.StartAttempt
	Endpoint     EndpointID
	Status       Status
	Latency      time.Duration // from its start
	RequestEnded bool          // the client has its answer: nothing more is to be done for the request
	Load         *LoadReport   // nil: none
}

// HealthCheckResult is the end of a health check.
type HealthCheckResult struct {
	Endpoint EndpointID
	Status   Status
	Latency  time.Duration // from its start
	Load     *LoadReport   // nil: none
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

// String returns the status in words.
func (s Status) String() string {
	if s < 0 || int(s) >= len(statusNames) {
		return "unknown"
	}
	return statusNames[s]
}
