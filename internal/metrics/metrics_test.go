package metrics

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// TestRequestCounters compares the counts with a simple model of the same events. It guards against requests that are counted twice or
// under another class, and against a snapshot that changes after it was returned.
func TestRequestCounters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c RequestCounters
		want := map[string]ClassCounts{}
		forwards := int64(0)
		class := rapid.SampledFrom([]string{"check", "order", "book"})
		t.Repeat(map[string]func(*rapid.T){
			"ended": func(t *rapid.T) {
				name, status := class.Draw(t, "class"), rapid.SampledFrom([]int{200, 429, 503, 502, 504, 409}).Draw(t, "status")
				c.RecordOutcome(name, OutcomeOfStatus(status))
				k := want[name]
				switch status {
				case 200:
					k.Succeeded++
				case 429, 503:
					k.Rejected++
				default:
					k.Failed++
				}
				want[name] = k
			},
			"forwarded": func(*rapid.T) {
				c.RecordAttemptWritten()
				forwards++
			},
			"": func(t *rapid.T) {
				got := c.Snapshot()
				if n := c.ForwardedAttempts(); n != forwards {
					t.Fatalf("got %d forwarded attempts, want %d", n, forwards)
				}
				for name, k := range want {
					if got[name] != k {
						t.Fatalf("class %s: got %+v, want %+v", name, got[name], k)
					}
				}
			},
		})
	})
}

// TestBounded guards against unbounded memory if clients name a new class with each request.
func TestBounded(t *testing.T) {
	var c RequestCounters
	c.Register("order")
	for i := range 2 * maxClasses {
		c.RecordOutcome(strconv.Itoa(i), Failed)
	}
	c.RecordOutcome("order", Succeeded)
	all := c.Snapshot()
	if len(all) > maxClasses || all["order"].Succeeded != 1 {
		t.Errorf("got %d classes, and for order %+v", len(all), all["order"])
	}
}
