package spillover

import (
	"slices"
	"time"

	"sorrelrudder/policy"
)

// Rules are the retry rules of a class of requests. A request that is neither idempotent nor has an idempotency key must never run
// twice.
type Rules struct {
	Idempotent        bool
	HasIdempotencyKey bool
	SharedDedup       bool // the servers of both sites share the dedup scope in which they drop repeats
}

// MayForward reports whether a request with these prior attempts may be forwarded to a site that its next attempt reaches within
// roundTrip. The prior attempts must be fewer than maxAttempts, which counts the attempts at both sites. A request that may have run
// is forwarded only if it is idempotent, or if the remote site still drops its repeat when the attempt arrives there. A request with
// an idempotency key is never forwarded without SharedDedup, even if no attempt has run: the client may have sent the request before,
// or may send it again, and that attempt could run at the local site. The decision module checks the attempts again.
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
