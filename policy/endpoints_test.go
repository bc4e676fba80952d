package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestFirstPollsAreSpread guards against overloading a slow list service when all instances of a group start at the same time. A rejected
// call must be repeated within its backoff, which is earlier than a first call is due. The simulated service needs eight seconds for the
// calls of the whole group and rejects a call that would wait for more than two seconds.
func TestFirstPollsAreSpread(t *testing.T) {
	const totalService, maxWait = 8 * time.Second, 2 * time.Second
	for _, size := range []int{20, 30, 60, 300} {
		cfg := testConfig()
		cfg.InstanceCount = size
		calls := firstPollDelays(t, cfg)
		if len(calls) != size {
			t.Fatalf("%d first calls of %d instances, want one of each", len(calls), size)
		}
		slices.Sort(calls)
		free, rejected, latest := time.Duration(0), 0, time.Duration(0)
		for _, at := range calls {
			if free = max(free, at); free-at > maxWait {
				rejected++
				continue
			}
			free += totalService / time.Duration(size)
			latest = max(latest, free)
		}
		if rejected > size/5 || latest > cfg.PollInterval {
			t.Errorf("%d instances: %d first calls rejected, last response after %v; want at most a fifth, within PollInterval", size, rejected, latest)
		}
	}
}

// firstPollDelays returns the delay of the first call to the list service of each instance of a group with a cached list.
func firstPollDelays(t *testing.T, cfg Config) []time.Duration {
	t.Helper()
	var delays []time.Duration
	for i := range cfg.InstanceCount {
		cfg.InstanceIndex = i
		b, err := New(cfg, uint64(i)+1)
		if err != nil {
			t.Fatal(err)
		}
		rec := &recorder{}
		b.UpdateEndpoints(0, UpdateCached, []Endpoint{{ID: "s"}}, rec)
		for _, line := range rec.take("timer ") {
			var wait, token string
			if _, err := fmt.Sscan(line, new(string), &wait, &token); err != nil {
				t.Fatal(err)
			}
			if token != watchToken {
				continue
			}
			d, err := time.ParseDuration(wait)
			if err != nil {
				t.Fatal(err)
			}
			delays = append(delays, d)
		}
	}
	return delays
}

// TestPollBackoff checks that the backoff doubles with further failures up to its bound, that 1.5 times the backoff stays within
// PollMaxBackoff, that PollInterval is the bound without PollMaxBackoff, and that a lost watch resets the failures.
func TestPollBackoff(t *testing.T) {
	p := newEndpointPoll(Config{InstanceCount: 1000, PollInterval: 8 * time.Second, PollMaxBackoff: 3 * time.Second})
	for i, want := range []time.Duration{2 * time.Second, 2 * time.Second} {
		if got := p.recordFailure(); got != want {
			t.Errorf("failure %d: backoff %v, want %v", i+1, got, want)
		}
	}
	p.maxBackoff = 0
	if got := p.recordFailure(); got != 8*time.Second {
		t.Errorf("backoff %v without PollMaxBackoff, want the poll interval of 8s", got)
	}
	if got := p.recordWatchLoss(); got != 500*time.Millisecond || p.failures != 0 {
		t.Errorf("after a lost watch: delay %v and %d failures, want 500ms and 0", got, p.failures)
	}
}
