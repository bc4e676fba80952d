package staleness

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// TestBudgetAddsUp checks for every mode, poll interval and grace in range that a change is received before the process counts as
// notified of it and the grace is over, with time left for the response.
func TestBudgetAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(100, 10_000).Draw(t, "grace")) * time.Millisecond
		poll := time.Duration(rapid.Int64Range(100, 60_000).Draw(t, "poll interval")) * time.Millisecond
		pushed := rapid.Bool().Draw(t, "pushed")
		b := BoundFor(pushed, poll, grace)
		// With discovery a process counts as notified at the end of the term; with an agent at once.
		term, response := NotifiedAfter+grace, 2*time.Second
		if pushed {
			term, response = grace, grace/10
		}
		for name, worst := range map[string]time.Duration{"a call without a response": b.AfterUnansweredCall(), "a call that is rejected": b.AfterRejection()} {
			if worst+response > term {
				t.Errorf("pushed %v, grace %v: %s leaves %v of %v for the response, want %v", pushed, grace, name, term-worst, term, response)
			}
		}
		if left := NotifiedAfter + grace - b.AfterSilence(); left < 2*time.Second {
			t.Errorf("pushed %v, grace %v: a silent watch leaves %v for the response", pushed, grace, left)
		}
		// A process that has just started may keep the list that it was given for the poll interval and the grace, or for the grace
		// alone if it is pushed. Where that is less than one call may take, the call is made at once.
		start := poll + grace
		if pushed {
			start = grace
		}
		if start = max(start, b.RetryDelay+b.CallTimeout); b.AfterStart() > start {
			t.Errorf("pushed %v, polls every %v, grace %v: the first response comes after %v, want %v", pushed, poll, grace, b.AfterStart(), start)
		}
		if b.WatchTimeout <= HeartbeatInterval {
			t.Errorf("a watch counts as broken after %v, while it may send nothing for %v", b.WatchTimeout, HeartbeatInterval)
		}
		if !pushed && b.PollInterval != poll {
			t.Errorf("polls every %v, the settings say %v", b.PollInterval, poll)
		}
		if b.CallTimeout <= 0 || b.RetryDelay <= 0 || b.RejectedBackoff <= 0 || b.PollInterval <= 0 {
			t.Errorf("a time of 0 would be a loop without a pause: %+v", b)
		}
	})
}

// TestNoGrace checks the default where the settings give no grace.
func TestNoGrace(t *testing.T) {
	if got, want := BoundFor(true, time.Second, 0), BoundFor(true, time.Second, defaultGrace); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}
