package spillover

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sorrelrudder/policy"
)

// TestMayForward checks that a request that is not idempotent and may have run is never forwarded, one with an idempotency key
// only where both sites drop its repeats together and still do, and none with all of its attempts used.
func TestMayForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		effect := rapid.IntRange(0, 2).Draw(t, "effect")
		rules := Rules{Idempotent: effect == 0, HasIdempotencyKey: effect == 1, SharedDedup: rapid.Bool().Draw(t, "shared")}
		var prior []policy.PriorAttempt
		mayHaveRun, expires := false, false
		const roundTrip = 20 * time.Millisecond
		for range rapid.IntRange(0, 5).Draw(t, "attempts") {
			p := policy.PriorAttempt{NotExecuted: rapid.Bool().Draw(t, "not run"), DedupRemaining: time.Duration(rapid.IntRange(0, 100).Draw(t, "for")) * time.Millisecond}
			prior = append(prior, p)
			mayHaveRun = mayHaveRun || !p.NotExecuted
			expires = expires || !p.NotExecuted && p.DedupRemaining <= roundTrip
		}
		maxAttempts := rapid.IntRange(1, 4).Draw(t, "max attempts")
		want := len(prior) < maxAttempts && (rules.Idempotent || rules.HasIdempotencyKey && rules.SharedDedup && !expires || !rules.HasIdempotencyKey && !mayHaveRun)
		if got := MayForward(rules, prior, maxAttempts, roundTrip); got != want {
			t.Fatalf("%+v, %+v, at most %d: %v", rules, prior, maxAttempts, got)
		}
	})
}
