package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/fleet"
	"sorrelrudder/internal/gossip"
)

// sharedStateCmd prints a process' copy of the shared state, or how it differs from another's.
type sharedStateCmd struct {
	memberAddress
	Kind string `help:"Only of this kind: dead, order."`
	Diff string `help:"The address of another process to compare with."`
}

// Run implements the command.
func (c *sharedStateCmd) Run(s *streams) error {
	one, err := c.stateAt(c.Address)
	if err != nil {
		return err
	}
	if c.Diff != "" {
		other, err := c.stateAt(c.Diff)
		if err != nil {
			return err
		}
		return c.diff(s, one, other)
	}
	one.SharedState.Entries = slices.DeleteFunc(one.SharedState.Entries, func(e fleet.SharedEntryStatus) bool { return !c.selects(e) })
	if c.JSON {
		return json.NewEncoder(s.out).Encode(one.SharedState)
	}
	return printSharedState(s.out, one)
}

// stateAt asks the process at an address for its status.
func (c *sharedStateCmd) stateAt(address string) (st *fleet.Status, err error) {
	member := c.memberAddress
	member.Address = address
	err = member.ask(func(ctx context.Context, o *fleet.Operator) error {
		st, err = statusWithSharedState(ctx, o)
		return err
	})
	return st, err
}

// selects reports whether an entry is of the kind that was asked for.
func (c *sharedStateCmd) selects(e fleet.SharedEntryStatus) bool {
	return c.Kind == "" || strings.HasPrefix(e.Key, c.Kind+"/")
}

// printSharedState prints the shared state of a process as tables.
func printSharedState(out io.Writer, st *fleet.Status) error {
	state := st.SharedState
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "process\t%s, incarnation %d\nin step with another\t%s\nall decided is here as of\t%s\nown troubles\t%d of 8\n",
		st.Name, state.Incarnation, age(state.InStepMs), age(state.DecidedMs), state.Health)
	members := map[string]int{}
	for _, memberState := range state.Members {
		members[memberState]++
	}
	for _, memberState := range slices.Sorted(maps.Keys(members)) {
		fmt.Fprintf(w, "members %s\t%d\n", memberState, members[memberState])
	}
	for _, key := range state.Hints {
		fmt.Fprintf(w, "hinted at\t%s\n", key)
	}
	for _, pool := range state.NotApplied {
		fmt.Fprintf(w, "not carried out\torders of pool %s: no ready server would be left\n", pool)
	}
	fmt.Fprintln(w, "\nowner\tkey\tversion\tvalue")
	for _, e := range state.Entries {
		fmt.Fprintf(w, "%s\t%s\t%d.%d\t%s\n", e.Owner, e.Key, e.Incarnation, e.Sequence, entryValue(e))
	}
	return w.Flush()
}

// age is a time in milliseconds, below 0 if it is not known.
func age(ms int64) string {
	if ms < 0 {
		return "not known yet"
	}
	return fmt.Sprintf("%d ms ago", ms)
}

// entryValue is the value of an entry as it is printed.
func entryValue(e fleet.SharedEntryStatus) string {
	switch len(e.Values) {
	case 0:
		return "taken back"
	case 1:
		return cmp.Or(e.Values[0], "yes")
	}
	return fmt.Sprintf("%d contents of one version: %q", len(e.Values), e.Values)
}

// entryKey names an entry of the shared state.
type entryKey struct{ owner, key string }

func compareEntryKeys(x, y entryKey) int {
	return cmp.Or(cmp.Compare(x.owner, y.owner), cmp.Compare(x.key, y.key))
}

// entryPair is an entry as two processes have it; nil: one has none.
type entryPair [2]*fleet.SharedEntryStatus

// rule says how a difference is settled, "" if there is none.
func (p entryPair) rule() string {
	x, y := p[0], p[1]
	switch {
	case x == nil || y == nil:
		return "what one lacks it gets, or it was given up and the other is told"
	case x.Incarnation != y.Incarnation:
		return "the newer incarnation holds"
	case x.Sequence != y.Sequence:
		return "the larger number holds"
	case !slices.Equal(x.Values, y.Values):
		return "both contents are kept, and the careful one counts"
	}
	return ""
}

// versionAndValue is an entry as diff prints it.
func versionAndValue(e *fleet.SharedEntryStatus) string {
	if e == nil {
		return "nothing"
	}
	return fmt.Sprintf("%d.%d %s", e.Incarnation, e.Sequence, entryValue(*e))
}

// diff prints the entries that two processes have differently, and the rule that settles each. The error tells how many there are.
func (c *sharedStateCmd) diff(s *streams, a, b *fleet.Status) error {
	pairs := map[entryKey]entryPair{}
	for i, st := range []*fleet.Status{a, b} {
		for n := range st.SharedState.Entries {
			e := &st.SharedState.Entries[n]
			if !c.selects(*e) {
				continue
			}
			key := entryKey{e.Owner, e.Key}
			pair := pairs[key]
			pair[i] = e
			pairs[key] = pair
		}
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "owner\tkey\tat %s\tat %s\trule\n", a.Name, b.Name)
	differ := 0
	for _, key := range slices.SortedFunc(maps.Keys(pairs), compareEntryKeys) {
		pair := pairs[key]
		rule := pair.rule()
		if rule == "" {
			continue
		}
		differ++
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", key.owner, key.key, versionAndValue(pair[0]), versionAndValue(pair[1]), rule)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if differ > 0 {
		return fmt.Errorf("%d entries differ", differ)
	}
	_, err := fmt.Fprintln(s.out, "nothing differs")
	return err
}

// forgetEntryCmd withdraws an entry that the process itself has written.
type forgetEntryCmd struct {
	Key string `arg:"" help:"The key, as 'tier state' shows it."`
	memberAddress
}

// Run implements the command.
func (c *forgetEntryCmd) Run(s *streams) error {
	return c.ask(func(ctx context.Context, o *fleet.Operator) error {
		if err := o.Forget(ctx, c.Key); err != nil {
			return err
		}
		_, err := fmt.Fprintf(s.out, "%s is taken back\n", c.Key)
		return err
	})
}

// operatorDecision excludes an endpoint in all processes, or includes it again.
type operatorDecision struct {
	Pool   string `arg:"" help:"The pool."`
	Server string `arg:"" help:"The server, as the pool's list names it."`
	memberAddress
}

// excludeCmd has all processes send nothing new to an endpoint.
type excludeCmd struct {
	operatorDecision
	Reason string `default:"ordered" help:"Why, for whoever looks at it later."`
}

// includeCmd withdraws such a decision.
type includeCmd struct{ operatorDecision }

// Run implements the command.
func (c *excludeCmd) Run(s *streams) error { return c.decide(s, c.Reason, false) }

// Run implements the command.
func (c *includeCmd) Run(s *streams) error { return c.decide(s, "", true) }

// decide asks the consensus group for the decision.
func (c *operatorDecision) decide(s *streams, value string, lift bool) error {
	key := gossip.PoolKey(consensus.OperatorKind, c.Pool, c.Server)
	if key == "" {
		return fmt.Errorf("%w: no order can be given on the server %q of %q", errInvalidInput, c.Server, c.Pool)
	}
	return c.ask(func(ctx context.Context, o *fleet.Operator) error {
		r, err := o.Command(ctx, consensus.DecisionCommand{Key: key, Value: value, Withdraw: lift})
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(s.out, "order %d; 'tier state' shows who has it\n", r.Number)
		return err
	})
}
