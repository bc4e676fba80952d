package fleet

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// clockFaultsVariable names the laboratory's setting: how fast this process' clock runs beside the true one. Nobody else sets it.
const clockFaultsVariable = "SORRELRUDDER_LAB_CLOCK"

// Clock reads a clock that no one sets and that goes on while the machine is suspended, which that of package time does not: a holder
// whose machine slept must find its time gone.
type Clock struct {
	origin int64
	rate   float64
}

// NewClock returns one that begins now.
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

// Now is the time since the clock began.
func (c *Clock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("the clock has gone: " + err.Error()) // it was there a moment ago, and no time may be guessed
	}
	return time.Duration(float64(ts.Nano()-c.origin) * c.rate)
}

// Real is how long d of this clock takes.
func (c *Clock) Real(d time.Duration) time.Duration { return time.Duration(float64(d) / c.rate) }
