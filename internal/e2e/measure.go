package e2e

import (
	"fmt"
	"math"

	"sorrelrudder/internal/fake"
)

// Measure records a measure. If a name is recorded again, the last value counts. NaN and infinite values are recorded as 0 and a violation.
func (e *Env) Measure(name string, value float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.report.Measures[name]; !known {
		e.report.measureOrder = append(e.report.measureOrder, name)
	}
	if math.IsNaN(value) || math.IsInf(value, 0) { // JSON cannot represent them
		e.report.Violations = append(e.report.Violations, fmt.Sprintf("%s is %v", name, value))
		value = 0
	}
	e.report.Measures[name] = value
}

// Measured returns the value of a measure, or 0 if it was not recorded.
func (e *Env) Measured(name string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report.Measures[name]
}

// AtLeast records a measure with its lower bound, and a violation if the value is below the bound.
func (e *Env) AtLeast(name string, value, least float64) {
	e.bound(name, value, fmt.Sprintf("at least %.4g", least), value >= least)
}

// AtMost records a measure with its upper bound, and a violation if the value is above the bound.
func (e *Env) AtMost(name string, value, most float64) {
	e.bound(name, value, fmt.Sprintf("at most %.4g", most), value <= most)
}

// bound records a measure with the text of its bound, and a violation if the bound is not met.
func (e *Env) bound(name string, value float64, want string, met bool) {
	e.Measure(name, value)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.bounds[name] = want
	if !met {
		e.report.Violations = append(e.report.Violations, fmt.Sprintf("bound: %s is %.4g, want %s", name, value, want))
	}
}

// Fail records a violation.
func (e *Env) Fail(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Violations = append(e.report.Violations, fmt.Sprintf(format, args...))
}

// CheckRules checks the four rules and records their violations. It is called once all clients and backends have ended.
func (e *Env) CheckRules(recorder *fake.EffectRecorder) fake.Verdict {
	v := recorder.Check(fake.DefaultTolerance)
	for _, violation := range v.Violations {
		e.Fail("%s", violation)
	}
	return v
}
