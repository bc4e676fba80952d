package lease

import (
	"errors"
	"fmt"
	"time"
)

// maxDrift is the largest Timing.MaxClockDrift that Validate accepts.
const maxDrift = 0.2

// Timing are the durations that all processes of a fleet must agree on. Nothing checks that: a client with a longer TTL than the leader's
// acts on its lease after that was granted to another.
type Timing struct {
	// TTL is how long the leader lets a session live after a keepalive, by the leader's clock.
	TTL time.Duration
	// MaxClockDrift bounds how far the rate of any clock is from true time, as a fraction: 0.01 allows a clock to run 1% fast or slow.
	// Beyond it only the fencing tokens protect.
	MaxClockDrift float64
	// SafetyMargin shortens ClientTTL by the time that may pass between reading the clock and acting on it.
	SafetyMargin time.Duration
}

// ClientTTL is how long a client may act after it sent a keepalive that succeeded, by its own clock. A slow clock counts ClientTTL in
// less true time than a fast one counts TTL.
func (t Timing) ClientTTL() time.Duration {
	return time.Duration(float64(t.TTL)*(1-t.MaxClockDrift)/(1+t.MaxClockDrift)) - t.SafetyMargin
}

// KeepAliveInterval is the time between two keepalives: three may be lost before the session expires.
func (t Timing) KeepAliveInterval() time.Duration { return t.ClientTTL() / 4 }

// Validate returns an error that names the value that can't be used.
func (t Timing) Validate() error {
	switch {
	case t.TTL <= 0:
		return errors.New("the term is not above 0")
	case !(t.MaxClockDrift >= 0 && t.MaxClockDrift <= maxDrift): // also NaN
		return fmt.Errorf("the drift is %v, outside 0 to %v", t.MaxClockDrift, maxDrift)
	case t.SafetyMargin < 0:
		return errors.New("the guard is below 0")
	case t.ClientTTL() < t.TTL/4:
		return fmt.Errorf("of a term of %v, %v are left to a holder after drift and guard, less than a quarter", t.TTL, t.ClientTTL())
	}
	return nil
}
