package zoneview

import (
	"hash/fnv"
	"maps"
	"slices"

	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zonefailover"
)

const (
	// MaxCheckers is how many members check the health of a zone at most.
	MaxCheckers = 5
	// EndpointsPerCheck is how many endpoints of a zone one check is made of, if there are as many.
	EndpointsPerCheck = 3
)

// Values of an entry of ZoneCheckKind: which of the endpoints that were checked responded.
const (
	allHealthy  = "1"
	someHealthy = "p"
	noneHealthy = "0"
)

// EncodeZoneCheck returns the value of an entry of ZoneCheckKind.
func EncodeZoneCheck(healthy, checked int) []byte {
	switch {
	case healthy == 0:
		return []byte(noneHealthy)
	case healthy < checked:
		return []byte(someHealthy)
	}
	return []byte(allHealthy)
}

// decodeZoneCheck reads such values; siblings that differ count as some healthy, which brings about no change.
func decodeZoneCheck(member, zone string, siblings [][]byte) zonefailover.ZoneCheck {
	check := zonefailover.ZoneCheck{Member: member, Zone: zone, AllHealthy: true, NoneHealthy: true}
	for _, sibling := range siblings {
		check.AllHealthy = check.AllHealthy && string(sibling) == allHealthy
		check.NoneHealthy = check.NoneHealthy && string(sibling) == noneHealthy
	}
	return check
}

// AssignedChecks returns the zones of a pool that the member name is to check, and the endpoints of each, others in each round.
// These are the zones that are not wholly in service and, unless rules is nil, those that unreachable reports would have left.
// members and endpoints are as for Snapshot.
func AssignedChecks(
	n *gossip.Node, rules *zonefailover.Rules, members map[string]string, name, pool string, endpoints map[string]string, round int,
) map[string][]string {
	checks := map[string][]string{}
	for _, zone := range zonesToCheck(n, rules, members, pool, endpoints) {
		if !isChecker(n, members, name, zone) {
			continue
		}
		names := endpointsIn(endpoints, zone)
		for i := range min(EndpointsPerCheck, len(names)) {
			checks[zone] = append(checks[zone], names[(round+i)%len(names)])
		}
	}
	return checks
}

// zonesToCheck are the zones whose health is to be checked, in order.
func zonesToCheck(n *gossip.Node, rules *zonefailover.Rules, members map[string]string, pool string, endpoints map[string]string) []string {
	zones := map[string]bool{}
	states, _ := ZoneStates(n, pool)
	for zone, state := range states {
		if state.Step < zonefailover.FullStep {
			zones[zone] = true
		}
	}
	anyReport := n.Store().Digest(gossip.UnreachableKind) != 0
	if rules != nil && anyReport {
		for zone, cause := range rules.Judge(Snapshot(n, members, pool, endpoints)) {
			if cause.Suspected() {
				zones[zone] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(zones))
}

// endpointsIn are the names of a zone's endpoints, in order.
func endpointsIn(endpoints map[string]string, zone string) []string {
	var names []string
	for name, endpointZone := range endpoints {
		if endpointZone == zone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// isChecker reports whether the member name is one of the MaxCheckers that check a zone: of the members that are alive to it and
// outside the zone, or of all alive ones if there is none outside, those of the lowest rank.
func isChecker(n *gossip.Node, members map[string]string, name, zone string) bool {
	alive := func(member string) bool { return member == name || n.Member(member).State == gossip.Alive }
	anyOutside := false
	for member, memberZone := range members {
		if memberZone != zone && alive(member) {
			anyOutside = true
			break
		}
	}
	if anyOutside && members[name] == zone {
		return false
	}
	ownRank, lower := checkerRank(name, zone), 0
	for member, memberZone := range members {
		eligible := memberZone != zone || !anyOutside
		if member != name && eligible && alive(member) && checkerRank(member, zone) < ownRank {
			lower++
		}
	}
	return lower < MaxCheckers
}

// checkerRank orders members at random, but the same way at all of them.
func checkerRank(member, zone string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(member + "/" + zone))
	return hash.Sum64()
}
