package main

import (
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"sync"
	"text/tabwriter"

	"sorrelrudder/internal/dayfile"
	"sorrelrudder/internal/emulator"
)

// mostRuns bounds the runs of one call.
const mostRuns = 10000

type emulateCmd struct {
	File string `arg:"" help:"The day's file, such as deploy/day.toml."`
	Runs int    `default:"5" help:"Runs, each with the next seed; the figures are their means."`
	JSON bool   `name:"json" help:"Print as JSON, one object a run."`
}

// Run plays the day with several seeds, on all cores.
func (c *emulateCmd) Run(s *streams) error {
	day, err := dayfile.Load(c.File)
	if err != nil {
		return fmt.Errorf("%w: %w", errDay, err)
	}
	if c.Runs < 1 || c.Runs > mostRuns {
		return fmt.Errorf("%w: --runs %d, outside 1 to %d", errDay, c.Runs, mostRuns)
	}
	results := make([]*emulator.Result, c.Runs)
	errs := make([]error, c.Runs)
	var work sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range results {
		slots <- struct{}{}
		work.Go(func() {
			defer func() { <-slots }()
			d := day
			d.Seed += uint64(i)
			w, err := emulator.New(d)
			if err != nil {
				errs[i] = err
				return
			}
			results[i] = w.Run()
		})
	}
	work.Wait()
	breaks := 0
	for i, r := range results {
		if errs[i] != nil {
			return fmt.Errorf("%w: %w", errDay, errs[i])
		}
		breaks += r.Breaks
		for _, b := range r.Broken {
			fmt.Fprintf(s.err, "seed %d: %s\n", day.Seed+uint64(i), b)
		}
	}
	if c.JSON {
		out := json.NewEncoder(s.out)
		for i, r := range results {
			if err := out.Encode(map[string]any{"seed": day.Seed + uint64(i), "worth_served": r.Total.Share(), "breaks": r.Breaks, "seconds": r.Seconds}); err != nil {
				return err
			}
		}
	} else if err := printDay(s, results); err != nil {
		return err
	}
	if breaks > 0 {
		return fmt.Errorf("%w: %d breaches of the rules", errScenario, breaks)
	}
	return nil
}

// printDay prints the means of all runs by second, and the worth served with its confidence interval.
func printDay(s *streams, results []*emulator.Result) error {
	t := tabwriter.NewWriter(s.out, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "s\tworth\trequests\taim\tlate\tunserved\ttries\trefused\tfailed\tsends\tcold\tunreached\ttimedout\terred\tprobes\tdials\tcalls\tcallslost\t")
	n := float64(len(results))
	for i := range results[0].Seconds {
		var sum emulator.Second
		for _, r := range results {
			sum.Add(r.Seconds[i])
		}
		if sum.Tries == 0 && sum.Requests == 0 {
			continue
		}
		fmt.Fprintf(t, "%d\t%.3f\t", i, sum.Share())
		for _, x := range []int{
			sum.Requests, sum.InAim, sum.Late, sum.Unserved, sum.Tries, sum.Refused, sum.Failed, sum.Sends, sum.Cold, sum.Unreached, sum.TimedOut,
			sum.Erred, sum.Probes, sum.Dials, sum.Calls, sum.CallsLost,
		} {
			fmt.Fprintf(t, "%.0f\t", float64(x)/n)
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	mean, squares := 0.0, 0.0
	for _, r := range results {
		mean += r.Total.Share() / n
	}
	for _, r := range results {
		squares += (r.Total.Share() - mean) * (r.Total.Share() - mean)
	}
	spread := ""
	if n > 1 { // 1.96 errors of the mean; of few runs it is too narrow
		spread = fmt.Sprintf(" +- %.3f", 1.96*math.Sqrt(squares/(n-1)/n))
	}
	_, err := fmt.Fprintf(s.out, "worth served: %.3f%s over %d runs\n", mean, spread, len(results))
	return err
}
