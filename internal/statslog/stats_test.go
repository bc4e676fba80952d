package statslog

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// TestRoundTrip guards against a log line that is parsed with other values than were written, also if it has a prefix or fields of a later
// version.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r IntervalStats
		for i := range r.Counters {
			r.Counters[i] = rapid.IntRange(0, 1e6).Draw(t, counterNames[i])
		}
		r.ReadyEndpoints, r.WarmingEndpoints, r.EjectedEndpoints, r.OpenRequests = rapid.IntRange(0, 99).Draw(t, "listed"), rapid.IntRange(0, 99).Draw(t, "warming"), 3, 4
		r.TypicalDelay = time.Duration(rapid.IntRange(0, 1e5).Draw(t, "usual")) * time.Millisecond
		r.CapacityShortage = float64(rapid.IntRange(0, 100).Draw(t, "short")) / 100
		var out bytes.Buffer
		slog.New(slog.NewTextHandler(&out, nil)).With("pool", "orders").Info(Message, append(r.Attrs(), "later", 7)...)
		at, pool, got, ok := Parse("1.203 " + out.String())
		if !ok || got != r || pool != "orders" || time.Since(at) > time.Hour {
			t.Fatalf("parse log line: valid %v, pool %v, time %v\n got %+v\nwant %+v", ok, pool, at, got, r)
		}
	})
}

// TestParseRejectsOtherLines guards against parsing lines with another message, without a time or with malformed values.
func TestParseRejectsOtherLines(t *testing.T) {
	for _, line := range []string{
		"", "figures", "msg=figures taken=1", "time=2026-01-02T03:04:05Z msg=ready taken=1",
		"time=2026-01-02T03:04:05Z msg=figures taken=many", "time=yesterday msg=figures taken=1",
	} {
		if _, _, _, ok := Parse(line); ok {
			t.Errorf("line %q was parsed as statistics", line)
		}
	}
}

// TestMergeWeightedByRequests guards against averages that ignore the number of requests, and against a division by zero without requests.
func TestMergeWeightedByRequests(t *testing.T) {
	a := IntervalStats{TypicalDelay: 100 * time.Millisecond, ReadyEndpoints: 2}
	a.Add(Requests, 1)
	b := IntervalStats{TypicalDelay: 200 * time.Millisecond, CapacityShortage: 1, ReadyEndpoints: 3}
	b.Add(Requests, 3)
	a.Merge(b)
	if a.Counters[Requests] != 4 || a.ReadyEndpoints != 5 || a.TypicalDelay != 175*time.Millisecond || a.CapacityShortage != 0.75 {
		t.Errorf("%+v", a)
	}
	var none IntervalStats
	none.Merge(IntervalStats{})
	if !none.Empty() || none.TypicalDelay != 0 {
		t.Errorf("%+v", none)
	}
}
