package spillover

import (
	"slices"
	"time"

	"sorrelrudder/policy"
)

// Rules say which attempts of a request of a class may follow others.
type Rules struct {
	Idempotent        bool
	HasIdempotencyKey bool // without either the request must never run twice
	SharedDedup       bool // the servers of both sites drop its repeats together
}

// MayForward reports whether a request with these prior attempts may be forwarded at all, to a site that is reached within a
// round trip. It must have attempts left of maxAttempts, which both sites share. One that may have run is forwarded only if it is
// idempotent, or if the remote site drops its repeat, and still does when it arrives there. One with an idempotency key whose
// repeats the sites drop each for itself is never forwarded, even if nothing of it has run: its client may have sent it before,
// or send it again, and that attempt could run here. The decision module judges the attempts once more.
func MayForward(rules Rules, prior []policy.PriorAttempt, maxAttempts int, roundTrip time.Duration) bool {
	if len(prior) >= maxAttempts || rules.HasIdempotencyKey && !rules.SharedDedup {
		return false
	}
	if rules.Idempotent {
		return true
	}
	mayRunTwice := func(attempt policy.PriorAttempt) bool {
		repeatIsDropped := rules.HasIdempotencyKey && attempt.DedupRemaining > roundTrip
		return !attempt.NotExecuted && !repeatIsDropped
	}
	return !slices.ContainsFunc(prior, mayRunTwice)
}
