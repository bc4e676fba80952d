package policy

import (
	"slices"
	"testing"
	"time"
)

// TestColdServerIsSentItsShare guards against pushing over a server that has just started: its queue is
// short because it is new, so marks and probe rounds would choose it.
func TestColdServerIsSentItsShare(t *testing.T) {
	cfg := testConfig()
	now := time.Minute
	tests := []struct {
		name    string
		allCold bool
		want    float64 // share of requests that s0 is sent
	}{
		{"one of two", false, cfg.SlowStartMinCapacity / 2},
		{"both", true, cfg.SlowStartMinCapacity}, // at most; the rest is refused or goes to the other
	}
	for _, tc := range tests {
		b, rec := start(t, cfg, 2)
		cold := b.endpoints["s0"]
		cold.Started = now
		if tc.allCold {
			b.endpoints["s1"].Started = now
		}
		const requests = 4000
		sent := 0
		for i := range requests {
			for _, s := range b.readyEndpoints {
				s.marked, s.markedAt = true, now
			}
			r := &request{
				Request: Request{ID: RequestID(i + 1), Expires: now + time.Second},
				class:   b.classes["safe"], objectiveDeadline: now + time.Second, finalDeadline: now + time.Second,
			}
			b.startAttempt(now, r, b.activeSubset(now), rec)
			if n := len(r.attempts); n > 0 && r.attempts[0].endpoint == cold {
				sent++
			}
			again := b.startAttempt(now, r, b.activeSubset(now), rec)
			if n := len(r.attempts); again && n > 1 && r.attempts[n-1].endpoint == cold {
				t.Fatalf("%s: a further attempt went to a cold server", tc.name)
			}
		}
		if share := float64(sent) / requests; share > tc.want+0.03 || share < tc.want*0.8-0.03 {
			t.Errorf("%s: cold server got a share of %.3f, want about %.3f", tc.name, share, tc.want)
		}
		if w := b.slowStart.capacityFraction(now+cfg.SlowStartDuration, cold); w != 1 {
			t.Errorf("warmth after the ramp = %v, want 1", w)
		}
	}
}

// A server is one like others before the last moment at which it must be warm, and not in its first seconds. Seen to fail: while
// most were replaced, what the few old ones had no room for was refused, and new ones answered sooner than those.
func TestNearlyWarmServerIsOneLikeOthers(t *testing.T) {
	cfg := testConfig()
	b, rec := start(t, cfg, 2)
	now := Time(time.Hour)
	b.UpdateEndpoints(now, UpdateDelta, []Endpoint{{ID: "new", Started: now}}, rec)
	for at, want := range map[time.Duration]bool{0: false, cfg.SlowStartDuration / 2: false, cfg.SlowStartDuration * 3 / 5: true, cfg.SlowStartDuration: true} {
		if got := slices.Contains(b.activeSubset(now+at), b.endpoints["new"]); got != want {
			t.Errorf("%v after its start: in the set %v, want %v", at, got, want)
		}
	}
}

// Cold servers tell of themselves alone. Seen to fail with one line for all: with many cold at once warm ones are taken for slow.
func TestColdServersTeachOfThemselvesAlone(t *testing.T) {
	b, rec := start(t, testConfig(), 4)
	now := Time(time.Hour)
	id := RequestID(0)
	for range 50 {
		now += 50 * time.Millisecond
		id++
		answer(b, rec, now, id, "s0", 40*time.Millisecond)
	}
	before := b.expectedLatency(now, b.endpoints["s1"])
	b.UpdateEndpoints(now, UpdateDelta, []Endpoint{{ID: "s9", Started: now}}, rec)
	for range 50 {
		now += 50 * time.Millisecond
		id++
		answer(b, rec, now, id, "s9", 400*time.Millisecond)
	}
	if after := b.expectedLatency(now, b.endpoints["s1"]); after > before*11/10 {
		t.Errorf("answers of a cold server make a warm one expected to take %v instead of %v", after, before)
	}
	if cold := b.expectedLatency(now, b.endpoints["s9"]); cold < 4*before {
		t.Errorf("the cold one is expected to take %v", cold)
	}
}
