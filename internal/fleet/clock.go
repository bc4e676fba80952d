package fleet

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// clockRateVariable names an environment variable for end-to-end tests. Its value is the rate of this process's clock relative to real
// time.
const clockRateVariable = "SORRELRUDDER_LAB_CLOCK"

// Clock is a monotonic clock that also advances while the machine is suspended, unlike the monotonic clock of package time. Leases that
// expire during a suspension have therefore expired when the process continues. A hypervisor that stops the guest's clock during a pause
// breaks this property: then only fencing tokens protect a resource. A Clock is safe for concurrent use.
type Clock struct {
	origin int64
	rate   float64
}

// NewClock returns a clock whose origin is the present. It returns an error if the machine has no such clock or the rate for tests is
// invalid.
func NewClock() (*Clock, error) {
	c := &Clock{rate: 1}
	if text := os.Getenv(clockRateVariable); text != "" {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil || !(rate > 0.5 && rate < 2) {
			return nil, fmt.Errorf("%s: invalid clock rate %q: expected a number between 0.5 and 2", clockRateVariable, text)
		}
		c.rate = rate
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return nil, fmt.Errorf("reading the clock CLOCK_BOOTTIME: %w", err)
	}
	c.origin = ts.Nano()
	return c, nil
}

// Now returns the time since NewClock.
func (c *Clock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("reading the clock CLOCK_BOOTTIME: " + err.Error()) // NewClock has read this clock, and a guessed time is unsafe for leases
	}
	return time.Duration(float64(ts.Nano()-c.origin) * c.rate)
}

// Real converts a duration of this clock to real time. The two differ only in a test that sets the rate of the clock.
func (c *Clock) Real(d time.Duration) time.Duration { return time.Duration(float64(d) / c.rate) }
