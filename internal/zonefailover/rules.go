// Package zonefailover decides when a fleet shifts its traffic away from a zone whose endpoints fail, and at what pace it
// returns. One process decides for all, the holder of a lease; its decisions go through consensus, and all processes act on
// them. The package has no I/O and no clock: what members report about endpoints goes in, with the time of the caller's own
// monotonic clock, and a transition of one zone comes out.
//
// A failing zone and a failing observer are distinguished in steps (see Rules.Judge). A member that reaches hardly any endpoint of any
// zone is isolated, and its reports are about itself. A zone is down if most of its endpoints are unreachable to members of
// more than one zone while most endpoints of the others are reachable. If only members of one zone report it, the path between
// the two zones is broken. If endpoints of all zones are unreachable alike, the cause is a release or overload, and a shift
// would make it worse. A shift also needs a health quorum: enough members that found the zone down by health checks.
package zonefailover

import (
	"fmt"
	"time"
)

// Rules are the parameters by which a zone is left and returned to.
type Rules struct {
	// UnreachableThreshold is the fraction of a zone's endpoints, above 0, from which the zone counts as down.
	UnreachableThreshold float64
	// MaxUnreachableElsewhere is the fraction of the other zones' endpoints that may be unreachable during a shift.
	MaxUnreachableElsewhere float64
	// MinRemainingCapacity is the fraction of all endpoints that must be in zones wholly in service after a shift.
	MinRemainingCapacity float64
	// StepDuration is how long a step of the recovery ramp is observed before the next.
	StepDuration time.Duration
	// HoldDown is the least time between a shift and the recovery; it doubles with each relapse, up to MaxHoldDown.
	HoldDown, MaxHoldDown time.Duration
	// GrayFailures allows a shift away from a zone that fails in part.
	GrayFailures bool
	// HealthQuorum is how many members must find the zone unreachable by health checks before a shift, and healthy before the
	// recovery begins.
	HealthQuorum int
	// WarmUp is how long a zone counts as recovering after the last step of its ramp, since its endpoints may still be warming
	// up; 0: not at all.
	WarmUp time.Duration
}

// DefaultRules suit zones of several endpoints each.
func DefaultRules() Rules {
	return Rules{
		UnreachableThreshold:    0.6,
		MaxUnreachableElsewhere: 0.25,
		MinRemainingCapacity:    0.5,
		StepDuration:            2 * time.Second,
		HoldDown:                2 * time.Second,
		MaxHoldDown:             5 * time.Minute,
		HealthQuorum:            2,
	}
}

// Validate returns an error that names the first parameter out of its range.
func (r Rules) Validate() error {
	switch {
	case !(r.UnreachableThreshold > 0 && r.UnreachableThreshold <= 1):
		return fmt.Errorf("a zone counts as down from %g of its servers on, which is not above 0 and at most 1", r.UnreachableThreshold)
	case !(r.MaxUnreachableElsewhere >= 0 && r.MaxUnreachableElsewhere < r.UnreachableThreshold):
		return fmt.Errorf("%g of the other zones' servers may be silent, which is not below the %g from which a zone is down",
			r.MaxUnreachableElsewhere, r.UnreachableThreshold)
	case !(r.MinRemainingCapacity >= 0 && r.MinRemainingCapacity < 1):
		return fmt.Errorf("%g of all servers must stay in use, which is not below 1", r.MinRemainingCapacity)
	case r.StepDuration <= 0 || r.HoldDown <= 0 || r.MaxHoldDown < r.HoldDown:
		return fmt.Errorf("a step of %v, a hold of %v and of %v at most: all above 0, and the last the longest", r.StepDuration, r.HoldDown, r.MaxHoldDown)
	case r.HealthQuorum < 1:
		return fmt.Errorf("%d members have to look, below 1", r.HealthQuorum)
	case r.WarmUp < 0:
		return fmt.Errorf("servers are cold for %v, below 0", r.WarmUp)
	}
	return nil
}
