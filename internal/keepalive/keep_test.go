package keepalive

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// crowd plays clients against a rule: each of its connections comes, is answered, and is asked again after gap, where it is
// ever; one that was closed comes anew then. It returns the connections opened and the requests in the last second.
func crowd(places int64, clients int, gap func(i int, now time.Duration) time.Duration, length time.Duration) (opened, asked, most int) {
	type client struct {
		next time.Duration // of its request
		open bool
		uses int
		wait Wait
		from time.Duration
	}
	const tick = 2 * time.Millisecond
	r := New(places)
	all := make([]client, clients)
	held := 0
	for i := range all {
		all[i].next = time.Duration(i) * time.Second / time.Duration(clients)
	}
	for now := time.Duration(0); now < length; now += tick {
		for i := range all {
			c := &all[i]
			if c.open && now-c.from >= c.wait.Max {
				r.EndIdle(1, Kind(min(c.uses, 2)), c.wait, now-c.from, false)
				r.Closed()
				held--
				c.open = false
			}
			if now < c.next {
				continue
			}
			last := now >= length-time.Second
			if last {
				asked++
			}
			if !c.open {
				r.Opened(now)
				held++
				c.open, c.uses = true, 0
				if last {
					opened++
				}
			} else {
				r.EndIdle(1, Kind(min(c.uses, 2)), c.wait, now-c.from, true)
			}
			most = max(most, held)
			c.uses++
			c.from = now
			c.next = now + gap(i, now)
			if c.wait = r.BeginIdle(now, 1, Kind(min(c.uses, 2))); c.wait.Max == 0 {
				r.Closed()
				held--
				c.open = false
			}
		}
	}
	return opened, asked, most
}

// TestNoChurn holds the fixed point: clients that all fit, and that ask again before their connection would have to go, keep
// theirs in the end, however often they were closed before, and whatever their number.
func TestNoChurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := rapid.SampledFrom([]int64{21, 108, 453, 2000}).Draw(t, "places")
		clients := int(float64(places) * rapid.Float64Range(0.1, 0.8).Draw(t, "fill"))
		gap := time.Duration(rapid.IntRange(20, 1500).Draw(t, "gap")) * time.Millisecond
		opened, asked, _ := crowd(places, clients, func(int, time.Duration) time.Duration { return gap }, 12*time.Second)
		if asked > 0 && opened > asked/10 {
			t.Fatalf("%d places, %d clients, every %v: %d of %d requests came on new connections at the end", places, clients, gap, opened, asked)
		}
	})
}

// TestAskOnce guards against holding the connections of clients that ask once and keep theirs: few are, at the end of a
// while, whatever their rate.
func TestAskOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := rapid.SampledFrom([]int64{108, 164, 453}).Draw(t, "places")
		rate := rapid.IntRange(int(places)/2, 4*int(places)).Draw(t, "rate")
		r := New(places)
		type held struct {
			w    Wait
			from time.Duration
		}
		var all []held
		kept := 0
		n := 0
		for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
			rest := all[:0]
			for _, h := range all {
				if now-h.from >= h.w.Max {
					r.EndIdle(1, OneRequest, h.w, now-h.from, false)
					r.Closed()
					continue
				}
				rest = append(rest, h)
			}
			all = rest
			for ; n < int(now.Seconds()*float64(rate)); n++ {
				r.Opened(now)
				if w := r.BeginIdle(now, 1, OneRequest); w.Max > 0 {
					all = append(all, held{w, now})
				} else {
					r.Closed()
				}
			}
			if now > 8*time.Second {
				kept = max(kept, len(all))
			}
		}
		if most := max(2, int(places)/8); kept > most {
			t.Fatalf("%d places, %d a second: %d idle ones are kept, at most %d should be", places, rate, kept, most)
		}
	})
}

// TestMixed guards against judging one kind by another: beside clients that ask once, those that go on asking keep their
// connections.
func TestMixed(t *testing.T) {
	const places, keepers = 164, 40
	opened, asked, _ := crowd(places, keepers+200, func(i int, _ time.Duration) time.Duration {
		if i < keepers {
			return 100 * time.Millisecond
		}
		return 5 * time.Second // longer than any connection may wait
	}, 15*time.Second)
	// 40 of the requests a second are those of the others, which need a new connection each.
	if others := 200 / 5; opened > others+keepers/4 {
		t.Errorf("%d of %d requests came on new connections, of which %d had to", opened, asked, others)
	}
}

// TestChange guards against never finding out that clients have begun to use their connections again.
func TestChange(t *testing.T) {
	opened, asked, _ := crowd(164, 300, func(i int, now time.Duration) time.Duration {
		if now < 10*time.Second {
			return 3 * time.Second
		}
		if i >= 60 {
			return time.Hour
		}
		return 200 * time.Millisecond
	}, 30*time.Second)
	if asked < 200 || opened > asked/20 {
		t.Errorf("%d of %d requests came on new connections, 17 s after all began to ask every 200 ms", opened, asked)
	}
}

// TestCease guards against learning only from waits that have ended: where none has for a second, those that go on tell that none
// will be used, though there is room.
func TestCease(t *testing.T) {
	const places, conns = 164, 60
	r := New(places)
	now := time.Duration(0)
	for range conns {
		now += 5 * time.Millisecond
		r.Opened(now)
		if w := r.BeginIdle(now, 1, OneRequest); w.Max < MaxIdle {
			t.Fatalf("with room and nothing known, one may wait only %v", w.Max)
		}
	}
	if r.Expired(1, OneRequest, 300*time.Millisecond) {
		t.Fatal("not worth it after 300 ms, with room and next to nothing known")
	}
	now += time.Second
	for range refreshInterval {
		r.BeginIdle(now, 1, OneRequest)
	}
	if !r.Expired(1, OneRequest, time.Second) {
		t.Errorf("one that has waited 1 s beside %d others is worth %v", conns, r.GittinsIndex(1, OneRequest, time.Second))
	}
}

// TestBounds holds what the rule may say whatever it is told: waits within their bounds, an index that is a number, explorers
// within their share.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := rapid.Int64Range(1, 1000).Draw(t, "places")
		r := New(places)
		now := time.Duration(0)
		type held struct {
			o PoolID
			k Kind
			w Wait
		}
		var all []held
		exploring := 0
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "gap"))
			if len(all) > 0 && rapid.Bool().Draw(t, "ends") {
				h := all[0]
				all = all[1:]
				if h.w.Explore {
					exploring--
				}
				after := time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "after"))
				r.EndIdle(h.o, h.k, h.w, after, rapid.Bool().Draw(t, "used"))
				r.Closed()
				continue
			}
			h := held{o: PoolID(rapid.IntRange(0, 3).Draw(t, "owner")), k: Kind(rapid.IntRange(0, 2).Draw(t, "kind"))}
			r.Opened(now)
			h.w = r.BeginIdle(now, h.o, h.k)
			switch {
			case h.w.Max < 0 || h.w.Max > MaxIdle || h.k == NoRequest && h.w.Max < minFirstRequestWait:
				t.Fatalf("a wait of %v for kind %d", h.w.Max, h.k)
			case h.w.Max == 0:
				r.Closed()
				continue
			}
			if h.w.Explore {
				exploring++
			}
			if float64(exploring) > max(1, maxExploreShare*float64(places)) {
				t.Fatalf("%d of %d places explore", exploring, places)
			}
			if w := r.GittinsIndex(h.o, h.k, now); !(w >= 0 && w < 1e4) {
				t.Fatalf("worth %v", w)
			}
			all = append(all, h)
		}
	})
}

// BenchmarkRest tells what the rule adds to a request.
func BenchmarkRest(b *testing.B) {
	r := New(453)
	r.Opened(0)
	b.ReportAllocs()
	for i := range b.N {
		w := r.BeginIdle(time.Duration(i)*time.Millisecond, 1, SeveralRequests)
		r.EndIdle(1, SeveralRequests, w, time.Duration(i%1000)*time.Millisecond, true)
	}
}

// TestAdopt guards against a process that takes another's place and keeps, until it has learnt for itself, what is never used
// again; and against figures that no rule can have learnt.
func TestAdopt(t *testing.T) {
	old := New(100)
	for i := range 300 {
		now := time.Duration(i) * 10 * time.Millisecond
		old.Opened(now)
		w := old.BeginIdle(now, 1, OneRequest)
		old.EndIdle(1, OneRequest, w, 2*time.Second, false)
		if i < 280 {
			old.Closed()
		}
	}
	next := New(100)
	for range 20 { // as many places are taken
		next.Opened(0)
	}
	if w := next.BeginIdle(0, 1, OneRequest); w.Max < time.Second {
		t.Fatalf("with nothing known one may wait only %v", w.Max)
	}
	next.Restore(old.History())
	if w := next.BeginIdle(0, 1, OneRequest); w.Max > 100*time.Millisecond {
		t.Errorf("what is never used again may wait %v", w.Max)
	}
	if w := next.BeginIdle(0, 1, SeveralRequests); w.Max < time.Second {
		t.Errorf("of another kind one may wait only %v", w.Max)
	}
	worth := next.GittinsIndex(1, SeveralRequests, 0)
	next.Restore(History{1: {{}, {}, {Waited: make([]float64, ageBuckets), Used: make([]float64, ageBuckets)}}, 2: {{}}})
	if w := next.GittinsIndex(1, SeveralRequests, 0); w != worth {
		t.Errorf("worth %v after what cannot be, %v before", w, worth)
	}
}
