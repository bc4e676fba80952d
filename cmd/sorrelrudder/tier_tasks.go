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

// tasksCmd lists the tasks with their newest slots and the outcomes of all slots.
type tasksCmd struct{ memberAddress }

// Run implements the command.
func (c *tasksCmd) Run(s *streams) error {
	return c.printStatus(s, func(st *fleet.Status, w *tabwriter.Writer) {
		f := stateMachineOf(st, w)
		if f == nil {
			return
		}
		fmt.Fprintln(w, "task\tslot\topen\tlast outcome\tdone\trefused\tfailed\tunknown\tskipped")
		for _, name := range slices.Sorted(maps.Keys(f.Tasks.Tasks)) {
			p := f.Tasks.Tasks[name]
			fmt.Fprintf(w, "%s\t%d\t%v\t%s\t%d\t%d\t%d\t%d\t%d\n", name, p.Slot, p.Open, p.LastOutcome, p.OutcomeCounts["done"], p.OutcomeCounts["refused"],
				p.OutcomeCounts["failed"], p.OutcomeCounts["unknown"], p.Skipped)
		}
	})
}

// taskRunCmd triggers the next slot of a task.
type taskRunCmd struct {
	Name string `arg:"" help:"Run this task."`
	memberAddress
}

// Run implements the command.
func (c *taskRunCmd) Run(s *streams) error {
	return c.withOperator(func(ctx context.Context, o *fleet.Operator) error {
		r, err := o.Request(ctx, consensus.Request{Task: &task.Command{Op: task.OpTrigger, Task: c.Name}})
		if err != nil {
			return err
		}
		if r.Task == nil {
			return fleet.ErrNoLeader
		}
		if r.Task.Refusal != "" {
			return fmt.Errorf("task %s was not triggered: %s", c.Name, r.Task.Refusal)
		}
		_, err = fmt.Fprintf(s.out, "task %s: the slot after slot %d is triggered\n", c.Name, r.Task.Record.Slot)
		return err
	})
}
