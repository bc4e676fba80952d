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
		p := NewPot(total)
		used, claims := map[Key]int64{}, map[Key]Claim{}
		key := rapid.Custom(func(t *rapid.T) Key { return Key(rapid.IntRange(1, 4).Draw(t, "key")) })
		kept := func(but Key) (sum int64) {
			for k, c := range claims {
				if k != but {
					sum += max(0, c.Min-used[k])
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
				c := Claim{Min: rapid.Int64Range(0, max(0, room)).Draw(t, "min")}
				c.Max = c.Min + rapid.Int64Range(0, 50).Draw(t, "more")
				p.Set(k, c)
				claims[k] = c
			},
			"drop": func(t *rapid.T) {
				k := key.Draw(t, "k")
				p.Drop(k)
				delete(claims, k)
			},
			"take": func(t *rapid.T) {
				k, n := key.Draw(t, "k"), rapid.Int64Range(0, 30).Draw(t, "n")
				c, has := claims[k]
				got := p.Take(k, n)
				entitled := has && used[k]+n <= c.Min && inUse()+n+kept(k) <= total
				switch {
				case got && !has:
					t.Fatalf("pool %d took %d without a claim", k, n)
				case got && used[k]+n > c.Max:
					t.Fatalf("pool %d took %d and has %d, over its most of %d", k, n, used[k]+n, c.Max)
				case got && inUse()+n > total:
					t.Fatalf("%d of %d are taken", inUse()+n, total)
				case got && inUse()+n+kept(k)+max(0, c.Min-used[k]-n) > total:
					t.Fatalf("pool %d took %d of what is kept for others", k, n)
				case !got && entitled:
					t.Fatalf("pool %d has %d, and was denied %d of the %d kept for it", k, used[k], n, c.Min)
				}
				if got {
					used[k] += n
				}
			},
			"give": func(t *rapid.T) {
				k := key.Draw(t, "k")
				n := rapid.Int64Range(0, used[k]).Draw(t, "n")
				p.Give(k, n)
				used[k] -= n
			},
			"": func(t *rapid.T) {
				if p.InUse() != inUse() {
					t.Fatalf("%d in use, want %d", p.InUse(), inUse())
				}
				for k, n := range used {
					if p.Used(k) != n {
						t.Fatalf("pool %d has %d, want %d", k, p.Used(k), n)
					}
				}
				if p.unmet != kept(0) {
					t.Fatalf("%d are kept, want %d", p.unmet, kept(0))
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
		a.Set(0, 1, Limits{Open: Claim{Max: NoLimit}, Bodies: Claim{Max: NoLimit}, Rate: rate, Burst: burst})
		a.Ready(1, 1)
		now, admitted := time.Duration(0), 0
		for range 200 {
			now += time.Duration(rapid.Int64Range(0, int64(2*float64(time.Second)/rate)).Draw(t, "gap"))
			v := a.Ask(now, 1, 0)
			if v.Reason == Admitted {
				admitted++
			} else if v.Reason != OverRate {
				t.Fatalf("refused as %v", v.Reason)
			} else {
				b := *a.pools[1]
				if w := a.Ask(now+v.RetryAfter, 1, 0); w.Reason != Admitted && v.RetryAfter < time.Minute {
					t.Fatalf("told to come back after %v, and refused again", v.RetryAfter)
				}
				*a.pools[1] = b
				a.Done(1, 0)
			}
			if most := burst + rate*now.Seconds() + 1e-6; float64(admitted) > most {
				t.Fatalf("%d admitted by %v, at most %.1f may be", admitted, now, most)
			}
		}
	})
}

func TestAdmission(t *testing.T) {
	a := NewAdmission(4, 1000)
	kept := Limits{Open: Claim{Min: 2, Max: NoLimit}, Bodies: Claim{Min: 500, Max: NoLimit}}
	a.Set(0, 1, kept)
	a.Set(0, 2, kept)
	want := func(k Key, body int64, reason Reason) {
		t.Helper()
		if v := a.Ask(0, k, body); v.Reason != reason || (v.RetryAfter > 0) == (reason == Admitted) {
			t.Fatalf("pool %d, body %d: %v, want %v", k, body, v, reason)
		}
	}
	want(1, 0, NoServer)
	a.Ready(1, 1)
	a.Ready(2, 1)
	want(1, 400, Admitted)
	want(1, 400, OverBodies) // 100 of its own and what is kept for the other
	want(1, 0, Admitted)
	want(1, 0, OverOpen)
	want(2, 500, Admitted)
	a.Done(1, 400)
	want(1, 400, Admitted)
	a.Trim(1, 300)
	a.Done(1, 0)
	want(1, 300, Admitted)
	a.Drop(2)
	want(2, 0, Leaving)
	a.Done(2, 500) // what it took before is still to be given back
	a.Done(1, 100)
	a.Done(1, 300)
	if a.open.InUse() != 0 || a.bodies.InUse() != 0 || a.Open(2) != 0 {
		t.Errorf("%d open and %d bytes are left", a.open.InUse(), a.bodies.InUse())
	}
	a.Set(0, 3, Limits{Open: Claim{Max: 1}, Bodies: Claim{Max: 1}, Hold: true})
	want(3, 0, Admitted) // the module holds it
}

// TestReloadIsNoBurst guards against filling the tokens anew whenever the operator's file is read.
func TestReloadIsNoBurst(t *testing.T) {
	a := NewAdmission(100, 0)
	l := Limits{Open: Claim{Max: NoLimit}, Bodies: Claim{Max: NoLimit}, Rate: 1, Burst: 5}
	a.Set(0, 1, l)
	a.Ready(1, 1)
	admitted := 0
	for range 50 {
		a.Set(0, 1, l)
		if a.Ask(0, 1, 0).Reason == Admitted {
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
			p.Set(Key(i+1), w)
			sum += w
		}
		late := rapid.Bool().Draw(t, "late")
		for range 30 {
			if late {
				p.Lag(20 * time.Millisecond)
			} else {
				p.Lag(100 * time.Microsecond)
			}
		}
		now := time.Duration(0)
		work := make([]float64, len(weights))
		total := 0.0
		for range 50 {
			i := rapid.IntRange(0, len(weights)-1).Draw(t, "pool")
			n := rapid.Float64Range(0, 10).Draw(t, "work")
			p.Worked(now, Key(i+1), n)
			work[i] += n
			total += n
		}
		for i := range weights {
			pause := p.Pause(now, Key(i+1), 0)
			over := work[i]/max(total, 1e-9) - weights[i]/sum
			switch {
			case pause < 0 || pause > mostPace:
				t.Fatalf("paused for %v", pause)
			case pause > 0 && (!late || len(weights) == 1 || over <= 0.1-1e-9):
				t.Fatalf("pool %d paused for %v: late %v, %d pools, over by %.2f", i+1, pause, late, len(weights), over)
			case pause == 0 && late && len(weights) > 1 && over > 0.11:
				t.Fatalf("pool %d, over by %.2f, not paused while late", i+1, over)
			}
		}
		if a, b := p.Pause(now, 1, 1), p.Pause(now, 1, 4); a <= 0 || b < a || b > mostPace {
			t.Fatalf("paused %v after one refusal and %v after four", a, b)
		}
		p.Drop(1)
		p.Worked(now+time.Hour, 2, 1)
		if p.work > 1+1e-9 {
			t.Fatalf("work of an hour ago counts: %v", p.work)
		}
	})
}
