package main

import (
	"context"
	"fmt"
	"slices"
	"text/tabwriter"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/fleet"
)

// stateMachineOf is the replicated state as the process knows it.
func stateMachineOf(st *fleet.Status, w *tabwriter.Writer) *consensus.StateMachine {
	if st.Voter == nil || st.Voter.StateMachine == nil {
		fmt.Fprintf(w, "%s has no seat in the council, or has not heard of its state yet: ask another\n", st.Name)
		return nil
	}
	return st.Voter.StateMachine
}

// votersCmd prints the voters.
type votersCmd struct{ memberAddress }

// Run implements the command.
func (c *votersCmd) Run(s *streams) error {
	return c.status(s, func(st *fleet.Status, w *tabwriter.Writer) {
		f := stateMachineOf(st, w)
		if f == nil {
			return
		}
		fmt.Fprintln(w, "member\tidentity\tvotes\tformer identity")
		for _, name := range f.VoterNames {
			voter := f.Voters[name]
			if voter == nil {
				fmt.Fprintf(w, "%s\tnone yet\t\t\n", name)
				continue
			}
			votes := "no"
			if slices.Contains(st.Voter.Voters, voter.RaftID) {
				votes = "yes"
			}
			former := ""
			if voter.ReplacedID != 0 {
				former = fmt.Sprintf("%d, lost with its store", voter.ReplacedID)
			}
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", name, voter.RaftID, votes, former)
		}
	})
}

// voterChange is a configuration change of the consensus group.
type voterChange struct {
	Name string `arg:"" help:"The member."`
	memberAddress
}

type (
	voterAddCmd     struct{ voterChange }
	voterRemoveCmd  struct{ voterChange }
	voterReplaceCmd struct{ voterChange }
)

// Run implements the command.
func (c *voterAddCmd) Run(s *streams) error { return c.change(s, consensus.OpAdd) }

// Run implements the command.
func (c *voterRemoveCmd) Run(s *streams) error { return c.change(s, consensus.OpRemove) }

// Run implements the command.
func (c *voterReplaceCmd) Run(s *streams) error { return c.change(s, consensus.OpReplace) }

func (c *voterChange) change(s *streams, op consensus.VoterOp) error {
	return c.ask(func(ctx context.Context, o *fleet.Operator) error {
		r, err := o.Request(ctx, consensus.Request{Voter: &consensus.VoterCommand{Op: op, Name: c.Name}})
		if err != nil {
			return err
		}
		if r.Voter == nil {
			return fleet.ErrNoLeader
		}
		if r.Voter.Refusal != "" {
			return fmt.Errorf("nothing was changed: %s", r.Voter.Refusal)
		}
		_, err = fmt.Fprintf(s.out, "%s: %s; 'tier members' shows when it is carried out\n", c.Name, op)
		return err
	})
}
