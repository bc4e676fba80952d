package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"sorrelrudder/internal/e2e"
)

// labCmd runs an end-to-end scenario or a simulation.
type labCmd struct {
	Scenario string        `arg:"" optional:"" default:"list" help:"Run this scenario. The default is 'list', which lists all scenarios."`
	Seed     uint64        `default:"1" help:"Set the seed of the random load and faults."`
	Duration time.Duration `help:"Run the load for this time, such as 30s; 0 means the duration that 'lab list' shows."`
	JSON     bool          `help:"Print one JSON object instead of a table."`
	Faults   string        `help:"Inject the faults of this JSON file into a fleet, instead of random ones. The report of --json has the faults of a run in the same format."`
	Seeds    uint64        `default:"1000" help:"For tier-explore: simulate this many seeds, beginning with --seed."`
	Workers  int           `default:"${cores}" help:"For tier-explore: run this many worker processes; the default is the number of cores."`
	Plant    string        `help:"For tier-explore: inject this known bug, which the simulation is expected to find."`
	Copies   bool          `help:"For tier-explore: simulate shared state too, and check its rules."`
	Zones    bool          `help:"For tier-explore: simulate zone failover and recovery too, and check its rules; implies --copies."`
	Sizes    []int         `default:"10,60,300" help:"For replica-scale: simulate a fleet of each of these sizes, in processes (2 to 5000)."`
	Loss     []float64     `default:"0,0.1,0.3" help:"For replica-scale: simulate each size with each of these shares of messages lost (0 to below 1)."`
	Replay   string        `help:"For tier-explore: replay the run saved in this file and print its events with their times; with -v also each message."`
	Verbose  bool          `short:"v" help:"Print the logs of the processes under test."`
}

// errScenario means that a scenario ran and failed, or that no route or class matches a request. The error itself is not printed, because
// the output of the command says what failed. The output of emulate --share is an exception: it has no descriptions of violations.
var errScenario = errors.New("the scenario failed")

// Run implements the command.
func (c *labCmd) Run(s *streams) error {
	if c.Scenario == "list" {
		for _, sc := range e2e.List() {
			fmt.Fprintf(s.out, "%-16s %6s  %s\n", sc.Name, sc.Duration, sc.Summary)
		}
		fmt.Fprintf(s.out, "%-16s %6s  %s\n", "tier-explore", "", "fleets in virtual time under random faults, with thousands of seeds; see --seeds, --plant, --copies, --zones, --replay")
		fmt.Fprintf(s.out, "%-16s %6s  %s\n", "replica-scale", "", "shared state in virtual time: time until all processes have a write, traffic, time until dead processes are detected; see --sizes, --loss")
		return nil
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if c.Scenario == "tier-explore" {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		return c.simulateFleets(ctx, s, self)
	}
	if c.Scenario == "replica-scale" {
		return c.replicaScale(s)
	}
	o := e2e.Options{Seed: c.Seed, Duration: c.Duration, Program: []string{self}, Faults: c.Faults}
	if c.Verbose {
		o.Log = s.err
	} else if f, ok := s.err.(*os.File); ok && isTerminal(f) {
		o.Progress = f
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	r, err := e2e.Play(ctx, c.Scenario, o)
	if err != nil {
		return err
	}
	if c.JSON {
		err = r.WriteJSON(s.out)
	} else {
		err = r.WriteTable(s.out)
	}
	if err == nil && !r.Pass {
		return errScenario
	}
	return err
}

// isTerminal reports whether f is a terminal.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
