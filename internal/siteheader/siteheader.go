// Package siteheader encodes and decodes the header fields that two sites exchange with a forwarded request and its response. The fields
// are dictionaries as defined by RFC 9651; docs/protocol/hop.md describes them. The package does no I/O. It checks the syntax and the
// bounds of a field. The receiver decides whether the sender is allowed to send it.
package siteheader

import (
	"errors"
	"time"
)

// The names of the header fields.
const (
	// RequestField is the field of a forwarded request.
	RequestField = "Sorrel-Hop"
	// ResponseField is the field of the response to a forwarded request or a health check.
	ResponseField = "Sorrel-Hop-Answer"
)

// Version is the only version of the fields that this package supports.
const Version = 1

// Bounds of accepted values.
const (
	maxFieldBytes = 4 << 10
	maxTextBytes  = 256
	maxListItems  = 8
	maxDuration   = 24 * time.Hour
	maxStamp      = 100 * 365 * 24 * time.Hour
	maxCount      = 1 << 20
	maxAttempts   = 16 // of one request at all sites together
)

// The errors of decoding a field.
var (
	// ErrVersion reports a field of an unsupported version. The response has status 505.
	ErrVersion = errors.New("hop: a version that is not known")
	// ErrLoop reports a request that has been forwarded before or has returned to its origin: its path is not the origin alone, or the
	// receiver is the origin. The response has status 508.
	ErrLoop = errors.New("hop: a second hop")
	// ErrMalformed reports a field that cannot be decoded or has a value out of bounds. The response has status 400.
	ErrMalformed = errors.New("hop: the field cannot be read")
)

// Request is the content of a RequestField. Durations are encoded in whole microseconds.
type Request struct {
	TimeLeft        time.Duration // until the client's deadline; above 0
	Pool            string        // name of the pool in the configurations of both sites
	Class           string
	Tenant          string
	Key             string        // affinity key of the decision module; "": none
	ExpectedWork    time.Duration // estimated processing time; 0: unknown
	IsRetry         bool          // the client marked it as a retry
	AttemptsMade    int           // made so far
	AttemptsAllowed int           // further attempts that the remote site may make; at least 1
	Executions      []Execution   // attempts made so far that may have been executed
	Origin          string        // site that forwards the request
	Path            []string      // sites that the request has passed, the origin first
	Stamp           time.Duration // latest reading of the receiver's clock that the sender has received
	StampAge        time.Duration // time since the sender received Stamp
	StallTimeout    time.Duration // time without a response from the receiver after which the sender gives up the requests in flight
}

// Execution is an attempt that may have been executed, with the time for which its dedup group still drops repeats of it.
type Execution struct {
	Group          DedupGroup
	DedupRemaining time.Duration
}

// Delay returns the time since the receiver issued the stamp, without the time for which the sender has held it. This is one round trip, or
// more if the link was delayed. now is a reading of the receiver's clock. Delay returns 0 if that clock was restarted in the meantime.
func (r *Request) Delay(now time.Duration) time.Duration { return max(0, now-r.Stamp-r.StampAge) }

// Outcome is the encoded outcome of a request at the remote site.
type Outcome string

// The outcomes of a request.
const (
	// Served means that the request was executed successfully.
	Served Outcome = "served"
	// Rejected means that the request was not executed.
	Rejected Outcome = "refused"
	// MayHaveExecuted means that the request may have been executed. It is also assumed if the response cannot be decoded.
	MayHaveExecuted Outcome = "may-have-run"
)

// Response is the content of a ResponseField. Durations are encoded in whole microseconds.
type Response struct {
	Outcome    Outcome
	Attempts   int           // attempts made at the remote site
	Credits    int           // number of further requests that the remote site accepts
	RetryAfter time.Duration // with Rejected: time until capacity is expected; 0: unknown
	Stamp      time.Duration // reading of the remote site's clock; meaningful only to that site
}
