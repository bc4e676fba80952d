package lease

import (
	"errors"
	"fmt"
	"time"
)

// maxDrift is the largest Timing.MaxClockDrift that Validate accepts.
const maxDrift = 0.2

// Timing holds the durations that all processes of a fleet must agree on. The agreement is not checked: a client with a longer TTL than the
// leader's acts on a lease after the leader has granted the lease to another session.
type Timing struct {
	// TTL is how long the leader keeps a session after a keepalive, by the leader's clock.
	TTL time.Duration
	// MaxClockDrift bounds the deviation of any clock's rate from true time, as a fraction: 0.01 allows a clock to run 1% fast or slow.
	// With a larger deviation only the fencing tokens protect against two holders.
	MaxClockDrift float64
	// SafetyMargin shortens ClientTTL to cover the time between reading the clock and acting on the reading.
	SafetyMargin time.Duration
}

// ClientTTL returns how long a client may act on its leases after it sent a successful keepalive, by its own clock. ClientTTL on a slow
// clock takes less true time than TTL on a fast clock.
func (t Timing) ClientTTL() time.Duration {
	return time.Duration(float64(t.TTL)*(1-t.MaxClockDrift)/(1+t.MaxClockDrift)) - t.SafetyMargin
}

// KeepAliveInterval returns the time from sending a keepalive that succeeds to sending the next one: a quarter of ClientTTL. A keepalive
// without a response is sent again after half of this time, so five successive keepalives may be lost before the client has to stop acting.
func (t Timing) KeepAliveInterval() time.Duration { return t.ClientTTL() / 4 }

// Validate returns an error that names the first invalid value, or nil.
func (t Timing) Validate() error {
	switch {
	case t.TTL <= 0:
		return errors.New("lease TTL (term) must be above 0")
	case !(t.MaxClockDrift >= 0 && t.MaxClockDrift <= maxDrift): // also NaN
		return fmt.Errorf("maximum clock drift (drift) is %v, want 0 to %v", t.MaxClockDrift, maxDrift)
	case t.SafetyMargin < 0:
		return errors.New("safety margin (guard) must not be negative")
	case t.ClientTTL() < t.TTL/4:
		return fmt.Errorf("of a term of %v, drift and guard leave a lease holder only %v, want at least a quarter of the term", t.TTL, t.ClientTTL())
	}
	return nil
}
