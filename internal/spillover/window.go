package spillover

import "time"

// minOffered is the number of local requests in a window from which a capacity shortage is detected before the window ends.
const minOffered = 10

// RecordLocal records a request to the local site, and whether the local site rejected it because it could not serve it in time.
// Requests of unknown classes are ignored.
func (l *Link) RecordLocal(now time.Duration, class string, rejected bool) {
	l.advanceWindow(now)
	i, known := l.classes[class]
	if !known {
		return
	}
	l.offered[i]++
	if rejected {
		l.rejected[i]++
	}
}

// RecordRejected records that the local site rejected a request that was passed to RecordLocal as not rejected. It can detect a capacity
// shortage before the window ends, for example when the site has lost its servers.
func (l *Link) RecordRejected(now time.Duration, class string) {
	l.advanceWindow(now)
	i, known := l.classes[class]
	if !known {
		return
	}
	l.rejected[i]++
	offered, rejected := sum(l.offered), sum(l.rejected)
	if !l.spilling && offered >= minOffered && float64(rejected) >= l.cfg.StartRatio*float64(offered) {
		l.spilling = true
		l.selectClasses(offered)
	}
}

// advanceWindow ends the window once it is over, and decides by its counts whether spillover starts or stops. A window without local
// requests stops spillover unless forwarded requests are in flight.
func (l *Link) advanceWindow(now time.Duration) {
	if now-l.windowStart < l.cfg.Window {
		return
	}
	offered, rejected := sum(l.offered), sum(l.rejected)
	switch {
	case offered > 0:
		ratio := min(1, float64(rejected)/float64(offered)) // rejected requests may have been offered in the previous window
		switch {
		case ratio >= l.cfg.StartRatio:
			l.spilling = true
		case ratio <= l.cfg.StopRatio:
			l.spilling = false
		}
		l.selectClasses(offered)
	case l.inFlight == 0:
		l.spilling = false
	}
	l.windowStart, l.forwarded = now, 0
	clear(l.offered)
	clear(l.rejected)
}

// selectClasses sets the classes that may be forwarded. It takes classes by descending value density until their rejected requests
// reach MaxForwardedRatio of the offered requests.
func (l *Link) selectClasses(offered int) {
	remaining := l.cfg.MaxForwardedRatio * float64(offered)
	l.eligibleClasses = 0
	for i := range l.classOrder {
		if remaining <= 0 {
			break
		}
		remaining -= float64(l.rejected[i])
		l.eligibleClasses = i + 1
	}
}

// sum returns the sum of the counts.
func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
