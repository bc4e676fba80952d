// Package zoneview stands between what processes share and what is decided of zones: it reads the scene that evacuate judges out of the copies, says
// which servers a process leaves out by what was decided, who looks at a zone that was left, and what the holder of the lease asks the council. It
// has no I/O and no clock, so that the same code runs in the program and in virtual time.
package zoneview

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zonefailover"
)

const (
	// LeaseName is that whose holder decides.
	LeaseName = "zones"
	// ZoneCheckKind is that of entries which tell whether a member gets answers from a zone that is not wholly in use: "look/POOL/ZONE".
	ZoneCheckKind = "look"
	// GrayFailureKind is that of entries which tell that a zone fails in part to a member: "grey/POOL/ZONE".
	GrayFailureKind = "grey"
	// MaxCheckers is how many members look at a zone, at most, all together.
	MaxCheckers = 5

	// EndpointsPerCheck is at how many servers of a zone a member looks at once, of as many as there are.
	EndpointsPerCheck = 3

	allHealthy, someHealthy, noneHealthy = "1", "p", "0"
)

// EncodeZoneCheck is what a member writes of its look: so many servers have answered, of so many.
func EncodeZoneCheck(answered, of int) []byte {
	switch {
	case answered == 0:
		return []byte(noneHealthy)
	case answered < of:
		return []byte(someHealthy)
	}
	return []byte(allHealthy)
}

// ZoneStates is what is decided of a pool's zones, and the numbers of the decisions.
func ZoneStates(n *gossip.Node, pool string) (states map[string]zonefailover.State, numbers map[string]uint64) {
	states, numbers = map[string]zonefailover.State{}, map[string]uint64{}
	n.Store().ForEachOf(gossip.ConsensusOwner, consensus.ZoneKind+"/"+pool+"/", func(e *gossip.Entry) bool {
		_, zone, ok := gossip.SplitPoolKey(e.Key)
		if !ok {
			return true
		}
		numbers[zone] = e.Sequence
		worst, any := zonefailover.State{Step: zonefailover.FullStep}, false
		for _, v := range e.Values() { // of several contents of one version the one that uses least
			if s, err := zonefailover.Decode(string(v)); err == nil && (!any || s.Step < worst.Step || s.Step == worst.Step && s.WarmingUp) {
				worst, any = s, true
			}
		}
		if any {
			states[zone] = worst
		}
		return true
	})
	return states, numbers
}

// Snapshot is what is known of a pool. members are the zones of all members, by name; list those of the servers that the pool's list names ready.
func Snapshot(n *gossip.Node, members map[string]string, pool string, list map[string]string) zonefailover.Snapshot {
	s := zonefailover.Snapshot{MemberZones: map[string]string{}, FleetSize: len(members), Endpoints: sortedEndpoints(list)}
	for name, zone := range members {
		if n.Member(name).State == gossip.Alive {
			s.MemberZones[name] = zone
		}
	}
	n.Store().ForEach(gossip.UnreachableKind+"/"+pool+"/", func(e *gossip.Entry) bool {
		if _, server, ok := gossip.SplitPoolKey(e.Key); ok && len(e.Values()) > 0 {
			s.Unreachable = append(s.Unreachable, zonefailover.UnreachableReport{Member: e.Owner, Endpoint: server})
		}
		return true
	})
	n.Store().ForEach(ZoneCheckKind+"/"+pool+"/", func(e *gossip.Entry) bool {
		if _, zone, ok := gossip.SplitPoolKey(e.Key); ok && len(e.Values()) > 0 {
			l := zonefailover.ZoneCheck{Member: e.Owner, Zone: zone, AllHealthy: true, NoneHealthy: true}
			for _, v := range e.Values() { // of several contents of one version none is believed that would change anything
				l.AllHealthy, l.NoneHealthy = l.AllHealthy && string(v) == allHealthy, l.NoneHealthy && string(v) == noneHealthy
			}
			s.ZoneChecks = append(s.ZoneChecks, l)
		}
		return true
	})
	n.Store().ForEach(GrayFailureKind+"/"+pool+"/", func(e *gossip.Entry) bool {
		if _, zone, ok := gossip.SplitPoolKey(e.Key); ok && len(e.Values()) > 0 {
			s.GrayFailures = append(s.GrayFailures, zonefailover.GrayFailureReport{Member: e.Owner, Zone: zone})
		}
		return true
	})
	s.States, s.Revisions = ZoneStates(n, pool)
	return s
}

func sortedEndpoints(list map[string]string) []zonefailover.Endpoint {
	all := make([]zonefailover.Endpoint, 0, len(list))
	for server, zone := range list {
		all = append(all, zonefailover.Endpoint{Name: server, Zone: zone})
	}
	slices.SortFunc(all, func(a, b zonefailover.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Exclusions are the servers of a pool that are not in use by what is decided of their zones; of those the ones of zones that were left by themselves and not
// by an operator; and those in use of a zone that is being returned to.
func Exclusions(n *gossip.Node, pool string, list map[string]string) (avoid, returning, soft map[string]bool) {
	states, _ := ZoneStates(n, pool)
	if len(states) == 0 {
		return nil, nil, nil
	}
	all := sortedEndpoints(list)
	avoid, returning, soft = zonefailover.ExcludedEndpoints(all, states), map[string]bool{}, map[string]bool{}
	for _, x := range all {
		if s, is := states[x.Zone]; is && s.Recovering() && !avoid[x.Name] {
			returning[x.Name] = true
		} else if avoid[x.Name] && !s.Manual {
			soft[x.Name] = true
		}
	}
	return avoid, returning, soft
}

// isChecker reports whether a member is one of those that look at a zone: a few of those that are there to it and not in the zone, not all.
func isChecker(n *gossip.Node, members map[string]string, name, zone string) bool {
	rank := func(name string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(name + "/" + zone))
		return h.Sum64()
	}
	there := func(other string) bool { return other == name || n.Member(other).State == gossip.Alive }
	outside := false
	for other, in := range members {
		outside = outside || in != zone && there(other)
	}
	if outside && members[name] == zone {
		return false
	}
	mine, before := rank(name), 0
	for other, in := range members {
		if other != name && there(other) && (in != zone || !outside) && rank(other) < mine {
			before++
		}
	}
	return before < MaxCheckers
}

// AssignedChecks are the zones of a pool at which a member is to look, and at which servers of each: others each turn. Those are the zones that are not wholly
// in use, and with rules those that words would have left.
func AssignedChecks(n *gossip.Node, rules *zonefailover.Rules, members map[string]string, name, pool string, list map[string]string, turn int) map[string][]string {
	states, _ := ZoneStates(n, pool)
	wanted := map[string]bool{}
	for zone, s := range states {
		if s.Step < zonefailover.FullStep {
			wanted[zone] = true
		}
	}
	if rules != nil && n.Store().Digest(gossip.UnreachableKind) != 0 {
		for zone, cause := range rules.Judge(Snapshot(n, members, pool, list)) {
			if cause.Suspected() {
				wanted[zone] = true
			}
		}
	}
	at := map[string][]string{}
	for _, zone := range slices.Sorted(maps.Keys(wanted)) {
		if !isChecker(n, members, name, zone) {
			continue
		}
		var of []string
		for server, in := range list {
			if in == zone {
				of = append(of, server)
			}
		}
		slices.Sort(of)
		for i := range min(EndpointsPerCheck, len(of)) {
			at[zone] = append(at[zone], of[(turn+i)%len(of)])
		}
	}
	return at
}

// ShiftCommand is what the holder of the lease asks the council for a change, under its token and building on what it knows to be decided.
func ShiftCommand(n *gossip.Node, pool string, change zonefailover.Transition, token uint64) consensus.DecisionCommand {
	_, numbers := ZoneStates(n, pool)
	c := consensus.DecisionCommand{
		Key: gossip.PoolKey(consensus.ZoneKind, pool, change.Zone), Value: change.State.Encode(), Token: token, BasedOn: numbers[change.Zone],
	}
	for _, number := range numbers {
		c.LastSeenZone = max(c.LastSeenZone, number)
	}
	return c
}
