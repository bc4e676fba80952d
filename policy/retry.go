package policy

import (
	"slices"
	"time"
)

// AttemptDenial says why a request may not be attempted at an endpoint; AttemptAllowed if it may.
type AttemptDenial int

// The denials, in the order in which they are looked for.
const (
	AttemptAllowed           AttemptDenial = iota
	DeniedRequestEnded                     // the request was answered, or its client has left
	DeniedResponseStarted                  // part of a response has reached the client
	DeniedBodyConsumed                     // the streamed body cannot be read again
	DeniedEndpointNotReady                 // the endpoint drains or was removed
	DeniedDeadline                         // the client has given up by now
	DeniedAttemptsExhausted                // all attempts that the site or the request allows were made
	DeniedHedgingForbidden                 // another attempt is in flight, and the site forbids two at once
	DeniedNotIdempotent                    // an earlier attempt may have been executed, and a repeat would execute it twice
	DeniedDedupWindowExpired               // repeats of an earlier attempt are no longer dropped when this one arrives
	DeniedOutsideDedupScope                // the endpoint does not drop repeats of an earlier attempt made elsewhere
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

// String returns the reason in words.
func (d AttemptDenial) String() string {
	if d < 0 || int(d) >= len(attemptDenialNames) {
		return "unknown"
	}
	return attemptDenialNames[d]
}

// retryPolicy is what a site allows of the attempts of one request.
type retryPolicy struct {
	maxAttempts    int
	hedgingAllowed bool
	dedupMargin    time.Duration // before the end of a dedup window: the longest from the decision to the repeat's arrival
}

// newRetryPolicy returns the policy for cfg.
func newRetryPolicy(cfg Config) retryPolicy {
	return retryPolicy{
		maxAttempts: cfg.MaxAttempts, hedgingAllowed: cfg.HedgingAllowed, dedupMargin: cfg.DialTimeout + cfg.TimerResolution,
	}
}

// attemptDenied is the only judge of whether the rules allow an attempt of r at e now, be it the first, a retry or a hedged
// request. Whether the attempt would be of use is another question.
func (p retryPolicy) attemptDenied(now Time, r *request, e *endpoint) AttemptDenial {
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
	case r.inFlight > 0 && !p.hedgingAllowed:
		return DeniedHedgingForbidden
	}
	for i := range r.attempts {
		if denial := p.repeatDenied(now, r.class, &r.attempts[i], e); denial != AttemptAllowed {
			return denial
		}
	}
	return AttemptAllowed
}

// repeatDenied judges whether the earlier attempt may be repeated at e: freely if it is proven not to have been executed, else
// as the idempotency of the class tells.
func (p retryPolicy) repeatDenied(now Time, c *classState, earlier *attempt, e *endpoint) AttemptDenial {
	if earlier.notExecuted {
		return AttemptAllowed
	}
	switch c.Idempotency {
	case NonIdempotent:
		return DeniedNotIdempotent
	case IdempotentByKey:
		if now >= earlier.sentAt+c.DedupWindow-p.dedupMargin {
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
	return b.retries.attemptDenied(now, r, e) == AttemptAllowed
}

// rejectionSafe reports whether r may be rejected, which promises its client that a retry is harmless: its class is idempotent
// everywhere, or none of its attempts can have been executed.
func rejectionSafe(r *request) bool {
	if r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupEverywhere {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.notExecuted })
}

// NotExecuted reports whether s proves that the attempt was never executed.
func (s Status) NotExecuted() bool {
	return s == StatusOverloaded || s == StatusConnectFailed || s == StatusNotSent
}
