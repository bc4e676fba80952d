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

// leasesCmd lists the leases with their holders.
type leasesCmd struct{ memberAddress }

// Run implements the command.
func (c *leasesCmd) Run(s *streams) error {
	return c.printStatus(s, func(st *fleet.Status, w *tabwriter.Writer) {
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

// leaseRevokeCmd revokes a lease from one or all of its holders.
type leaseRevokeCmd struct {
	Name string `arg:"" help:"Revoke this lease."`
	memberAddress
	Token uint64 `help:"Revoke the lease only from the holder with this fencing token; 0 means from all holders."`
}

// Run implements the command.
func (c *leaseRevokeCmd) Run(s *streams) error {
	return c.withOperator(func(ctx context.Context, o *fleet.Operator) error {
		r, err := o.Request(ctx, consensus.Request{Lease: &lease.Request{Command: &lease.Command{Op: lease.OpRevoke, Name: c.Name, Token: c.Token}}})
		if err != nil {
			return err
		}
		if r.Lease == nil || r.Lease.Result == nil {
			return fleet.ErrNoLeader
		}
		if r.Lease.Result.Refusal != "" {
			return fmt.Errorf("lease %s was not revoked: %s", c.Name, r.Lease.Result.Refusal)
		}
		_, err = fmt.Fprintf(s.out, "lease %s is revoked and becomes free after one lease term\n", c.Name)
		return err
	})
}

// leaseHandoverCmd has the holder of a lease hand it over to another member.
type leaseHandoverCmd struct {
	Name string `arg:"" help:"Hand over this lease."`
	To   string `arg:"" help:"Hand the lease over to this member."`
	memberAddress
}

// Run implements the command.
func (c *leaseHandoverCmd) Run(s *streams) error {
	return c.withOperator(func(ctx context.Context, o *fleet.Operator) error {
		if err := o.Handover(ctx, c.Name, c.To); err != nil {
			return err
		}
		_, err := fmt.Fprintf(s.out, "lease %s moves to %s once no request of its task is in flight\n", c.Name, c.To)
		return err
	})
}

// leaseHoldCmd holds a lease for a script until a signal ends it.
type leaseHoldCmd struct {
	Name string `arg:"" help:"Hold this lease."`
	memberAddress
	Limit int           `default:"1" help:"Allow this many holders at once. All that ask for the lease must give the same limit."`
	Term  time.Duration `default:"3s" help:"Set the lease term; it must equal tier.term in the fleet's configuration files."`
	Drift float64       `default:"0.01" help:"Set the maximum clock drift as a fraction; it must equal tier.drift in the fleet's configuration files. 0.01 allows a clock to run 1% fast or slow."`
}

// Run implements the command.
func (c *leaseHoldCmd) Run(s *streams) error {
	r := lease.Timing{TTL: c.Term, MaxClockDrift: c.Drift, SafetyMargin: 50 * time.Millisecond}
	if err := r.Validate(); err != nil {
		return fmt.Errorf("%w: %w", errInvalidInput, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	connectCtx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	o, err := fleet.Connect(connectCtx, c.Address, c.Secret)
	if err != nil {
		return err
	}
	defer o.Close()
	return o.HoldLease(ctx, c.Name, c.Limit, r, func(token uint64) { fmt.Fprintln(s.out, token) })
}
