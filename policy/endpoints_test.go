package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestFirstCallsAreTaken guards against a group that starts at once and whose first calls a slow list service refuses: each that it
// does is owed an answer sooner than one not yet made, and no service has the room for all of those again. It takes one call of each
// in eight seconds here, the longest that the platform's discovery does, and refuses what would wait for two.
func TestFirstCallsAreTaken(t *testing.T) {
	const all, patience = 8 * time.Second, 2 * time.Second
	for _, size := range []int{20, 30, 60, 300} {
		cfg := testConfig()
		cfg.InstanceCount = size
		var calls []time.Duration
		for i := range size {
			cfg.InstanceIndex = i
			b, err := New(cfg, uint64(i)+1)
			if err != nil {
				t.Fatal(err)
			}
			rec := &recorder{}
			b.UpdateEndpoints(0, UpdateCached, []Endpoint{{ID: "s"}}, rec)
			for _, line := range rec.take("timer ") {
				var wait, token string
				if fmt.Sscan(line, new(string), &wait, &token); token == "watch" {
					d, err := time.ParseDuration(wait)
					if err != nil {
						t.Fatal(err)
					}
					calls = append(calls, d)
				}
			}
		}
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
			t.Errorf("%d sidecars: %d first calls are refused, the last is answered after %v", size, refused, latest)
		}
	}
}
