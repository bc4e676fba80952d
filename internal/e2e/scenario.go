// Package e2e plays scripted days on loopback sockets against the real program, with fakes for all that is around it,
// and checks the four rules against the fakes' recorder afterwards. A scenario is one file that registers itself.
package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"sync"
	"time"

	"sorrelrudder/internal/fake"
)

// Scenario is a scripted day.
type Scenario struct {
	Name     string
	Summary  string
	Duration time.Duration // usual length of its load
	Run      func(ctx context.Context, e *Env) error
}

var (
	scenarios = map[string]Scenario{}

	// ErrUnknownScenario is what Play says of a scenario that is not there.
	ErrUnknownScenario = errors.New("no such scenario")
)

// Register adds a scenario. It panics if there is one of that name: two files disagree.
func Register(s Scenario) {
	if _, had := scenarios[s.Name]; had {
		panic("lab: two scenarios are named " + s.Name)
	}
	scenarios[s.Name] = s
}

// List is all scenarios by their names.
func List() []Scenario {
	var all []Scenario
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		all = append(all, scenarios[name])
	}
	return all
}

// Options say how a scenario is played.
type Options struct {
	Seed     uint64
	Duration time.Duration // 0: the scenario's usual
	Program  []string      // the command of the program, without its arguments
	Progress io.Writer     // nil: none
	Log      io.Writer     // the program's log; nil: only its end, should it fail
	Faults   string        // file of faults to be done to a fleet in place of drawn ones; empty: none
}

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

// Env is what a scenario plays with.
type Env struct {
	Seed     uint64
	Duration time.Duration
	Dir      string // for files; removed afterwards

	options Options
	report  *Report

	mu          sync.Mutex
	deferred    []func()
	phase       string
	phaseBegan  time.Time
	phaseLength time.Duration
}

// Play plays a scenario.
func Play(ctx context.Context, name string, o Options) (*Report, error) {
	s, ok := scenarios[name]
	if !ok {
		return nil, fmt.Errorf("%w: %q", ErrUnknownScenario, name)
	}
	dir, err := os.MkdirTemp("", "sorrelrudder-lab-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	e := &Env{Seed: o.Seed, Duration: o.Duration, Dir: dir, options: o}
	if e.Duration <= 0 {
		e.Duration = s.Duration
	}
	e.report = &Report{Scenario: name, Seed: o.Seed, Violations: []string{}, Measures: map[string]float64{}, bounds: map[string]string{}}
	defer e.close()
	stop := e.reportProgress()
	err = s.Run(ctx, e)
	stop()
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	e.report.Pass = len(e.report.Violations) == 0
	return e.report, nil
}

// Defer has f called when the scenario is over, the last first.
func (e *Env) Defer(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deferred = append(e.deferred, f)
}

func (e *Env) close() {
	for len(e.deferred) > 0 {
		last := len(e.deferred) - 1
		f := e.deferred[last]
		e.deferred = e.deferred[:last]
		f()
	}
}

// Phase names what is played now, and how long it takes.
func (e *Env) Phase(name string, length time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.phase, e.phaseBegan, e.phaseLength = name, time.Now(), length
}

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

// reportProgress shows on a terminal what is played, until the function that it returns is called.
func (e *Env) reportProgress() (stop func()) {
	if e.options.Progress == nil {
		return func() {}
	}
	end := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		tick := time.NewTicker(200 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-end:
				fmt.Fprint(e.options.Progress, "\r\x1b[K")
				return
			case <-tick.C:
			}
			e.mu.Lock()
			phase, spent, length := e.phase, time.Since(e.phaseBegan), e.phaseLength
			e.mu.Unlock()
			if phase != "" {
				fmt.Fprintf(e.options.Progress, "\r\x1b[K%s %s", progressBar(spent, length), phase)
			}
		}
	})
	return func() {
		close(end)
		done.Wait()
	}
}

func progressBar(spent, length time.Duration) string {
	const width = 24
	n := width
	if length > 0 {
		n = min(width, int(float64(width)*float64(spent)/float64(length)))
	}
	b := make([]byte, width)
	for i := range b {
		b[i] = '.'
		if i < n {
			b[i] = '#'
		}
	}
	return fmt.Sprintf("[%s] %3.0f s", b, spent.Seconds())
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
