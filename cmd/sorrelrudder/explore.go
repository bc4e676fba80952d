package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/simulation"
)

const (
	// exploreBatchSize is the number of seeds that a worker process simulates.
	exploreBatchSize = 100
	// maxShrinkRuns bounds the simulations that reduce the faults of a run that violates a rule.
	maxShrinkRuns = 300
)

// workerCmd simulates a range of seeds and prints the outcome of each as a line of JSON. Each core has a worker process of its own: raft
// draws from a random source that the whole process shares, and each run replaces that source.
type workerCmd struct {
	First uint64 `arg:""`
	Count uint64 `arg:""`
	Plant string `arg:"" optional:""`

	Copies bool
	Zones  bool
}

// Run implements the command.
func (c *workerCmd) Run(s *streams) error {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(800) // a run needs only a few MB, and rarer garbage collections save time
	out := json.NewEncoder(s.out)
	for seed := c.First; seed < c.First+c.Count; seed++ {
		o := simulation.Options{Seed: seed, Bug: simulation.InjectedBug(c.Plant), SharedState: c.Copies, ZoneFailover: c.Zones}
		got := simulation.Run(o)
		if got.Violation != "" {
			got = simulation.Shrink(o, got, maxShrinkRuns)
		}
		if err := out.Encode(got); err != nil {
			return err
		}
	}
	return nil
}

// exploreReport is the result of many simulations, as --json prints it.
type exploreReport struct {
	Scenario  string               `json:"scenario"`
	First     uint64               `json:"seed"`
	Seeds     int                  `json:"seeds"`
	Seconds   float64              `json:"seconds"`
	PerMinute float64              `json:"seeds_a_minute"`
	Pass      bool                 `json:"pass"`
	Broken    []simulation.Outcome `json:"broken"`
	Counts    map[string]float64   `json:"counts"`
	Hash      uint64               `json:"hash"` // combines the hashes of all runs in the order of their seeds
}

// simulateFleets simulates fleets in virtual time, in worker processes on all cores. The error wraps errScenario if a run violated a rule.
func (c *labCmd) simulateFleets(ctx context.Context, s *streams, self string) error {
	if c.Plant != "" && !slices.Contains(simulation.InjectedBugs, simulation.InjectedBug(c.Plant)) {
		return fmt.Errorf("%w: --plant %q: unknown bug; expected one of %v", errInvalidInput, c.Plant, simulation.InjectedBugs)
	}
	if c.Replay != "" {
		return c.replay(s)
	}
	e := exploration{
		report:  exploreReport{Scenario: "tier-explore", First: c.Seed, Broken: []simulation.Outcome{}, Counts: map[string]float64{}},
		started: time.Now(),
		seeds:   c.Seeds,
		hashes:  map[uint64]uint64{},
	}
	if f, ok := s.err.(*os.File); ok && isTerminal(f) {
		e.progress = f
	}
	if err := c.simulateBatches(ctx, self, &e); err != nil {
		return err
	}
	r := e.finish()
	if err := c.printExploration(s, r); err != nil {
		return err
	}
	if !r.Pass {
		return errScenario
	}
	return nil
}

// simulateBatches simulates all seeds in batches, and returns the first error of a worker.
func (c *labCmd) simulateBatches(ctx context.Context, self string, e *exploration) error {
	plant := simulation.InjectedBug(c.Plant)
	zones := c.Zones || plant.NeedsZoneFailover()
	copies := c.Copies || c.Zones || plant.NeedsSharedState()
	batches := make(chan [2]uint64)
	go func() {
		defer close(batches)
		for first := c.Seed; first < c.Seed+c.Seeds; first += exploreBatchSize {
			select {
			case batches <- [2]uint64{first, min(exploreBatchSize, c.Seed+c.Seeds-first)}:
			case <-ctx.Done():
				return
			}
		}
	}()
	workers := max(1, c.Workers)
	failures := make(chan error, workers)
	var all sync.WaitGroup
	for range workers {
		all.Go(func() {
			for batch := range batches {
				if err := exploreInWorker(ctx, self, batch, c.Plant, copies, zones, e.add); err != nil && ctx.Err() == nil {
					failures <- err
					return
				}
			}
		})
	}
	all.Wait()
	close(failures)
	return <-failures
}

// exploration collects the outcomes of simulations.
type exploration struct {
	seeds    uint64
	started  time.Time
	progress *os.File // the terminal to show progress on; nil: there is none

	mu     sync.Mutex // guards the fields below
	report exploreReport
	hashes map[uint64]uint64 // by seed
}

// add adds the outcome of a run to the report. It is safe for concurrent use.
func (e *exploration) add(o simulation.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &e.report
	r.Seeds++
	e.hashes[o.Seed] = o.Hash
	for name, n := range o.Counts {
		r.Counts[name] += n
	}
	if o.Violation != "" {
		r.Broken = append(r.Broken, o)
	}
	if e.progress != nil && r.Seeds%10 == 0 {
		fmt.Fprintf(e.progress, "\r%d of %d seeds, %d with a violation, %.0f per minute", r.Seeds, e.seeds, len(r.Broken), float64(r.Seeds)/time.Since(e.started).Minutes())
	}
}

// finish completes the report on all runs and returns it.
func (e *exploration) finish() *exploreReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &e.report
	const prime = 1099511628211 // of the 64-bit FNV hash
	for _, seed := range slices.Sorted(maps.Keys(e.hashes)) {
		r.Hash = r.Hash*prime ^ e.hashes[seed]
	}
	r.Seconds = time.Since(e.started).Seconds()
	r.PerMinute = float64(r.Seeds) / time.Since(e.started).Minutes()
	slices.SortFunc(r.Broken, func(a, b simulation.Outcome) int { return int(int64(a.Seed - b.Seed)) })
	r.Pass = len(r.Broken) == 0 && r.Seeds > 0
	return r
}

// exploreInWorker simulates a batch of seeds, its first seed and its size, in a process of its own. It calls each with the outcomes.
func exploreInWorker(ctx context.Context, self string, batch [2]uint64, plant string, copies, zones bool, each func(simulation.Outcome)) error {
	args := []string{"explore-worker", strconv.FormatUint(batch[0], 10), strconv.FormatUint(batch[1], 10)}
	if plant != "" {
		args = append(args, plant)
	}
	if copies {
		args = append(args, "--copies")
	}
	if zones {
		args = append(args, "--zones")
	}
	cmd := exec.CommandContext(ctx, self, args...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		var o simulation.Outcome
		if err := json.Unmarshal(lines.Bytes(), &o); err == nil {
			each(o)
		}
	}
	return cmd.Wait()
}

// maxSavedRuns bounds the violating runs that are saved to files.
const maxSavedRuns = 20

// printExploration saves the runs that violated a rule to files for --replay, and prints the report.
func (c *labCmd) printExploration(s *streams, r *exploreReport) error {
	for i, o := range r.Broken {
		if i == maxSavedRuns {
			break
		}
		name := filepath.Join(os.TempDir(), fmt.Sprintf("tier-explore-%d.json", o.Seed))
		data, err := json.MarshalIndent(o, "", " ")
		if err == nil {
			err = os.WriteFile(name, data, 0o600)
		}
		if err != nil {
			return err
		}
		fmt.Fprintf(s.err, "seed %d: at %v: %s\n  reduced to %d faults and saved as %s; replay it with: lab tier-explore --replay %s\n", o.Seed, o.ViolatedAt, o.Violation, len(o.Faults), name, name)
	}
	if c.JSON {
		return json.NewEncoder(s.out).Encode(r)
	}
	fmt.Fprintf(s.out, "tier-explore, %d seeds from %d in %.0f s, %.0f a minute: %d with a violation; hash %x\n", r.Seeds, r.First, r.Seconds, r.PerMinute, len(r.Broken), r.Hash)
	for _, k := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(s.out, "  %-24s %14.0f\n", k, r.Counts[k])
	}
	return nil
}

// replay simulates a saved run again and prints its events with their times. The error wraps errScenario if it violates a rule again.
func (c *labCmd) replay(s *streams) error {
	text, err := os.ReadFile(c.Replay)
	if err != nil {
		return err
	}
	var o simulation.Outcome
	if err := json.Unmarshal(text, &o); err != nil {
		return fmt.Errorf("%w: %s: %w", errInvalidInput, c.Replay, err)
	}
	if o.Faults == nil {
		o.Faults = []simulation.Fault{}
	}
	w := bufio.NewWriter(s.out)
	got := simulation.Run(simulation.Options{Seed: o.Seed, SharedState: o.SharedState, ZoneFailover: o.ZoneFailover, Bug: simulation.InjectedBug(c.Plant), Faults: o.Faults, Trace: w, TraceMessages: c.Verbose})
	if err := w.Flush(); err != nil {
		return err
	}
	if got.Violation != "" {
		return errScenario
	}
	_, err = io.WriteString(s.out, "no rule was violated\n")
	return err
}

// maxScaleProcesses bounds the size of a simulated fleet that shares state. Its memory grows with the square of the size: each process
// holds what it knows of every other.
const maxScaleProcesses = 5000

// replicaScale simulates fleets that share state, of several sizes and with several fractions of messages lost.
func (c *labCmd) replicaScale(s *streams) error {
	cfg := gossip.DefaultConfig()
	cfg.Kinds, cfg.DecidedKinds = []string{gossip.UnreachableKind}, []string{consensus.OperatorKind}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	if !c.JSON {
		fmt.Fprintln(w, "processes\tmessages lost\tconverged s\twrite known to all, p50 s\tp99 s\tdeath known to all, p50 s\tmax s\tfalse deaths\tsuspicions\tB/s at rest\tB/s busy\tcatch-up s\tcatch-up B\trun time s")
	}
	for _, size := range c.Sizes {
		for _, loss := range c.Loss {
			if size < 2 || size > maxScaleProcesses || !(loss >= 0 && loss < 1) {
				return fmt.Errorf("%w: --sizes %d, --loss %g: expected 2 to %d processes and a loss from 0 to below 1", errInvalidInput, size, loss, maxScaleProcesses)
			}
			r := simulation.RunScale(simulation.ScaleOptions{
				Seed: c.Seed, Size: size, Loss: loss, WriteCount: 10, KillCount: 2, RestDuration: 10 * time.Second, StartupWindow: time.Second, Gossip: cfg, RestartCount: max(1, min(100, size/10)),
			})
			if c.JSON {
				if err := json.NewEncoder(s.out).Encode(r); err != nil {
					return err
				}
				continue
			}
			fmt.Fprintf(w, "%d\t%g\t%.1f\t%.2f\t%.2f\t%.1f\t%.1f\t%d\t%d\t%.0f\t%.0f\t%.1f\t%.0f\t%.1f\n", r.Size, r.Loss, r.ConvergedSeconds, r.WriteP50Seconds, r.WriteP99Seconds,
				r.DetectionP50Seconds, r.DetectionMaxSeconds, r.FalseDeaths, r.Suspicions, r.BytesPerSecond, r.BusyBytesPerSecond, r.CatchUpSeconds, r.CatchUpBytes, r.ElapsedSeconds)
			if err := w.Flush(); err != nil {
				return err
			}
		}
	}
	return nil
}
