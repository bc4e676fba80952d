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

// maxRuns bounds the runs of one command.
const maxRuns = 10000

// emulateCmd emulates a scenario file in virtual time.
type emulateCmd struct {
	File string `arg:"" help:"Read this scenario file, such as deploy/day.toml."`
	Runs int    `default:"5" help:"Run this many times (1 to 10000), each time with the next seed, and print the means of the runs. In the table, 'worth' is the served fraction of the priority weight, 'sends' are attempts by instances, and 'tries' are attempts by clients."`
	JSON bool   `name:"json" help:"Print one JSON object per run instead of a table; with --share one object for all runs, which has the number of violations in the runs with sharing as 'breaks'. Exit 0 in that case even if a rule is violated."`

	Scale     float64       `default:"1" help:"Multiply the numbers of instances, servers, requests and watch requests for the endpoint list by this factor."`
	Share     []string      `help:"Run each seed a second time with these kinds of state shared among all instances, and print the difference: dead (servers that do not answer), room (load reports of health checks), learn (learned latencies, for an instance that starts), list (the endpoint list, for an instance that starts), zones (one decision for all instances to leave a zone that fails, and to return to it in steps)."`
	Witnesses int           `default:"2" help:"With --share dead, require reports of this many instances within a second before the other instances are told that a server is unreachable."`
	ZoneStep  time.Duration `default:"2s" help:"With --share zones, observe each step of the return to a zone for this time."`
	ZoneHold  time.Duration `default:"2s" help:"With --share zones, keep a zone out of use for at least this time after it was left."`
	Lag       time.Duration `default:"100ms" help:"With --share, set the time that an observation by one instance takes to reach the other instances; above 0."`
}

// sharing returns the state that --share selects. The error wraps errInvalidInput.
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
			return h, fmt.Errorf("%w: --share %s: expected dead, room, learn, list or zones", errInvalidInput, kind)
		}
	}
	if c.Lag <= 0 {
		return h, fmt.Errorf("%w: --lag %v: expected a time above 0", errInvalidInput, c.Lag)
	}
	return h, nil
}

// Run emulates the scenario with several seeds, on all cores. The error wraps errScenario if a rule was violated. With
// --share, it does so only under the conditions of printPairs.
func (c *emulateCmd) Run(s *streams) error {
	day, err := scenario.LoadScaled(c.File, c.Scale)
	if err != nil {
		return fmt.Errorf("%w: %w", errInvalidInput, err)
	}
	if c.Runs < 1 || c.Runs > maxRuns {
		return fmt.Errorf("%w: --runs %d: expected 1 to %d", errInvalidInput, c.Runs, maxRuns)
	}
	sharingOptions, err := c.sharing()
	if err != nil {
		return err
	}
	results, err := emulateRuns(day, c.Runs)
	if err != nil {
		return err
	}
	if len(c.Share) > 0 {
		day.Sharing = sharingOptions
		sharedResults, err := emulateRuns(day, c.Runs)
		if err != nil {
			return err
		}
		return c.printPairs(s, results, sharedResults)
	}
	violationCount := 0
	for i, r := range results {
		violationCount += r.ViolationCount
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
	} else if err := printRuns(s, results); err != nil {
		return err
	}
	if violationCount > 0 {
		return fmt.Errorf("%w: %d violations of the rules", errScenario, violationCount)
	}
	return nil
}

// emulateRuns emulates a scenario with as many consecutive seeds as there are runs, on all cores. Its results are in the order of the seeds.
func emulateRuns(day emulator.Scenario, runs int) ([]*emulator.Result, error) {
	results := make([]*emulator.Result, runs)
	errs := make([]error, runs)
	var workers sync.WaitGroup
	freeSlots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range results {
		freeSlots <- struct{}{}
		workers.Go(func() {
			defer func() { <-freeSlots }()
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
	workers.Wait()
	return results, errors.Join(errs...)
}

// worstSeconds is the length of the worst interval of a run that printPairs prints, in seconds.
const worstSeconds = 3

// pairMetrics returns the metrics by which the runs of a pair are compared: the fraction of the priority weight that was served, the same
// in the worst interval of worstSeconds, the fraction of attempts that were lost, and the fraction of clients' attempts that were rejected.
func pairMetrics(r *emulator.Result) (share, worst, lost, refused float64) {
	worst = 1
	for at := 2; at+worstSeconds <= len(r.Seconds)-1; at++ {
		if s := r.Sum(at, at+worstSeconds); s.Requests > 0 {
			worst = min(worst, s.ServedFraction())
		}
	}
	t := r.Total
	return t.ServedFraction(), worst, float64(t.ConnectFailures+t.Timeouts) / float64(max(1, t.Attempts)), float64(t.Rejected) / float64(max(1, t.ClientAttempts))
}

// printPairs prints what sharing changes, in pairs of runs with equal seeds: the mean of the differences and its standard error. It counts
// the violations of the runs with sharing only, and does not print their descriptions. With --json it prints their number and returns no
// error. Without --json the error wraps errScenario if there are any.
func (c *emulateCmd) printPairs(s *streams, without, with []*emulator.Result) error {
	names := [4]string{"worth served", fmt.Sprintf("worst %d s", worstSeconds), "sends lost", "tries refused"}
	var base, diff, squares [4]float64
	violationCount := 0
	n := float64(len(with))
	rows := make([][4]float64, len(with))
	for i := range with {
		a, b := [4]float64{}, [4]float64{}
		a[0], a[1], a[2], a[3] = pairMetrics(without[i])
		b[0], b[1], b[2], b[3] = pairMetrics(with[i])
		violationCount += with[i].ViolationCount
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
		return json.NewEncoder(s.out).Encode(map[string]any{"share": c.Share, "lag_s": c.Lag.Seconds(), "runs": len(with), "without": base, "difference": diff, "columns": names, "breaks": violationCount})
	}
	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\twithout sharing\tdifference when sharing %s (lag %v)\n", strings.Join(c.Share, ", "), c.Lag)
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
	if violationCount > 0 {
		return fmt.Errorf("%w: %d violations of the rules with shared state", errScenario, violationCount)
	}
	return nil
}

// printRuns prints the means of all runs by second, and the fraction of the priority weight that was served with its 95% confidence interval.
func printRuns(s *streams, results []*emulator.Result) error {
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
	if n > 1 { // 1.96 standard errors of the mean; the interval is too narrow for few runs
		spread = fmt.Sprintf(" +- %.3f", 1.96*math.Sqrt(squares/(n-1)/n))
	}
	_, err := fmt.Fprintf(s.out, "worth served: %.3f%s over %d runs\n", mean, spread, len(results))
	return err
}
