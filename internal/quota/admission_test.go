package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// TestRate checks that no more requests are admitted than the rate and the burst allow, that requests are rejected because of the
// rate only, and that a request within the limit, such as a retry after RetryAfter, is not rejected.
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
			decision := a.Admit(now, 1, 0)
			if decision.Reason == Admitted {
				admitted++
			} else if decision.Reason != RateExceeded {
				t.Fatalf("rejected for the reason %v, want only rejections by rate", decision.Reason)
			} else {
				saved := *a.pools[1]
				if retry := a.Admit(now+decision.RetryAfter, 1, 0); retry.Reason != Admitted && decision.RetryAfter < time.Minute {
					t.Fatalf("a retry after RetryAfter of %v is rejected", decision.RetryAfter)
				}
				*a.pools[1] = saved
				a.Release(1, 0)
			}
			if limit := burst + rate*now.Seconds() + 1e-6; float64(admitted) > limit {
				t.Fatalf("%d requests are admitted until %v, want at most %.1f", admitted, now, limit)
			}
		}
	})
}

// TestAdmission checks the reason of each rejection, and that no quota is left in use once all admitted requests are released.
func TestAdmission(t *testing.T) {
	a := NewAdmission(4, 1000)
	reserved := Limits{OpenRequests: Claim{Reserved: 2, Limit: Unlimited}, BodyBytes: Claim{Reserved: 500, Limit: Unlimited}}
	a.Set(0, 1, reserved)
	a.Set(0, 2, reserved)
	want := func(pool PoolID, body int64, reason Reason) {
		t.Helper()
		if decision := a.Admit(0, pool, body); decision.Reason != reason || (decision.RetryAfter > 0) == (reason == Admitted) {
			t.Fatalf("Admit to pool %d with a body of %d bytes: %v, want the reason %v", pool, body, decision, reason)
		}
	}
	want(1, 0, NoReadyServer)
	a.SetReady(1, 1)
	a.SetReady(2, 1)
	want(1, 400, Admitted)
	want(1, 400, BodyMemoryExceeded) // 100 bytes of the pool's reserve are left, and the rest is reserved for the other pool
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
	a.Release(2, 500) // a removed pool still releases its open requests
	a.Release(1, 100)
	a.Release(1, 300)
	if a.open.TotalUsed() != 0 || a.bodies.TotalUsed() != 0 || a.OpenRequests(2) != 0 {
		t.Errorf("%d open requests and %d bytes are in use after all requests were released", a.open.TotalUsed(), a.bodies.TotalUsed())
	}
	a.Set(0, 3, Limits{OpenRequests: Claim{Limit: 1}, BodyBytes: Claim{Limit: 1}, WaitForServers: true})
	want(3, 0, Admitted) // the request may wait for the first ready server
}

// TestReloadIsNoBurst guards against a configuration reload that refills the tokens and so allows another burst.
func TestReloadIsNoBurst(t *testing.T) {
	a := NewAdmission(100, 0)
	limits := Limits{OpenRequests: Claim{Limit: Unlimited}, BodyBytes: Claim{Limit: Unlimited}, Rate: 1, Burst: 5}
	a.Set(0, 1, limits)
	a.SetReady(1, 1)
	admitted := 0
	for range 50 {
		a.Set(0, 1, limits)
		if a.Admit(0, 1, 0).Reason == Admitted {
			admitted++
		}
	}
	if admitted != 5 {
		t.Errorf("%d requests were admitted at once, want the burst of 5", admitted)
	}
}
