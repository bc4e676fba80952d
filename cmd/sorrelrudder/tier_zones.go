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

// zoneStatusCmd prints the decision on each zone and how far the process has applied it.
type zoneStatusCmd struct{ memberAddress }

// Run implements the command.
func (c *zoneStatusCmd) Run(s *streams) error {
	return c.withOperator(func(ctx context.Context, o *fleet.Operator) error {
		st, err := statusWithSharedState(ctx, o)
		if err != nil {
			return err
		}
		if c.JSON {
			return json.NewEncoder(s.out).Encode(st.SharedState.Zones)
		}
		w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "pool\tzone\tready servers\texcluded here\tepoch\tstep\trelapses\treason\tlatest verdict")
		for _, z := range st.SharedState.Zones {
			step := fmt.Sprintf("%d of %d", z.Step, zonefailover.FullStep)
			if z.Pinned {
				step += ", set by an operator"
			}
			if z.WarmingUp {
				step += ", warming up"
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%d\t%s\t%s\n", z.Pool, z.Zone, z.Endpoints, z.Excluded, z.Epoch, step, z.Relapses, z.Reason, z.Cause)
		}
		return w.Flush()
	})
}

// statusWithSharedState returns the status of a process, or an error if the process has no shared state.
func statusWithSharedState(ctx context.Context, o *fleet.Operator) (*fleet.Status, error) {
	st, err := o.Status(ctx)
	if err == nil && st.SharedState == nil {
		err = fmt.Errorf("process %s has no shared state: its file has no [tier.copies] section", st.Name)
	}
	return st, err
}

// zoneDecision selects the zone of an operator's command.
type zoneDecision struct {
	Pool string `arg:"" help:"Select this pool."`
	Zone string `arg:"" help:"Select this zone, by its name in the pool's endpoint list."`
	memberAddress
	Force bool `help:"Skip the check of 'zone leave' that another zone of the pool is fully in use, and that of 'zone return' that the zone returns by one step at a time. The recorded reason, which 'tier zone status' shows, ends with 'by force'. 'zone plan' ignores this flag."`
}

// plan returns the status of the zone, and the number of ready endpoints in the other zones that are fully in use.
func (c *zoneDecision) plan(st *fleet.Status) (target *fleet.ZoneStatus, remaining int, err error) {
	for i := range st.SharedState.Zones {
		z := &st.SharedState.Zones[i]
		switch {
		case z.Pool != c.Pool:
		case z.Zone == c.Zone:
			target = z
		case z.Step == zonefailover.FullStep:
			remaining += z.Endpoints
		}
	}
	if target == nil {
		var names []string
		for _, z := range st.SharedState.Zones {
			names = append(names, z.Pool+" "+z.Zone)
		}
		return nil, 0, fmt.Errorf("unknown zone %q of pool %q; known pools and zones: %s", c.Zone, c.Pool, strings.Join(names, ", "))
	}
	return target, remaining, nil
}

// zonePlanCmd prints what leaving a zone would do to the load of the other zones.
type zonePlanCmd struct{ zoneDecision }

// Run implements the command.
func (c *zonePlanCmd) Run(s *streams) error {
	return c.withOperator(func(ctx context.Context, o *fleet.Operator) error {
		st, err := statusWithSharedState(ctx, o)
		if err != nil {
			return err
		}
		z, remaining, err := c.plan(st)
		if err != nil {
			return err
		}
		if remaining == 0 {
			return fmt.Errorf("leaving zone %s needs --force: no other zone of pool %s is fully in use", c.Zone, c.Pool)
		}
		_, err = fmt.Fprintf(s.out, "%d servers of zone %s would get no new requests; the %d servers of fully used zones would each get %.2f times as many, if all are used equally\n", z.Endpoints, c.Zone, remaining, float64(remaining+z.Endpoints)/float64(remaining))
		return err
	})
}

// The commands that decide on a zone.
type (
	zoneLeaveCmd  struct{ zoneDecision }
	zoneReturnCmd struct {
		zoneDecision
		Step int `default:"4" help:"Return up to this step: 1: a tenth of the servers, 2: a quarter, 3: a half, 4: all."`
	}
	zoneAutoCmd struct{ zoneDecision }
)

// Run implements the command.
func (c *zoneLeaveCmd) Run(s *streams) error {
	return c.decide(s, func(_ *fleet.ZoneStatus, remaining int) (zonefailover.State, error) {
		if remaining == 0 && !c.Force {
			return zonefailover.State{}, fmt.Errorf("zone %s was not left: no other zone of pool %s is fully in use (use --force to leave it anyway)", c.Zone, c.Pool)
		}
		return zonefailover.State{Step: 0, Manual: true, Reason: "an operator"}, nil
	})
}

// Run implements the command.
func (c *zoneReturnCmd) Run(s *streams) error {
	return c.decide(s, func(z *fleet.ZoneStatus, _ int) (zonefailover.State, error) {
		switch {
		case c.Step < 1 || c.Step > zonefailover.FullStep:
			return zonefailover.State{}, fmt.Errorf("%w: --step %d: expected 1 to %d", errInvalidInput, c.Step, zonefailover.FullStep)
		case c.Step > z.Step+1 && !c.Force:
			return zonefailover.State{}, fmt.Errorf("zone %s stays at step %d: its servers may have to warm up, so a return by %d steps at once needs --force; otherwise increase --step by one at a time", c.Zone, z.Step, c.Step-z.Step)
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

// decide has the consensus group record the state that next returns. next is given the status of the zone and the number of ready endpoints
// in the other zones that are fully in use.
func (c *zoneDecision) decide(s *streams, next func(z *fleet.ZoneStatus, remaining int) (zonefailover.State, error)) error {
	return c.withOperator(func(ctx context.Context, o *fleet.Operator) error {
		st, err := statusWithSharedState(ctx, o)
		if err != nil {
			return err
		}
		z, remaining, err := c.plan(st)
		if err != nil {
			return err
		}
		state, err := next(z, remaining)
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
		_, err = fmt.Fprintf(s.out, "epoch %d: zone %s of pool %s is set to step %d of %d\n", r.Number, c.Zone, c.Pool, state.Step, zonefailover.FullStep)
		return err
	})
}
