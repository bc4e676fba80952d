package staleness

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// TestBudgetAddsUp guards against times that are each sensible and too long together: for every mode, group and grace in range a
// change is heard before it counts as told and the grace is over, with time left for the answer.
func TestBudgetAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(100, 10_000).Draw(t, "grace")) * time.Millisecond
		ask := time.Duration(rapid.Int64Range(100, 60_000).Draw(t, "askEvery")) * time.Millisecond
		pushed := rapid.Bool().Draw(t, "pushed")
		b := BoundFor(pushed, ask, grace)
		// Where discovery is asked a change is told at the end of the term; what an agent has is told at once.
		term, answer := NotifiedAfter+grace, 2*time.Second
		if pushed {
			term, answer = grace, grace/10
		}
		for name, worst := range map[string]time.Duration{"a call that nothing answers": b.AfterUnansweredCall(), "a call turned away": b.AfterRejection()} {
			if worst+answer > term {
				t.Errorf("pushed %v, grace %v: %s leaves %v of %v for the answer, want %v", pushed, grace, name, term-worst, term, answer)
			}
		}
		if left := NotifiedAfter + grace - b.AfterSilence(); left < 2*time.Second {
			t.Errorf("pushed %v, grace %v: a silent watch leaves %v for the answer", pushed, grace, left)
		}
		// A process that has just started may hold on to the list that it was given for as long as the settings say and the grace, or
		// for the grace alone if it is pushed. Where that is less than one call may take, the call is made at once.
		start := ask + grace
		if pushed {
			start = grace
		}
		if start = max(start, b.RetryDelay+b.CallTimeout); b.AfterStart() > start {
			t.Errorf("pushed %v, asks every %v, grace %v: the first answer comes after %v, want %v", pushed, ask, grace, b.AfterStart(), start)
		}
		if b.WatchTimeout <= HeartbeatInterval {
			t.Errorf("a watch is taken for silent after %v, while it may say nothing for %v", b.WatchTimeout, HeartbeatInterval)
		}
		if !pushed && b.PollInterval != ask {
			t.Errorf("asks every %v, the settings say %v", b.PollInterval, ask)
		}
		if b.CallTimeout <= 0 || b.RetryDelay <= 0 || b.RejectedBackoff <= 0 || b.PollInterval <= 0 {
			t.Errorf("a time of none would be a loop without a pause: %+v", b)
		}
	})
}

// TestNoGrace takes the shortest that is known where the settings give none.
func TestNoGrace(t *testing.T) {
	if got, want := BoundFor(true, time.Second, 0), BoundFor(true, time.Second, defaultGrace); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}
