package task

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// TestBook holds for every order of commands: a slot is begun anew only by a newer token that says a repeat does no harm, slots only
// grow, and an older token changes nothing after a newer.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRegistry()
		begun := map[int64]int{}
		var newest uint64
		var last int64
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			c := Command{
				Op: rapid.SampledFrom([]Op{OpBegin, OpBegin, OpFinish, OpTrigger}).Draw(t, "op"), Task: "t", Slot: rapid.Int64Range(0, 5).Draw(t, "slot"),
				Token: rapid.Uint64Range(0, 4).Draw(t, "token"), Rerun: rapid.Bool().Draw(t, "again"),
				Outcome: rapid.SampledFrom([]Outcome{OutcomeDone, OutcomeUnknown, "odd"}).Draw(t, "outcome"),
			}
			before := b.Record("t")
			r := b.Apply(c)
			after := r.Record
			if r.Refusal != "" {
				if before.Slot != after.Slot || before.Open != after.Open || before.Token != after.Token {
					t.Fatalf("%+v was refused (%s), and changed %+v to %+v", c, r.Refusal, before, after)
				}
				continue
			}
			if c.Op == OpTrigger {
				continue
			}
			if c.Token < newest {
				t.Fatalf("%+v was taken after token %d", c, newest)
			}
			newest = c.Token
			if after.Slot < last {
				t.Fatalf("%+v: slot %d after %d", c, after.Slot, last)
			}
			last = after.Slot
			if c.Op == OpBegin && !(before.Open && before.Slot == c.Slot && before.BegunBy == c.Token) {
				if begun[c.Slot]++; begun[c.Slot] > 1 && !c.Rerun {
					t.Fatalf("%+v: the slot was begun before", c)
				}
			}
		}
	})
}

func spec(e Idempotency, m MissedPolicy) Spec {
	return Spec{Name: "t", Interval: time.Second, Missed: m, Idempotency: e, DedupWindow: 10 * time.Second, Deadline: 300 * time.Millisecond, MaxAttempts: 2}
}

// TestSlotOfTheDead: what becomes of a slot whose process died is a matter of its effect, and of what this process knows of its age.
func TestSlotOfTheDead(t *testing.T) {
	page := Record{Token: 1, Slot: 5, Open: true, BegunBy: 1, Attempts: 1}
	wall := time.Unix(6, 0)
	for name, c := range map[string]struct {
		effect   Idempotency
		unopened time.Duration
		again    bool
	}{
		"safe":                        {Idempotent, -1, true},
		"unsafe":                      {NonIdempotent, time.Millisecond, false},
		"keyed, young":                {IdempotentByKey, 2 * time.Second, true},
		"keyed, its key forgotten":    {IdempotentByKey, 9800 * time.Millisecond, false},
		"keyed, of an age not known":  {IdempotentByKey, -1, false},
		"keyed, just within the time": {IdempotentByKey, 9699 * time.Millisecond, true},
	} {
		s := spec(c.effect, MissedRunNewest)
		step := s.Next(page, 2, wall, c.unopened)
		if c.again != (step.Begin == 5 && step.Rerun) || c.again == (step.Abandon == 5) {
			t.Errorf("%s: %+v", name, step)
		}
	}
}

// TestMissed: what is done about slots that were due while nobody could do them.
func TestMissed(t *testing.T) {
	for name, c := range map[string]struct {
		missed  MissedPolicy
		page    Record
		wall    time.Time
		begin   int64
		skipped int64
	}{
		"skip, in time":      {MissedSkip, Record{Slot: 3}, time.Unix(9, 1e8), 9, 5},
		"skip, too late":     {MissedSkip, Record{Slot: 3}, time.Unix(9, 5e8), 0, 0},
		"once, too late":     {MissedRunNewest, Record{Slot: 3}, time.Unix(9, 5e8), 9, 5},
		"each":               {MissedRunEach, Record{Slot: 3}, time.Unix(9, 5e8), 4, 0},
		"each, far behind":   {MissedRunEach, Record{Slot: 3}, time.Unix(1000, 0), 901, 897},
		"the first ever":     {MissedRunEach, Record{}, time.Unix(9, 5e8), 9, 0},
		"done":               {MissedRunEach, Record{Slot: 9}, time.Unix(9, 5e8), 0, 0},
		"a clock behind":     {MissedRunEach, Record{Slot: 12}, time.Unix(9, 5e8), 0, 0},
		"called by somebody": {MissedSkip, Record{Slot: 9, Triggered: true}, time.Unix(9, 9e8), 10, 0},
	} {
		s := spec(Idempotent, c.missed)
		step := s.Next(c.page, 1, c.wall, -1)
		if step.Begin != c.begin || step.Skipped != c.skipped {
			t.Errorf("%s: %+v", name, step)
		}
		if step.Begin == 0 && !step.WaitUntil.After(c.wall) {
			t.Errorf("%s: nothing to do, and nothing to wait for: %+v", name, step)
		}
	}
}

// TestRunnerSendsOnlyWhatIsBegun: no request goes out before the book has its slot, under the token of the lease in force, and nothing of it
// after that ends.
func TestRunnerSendsOnlyWhatIsBegun(t *testing.T) {
	sent := 0
	defer func() {
		if sent == 0 {
			t.Error("nothing was ever sent")
		}
	}()
	rapid.Check(t, func(t *rapid.T) {
		b := NewRegistry()
		s := spec(Idempotency(rapid.IntRange(0, 2).Draw(t, "effect")), MissedRunNewest)
		r := NewRunner(s, 100*time.Millisecond, 300*time.Millisecond)
		var token uint64 = 1
		until := 5 * time.Second
		sends := map[int64]int{}
		for now := time.Duration(0); now < 12*time.Second; now += time.Duration(rapid.IntRange(10, 120).Draw(t, "step")) * time.Millisecond {
			if now > until || rapid.IntRange(0, 60).Draw(t, "another") == 37 {
				// Another process has the lease for a while, and does a slot.
				token++
				p := b.Record("t")
				if p.Open {
					b.Apply(Command{Op: OpFinish, Task: "t", Slot: p.Slot, Token: token, Outcome: OutcomeUnknown})
				}
				b.Apply(Command{Op: OpBegin, Task: "t", Slot: b.Record("t").Slot + 1, Token: token})
				token++
				until = now + 3*time.Second
			}
			a, _ := r.Next(now, time.Unix(1000, 0).Add(now), token, until)
			lost := rapid.IntRange(0, 3).Draw(t, "lost") == 0
			switch {
			case a.FetchRecord && !lost:
				r.HandleRecord(r.FetchedAt(), b.Record("t"))
			case a.Command != nil:
				res := b.Apply(*a.Command)
				if !lost {
					r.HandleResult(now, *a.Command, res, token)
				}
			case a.Send != nil:
				p := b.Record("t")
				if p.Slot == a.Send.Slot && (!p.Open || p.BegunBy != a.Send.Token) || a.Send.Deadline > until {
					t.Fatalf("%+v goes out, and the book has %+v, until %v", a.Send, p, until)
				}
				outcome := rapid.SampledFrom([]Outcome{OutcomeDone, OutcomeRejected, OutcomeFailed, OutcomeUnknown}).Draw(t, "outcome")
				if outcome != OutcomeRejected {
					if sends[a.Send.Slot]++; sends[a.Send.Slot] > 1 && s.Idempotency == NonIdempotent {
						t.Fatalf("the unsafe slot %d may have run %d times", a.Send.Slot, sends[a.Send.Slot])
					}
				}
				r.HandleOutcome(now, outcome, now+20*time.Millisecond)
			}
		}
		sent += len(sends)
	})
}

// TestKeyForgottenWhileAsking: that a key is fresh is looked at as the request goes out, and not only as its slot was begun (found by
// tier-explore, seed 2540).
func TestKeyForgottenWhileAsking(t *testing.T) {
	s := spec(IdempotentByKey, MissedRunNewest)
	r := NewRunner(s, 100*time.Millisecond, 300*time.Millisecond)
	wall := time.Unix(1000, 0)
	r.Next(0, wall, 0, 0)
	r.HandleRecord(0, Record{Token: 1, Slot: 999, BegunBy: 1})
	r.Next(400*time.Millisecond, wall, 0, 0)
	open := Record{Token: 1, Slot: 1000, Open: true, BegunBy: 1, Attempts: 1}
	r.HandleRecord(400*time.Millisecond, open)
	r.Next(500*time.Millisecond, wall, 2, time.Hour)
	r.HandleRecord(500*time.Millisecond, open)
	a, _ := r.Next(600*time.Millisecond, wall, 2, time.Hour)
	if a.Command == nil || !a.Command.Rerun {
		t.Fatalf("%+v", a)
	}
	begun := open
	begun.BegunBy, begun.Attempts, begun.Token = 2, 2, 2
	r.HandleResult(s.DedupWindow, *a.Command, Result{Record: begun}, 2) // the answer takes as long as the servers remember
	if a, _ := r.Next(s.DedupWindow, wall, 2, time.Hour); a.Send != nil || a.Command == nil || a.Command.Outcome != OutcomeUnknown {
		t.Errorf("%+v", a)
	}
}

// begun is a runner whose Begin was decided, and the command.
func begun(t *testing.T, b *Registry, e Idempotency) (*Runner, Command) {
	t.Helper()
	r := NewRunner(spec(e, MissedRunNewest), 100*time.Millisecond, 300*time.Millisecond)
	wall := time.Unix(1000, 0)
	r.Next(0, wall, 1, time.Hour)
	r.HandleRecord(0, b.Record("t"))
	a, _ := r.Next(0, wall, 1, time.Hour)
	if a.Command == nil || a.Command.Op != OpBegin {
		t.Fatalf("%+v", a)
	}
	return r, *a.Command
}

// TestAnswerWhileLapsed: the answer to a Begin comes while the lease has lapsed, and the same token is in force again later: the slot goes
// out then, once, and the task does not stand still (found by tier-explore, 15 of 168 seeds).
func TestAnswerWhileLapsed(t *testing.T) {
	b := NewRegistry()
	r, c := begun(t, b, NonIdempotent)
	r.HandleResult(time.Second, c, b.Apply(c), 0)
	wall := time.Unix(1001, 0)
	r.Next(time.Second, wall, 0, 0)
	sent := 0
	for now := time.Second; now < 3*time.Second; now += 10 * time.Millisecond {
		a, _ := r.Next(now, wall, 1, time.Hour)
		if a.FetchRecord {
			r.HandleRecord(now, b.Record("t"))
		}
		if a.Send != nil {
			if a.Send.Slot != c.Slot {
				break
			}
			sent++
			r.HandleOutcome(now, OutcomeDone, now)
		}
		if a.Command != nil {
			r.HandleResult(now, *a.Command, b.Apply(*a.Command), 1)
		}
	}
	if sent != 1 || b.Record("t").Slot == c.Slot && b.Record("t").Open {
		t.Errorf("sent %d times, %+v", sent, b.Record("t"))
	}
}

// TestOvertakenPage: a page that was read before a slot was finished, and comes after its finish was answered, does not have it sent again.
func TestOvertakenPage(t *testing.T) {
	b := NewRegistry()
	r, c := begun(t, b, NonIdempotent)
	r.HandleResult(0, c, b.Apply(c), 1)
	wall := time.Unix(1000, 5e8)
	if a, _ := r.Next(0, wall, 1, time.Hour); a.Send == nil {
		t.Fatalf("%+v", a)
	}
	r.HandleOutcome(0, OutcomeDone, 0)
	stale := b.Record("t")
	a, _ := r.Next(time.Millisecond, wall, 1, time.Hour)
	r.HandleResult(2*time.Millisecond, *a.Command, b.Apply(*a.Command), 1)
	r.HandleRecord(3*time.Millisecond, stale)
	if a, _ := r.Next(5*time.Millisecond, wall, 1, time.Hour); a.Send != nil {
		t.Errorf("sent again: %+v", a.Send)
	}
}

func TestSpecCheck(t *testing.T) {
	for name, change := range map[string]func(*Spec){
		"no name": func(s *Spec) { s.Name = "" }, "too often": func(s *Spec) { s.Interval = 1 }, "no deadline": func(s *Spec) { s.Deadline = 0 },
		"spread beyond": func(s *Spec) { s.Spread = 2 * time.Second }, "at beyond a day": func(s *Spec) { s.Offset = 25 * time.Hour },
		"window within the deadline": func(s *Spec) { s.Idempotency, s.DedupWindow = IdempotentByKey, s.Deadline },
	} {
		s := spec(Idempotent, MissedRunNewest)
		if err := s.Validate(); err != nil {
			t.Fatal(err)
		}
		if change(&s); s.Validate() == nil {
			t.Errorf("%s: not found", name)
		}
	}
}

// TestRoom holds for every order of asks, ends and deaths: never more slots are open than may be, and where there is room and several ask,
// who matters most is let in; one that asks no more keeps the others out for so many rounds only.
func TestRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tasks = 5
		most := rapid.IntRange(1, 3).Draw(t, "most")
		b := NewRegistry()
		name := func(i int) string { return string(rune('a' + i)) }
		open := map[int]bool{}
		slots := map[int]int64{}
		dead := rapid.IntRange(-1, tasks-1).Draw(t, "dead") // asks once, and never again
		for round := range 200 {
			asked := []int{}
			for i := range tasks {
				switch {
				case open[i]:
					if rapid.Bool().Draw(t, "ends") {
						b.Apply(Command{Op: OpFinish, Task: name(i), Slot: slots[i], Token: 1, Outcome: OutcomeDone})
						delete(open, i)
					}
				case i != dead || round == 0:
					asked = append(asked, i)
				}
			}
			for _, i := range asked {
				slot := slots[i] + 1
				r := b.Apply(Command{Op: OpBegin, Task: name(i), Slot: slot, Token: 1, MaxOpen: most, Priority: i})
				switch r.Refusal {
				case "":
					open[i], slots[i] = true, slot
				case RefusedConcurrencyLimit:
				default:
					t.Fatalf("%s", r.Refusal)
				}
			}
			n := 0
			for _, p := range b.Tasks {
				if p.Open {
					n++
				}
			}
			if n > most || n != len(open) {
				t.Fatalf("%d are open, %d may be", n, most)
			}
		}
		if best := tasks - 1; slots[best] == 0 && best != dead {
			t.Fatalf("%s matters most, and never had its turn: %v", name(best), slots)
		}
		total := int64(0)
		for _, n := range slots {
			total += n
		}
		if total < 20 {
			t.Fatalf("one that asks no more keeps all others out: %v", slots)
		}
	})
}

// TestPriority: with room for one, and all waiting, the one that matters most goes first, then the one that has waited longest.
func TestPriority(t *testing.T) {
	b := NewRegistry()
	begin := func(task string, priority int) Refusal {
		return b.Apply(Command{Op: OpBegin, Task: task, Slot: 1, Token: 1, MaxOpen: 1, Priority: priority}).Refusal
	}
	end := func(task string) {
		b.Apply(Command{Op: OpFinish, Task: task, Slot: 1, Token: 1, Outcome: OutcomeDone})
	}
	if why := begin("first", 0); why != "" {
		t.Fatal(why)
	}
	for _, c := range []struct {
		task     string
		priority int
	}{{"low", 0}, {"old", 5}, {"new", 5}} {
		if why := begin(c.task, c.priority); why != RefusedConcurrencyLimit {
			t.Fatalf("%s: %q", c.task, why)
		}
	}
	end("first")
	for _, want := range []string{"old", "new", "low"} {
		for _, c := range []struct {
			task     string
			priority int
		}{{"low", 0}, {"new", 5}, {"old", 5}} {
			if b.Record(c.task).Slot == 1 {
				continue
			}
			why := begin(c.task, c.priority)
			if (why == "") != (c.task == want) {
				t.Fatalf("%s begins: %q, where it is the turn of %s", c.task, why, want)
			}
			if why == "" {
				break
			}
		}
		end(want)
	}
}

// TestBudget: what is spent stays spent over a change of the holder, a slot of the dead counts as all that it may have cost, and the next
// period begins anew.
func TestBudget(t *testing.T) {
	s := spec(IdempotentByKey, MissedRunNewest)
	s.Budget = Budget{Period: 10 * time.Second, MaxRequests: 3}
	if err := s.Validate(); err != nil {
		t.Fatal(err)
	}
	b := NewRegistry()
	wall := time.Unix(1000, 0)
	play := func(r *Runner, token uint64, from, to time.Duration) (sent int) {
		for now := from; now < to; now += 20 * time.Millisecond {
			for range 4 {
				a, _ := r.Next(now, wall.Add(now), token, time.Hour)
				switch {
				case a.FetchRecord:
					r.HandleRecord(now, b.Record("t"))
				case a.Command != nil:
					r.HandleResult(now, *a.Command, b.Apply(*a.Command), token)
				case a.Send != nil:
					sent++
					r.HandleOutcome(now+10*time.Millisecond, OutcomeDone, now)
				}
			}
		}
		return sent
	}
	first := NewRunner(s, 100*time.Millisecond, 300*time.Millisecond)
	if n := play(first, 1, 0, 2*time.Second); n != 2 {
		t.Fatalf("%d were sent in two seconds", n)
	}
	second := NewRunner(s, 100*time.Millisecond, 300*time.Millisecond)
	if n := play(second, 2, 2*time.Second, 10*time.Second); n != 1 || !second.BudgetExhausted() {
		t.Fatalf("%d were sent of the one that was left; spent: %v", n, second.BudgetExhausted())
	}
	// In the next period one slot is begun and its holder dies: it may have sent as often as it may.
	b.Apply(Command{Op: OpBegin, Task: "t", Slot: b.Record("t").Slot + 1, Token: 3})
	third := NewRunner(s, 100*time.Millisecond, 300*time.Millisecond)
	if n := play(third, 4, 10*time.Second, 12*time.Second); n != 1 {
		t.Fatalf("%d were sent after two tries of the dead", n)
	}
	if p := b.Record("t"); p.Requests != 3 || p.Period != 101 {
		t.Fatalf("%+v", p)
	}
}
