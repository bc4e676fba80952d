package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"time"
)

// Report is what came of a scenario.
type Report struct {
	Scenario   string             `json:"scenario"`
	Seed       uint64             `json:"seed"`
	Pass       bool               `json:"pass"`
	Violations []string           `json:"broken"`
	Measures   map[string]float64 `json:"measures"`
	Faults     json.RawMessage    `json:"faults,omitempty"` // what was done to a fleet, as --faults reads it

	measureOrder []string
	bounds       map[string]string
}

// WriteJSON writes a report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// WriteTable writes a report as a table for people.
func (r *Report) WriteTable(w io.Writer) error {
	width := 0
	for _, name := range r.measureOrder {
		width = max(width, len(name))
	}
	fmt.Fprintf(w, "%s, seed %d\n\n", r.Scenario, r.Seed)
	for _, name := range r.measureOrder {
		line := fmt.Sprintf("  %-*s  %12s", width, name, formatMeasure(r.Measures[name]))
		if b := r.bounds[name]; b != "" {
			line += "   " + b
		}
		fmt.Fprintln(w, line)
	}
	fmt.Fprintln(w)
	if r.Pass {
		_, err := fmt.Fprintln(w, "passed: all rules kept, all bounds met")
		return err
	}
	for _, b := range r.Violations {
		fmt.Fprintln(w, "BROKEN", b)
	}
	_, err := fmt.Fprintln(w, "failed")
	return err
}

func formatMeasure(v float64) string {
	if v == math.Trunc(v) && math.Abs(v) < 1e9 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.4g", v)
}

// milliseconds is a time as measures show it.
func milliseconds(d time.Duration) float64 { return math.Round(float64(d)/1e4) / 100 }
