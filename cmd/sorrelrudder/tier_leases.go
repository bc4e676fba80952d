package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/fleet"
	"sorrelrudder/internal/lease"
)

// leasesCmd prints the leases with their holders.
type leasesCmd struct{ memberAddress }

// Run implements the command.
func (c *leasesCmd) Run(s *streams) error {
	return c.status(s, func(st *fleet.Status, w *tabwriter.Writer) {
		f := stateMachineOf(st, w)
		if f == nil {
			return
		}
		fmt.Fprintln(w, "lease\tholder\ttoken\twaiting")
		for _, name := range slices.Sorted(maps.Keys(f.Leases.Leases)) {
			e := f.Leases.Leases[name]
			for _, h := range e.Holders {
				holder := "?"
				if session := f.Leases.Sessions[h.SessionID]; session != nil {
					holder = session.Member
				}
				if h.Revoked {
					holder += ", revoked"
				}
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", name, holder, h.Token, len(e.Waiters))
			}
		}
	})
}

// leaseRevokeCmd revokes a lease.
type leaseRevokeCmd struct {
	Name string `arg:"" help:"The lease."`
	memberAddress
	Token uint64 `help:"Only from the holder with this token; 0: from all that hold it."`
}

// Run implements the command.
func (c *leaseRevokeCmd) Run(s *streams) error {
	return c.ask(func(ctx context.Context, o *fleet.Operator) error {
		r, err := o.Request(ctx, consensus.Request{Lease: &lease.Request{Command: &lease.Command{Op: lease.OpRevoke, Name: c.Name, Token: c.Token}}})
		if err != nil {
			return err
		}
		if r.Lease == nil || r.Lease.Result == nil {
			return fleet.ErrNoLeader
		}
		if r.Lease.Result.Refusal != "" {
			return fmt.Errorf("%s: %s", c.Name, r.Lease.Result.Refusal)
		}
		_, err = fmt.Fprintf(s.out, "%s is revoked, and free after one term\n", c.Name)
		return err
	})
}

// leaseHandoverCmd has the holder hand a lease over.
type leaseHandoverCmd struct {
	Name string `arg:"" help:"The lease."`
	To   string `arg:"" help:"The member."`
	memberAddress
}

// Run implements the command.
func (c *leaseHandoverCmd) Run(s *streams) error {
	return c.ask(func(ctx context.Context, o *fleet.Operator) error {
		if err := o.Handover(ctx, c.Name, c.To); err != nil {
			return err
		}
		_, err := fmt.Fprintf(s.out, "%s goes to %s as soon as nothing of it is out\n", c.Name, c.To)
		return err
	})
}

// leaseHoldCmd holds a lease for a script.
type leaseHoldCmd struct {
	Name string `arg:"" help:"The lease."`
	memberAddress
	Limit int           `default:"1" help:"How many may hold it at once; all that ask must say the same."`
	Term  time.Duration `default:"3s" help:"The fleet's term, as its file has it."`
	Drift float64       `default:"0.01" help:"The fleet's bound on clocks."`
}

// Run implements the command.
func (c *leaseHoldCmd) Run(s *streams) error {
	r := lease.Timing{TTL: c.Term, MaxClockDrift: c.Drift, SafetyMargin: 50 * time.Millisecond}
	if err := r.Validate(); err != nil {
		return fmt.Errorf("%w: %w", errInvalidInput, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	connecting, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	o, err := fleet.Connect(connecting, c.Address, c.Secret)
	if err != nil {
		return err
	}
	defer o.Close()
	return o.HoldLease(ctx, c.Name, c.Limit, r, func(token uint64) { fmt.Fprintln(s.out, token) })
}
