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
	// votersInMemoryConsent is the only valid value of council_in_memory. It states the risk of voters without a store, so that an operator
	// who sets the key has read it.
	votersInMemoryConsent = "all promises are forgotten when most members end at once"
	// reservedMemberName is the sender name of operators' commands.
	reservedMemberName = "operator"
	// minTicksPerTTL is the minimum TTL of a lease in ticks of the consensus group. A lease must outlast an election, which takes several
	// ticks.
	minTicksPerTTL = 10
)

// readFleet reads the fleet that this process is a member of, and the tasks of the fleet.
func (f *File) readFleet(r *reader) {
	root := f.root
	if !root.has("tier") {
		if root.has("tasks") {
			r.fail(root.nodeAt("tasks"), "requires the table [tier]: tasks run once for the whole fleet")
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
			r.fail(s.nodeAt("council_in_memory"), "must be %q, which states the risk of voters without a store", votersInMemoryConsent)
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

// members reads the members of a fleet. It returns the zones of the members by member name.
func (r *reader) members(s *section, c *fleet.Config) map[string]string {
	lines := map[string]int{} // lines of members by address
	zones := map[string]string{}
	for _, m := range s.tables("members") {
		name, address := m.requiredText("name"), m.requiredText("address")
		zones[name] = m.text("zone", "")
		m.finish()
		if address != "" {
			r.checkAddress(m.nodeAt("address"), address, dialAddress)
		}
		if _, exists := c.Members[name]; exists && name != "" {
			r.fail(m.nodeAt("name"), "duplicate member %q", name)
		}
		if line, exists := lines[address]; exists && address != "" {
			r.fail(m.nodeAt("address"), "%s is already the address of the member in line %d", address, line)
		}
		if len(name) > lease.MaxNameLen || name == reservedMemberName {
			r.fail(m.nodeAt("name"), "%q is not allowed as the name of a member: it is reserved or too long", name)
		}
		lines[address] = m.node.line
		c.Members[name] = address
	}
	return zones
}

// readSharedState reads the settings of the state that the members share by gossip.
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
		r.fail(s.nodeAt("probe"), "%v is less than twice the gossip interval of %v: responses to probes would arrive too late", shared.PingInterval, shared.GossipInterval)
	}
	if shared.Store != "" && shared.Store == c.Store {
		r.fail(s.nodeAt("store"), "must differ from the store in [tier]: the shared state needs a separate file")
	}
	c.SharedState = shared
}

// readZones reads the rules for failing over from a zone and back to it. zones are the zones of the members by member name.
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
	// After failback to a zone, its endpoints warm up for as long as new endpoints do: the longest slow start of all pools.
	for _, p := range f.Gateway.Pools {
		c.Zones.Rules.WarmUp = max(c.Zones.Rules.WarmUp, p.Settings.Config.SlowStartDuration)
	}
	s.finish()
	if c.SharedState == nil {
		r.fail(s.node, "requires the table [tier.copies]: zone failover depends on the server state that members share")
	}
	if err := c.Zones.Check(); err != nil {
		r.fail(s.node, "%v", err)
	}
}

// checkVoters checks that this process and the voters are members, and that the number of voters is odd and at most consensus.MaxVoters.
func (r *reader) checkVoters(s *section, c *fleet.Config) {
	if c.Name != "" && c.Members[c.Name] == "" {
		r.fail(s.nodeAt("name"), "%q is not listed in [[tier.members]]", c.Name)
	}
	switch n := len(c.Voters); {
	case n == 0:
		r.fail(s.nodeAt("council"), "at least one voter is required: list three, five or seven members")
	case n%2 == 0:
		r.fail(s.nodeAt("council"), "has %d members, expected an odd number: an even number tolerates no more failures than the odd number below it, and is slower", n)
	case n > consensus.MaxVoters:
		r.fail(s.nodeAt("council"), "has %d members, more than the maximum of %d", n, consensus.MaxVoters)
	}
	for i, name := range c.Voters {
		if slices.Contains(c.Voters[:i], name) {
			r.fail(s.nodeAt("council"), "duplicate voter %q", name)
		}
		if c.Members[name] == "" {
			r.fail(s.nodeAt("council"), "voter %q is not listed in [[tier.members]]", name)
		}
	}
}

// checkStore checks that a voter has a store and that any other member has none. If the voters keep their state in memory, they have none
// either.
func (r *reader) checkStore(s *section, c *fleet.Config) {
	isVoter := slices.Contains(c.Voters, c.Name)
	if c.VotersInMemory && c.Store != "" {
		r.fail(s.nodeAt("store"), "must not be set together with council_in_memory: the store would not be used")
	}
	if isVoter && c.Store == "" && !c.VotersInMemory {
		r.fail(s.nodeAt("store"), "required key is missing: this process is a voter, and its votes and log entries must survive a restart")
	}
	if !isVoter && c.Store != "" {
		r.fail(s.nodeAt("store"), "allowed only for members of the council: %q is not one of them", c.Name)
	}
}

// checkTiming checks the timing of leases, also against the duration of an election.
func (r *reader) checkTiming(s *section, c *fleet.Config) {
	if err := c.LeaseTiming.Validate(); err != nil {
		r.fail(s.nodeAt("term"), "%v", err)
	}
	if c.LeaseTiming.TTL < minTicksPerTTL*c.Tick {
		r.fail(s.nodeAt("term"), "%v is less than ten ticks of %v: all leases would expire during an election", c.LeaseTiming.TTL, c.Tick)
	}
}
