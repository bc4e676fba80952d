package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zonefailover"
	"sorrelrudder/internal/zoneview"
)

// reporterQuorum is the number of members that must report a server before it counts as unreachable.
const reporterQuorum = 2

// zoneMember is a process's state for zone failover.
type zoneMember struct {
	reports     *gossip.FailureReports
	controller  *zonefailover.Controller // nil if the process does not hold the lease
	submittedAt time.Duration            // when the pending decision was submitted, by the process's clock; below 0: none is pending
	checks      map[string]bool          // keys of the entries with the results of its zone checks
	round       int                      // number of the current round of zone checks
	decisionIDs string                   // decisions for which the observer has already checked the excluded servers
}

func newZoneMember() *zoneMember {
	return &zoneMember{reports: gossip.NewFailureReports(reporterQuorum), submittedAt: -1, checks: map[string]bool{}}
}

// zoneRules returns the rules of zone failover. Their durations are short, so that recoveries and relapses fit into a run.
func zoneRules() zonefailover.Rules {
	r := zonefailover.DefaultRules()
	r.StepDuration = 300 * time.Millisecond
	r.HoldDown = 500 * time.Millisecond
	r.MaxHoldDown = 2 * time.Second
	r.WarmUp = 900 * time.Millisecond
	return r
}

// zoneRulesWithBug returns the rules as changed by the injected bug, if any.
func (s *simulation) zoneRulesWithBug() zonefailover.Rules {
	r := zoneRules()
	switch s.options.Bug {
	case BugNoWarmUp:
		r.WarmUp = 1
	case BugIgnoreRemainingCapacity:
		r.MinRemainingCapacity, r.MaxUnreachableElsewhere = 0, 0.59
	}
	return r
}

// zone returns the index of the process's zone.
func (p *process) zone() int { return p.index % zoneCount }

// memberZones returns the zone of each process, by the name of the process.
func (s *simulation) memberZones() map[string]string {
	zones := map[string]string{}
	for _, p := range s.processes {
		zones[p.name] = zoneName(p.zone())
	}
	return zones
}

// excludedServers returns the servers that the process excludes by the zone decisions it holds.
func (p *process) excludedServers() map[string]bool {
	servers := p.simulation.servers.zones
	if p.simulation.options.Bug == BugLocalRanking {
		return p.excludedByLocalRanking(servers)
	}
	excluded, _, _ := zoneview.Exclusions(p.shared.node, poolName, servers)
	return excluded
}

// excludedByLocalRanking returns the excluded servers as BugLocalRanking determines them: each process ranks the servers of a zone in a
// different order.
func (p *process) excludedByLocalRanking(servers map[string]string) map[string]bool {
	ranked, original := map[string]string{}, map[string]string{}
	for server, zone := range servers {
		alias := fmt.Sprint(zone, (int(server[1]-'0')+p.index)%serversPerZone)
		ranked[alias], original[alias] = zone, server
	}
	excluded, _, _ := zoneview.Exclusions(p.shared.node, poolName, ranked)
	local := map[string]bool{}
	for alias := range excluded {
		local[original[alias]] = true
	}
	return local
}

// observeZones reports unreachable servers, checks the zones assigned to the process, decides on zones if the process holds the lease, and
// schedules its next call.
func (p *process) observeZones() {
	now := p.clock()
	p.reportServers(now)
	p.checkZones()
	p.decideZones(now)
	p.sharedStateChanged()
	p.schedule(150*time.Millisecond+time.Duration(p.simulation.gossipRandom.IntN(200))*time.Millisecond, p.observeZones)
}

// reportServers tries each server in use with probability one half, and records in the process's failure reports whether the server
// responds. It withdraws the reports on excluded servers.
func (p *process) reportServers(now time.Duration) {
	s, member, node := p.simulation, p.shared.zoneFailover, p.shared.node
	excluded := p.excludedServers()
	for _, server := range slices.Sorted(maps.Keys(s.servers.zones)) {
		key := gossip.PoolKey(gossip.UnreachableKind, poolName, server)
		if excluded[server] {
			member.reports.Record(now, node, key, false)
		} else if s.gossipRandom.IntN(2) == 0 {
			member.reports.Record(now, node, key, !s.servers.answers(server, p.zone()))
		}
	}
}

// checkZones runs the health checks that are assigned to the process, writes their results to the shared state, and deletes the results of
// checks that are no longer assigned.
func (p *process) checkZones() {
	s, member, node := p.simulation, p.shared.zoneFailover, p.shared.node
	member.round++
	rules := s.zoneRulesWithBug()
	assigned := zoneview.AssignedChecks(node, &rules, s.memberZones(), p.name, poolName, s.servers.zones, member.round)
	current := map[string]bool{}
	for _, zone := range slices.Sorted(maps.Keys(assigned)) {
		healthy := 0
		for _, server := range assigned[zone] {
			if s.servers.answers(server, p.zone()) {
				healthy++
			}
		}
		key := gossip.PoolKey(zoneview.ZoneCheckKind, poolName, zone)
		current[key] = true
		node.Put(key, zoneview.EncodeZoneCheck(healthy, len(assigned[zone])))
		member.checks[key] = true
	}
	for _, key := range slices.Sorted(maps.Keys(member.checks)) {
		if !current[key] {
			node.Delete(key)
			delete(member.checks, key)
		}
	}
}

// decideZones submits the next transition of a zone's state, if there is one and the process holds the lease.
func (p *process) decideZones(now time.Duration) {
	s, member := p.simulation, p.shared.zoneFailover
	token, _, held := p.session.Token(now, zoneview.LeaseName)
	withoutLease := s.options.Bug == BugMinorityDecides && !held && p.session.SessionID() != 0 && now >= p.session.ValidUntil()
	if (!held || p.leaving) && !withoutLease {
		member.controller, member.submittedAt = nil, -1
		return
	}
	if member.controller == nil {
		member.controller = zonefailover.NewController(s.zoneRulesWithBug())
	}
	snapshot := zoneview.Snapshot(p.shared.node, s.memberZones(), poolName, s.servers.zones)
	if s.options.Bug == BugWallClockRamp { // jumps forward by 400 ms every 700 ms
		now += s.Now() / (700 * time.Millisecond) * 400 * time.Millisecond
	}
	s.applySnapshotBug(&snapshot)
	change, _ := member.controller.Next(now, snapshot)
	if change == nil || member.submittedAt >= 0 && p.clock() < member.submittedAt+leaseTiming.KeepAliveInterval() {
		return
	}
	if s.options.Bug == BugNoRelapse && change.State.Relapses > snapshot.States[change.Zone].Relapses {
		return
	}
	command := zoneview.ShiftCommand(p.shared.node, poolName, *change, token)
	if withoutLease {
		p.shared.node.ApplyDecision(command.Key, command.BasedOn+1, []byte(command.Value))
		return
	}
	p.submitZoneDecision(command)
}

// submitZoneDecision submits a decision to the consensus group, and applies it to the shared state when the group has accepted it.
func (p *process) submitZoneDecision(command consensus.DecisionCommand) {
	member, node := p.shared.zoneFailover, p.shared.node
	member.submittedAt = p.clock()
	p.call(consensus.Request{Decision: &command}, func(r consensus.Response) {
		member.submittedAt = -1
		if r.Decision != nil && r.Decision.Refusal == "" && p.shared != nil && p.shared.node == node {
			node.ApplyDecision(command.Key, r.Decision.Number, []byte(command.Value))
			p.sharedStateChanged()
		}
	})
}

// applySnapshotBug changes the lease holder's view of the zones as the injected bug requires.
func (s *simulation) applySnapshotBug(snapshot *zonefailover.Snapshot) {
	switch s.options.Bug {
	case BugRampIgnoresChecks:
		falsifyZoneChecks(snapshot)
	case BugMinorityDecides:
		snapshot.FleetSize = len(snapshot.MemberZones)
	}
}

// falsifyZoneChecks replaces the zone checks of zones that are not wholly in service: all members find them healthy.
func falsifyZoneChecks(snapshot *zonefailover.Snapshot) {
	shifted := func(zone string) bool {
		state, decided := snapshot.States[zone]
		return decided && state.Step < zonefailover.FullStep
	}
	snapshot.ZoneChecks = slices.DeleteFunc(snapshot.ZoneChecks, func(c zonefailover.ZoneCheck) bool { return shifted(c.Zone) })
	for _, member := range slices.Sorted(maps.Keys(snapshot.MemberZones)) {
		for zone := range zoneCount {
			if shifted(zoneName(zone)) {
				check := zonefailover.ZoneCheck{Member: member, Zone: zoneName(zone), AllHealthy: true}
				snapshot.ZoneChecks = append(snapshot.ZoneChecks, check)
			}
		}
	}
}
