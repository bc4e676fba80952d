package task

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// runnerTest is a runner with a registry that others write to as well. Some answers are lost.
type runnerTest struct {
	registry *Registry
	runner   *Runner
	spec     Spec
	token    uint64
	until    time.Duration
	sends    map[int64]int // by slot: requests that may have run
}

// loseLease has another process hold the lease for a while, and run a slot.
func (r *runnerTest) loseLease(now time.Duration) {
	r.token++
	if record := r.registry.Record("t"); record.Open {
		r.registry.Apply(Command{Op: OpFinish, Task: "t", Slot: record.Slot, Token: r.token, Outcome: OutcomeUnknown})
	}
	r.registry.Apply(Command{Op: OpBegin, Task: "t", Slot: r.registry.Record("t").Slot + 1, Token: r.token})
	r.token++
	r.until = now + 3*time.Second
}

// send checks a request, and answers it with an outcome that is drawn.
func (r *runnerTest) send(t *rapid.T, now time.Duration, request *SlotRequest) {
	record := r.registry.Record("t")
	if record.Slot == request.Slot && (!record.Open || record.BegunBy != request.Token) || request.Deadline > r.until {
		t.Fatalf("%+v goes out, and the registry has %+v, until %v", request, record, r.until)
	}
	outcome := rapid.SampledFrom([]Outcome{OutcomeDone, OutcomeRejected, OutcomeFailed, OutcomeUnknown}).Draw(t, "outcome")
	if outcome != OutcomeRejected {
		if r.sends[request.Slot]++; r.sends[request.Slot] > 1 && r.spec.Idempotency == NonIdempotent {
			t.Fatalf("slot %d may have run %d times", request.Slot, r.sends[request.Slot])
		}
	}
	r.runner.HandleOutcome(now, outcome, now+20*time.Millisecond)
}

// step carries out the runner's next action.
func (r *runnerTest) step(t *rapid.T, now time.Duration) {
	a, _ := r.runner.Next(now, time.Unix(1000, 0).Add(now), r.token, r.until)
	lost := rapid.IntRange(0, 3).Draw(t, "lost") == 0
	switch {
	case a.FetchRecord && !lost:
		r.runner.HandleRecord(r.runner.FetchedAt(), r.registry.Record("t"))
	case a.Command != nil:
		result := r.registry.Apply(*a.Command)
		if !lost {
			r.runner.HandleResult(now, *a.Command, result, r.token)
		}
	case a.Send != nil:
		r.send(t, now, a.Send)
	}
}

// TestRunnerSendsOnlyWhatIsBegun: no request goes out before the registry has its slot, under the token of the lease in force, and nothing
// of it after that ends.
func TestRunnerSendsOnlyWhatIsBegun(t *testing.T) {
	sent := 0
	defer func() {
		if sent == 0 {
			t.Error("nothing was ever sent")
		}
	}()
	rapid.Check(t, func(t *rapid.T) {
		s := testSpec(Idempotency(rapid.IntRange(0, 2).Draw(t, "effect")), MissedRunNewest)
		r := runnerTest{
			registry: NewRegistry(), runner: NewRunner(s, 100*time.Millisecond, 300*time.Millisecond), spec: s,
			token: 1, until: 5 * time.Second, sends: map[int64]int{},
		}
		for now := time.Duration(0); now < 12*time.Second; now += time.Duration(rapid.IntRange(10, 120).Draw(t, "step")) * time.Millisecond {
			if now > r.until || rapid.IntRange(0, 60).Draw(t, "another") == 37 {
				r.loseLease(now)
			}
			r.step(t, now)
		}
		sent += len(r.sends)
	})
}

// TestKeyExpiresBeforeSending: the lifetime of a key is checked as the request goes out, and not only as its slot was begun (found by
// tier-explore, seed 2540).
func TestKeyExpiresBeforeSending(t *testing.T) {
	s := testSpec(IdempotentByKey, MissedRunNewest)
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

// runnerAtBegin returns a runner that has decided to begin a slot, and the command.
func runnerAtBegin(t *testing.T, b *Registry, e Idempotency) (*Runner, Command) {
	t.Helper()
	r := NewRunner(testSpec(e, MissedRunNewest), 100*time.Millisecond, 300*time.Millisecond)
	wall := time.Unix(1000, 0)
	r.Next(0, wall, 1, time.Hour)
	r.HandleRecord(0, b.Record("t"))
	a, _ := r.Next(0, wall, 1, time.Hour)
	if a.Command == nil || a.Command.Op != OpBegin {
		t.Fatalf("%+v", a)
	}
	return r, *a.Command
}

// TestAnswerWhileLapsed: the answer to an OpBegin comes while the lease has lapsed, and the same token is in force again later: the slot goes
// out then, once, and the task does not stand still (found by tier-explore, 15 of 168 seeds).
func TestAnswerWhileLapsed(t *testing.T) {
	b := NewRegistry()
	r, c := runnerAtBegin(t, b, NonIdempotent)
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

// TestOvertakenRecord: a record that was read before a slot was finished, and comes after its finish was answered, does not have it sent again.
func TestOvertakenRecord(t *testing.T) {
	b := NewRegistry()
	r, c := runnerAtBegin(t, b, NonIdempotent)
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
