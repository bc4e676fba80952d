package spillover

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sorrelrudder/policy"
)

// TestMayForward guards against requests that run twice. A request that may have run is forwarded only if it is idempotent, or if it
// has an idempotency key whose repeat the remote site still drops. A request with an idempotency key also needs a dedup scope shared
// by both sites. No request is forwarded once all of its attempts are used.
func TestMayForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		effect := rapid.IntRange(0, 2).Draw(t, "effect")
		rules := Rules{Idempotent: effect == 0, HasIdempotencyKey: effect == 1, SharedDedup: rapid.Bool().Draw(t, "shared")}
		var prior []policy.PriorAttempt
		mayHaveRun, repeatMayRun := false, false
		const roundTrip = 20 * time.Millisecond
		for range rapid.IntRange(0, 5).Draw(t, "attempts") {
			attempt := policy.PriorAttempt{NotExecuted: rapid.Bool().Draw(t, "not run"), DedupRemaining: time.Duration(rapid.IntRange(0, 100).Draw(t, "for")) * time.Millisecond}
			prior = append(prior, attempt)
			mayHaveRun = mayHaveRun || !attempt.NotExecuted
			repeatMayRun = repeatMayRun || !attempt.NotExecuted && attempt.DedupRemaining <= roundTrip
		}
		maxAttempts := rapid.IntRange(1, 4).Draw(t, "max attempts")
		want := len(prior) < maxAttempts && (rules.Idempotent || rules.HasIdempotencyKey && rules.SharedDedup && !repeatMayRun || !rules.HasIdempotencyKey && !mayHaveRun)
		if got := MayForward(rules, prior, maxAttempts, roundTrip); got != want {
			t.Fatalf("MayForward(rules %+v, prior attempts %+v, at most %d attempts) = %v, want the opposite", rules, prior, maxAttempts, got)
		}
	})
}
