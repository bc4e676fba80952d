package policy

import (
	"slices"
	"time"
)

// AttemptDenial is the reason why an attempt of a request at an endpoint is not allowed, or AttemptAllowed.
type AttemptDenial int

// The denials, in the order in which they are checked.
const (
	AttemptAllowed           AttemptDenial = iota
	DeniedRequestEnded                     // the request has ended: it has its response, or the client disconnected
	DeniedResponseStarted                  // part of a response has reached the client
	DeniedBodyConsumed                     // the streamed body cannot be read again
	DeniedEndpointNotReady                 // the endpoint drains or was removed
	DeniedDeadline                         // the client has given up
	DeniedAttemptsExhausted                // Config.MaxAttempts or Request.MaxAttempts is reached
	DeniedHedgingForbidden                 // another attempt is in flight, and Config.HedgingAllowed is not set
	DeniedNotIdempotent                    // an earlier attempt may have been executed, and a repeat would be executed again
	DeniedDedupWindowExpired               // a repeat would arrive after the dedup window of an earlier attempt
	DeniedOutsideDedupScope                // the endpoint is outside the dedup scope of an earlier attempt
)

var attemptDenialNames = [...]string{
	AttemptAllowed:           "allowed",
	DeniedRequestEnded:       "request ended",
	DeniedResponseStarted:    "response started",
	DeniedBodyConsumed:       "body consumed",
	DeniedEndpointNotReady:   "endpoint not ready",
	DeniedDeadline:           "deadline passed",
	DeniedAttemptsExhausted:  "attempts exhausted",
	DeniedHedgingForbidden:   "hedging forbidden",
	DeniedNotIdempotent:      "not idempotent",
	DeniedDedupWindowExpired: "dedup window expired",
	DeniedOutsideDedupScope:  "outside dedup scope",
}

// String returns the name of the reason, "unknown" for a value out of range.
func (d AttemptDenial) String() string {
	if d < 0 || int(d) >= len(attemptDenialNames) {
		return "unknown"
	}
	return attemptDenialNames[d]
}

// retryPolicy limits the attempts of one request.
type retryPolicy struct {
	maxAttempts    int
	hedgingAllowed bool
	dedupMargin    time.Duration // longest time from the decision to the arrival of a repeat; subtracted from the dedup window
}

// newRetryPolicy returns the policy for cfg.
func newRetryPolicy(cfg Config) retryPolicy {
	return retryPolicy{
		maxAttempts: cfg.MaxAttempts, hedgingAllowed: cfg.HedgingAllowed, dedupMargin: cfg.DialTimeout + cfg.TimerResolution,
	}
}

// attemptDenial returns the reason why an attempt of r at e is not allowed at now, or AttemptAllowed. It applies to first attempts, retries
// and hedged requests. scheduleHedge also excludes hedged requests with a streamed body. attemptDenial does not consider whether the
// attempt would be of use.
func (p retryPolicy) attemptDenial(now Time, r *request, e *endpoint) AttemptDenial {
	return p.attemptDenialBeside(r.inFlight, now, r, e)
}

// attemptDenialBeside is attemptDenial while inFlight attempts of r are in flight. The others count as possibly executed.
func (p retryPolicy) attemptDenialBeside(inFlight int, now Time, r *request, e *endpoint) AttemptDenial {
	switch {
	case r.ended:
		return DeniedRequestEnded
	case r.responseStarted:
		return DeniedResponseStarted
	case r.bodyConsumed:
		return DeniedBodyConsumed
	case e.State != Ready:
		return DeniedEndpointNotReady
	case now >= r.Expires:
		return DeniedDeadline
	case len(r.attempts) >= p.maxAttempts, r.MaxAttempts > 0 && len(r.attempts) >= r.MaxAttempts:
		return DeniedAttemptsExhausted
	case inFlight > 0 && !p.hedgingAllowed:
		return DeniedHedgingForbidden
	}
	for i := range r.attempts {
		if denial := p.repeatDenial(now, r.class, &r.attempts[i], e); denial != AttemptAllowed {
			return denial
		}
	}
	return AttemptAllowed
}

// repeatDenial returns the reason why the earlier attempt may not be repeated at e, or AttemptAllowed. An attempt that is proven not to
// have been executed may be repeated anywhere. Otherwise the idempotency of the class decides.
func (p retryPolicy) repeatDenial(now Time, c *classState, earlier *attempt, e *endpoint) AttemptDenial {
	if earlier.notExecuted {
		return AttemptAllowed
	}
	switch c.Idempotency {
	case NonIdempotent:
		return DeniedNotIdempotent
	case IdempotentByKey:
		if p.dedupWindowExpired(now, c, earlier) {
			return DeniedDedupWindowExpired
		}
		if c.DedupScope == DedupZone && earlier.zone != e.Zone || c.DedupScope == DedupCell && earlier.cell != e.Cell {
			return DeniedOutsideDedupScope
		}
	}
	return AttemptAllowed
}

// attemptAllowed reports whether the retry policy allows an attempt of r at e.
func (b *Balancer) attemptAllowed(now Time, r *request, e *endpoint) bool {
	return b.retries.attemptDenial(now, r, e) == AttemptAllowed
}

// RetryPossible reports whether the retry policy allows another attempt of a request at some ready endpoint if its attempts in flight break
// off now. While it does, an attempt whose response makes no progress is better given up; otherwise it is the request's last chance.
func (b *Balancer) RetryPossible(now Time, id RequestID) bool {
	r := b.requests[id]
	return r != nil && slices.ContainsFunc(b.readyEndpoints, func(e *endpoint) bool {
		return b.retries.attemptDenialBeside(0, now, r, e) == AttemptAllowed
	})
}

// rejectionSafe reports whether r may be rejected at now. A rejection tells the client that a retry is harmless. This holds if the class is
// idempotent, if no attempt can have been executed, or if all endpoints still drop repeats of those that can.
func (p retryPolicy) rejectionSafe(now Time, r *request) bool {
	if r.class.Idempotency == Idempotent {
		return true
	}
	droppedEverywhere := r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupEverywhere
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool {
		return !a.notExecuted && (!droppedEverywhere || p.dedupWindowExpired(now, r.class, &a))
	})
}

// dedupWindowExpired reports whether a repeat that is decided at now may arrive after the dedup window of an earlier attempt.
func (p retryPolicy) dedupWindowExpired(now Time, c *classState, earlier *attempt) bool {
	return now >= earlier.sentAt+c.DedupWindow-p.dedupMargin
}

// NotExecuted reports whether s proves that the attempt was not executed.
func (s Status) NotExecuted() bool {
	return s == StatusOverloaded || s == StatusConnectFailed || s == StatusNotSent
}
