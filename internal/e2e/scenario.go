// Package e2e plays end-to-end scenarios on loopback sockets against the real program, with fakes of all that is around it, and
// checks the four rules against the fakes' recorder afterwards. A scenario is a file that registers itself.
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

// Scenario is an end-to-end test. Run returns an error if it could not be played; what it finds goes into the report of Env.
type Scenario struct {
	Name     string
	Summary  string
	Duration time.Duration // usual length of its load
	Run      func(ctx context.Context, e *Env) error
}

var (
	scenarios = map[string]Scenario{}

	// ErrUnknownScenario tells that there is no scenario of a name.
	ErrUnknownScenario = errors.New("no such scenario")
)

// Register adds a scenario. It panics if there is one of that name.
func Register(s Scenario) {
	if _, exists := scenarios[s.Name]; exists {
		panic("lab: two scenarios are named " + s.Name)
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

// Options say how a scenario is played.
type Options struct {
	Seed     uint64
	Duration time.Duration // of the load; 0: the scenario's usual
	Program  []string      // the command of the program, without its arguments
	Progress io.Writer     // nil: none
	Log      io.Writer     // the program's log; nil: only its end, should it fail
	Faults   string        // file of a fleet's faults, in place of drawn ones; empty: none
}

// Env is what a scenario plays with. Its methods may be called concurrently.
type Env struct {
	Seed     uint64
	Duration time.Duration // of the load
	Dir      string        // for files; removed afterwards

	options Options
	report  *Report

	mu          sync.Mutex // guards the fields below, and the report
	deferred    []func()
	phase       string
	phaseBegan  time.Time
	phaseLength time.Duration
}

// Play plays a scenario and returns its report. The error is ErrUnknownScenario, or tells why the scenario could not be played.
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

// Defer has f called once the scenario is over, in reverse order.
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
