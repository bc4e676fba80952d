package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"runtime"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"sorrelrudder/internal/emulator"
	"sorrelrudder/internal/scenario"
	"sorrelrudder/internal/zonefailover"
)

// maxRuns bounds the runs of one call.
const maxRuns = 10000

// emulateCmd plays days in virtual time.
type emulateCmd struct {
	File string `arg:"" help:"The day's file, such as deploy/day.toml."`
	Runs int    `default:"5" help:"Runs, each with the next seed; the figures are their means."`
	JSON bool   `name:"json" help:"Print as JSON, one object a run."`

	Scale     float64       `default:"1" help:"Times as many instances, servers, requests and calls for the list."`
	Share     []string      `help:"Play each seed also with this known to all instances, and print the difference: dead (servers that do not answer), room (what probes are told), learn (slowness, for one that starts), list (for one that starts), zones (a zone that fails is left by one decision and returned to step by step)."`
	Witnesses int           `default:"2" help:"How many have to tell of a server within a second for others to believe that it is dead."`
	ZoneStep  time.Duration `default:"2s" help:"--share zones: how long a step of a return is looked at."`
	ZoneHold  time.Duration `default:"2s" help:"--share zones: how long a zone that was left stays so at least."`
	Lag       time.Duration `default:"100ms" help:"How long after one has learnt it the others know what --share names."`
}

// sharing is what --share names.
func (c *emulateCmd) sharing() (emulator.Sharing, error) {
	h := emulator.Sharing{Delay: c.Lag, Quorum: c.Witnesses}
	for _, kind := range c.Share {
		switch kind {
		case "dead":
			h.Unreachable = true
		case "room":
			h.LoadReports = true
		case "learn":
			h.LearnedState = true
		case "list":
			h.EndpointList = true
		case "zones":
			h.ZoneFailover, h.ZoneRules = true, zonefailover.DefaultRules()
			h.ZoneRules.StepDuration, h.ZoneRules.HoldDown = c.ZoneStep, c.ZoneHold
			if err := h.ZoneRules.Validate(); err != nil {
				return h, fmt.Errorf("%w: %w", errInvalidInput, err)
			}
		default:
			return h, fmt.Errorf("%w: --share %s: there are dead, room, learn, list and zones", errInvalidInput, kind)
		}
	}
	if c.Lag <= 0 {
		return h, fmt.Errorf("%w: --lag %v: nobody knows it sooner than it is learnt", errInvalidInput, c.Lag)
	}
	return h, nil
}

// Run plays the day with several seeds, on all cores.
func (c *emulateCmd) Run(s *streams) error {
	day, err := scenario.LoadScaled(c.File, c.Scale)
	if err != nil {
		return fmt.Errorf("%w: %w", errInvalidInput, err)
	}
	if c.Runs < 1 || c.Runs > maxRuns {
		return fmt.Errorf("%w: --runs %d, outside 1 to %d", errInvalidInput, c.Runs, maxRuns)
	}
	hearsay, err := c.sharing()
	if err != nil {
		return err
	}
	results, err := playRuns(day, c.Runs)
	if err != nil {
		return err
	}
	if len(c.Share) > 0 {
		day.Sharing = hearsay
		shared, err := playRuns(day, c.Runs)
		if err != nil {
			return err
		}
		return c.printPairs(s, results, shared)
	}
	breaks := 0
	for i, r := range results {
		breaks += r.ViolationCount
		for _, b := range r.Violations {
			fmt.Fprintf(s.err, "seed %d: %s\n", day.Seed+uint64(i), b)
		}
	}
	if c.JSON {
		out := json.NewEncoder(s.out)
		for i, r := range results {
			if err := out.Encode(map[string]any{"seed": day.Seed + uint64(i), "worth_served": r.Total.ServedFraction(), "breaks": r.ViolationCount, "seconds": r.Seconds}); err != nil {
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

// playRuns plays a day with so many seeds, on all cores.
func playRuns(day emulator.Scenario, runs int) ([]*emulator.Result, error) {
	results := make([]*emulator.Result, runs)
	errs := make([]error, runs)
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
				errs[i] = fmt.Errorf("%w: %w", errInvalidInput, err)
				return
			}
			results[i] = w.Run()
		})
	}
	work.Wait()
	return results, errors.Join(errs...)
}

// worstSeconds is how many seconds the worst part of a day lasts that is told.
const worstSeconds = 3

// pairFigures is what a run came to, as far as pairs are compared by it.
func pairFigures(r *emulator.Result) (share, worst, lost, refused float64) {
	worst = 1
	for at := 2; at+worstSeconds <= len(r.Seconds)-1; at++ {
		if s := r.Sum(at, at+worstSeconds); s.Requests > 0 {
			worst = min(worst, s.ServedFraction())
		}
	}
	t := r.Total
	return t.ServedFraction(), worst, float64(t.ConnectFailures+t.Timeouts) / float64(max(1, t.Attempts)), float64(t.Rejected) / float64(max(1, t.ClientAttempts))
}

// printPairs prints what sharing gains, in pairs of equal seeds: the mean of the differences and its standard error.
func (c *emulateCmd) printPairs(s *streams, without, with []*emulator.Result) error {
	names := [4]string{"worth served", fmt.Sprintf("worst %d s", worstSeconds), "sends lost", "tries refused"}
	var base, diff, squares [4]float64
	breaks := 0
	n := float64(len(with))
	rows := make([][4]float64, len(with))
	for i := range with {
		a, b := [4]float64{}, [4]float64{}
		a[0], a[1], a[2], a[3] = pairFigures(without[i])
		b[0], b[1], b[2], b[3] = pairFigures(with[i])
		breaks += with[i].ViolationCount
		for k := range a {
			base[k] += a[k] / n
			rows[i][k] = b[k] - a[k]
			diff[k] += rows[i][k] / n
		}
	}
	for _, row := range rows {
		for k := range row {
			squares[k] += (row[k] - diff[k]) * (row[k] - diff[k])
		}
	}
	if c.JSON {
		return json.NewEncoder(s.out).Encode(map[string]any{"share": c.Share, "lag_s": c.Lag.Seconds(), "runs": len(with), "without": base, "difference": diff, "columns": names, "breaks": breaks})
	}
	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\twithout\twith %s after %v\n", strings.Join(c.Share, ", "), c.Lag)
	for k, name := range names {
		spread := ""
		if len(with) > 1 {
			spread = fmt.Sprintf(" +- %.4f", math.Sqrt(squares[k]/(n-1)/n))
		}
		fmt.Fprintf(t, "%s\t%.4f\t%+.4f%s\n", name, base[k], diff[k], spread)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if breaks > 0 {
		return fmt.Errorf("%w: %d breaches of the rules with it", errScenario, breaks)
	}
	return nil
}

// printDay prints the means of all runs by second, and the worth served with its confidence interval.
func printDay(s *streams, results []*emulator.Result) error {
	t := tabwriter.NewWriter(s.out, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "s\tworth\trequests\taim\tlate\tunserved\ttries\trefused\tfailed\tsends\tcold\tunreached\ttimedout\terred\tprobes\tdials\tcalls\tcallslost\t")
	n := float64(len(results))
	for i := range results[0].Seconds {
		var sum emulator.Counts
		for _, r := range results {
			sum.Add(r.Seconds[i])
		}
		if sum.ClientAttempts == 0 && sum.Requests == 0 {
			continue
		}
		fmt.Fprintf(t, "%d\t%.3f\t", i, sum.ServedFraction())
		for _, x := range []int{
			sum.Requests, sum.WithinObjective, sum.Late, sum.Unserved, sum.ClientAttempts, sum.Rejected, sum.Failed, sum.Attempts, sum.WarmingAttempts, sum.ConnectFailures, sum.Timeouts,
			sum.ApplicationErrors, sum.HealthChecks, sum.Dials, sum.WatchRequests, sum.WatchRequestsRejected,
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
		mean += r.Total.ServedFraction() / n
	}
	for _, r := range results {
		squares += (r.Total.ServedFraction() - mean) * (r.Total.ServedFraction() - mean)
	}
	spread := ""
	if n > 1 { // 1.96 errors of the mean; of few runs it is too narrow
		spread = fmt.Sprintf(" +- %.3f", 1.96*math.Sqrt(squares/(n-1)/n))
	}
	_, err := fmt.Fprintf(s.out, "worth served: %.3f%s over %d runs\n", mean, spread, len(results))
	return err
}
