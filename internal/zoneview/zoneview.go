// Package zoneview connects the replicated state (gossip) with the decisions on zones (zonefailover): it reads the snapshot on
// which a verdict rests, says which endpoints a process excludes, which members check the health of a zone, and what the holder
// of the lease proposes to consensus. It has no I/O and no clock, so that the same code runs in the program and in virtual time.
package zoneview

import (
	"cmp"
	"slices"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zonefailover"
)

const (
	// LeaseName is the name of the lease whose holder decides on zones.
	LeaseName = "zones"
	// ZoneCheckKind is the kind of the entries with results of health checks of a zone: "look/POOL/ZONE".
	ZoneCheckKind = "look"
	// GrayFailureKind is the kind of the entries that report a gray failure of a zone: "grey/POOL/ZONE".
	GrayFailureKind = "grey"
)

// poolPrefix begins the keys of a kind that are about a pool.
func poolPrefix(kind, pool string) string { return kind + "/" + pool + "/" }

// ZoneStates returns the decided states of a pool's zones, and the number of each decision, by zone.
func ZoneStates(n *gossip.Node, pool string) (states map[string]zonefailover.State, revisions map[string]uint64) {
	states, revisions = map[string]zonefailover.State{}, map[string]uint64{}
	n.Store().ForEachOf(gossip.ConsensusOwner, poolPrefix(consensus.ZoneKind, pool), func(e *gossip.Entry) bool {
		_, zone, ok := gossip.SplitPoolKey(e.Key)
		if !ok {
			return true
		}
		revisions[zone] = e.Sequence
		if state, decided := mostCarefulState(e.Values()); decided {
			states[zone] = state
		}
		return true
	})
	return states, revisions
}

// mostCarefulState is the state, of siblings, that has the least of the zone in service.
func mostCarefulState(siblings [][]byte) (state zonefailover.State, ok bool) {
	for _, sibling := range siblings {
		s, err := zonefailover.Decode(string(sibling))
		if err != nil {
			continue
		}
		if !ok || s.Step < state.Step || s.Step == state.Step && s.WarmingUp {
			state, ok = s, true
		}
	}
	return state, ok
}

// Snapshot returns what a process knows of a pool's zones. members are the zones of all members of the fleet, by name, and
// endpoints those of the ready endpoints of the pool's list.
func Snapshot(n *gossip.Node, members map[string]string, pool string, endpoints map[string]string) zonefailover.Snapshot {
	s := zonefailover.Snapshot{
		Endpoints:   sortedEndpoints(endpoints),
		MemberZones: map[string]string{},
		FleetSize:   len(members),
	}
	for name, zone := range members {
		if n.Member(name).State == gossip.Alive {
			s.MemberZones[name] = zone
		}
	}
	forEachValue(n, gossip.UnreachableKind, pool, func(member, endpoint string, _ [][]byte) {
		s.Unreachable = append(s.Unreachable, zonefailover.UnreachableReport{Member: member, Endpoint: endpoint})
	})
	forEachValue(n, ZoneCheckKind, pool, func(member, zone string, siblings [][]byte) {
		s.ZoneChecks = append(s.ZoneChecks, decodeZoneCheck(member, zone, siblings))
	})
	forEachValue(n, GrayFailureKind, pool, func(member, zone string, _ [][]byte) {
		s.GrayFailures = append(s.GrayFailures, zonefailover.GrayFailureReport{Member: member, Zone: zone})
	})
	s.States, s.Revisions = ZoneStates(n, pool)
	return s
}

// forEachValue calls f with the entries of a kind that members have written about something in a pool, by member and name.
func forEachValue(n *gossip.Node, kind, pool string, f func(member, name string, siblings [][]byte)) {
	n.Store().ForEach(poolPrefix(kind, pool), func(e *gossip.Entry) bool {
		if _, name, ok := gossip.SplitPoolKey(e.Key); ok {
			if siblings := e.Values(); len(siblings) > 0 {
				f(e.Owner, name, siblings)
			}
		}
		return true
	})
}

// sortedEndpoints are the endpoints in order of their names.
func sortedEndpoints(zones map[string]string) []zonefailover.Endpoint {
	endpoints := make([]zonefailover.Endpoint, 0, len(zones))
	for name, zone := range zones {
		endpoints = append(endpoints, zonefailover.Endpoint{Name: name, Zone: zone})
	}
	slices.SortFunc(endpoints, func(a, b zonefailover.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return endpoints
}

// Exclusions returns the endpoints of a pool that the decided states put out of service; those in service of a recovering zone,
// which may be warming up; and, of those out of service, those that no operator has put there. All are nil if nothing is decided.
func Exclusions(n *gossip.Node, pool string, endpoints map[string]string) (excluded, recovering, automatic map[string]bool) {
	states, _ := ZoneStates(n, pool)
	if len(states) == 0 {
		return nil, nil, nil
	}
	sorted := sortedEndpoints(endpoints)
	excluded, recovering, automatic = zonefailover.ExcludedEndpoints(sorted, states), map[string]bool{}, map[string]bool{}
	for _, endpoint := range sorted {
		state, decided := states[endpoint.Zone]
		switch {
		case excluded[endpoint.Name] && !state.Manual:
			automatic[endpoint.Name] = true
		case !excluded[endpoint.Name] && decided && state.Recovering():
			recovering[endpoint.Name] = true
		}
	}
	return excluded, recovering, automatic
}

// ShiftCommand is the command by which the holder of the lease proposes a transition to consensus, under its fencing token. It
// names the decisions that it builds on: it is rejected if there are others by then.
func ShiftCommand(n *gossip.Node, pool string, transition zonefailover.Transition, token uint64) consensus.DecisionCommand {
	_, revisions := ZoneStates(n, pool)
	command := consensus.DecisionCommand{
		Key:     gossip.PoolKey(consensus.ZoneKind, pool, transition.Zone),
		Value:   transition.State.Encode(),
		Token:   token,
		BasedOn: revisions[transition.Zone],
	}
	for _, revision := range revisions {
		command.NewestZoneDecision = max(command.NewestZoneDecision, revision)
	}
	return command
}
