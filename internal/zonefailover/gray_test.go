package zonefailover

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// zoneLoad is a member's attempts at a zone between two observations.
type zoneLoad struct {
	attempts, failed int64
	latency          time.Duration
}

// grayPlayer simulates load for a detector, with one observation every half second.
type grayPlayer struct {
	detector *GrayDetector
	now      time.Duration
	counts   map[string]AttemptCounts
}

// play simulates a number of observations and returns the gray zones of the last one.
func (p *grayPlayer) play(loads map[string]zoneLoad, observations int) (gray []string) {
	for range observations {
		p.now += 500 * time.Millisecond
		next := map[string]AttemptCounts{}
		for zone, load := range loads {
			count, succeeded := p.counts[zone], load.attempts-load.failed
			next[zone] = AttemptCounts{
				Succeeded:    count.Succeeded + succeeded,
				Failed:       count.Failed + load.failed,
				TotalLatency: count.TotalLatency + time.Duration(succeeded)*load.latency,
			}
		}
		p.counts = next
		gray = p.detector.Observe(p.now, next)
	}
	return gray
}

// TestGrayDetector checks which outcomes count as a gray failure. A failure must not become the baseline however long it lasts.
func TestGrayDetector(t *testing.T) {
	load := func(attempts, failed, latencyMS int64) zoneLoad {
		return zoneLoad{attempts, failed, time.Duration(latencyMS) * time.Millisecond}
	}
	usual := map[string]zoneLoad{"a": load(8, 0, 20), "b": load(8, 0, 20)}
	for name, c := range map[string]struct {
		before, after map[string]zoneLoad
		want          []string
	}{
		"healthy":                  {usual, usual, nil},
		"one in eight fails":       {usual, map[string]zoneLoad{"a": load(8, 0, 20), "b": load(8, 1, 20)}, []string{"b"}},
		"all zones fail equally":   {usual, map[string]zoneLoad{"a": load(8, 1, 20), "b": load(8, 1, 20)}, nil},
		"ten times slower":         {usual, map[string]zoneLoad{"a": load(8, 0, 20), "b": load(8, 0, 200)}, []string{"b"}},
		"distant":                  {map[string]zoneLoad{"a": load(8, 0, 20), "b": load(8, 0, 200)}, map[string]zoneLoad{"a": load(8, 0, 20), "b": load(8, 0, 200)}, nil},
		"all zones slow":           {usual, map[string]zoneLoad{"a": load(8, 0, 120), "b": load(8, 0, 200)}, nil},
		"too few attempts":         {map[string]zoneLoad{"a": load(8, 0, 20), "b": load(1, 0, 20)}, map[string]zoneLoad{"a": load(8, 0, 20), "b": load(1, 1, 20)}, nil},
		"no other zone to compare": {map[string]zoneLoad{"b": load(8, 0, 20)}, map[string]zoneLoad{"b": load(8, 4, 20)}, nil},
	} {
		player := &grayPlayer{detector: NewGrayDetector(DefaultGrayRules())}
		if got := player.play(c.before, 20); len(got) > 0 {
			t.Errorf("%s: %v are gray before the change", name, got)
		}
		if got := player.play(c.after, 9); !slices.Equal(got, c.want) {
			t.Errorf("%s: gray zones %v, want %v", name, got, c.want)
		}
		if got := player.play(c.after, 200); !slices.Equal(got, c.want) {
			t.Errorf("%s: gray zones %v after 100 s, want %v: the failure has become the baseline", name, got, c.want)
		}
		if got := player.play(c.before, 20); len(got) > 0 {
			t.Errorf("%s: %v are still gray after the load has returned to its former values", name, got)
		}
	}
}

// TestGrayDetectorBounds checks for random counts that no zone is gray without MinAttempts attempts, and that the detector keeps at
// most maxSamples samples.
func TestGrayDetectorBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		detector := NewGrayDetector(DefaultGrayRules())
		counts := map[string]AttemptCounts{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "samples") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			next := map[string]AttemptCounts{}
			for _, zone := range []string{"a", "b", "c"} {
				count := counts[zone]
				succeeded := rapid.Int64Range(0, 5).Draw(t, "succeeded")
				failed := rapid.Int64Range(0, 3).Draw(t, "failed")
				latency := time.Duration(rapid.IntRange(0, 900).Draw(t, "latency")) * time.Millisecond
				next[zone] = AttemptCounts{count.Succeeded + succeeded, count.Failed + failed, count.TotalLatency + time.Duration(succeeded)*latency}
			}
			counts = next
			for _, zone := range detector.Observe(now, counts) {
				count, oldest := counts[zone], detector.samples[0].zones[zone]
				if attempts := count.Succeeded + count.Failed - oldest.Succeeded - oldest.Failed; attempts < detector.rules.MinAttempts {
					t.Fatalf("zone %s is gray after only %d attempts", zone, attempts)
				}
			}
			if len(detector.samples) > maxSamples {
				t.Fatalf("%d samples are kept, more than maxSamples", len(detector.samples))
			}
		}
	})
}
