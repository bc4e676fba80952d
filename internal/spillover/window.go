package spillover

import "time"

// minOffered is how many requests of a window show before its end that the local site is short of capacity.
const minOffered = 10

// RecordLocal notes a request to the local site, and whether that rejects it because it could not be served in time.
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

// RecordRejected notes that the local site rejects a request after all, which was passed to RecordLocal as not rejected. A site
// that has lost its servers is found to be short of capacity before the window is over.
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

// advanceWindow closes the window once it is over, and decides by it whether requests spill over.
func (l *Link) advanceWindow(now time.Duration) {
	if now-l.windowStart < l.cfg.Window {
		return
	}
	offered, rejected := sum(l.offered), sum(l.rejected)
	switch {
	case offered > 0:
		ratio := min(1, float64(rejected)/float64(offered)) // some were offered in the window before
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

// selectClasses sets which classes may be forwarded: those of most value, as many as MaxForwardedRatio has room for.
func (l *Link) selectClasses(offered int) {
	room := l.cfg.MaxForwardedRatio * float64(offered)
	l.eligibleClasses = 0
	for i := range l.classOrder {
		if room <= 0 {
			break
		}
		room -= float64(l.rejected[i])
		l.eligibleClasses = i + 1
	}
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
