package config

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/fleet"
	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/httpservice"
	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
	"sorrelrudder/internal/zonefailover"
	"sorrelrudder/policy"
)

// votersInMemoryConsent is what an operator has to write to have a council without disks.
const votersInMemoryConsent = "all promises are forgotten when most members end at once"

// readFleet reads the fleet that this process is of, and the fleet's tasks.
func (f *File) readFleet(r *reader) {
	s := f.root
	if !s.has("tier") {
		if s.has("tasks") {
			r.fail(s.nodeAt("tasks"), "are done once for a fleet: [tier] is missing")
		}
		return
	}
	t := s.table("tier")
	c := &fleet.Config{Name: t.requiredText("name"), Secret: t.requiredText("secret"), Store: t.text("store", ""), Voters: t.texts("council"), Members: map[string]string{}}
	c.Rules = lease.Timing{
		TTL: t.duration("term", 3*time.Second, 50*time.Millisecond, time.Hour), MaxClockDrift: t.number("drift", 0.01, 0, 0.2),
		SafetyMargin: t.duration("guard", 50*time.Millisecond, 0, time.Minute),
	}
	c.Tick = t.duration("tick", 100*time.Millisecond, time.Millisecond, 10*time.Second)
	addresses := map[string]int{}
	zones := map[string]string{}
	for _, m := range t.tables("members") {
		name, address := m.requiredText("name"), m.requiredText("address")
		zones[name] = m.text("zone", "")
		m.finish()
		if address != "" {
			r.checkAddress(m.nodeAt("address"), address, false)
		}
		if _, had := c.Members[name]; had && name != "" {
			r.fail(m.nodeAt("name"), "member %q is there twice", name)
		}
		if line, had := addresses[address]; had && address != "" {
			r.fail(m.nodeAt("address"), "is %s, as that of the member in line %d", address, line)
		}
		if len(name) > lease.MaxNameLen || name == "operator" {
			r.fail(m.nodeAt("name"), "%q can't be the name of a member", name)
		}
		addresses[address] = m.node.line
		c.Members[name] = address
	}
	if t.has("council_in_memory") {
		if t.text("council_in_memory", "") != votersInMemoryConsent {
			r.fail(t.nodeAt("council_in_memory"), "is to be %q, which says what is given up", votersInMemoryConsent)
		}
		c.VotersInMemory = true
	}
	if t.has("copies") {
		k := t.table("copies")
		c.SharedState = &fleet.SharedStateConfig{
			Gossip: k.duration("gossip", 100*time.Millisecond, 10*time.Millisecond, 10*time.Second), Fanout: int(k.integer("fanout", 3, 1, 16)),
			Probe: k.duration("probe", 500*time.Millisecond, 50*time.Millisecond, time.Minute), Sync: k.duration("sync", 2*time.Second, 100*time.Millisecond, time.Hour),
			Keep: k.duration("keep", 30*time.Second, time.Second, 24*time.Hour), Witnesses: int(k.integer("witnesses", 2, 1, 100)),
			Budget: float64(k.integer("catch_up_bytes", 1<<20, 4<<10, 1<<30)), Store: k.text("store", ""),
		}
		c.SharedState.Figures = f.Gateway.StatsInterval
		k.finish()
		if c.SharedState.Probe < 2*c.SharedState.Gossip {
			r.fail(k.nodeAt("probe"), "is %v, below two rounds of gossip of %v: answers would come too late", c.SharedState.Probe, c.SharedState.Gossip)
		}
		if c.SharedState.Store != "" && c.SharedState.Store == c.Store {
			r.fail(k.nodeAt("store"), "is that of the council: what is shared needs a file of its own")
		}
	}
	if t.has("zones") {
		z := t.table("zones")
		usual := zonefailover.DefaultRules()
		c.Zones = &fleet.ZonesConfig{Automatic: z.choice("automatic", fleet.ZonesAdvise, fleet.ZonesOff, fleet.ZonesAdvise, fleet.ZonesOn), Members: zones, Rules: zonefailover.Rules{
			UnreachableThreshold: z.number("down", usual.UnreachableThreshold, 0.01, 1), MaxUnreachableElsewhere: z.number("others", usual.MaxUnreachableElsewhere, 0, 1), MinRemainingCapacity: z.number("least", usual.MinRemainingCapacity, 0, 0.99),
			StepDuration: z.duration("step", usual.StepDuration, 100*time.Millisecond, time.Hour), HoldDown: z.duration("hold", usual.HoldDown, 100*time.Millisecond, time.Hour),
			MaxHoldDown: z.duration("hold_most", usual.MaxHoldDown, 100*time.Millisecond, 24*time.Hour), HealthQuorum: int(z.integer("looks", int64(usual.HealthQuorum), 1, 5)), GrayFailures: z.boolean("grey", usual.GrayFailures),
		}}
		for _, p := range f.Gateway.Pools { // so long the fleet takes what it returns to for cold
			c.Zones.Rules.WarmUp = max(c.Zones.Rules.WarmUp, p.Settings.Config.SlowStartDuration)
		}
		z.finish()
		if c.SharedState == nil {
			r.fail(z.node, "needs [tier.copies]: what members see of servers is what it goes by")
		}
		if err := c.Zones.Check(); err != nil {
			r.fail(z.node, "%v", err)
		}
	}
	most := int(t.integer("tasks_at_once", 0, 0, task.MaxTasks))
	t.finish()
	if c.Name != "" && c.Members[c.Name] == "" {
		r.fail(t.nodeAt("name"), "%q is none of [[tier.members]]", c.Name)
	}
	switch n := len(c.Voters); {
	case n == 0:
		r.fail(t.nodeAt("council"), "is empty: name three, five or seven members that vote")
	case n%2 == 0:
		r.fail(t.nodeAt("council"), "has %d members: an even number bears no more failures than one less, and is slower", n)
	case n > consensus.MaxVoters:
		r.fail(t.nodeAt("council"), "has %d members, more than %d", n, consensus.MaxVoters)
	}
	for i, name := range c.Voters {
		if slices.Contains(c.Voters[:i], name) {
			r.fail(t.nodeAt("council"), "names %q twice", name)
		}
		if c.Members[name] == "" {
			r.fail(t.nodeAt("council"), "names %q, which is none of [[tier.members]]", name)
		}
	}
	seated := slices.Contains(c.Voters, c.Name)
	if c.VotersInMemory && c.Store != "" {
		r.fail(t.nodeAt("store"), "can't be together with council_in_memory: it would not be used")
	}
	if seated && c.Store == "" && !c.VotersInMemory {
		r.fail(t.nodeAt("store"), "is missing: this process is in the council, and what it promises there has to outlive it")
	}
	if !seated && c.Store != "" {
		r.fail(t.nodeAt("store"), "is for members of the council, which %q is not", c.Name)
	}
	if err := c.Rules.Validate(); err != nil {
		r.fail(t.nodeAt("term"), "%v", err)
	}
	if c.Rules.TTL < 10*c.Tick {
		r.fail(t.nodeAt("term"), "is %v, below ten ticks of %v: each election would end all leases", c.Rules.TTL, c.Tick)
	}
	named := map[string]bool{}
	for _, section := range s.tables("tasks") {
		k := r.task(section, f.Gateway.Pools)
		k.MaxClockDrift, k.MaxOpen = c.Rules.MaxClockDrift, most
		if named[k.Name] && k.Name != "" {
			r.fail(section.nodeAt("name"), "task %q is there twice", k.Name)
		}
		named[k.Name] = true
		c.Tasks = append(c.Tasks, k)
	}
	if len(c.Tasks) > task.MaxTasks {
		r.fail(s.nodeAt("tasks"), "are %d, more than %d", len(c.Tasks), task.MaxTasks)
	}
	f.Fleet = c
}

var missedPolicies = map[string]task.MissedPolicy{"skip": task.MissedSkip, "once": task.MissedRunNewest, "each": task.MissedRunEach}

// task reads one task. Its class, and with it what doing it twice would do, is that of its path in its pool.
func (r *reader) task(s *section, pools []gateway.Pool) fleet.Task {
	k := fleet.Task{Pool: s.requiredText("pool"), Path: s.requiredText("path"), Tenant: s.text("tenant", ""), Body: s.text("body", "")}
	k.Name = s.requiredText("name")
	k.Interval = s.duration("every", 24*time.Hour, 10*time.Millisecond, 366*day)
	k.Offset = s.duration("at", 0, 0, day)
	k.Spread = s.duration("spread", 0, 0, 366*day)
	k.Missed = missedPolicies[s.choice("missed", "once", "skip", "once", "each")]
	k.Deadline = s.duration("deadline", time.Second, time.Millisecond, time.Hour)
	k.MaxAttempts = int(s.integer("tries", 3, 1, 100))
	k.Method = s.choice("method", http.MethodPost, http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete)
	k.Host = s.text("host", "")
	k.Priority = int(s.integer("priority", 0, -100, 100))
	if s.has("budget") {
		b := s.table("budget")
		k.Budget = task.Budget{
			Period: b.duration("per", 24*time.Hour, time.Second, 366*day), MaxRequests: b.integer("requests", 0, 0, 1<<40), MaxRequestTime: b.duration("time", 0, 0, 366*day),
		}
		b.finish()
	}
	s.finish()
	if len(k.Name) > lease.MaxNameLen-len("task/") || strings.ContainsAny(k.Name, "\r\n/") {
		r.fail(s.nodeAt("name"), "%q can't be the name of a task", k.Name)
	}
	if k.Path != "" && (!strings.HasPrefix(k.Path, "/") || strings.ContainsAny(k.Path, " \r\n")) {
		r.fail(s.nodeAt("path"), "is %q, which is no path", k.Path)
	}
	var names []string
	at := -1
	for i, p := range pools {
		if names = append(names, p.Name); p.Name == k.Pool {
			at = i
		}
	}
	if at < 0 {
		if k.Pool != "" {
			r.checkKnown(s.nodeAt("pool"), "pool", k.Pool, names)
		}
		return k
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(k.Path, "/"), "/")
	if d, ok := pools[at].Dialect.(*httpservice.Dialect); ok {
		// By the pool's rules, as a client's request of that head would be; of a keyed class tasks always bear a key.
		path, _, _ := strings.Cut(k.Path, "?")
		class = d.Class(k.Method, cmp.Or(k.Host, k.Pool), path, http.Header{"Idempotency-Key": {"a task's"}})
		k.Plain = true
	} else if k.Host != "" {
		r.fail(s.nodeAt("host"), "means something to pools of plain HTTP only, which %q is not", k.Pool)
	}
	names = nil
	var of *policy.Class
	for i := range pools[at].Settings.Config.Classes {
		c := &pools[at].Settings.Config.Classes[i]
		if names = append(names, c.Name); c.Name == class {
			of = c
		}
	}
	if of == nil {
		r.checkKnown(s.nodeAt("path"), "class", class, names)
		return k
	}
	k.Idempotency, k.DedupWindow = task.Idempotency(of.Idempotency), of.DedupWindow
	if !k.Plain && (of.Idempotency == policy.Idempotent) != (k.Method == http.MethodGet) {
		r.fail(s.nodeAt("method"), "is %s, and the class %q is %s", k.Method, class, [...]string{"safe", "keyed", "unsafe"}[of.Idempotency])
	}
	if err := k.Validate(); err != nil {
		r.fail(s.node, "%v", err)
	}
	return k
}
