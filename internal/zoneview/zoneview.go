// Package zoneview connects the replicated state (package gossip) with the decisions on zones (package zonefailover). It builds the
// snapshot for a verdict, the set of excluded endpoints, the assignment of health checks to members, and the command that the lease
// holder proposes to consensus. The package has no I/O and no clock, so that the same code runs in the program and in virtual time.
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
	// ZoneCheckKind is the kind of the entries with the results of health checks on a zone: "look/POOL/ZONE".
	ZoneCheckKind = "look"
	// GrayFailureKind is the kind of the entries that report a gray failure of a zone: "grey/POOL/ZONE".
	GrayFailureKind = "grey"
)

// poolPrefix returns the common prefix of a pool's keys of a kind.
func poolPrefix(kind, pool string) string { return kind + "/" + pool + "/" }

// ZoneStates returns the decided states of a pool's zones, and the numbers of the decisions, both by zone.
func ZoneStates(n *gossip.Node, pool string) (states map[string]zonefailover.State, revisions map[string]uint64) {
	states, revisions = map[string]zonefailover.State{}, map[string]uint64{}
	n.Store().ForEachOf(gossip.ConsensusOwner, poolPrefix(consensus.ZoneKind, pool), func(e *gossip.Entry) bool {
		_, zone, ok := gossip.SplitPoolKey(e.Key)
		if !ok {
			return true
		}
		revisions[zone] = e.Sequence
		if state, decided := mostRestrictiveState(e.Values()); decided {
			states[zone] = state
		}
		return true
	})
	return states, revisions
}

// mostRestrictiveState returns the state with the lowest step among the siblings of an entry; of equal steps, a state that is
// warming up. It skips siblings that cannot be decoded. ok is false if no sibling can be decoded.
func mostRestrictiveState(siblings [][]byte) (state zonefailover.State, ok bool) {
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

// Snapshot returns the node's view of the zones of a pool. members holds the zone of each member of the fleet, by member name.
// endpoints holds the zone of each ready endpoint of the pool, by endpoint name.
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

// forEachValue calls f for each entry of a kind and a pool that has a value, ordered by member and name. name is the last part of
// the key: an endpoint or a zone.
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

// sortedEndpoints returns the endpoints sorted by name.
func sortedEndpoints(zones map[string]string) []zonefailover.Endpoint {
	endpoints := make([]zonefailover.Endpoint, 0, len(zones))
	for name, zone := range zones {
		endpoints = append(endpoints, zonefailover.Endpoint{Name: name, Zone: zone})
	}
	slices.SortFunc(endpoints, func(a, b zonefailover.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return endpoints
}

// Exclusions returns three sets of endpoints of a pool, by name. All are nil if there is no decision.
//   - excluded: out of service by the decided state of the zone
//   - recovering: in service in a recovering zone, so that the endpoint may be warming up
//   - automatic: the excluded endpoints of zones whose state was not set by an operator
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

// ShiftCommand returns the command with which the lease holder proposes a transition to consensus, under its fencing token. The
// command names the decisions that it is based on. Consensus rejects it if there are newer decisions.
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
