package zonefailover

import "maps"

// Endpoint is a ready endpoint of a pool's endpoint list.
type Endpoint struct{ Name, Zone string }

// UnreachableReport is a member's report that an endpoint does not respond to it.
type UnreachableReport struct{ Member, Endpoint string }

// ZoneCheck is the result of a member's health checks on some endpoints of a zone. A zone is checked while it is not fully in
// service, and while unreachable reports alone would shift traffic away from it.
type ZoneCheck struct {
	Member, Zone string
	AllHealthy   bool // all checked endpoints responded
	NoneHealthy  bool // no checked endpoint responded
}

// GrayFailureReport is a member's report of a gray failure of a zone, based on the outcomes of its own requests.
type GrayFailureReport struct{ Member, Zone string }

// Snapshot is one process's view of the zones of a pool at one time.
type Snapshot struct {
	Endpoints    []Endpoint
	MemberZones  map[string]string // zone of each alive member, by member name
	FleetSize    int               // number of configured members, alive or not
	Unreachable  []UnreachableReport
	ZoneChecks   []ZoneCheck
	GrayFailures []GrayFailureReport
	States       map[string]State  // by zone; a zone without a state is fully in service
	Revisions    map[string]uint64 // number of the decision on each zone (consensus.Decision.Number), by zone
}

// stateOf returns the decided state of a zone. A zone without a decision is fully in service.
func (s Snapshot) stateOf(zone string) State {
	if state, decided := s.States[zone]; decided {
		return state
	}
	return State{Step: FullStep}
}

// isAlive reports whether a member is alive.
func (s Snapshot) isAlive(member string) bool {
	_, alive := s.MemberZones[member]
	return alive
}

// eligibleReporters returns the alive members whose gray failure reports on a zone, and health checks before a shift, count, with
// their zones. These are the members outside the zone, or all members if none is outside. For a recovery, the health checks of all
// alive members count.
func (s Snapshot) eligibleReporters(zone string) map[string]string {
	outside := maps.Clone(s.MemberZones)
	maps.DeleteFunc(outside, func(_, memberZone string) bool { return memberZone == zone })
	if len(outside) == 0 {
		return s.MemberZones
	}
	return outside
}

// hasMemberQuorum reports whether more than half of the fleet is alive.
func (s Snapshot) hasMemberQuorum() bool { return 2*len(s.MemberZones) > s.FleetSize }

// memberZoneCount returns the number of zones with alive members.
func (s Snapshot) memberZoneCount() int {
	zones := stringSet{}
	for _, zone := range s.MemberZones {
		zones.add(zone)
	}
	return len(zones)
}

// stringSet is a set of names.
type stringSet map[string]struct{}

func (s stringSet) add(name string) { s[name] = struct{}{} }

func (s stringSet) contains(name string) bool {
	_, ok := s[name]
	return ok
}

// setsByKey holds a set of names for each key.
type setsByKey map[string]stringSet

func (s setsByKey) add(key, name string) {
	if s[key] == nil {
		s[key] = stringSet{}
	}
	s[key].add(name)
}
