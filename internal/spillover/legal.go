package spillover

import (
	"slices"
	"time"

	"sorrelrudder/policy"
)

// Rules say what may be done again with a request of a class.
type Rules struct {
	Idempotent        bool
	HasIdempotencyKey bool // else it is unsafe
	SharedDedup       bool // the servers of both sites drop its repeats together
}

// MayForward reports whether a request with these attempts so far may cross at all, to a site that is reached within a round trip:
// it must have attempts left of the most for both sites together, and one that may have run crosses only if it is safe, or if
// the far site drops its repeat, and still does when it gets there. A keyed one whose repeats the sites drop each for itself never
// crosses, even if nothing of it has run: its client may have asked before, or ask again, and that try could run here. The
// decision module judges the same of the attempts once more.
func MayForward(r Rules, prior []policy.PriorAttempt, most int, roundTrip time.Duration) bool {
	if len(prior) >= most || r.HasIdempotencyKey && !r.SharedDedup {
		return false
	}
	return r.Idempotent || !slices.ContainsFunc(prior, func(p policy.PriorAttempt) bool {
		return !p.NotExecuted && (!r.HasIdempotencyKey || p.DedupRemaining <= roundTrip)
	})
}
