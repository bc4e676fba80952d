package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// TestPot holds a pot against what it promises, over any order of claims, takes and returns: never more than the whole, no
// pool over its most, and always, for a pool, what is kept for it.
func TestPot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(0, 100).Draw(t, "total")
		p := NewBudget(total)
		used, claims := map[PoolID]int64{}, map[PoolID]Claim{}
		key := rapid.Custom(func(t *rapid.T) PoolID { return PoolID(rapid.IntRange(1, 4).Draw(t, "key")) })
		kept := func(but PoolID) (sum int64) {
			for k, c := range claims {
				if k != but {
					sum += max(0, c.Reserved-used[k])
				}
			}
			return sum
		}
		inUse := func() (sum int64) {
			for _, n := range used {
				sum += n
			}
			return sum
		}
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				k := key.Draw(t, "k")
				room := total - inUse() - kept(k) + used[k] // what is kept for all must fit into the whole
				c := Claim{Reserved: rapid.Int64Range(0, max(0, room)).Draw(t, "min")}
				c.Limit = c.Reserved + rapid.Int64Range(0, 50).Draw(t, "more")
				p.Set(k, c)
				claims[k] = c
			},
			"drop": func(t *rapid.T) {
				k := key.Draw(t, "k")
				p.Remove(k)
				delete(claims, k)
			},
			"take": func(t *rapid.T) {
				k, n := key.Draw(t, "k"), rapid.Int64Range(0, 30).Draw(t, "n")
				c, has := claims[k]
				got := p.Acquire(k, n)
				entitled := has && used[k]+n <= c.Reserved && inUse()+n+kept(k) <= total
				switch {
				case got && !has:
					t.Fatalf("pool %d took %d without a claim", k, n)
				case got && used[k]+n > c.Limit:
					t.Fatalf("pool %d took %d and has %d, over its most of %d", k, n, used[k]+n, c.Limit)
				case got && inUse()+n > total:
					t.Fatalf("%d of %d are taken", inUse()+n, total)
				case got && inUse()+n+kept(k)+max(0, c.Reserved-used[k]-n) > total:
					t.Fatalf("pool %d took %d of what is kept for others", k, n)
				case !got && entitled:
					t.Fatalf("pool %d has %d, and was denied %d of the %d kept for it", k, used[k], n, c.Reserved)
				}
				if got {
					used[k] += n
				}
			},
			"give": func(t *rapid.T) {
				k := key.Draw(t, "k")
				n := rapid.Int64Range(0, used[k]).Draw(t, "n")
				p.Release(k, n)
				used[k] -= n
			},
			"": func(t *rapid.T) {
				if p.TotalUsed() != inUse() {
					t.Fatalf("%d in use, want %d", p.TotalUsed(), inUse())
				}
				for k, n := range used {
					if p.Used(k) != n {
						t.Fatalf("pool %d has %d, want %d", k, p.Used(k), n)
					}
				}
				if p.unusedReserve != kept(0) {
					t.Fatalf("%d are kept, want %d", p.unusedReserve, kept(0))
				}
			},
		})
	})
}

// TestRate guards against letting more in than the limit over any time, against refusing who keeps to it, and against a
// Retry-After after which the request would be refused again.
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
				t.Fatalf("refused as %v", v.Reason)
			} else {
				b := *a.pools[1]
				if w := a.Admit(now+v.RetryAfter, 1, 0); w.Reason != Admitted && v.RetryAfter < time.Minute {
					t.Fatalf("told to come back after %v, and refused again", v.RetryAfter)
				}
				*a.pools[1] = b
				a.Release(1, 0)
			}
			if most := burst + rate*now.Seconds() + 1e-6; float64(admitted) > most {
				t.Fatalf("%d admitted by %v, at most %.1f may be", admitted, now, most)
			}
		}
	})
}

func TestAdmission(t *testing.T) {
	a := NewAdmission(4, 1000)
	kept := Limits{OpenRequests: Claim{Reserved: 2, Limit: Unlimited}, BodyBytes: Claim{Reserved: 500, Limit: Unlimited}}
	a.Set(0, 1, kept)
	a.Set(0, 2, kept)
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
	want(1, 400, BodyMemoryExceeded) // 100 of its own and what is kept for the other
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
	a.Release(2, 500) // what it took before is still to be given back
	a.Release(1, 100)
	a.Release(1, 300)
	if a.open.TotalUsed() != 0 || a.bodies.TotalUsed() != 0 || a.OpenRequests(2) != 0 {
		t.Errorf("%d open and %d bytes are left", a.open.TotalUsed(), a.bodies.TotalUsed())
	}
	a.Set(0, 3, Limits{OpenRequests: Claim{Limit: 1}, BodyBytes: Claim{Limit: 1}, WaitForServers: true})
	want(3, 0, Admitted) // the module holds it
}

// TestReloadIsNoBurst guards against filling the tokens anew whenever the operator's file is read.
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

// TestPacer guards against pausing a pool that is alone or within its part, or anyone while the process is on time, and for
// a pause of the pool that does most of the work while it is late.
func TestPacer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPacer()
		weights := rapid.SliceOfN(rapid.Float64Range(0.1, 10), 1, 5).Draw(t, "weights")
		sum := 0.0
		for i, w := range weights {
			p.Set(PoolID(i+1), w)
			sum += w
		}
		late := rapid.Bool().Draw(t, "late")
		for range 30 {
			if late {
				p.RecordLag(20 * time.Millisecond)
			} else {
				p.RecordLag(100 * time.Microsecond)
			}
		}
		now := time.Duration(0)
		work := make([]float64, len(weights))
		total := 0.0
		for range 50 {
			i := rapid.IntRange(0, len(weights)-1).Draw(t, "pool")
			n := rapid.Float64Range(0, 10).Draw(t, "work")
			p.RecordWork(now, PoolID(i+1), n)
			work[i] += n
			total += n
		}
		for i := range weights {
			pause := p.ReadDelay(now, PoolID(i+1), 0)
			over := work[i]/max(total, 1e-9) - weights[i]/sum
			switch {
			case pause < 0 || pause > maxReadDelay:
				t.Fatalf("paused for %v", pause)
			case pause > 0 && (!late || len(weights) == 1 || over <= 0.1-1e-9):
				t.Fatalf("pool %d paused for %v: late %v, %d pools, over by %.2f", i+1, pause, late, len(weights), over)
			case pause == 0 && late && len(weights) > 1 && over > 0.11:
				t.Fatalf("pool %d, over by %.2f, not paused while late", i+1, over)
			}
		}
		if a, b := p.ReadDelay(now, 1, 1), p.ReadDelay(now, 1, 4); a <= 0 || b < a || b > maxReadDelay {
			t.Fatalf("paused %v after one refusal and %v after four", a, b)
		}
		p.Remove(1)
		p.RecordWork(now+time.Hour, 2, 1)
		if p.totalWork > 1+1e-9 {
			t.Fatalf("work of an hour ago counts: %v", p.totalWork)
		}
	})
}
