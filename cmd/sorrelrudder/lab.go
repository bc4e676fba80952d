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

// labCmd plays an end-to-end scenario.
type labCmd struct {
	Scenario string        `arg:"" optional:"" default:"list" help:"The scenario to play; 'list' lists them."`
	Seed     uint64        `default:"1" help:"What the day is drawn from."`
	Duration time.Duration `help:"How long the load lasts; 0 for the scenario's usual time."`
	JSON     bool          `help:"Print one JSON object in place of the table."`
	Faults   string        `help:"Do the faults of this file to a fleet in place of drawn ones; --json prints them as it wants them."`
	Seeds    uint64        `default:"1000" help:"tier-explore: how many seeds, from --seed on."`
	Workers  int           `default:"${cores}" help:"tier-explore: how many processes play them."`
	Plant    string        `help:"tier-explore: a mistake to plant, which it has to find."`
	Copies   bool          `help:"tier-explore: the processes also share state, and what must not be of that is looked for too."`
	Zones    bool          `help:"tier-explore: and leave zones of servers that fail, and return to them."`
	Sizes    []int         `default:"10,60,300" help:"replica-scale: processes of each fleet."`
	Loss     []float64     `default:"0,0.1,0.3" help:"replica-scale: shares of all messages that are lost."`
	Replay   string        `help:"tier-explore: play this saved run, as a time line; -v with each message."`
	Verbose  bool          `short:"v" help:"Show the program's log."`
}

// errScenario is a scenario that ran and did not pass. Its report says why.
var errScenario = errors.New("the scenario did not pass")

// Run implements the command.
func (c *labCmd) Run(s *streams) error {
	if c.Scenario == "list" {
		for _, sc := range e2e.List() {
			fmt.Fprintf(s.out, "%-16s %6s  %s\n", sc.Name, sc.Duration, sc.Summary)
		}
		fmt.Fprintf(s.out, "%-16s %6s  %s\n", "tier-explore", "", "fleets in virtual time under drawn faults, thousands of seeds; see --seeds, --plant, --copies, --zones, --replay")
		fmt.Fprintf(s.out, "%-16s %6s  %s\n", "replica-scale", "", "shared state in virtual time: how soon all have what one writes, what it costs, how the dead are missed; see --sizes, --loss")
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

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
