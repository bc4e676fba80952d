package metrics

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// TestCounts holds the figures against a plain account of the same events: each request counts once, under its own class, and
// what was handed out before does not change.
func TestCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Counts
		want := map[string]Class{}
		forwards := int64(0)
		class := rapid.SampledFrom([]string{"check", "order", "book"})
		t.Repeat(map[string]func(*rapid.T){
			"ended": func(t *rapid.T) {
				name, status := class.Draw(t, "class"), rapid.SampledFrom([]int{200, 429, 503, 502, 504, 409}).Draw(t, "status")
				c.Ended(name, Of(status))
				k := want[name]
				switch status {
				case 200:
					k.Succeeded++
				case 429, 503:
					k.Declined++
				default:
					k.Aborted++
				}
				want[name] = k
			},
			"forwarded": func(t *rapid.T) {
				c.Forwarded()
				forwards++
			},
			"": func(t *rapid.T) {
				got := c.Classes()
				if n := c.Forwards(); n != forwards {
					t.Fatalf("%d forwards, want %d", n, forwards)
				}
				for name, k := range want {
					if got[name] != k {
						t.Fatalf("%s: %+v, want %+v", name, got[name], k)
					}
				}
			},
		})
	})
}

// TestBounded guards against clients that name a new class with each request.
func TestBounded(t *testing.T) {
	var c Counts
	c.Name("order")
	for i := range 2 * mostClasses {
		c.Ended(fmt.Sprint(i), Aborted)
	}
	c.Ended("order", Succeeded)
	all := c.Classes()
	if len(all) > mostClasses || all["order"].Succeeded != 1 {
		t.Errorf("%d classes, %+v", len(all), all["order"])
	}
}
