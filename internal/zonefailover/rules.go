// Package zonefailover decides when a fleet shifts its traffic away from a failing zone and how fast the traffic returns. The
// holder of a lease decides for all processes. Its decisions go through consensus, and all processes apply them. The package has
// no I/O and no clock: the caller passes in the members' reports on endpoints and the time of its own monotonic clock, and
// receives the transition of one zone.
//
// Rules.Judge distinguishes a failing zone from a failing observer:
//
//   - A member that reports at least UnreachableThreshold of all endpoints, and some of each zone, is isolated. Its reports are
//     ignored.
//   - A zone is down if at least UnreachableThreshold of its endpoints are reported unreachable, the reporting members are in at
//     least two zones, and at most MaxUnreachableElsewhere of the endpoints of the other zones are unreachable.
//   - If only members of one zone report the zone, the network path between the two zones is broken.
//   - If endpoints of all zones are unreachable, the cause is a release or overload. A shift would make the failure worse.
//
// If a zone that is fully in service is down, a shift also requires a health quorum: enough members whose health checks found the
// zone down. A shift because of a gray failure, and a step back during the recovery, do not require it.
package zonefailover

import (
	"fmt"
	"time"
)

// Rules are the parameters for shifting traffic away from a zone and for the recovery.
type Rules struct {
	// UnreachableThreshold is the fraction of unreachable endpoints at which a zone counts as down, above 0 and at most 1.
	UnreachableThreshold float64
	// MaxUnreachableElsewhere is the maximum fraction of unreachable endpoints in the other zones at which a shift is allowed.
	MaxUnreachableElsewhere float64
	// MinRemainingCapacity is the minimum fraction of all endpoints that must be in zones fully in service after a shift.
	MinRemainingCapacity float64
	// StepDuration is the minimum duration of each step of the recovery ramp.
	StepDuration time.Duration
	// HoldDown is the minimum time between a shift and the start of the recovery. It doubles with each relapse, up to MaxHoldDown.
	HoldDown, MaxHoldDown time.Duration
	// GrayFailures allows a shift away from a zone with a gray failure (partial failure).
	GrayFailures bool
	// HealthQuorum is the number of members whose health checks must find the zone unreachable before a shift because the zone is
	// down, and healthy before each step of the recovery. If fewer members can check the zone, all of them must agree. A shift
	// because of a gray failure, and a step back, do not require it.
	HealthQuorum int
	// WarmUp is how long a zone counts as recovering after the last step of its ramp, because its endpoints may still be warming
	// up. 0 disables the warm-up.
	WarmUp time.Duration
}

// DefaultRules returns rules for zones of several endpoints each.
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

// Validate returns an error for the first parameter that is out of range.
func (r Rules) Validate() error {
	switch {
	case !(r.UnreachableThreshold > 0 && r.UnreachableThreshold <= 1):
		return fmt.Errorf("zone failover: threshold of unreachable endpoints is %g, want above 0 and at most 1", r.UnreachableThreshold)
	case !(r.MaxUnreachableElsewhere >= 0 && r.MaxUnreachableElsewhere < r.UnreachableThreshold):
		return fmt.Errorf("zone failover: maximum fraction of unreachable endpoints in other zones is %g, want at least 0 and below the threshold %g",
			r.MaxUnreachableElsewhere, r.UnreachableThreshold)
	case !(r.MinRemainingCapacity >= 0 && r.MinRemainingCapacity < 1):
		return fmt.Errorf("zone failover: minimum remaining capacity is %g of all endpoints, want at least 0 and below 1", r.MinRemainingCapacity)
	case r.StepDuration <= 0 || r.HoldDown <= 0 || r.MaxHoldDown < r.HoldDown:
		return fmt.Errorf("zone failover: step duration is %v, hold-down %v, maximum hold-down %v; want all above 0 and the maximum not below the hold-down", r.StepDuration, r.HoldDown, r.MaxHoldDown)
	case r.HealthQuorum < 1:
		return fmt.Errorf("zone failover: health quorum is %d members, want at least 1", r.HealthQuorum)
	case r.WarmUp < 0:
		return fmt.Errorf("zone failover: warm-up is %v, want at least 0", r.WarmUp)
	}
	return nil
}
