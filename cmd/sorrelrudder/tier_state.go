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

// sharedStateCmd prints the replica of the shared state at one process, or its differences from that of another.
type sharedStateCmd struct {
	memberAddress
	Kind string `help:"Show only the entries of this kind: dead (reports of servers that do not answer), look (results of health checks on zones), grey (reports of gray failures of zones), order (orders on servers), zone (decisions on zones). Any other kind selects no entries."`
	Diff string `help:"Compare with the process at this address (HOST:PORT)."`
}

// Run implements the command.
func (c *sharedStateCmd) Run(s *streams) error {
	first, err := c.stateAt(c.Address)
	if err != nil {
		return err
	}
	if c.Diff != "" {
		second, err := c.stateAt(c.Diff)
		if err != nil {
			return err
		}
		return c.diff(s, first, second)
	}
	first.SharedState.Entries = slices.DeleteFunc(first.SharedState.Entries, func(e fleet.SharedEntryStatus) bool { return !c.selects(e) })
	if c.JSON {
		return json.NewEncoder(s.out).Encode(first.SharedState)
	}
	return printSharedState(s.out, first)
}

// stateAt returns the status of the process at an address. The status has shared state.
func (c *sharedStateCmd) stateAt(address string) (st *fleet.Status, err error) {
	member := c.memberAddress
	member.Address = address
	err = member.withOperator(func(ctx context.Context, o *fleet.Operator) error {
		st, err = statusWithSharedState(ctx, o)
		return err
	})
	return st, err
}

// selects reports whether an entry is of the selected kind.
func (c *sharedStateCmd) selects(e fleet.SharedEntryStatus) bool {
	return c.Kind == "" || strings.HasPrefix(e.Key, c.Kind+"/")
}

// printSharedState prints the shared state of a process as two tables: its health, and its entries.
func printSharedState(out io.Writer, st *fleet.Status) error {
	state := st.SharedState
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "process\t%s, incarnation %d\nlast equal to another replica\t%s\nall decisions known as of\t%s\nlocal health score\t%d of 8 (0: healthy)\n",
		st.Name, state.Incarnation, age(state.InStepMs), age(state.DecidedMs), state.Health)
	members := map[string]int{}
	for _, memberState := range state.Members {
		members[memberState]++
	}
	for _, memberState := range slices.Sorted(maps.Keys(members)) {
		fmt.Fprintf(w, "members %s\t%d\n", memberState, members[memberState])
	}
	for _, key := range state.Hints {
		fmt.Fprintf(w, "hinted as unreachable\t%s\n", key)
	}
	for _, pool := range state.NotApplied {
		fmt.Fprintf(w, "not applied\texclusions of pool %s: no ready server would be left\n", pool)
	}
	fmt.Fprintln(w, "\nowner\tkey\tversion\tvalue")
	for _, e := range state.Entries {
		fmt.Fprintf(w, "%s\t%s\t%d.%d\t%s\n", e.Owner, e.Key, e.Incarnation, e.Sequence, entryValue(e))
	}
	return w.Flush()
}

// age describes a time in milliseconds, below 0 if it is not known.
func age(ms int64) string {
	if ms < 0 {
		return "not known yet"
	}
	return fmt.Sprintf("%d ms ago", ms)
}

// entryValue returns the value of an entry as it is printed: "yes" for an entry without content.
func entryValue(e fleet.SharedEntryStatus) string {
	switch len(e.Values) {
	case 0:
		return "entry deleted"
	case 1:
		return cmp.Or(e.Values[0], "yes")
	}
	return fmt.Sprintf("%d conflicting values of one version: %q", len(e.Values), e.Values)
}

// entryKey names an entry of the shared state.
type entryKey struct{ owner, key string }

// compareEntryKeys orders keys by owner, then by key.
func compareEntryKeys(x, y entryKey) int {
	return cmp.Or(cmp.Compare(x.owner, y.owner), cmp.Compare(x.key, y.key))
}

// entryPair is one entry at two processes; nil if a process does not have it.
type entryPair [2]*fleet.SharedEntryStatus

// rule returns the rule that settles the difference, "" if there is none.
func (p entryPair) rule() string {
	x, y := p[0], p[1]
	switch {
	case x == nil || y == nil:
		return "the missing entry is copied, or the other process learns that it was dropped"
	case x.Incarnation != y.Incarnation:
		return "the newer incarnation wins"
	case x.Sequence != y.Sequence:
		return "the larger sequence number wins"
	case !slices.Equal(x.Values, y.Values):
		return "both values are kept, and the more careful one applies"
	}
	return ""
}

// versionAndValue returns an entry as diff prints it, with the incarnation and the sequence number of its owner.
func versionAndValue(e *fleet.SharedEntryStatus) string {
	if e == nil {
		return "no entry"
	}
	return fmt.Sprintf("%d.%d %s", e.Incarnation, e.Sequence, entryValue(*e))
}

// diff prints the entries that differ between two processes, and the rule that settles each. If there are any, it returns an error with
// their number.
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
	differences := 0
	for _, key := range slices.SortedFunc(maps.Keys(pairs), compareEntryKeys) {
		pair := pairs[key]
		rule := pair.rule()
		if rule == "" {
			continue
		}
		differences++
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", key.owner, key.key, versionAndValue(pair[0]), versionAndValue(pair[1]), rule)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if differences > 0 {
		return fmt.Errorf("%d entries differ", differences)
	}
	_, err := fmt.Fprintln(s.out, "no entry differs")
	return err
}

// forgetEntryCmd withdraws an entry that the process itself has written.
type forgetEntryCmd struct {
	Key string `arg:"" help:"Withdraw the entry of this key, as 'tier state' shows it."`
	memberAddress
}

// Run implements the command.
func (c *forgetEntryCmd) Run(s *streams) error {
	return c.withOperator(func(ctx context.Context, o *fleet.Operator) error {
		if err := o.Forget(ctx, c.Key); err != nil {
			return err
		}
		_, err := fmt.Fprintf(s.out, "%s is withdrawn\n", c.Key)
		return err
	})
}

// operatorDecision selects the endpoint of a command that excludes it in all processes, or includes it again.
type operatorDecision struct {
	Pool   string `arg:"" help:"Select this pool."`
	Server string `arg:"" help:"Select this server, by its name in the pool's endpoint list."`
	memberAddress
}

// excludeCmd has all processes send no new requests to an endpoint.
type excludeCmd struct {
	operatorDecision
	Reason string `default:"ordered" help:"Record this reason with the order; 'tier state' shows it."`
}

// includeCmd withdraws the decision to exclude an endpoint.
type includeCmd struct{ operatorDecision }

// Run implements the command.
func (c *excludeCmd) Run(s *streams) error { return c.decide(s, c.Reason, false) }

// Run implements the command.
func (c *includeCmd) Run(s *streams) error { return c.decide(s, "", true) }

// decide has the consensus group record or withdraw the decision.
func (c *operatorDecision) decide(s *streams, value string, withdraw bool) error {
	key := gossip.PoolKey(consensus.OperatorKind, c.Pool, c.Server)
	if key == "" {
		return fmt.Errorf("%w: no order can be given on server %q of pool %q: the pool's name must not contain a slash, and 'order/POOL/SERVER' must be at most 200 bytes long", errInvalidInput, c.Server, c.Pool)
	}
	return c.withOperator(func(ctx context.Context, o *fleet.Operator) error {
		r, err := o.Command(ctx, consensus.DecisionCommand{Key: key, Value: value, Withdraw: withdraw})
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(s.out, "decision %d is recorded; 'tier state' shows whether a process has received it\n", r.Number)
		return err
	})
}
