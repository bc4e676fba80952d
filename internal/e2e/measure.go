package e2e

import (
	"fmt"
	"math"

	"sorrelrudder/internal/fake"
)

// Measure notes a figure.
func (e *Env) Measure(name string, value float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, had := e.report.Measures[name]; !had {
		e.report.measureOrder = append(e.report.measureOrder, name)
	}
	if math.IsNaN(value) || math.IsInf(value, 0) { // JSON has neither
		e.report.Violations = append(e.report.Violations, fmt.Sprintf("%s is %v", name, value))
		value = 0
	}
	e.report.Measures[name] = value
}

// Measured is a figure that was noted, 0 if none was.
func (e *Env) Measured(name string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report.Measures[name]
}

// AtLeast notes a figure and its bound.
func (e *Env) AtLeast(name string, value, least float64) {
	e.bound(name, value, fmt.Sprintf("at least %.4g", least), value >= least)
}

// AtMost notes a figure and its bound.
func (e *Env) AtMost(name string, value, most float64) {
	e.bound(name, value, fmt.Sprintf("at most %.4g", most), value <= most)
}

func (e *Env) bound(name string, value float64, want string, kept bool) {
	e.Measure(name, value)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.bounds[name] = want
	if !kept {
		e.report.Violations = append(e.report.Violations, fmt.Sprintf("bound: %s is %.4g, want %s", name, value, want))
	}
}

// Fail notes that something must not be.
func (e *Env) Fail(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Violations = append(e.report.Violations, fmt.Sprintf(format, args...))
}

// CheckRules checks the four rules against a recorder, once all is over.
func (e *Env) CheckRules(l *fake.EffectRecorder) fake.Verdict {
	v := l.Check(fake.DefaultTolerance)
	for _, b := range v.Violations {
		e.Fail("%s", b)
	}
	return v
}
