package policy

import "time"

// Time is an instant on the host's monotonic clock; its origin means nothing.
type Time = time.Duration

// EndpointID names a server. Only equality, order and hash of it are used.
type EndpointID string

// RequestID names a request; the host never uses one twice.
type RequestID uint64

// PriorAttempt is an attempt that was made elsewhere before its request came here. It counts as one of this request's.
type PriorAttempt struct {
	Zone           string
	Cell           int
	NotExecuted    bool          // proven never to have run
	DedupRemaining time.Duration // if it may have: a repeat is dropped for so long yet, as its request comes
}

// Request is a client's request.
type Request struct {
	ID            RequestID
	Class         string
	Tenant        string
	Key           string
	ExpectedWork  time.Duration // rough expected work; zero: unknown
	IsRetry       bool
	Expires       Time // the client gives this try up
	PriorAttempts []PriorAttempt
	MaxAttempts   int // attempts at most, Prior included; 0: as many as Config allows
	// Long: its body is passed on as it comes. Expires is for its first attempt to begin; Uploading tells when its body begins
	// to be used up, so that no further attempt can be made, and Uploaded when its last byte is written.
	StreamedBody bool
}

// EndpointState is what the list says of a server.
type EndpointState int

// The server states.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Endpoint is an entry of the server list.
type Endpoint struct {
	ID      EndpointID
	State   EndpointState
	Zone    string
	Cell    int
	Weight  float64
	Kind    string // of machine, as the list names it; empty: not told
	Started Time   // zero: long ago
}

// UpdateKind says how a list update is to be read.
type UpdateKind int

// The list kinds.
const (
	UpdateDelta      UpdateKind = iota // changed entries only
	UpdateFull                         // everything; absent servers are gone
	UpdateCached                       // everything, perhaps out of date
	UpdatePollFailed                   // a call failed or the subscription broke
	UpdateWatchLost                    // the list may be out of date, and can be had: its subscription ended, or it has moved
)

// Status says how an attempt or a probe ended.
type Status int

// The statuses. NotRun tells which prove that nothing was executed.
const (
	StatusOK Status = iota
	StatusApplicationError
	StatusOverloaded
	StatusTimeout
	StatusConnectFailed
	StatusReset
	StatusCanceled
	StatusNotSent
)

// LoadReport is a server's report; negative fields were not reported.
type LoadReport struct {
	Queue     float64 // requests that wait
	InFlight  float64 // requests that it holds in all
	Latency   float64 // recent service time in milliseconds
	ErrorRate float64 // errors a second
}

// AttemptResult is the end of one attempt.
type AttemptResult struct {
	ID           RequestID
	Attempt      int
	Endpoint     EndpointID
	Status       Status
	Delay        time.Duration
	RequestEnded bool // the request has ended
	Load         *LoadReport
}

// HealthCheckResult is the end of one probe.
type HealthCheckResult struct {
	Endpoint EndpointID
	Status   Status
	Delay    time.Duration
	Load     *LoadReport
}
