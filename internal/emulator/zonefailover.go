package emulator

import (
	"strconv"
	"time"

	"sorrelrudder/internal/zonefailover"
	"sorrelrudder/policy"
)

const (
	// decisionInterval is the time between two evaluations of the zones.
	decisionInterval = 200 * time.Millisecond
	// failureExpiry is the time after which a failure that was not observed again is dropped.
	failureExpiry = 5 * time.Second
	// checkersPerZone is the maximum number of instances that check a zone's backends.
	checkersPerZone = 5
	// checksPerChecker is the maximum number of backends of a zone that each of these instances checks.
	checksPerChecker = 3
)

// zoneController decides for all instances which zones they use, like the lease holder of a real fleet. Reports reach the controller after
// the sharing delay, and its decisions take effect after the same delay. Consensus on the decisions is not emulated.
type zoneController struct {
	emulation  *Emulation
	controller *zonefailover.Controller
	failures   map[int]map[policy.EndpointID]policy.Time // by instance index: time of the last failure of an endpoint
	states     map[string]zonefailover.State             // by zone
	revision   uint64
	revisions  map[string]uint64 // of the states
}

func newZoneController(e *Emulation) *zoneController {
	c := &zoneController{
		emulation:  e,
		controller: zonefailover.NewController(e.scenario.Sharing.ZoneRules),
		failures:   map[int]map[policy.EndpointID]policy.Time{},
		states:     map[string]zonefailover.State{},
		revisions:  map[string]uint64{},
	}
	e.scheduler.After(e.scenario.StartupWindow+decisionInterval, c.decide)
	return c
}

// recordOutcome records the result of an instance's attempt or health check at an endpoint. Instances do not report on endpoints that they
// exclude.
func (c *zoneController) recordOutcome(in *instance, endpoint policy.EndpointID, status policy.Status) {
	if in.exclusions.excluded[string(endpoint)] {
		return
	}
	failures := c.failures[in.index]
	switch {
	case indicatesFailure(status):
		if failures == nil {
			failures = map[policy.EndpointID]policy.Time{}
			c.failures[in.index] = failures
		}
		failures[endpoint] = c.emulation.scheduler.Now()
	case status == policy.StatusOK:
		delete(failures, endpoint)
	}
}

// decide makes at most one decision and applies it to all instances. It schedules its next call.
func (c *zoneController) decide() {
	e := c.emulation
	e.scheduler.After(decisionInterval, c.decide)
	change, _ := c.controller.Next(e.scheduler.Now(), c.snapshot())
	if change == nil {
		return
	}
	c.revision++
	c.states[change.Zone], c.revisions[change.Zone] = change.State, c.revision
	e.Result.ZoneDecisions = append(e.Result.ZoneDecisions, ZoneDecision{e.Elapsed(), change.Zone, change.State.Step, change.State.Reason})
	e.scheduler.After(e.scenario.Sharing.Delay, func() {
		for _, in := range e.instances {
			in.applyExclusions()
		}
	})
}

// snapshot returns the current input of the controller.
func (c *zoneController) snapshot() zonefailover.Snapshot {
	e := c.emulation
	s := zonefailover.Snapshot{
		MemberZones: map[string]string{},
		FleetSize:   len(e.instances),
		States:      c.states,
		Revisions:   c.revisions,
	}
	for _, endpoint := range e.discovery.endpoints() {
		if endpoint.State == policy.Ready {
			s.Endpoints = append(s.Endpoints, zonefailover.Endpoint{Name: string(endpoint.ID), Zone: endpoint.Zone})
		}
	}
	for _, in := range e.instances {
		if in.up {
			s.MemberZones[in.name()] = in.zone
			s.Unreachable = append(s.Unreachable, c.unreachableReports(in)...)
		}
	}
	for _, zone := range e.scenario.Zones {
		s.ZoneChecks = append(s.ZoneChecks, c.zoneChecks(zone)...)
	}
	return s
}

// unreachableReports returns the failures that an instance has observed and that have reached the controller. It deletes the expired
// failures.
func (c *zoneController) unreachableReports(in *instance) []zonefailover.UnreachableReport {
	var reports []zonefailover.UnreachableReport
	for endpoint, at := range c.failures[in.index] {
		switch age := c.emulation.scheduler.Now() - at; {
		case age > failureExpiry:
			delete(c.failures[in.index], endpoint)
		case age >= c.emulation.scenario.Sharing.Delay:
			reports = append(reports, zonefailover.UnreachableReport{Member: in.name(), Endpoint: string(endpoint)})
		}
	}
	return reports
}

// zoneChecks returns the checks of a zone by running instances of other zones.
func (c *zoneController) zoneChecks(zone string) []zonefailover.ZoneCheck {
	var checks []zonefailover.ZoneCheck
	for _, in := range c.emulation.instances {
		if len(checks) == checkersPerZone {
			break
		}
		if in.up && in.zone != zone {
			checks = append(checks, c.zoneCheck(in, zone, len(checks)))
		}
	}
	return checks
}

// zoneCheck returns the result of an instance's check of a zone. checker is the number of the instance among the zone's checkers, from 0,
// and determines which backends of the zone the instance checks.
func (c *zoneController) zoneCheck(in *instance, zone string, checker int) zonefailover.ZoneCheck {
	checked, healthy := 0, 0
	for i, b := range c.emulation.backends {
		if b.zone != zone || b.stopped || i%checkersPerZone != checker || checked == checksPerChecker {
			continue
		}
		checked++
		if !b.unreachable() {
			healthy++
		}
	}
	return zonefailover.ZoneCheck{Member: in.name(), Zone: zone, AllHealthy: healthy == checked, NoneHealthy: healthy == 0}
}

// excludedEndpoints returns the names of the endpoints of a list that the states of the zones exclude.
func (c *zoneController) excludedEndpoints(list map[policy.EndpointID]policy.Endpoint) map[string]bool {
	var ready []zonefailover.Endpoint
	for id, endpoint := range list {
		if endpoint.State == policy.Ready {
			ready = append(ready, zonefailover.Endpoint{Name: string(id), Zone: endpoint.Zone})
		}
	}
	return zonefailover.ExcludedEndpoints(ready, c.states)
}

// hasExclusions reports whether endpoints of a zone may currently be excluded.
func (c *zoneController) hasExclusions(zone string) bool {
	state, decided := c.states[zone]
	return decided && state.Step < zonefailover.FullStep
}

// name returns the name of the instance as a member of the fleet.
func (in *instance) name() string { return strconv.Itoa(in.index) }
