package pool

import (
	"time"

	"sorrelrudder/policy"
)

// clockOffset is the time that a new clock shows. It keeps the current time far from zero, which means "never" to the decision module.
const clockOffset = time.Hour

// clock converts wall-clock and monotonic time to the decision module's time, which is the duration since origin.
type clock struct {
	origin   time.Time
	originMs int64 // origin in Unix milliseconds, computed once; see startTime
}

// newClock returns a clock whose current time is clockOffset.
func newClock() clock {
	origin := time.Now().Add(-clockOffset)
	return clock{origin: origin, originMs: origin.UnixMilli()}
}

// now returns the current time. Only runEvent may use it as the time of an event: a time read outside the pool's lock could be earlier
// than that of the preceding event.
func (c clock) now() policy.Time { return time.Since(c.origin) }

// startTime converts the start time of an endpoint from Unix milliseconds. Equal inputs give equal results even if the wall clock is
// set in between, so that no endpoint appears to have restarted. The result is zero, which means "long ago", only for a zero input.
func (c clock) startTime(unixMs int64) policy.Time {
	if unixMs == 0 {
		return 0
	}
	const maxOffsetMs = int64(1e12) // about 30 years in either direction; a larger offset could overflow
	ms := min(max(unixMs-c.originMs, -maxOffsetMs), maxOffsetMs)
	if ms == 0 {
		return 1
	}
	return time.Duration(ms) * time.Millisecond
}
