// Package e2e runs end-to-end scenarios on loopback sockets. A scenario starts the real program, fakes of the systems around it and proxies
// that inject faults. Afterwards it checks the four rules against the fakes' recorder, and its measures against their bounds. Each scenario
// registers itself in the init function of its file.
package e2e

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sync"
	"time"
)

// Scenario is an end-to-end test. Run adds measures and violations to the report of Env. It returns an error only if the scenario could not
// be run.
type Scenario struct {
	Name     string
	Summary  string
	Duration time.Duration // default length of the load
	Run      func(ctx context.Context, e *Env) error
}

var (
	scenarios = map[string]Scenario{}

	// ErrUnknownScenario is returned by Play for a name that no scenario has.
	ErrUnknownScenario = errors.New("no such scenario")
)

// Register adds a scenario. It panics if a scenario of that name is registered already.
func Register(s Scenario) {
	if _, exists := scenarios[s.Name]; exists {
		panic("lab: duplicate scenario name " + s.Name)
	}
	scenarios[s.Name] = s
}

// List returns all scenarios, sorted by name.
func List() []Scenario {
	var all []Scenario
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		all = append(all, scenarios[name])
	}
	return all
}

// Options configure a run of a scenario.
type Options struct {
	Seed     uint64
	Duration time.Duration // of the load; 0 means that of the scenario
	Program  []string      // command that starts the program, without arguments
	Progress io.Writer     // nil disables the progress display
	Log      io.Writer     // receives the log of the program; nil discards it, but errors quote its last lines
	Faults   string        // path of a file with the faults of a fleet; empty means that they are drawn from the seed
}

// Env is the environment of a running scenario. Its methods may be called concurrently.
type Env struct {
	Seed     uint64
	Duration time.Duration // of the load
	Dir      string        // temporary directory, removed after the scenario

	options Options
	report  *Report

	mu          sync.Mutex // guards the fields below, and the report
	deferred    []func()
	phase       string
	phaseBegan  time.Time
	phaseLength time.Duration
}

// Play runs the scenario of a name and returns its report. The error wraps ErrUnknownScenario if no scenario has that name; otherwise it is
// the reason why the scenario could not be run. Missed bounds and violated rules are in the report and are no error.
func Play(ctx context.Context, name string, options Options) (*Report, error) {
	scenario, ok := scenarios[name]
	if !ok {
		return nil, fmt.Errorf("%w: %q", ErrUnknownScenario, name)
	}
	dir, err := os.MkdirTemp("", "sorrelrudder-lab-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	e := &Env{Seed: options.Seed, Duration: options.Duration, Dir: dir, options: options}
	if e.Duration <= 0 {
		e.Duration = scenario.Duration
	}
	e.report = newReport(name, options.Seed)
	defer e.close()
	stop := e.reportProgress()
	err = scenario.Run(ctx, e)
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

// Defer registers f to be called when the scenario has ended. The functions are called in reverse order of registration.
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
