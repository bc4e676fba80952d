package task

import (
	"testing"
	"time"
)

// TestBudget checks these properties of a budget:
//   - The cost charged so far remains charged when the holder of the lease changes.
//   - A slot of a dead process is charged with its largest possible cost.
//   - The next period starts with the full budget.
func TestBudget(t *testing.T) {
	s := testSpec(IdempotentByKey, MissedRunNewest)
	s.Budget = Budget{Period: 10 * time.Second, MaxRequests: 3}
	if err := s.Validate(); err != nil {
		t.Fatal(err)
	}
	registry := NewRegistry()
	wall := time.Unix(1000, 0)
	runHolder := func(r *Runner, token uint64, from, to time.Duration) (sent int) {
		for now := from; now < to; now += 20 * time.Millisecond {
			for range 4 {
				a, _ := r.Next(now, wall.Add(now), token, time.Hour)
				switch {
				case a.FetchRecord:
					r.HandleRecord(now, registry.Record("t"))
				case a.Command != nil:
					r.HandleResult(now, *a.Command, registry.Apply(*a.Command), token)
				case a.Send != nil:
					sent++
					r.HandleOutcome(now+10*time.Millisecond, OutcomeDone, now)
				}
			}
		}
		return sent
	}
	first := NewRunner(s, 100*time.Millisecond, 300*time.Millisecond)
	if n := runHolder(first, 1, 0, 2*time.Second); n != 2 {
		t.Fatalf("the first holder sent %d requests in two seconds, want 2", n)
	}
	second := NewRunner(s, 100*time.Millisecond, 300*time.Millisecond)
	if n := runHolder(second, 2, 2*time.Second, 10*time.Second); n != 1 || !second.BudgetExhausted() {
		t.Fatalf("the second holder sent %d requests, want 1; the budget is exhausted: %v, want true", n, second.BudgetExhausted())
	}
	// In the next period a holder begins a slot and dies. It may have sent the slot's request as often as MaxAttempts allows.
	registry.Apply(Command{Op: OpBegin, Task: "t", Slot: registry.Record("t").Slot + 1, Token: 3})
	third := NewRunner(s, 100*time.Millisecond, 300*time.Millisecond)
	if n := runHolder(third, 4, 10*time.Second, 12*time.Second); n != 1 {
		t.Fatalf("the third holder sent %d requests, want 1: the dead holder may have sent 2 of the 3 in the budget", n)
	}
	if p := registry.Record("t"); p.Requests != 3 || p.Period != 101 {
		t.Fatalf("%+v", p)
	}
}
