package pool

import (
	"time"

	"sorrelrudder/policy"
)

// clockOffset lies between the clock's origin and the start of the process. It keeps every present time far from zero, which the
// decision module takes for "never".
const clockOffset = time.Hour

// clock converts wall and monotonic time to the decision module's time.
type clock struct {
	origin   time.Time
	originMs int64 // the same instant in Unix milliseconds, read once; see startTime
}

// newClock returns a clock that shows clockOffset now.
func newClock() clock {
	origin := time.Now().Add(-clockOffset)
	return clock{origin: origin, originMs: origin.UnixMilli()}
}

// now reads the clock. Only runEvent may do so for an event's time: read outside the pool's lock, time could run backwards from one
// event to the next.
func (c clock) now() policy.Time { return time.Since(c.origin) }

// startTime converts a start in Unix milliseconds. Equal inputs give equal results even if the wall clock is set in between, so that
// no endpoint seems to have restarted. Zero, and only zero, is "long ago".
func (c clock) startTime(unixMs int64) policy.Time {
	if unixMs == 0 {
		return 0
	}
	const maxOffsetMs = int64(1e12) // about 30 years either way: more would overflow
	ms := min(max(unixMs-c.originMs, -maxOffsetMs), maxOffsetMs)
	if ms == 0 {
		return 1
	}
	return time.Duration(ms) * time.Millisecond
}
