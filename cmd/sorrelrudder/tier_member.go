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

// fleetInitCmd founds a fleet at a member that does not run.
type fleetInitCmd struct {
	File string `arg:"" help:"The operator's file of the process."`
}

// Run implements the command.
func (c *fleetInitCmd) Run(s *streams) error {
	f, err := config.Load(c.File)
	if err != nil {
		return err
	}
	if f.Fleet == nil || f.Fleet.Store == "" {
		return fmt.Errorf("%s: no member of a council: [tier] with a store is missing", c.File)
	}
	store, err := fleet.OpenStore(f.Fleet.Store, f.Fleet.Name)
	if err != nil {
		return err
	}
	defer store.Close()
	if err := store.Bootstrap(f.Fleet.Voters); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "founded the fleet %s at %s; seats for %s\n", store.Identity().Fleet, f.Fleet.Name, strings.Join(f.Fleet.Voters, ", "))
	return err
}

// memberAddress is how a process is asked.
type memberAddress struct {
	Address string        `arg:"" help:"The address of a member: any that runs."`
	Secret  string        `required:"" type:"existingfile" help:"The file of the tier's secret."`
	JSON    bool          `help:"Print JSON."`
	Timeout time.Duration `default:"5s" help:"How long an answer is waited for."`
}

func (a *memberAddress) ask(do func(ctx context.Context, o *fleet.Operator) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	o, err := fleet.Connect(ctx, a.Address, a.Secret)
	if err != nil {
		return err
	}
	defer o.Close()
	return do(ctx, o)
}

// status asks for what the process knows, and prints it as JSON or by table.
func (a *memberAddress) status(s *streams, table func(*fleet.Status, *tabwriter.Writer)) error {
	return a.ask(func(ctx context.Context, o *fleet.Operator) error {
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

// memberStatusCmd prints what a process knows.
type memberStatusCmd struct{ memberAddress }

// Run implements the command.
func (c *memberStatusCmd) Run(s *streams) error {
	return c.status(s, func(st *fleet.Status, w *tabwriter.Writer) {
		fmt.Fprintf(w, "process\t%s\nincarnation\t%s\nfleet\t%s\nsession\t%d\nleader\t%s\n", st.Name, st.Incarnation,
			cmp.Or(st.Fleet, "unknown"), st.Session, cmp.Or(st.Leader, "unknown"))
		if st.Superseded {
			fmt.Fprintf(w, "superseded\tanother process has this name\n")
		}
		if st.VoterError != "" {
			fmt.Fprintf(w, "failed\t%s\n", st.VoterError)
		}
		if k := st.Voter; k != nil {
			fmt.Fprintf(w, "seat\t%d, %s, term %d, applied %d of %d\n", k.ID, k.Role, k.Term, k.Applied, k.Commit)
		}
		for _, name := range slices.Sorted(maps.Keys(st.HeldLeases)) {
			fmt.Fprintf(w, "holds\t%s by %d for %d ms\n", name, st.HeldLeases[name].Token, st.HeldLeases[name].LeftMs)
		}
		for _, name := range slices.Sorted(maps.Keys(st.RunningSlots)) {
			fmt.Fprintf(w, "runs\t%s, slot %d\n", name, st.RunningSlots[name])
		}
		for _, name := range slices.Sorted(maps.Keys(st.LinkErrors)) {
			fmt.Fprintf(w, "last trouble with\t%s: %s\n", name, st.LinkErrors[name])
		}
	})
}

// fleetBootstrapCmd founds a fleet whose voters are in memory.
type fleetBootstrapCmd struct{ memberAddress }

// Run implements the command.
func (c *fleetBootstrapCmd) Run(s *streams) error {
	return c.ask(func(ctx context.Context, o *fleet.Operator) error {
		if err := o.Bootstrap(ctx); err != nil {
			return err
		}
		_, err := fmt.Fprintln(s.out, "founded; the other members of the council are admitted as they ask")
		return err
	})
}
