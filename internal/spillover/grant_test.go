package spillover

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func grantConfig() GrantConfig {
	return GrantConfig{Window: 200 * time.Millisecond, Initial: 8, Max: 64, MaxRejectedRatio: 0.02}
}

// TestGrantBounds checks for any sequence of events that the requests in flight and those still available stay within the maximum.
func TestGrantBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGrant(grantConfig())
		now, inFlight := time.Duration(0), 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "gap"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				g.RecordLocal(now)
			case 1:
				g.RecordLocalRejected(now)
			case 2:
				g.RecordRemote(now)
				inFlight++
			case 3:
				if inFlight > 0 {
					g.RecordRemoteDone(now, rapid.Bool().Draw(t, "rejected"))
					inFlight--
				}
			}
			if available := g.Available(now); available < 0 || available+inFlight > max(64, inFlight) {
				t.Fatalf("%d requests are in flight and %d more are granted, want at most 64 together", inFlight, available)
			}
		}
	})
}

// TestGrantEnds guards against a site that keeps its grant during a capacity shortage of its own. The grant must fall to at most one
// request within a few windows, and must grow again after the shortage.
func TestGrantEnds(t *testing.T) {
	g := NewGrant(grantConfig())
	now := time.Duration(0)
	runWindows := func(windows int, rejects bool) {
		for range windows * 20 {
			now += 10 * time.Millisecond
			g.RecordLocal(now)
			if rejects {
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
	runWindows(20, false)
	if g.Available(now) < 8 {
		t.Fatalf("a site with capacity grants %d requests, want at least 8", g.Available(now))
	}
	runWindows(7, true)
	if g.Available(now) > 1 {
		t.Fatalf("a site that rejects requests of its own clients grants %d requests, want at most 1", g.Available(now))
	}
	runWindows(20, false)
	if g.Available(now) < 4 {
		t.Fatalf("a site with capacity again grants %d requests, want at least 4", g.Available(now))
	}
}
