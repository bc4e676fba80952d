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

// ServerID names a server. Only equality, order and hash of it are used.
type ServerID string

// Prior is an attempt that was made elsewhere before its request came here. It counts as one of this request's.
type Prior struct {
	Zone   string
	Cell   int
	NotRun bool          // proven never to have run
	For    time.Duration // if it may have: a repeat is dropped for so long yet, as its request comes
}

// RequestID names a request; the host never uses one twice.
type RequestID uint64

// Effect says what repeating a request of a class may do.
type Effect int

// The effects.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // repeats are dropped within a group for a while
	Unsafe               // must never run twice
)

// Group says which servers drop the repeats of a keyed request.
type Group int

// The groups.
const (
	GroupAll  Group = iota // every server
	GroupZone              // the servers of the zone that got it first
	GroupCell              // the servers of the cell that got it first
)

// Class describes one class of requests.
type Class struct {
	Name      string
	Effect    Effect
	Group     Group         // for Keyed
	KeyTTL    time.Duration // for Keyed: how long repeats are dropped
	Aim       time.Duration // answers within it have the full worth
	Deadline  time.Duration // the client's patience over all its tries
	Worth     float64
	LateShare float64 // share of the worth left after Aim
}

// Tenant describes one tenant's allowance over all sidecars.
type Tenant struct {
	Name         string
	AllowancePer float64 // requests a second
}

// Config is what a sidecar is told at start.
type Config struct {
	Ordinal, GroupSize int // this sidecar's number among its peers
	Zone               string
	Classes            []Class
	Tenants            []Tenant
	OverShareWorth     float64 // worth of traffic beyond a tenant's allowance

	Pushed        bool // the server list arrives unasked
	MayProbe      bool
	MayCancel     bool
	MayDuplicate  bool // a request may have two attempts out at once
	HintsRetry    bool // clients heed the delay given with a refusal
	MaxAttempts   int
	MaxRetryAfter time.Duration
	DialTimeout   time.Duration
	ConnIdle      time.Duration
	Tick          time.Duration // least time between two events

	InlineReports bool // answers carry load reports; otherwise only probes do
	WarmKeys      bool // a server does less work for a key that it met lately

	AskEvery    time.Duration // without news this long, the list counts as told
	AskPause    time.Duration // most from a failed call for the list to the next; 0: as AskEvery allows
	AskAgain    time.Duration // most from the loss of the list to the call; 0: as AskEvery allows
	AnswerGrace time.Duration
	ColdFrom    float64       // least share of capacity at a server's start
	Ramp        time.Duration // a server is warm after it

	ProbeTariff, ConnectionTariff, HandshakeTariff, CrossZoneTariff float64
}

// ServerState is what the list says of a server.
type ServerState int

// The server states.
const (
	Ready ServerState = iota
	Draining
	Gone
)

// Server is an entry of the server list.
type Server struct {
	ID      ServerID
	State   ServerState
	Zone    string
	Cell    int
	Weight  float64
	Kind    string // of machine, as the list names it; empty: not told
	Started Time   // zero: long ago
}

// ListKind says how a list update is to be read.
type ListKind int

// The list kinds.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // everything; absent servers are gone
	ListCached                 // everything, perhaps out of date
	ListFailed                 // a call failed or the subscription broke
	ListLost                   // the list may be out of date, and can be had: its subscription ended, or it has moved
)

// Request is a client's request.
type Request struct {
	ID      RequestID
	Class   string
	Tenant  string
	Key     string
	Cost    time.Duration // rough expected work; zero: unknown
	Retry   bool
	Expires Time // the client gives this try up
	Prior   []Prior
	Most    int // attempts at most, Prior included; 0: as many as Config allows
	// Long: its body is passed on as it comes. Expires is for its first attempt to begin; Uploading tells when its body begins
	// to be used up, so that no further attempt can be made, and Uploaded when its last byte is written.
	Long bool
}

// Status says how an attempt or a probe ended.
type Status int

// The statuses. NotRun tells which prove that nothing was executed.
const (
	OK Status = iota
	AppError
	Full
	Timeout
	ConnectFailed
	Reset
	Canceled
	Moot
)

// NotRun reports whether s proves that the attempt was never executed.
func (s Status) NotRun() bool { return s == Full || s == ConnectFailed || s == Moot }

// Load is a server's report; negative fields were not reported.
type Load struct {
	Queue     float64 // requests that wait
	Inflight  float64 // requests that it holds in all
	Latency   float64 // recent service time in milliseconds
	ErrorRate float64 // errors a second
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID      RequestID
	Attempt int
	Server  ServerID
	Status  Status
	Delay   time.Duration
	Closed  bool // the request has ended
	Load    *Load
}

// Learnt is what a Balancer has learnt of its servers and clients, for the process that takes this one's place, which may be of
// another version: the tags are the stored form.
type Learnt struct {
	Line     [4]float64                `json:"Line"` // of the delay by queue: means of both, variance, covariance
	Busy     float64                   `json:"Busy"`
	CopyWins float64                   `json:"CopyWins"`
	Servers  map[ServerID]LearntServer `json:"Servers"`
	Patience map[string]time.Duration  `json:"Patience"` // by class: the time that clients give most tries
}

// LearntServer is what it has learnt of one.
type LearntServer struct {
	Started    Time          `json:"Started"` // as the list tells it, on the clock of who asks
	Slowness   float64       `json:"Slowness"`
	Answers    int           `json:"Answers"` // that tell it
	Gap        float64       `json:"Gap"`
	EjectedFor time.Duration `json:"EjectedFor"` // from now on; 0: it is not
	Fails      int           `json:"Fails"`
}

// Seen is how a Balancer sees its servers at one moment, for operators.
type Seen struct {
	Usual   time.Duration // the usual delay of answers
	Short   float64       // how short of room its servers are: 0, there is room for all, to 1
	Avoided int           // servers left out after failures
}

// ProbeResult is the end of one probe.
type ProbeResult struct {
	Server ServerID
	Status Status
	Delay  time.Duration
	Load   *Load
}

// Actions carries out what the Balancer decides. Calls take effect in order.
type Actions interface {
	// Send starts the request's next attempt, numbered from 0.
	Send(id RequestID, server ServerID, timeout time.Duration)
	// Refuse ends a request, promising that a retry is harmless.
	Refuse(id RequestID, retryAfter time.Duration)
	// Fail ends a request without any promise.
	Fail(id RequestID)
	// Cancel calls an attempt off.
	Cancel(id RequestID, attempt int)
	// SetTimer asks for a Timer event.
	SetTimer(after time.Duration, token string)
	// Probe asks a server for a load report.
	Probe(server ServerID)
	// Watch subscribes to the server list.
	Watch(on bool)
	// Log adds a line for staff.
	Log(text string)
}
