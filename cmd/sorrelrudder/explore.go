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
	// exploreBatch is how many seeds a worker plays in one process.
	exploreBatch = 100
	// shrinkRuns bounds the runs that a failing one is shrunk by.
	shrinkRuns = 300
)

// workerCmd plays some seeds and prints an outcome a line. Runs take the library's randomness from one variable of the process, so
// that each core has a process of its own.
type workerCmd struct {
	First uint64 `arg:""`
	Count uint64 `arg:""`
	Plant string `arg:"" optional:""`

	Copies bool
	Zones  bool
}

func (c *workerCmd) Run(s *streams) error {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(800) // a run has some MB
	out := json.NewEncoder(s.out)
	for seed := c.First; seed < c.First+c.Count; seed++ {
		o := simulation.Options{Seed: seed, Plant: simulation.Plant(c.Plant), Copies: c.Copies, Zones: c.Zones}
		got := simulation.Run(o)
		if got.Broken != "" {
			got = simulation.Shrink(o, got, shrinkRuns)
		}
		if err := out.Encode(got); err != nil {
			return err
		}
	}
	return nil
}

// exploreReport is what many runs came to.
type exploreReport struct {
	Scenario  string               `json:"scenario"`
	First     uint64               `json:"seed"`
	Seeds     int                  `json:"seeds"`
	Seconds   float64              `json:"seconds"`
	PerMinute float64              `json:"seeds_a_minute"`
	Pass      bool                 `json:"pass"`
	Broken    []simulation.Outcome `json:"broken"`
	Counts    map[string]float64   `json:"counts"`
	Hash      uint64               `json:"hash"` // over all runs in the order of their seeds
}

// tierExplore plays fleets in virtual time on all cores.
func (c *labCmd) tierExplore(ctx context.Context, s *streams, self string) error {
	if c.Plant != "" && !slices.Contains(simulation.Plants, simulation.Plant(c.Plant)) {
		return fmt.Errorf("%w: no mistake to plant is named %q; there are %v", errDay, c.Plant, simulation.Plants)
	}
	if c.Replay != "" {
		return c.replay(s)
	}
	r := exploreReport{Scenario: "tier-explore", First: c.Seed, Broken: []simulation.Outcome{}, Counts: map[string]float64{}}
	began := time.Now()
	next := make(chan [2]uint64)
	go func() {
		defer close(next)
		for first := c.Seed; first < c.Seed+c.Seeds; first += exploreBatch {
			select {
			case next <- [2]uint64{first, min(exploreBatch, c.Seed+c.Seeds-first)}:
			case <-ctx.Done():
				return
			}
		}
	}()
	var mu sync.Mutex
	hashes := map[uint64]uint64{}
	var failed error
	var all sync.WaitGroup
	for range max(1, c.Workers) {
		all.Go(func() {
			for batch := range next {
				err := exploreBatchIn(ctx, self, batch, c.Plant, c.Copies || c.Zones || simulation.Plant(c.Plant).OfCopies(), c.Zones || simulation.Plant(c.Plant).OfZones(), func(o simulation.Outcome) {
					mu.Lock()
					defer mu.Unlock()
					r.Seeds++
					hashes[o.Seed] = o.Hash
					for k, v := range o.Counts {
						r.Counts[k] += v
					}
					if o.Broken != "" {
						r.Broken = append(r.Broken, o)
					}
					if f, ok := s.err.(*os.File); ok && isTerminal(f) && r.Seeds%10 == 0 {
						fmt.Fprintf(f, "\r%d of %d seeds, %d broken, %.0f a minute", r.Seeds, c.Seeds, len(r.Broken), float64(r.Seeds)/time.Since(began).Minutes())
					}
				})
				if err != nil && ctx.Err() == nil {
					mu.Lock()
					failed = err
					mu.Unlock()
					return
				}
			}
		})
	}
	all.Wait()
	if failed != nil {
		return failed
	}
	for _, seed := range slices.Sorted(maps.Keys(hashes)) {
		r.Hash = r.Hash*1099511628211 ^ hashes[seed]
	}
	r.Seconds = time.Since(began).Seconds()
	r.PerMinute = float64(r.Seeds) / time.Since(began).Minutes()
	slices.SortFunc(r.Broken, func(a, b simulation.Outcome) int { return int(int64(a.Seed - b.Seed)) })
	r.Pass = len(r.Broken) == 0 && r.Seeds > 0
	if err := c.tellExplored(s, &r); err != nil {
		return err
	}
	if !r.Pass {
		return errScenario
	}
	return nil
}

func exploreBatchIn(ctx context.Context, self string, batch [2]uint64, plant string, copies, zones bool, each func(simulation.Outcome)) error {
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
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var o simulation.Outcome
		if err := json.Unmarshal(lines.Bytes(), &o); err == nil {
			each(o)
		}
	}
	return cmd.Wait()
}

func (c *labCmd) tellExplored(s *streams, r *exploreReport) error {
	for i, o := range r.Broken {
		if i == 20 {
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
		fmt.Fprintf(s.err, "seed %d: %v: %s\n  %d faults left of it, saved as %s: lab tier-explore --replay %s\n", o.Seed, o.At, o.Broken, len(o.Faults), name, name)
	}
	if c.JSON {
		return json.NewEncoder(s.out).Encode(r)
	}
	fmt.Fprintf(s.out, "tier-explore, %d seeds from %d in %.0f s, %.0f a minute: %d broken; hash %x\n", r.Seeds, r.First, r.Seconds, r.PerMinute, len(r.Broken), r.Hash)
	for _, k := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(s.out, "  %-24s %14.0f\n", k, r.Counts[k])
	}
	return nil
}

// replay plays one saved run, as a time line.
func (c *labCmd) replay(s *streams) error {
	text, err := os.ReadFile(c.Replay)
	if err != nil {
		return err
	}
	var o simulation.Outcome
	if err := json.Unmarshal(text, &o); err != nil {
		return fmt.Errorf("%w: %s: %w", errDay, c.Replay, err)
	}
	if o.Faults == nil {
		o.Faults = []simulation.Fault{}
	}
	w := bufio.NewWriter(s.out)
	got := simulation.Run(simulation.Options{Seed: o.Seed, Copies: o.Copies, Zones: o.Zones, Plant: simulation.Plant(c.Plant), Faults: o.Faults, Log: w, Trace: c.Verbose})
	if err := w.Flush(); err != nil {
		return err
	}
	if got.Broken != "" {
		return errScenario
	}
	_, err = io.WriteString(s.out, "nothing broke\n")
	return err
}

// mostScale bounds a fleet of copies: each process holds what is known of every other.
const mostScale = 5000

// replicaScale plays fleets of copies of several sizes.
func (c *labCmd) replicaScale(s *streams) error {
	cfg := gossip.DefaultConfig()
	cfg.Kinds, cfg.DecidedKinds = []string{gossip.UnreachableKind}, []string{consensus.OperatorKind}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	if !c.JSON {
		fmt.Fprintln(w, "processes\tlost\tin step s\twrite everywhere, p50 s\tp99 s\tdead known, p50 s\tmost s\tliving held for dead\tsuspected\tB/s at rest\tB/s busy\tcaught up s\tB each\tplayed in s")
	}
	for _, size := range c.Sizes {
		for _, loss := range c.Loss {
			if size < 2 || size > mostScale || !(loss >= 0 && loss < 1) {
				return fmt.Errorf("%w: %d processes with %g lost: 2 to %d, and a share below 1", errDay, size, loss, mostScale)
			}
			r := simulation.Scale(simulation.ScaleOptions{
				Seed: c.Seed, Size: size, Loss: loss, Writes: 10, Killed: 2, Length: 10 * time.Second, Wake: time.Second, Start: cfg, Restart: max(1, min(100, size/10)),
			})
			if c.JSON {
				if err := json.NewEncoder(s.out).Encode(r); err != nil {
					return err
				}
				continue
			}
			fmt.Fprintf(w, "%d\t%g\t%.1f\t%.2f\t%.2f\t%.1f\t%.1f\t%d\t%d\t%.0f\t%.0f\t%.1f\t%.0f\t%.1f\n", r.Size, r.Loss, r.InStepS, r.ConvergeP5, r.ConvergeP9,
				r.DeadP50, r.DeadMost, r.False, r.Suspicions, r.Bytes, r.BytesBusy, r.CatchupS, r.CatchupB, r.RealS)
			if err := w.Flush(); err != nil {
				return err
			}
		}
	}
	return nil
}
