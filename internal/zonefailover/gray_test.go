package zonefailover

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestGrayDetector checks what a gray failure is to a member, and what is not.
func TestGrayDetector(t *testing.T) {
	ms := time.Millisecond
	type rate struct {
		n      int64 // each half second
		failed int64
		delay  time.Duration
	}
	for name, c := range map[string]struct {
		before, after map[string]rate
		want          []string
	}{
		"well":              {map[string]rate{"a": {8, 0, 20 * ms}, "b": {8, 0, 20 * ms}}, map[string]rate{"a": {8, 0, 20 * ms}, "b": {8, 0, 20 * ms}}, nil},
		"one in eight":      {map[string]rate{"a": {8, 0, 20 * ms}, "b": {8, 0, 20 * ms}}, map[string]rate{"a": {8, 0, 20 * ms}, "b": {8, 1, 20 * ms}}, []string{"b"}},
		"all fail alike":    {map[string]rate{"a": {8, 0, 20 * ms}, "b": {8, 0, 20 * ms}}, map[string]rate{"a": {8, 1, 20 * ms}, "b": {8, 1, 20 * ms}}, nil},
		"slow by ten":       {map[string]rate{"a": {8, 0, 20 * ms}, "b": {8, 0, 20 * ms}}, map[string]rate{"a": {8, 0, 20 * ms}, "b": {8, 0, 200 * ms}}, []string{"b"}},
		"far by nature":     {map[string]rate{"a": {8, 0, 20 * ms}, "b": {8, 0, 200 * ms}}, map[string]rate{"a": {8, 0, 20 * ms}, "b": {8, 0, 200 * ms}}, nil},
		"all slow, of load": {map[string]rate{"a": {8, 0, 20 * ms}, "b": {8, 0, 20 * ms}}, map[string]rate{"a": {8, 0, 120 * ms}, "b": {8, 0, 200 * ms}}, nil},
		"too few":           {map[string]rate{"a": {8, 0, 20 * ms}, "b": {1, 0, 20 * ms}}, map[string]rate{"a": {8, 0, 20 * ms}, "b": {1, 1, 20 * ms}}, nil},
		"no other zone":     {map[string]rate{"b": {8, 0, 20 * ms}}, map[string]rate{"b": {8, 4, 20 * ms}}, nil},
	} {
		detector := NewGrayDetector(DefaultGrayRules())
		now := time.Duration(0)
		zones := map[string]AttemptCounts{}
		play := func(rates map[string]rate, samples int) (got []string) {
			for range samples {
				now += 500 * ms
				next := map[string]AttemptCounts{}
				for zone, r := range rates {
					z := zones[zone]
					next[zone] = AttemptCounts{z.Succeeded + r.n - r.failed, z.Failed + r.failed, z.TotalLatency + time.Duration(r.n-r.failed)*r.delay}
				}
				zones = next
				got = detector.Observe(now, zones)
			}
			return got
		}
		if got := play(c.before, 20); len(got) > 0 {
			t.Errorf("%s: %v before anything happens", name, got)
		}
		if got := play(c.after, 9); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
		if got := play(c.after, 200); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v after long, want %v: what is far from usual has become it", name, got, c.want)
		}
		if got := play(c.before, 20); len(got) > 0 {
			t.Errorf("%s: still %v once all is as before", name, got)
		}
	}
}

// TestGrayDetectorBounds checks for any counts that no zone is gray without enough attempts, and that no more is kept than the window.
func TestGrayDetectorBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		detector := NewGrayDetector(DefaultGrayRules())
		zones := map[string]AttemptCounts{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "samples") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			next := map[string]AttemptCounts{}
			for _, z := range []string{"a", "b", "c"} {
				x := zones[z]
				answered := rapid.Int64Range(0, 5).Draw(t, "answered")
				next[z] = AttemptCounts{x.Succeeded + answered, x.Failed + rapid.Int64Range(0, 3).Draw(t, "failed"), x.TotalLatency + time.Duration(answered)*time.Duration(rapid.IntRange(0, 900).Draw(t, "delay"))*time.Millisecond}
			}
			zones = next
			for _, z := range detector.Observe(now, zones) {
				from := detector.samples[0].zones[z]
				if n := zones[z].Succeeded + zones[z].Failed - from.Succeeded - from.Failed; n < detector.rules.MinAttempts {
					t.Fatalf("%s is gray by %d attempts", z, n)
				}
			}
			if len(detector.samples) > maxSamples {
				t.Fatalf("%d samples are kept", len(detector.samples))
			}
		}
	})
}
