package task

import (
	"testing"
	"time"
)

// TestBudget: what is spent stays spent over a change of the holder, a slot of a dead process counts as all that it may have cost, and the next
// period begins anew.
func TestBudget(t *testing.T) {
	s := testSpec(IdempotentByKey, MissedRunNewest)
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
		t.Fatalf("%d were sent after two attempts of the dead process", n)
	}
	if p := b.Record("t"); p.Requests != 3 || p.Period != 101 {
		t.Fatalf("%+v", p)
	}
}
