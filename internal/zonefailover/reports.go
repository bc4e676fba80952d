package zonefailover

// endpointIndex holds the endpoints that are assessed: the endpoints that receive traffic, and all endpoints of a zone from which
// all traffic was shifted away.
type endpointIndex struct {
	byZone setsByKey         // names of the endpoints; has a key for each zone of the endpoint list
	zoneOf map[string]string // zone by name of the endpoint
	total  int               // endpoints of the list, including the endpoints out of service
}

// indexEndpoints builds the index. It omits the endpoints of a recovering zone that are out of service: they receive no requests,
// so no member can report them.
func indexEndpoints(s Snapshot) endpointIndex {
	index := endpointIndex{byZone: setsByKey{}, zoneOf: map[string]string{}, total: len(s.Endpoints)}
	excluded := ExcludedEndpoints(s.Endpoints, s.States)
	for _, endpoint := range s.Endpoints {
		if index.byZone[endpoint.Zone] == nil {
			index.byZone[endpoint.Zone] = stringSet{}
		}
		if state, decided := s.States[endpoint.Zone]; decided && state.Step > 0 && excluded[endpoint.Name] {
			continue
		}
		index.byZone.add(endpoint.Zone, endpoint.Name)
		index.zoneOf[endpoint.Name] = endpoint.Zone
	}
	return index
}

// reportsByMember returns the endpoints that are reported unreachable, by reporting member. It ignores members that are not alive
// and endpoints that are not in the index.
func reportsByMember(s Snapshot, index endpointIndex) setsByKey {
	reports := setsByKey{}
	for _, report := range s.Unreachable {
		if s.isAlive(report.Member) && index.zoneOf[report.Endpoint] != "" {
			reports.add(report.Member, report.Endpoint)
		}
	}
	return reports
}

// isolatedMembers returns the members that report at least UnreachableThreshold of all endpoints, and some of each zone. The cause
// of their reports is their own connection. The result is empty if there are fewer than two zones. It is also empty if most alive members
// look isolated, because the endpoints are then the cause.
func (r Rules) isolatedMembers(s Snapshot, index endpointIndex, reports setsByKey) stringSet {
	isolated := stringSet{}
	if len(index.byZone) < 2 {
		return isolated
	}
	for member, endpoints := range reports {
		zones := stringSet{}
		for endpoint := range endpoints {
			zones.add(index.zoneOf[endpoint])
		}
		if len(zones) == len(index.byZone) && float64(len(endpoints)) >= r.UnreachableThreshold*float64(index.total) {
			isolated.add(member)
		}
	}
	if 2*len(isolated) > len(s.MemberZones) {
		return stringSet{}
	}
	return isolated
}

// unreachableZones holds the endpoints that are reported by members that are not isolated, and the zones of these members.
type unreachableZones struct {
	endpoints     setsByKey // names of unreachable endpoints, by zone of the endpoint
	reporterZones setsByKey // zones of the reporting members, by zone of the endpoint
}

// unreachableByZone groups the reports of members that are not isolated by the zone of the reported endpoint.
func unreachableByZone(s Snapshot, index endpointIndex, reports setsByKey, isolated stringSet) unreachableZones {
	unreachable := unreachableZones{endpoints: setsByKey{}, reporterZones: setsByKey{}}
	for member, endpoints := range reports {
		if isolated.contains(member) {
			continue
		}
		for endpoint := range endpoints {
			zone := index.zoneOf[endpoint]
			unreachable.endpoints.add(zone, endpoint)
			unreachable.reporterZones.add(zone, s.MemberZones[member])
		}
	}
	return unreachable
}

// grayReportFraction is the minimum fraction of a zone's eligible reporters that must report a gray failure.
const grayReportFraction = 0.25

// grayZones returns the zones with a gray failure. A zone is gray if it is reported by at least two eligible members from at least
// two zones, and by at least grayReportFraction of all eligible members. Fewer than two eligible members, or eligible members
// from a single zone, lower the respective minimum to one.
func (r Rules) grayZones(s Snapshot) stringSet {
	gray := stringSet{}
	if !r.GrayFailures {
		return gray
	}
	reporters := setsByKey{} // names of members, by the zone that they report
	for _, report := range s.GrayFailures {
		if s.isAlive(report.Member) {
			reporters.add(report.Zone, report.Member)
		}
	}
	for zone, members := range reporters {
		eligible := s.eligibleReporters(zone)
		reports, reportingZones, eligibleZones := 0, stringSet{}, stringSet{}
		for member, memberZone := range eligible {
			eligibleZones.add(memberZone)
			if members.contains(member) {
				reports++
				reportingZones.add(memberZone)
			}
		}
		enoughMembers := reports >= min(2, len(eligible)) && float64(reports) >= grayReportFraction*float64(len(eligible))
		if enoughMembers && len(reportingZones) >= min(2, len(eligibleZones)) {
			gray.add(zone)
		}
	}
	return gray
}
