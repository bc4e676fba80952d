package task

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// runnerTest runs a runner against a registry that other processes write to as well. Some responses are lost.
type runnerTest struct {
	registry *Registry
	runner   *Runner
	spec     Spec
	token    uint64
	until    time.Duration
	sends    map[int64]int           // number of requests that may have run, by slot
	firstRun map[int64]time.Duration // when the first of them was sent, by slot
}

// loseLease makes another process hold the lease temporarily and begin a slot.
func (r *runnerTest) loseLease(now time.Duration) {
	r.token++
	if record := r.registry.Record("t"); record.Open {
		r.registry.Apply(Command{Op: OpFinish, Task: "t", Slot: record.Slot, Token: r.token, Outcome: OutcomeUnknown})
	}
	r.registry.Apply(Command{Op: OpBegin, Task: "t", Slot: r.registry.Record("t").Slot + 1, Token: r.token})
	r.token++
	r.until = now + 3*time.Second
}

// send checks a request and passes a random outcome to the runner.
func (r *runnerTest) send(t *rapid.T, now time.Duration, request *SlotRequest) {
	record := r.registry.Record("t")
	if record.Slot == request.Slot && (!record.Open || record.BegunBy != request.Token) || request.Deadline > r.until {
		t.Fatalf("request %+v does not match the record %+v and the end of the lease at %v", request, record, r.until)
	}
	if first, mayHaveRun := r.firstRun[request.Slot]; mayHaveRun && r.spec.Idempotency == IdempotentByKey && request.Deadline > first+r.spec.DedupWindow {
		t.Fatalf("request %+v may run after its idempotency key is forgotten, %v after %v", request, r.spec.DedupWindow, first)
	}
	outcome := rapid.SampledFrom([]Outcome{OutcomeDone, OutcomeRejected, OutcomeFailed, OutcomeUnknown}).Draw(t, "outcome")
	if outcome != OutcomeRejected {
		if _, mayHaveRun := r.firstRun[request.Slot]; !mayHaveRun {
			r.firstRun[request.Slot] = now
		}
		if r.sends[request.Slot]++; r.sends[request.Slot] > 1 && r.spec.Idempotency == NonIdempotent {
			t.Fatalf("slot %d may have run %d times", request.Slot, r.sends[request.Slot])
		}
	}
	retryDelay := time.Duration(rapid.IntRange(20, 1500).Draw(t, "retry delay")) * time.Millisecond
	r.runner.HandleOutcome(now, outcome, now+retryDelay)
}

// step performs the runner's next action.
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

// TestRunnerSendsOnlyBegunSlots checks that the runner sends a request only for a slot that the registry has as begun by the current
// token, that the request's deadline is not after the end of the lease, and that it is within the dedup window of the first request that may
// have run the slot.
func TestRunnerSendsOnlyBegunSlots(t *testing.T) {
	sent := 0
	defer func() {
		if sent == 0 {
			t.Error("the runner sent no request in any run")
		}
	}()
	rapid.Check(t, func(t *rapid.T) {
		s := testSpec(Idempotency(rapid.IntRange(0, 2).Draw(t, "effect")), MissedRunNewest)
		s.DedupWindow = time.Duration(rapid.IntRange(400, 3000).Draw(t, "dedup window")) * time.Millisecond
		s.MaxAttempts = rapid.IntRange(1, 4).Draw(t, "attempts")
		r := runnerTest{
			registry: NewRegistry(), runner: NewRunner(s, 100*time.Millisecond, 300*time.Millisecond), spec: s,
			token: 1, until: 5 * time.Second, sends: map[int64]int{}, firstRun: map[int64]time.Duration{},
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

// TestKeyExpiresBeforeSending checks that the lifetime of an idempotency key is checked when the request is sent, and not only when the
// slot is begun. Otherwise a late result of OpBegin leads to a second run. It reproduces a fault that the scenario tier-explore found with
// seed 2540.
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
	r.HandleResult(s.DedupWindow, *a.Command, Result{Record: begun}, 2) // the result arrives only after the dedup window
	if a, _ := r.Next(s.DedupWindow, wall, 2, time.Hour); a.Send != nil || a.Command == nil || a.Command.Outcome != OutcomeUnknown {
		t.Errorf("%+v", a)
	}
}

// runnerInFlight returns a runner that has sent the first request of a slot, at time 0.
func runnerInFlight(t *testing.T, registry *Registry, e Idempotency) (r *Runner, slot int64) {
	t.Helper()
	r, c := runnerAtBegin(t, registry, e)
	r.HandleResult(0, c, registry.Apply(c), 1)
	if a, _ := r.Next(0, time.Unix(1000, 0), 1, time.Hour); a.Send == nil {
		t.Fatalf("%+v", a)
	}
	return r, c.Slot
}

// TestRetryWithinDedupWindow guards against sending a keyed request again once the servers may have forgotten its key, and against recording
// a slot that may have run as rejected. The case review/3 showed both: a rejection that followed an attempt whose response was lost.
func TestRetryWithinDedupWindow(t *testing.T) {
	const never = time.Duration(-1)
	lifetime := 9700 * time.Millisecond // the dedup window less the deadline
	for name, c := range map[string]struct {
		idempotency Idempotency
		everywhere  bool
		first       Outcome
		retryAt     time.Duration
		wantRetry   bool
		second      Outcome
		want        Outcome
	}{
		"by key, in its window":          {IdempotentByKey, true, OutcomeUnknown, lifetime - 1, true, OutcomeDone, OutcomeDone},
		"by key, rejected in its window": {IdempotentByKey, true, OutcomeUnknown, time.Second, true, OutcomeRejected, OutcomeUnknown},
		"by key, after its window":       {IdempotentByKey, true, OutcomeUnknown, lifetime, false, "", OutcomeUnknown},
		"by key, dropped in cells":       {IdempotentByKey, false, OutcomeUnknown, time.Second, false, "", OutcomeUnknown},
		"by key, never ran":              {IdempotentByKey, true, OutcomeRejected, 2 * lifetime, true, OutcomeRejected, OutcomeRejected},
		"by key, in cells, never ran":    {IdempotentByKey, false, OutcomeRejected, time.Second, true, OutcomeDone, OutcomeDone},
		"idempotent":                     {Idempotent, true, OutcomeUnknown, 2 * lifetime, true, OutcomeRejected, OutcomeUnknown},
		"not idempotent":                 {NonIdempotent, true, OutcomeUnknown, never, false, "", OutcomeUnknown},
		"not idempotent, never ran":      {NonIdempotent, true, OutcomeRejected, time.Second, true, OutcomeUnknown, OutcomeUnknown},
	} {
		registry := NewRegistry()
		r, slot := runnerInFlight(t, registry, c.idempotency)
		r.spec.DedupEverywhere = c.everywhere
		r.HandleOutcome(time.Millisecond, c.first, c.retryAt)
		at := max(time.Millisecond, c.retryAt)
		a, _ := r.Next(at, time.Unix(1000, 0).Add(at), 1, time.Hour)
		if retried := a.Send != nil; retried != c.wantRetry {
			t.Errorf("%s: the request was sent again: %t, want %t", name, retried, c.wantRetry)
			continue
		}
		if c.wantRetry {
			r.HandleOutcome(at, c.second, at)
			a, _ = r.Next(at, time.Unix(1000, 0).Add(at), 1, time.Hour)
		}
		if a.Command == nil || a.Command.Op != OpFinish || a.Command.Slot != slot || a.Command.Outcome != c.want {
			t.Errorf("%s: %+v, want an OpFinish command with outcome %q", name, a.Command, c.want)
		}
	}
}

// TestDedupWindowWhileLapsed guards against sending a keyed request again after its dedup window because the lease lapsed between two
// requests and the same token became current again.
func TestDedupWindowWhileLapsed(t *testing.T) {
	registry := NewRegistry()
	r, _ := runnerInFlight(t, registry, IdempotentByKey)
	r.HandleOutcome(time.Millisecond, OutcomeUnknown, time.Second)
	for now := time.Second; now < 12*time.Second; now += 100 * time.Millisecond {
		token := uint64(0) // the lease has lapsed
		if now > r.spec.DedupWindow {
			token = 1
		}
		a, _ := r.Next(now, time.Unix(1000, 0), token, time.Hour)
		if a.FetchRecord {
			r.HandleRecord(now, registry.Record("t"))
		}
		if a.Send != nil {
			t.Fatalf("the request was sent again at %v, after the dedup window of %v", now, r.spec.DedupWindow)
		}
		if a.Command != nil {
			r.HandleResult(now, *a.Command, registry.Apply(*a.Command), token)
		}
	}
	if record := registry.Record("t"); record.Open || record.LastOutcome != OutcomeUnknown {
		t.Errorf("record %+v, want the slot finished with outcome %q", record, OutcomeUnknown)
	}
}

// TestSuspendedRunOfEarlierToken guards against resuming a slot as one that did not run, because it did not run under an earlier token of this
// process. Another process may have run it since.
func TestSuspendedRunOfEarlierToken(t *testing.T) {
	registry := NewRegistry()
	r, slot := runnerInFlight(t, registry, IdempotentByKey)
	wall := time.Unix(1000, 0)
	r.HandleOutcome(time.Millisecond, OutcomeRejected, time.Second)
	r.Next(100*time.Millisecond, wall, 0, 0) // the lease has lapsed
	registry.Apply(Command{Op: OpBegin, Task: "t", Slot: slot, Token: 2, Rerun: true})
	r.Next(200*time.Millisecond, wall, 3, time.Hour)
	r.HandleRecord(200*time.Millisecond, registry.Record("t"))
	a, _ := r.Next(300*time.Millisecond, wall, 3, time.Hour)
	if a.Command == nil || a.Command.Op != OpBegin || !a.Command.Rerun {
		t.Fatalf("%+v, want the command that begins the slot again", a)
	}
	r.HandleResult(400*time.Millisecond, *a.Command, registry.Apply(*a.Command), 0) // the lease has lapsed again
	r.Next(500*time.Millisecond, wall, 0, 0)
	if a, _ = r.Next(r.spec.DedupWindow, wall, 3, time.Hour); a.Send != nil || a.Command == nil || a.Command.Outcome != OutcomeUnknown {
		t.Errorf("%+v after the dedup window, want the slot finished with outcome %q", a, OutcomeUnknown)
	}
}

// runnerAtBegin returns a runner that has decided to begin a slot, and the command.
func runnerAtBegin(t *testing.T, registry *Registry, e Idempotency) (*Runner, Command) {
	t.Helper()
	r := NewRunner(testSpec(e, MissedRunNewest), 100*time.Millisecond, 300*time.Millisecond)
	wall := time.Unix(1000, 0)
	r.Next(0, wall, 1, time.Hour)
	r.HandleRecord(0, registry.Record("t"))
	a, _ := r.Next(0, wall, 1, time.Hour)
	if a.Command == nil || a.Command.Op != OpBegin {
		t.Fatalf("%+v", a)
	}
	return r, *a.Command
}

// TestAnswerWhileLapsed guards against a stalled task. The result of OpBegin arrives while the lease has lapsed, and the same token becomes
// current again later. The runner must then send the slot's request once. The scenario tier-explore found the stall with 15 of 168 seeds.
func TestAnswerWhileLapsed(t *testing.T) {
	registry := NewRegistry()
	r, c := runnerAtBegin(t, registry, NonIdempotent)
	r.HandleResult(time.Second, c, registry.Apply(c), 0)
	wall := time.Unix(1001, 0)
	r.Next(time.Second, wall, 0, 0)
	sent := 0
	for now := time.Second; now < 3*time.Second; now += 10 * time.Millisecond {
		a, _ := r.Next(now, wall, 1, time.Hour)
		if a.FetchRecord {
			r.HandleRecord(now, registry.Record("t"))
		}
		if a.Send != nil {
			if a.Send.Slot != c.Slot {
				break
			}
			sent++
			r.HandleOutcome(now, OutcomeDone, now)
		}
		if a.Command != nil {
			r.HandleResult(now, *a.Command, registry.Apply(*a.Command), 1)
		}
	}
	if sent != 1 || registry.Record("t").Slot == c.Slot && registry.Record("t").Open {
		t.Errorf("the request was sent %d times, want once; record %+v", sent, registry.Record("t"))
	}
}

// TestOvertakenRecord guards against sending a slot's request again because of an outdated record. The record was read before the slot was
// finished, and arrives after the result of OpFinish.
func TestOvertakenRecord(t *testing.T) {
	registry := NewRegistry()
	r, c := runnerAtBegin(t, registry, NonIdempotent)
	r.HandleResult(0, c, registry.Apply(c), 1)
	wall := time.Unix(1000, 5e8)
	if a, _ := r.Next(0, wall, 1, time.Hour); a.Send == nil {
		t.Fatalf("%+v", a)
	}
	r.HandleOutcome(0, OutcomeDone, 0)
	stale := registry.Record("t")
	a, _ := r.Next(time.Millisecond, wall, 1, time.Hour)
	r.HandleResult(2*time.Millisecond, *a.Command, registry.Apply(*a.Command), 1)
	r.HandleRecord(3*time.Millisecond, stale)
	if a, _ := r.Next(5*time.Millisecond, wall, 1, time.Hour); a.Send != nil {
		t.Errorf("the request was sent again: %+v", a.Send)
	}
}
