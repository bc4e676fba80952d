package zonefailover

import (
	"maps"
	"slices"
	"time"
)

const (
	// relapseWindow is the time after a ramp, beyond the hold-down, within which another shift counts as a relapse: a failure
	// that appears only under full load appears by then.
	relapseWindow = 30 * time.Second
	// maxHoldDownDoublings keeps the doubled hold-down from overflowing.
	maxHoldDownDoublings = 20
	// stepsBack is how many steps the recovery ramp goes back when the zone fails again.
	stepsBack = 2
)

// Reasons of the states that the controller decides by itself; a shift has its cause as the reason.
const (
	reasonRecovered    = "it answers again"
	reasonStepHealthy  = "a step was borne"
	reasonStepFailed   = "a step hurt: "
	reasonWarmUpPassed = "its servers are warm"
)

// Controller paces the transitions of one pool's zones. Each holder of the lease makes its own, which takes every state for
// just entered: a change of the holder delays a recovery and never hastens it. It is not safe for concurrent use.
type Controller struct {
	rules Rules
	zones map[string]trackedZone
}

// trackedZone is a zone's state as the controller last saw it.
type trackedZone struct {
	state    State
	revision uint64
	since    time.Duration // when the state was entered, or first seen
}

// NewController returns a controller that has seen no zone yet.
func NewController(r Rules) *Controller {
	return &Controller{rules: r, zones: map[string]trackedZone{}}
}

// Transition is a new state of a zone that is to be decided.
type Transition struct {
	Zone  string
	State State
}

// Next returns the transition that is due, at most one at a time and nil if there is none, and the verdict on each zone. now
// does not go back from call to call.
func (c *Controller) Next(now time.Duration, s Snapshot) (next *Transition, causes map[string]Cause) {
	causes = c.rules.Judge(s)
	for _, zone := range slices.Sorted(maps.Keys(causes)) {
		state := s.stateOf(zone)
		c.track(now, zone, state, s.Revisions[zone])
		if state.Manual || next != nil {
			continue
		}
		if to, due := c.transition(now, zone, s, causes[zone]); due {
			next = &Transition{Zone: zone, State: to}
		}
	}
	return next, causes
}

// track notes a zone's state, and since when it has had it. A change of the revision alone means that another state came and
// went between two calls, and other processes have acted on it; but the end of the warm-up is no new step.
func (c *Controller) track(now time.Duration, zone string, state State, revision uint64) {
	last, known := c.zones[zone]
	warmedUp := known && last.state.WarmingUp && !state.WarmingUp && last.state.Step == state.Step
	sameState := known && last.state.Step == state.Step && last.state.Relapses == state.Relapses
	sameRevision := last.revision == revision || warmedUp
	since := last.since
	if !sameState || !sameRevision {
		since = now
	}
	c.zones[zone] = trackedZone{state: state, revision: revision, since: since}
}

// transition returns the state that is to follow a zone's present one, if a change is due.
func (c *Controller) transition(now time.Duration, zone string, s Snapshot, cause Cause) (to State, due bool) {
	state := s.stateOf(zone)
	elapsed := now - c.zones[zone].since
	switch {
	case cause.RequiresShift() && state.Step == FullStep:
		return State{Step: 0, Relapses: c.relapsesAfterShift(now, zone), Reason: string(cause)}, true
	case cause.RequiresShift() && state.Step > 0:
		return State{Step: max(0, state.Step-stepsBack), Relapses: state.Relapses + 1, Reason: reasonStepFailed + string(cause)}, true
	case state.Step == 0 && cause == CauseHealthy && elapsed >= c.holdDown(state.Relapses) && c.rules.hasRecoveryQuorum(s, zone):
		return State{Step: 1, Relapses: state.Relapses, Reason: reasonRecovered}, true
	case state.Step > 0 && state.Step < FullStep && elapsed >= c.rules.StepDuration && c.rules.hasRecoveryQuorum(s, zone):
		step := state.Step + 1
		return State{Step: step, Relapses: state.Relapses, WarmingUp: step == FullStep && c.rules.WarmUp > 0, Reason: reasonStepHealthy}, true
	case state.WarmingUp && elapsed >= c.rules.WarmUp:
		return State{Step: FullStep, Relapses: state.Relapses, Reason: reasonWarmUpPassed}, true
	}
	return State{}, false
}

// relapsesAfterShift is the number of relapses of a zone, wholly in service, that is shifted away from now. Soon after its last
// recovery the shift is one more relapse: a zone that fails only under full load would else alternate for good.
func (c *Controller) relapsesAfterShift(now time.Duration, zone string) int {
	tracked := c.zones[zone]
	relapses := tracked.state.Relapses
	neverShifted := relapses == 0 && tracked.revision == 0
	if neverShifted || now-tracked.since >= c.holdDown(relapses+1)+relapseWindow {
		return 0
	}
	return relapses + 1
}

// holdDown is the least time between a shift and the recovery after some relapses.
func (c *Controller) holdDown(relapses int) time.Duration {
	return min(c.rules.HoldDown<<min(relapses, maxHoldDownDoublings), c.rules.MaxHoldDown)
}
