package zonefailover

import (
	"maps"
	"slices"
	"time"
)

const (
	// A shift counts as a relapse if it follows the last step of a recovery by less than the next hold-down plus relapseWindow. A
	// failure that occurs only under full load is assumed to occur within this time.
	relapseWindow = 30 * time.Second
	// maxHoldDownDoublings prevents an overflow of the doubled hold-down.
	maxHoldDownDoublings = 20
	// stepsBack is the number of steps by which the recovery ramp is reduced when the zone fails again.
	stepsBack = 2
)

// Values of State.Reason in the recovery ramp. The reason of a shift is the verdict (Cause).
const (
	reasonRecovered    = "it answers again"
	reasonStepHealthy  = "a step was borne"
	reasonStepFailed   = "a step hurt: "
	reasonWarmUpPassed = "its servers are warm"
)

// Controller decides when the zones of one pool change their state. Each lease holder creates its own controller, which treats
// every state as entered when it is first seen. A change of the lease holder can therefore delay a recovery, but never
// accelerates it. A Controller is not safe for concurrent use.
type Controller struct {
	rules Rules
	zones map[string]trackedZone
}

// trackedZone is the state of a zone at the last call of Next.
type trackedZone struct {
	state    State
	revision uint64        // number of the decision on the zone, see Snapshot.Revisions
	since    time.Duration // when the state was entered or first seen
}

// NewController returns a controller that does not track any zone yet.
func NewController(r Rules) *Controller {
	return &Controller{rules: r, zones: map[string]trackedZone{}}
}

// Transition is the new state of a zone that the caller is to propose to consensus.
type Transition struct {
	Zone  string
	State State
}

// Next returns the transition that is due, or nil, and the verdict on each zone. It returns at most one transition per call. now
// must not decrease between calls.
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

// track records the state of a zone and the time at which the zone entered it. If only the revision has changed, the zone had
// another state between two calls, and other processes have acted on that state: the time starts again. The end of the warm-up
// also changes the revision, but does not count as a new state.
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

// transition returns the next state of a zone and whether the change is due.
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

// relapsesAfterShift returns the number of relapses to record when traffic is shifted away from a zone that is fully in service.
// A shift soon after the last recovery counts as a relapse. Otherwise, a zone that fails only under full load would alternate
// between shift and recovery forever.
func (c *Controller) relapsesAfterShift(now time.Duration, zone string) int {
	tracked := c.zones[zone]
	relapses := tracked.state.Relapses
	neverShifted := relapses == 0 && tracked.revision == 0
	if neverShifted || now-tracked.since >= c.holdDown(relapses+1)+relapseWindow {
		return 0
	}
	return relapses + 1
}

// holdDown returns the minimum time between a shift and the start of the recovery, given the number of relapses.
func (c *Controller) holdDown(relapses int) time.Duration {
	return min(c.rules.HoldDown<<min(relapses, maxHoldDownDoublings), c.rules.MaxHoldDown)
}
