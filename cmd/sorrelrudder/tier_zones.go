package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/fleet"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zonefailover"
)

// zoneStatusCmd prints what is decided of each zone and how far the process has followed.
type zoneStatusCmd struct{ memberAddress }

// Run implements the command.
func (c *zoneStatusCmd) Run(s *streams) error {
	return c.ask(func(ctx context.Context, o *fleet.Operator) error {
		st, err := statusWithSharedState(ctx, o)
		if err != nil {
			return err
		}
		if c.JSON {
			return json.NewEncoder(s.out).Encode(st.SharedState.Zones)
		}
		w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "pool\tzone\tservers\tavoided here\tepoch\tstep\tfalls\twhy\tjudged")
		for _, z := range st.SharedState.Zones {
			step := fmt.Sprintf("%d of %d", z.Step, zonefailover.FullStep)
			if z.Pinned {
				step += ", pinned"
			}
			if z.WarmingUp {
				step += ", cold"
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%d\t%s\t%s\n", z.Pool, z.Zone, z.Endpoints, z.Excluded, z.Epoch, step, z.Relapses, z.Reason, z.Cause)
		}
		return w.Flush()
	})
}

// statusWithSharedState returns the status of a process that shares state, or an error.
func statusWithSharedState(ctx context.Context, o *fleet.Operator) (*fleet.Status, error) {
	st, err := o.Status(ctx)
	if err == nil && st.SharedState == nil {
		err = fmt.Errorf("%s shares no state: [tier.copies] is missing in its file", st.Name)
	}
	return st, err
}

// zoneDecision is a decision of an operator about a zone.
type zoneDecision struct {
	Pool string `arg:"" help:"The pool."`
	Zone string `arg:"" help:"The zone, as the pool's list names it."`
	memberAddress
	Force bool `help:"Also where the fleet would not do it itself; the log says who asked."`
}

// plan returns the zone, and the ready endpoints in zones that would stay wholly in use without it.
func (c *zoneDecision) plan(st *fleet.Status) (of *fleet.ZoneStatus, rest int, err error) {
	for i := range st.SharedState.Zones {
		z := &st.SharedState.Zones[i]
		switch {
		case z.Pool != c.Pool:
		case z.Zone == c.Zone:
			of = z
		case z.Step == zonefailover.FullStep:
			rest += z.Endpoints
		}
	}
	if of == nil {
		var names []string
		for _, z := range st.SharedState.Zones {
			names = append(names, z.Pool+" "+z.Zone)
		}
		return nil, 0, fmt.Errorf("no zone %q of a pool %q; there are: %s", c.Zone, c.Pool, strings.Join(names, ", "))
	}
	return of, rest, nil
}

// zonePlanCmd prints what leaving a zone would do.
type zonePlanCmd struct{ zoneDecision }

// Run implements the command.
func (c *zonePlanCmd) Run(s *streams) error {
	return c.ask(func(ctx context.Context, o *fleet.Operator) error {
		st, err := statusWithSharedState(ctx, o)
		if err != nil {
			return err
		}
		z, rest, err := c.plan(st)
		if err != nil {
			return err
		}
		if rest == 0 {
			return fmt.Errorf("without %s no zone of %s would be wholly in use: it can't be left", c.Zone, c.Pool)
		}
		_, err = fmt.Fprintf(s.out, "%d servers of %s take nothing new; the %d others have %.2f times as much each, if all are used alike\n", z.Endpoints, c.Zone, rest, float64(rest+z.Endpoints)/float64(rest))
		return err
	})
}

// The decisions of operators about zones.
type (
	zoneLeaveCmd  struct{ zoneDecision }
	zoneReturnCmd struct {
		zoneDecision
		Step int `default:"4" help:"1: a tenth of the servers, 2: a quarter, 3: a half, 4: all."`
	}
	zoneAutoCmd struct{ zoneDecision }
)

// Run implements the command.
func (c *zoneLeaveCmd) Run(s *streams) error {
	return c.decide(s, func(_ *fleet.ZoneStatus, rest int) (zonefailover.State, error) {
		if rest == 0 && !c.Force {
			return zonefailover.State{}, fmt.Errorf("without %s no zone of %s would be wholly in use; nothing was changed (--force does it all the same)", c.Zone, c.Pool)
		}
		return zonefailover.State{Step: 0, Manual: true, Reason: "an operator"}, nil
	})
}

// Run implements the command.
func (c *zoneReturnCmd) Run(s *streams) error {
	return c.decide(s, func(z *fleet.ZoneStatus, _ int) (zonefailover.State, error) {
		switch {
		case c.Step < 1 || c.Step > zonefailover.FullStep:
			return zonefailover.State{}, fmt.Errorf("%w: step %d, outside 1 to %d", errInvalidInput, c.Step, zonefailover.FullStep)
		case c.Step > z.Step+1 && !c.Force:
			return zonefailover.State{}, fmt.Errorf("%s is at step %d: its servers may be cold, and %d at once is more than a step; nothing was changed (--force does it all the same)", c.Zone, z.Step, c.Step-z.Step)
		}
		return zonefailover.State{Step: c.Step, Manual: true, Reason: "an operator"}, nil
	})
}

// Run implements the command.
func (c *zoneAutoCmd) Run(s *streams) error {
	return c.decide(s, func(z *fleet.ZoneStatus, _ int) (zonefailover.State, error) {
		return zonefailover.State{Step: z.Step, Relapses: z.Relapses, Reason: "left to itself"}, nil
	})
}

// decide asks the consensus group for the state that next returns, given the zone and the ready endpoints elsewhere.
func (c *zoneDecision) decide(s *streams, next func(z *fleet.ZoneStatus, rest int) (zonefailover.State, error)) error {
	return c.ask(func(ctx context.Context, o *fleet.Operator) error {
		st, err := statusWithSharedState(ctx, o)
		if err != nil {
			return err
		}
		z, rest, err := c.plan(st)
		if err != nil {
			return err
		}
		state, err := next(z, rest)
		if err != nil {
			return err
		}
		if c.Force {
			state.Reason += ", by force"
		}
		r, err := o.Command(ctx, consensus.DecisionCommand{Key: gossip.PoolKey(consensus.ZoneKind, c.Pool, c.Zone), Value: state.Encode()})
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(s.out, "epoch %d: %s of %s is at step %d of %d\n", r.Number, c.Zone, c.Pool, state.Step, zonefailover.FullStep)
		return err
	})
}
