package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestFirstPollsAreSpread guards against a group that starts at once and whose first calls a slow list service rejects: a rejected call must be
// repeated within its bound, sooner than a first one must be made. The service here works eight seconds on the calls of the group,
// and rejects what would wait for more than two.
func TestFirstPollsAreSpread(t *testing.T) {
	const all, patience = 8 * time.Second, 2 * time.Second
	for _, size := range []int{20, 30, 60, 300} {
		cfg := testConfig()
		cfg.InstanceCount = size
		calls := firstPollDelays(t, cfg)
		if len(calls) != size {
			t.Fatalf("%d first calls of %d", len(calls), size)
		}
		slices.Sort(calls)
		free, refused, latest := time.Duration(0), 0, time.Duration(0)
		for _, at := range calls {
			if free = max(free, at); free-at > patience {
				refused++
				continue
			}
			free += all / time.Duration(size)
			latest = max(latest, free)
		}
		if refused > size/5 || latest > cfg.PollInterval {
			t.Errorf("%d instances: %d first calls are rejected, the last is answered after %v", size, refused, latest)
		}
	}
}

// firstPollDelays returns when each instance of a group calls the list service first, after a cached list.
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

// TestPollBackoff: the backoff doubles with further failures up to its bound, and one and a half times it keeps the configured one.
func TestPollBackoff(t *testing.T) {
	p := newEndpointPoll(Config{InstanceCount: 1000, PollInterval: 8 * time.Second, PollMaxBackoff: 3 * time.Second})
	for i, want := range []time.Duration{2 * time.Second, 2 * time.Second} {
		if got := p.recordFailure(); got != want {
			t.Errorf("failure %d: backoff %v, want %v", i+1, got, want)
		}
	}
	p.maxBackoff = 0
	if got := p.recordFailure(); got != 8*time.Second {
		t.Errorf("backoff %v without a bound, want the poll interval", got)
	}
	if got := p.recordWatchLoss(); got != 500*time.Millisecond || p.failures != 0 {
		t.Errorf("after a loss: %v and %d failures, want 500ms and none", got, p.failures)
	}
}
