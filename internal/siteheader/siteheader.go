// Package siteheader encodes and decodes the header fields that two sites exchange with a forwarded request and its response:
// dictionaries of RFC 9651, see docs/protocol/hop.md. It does no I/O. It checks the form and the bounds of a field; whether its sender may send
// it at all is for the receiver to decide.
package siteheader

import (
	"errors"
	"time"
)

// The names of the header fields.
const (
	RequestField  = "Sorrel-Hop"
	ResponseField = "Sorrel-Hop-Answer"
)

// Version is the only version of the fields that this package knows.
const Version = 1

// Bounds of what is accepted.
const (
	maxFieldBytes = 4 << 10
	maxTextBytes  = 256
	maxListItems  = 8
	maxDuration   = 24 * time.Hour
	maxStamp      = 100 * 365 * 24 * time.Hour
	maxCount      = 1 << 20
	maxAttempts   = 16 // of one request over all sites
)

// The errors of decoding a field.
var (
	// ErrVersion says that the field is of an unknown version; the response is 505.
	ErrVersion = errors.New("hop: a version that is not known")
	// ErrLoop says that the request has been forwarded before; the response is 508.
	ErrLoop = errors.New("hop: a second hop")
	// ErrMalformed says that the field cannot be decoded or is out of bounds; the response is 400.
	ErrMalformed = errors.New("hop: the field cannot be read")
)

// Request is the content of a RequestField. Durations are encoded in whole microseconds.
type Request struct {
	TimeLeft        time.Duration // that the client still waits; above 0
	Pool            string        // as both sites' configurations name it
	Class           string
	Tenant          string
	Key             string        // affinity key of the decision module; "": none
	ExpectedWork    time.Duration // rough processing time; 0: not known
	IsRetry         bool          // the client marked it as a retry
	AttemptsMade    int           // so far
	AttemptsAllowed int           // further ones, by the remote site; at least 1
	Executions      []Execution   // attempts so far that may have been executed
	Origin          string        // the site that forwards it
	Path            []string      // the sites it has passed, the origin first
	Stamp           time.Duration // last reading of the receiver's clock that the sender has
	StampAge        time.Duration // how long ago it arrived
	StallTimeout    time.Duration // how long the sender waits for any sign of the receiver until it gives up what is in flight
}

// Execution is an attempt that may have been executed, and how long repeats of it are still dropped.
type Execution struct {
	Group          DedupGroup
	DedupRemaining time.Duration
}

// Delay returns how long a request has been on its way since the receiver gave the stamp, without the time that the sender kept
// it: a round trip, or more where the link was delayed. now is by the receiver's clock. If that has started anew since, it
// is 0.
func (r *Request) Delay(now time.Duration) time.Duration { return max(0, now-r.Stamp-r.StampAge) }

// Outcome says how a request ended at the remote site.
type Outcome string

// The outcomes.
const (
	Served          Outcome = "served"
	Rejected        Outcome = "refused"      // nothing was executed
	MayHaveExecuted Outcome = "may-have-run" // also assumed of a response that cannot be decoded
)

// Response is the content of a ResponseField. Durations are encoded in whole microseconds.
type Response struct {
	Outcome    Outcome
	Attempts   int           // made at the remote site
	Credits    int           // requests that the remote site takes from now on
	RetryAfter time.Duration // with Rejected: until capacity is expected; 0: not known
	Stamp      time.Duration // by the remote site's clock, which means nothing to others
}
