// Package e2e plays scripted days on loopback sockets against the real program, with fakes for all that is around it,
// and checks the four rules against the fakes' recorder afterwards. A scenario is one file that registers itself.
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
