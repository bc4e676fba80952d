package config

import (
	"slices"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/fleet"
	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
	"sorrelrudder/internal/zonefailover"
)

const (
	// votersInMemoryConsent is what an operator has to write for voters without a store.
	votersInMemoryConsent = "all promises are forgotten when most members end at once"
	// reservedMemberName is what operators' commands are sent under.
	reservedMemberName = "operator"
	// minTicksOfTTL is how many ticks of the consensus group a lease must outlast: an election takes some.
	minTicksOfTTL = 10
)

// readFleet reads the fleet that this process is in, and the fleet's tasks.
func (f *File) readFleet(r *reader) {
	root := f.root
	if !root.has("tier") {
		if root.has("tasks") {
			r.fail(root.nodeAt("tasks"), "are done once for a fleet: [tier] is missing")
		}
		return
	}
	s := root.table("tier")
	c := &fleet.Config{
		Name:    s.requiredText("name"),
		Secret:  s.requiredText("secret"),
		Store:   s.text("store", ""),
		Voters:  s.texts("council"),
		Members: map[string]string{},
	}
	c.LeaseTiming = lease.Timing{
		TTL:           s.duration("term", 3*time.Second, 50*time.Millisecond, time.Hour),
		MaxClockDrift: s.number("drift", 0.01, 0, 0.2),
		SafetyMargin:  s.duration("guard", 50*time.Millisecond, 0, time.Minute),
	}
	c.Tick = s.duration("tick", 100*time.Millisecond, time.Millisecond, 10*time.Second)
	zones := r.members(s, c)
	if s.has("council_in_memory") {
		if s.text("council_in_memory", "") != votersInMemoryConsent {
			r.fail(s.nodeAt("council_in_memory"), "is to be %q, which says what is given up", votersInMemoryConsent)
		}
		c.VotersInMemory = true
	}
	if s.has("copies") {
		f.readSharedState(r, s.table("copies"), c)
	}
	if s.has("zones") {
		f.readZones(r, s.table("zones"), c, zones)
	}
	maxTasksOpen := int(s.integer("tasks_at_once", 0, 0, task.MaxTasks))
	s.finish()
	r.checkVoters(s, c)
	r.checkStore(s, c)
	r.checkTiming(s, c)
	f.readTasks(r, c, maxTasksOpen)
	f.Fleet = c
}

// members reads the members of a fleet, and returns the zone of each by its name.
func (r *reader) members(s *section, c *fleet.Config) map[string]string {
	lines := map[string]int{} // of members, by address
	zones := map[string]string{}
	for _, m := range s.tables("members") {
		name, address := m.requiredText("name"), m.requiredText("address")
		zones[name] = m.text("zone", "")
		m.finish()
		if address != "" {
			r.checkAddress(m.nodeAt("address"), address, dialAddress)
		}
		if _, had := c.Members[name]; had && name != "" {
			r.fail(m.nodeAt("name"), "member %q is there twice", name)
		}
		if line, had := lines[address]; had && address != "" {
			r.fail(m.nodeAt("address"), "is %s, as that of the member in line %d", address, line)
		}
		if len(name) > lease.MaxNameLen || name == reservedMemberName {
			r.fail(m.nodeAt("name"), "%q can't be the name of a member", name)
		}
		lines[address] = m.node.line
		c.Members[name] = address
	}
	return zones
}

// readSharedState reads how the members share state by gossip.
func (f *File) readSharedState(r *reader, s *section, c *fleet.Config) {
	shared := &fleet.SharedStateConfig{
		GossipInterval: s.duration("gossip", 100*time.Millisecond, 10*time.Millisecond, 10*time.Second),
		Fanout:         int(s.integer("fanout", 3, 1, 16)),
		PingInterval:   s.duration("probe", 500*time.Millisecond, 50*time.Millisecond, time.Minute),
		SyncInterval:   s.duration("sync", 2*time.Second, 100*time.Millisecond, time.Hour),
		DeadRetention:  s.duration("keep", 30*time.Second, time.Second, 24*time.Hour),
		ReporterQuorum: int(s.integer("witnesses", 2, 1, 100)),
		CatchUpBudget:  float64(s.integer("catch_up_bytes", 1<<20, 4<<10, 1<<30)),
		Store:          s.text("store", ""),
		StatsInterval:  f.Gateway.StatsInterval,
	}
	s.finish()
	if shared.PingInterval < 2*shared.GossipInterval {
		r.fail(s.nodeAt("probe"), "is %v, below two rounds of gossip of %v: answers would come too late", shared.PingInterval, shared.GossipInterval)
	}
	if shared.Store != "" && shared.Store == c.Store {
		r.fail(s.nodeAt("store"), "is that of the council: what is shared needs a file of its own")
	}
	c.SharedState = shared
}

// readZones reads the rules by which the fleet leaves a zone and returns to it. zones are those of the members.
func (f *File) readZones(r *reader, s *section, c *fleet.Config, zones map[string]string) {
	defaults := zonefailover.DefaultRules()
	c.Zones = &fleet.ZonesConfig{
		Automatic: s.choice("automatic", fleet.ZonesAdvise, fleet.ZonesOff, fleet.ZonesAdvise, fleet.ZonesOn),
		Members:   zones,
		Rules: zonefailover.Rules{
			UnreachableThreshold:    s.number("down", defaults.UnreachableThreshold, 0.01, 1),
			MaxUnreachableElsewhere: s.number("others", defaults.MaxUnreachableElsewhere, 0, 1),
			MinRemainingCapacity:    s.number("least", defaults.MinRemainingCapacity, 0, 0.99),
			StepDuration:            s.duration("step", defaults.StepDuration, 100*time.Millisecond, time.Hour),
			HoldDown:                s.duration("hold", defaults.HoldDown, 100*time.Millisecond, time.Hour),
			MaxHoldDown:             s.duration("hold_most", defaults.MaxHoldDown, 100*time.Millisecond, 24*time.Hour),
			HealthQuorum:            int(s.integer("looks", int64(defaults.HealthQuorum), 1, 5)),
			GrayFailures:            s.boolean("grey", defaults.GrayFailures),
		},
	}
	// The endpoints of a zone that is returned to warm up as long as new ones do.
	for _, p := range f.Gateway.Pools {
		c.Zones.Rules.WarmUp = max(c.Zones.Rules.WarmUp, p.Settings.Config.SlowStartDuration)
	}
	s.finish()
	if c.SharedState == nil {
		r.fail(s.node, "needs [tier.copies]: what members see of servers is what it goes by")
	}
	if err := c.Zones.Check(); err != nil {
		r.fail(s.node, "%v", err)
	}
}

// checkVoters checks that this process and the voters are members, and that the voters can form a quorum.
func (r *reader) checkVoters(s *section, c *fleet.Config) {
	if c.Name != "" && c.Members[c.Name] == "" {
		r.fail(s.nodeAt("name"), "%q is none of [[tier.members]]", c.Name)
	}
	switch n := len(c.Voters); {
	case n == 0:
		r.fail(s.nodeAt("council"), "is empty: name three, five or seven members that vote")
	case n%2 == 0:
		r.fail(s.nodeAt("council"), "has %d members: an even number bears no more failures than one less, and is slower", n)
	case n > consensus.MaxVoters:
		r.fail(s.nodeAt("council"), "has %d members, more than %d", n, consensus.MaxVoters)
	}
	for i, name := range c.Voters {
		if slices.Contains(c.Voters[:i], name) {
			r.fail(s.nodeAt("council"), "names %q twice", name)
		}
		if c.Members[name] == "" {
			r.fail(s.nodeAt("council"), "names %q, which is none of [[tier.members]]", name)
		}
	}
}

// checkStore checks that a voter, and only a voter, has a store, unless the voters keep their state in memory.
func (r *reader) checkStore(s *section, c *fleet.Config) {
	isVoter := slices.Contains(c.Voters, c.Name)
	if c.VotersInMemory && c.Store != "" {
		r.fail(s.nodeAt("store"), "can't be together with council_in_memory: it would not be used")
	}
	if isVoter && c.Store == "" && !c.VotersInMemory {
		r.fail(s.nodeAt("store"), "is missing: this process is in the council, and what it promises there has to outlive it")
	}
	if !isVoter && c.Store != "" {
		r.fail(s.nodeAt("store"), "is for members of the council, which %q is not", c.Name)
	}
}

func (r *reader) checkTiming(s *section, c *fleet.Config) {
	if err := c.LeaseTiming.Validate(); err != nil {
		r.fail(s.nodeAt("term"), "%v", err)
	}
	if c.LeaseTiming.TTL < minTicksOfTTL*c.Tick {
		r.fail(s.nodeAt("term"), "is %v, below ten ticks of %v: each election would end all leases", c.LeaseTiming.TTL, c.Tick)
	}
}
