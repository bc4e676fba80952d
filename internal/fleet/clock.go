package fleet

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// clockFaultsVariable is an environment variable for end-to-end tests: the rate of this process' clock against the true one.
const clockFaultsVariable = "SORRELRUDDER_LAB_CLOCK"

// Clock is a monotonic clock that also advances while the machine is suspended, which that of package time does not: after a suspension the
// leases of a process must have expired. A hypervisor that stops the guest's clock during a pause breaks this: fencing tokens alone protect
// then. It is safe for concurrent use.
type Clock struct {
	origin int64
	rate   float64
}

// NewClock returns a clock whose origin is now. The error says that the machine has no such clock.
func NewClock() (*Clock, error) {
	c := &Clock{rate: 1}
	if text := os.Getenv(clockFaultsVariable); text != "" {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil || !(rate > 0.5 && rate < 2) {
			return nil, fmt.Errorf("%s is %q", clockFaultsVariable, text)
		}
		c.rate = rate
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return nil, fmt.Errorf("the clock that counts suspended time: %w", err)
	}
	c.origin = ts.Nano()
	return c, nil
}

// Now returns the time since NewClock.
func (c *Clock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("the clock has gone: " + err.Error()) // it was there a moment ago, and no time may be guessed
	}
	return time.Duration(float64(ts.Nano()-c.origin) * c.rate)
}

// Real returns how long d of this clock takes in real time.
func (c *Clock) Real(d time.Duration) time.Duration { return time.Duration(float64(d) / c.rate) }
