package zoneview

import (
	"hash/fnv"
	"maps"
	"slices"

	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zonefailover"
)

const (
	// MaxCheckers is the maximum number of members that check the health of a zone.
	MaxCheckers = 5
	// EndpointsPerCheck is the maximum number of endpoints that a member checks in a zone per round.
	EndpointsPerCheck = 3
)

// Values of an entry of ZoneCheckKind: how many of the checked endpoints responded.
const (
	allHealthy  = "1"
	someHealthy = "p"
	noneHealthy = "0"
)

// EncodeZoneCheck returns the value of an entry of ZoneCheckKind for the numbers of healthy and checked endpoints.
func EncodeZoneCheck(healthy, checked int) []byte {
	switch {
	case healthy == 0:
		return []byte(noneHealthy)
	case healthy < checked:
		return []byte(someHealthy)
	}
	return []byte(allHealthy)
}

// decodeZoneCheck decodes the siblings of an entry of ZoneCheckKind. Siblings that differ count as partly healthy, a result that
// causes neither a shift nor a recovery.
func decodeZoneCheck(member, zone string, siblings [][]byte) zonefailover.ZoneCheck {
	check := zonefailover.ZoneCheck{Member: member, Zone: zone, AllHealthy: true, NoneHealthy: true}
	for _, sibling := range siblings {
		check.AllHealthy = check.AllHealthy && string(sibling) == allHealthy
		check.NoneHealthy = check.NoneHealthy && string(sibling) == noneHealthy
	}
	return check
}

// AssignedChecks returns the zones of a pool that the member name has to check, with the endpoints to check in each. The endpoints
// rotate with round. A zone is checked if it is not fully in service. Unless rules is nil, a zone is also checked if unreachable
// reports alone would require a shift away from it. members and endpoints are as for Snapshot.
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

// zonesToCheck returns the names of the zones whose health has to be checked, sorted.
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

// endpointsIn returns the names of a zone's endpoints, sorted.
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

// isChecker reports whether the member name is one of the MaxCheckers members that check a zone. The checkers are the members with
// the lowest rank among the alive members outside the zone, or among all alive members if none is outside. Whether a member is
// alive is the view of the member name.
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

// checkerRank is a pseudorandom rank of a member for a zone. All members compute the same rank.
func checkerRank(member, zone string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(member + "/" + zone))
	return hash.Sum64()
}
