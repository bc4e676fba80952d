package zonefailover

import "maps"

// Endpoint is a server that a pool's endpoint list names ready.
type Endpoint struct{ Name, Zone string }

// UnreachableReport says that an endpoint does not respond to a member.
type UnreachableReport struct{ Member, Endpoint string }

// ZoneCheck is the result of a member's health checks of some endpoints of a zone. A zone is checked while it is not wholly
// in service, and while unreachable reports alone would shift traffic away from it.
type ZoneCheck struct {
	Member, Zone string
	AllHealthy   bool // each endpoint that was checked responded
	NoneHealthy  bool // none did
}

// GrayFailureReport says that a zone fails in part, by what became of a member's own requests.
type GrayFailureReport struct{ Member, Zone string }

// Snapshot is what one process knows of a pool's zones at one moment.
type Snapshot struct {
	Endpoints    []Endpoint
	MemberZones  map[string]string // the zone of each member that is alive, by the member's name
	FleetSize    int               // members that are configured, alive or not
	Unreachable  []UnreachableReport
	ZoneChecks   []ZoneCheck
	GrayFailures []GrayFailureReport
	States       map[string]State  // by zone; a zone without one is wholly in service
	Revisions    map[string]uint64 // of the States, by zone; grows with each decision
}

// stateOf is the decided state of a zone.
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

// eligibleReporters are the alive members whose own findings on a zone count, with their zones: those outside it, or all if
// there is none outside.
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

// memberZoneCount is in how many zones there are alive members.
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

// setsByKey groups names under keys.
type setsByKey map[string]stringSet

func (s setsByKey) add(key, name string) {
	if s[key] == nil {
		s[key] = stringSet{}
	}
	s[key].add(name)
}
