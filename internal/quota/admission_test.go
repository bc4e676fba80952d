package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// TestRate checks that no more is admitted than the limit over any time, that who keeps to it is not rejected, and that a retry
// after RetryAfter is not rejected again.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 1000).Draw(t, "rate")
		burst := rapid.Float64Range(1, 50).Draw(t, "burst")
		a := NewAdmission(1<<30, 1<<30)
		a.Set(0, 1, Limits{OpenRequests: Claim{Limit: Unlimited}, BodyBytes: Claim{Limit: Unlimited}, Rate: rate, Burst: burst})
		a.SetReady(1, 1)
		now, admitted := time.Duration(0), 0
		for range 200 {
			now += time.Duration(rapid.Int64Range(0, int64(2*float64(time.Second)/rate)).Draw(t, "gap"))
			v := a.Admit(now, 1, 0)
			if v.Reason == Admitted {
				admitted++
			} else if v.Reason != RateExceeded {
				t.Fatalf("rejected as %v", v.Reason)
			} else {
				b := *a.pools[1]
				if w := a.Admit(now+v.RetryAfter, 1, 0); w.Reason != Admitted && v.RetryAfter < time.Minute {
					t.Fatalf("to be retried after %v, and rejected again", v.RetryAfter)
				}
				*a.pools[1] = b
				a.Release(1, 0)
			}
			if limit := burst + rate*now.Seconds() + 1e-6; float64(admitted) > limit {
				t.Fatalf("%d admitted by %v, at most %.1f may be", admitted, now, limit)
			}
		}
	})
}

// TestAdmission checks the reasons of rejections, and that all that was admitted is released.
func TestAdmission(t *testing.T) {
	a := NewAdmission(4, 1000)
	reserved := Limits{OpenRequests: Claim{Reserved: 2, Limit: Unlimited}, BodyBytes: Claim{Reserved: 500, Limit: Unlimited}}
	a.Set(0, 1, reserved)
	a.Set(0, 2, reserved)
	want := func(k PoolID, body int64, reason Reason) {
		t.Helper()
		if v := a.Admit(0, k, body); v.Reason != reason || (v.RetryAfter > 0) == (reason == Admitted) {
			t.Fatalf("pool %d, body %d: %v, want %v", k, body, v, reason)
		}
	}
	want(1, 0, NoReadyServer)
	a.SetReady(1, 1)
	a.SetReady(2, 1)
	want(1, 400, Admitted)
	want(1, 400, BodyMemoryExceeded) // 100 of its own are left, and what is reserved for the other
	want(1, 0, Admitted)
	want(1, 0, TooManyOpen)
	want(2, 500, Admitted)
	a.Release(1, 400)
	want(1, 400, Admitted)
	a.ReleaseBody(1, 300)
	a.Release(1, 0)
	want(1, 300, Admitted)
	a.Remove(2)
	want(2, 0, PoolRemoved)
	a.Release(2, 500) // what it had before is still to be released
	a.Release(1, 100)
	a.Release(1, 300)
	if a.open.TotalUsed() != 0 || a.bodies.TotalUsed() != 0 || a.OpenRequests(2) != 0 {
		t.Errorf("%d open and %d bytes are left", a.open.TotalUsed(), a.bodies.TotalUsed())
	}
	a.Set(0, 3, Limits{OpenRequests: Claim{Limit: 1}, BodyBytes: Claim{Limit: 1}, WaitForServers: true})
	want(3, 0, Admitted) // it waits for a first server
}

// TestReloadIsNoBurst checks that a reload of the configuration does not refill the tokens.
func TestReloadIsNoBurst(t *testing.T) {
	a := NewAdmission(100, 0)
	l := Limits{OpenRequests: Claim{Limit: Unlimited}, BodyBytes: Claim{Limit: Unlimited}, Rate: 1, Burst: 5}
	a.Set(0, 1, l)
	a.SetReady(1, 1)
	admitted := 0
	for range 50 {
		a.Set(0, 1, l)
		if a.Admit(0, 1, 0).Reason == Admitted {
			admitted++
		}
	}
	if admitted != 5 {
		t.Errorf("%d were admitted at once, want the burst of 5", admitted)
	}
}
