package main

import (
	"context"
	"fmt"
	"slices"
	"text/tabwriter"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/fleet"
)

// stateMachineOf returns the replicated state as the process knows it. If the process knows none, it writes that and returns nil.
func stateMachineOf(st *fleet.Status, w *tabwriter.Writer) *consensus.StateMachine {
	if st.Voter == nil || st.Voter.StateMachine == nil {
		fmt.Fprintf(w, "%s is not a member of the consensus group, or has not yet received the state of the group; connect to another member\n", st.Name)
		return nil
	}
	return st.Voter.StateMachine
}

// votersCmd lists the members of the consensus group with their raft IDs, and whether each is a voter.
type votersCmd struct{ memberAddress }

// Run implements the command.
func (c *votersCmd) Run(s *streams) error {
	return c.printStatus(s, func(st *fleet.Status, w *tabwriter.Writer) {
		f := stateMachineOf(st, w)
		if f == nil {
			return
		}
		fmt.Fprintln(w, "member\traft ID\tvoter\tformer raft ID")
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
				former = fmt.Sprintf("%d, its store is lost", voter.ReplacedID)
			}
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", name, voter.RaftID, votes, former)
		}
	})
}

// voterChange selects the member of a command that changes the consensus group.
type voterChange struct {
	Name string `arg:"" help:"Add, remove or replace the member of this name."`
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

// change has the consensus group carry out a configuration change.
func (c *voterChange) change(s *streams, op consensus.VoterOp) error {
	return c.withOperator(func(ctx context.Context, o *fleet.Operator) error {
		r, err := o.Request(ctx, consensus.Request{Voter: &consensus.VoterCommand{Op: op, Name: c.Name}})
		if err != nil {
			return err
		}
		if r.Voter == nil {
			return fleet.ErrNoLeader
		}
		if r.Voter.Refusal != "" {
			return fmt.Errorf("the consensus group was not changed: %s", r.Voter.Refusal)
		}
		_, err = fmt.Fprintf(s.out, "member %s: %s accepted; 'tier members' shows when it has taken effect\n", c.Name, op)
		return err
	})
}
