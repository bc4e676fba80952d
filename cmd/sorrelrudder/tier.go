package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"sorrelrudder/internal/config"
	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/fleet"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
	"sorrelrudder/internal/zonefailover"
)

type tierCmd struct {
	Init    tierInitCmd   `cmd:"" help:"Found a fleet, once, at one member of its council that does not run: the others are admitted as they start."`
	Found   tierFoundCmd  `cmd:"" help:"Found a fleet whose council is in memory, once, at one member of the council that runs."`
	Status  tierStatusCmd `cmd:"" help:"What a process knows: its session, what it holds, who leads."`
	Members tierMembers   `cmd:"" help:"Who has a seat in the council, who votes, who listens."`
	Leases  tierLeases    `cmd:"" help:"Who holds and who waits for what."`
	Tasks   tierTasks     `cmd:"" help:"What became of the tasks' slots."`
	Lease   struct {
		Hold     tierHold     `cmd:"" help:"Hold a lease until SIGTERM or SIGINT: print its token once it is held. Exit 1 if it is lost. For scripts, as patching three hosts at a time."`
		Handover tierHandover `cmd:"" help:"Have the holder at ADDRESS give a lease to a member, as soon as nothing of its task is out."`
		Revoke   tierRevoke   `cmd:"" help:"Take a lease from its holder: it is free once the holder has surely stopped."`
	} `cmd:"" help:"Change a lease."`
	Task struct {
		Run tierTaskRun `cmd:"" help:"Have the next slot of a task done now, by whoever holds the task's lease."`
	} `cmd:"" help:"Have a task done."`
	State  tierState  `cmd:"" help:"What is shared among the members, as a process has it; --diff: what another has differently, and which rule will settle it."`
	Forget tierForget `cmd:"" help:"Have the process at ADDRESS take back what it says under a key."`
	Order  struct {
		Avoid tierAvoid `cmd:"" help:"Have all processes send nothing new to a server, until the order is lifted."`
		Lift  tierLift  `cmd:"" help:"Lift such an order."`
	} `cmd:"" help:"Orders on servers, which the council decides and all members carry out."`
	Zone struct {
		Status tierZoneStatus `cmd:"" help:"What is decided of each zone, and how far this process has followed."`
		Plan   tierZonePlan   `cmd:"" help:"What leaving a zone would do: which servers take nothing more, and how much more the others would have. Changes nothing."`
		Leave  tierZoneLeave  `cmd:"" help:"Have all processes leave a zone, until 'zone return' or 'zone auto'."`
		Return tierZoneReturn `cmd:"" help:"Have all processes use a zone wholly or up to a step, until 'zone leave' or 'zone auto'."`
		Auto   tierZoneAuto   `cmd:"" help:"Leave a zone to the fleet's own judgement again, from the step where it is."`
	} `cmd:"" help:"Leaving zones, and returning to them."`
	Member struct {
		Add     tierAdd     `cmd:"" help:"Let a member have a seat in the council."`
		Remove  tierRemove  `cmd:"" help:"Take a member's seat away."`
		Replace tierReplace `cmd:"" help:"Have a member's new store vote, and its former one no more. Only once that is gone for good."`
	} `cmd:"" help:"Change who has a seat in the council."`
}

type tierInitCmd struct {
	File string `arg:"" help:"The operator's file of the process."`
}

func (c *tierInitCmd) Run(s *streams) error {
	f, err := config.Load(c.File)
	if err != nil {
		return err
	}
	if f.Tier == nil || f.Tier.Store == "" {
		return fmt.Errorf("%s: no member of a council: [tier] with a store is missing", c.File)
	}
	store, err := fleet.OpenStore(f.Tier.Store, f.Tier.Name)
	if err != nil {
		return err
	}
	defer store.Close()
	if err := store.Found(f.Tier.Voters); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "founded the fleet %s at %s; seats for %s\n", store.Identity().Fleet, f.Tier.Name, strings.Join(f.Tier.Voters, ", "))
	return err
}

// asking is how a process is asked.
type asking struct {
	Address string        `arg:"" help:"The address of a member: any that runs."`
	Secret  string        `required:"" type:"existingfile" help:"The file of the tier's secret."`
	JSON    bool          `help:"Print JSON."`
	Timeout time.Duration `default:"5s" help:"How long an answer is waited for."`
}

func (a *asking) ask(do func(ctx context.Context, o *fleet.Operator) error) error {
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
func (a *asking) status(s *streams, table func(*fleet.Status, *tabwriter.Writer)) error {
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

type tierStatusCmd struct{ asking }

func (c *tierStatusCmd) Run(s *streams) error {
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

// fleetOf is the replicated state as the process knows it.
func fleetOf(st *fleet.Status, w *tabwriter.Writer) *consensus.StateMachine {
	if st.Voter == nil || st.Voter.StateMachine == nil {
		fmt.Fprintf(w, "%s has no seat in the council, or has not heard of its state yet: ask another\n", st.Name)
		return nil
	}
	return st.Voter.StateMachine
}

type tierMembers struct{ asking }

func (c *tierMembers) Run(s *streams) error {
	return c.status(s, func(st *fleet.Status, w *tabwriter.Writer) {
		f := fleetOf(st, w)
		if f == nil {
			return
		}
		fmt.Fprintln(w, "member\tidentity\tvotes\tformer identity")
		for _, name := range f.VoterNames {
			seat := f.Voters[name]
			if seat == nil {
				fmt.Fprintf(w, "%s\tnone yet\t\t\n", name)
				continue
			}
			votes := "no"
			if slices.Contains(st.Voter.Voters, seat.RaftID) {
				votes = "yes"
			}
			former := ""
			if seat.ReplacedID != 0 {
				former = fmt.Sprintf("%d, lost with its store", seat.ReplacedID)
			}
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", name, seat.RaftID, votes, former)
		}
	})
}

type tierLeases struct{ asking }

func (c *tierLeases) Run(s *streams) error {
	return c.status(s, func(st *fleet.Status, w *tabwriter.Writer) {
		f := fleetOf(st, w)
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

type tierTasks struct{ asking }

func (c *tierTasks) Run(s *streams) error {
	return c.status(s, func(st *fleet.Status, w *tabwriter.Writer) {
		f := fleetOf(st, w)
		if f == nil {
			return
		}
		fmt.Fprintln(w, "task\tslot\topen\tlast\tdone\trefused\tfailed\tunknown\tleft out")
		for _, name := range slices.Sorted(maps.Keys(f.Tasks.Tasks)) {
			p := f.Tasks.Tasks[name]
			fmt.Fprintf(w, "%s\t%d\t%v\t%s\t%d\t%d\t%d\t%d\t%d\n", name, p.Slot, p.Open, p.LastOutcome, p.OutcomeCounts["done"], p.OutcomeCounts["refused"],
				p.OutcomeCounts["failed"], p.OutcomeCounts["unknown"], p.Skipped)
		}
	})
}

type tierRevoke struct {
	Name string `arg:"" help:"The lease."`
	asking
	Token uint64 `help:"Only from the holder with this token; 0: from all that hold it."`
}

func (c *tierRevoke) Run(s *streams) error {
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

type tierState struct {
	asking
	Kind string `help:"Only of this kind: dead, order."`
	Diff string `help:"The address of another process to compare with."`
}

func (c *tierState) Run(s *streams) error {
	state := func(address string) (st *fleet.Status, err error) {
		a := c.asking
		a.Address = address
		err = a.ask(func(ctx context.Context, o *fleet.Operator) error {
			st, err = o.Status(ctx)
			return err
		})
		if err == nil && st.SharedState == nil {
			err = fmt.Errorf("%s shares no state: [tier.copies] is missing in its file", st.Name)
		}
		return st, err
	}
	one, err := state(c.Address)
	if err != nil {
		return err
	}
	if c.Diff != "" {
		other, err := state(c.Diff)
		if err != nil {
			return err
		}
		return c.diff(s, one, other)
	}
	k := one.SharedState
	k.Entries = slices.DeleteFunc(k.Entries, func(e fleet.SharedEntryStatus) bool { return c.Kind != "" && !strings.HasPrefix(e.Key, c.Kind+"/") })
	if c.JSON {
		return json.NewEncoder(s.out).Encode(k)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	ago := func(ms int64) string {
		if ms < 0 {
			return "not known yet"
		}
		return fmt.Sprintf("%d ms ago", ms)
	}
	fmt.Fprintf(w, "process\t%s, incarnation %d\nin step with another\t%s\nall decided is here as of\t%s\nown troubles\t%d of 8\n", one.Name, k.Incarnation, ago(k.InStepMs), ago(k.DecidedMs), k.Health)
	count := map[string]int{}
	for _, state := range k.Members {
		count[state]++
	}
	for _, state := range slices.Sorted(maps.Keys(count)) {
		fmt.Fprintf(w, "members %s\t%d\n", state, count[state])
	}
	for _, key := range k.Hints {
		fmt.Fprintf(w, "hinted at\t%s\n", key)
	}
	for _, pool := range k.NotApplied {
		fmt.Fprintf(w, "not carried out\torders of pool %s: no ready server would be left\n", pool)
	}
	fmt.Fprintln(w, "\nowner\tkey\tversion\tvalue")
	for _, e := range k.Entries {
		fmt.Fprintf(w, "%s\t%s\t%d.%d\t%s\n", e.Owner, e.Key, e.Incarnation, e.Sequence, valueOf(e))
	}
	return w.Flush()
}

func valueOf(e fleet.SharedEntryStatus) string {
	switch len(e.Values) {
	case 0:
		return "taken back"
	case 1:
		return cmp.Or(e.Values[0], "yes")
	}
	return fmt.Sprintf("%d contents of one version: %q", len(e.Values), e.Values)
}

// diff prints what two processes hold differently, and which rule settles it. Exit 1 if anything is.
func (c *tierState) diff(s *streams, a, b *fleet.Status) error {
	type at struct{ owner, key string }
	both := map[at][2]*fleet.SharedEntryStatus{}
	for i, st := range []*fleet.Status{a, b} {
		for n := range st.SharedState.Entries {
			e := &st.SharedState.Entries[n]
			if c.Kind != "" && !strings.HasPrefix(e.Key, c.Kind+"/") {
				continue
			}
			pair := both[at{e.Owner, e.Key}]
			pair[i] = e
			both[at{e.Owner, e.Key}] = pair
		}
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "owner\tkey\tat %s\tat %s\trule\n", a.Name, b.Name)
	differ := 0
	keys := slices.SortedFunc(maps.Keys(both), func(x, y at) int { return cmp.Or(cmp.Compare(x.owner, y.owner), cmp.Compare(x.key, y.key)) })
	for _, key := range keys {
		x, y := both[key][0], both[key][1]
		text := func(e *fleet.SharedEntryStatus) string {
			if e == nil {
				return "nothing"
			}
			return fmt.Sprintf("%d.%d %s", e.Incarnation, e.Sequence, valueOf(*e))
		}
		var rule string
		switch {
		case x == nil || y == nil:
			rule = "what one lacks it gets, or it was given up and the other is told"
		case x.Incarnation != y.Incarnation:
			rule = "the newer incarnation holds"
		case x.Sequence != y.Sequence:
			rule = "the larger number holds"
		case !slices.Equal(x.Values, y.Values):
			rule = "both contents are kept, and the careful one counts"
		default:
			continue
		}
		differ++
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", key.owner, key.key, text(x), text(y), rule)
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

type tierForget struct {
	Key string `arg:"" help:"The key, as 'tier state' shows it."`
	asking
}

func (c *tierForget) Run(s *streams) error {
	return c.ask(func(ctx context.Context, o *fleet.Operator) error {
		if err := o.Forget(ctx, c.Key); err != nil {
			return err
		}
		_, err := fmt.Fprintf(s.out, "%s is taken back\n", c.Key)
		return err
	})
}

type tierOrder struct {
	Pool   string `arg:"" help:"The pool."`
	Server string `arg:"" help:"The server, as the pool's list names it."`
	asking
}

type tierAvoid struct {
	tierOrder
	Reason string `default:"ordered" help:"Why, for whoever looks at it later."`
}

type tierLift struct{ tierOrder }

func (c *tierAvoid) Run(s *streams) error { return c.order(s, c.Reason, false) }
func (c *tierLift) Run(s *streams) error  { return c.order(s, "", true) }

func (c *tierOrder) order(s *streams, value string, lift bool) error {
	key := gossip.PoolKey(consensus.OperatorKind, c.Pool, c.Server)
	if key == "" {
		return fmt.Errorf("%w: no order can be given on the server %q of %q", errDay, c.Server, c.Pool)
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

type tierZoneStatus struct{ asking }

func (c *tierZoneStatus) Run(s *streams) error {
	return c.ask(func(ctx context.Context, o *fleet.Operator) error {
		st, err := zonesOf(ctx, o)
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

func zonesOf(ctx context.Context, o *fleet.Operator) (*fleet.Status, error) {
	st, err := o.Status(ctx)
	if err == nil && st.SharedState == nil {
		err = fmt.Errorf("%s shares no state: [tier.copies] is missing in its file", st.Name)
	}
	return st, err
}

type tierZone struct {
	Pool string `arg:"" help:"The pool."`
	Zone string `arg:"" help:"The zone, as the pool's list names it."`
	asking
	Force bool `help:"Also where the fleet would not do it itself; the log says who asked."`
}

// plan says what leaving a zone would do, by the list of the process that is asked.
func (c *tierZone) plan(st *fleet.Status) (of *fleet.ZoneStatus, rest int, err error) {
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

type tierZonePlan struct{ tierZone }

func (c *tierZonePlan) Run(s *streams) error {
	return c.ask(func(ctx context.Context, o *fleet.Operator) error {
		st, err := zonesOf(ctx, o)
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

type (
	tierZoneLeave  struct{ tierZone }
	tierZoneReturn struct {
		tierZone
		Step int `default:"4" help:"1: a tenth of the servers, 2: a quarter, 3: a half, 4: all."`
	}
	tierZoneAuto struct{ tierZone }
)

func (c *tierZoneLeave) Run(s *streams) error {
	return c.decide(s, func(_ *fleet.ZoneStatus, rest int) (zonefailover.State, error) {
		if rest == 0 && !c.Force {
			return zonefailover.State{}, fmt.Errorf("without %s no zone of %s would be wholly in use; nothing was changed (--force does it all the same)", c.Zone, c.Pool)
		}
		return zonefailover.State{Step: 0, Manual: true, Reason: "an operator"}, nil
	})
}

func (c *tierZoneReturn) Run(s *streams) error {
	return c.decide(s, func(z *fleet.ZoneStatus, _ int) (zonefailover.State, error) {
		switch {
		case c.Step < 1 || c.Step > zonefailover.FullStep:
			return zonefailover.State{}, fmt.Errorf("%w: step %d, outside 1 to %d", errDay, c.Step, zonefailover.FullStep)
		case c.Step > z.Step+1 && !c.Force:
			return zonefailover.State{}, fmt.Errorf("%s is at step %d: its servers may be cold, and %d at once is more than a step; nothing was changed (--force does it all the same)", c.Zone, z.Step, c.Step-z.Step)
		}
		return zonefailover.State{Step: c.Step, Manual: true, Reason: "an operator"}, nil
	})
}

func (c *tierZoneAuto) Run(s *streams) error {
	return c.decide(s, func(z *fleet.ZoneStatus, _ int) (zonefailover.State, error) {
		return zonefailover.State{Step: z.Step, Relapses: z.Relapses, Reason: "left to itself"}, nil
	})
}

func (c *tierZone) decide(s *streams, of func(z *fleet.ZoneStatus, rest int) (zonefailover.State, error)) error {
	return c.ask(func(ctx context.Context, o *fleet.Operator) error {
		st, err := zonesOf(ctx, o)
		if err != nil {
			return err
		}
		z, rest, err := c.plan(st)
		if err != nil {
			return err
		}
		next, err := of(z, rest)
		if err != nil {
			return err
		}
		if c.Force {
			next.Reason += ", by force"
		}
		r, err := o.Command(ctx, consensus.DecisionCommand{Key: gossip.PoolKey(consensus.ZoneKind, c.Pool, c.Zone), Value: next.Encode()})
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(s.out, "epoch %d: %s of %s is at step %d of %d\n", r.Number, c.Zone, c.Pool, next.Step, zonefailover.FullStep)
		return err
	})
}

type tierFoundCmd struct{ asking }

func (c *tierFoundCmd) Run(s *streams) error {
	return c.ask(func(ctx context.Context, o *fleet.Operator) error {
		if err := o.Bootstrap(ctx); err != nil {
			return err
		}
		_, err := fmt.Fprintln(s.out, "founded; the other members of the council are admitted as they ask")
		return err
	})
}

type tierHandover struct {
	Name string `arg:"" help:"The lease."`
	To   string `arg:"" help:"The member."`
	asking
}

func (c *tierHandover) Run(s *streams) error {
	return c.ask(func(ctx context.Context, o *fleet.Operator) error {
		if err := o.Handover(ctx, c.Name, c.To); err != nil {
			return err
		}
		_, err := fmt.Fprintf(s.out, "%s goes to %s as soon as nothing of it is out\n", c.Name, c.To)
		return err
	})
}

type tierSeat struct {
	Name string `arg:"" help:"The member."`
	asking
}

type (
	tierAdd     struct{ tierSeat }
	tierRemove  struct{ tierSeat }
	tierReplace struct{ tierSeat }
)

func (c *tierAdd) Run(s *streams) error     { return c.change(s, consensus.OpAdd) }
func (c *tierRemove) Run(s *streams) error  { return c.change(s, consensus.OpRemove) }
func (c *tierReplace) Run(s *streams) error { return c.change(s, consensus.OpReplace) }

func (c *tierSeat) change(s *streams, op consensus.VoterOp) error {
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

type tierTaskRun struct {
	Name string `arg:"" help:"The task."`
	asking
}

func (c *tierTaskRun) Run(s *streams) error {
	return c.ask(func(ctx context.Context, o *fleet.Operator) error {
		r, err := o.Request(ctx, consensus.Request{Task: &task.Command{Op: task.OpTrigger, Task: c.Name}})
		if err != nil {
			return err
		}
		if r.Task == nil {
			return fleet.ErrNoLeader
		}
		if r.Task.Refusal != "" {
			return fmt.Errorf("%s: %s", c.Name, r.Task.Refusal)
		}
		_, err = fmt.Fprintf(s.out, "%s: the slot after %d is done now\n", c.Name, r.Task.Record.Slot)
		return err
	})
}

type tierHold struct {
	Name string `arg:"" help:"The lease."`
	asking
	Limit int           `default:"1" help:"How many may hold it at once; all that ask must say the same."`
	Term  time.Duration `default:"3s" help:"The fleet's term, as its file has it."`
	Drift float64       `default:"0.01" help:"The fleet's bound on clocks."`
}

func (c *tierHold) Run(s *streams) error {
	r := lease.Timing{TTL: c.Term, MaxClockDrift: c.Drift, SafetyMargin: 50 * time.Millisecond}
	if err := r.Validate(); err != nil {
		return fmt.Errorf("%w: %w", errDay, err)
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
