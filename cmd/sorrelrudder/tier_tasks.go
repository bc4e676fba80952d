package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/fleet"
	"sorrelrudder/internal/task"
)

// tasksCmd prints the slots of tasks.
type tasksCmd struct{ memberAddress }

// Run implements the command.
func (c *tasksCmd) Run(s *streams) error {
	return c.status(s, func(st *fleet.Status, w *tabwriter.Writer) {
		f := stateMachineOf(st, w)
		if f == nil {
			return
		}
		fmt.Fprintln(w, "task\tslot\topen\tlast\tdone\trefused\tfailed\tunknown\tleft out")
		for _, name := range slices.Sorted(maps.Keys(f.Tasks.Tasks)) {
			p := f.Tasks.Tasks[name]
			fmt.Fprintf(w, "%s\t%d\t%v\t%s\t%d\t%d\t%d\t%d\t%d\n", name, p.Slot, p.Open, p.LastOutcome, p.OutcomeCounts["done"], p.OutcomeCounts["refused"],
				p.OutcomeCounts["failed"], p.OutcomeCounts["unknown"], p.Skipped)
		}
	})
}

// taskRunCmd triggers the next slot of a task.
type taskRunCmd struct {
	Name string `arg:"" help:"The task."`
	memberAddress
}

// Run implements the command.
func (c *taskRunCmd) Run(s *streams) error {
	return c.ask(func(ctx context.Context, o *fleet.Operator) error {
		r, err := o.Request(ctx, consensus.Request{Task: &task.Command{Op: task.OpTrigger, Task: c.Name}})
		if err != nil {
			return err
		}
		if r.Task == nil {
			return fleet.ErrNoLeader
		}
		if r.Task.Refusal != "" {
			return fmt.Errorf("%s: %s", c.Name, r.Task.Refusal)
		}
		_, err = fmt.Fprintf(s.out, "%s: the slot after %d is done now\n", c.Name, r.Task.Record.Slot)
		return err
	})
}
