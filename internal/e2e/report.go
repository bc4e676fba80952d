package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"time"
)

// Report is the result of a scenario. Other tools read its JSON form.
type Report struct {
	Scenario   string             `json:"scenario"`
	Seed       uint64             `json:"seed"`
	Pass       bool               `json:"pass"`
	Violations []string           `json:"broken"`
	Measures   map[string]float64 `json:"measures"`
	Faults     json.RawMessage    `json:"faults,omitempty"` // faults of a fleet, in the format of the file Options.Faults

	measureOrder []string
	bounds       map[string]string // texts of the bounds by measure
}

func newReport(scenario string, seed uint64) *Report {
	return &Report{Scenario: scenario, Seed: seed, Violations: []string{}, Measures: map[string]float64{}, bounds: map[string]string{}}
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// WriteTable writes the report as a table for people: the measures in the order in which they were recorded, with their bounds, then the
// violations and the verdict.
func (r *Report) WriteTable(w io.Writer) error {
	width := 0
	for _, name := range r.measureOrder {
		width = max(width, len(name))
	}
	fmt.Fprintf(w, "%s, seed %d\n\n", r.Scenario, r.Seed)
	for _, name := range r.measureOrder {
		line := fmt.Sprintf("  %-*s  %12s", width, name, formatMeasure(r.Measures[name]))
		if bound := r.bounds[name]; bound != "" {
			line += "   " + bound
		}
		fmt.Fprintln(w, line)
	}
	fmt.Fprintln(w)
	if r.Pass {
		_, err := fmt.Fprintln(w, "passed: all rules kept, all bounds met")
		return err
	}
	for _, violation := range r.Violations {
		fmt.Fprintln(w, "BROKEN", violation)
	}
	_, err := fmt.Fprintln(w, "failed")
	return err
}

// formatMeasure formats whole numbers in full and other numbers with four significant digits.
func formatMeasure(v float64) string {
	if v == math.Trunc(v) && math.Abs(v) < 1e9 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.4g", v)
}

// milliseconds converts a duration to milliseconds, rounded to two decimals.
func milliseconds(d time.Duration) float64 { return math.Round(float64(d)/1e4) / 100 }
