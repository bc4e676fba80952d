package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"sorrelrudder/internal/config"
	"sorrelrudder/internal/fleet"
)

// fleetInitCmd creates a fleet in the store of a member that does not run.
type fleetInitCmd struct {
	File string `arg:"" help:"Read the member's configuration from this file."`
}

// Run implements the command.
func (c *fleetInitCmd) Run(s *streams) error {
	f, err := config.Load(c.File)
	if err != nil {
		return err
	}
	if f.Fleet == nil || f.Fleet.Store == "" {
		return fmt.Errorf("%s: the process is not a member of the consensus group: the file has no [tier] section with a store", c.File)
	}
	store, err := fleet.OpenStore(f.Fleet.Store, f.Fleet.Name)
	if err != nil {
		return err
	}
	defer store.Close()
	if err := store.Bootstrap(f.Fleet.Voters); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "created the fleet %s at %s; members of the consensus group: %s\n", store.Identity().Fleet, f.Fleet.Name, strings.Join(f.Fleet.Voters, ", "))
	return err
}

// memberAddress names a running process of the fleet and how to connect to it.
type memberAddress struct {
	Address string        `arg:"" help:"Connect to a running member at this address (HOST:PORT)."`
	Secret  string        `required:"" type:"existingfile" help:"Read the fleet's shared secret (tier.secret) from this file."`
	JSON    bool          `help:"Print JSON instead of a table. This applies to status, members, leases, tasks, zone status, and state without --diff."`
	Timeout time.Duration `default:"5s" help:"Wait at most this long for the connection and the answer; 'lease hold' applies this to the connection only."`
}

// withOperator connects to the process as an operator and calls do, both within the timeout.
func (a *memberAddress) withOperator(do func(ctx context.Context, o *fleet.Operator) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	o, err := fleet.Connect(ctx, a.Address, a.Secret)
	if err != nil {
		return err
	}
	defer o.Close()
	return do(ctx, o)
}

// printStatus asks the process for its status and prints it as JSON, or as the table that the function writes.
func (a *memberAddress) printStatus(s *streams, table func(*fleet.Status, *tabwriter.Writer)) error {
	return a.withOperator(func(ctx context.Context, o *fleet.Operator) error {
		st, err := o.Status(ctx)
		if err != nil {
			return err
		}
		if a.JSON {
			return json.NewEncoder(s.out).Encode(st)
		}
		w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
		table(st, w)
		return w.Flush()
	})
}

// memberStatusCmd prints what a process knows, without asking others.
type memberStatusCmd struct{ memberAddress }

// Run implements the command.
func (c *memberStatusCmd) Run(s *streams) error {
	return c.printStatus(s, func(st *fleet.Status, w *tabwriter.Writer) {
		fmt.Fprintf(w, "process\t%s\nincarnation\t%s\nfleet\t%s\nsession\t%d\nleader\t%s\n", st.Name, st.Incarnation,
			cmp.Or(st.Fleet, "unknown"), st.Session, cmp.Or(st.Leader, "unknown"))
		if st.Superseded {
			fmt.Fprintf(w, "superseded\tanother process has taken over this name\n")
		}
		if st.VoterError != "" {
			fmt.Fprintf(w, "voter failed\t%s\n", st.VoterError)
		}
		if k := st.Voter; k != nil {
			fmt.Fprintf(w, "voter\traft ID %d, %s, term %d, applied %d of %d committed entries\n", k.ID, k.Role, k.Term, k.Applied, k.Commit)
		}
		for _, name := range slices.Sorted(maps.Keys(st.HeldLeases)) {
			fmt.Fprintf(w, "lease held\t%s with token %d for another %d ms\n", name, st.HeldLeases[name].Token, st.HeldLeases[name].LeftMs)
		}
		for _, name := range slices.Sorted(maps.Keys(st.RunningSlots)) {
			fmt.Fprintf(w, "task running\t%s, slot %d\n", name, st.RunningSlots[name])
		}
		for _, name := range slices.Sorted(maps.Keys(st.LinkErrors)) {
			fmt.Fprintf(w, "last link error\t%s: %s\n", name, st.LinkErrors[name])
		}
	})
}

// fleetBootstrapCmd creates a fleet whose voters keep their state in memory, at a running member.
type fleetBootstrapCmd struct{ memberAddress }

// Run implements the command.
func (c *fleetBootstrapCmd) Run(s *streams) error {
	return c.withOperator(func(ctx context.Context, o *fleet.Operator) error {
		if err := o.Bootstrap(ctx); err != nil {
			return err
		}
		_, err := fmt.Fprintln(s.out, "created the fleet; the other members of the consensus group are admitted when they ask")
		return err
	})
}
