package staleness

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// TestBudgetAddsUp guards against limits that together take too long. For pushed and polled lists, and every poll interval and grace in
// range, a process must receive a change before it counts as notified and the grace is over, with time left for the response.
func TestBudgetAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(100, 10_000).Draw(t, "grace")) * time.Millisecond
		poll := time.Duration(rapid.Int64Range(100, 60_000).Draw(t, "poll interval")) * time.Millisecond
		pushed := rapid.Bool().Draw(t, "pushed")
		b := BoundFor(pushed, poll, grace)
		// A process counts as notified NotifiedAfter later if it polls discovery, and at once if it uses an agent.
		term, response := NotifiedAfter+grace, 2*time.Second
		if pushed {
			term, response = grace, grace/10
		}
		for name, worst := range map[string]time.Duration{"a call without a response": b.AfterUnansweredCall(), "a call that is rejected": b.AfterRejection()} {
			if worst+response > term {
				t.Errorf("pushed %v, grace %v: %s leaves %v of %v for the response, want at least %v", pushed, grace, name, term-worst, term, response)
			}
		}
		if left := NotifiedAfter + grace - b.AfterSilence(); left < 2*time.Second {
			t.Errorf("pushed %v, grace %v: a watch that broke without an error leaves %v for the response, want at least 2 s", pushed, grace, left)
		}
		// A process that has just started may keep its initial list for the poll interval and the grace, or for the grace alone if the
		// list is pushed. If that is less than a call may take, the call is made at once.
		start := poll + grace
		if pushed {
			start = grace
		}
		if start = max(start, b.RetryDelay+b.CallTimeout); b.AfterStart() > start {
			t.Errorf("pushed %v, poll interval %v, grace %v: the first response can take %v, want at most %v", pushed, poll, grace, b.AfterStart(), start)
		}
		if b.WatchTimeout <= HeartbeatInterval {
			t.Errorf("WatchTimeout is %v, want more than the heartbeat interval of %v", b.WatchTimeout, HeartbeatInterval)
		}
		if !pushed && b.PollInterval != poll {
			t.Errorf("the poll interval is %v, want the %v of the settings", b.PollInterval, poll)
		}
		if b.CallTimeout <= 0 || b.RetryDelay <= 0 || b.RejectedBackoff <= 0 || b.PollInterval <= 0 {
			t.Errorf("the bound %+v has a time that is not above 0, which would cause calls in a loop without a pause", b)
		}
	})
}

// TestNoGrace checks that the default grace is used if the settings give none.
func TestNoGrace(t *testing.T) {
	if got, want := BoundFor(true, time.Second, 0), BoundFor(true, time.Second, defaultGrace); got != want {
		t.Errorf("the bound for a grace of 0 is %+v, want %+v", got, want)
	}
}
