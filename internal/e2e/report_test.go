package e2e

import (
	"strings"
	"testing"
	"time"
)

// TestReportTable guards against changes of a report's table: its measures in the order in which they were recorded, their bounds, the
// violations and the verdict.
func TestReportTable(t *testing.T) {
	for name, c := range map[string]struct {
		play func(*Env)
		want string
	}{
		"passed": {func(e *Env) {
			e.Measure("requests", 1200)
			e.AtLeast("served_in_time", 0.98765, 0.95)
			e.AtMost("p99_ms", milliseconds(12345678*time.Nanosecond), 20)
		}, "table, seed 3\n\n  requests                1200\n  served_in_time        0.9877   at least 0.95\n  p99_ms                 12.35   at most 20\n\n" +
			"passed: all rules kept, all bounds met\n"},
		"failed": {func(e *Env) {
			e.AtMost("doubled", 2, 0)
			e.Fail("rule %d", 2)
		}, "table, seed 3\n\n  doubled             2   at most 0\n\nBROKEN bound: doubled is 2, want at most 0\nBROKEN rule 2\nfailed\n"},
	} {
		e := &Env{report: &Report{Scenario: "table", Seed: 3, Measures: map[string]float64{}, bounds: map[string]string{}}}
		c.play(e)
		e.report.Pass = len(e.report.Violations) == 0
		var got strings.Builder
		if err := e.report.WriteTable(&got); err != nil || got.String() != c.want {
			t.Errorf("table of %s: error %v, got\n%q, want\n%q", name, err, got.String(), c.want)
		}
	}
}
