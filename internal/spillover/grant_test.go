package spillover

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sorrelrudder/policy"
)

func grantConfig() GrantConfig {
	return GrantConfig{Window: 200 * time.Millisecond, Initial: 8, Max: 64, MaxRejectedRatio: 0.02}
}

// TestGrantBounds holds what a site grants to its bounds, whatever comes.
func TestGrantBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGrant(grantConfig())
		now, out := time.Duration(0), 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "gap"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				g.RecordLocal(now)
			case 1:
				g.RecordLocalRejected(now)
			case 2:
				g.RecordRemote(now)
				out++
			case 3:
				if out > 0 {
					g.RecordRemoteDone(now, rapid.Bool().Draw(t, "refused"))
					out--
				}
			}
			if room := g.Available(now); room < 0 || room+out > max(64, out) {
				t.Fatalf("%d are out and %d more are granted", out, room)
			}
		}
	})
}

// TestGrantEnds guards against a site that is short itself and goes on taking the work of others: within six windows it takes
// none, and once it is not short any more it grants again.
func TestGrantEnds(t *testing.T) {
	g := NewGrant(grantConfig())
	now := time.Duration(0)
	play := func(windows int, short bool) {
		for range windows * 20 {
			now += 10 * time.Millisecond
			g.RecordLocal(now)
			if short {
				g.RecordLocalRejected(now)
			}
			n := g.Available(now)
			for range n {
				g.RecordRemote(now)
			}
			for range n {
				g.RecordRemoteDone(now, false)
			}
		}
	}
	play(20, false)
	if g.Available(now) < 8 {
		t.Fatalf("a site with room grants %d", g.Available(now))
	}
	play(7, true)
	if g.Available(now) > 1 {
		t.Fatalf("a site that turns its own clients away grants %d", g.Available(now))
	}
	play(20, false)
	if g.Available(now) < 4 {
		t.Fatalf("a site that has room again grants %d", g.Available(now))
	}
}

// TestLegal holds rule 2 over the hop, against its own words: an unsafe request that may have run never crosses, a keyed one only
// where both sites drop its repeats together and still do, and no request has more attempts than the most.
func TestLegal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		effect := rapid.IntRange(0, 2).Draw(t, "effect")
		r := Rules{Idempotent: effect == 0, HasIdempotencyKey: effect == 1, SharedDedup: rapid.Bool().Draw(t, "reaches")}
		var prior []policy.PriorAttempt
		mayHaveRun, forgets := false, false
		const trip = 20 * time.Millisecond
		for range rapid.IntRange(0, 5).Draw(t, "attempts") {
			p := policy.PriorAttempt{NotExecuted: rapid.Bool().Draw(t, "not run"), DedupRemaining: time.Duration(rapid.IntRange(0, 100).Draw(t, "for")) * time.Millisecond}
			prior = append(prior, p)
			mayHaveRun = mayHaveRun || !p.NotExecuted
			forgets = forgets || !p.NotExecuted && p.DedupRemaining <= trip
		}
		most := rapid.IntRange(1, 4).Draw(t, "most")
		want := len(prior) < most && (r.Idempotent || r.HasIdempotencyKey && r.SharedDedup && !forgets || !r.HasIdempotencyKey && !mayHaveRun)
		if got := MayForward(r, prior, most, trip); got != want {
			t.Fatalf("%+v, %+v, at most %d: %v", r, prior, most, got)
		}
	})
}
