// Package policy decides where a sidecar sends each request. It is a pure
// state machine: the host calls one method of Balancer per event, passing the
// time, and the Balancer answers by calling methods of Actions. It starts no
// goroutines and reads no clock, so equal events give equal actions.
//
// This file is the whole interface; every decision is in policy.go.
package policy

import "time"

// Time is an instant on the host's monotonic clock; its origin means nothing.
type Time = time.Duration

// EndpointID names a server. Only equality, order and hash of it are used.
type EndpointID string

// PriorAttempt is an attempt that was made elsewhere before its request came here. It counts as one of this request's.
type PriorAttempt struct {
	Zone           string
	Cell           int
	NotExecuted    bool          // proven never to have run
	DedupRemaining time.Duration // if it may have: a repeat is dropped for so long yet, as its request comes
}

// RequestID names a request; the host never uses one twice.
type RequestID uint64

// Idempotency says what repeating a request of a class may do.
type Idempotency int

// The effects.
const (
	Idempotent      Idempotency = iota // may be repeated freely
	IdempotentByKey                    // repeats are dropped within a group for a while
	NonIdempotent                      // must never run twice
)

// DedupScope says which servers drop the repeats of a keyed request.
type DedupScope int

// The groups.
const (
	DedupEverywhere DedupScope = iota // every server
	DedupZone                         // the servers of the zone that got it first
	DedupCell                         // the servers of the cell that got it first
)

// Class describes one class of requests.
type Class struct {
	Name               string
	Idempotency        Idempotency
	DedupScope         DedupScope    // for Keyed
	DedupWindow        time.Duration // for Keyed: how long repeats are dropped
	LatencyObjective   time.Duration // answers within it have the full worth
	Deadline           time.Duration // the client's patience over all its tries
	PriorityWeight     float64
	LateWeightFraction float64 // share of the worth left after Aim
}

// Tenant describes one tenant's allowance over all sidecars.
type Tenant struct {
	Name      string
	RateQuota float64 // requests a second
}

// Config is what a sidecar is told at start.
type Config struct {
	InstanceIndex, InstanceCount int // this sidecar's number among its peers
	Zone                         string
	Classes                      []Class
	Tenants                      []Tenant
	OverQuotaWeight              float64 // worth of traffic beyond a tenant's allowance

	EndpointsPushed     bool // the server list arrives unasked
	HealthChecksAllowed bool
	CancellationAllowed bool
	HedgingAllowed      bool // a request may have two attempts out at once
	RetryAfterHonored   bool // clients heed the delay given with a refusal
	MaxAttempts         int
	MaxRetryAfter       time.Duration
	DialTimeout         time.Duration
	ConnIdle            time.Duration
	TimerResolution     time.Duration // least time between two events

	InlineLoadReports bool // answers carry load reports; otherwise only probes do
	KeyAffinity       bool // a server does less work for a key that it met lately

	PollInterval         time.Duration // without news this long, the list counts as told
	PollMaxBackoff       time.Duration // most from a failed call for the list to the next; 0: as AskEvery allows
	WatchReopenMaxDelay  time.Duration // most from the loss of the list to the call; 0: as AskEvery allows
	ResponseGrace        time.Duration
	SlowStartMinCapacity float64       // least share of capacity at a server's start
	SlowStartDuration    time.Duration // a server is warm after it

	HealthCheckCost, ConnectionCost, HandshakeCost, CrossZoneCost float64
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

// NotExecuted reports whether s proves that the attempt was never executed.
func (s Status) NotExecuted() bool {
	return s == StatusOverloaded || s == StatusConnectFailed || s == StatusNotSent
}

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

// LearnedState is what a Balancer has learnt of its servers and clients, for the process that takes this one's place, which may be of
// another version: the tags are the stored form.
type LearnedState struct {
	DelayModel      [4]float64                     `json:"Line"` // of the delay by queue: means of both, variance, covariance
	ProbeContention float64                        `json:"Busy"`
	HedgeWinRate    float64                        `json:"CopyWins"`
	Endpoints       map[EndpointID]LearnedEndpoint `json:"Servers"`
	ClientTimeouts  map[string]time.Duration       `json:"Patience"` // by class: the time that clients give most tries
}

// LearnedEndpoint is what it has learnt of one.
type LearnedEndpoint struct {
	Started             Time          `json:"Started"` // as the list tells it, on the clock of who asks
	Slowness            float64       `json:"Slowness"`
	Samples             int           `json:"Answers"` // that tell it
	ResponseInterval    float64       `json:"Gap"`
	EjectedFor          time.Duration `json:"EjectedFor"` // from now on; 0: it is not
	ConsecutiveFailures int           `json:"Fails"`
}

// Summary is how a Balancer sees its servers at one moment, for operators.
type Summary struct {
	TypicalLatency   time.Duration // the usual delay of answers
	CapacityShortage float64       // how short of room its servers are: 0, there is room for all, to 1
	EjectedEndpoints int           // servers left out after failures
}

// HealthCheckResult is the end of one probe.
type HealthCheckResult struct {
	Endpoint EndpointID
	Status   Status
	Delay    time.Duration
	Load     *LoadReport
}

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
