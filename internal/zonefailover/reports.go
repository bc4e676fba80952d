package zonefailover

// endpointIndex holds the endpoints on which a verdict rests: those that receive traffic, and all of a zone that was left.
type endpointIndex struct {
	byZone setsByKey         // has a key for each zone of the endpoint list
	zoneOf map[string]string // zone of an endpoint
	total  int               // endpoints of the list, those out of service included
}

// indexEndpoints leaves out the endpoints of a recovering zone that are out of service: nothing is sent to them, so nobody
// reports them.
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

// reportsByMember groups the endpoints that are reported unreachable by the alive member that reports them.
func reportsByMember(s Snapshot, index endpointIndex) setsByKey {
	reports := setsByKey{}
	for _, report := range s.Unreachable {
		if s.isAlive(report.Member) && index.zoneOf[report.Endpoint] != "" {
			reports.add(report.Member, report.Endpoint)
		}
	}
	return reports
}

// isolatedMembers are the members that report most of all endpoints, and some of each zone, where there are several: their
// reports are about their own connection. If most alive members look isolated, the endpoints are at fault, and no member counts as isolated.
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

// unreachableZones are the endpoints that members who are not isolated report, by zone, and who reports them.
type unreachableZones struct {
	endpoints     setsByKey // unreachable endpoints, by their zone
	reporterZones setsByKey // zones of the members that report them, by the endpoints' zone
}

// unreachableByZone groups the reports of members that are not isolated by the zone of the reported endpoints.
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

// grayReportFraction is the fraction of a zone's eligible reporters that must report a gray failure.
const grayReportFraction = 0.25

// grayZones are the zones that fail in part by the reports of enough eligible members: two at least, from two zones where
// members are in several, and grayReportFraction of all.
func (r Rules) grayZones(s Snapshot) stringSet {
	gray := stringSet{}
	if !r.GrayFailures {
		return gray
	}
	reporters := setsByKey{} // by the zone that they report
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
