package spillover

import "time"

// GrantConfig are the parameters of the capacity that a site grants to others.
type GrantConfig struct {
	Window  time.Duration // over which the site's own state is judged, above 0
	Initial int           // requests granted at the start
	Max     int           // requests granted at most
	// MaxRejectedRatio is the fraction of its own requests that a site may reject in a window and still count as having capacity,
	// 0 to 1.
	MaxRejectedRatio float64
}

const (
	// maxIdleWindows is how many windows in a row are judged one by one when nothing has happened for long.
	maxIdleWindows = 8
	// congestionAvoidanceDivisor: above the slow start threshold the grant grows by its size over this.
	congestionAvoidanceDivisor = 4
)

// Grant decides how many requests of other sites a site takes at once. As in TCP's slow start and congestion avoidance, the grant
// is doubled in each window in which it was used and the site rejected nothing, halved in each in which it did, and above half of
// what was last too much it grows by a quarter. A site that is short of capacity itself soon takes nothing, and asks for little
// again once it is not. It is not safe for concurrent use.
type Grant struct {
	cfg                GrantConfig
	size               float64 // requests
	slowStartThreshold float64 // the size from which it grows by a quarter; 0: nothing was too much yet
	windowStart        time.Duration

	localRequests, localRejected   int // of the site's own clients in the window
	remoteRequests, remoteRejected int // of other sites in the window
	maxInFlight                    int // of other sites' requests in the window
	inFlight                       int // other sites' requests
}

// NewGrant returns what a site grants at its start.
func NewGrant(cfg GrantConfig) *Grant {
	return &Grant{cfg: cfg, size: float64(min(cfg.Initial, cfg.Max))}
}

// RecordLocal notes a request of the site's own clients.
func (g *Grant) RecordLocal(now time.Duration) {
	g.advanceWindow(now)
	g.localRequests++
}

// RecordLocalRejected notes that one of them was rejected.
func (g *Grant) RecordLocalRejected(now time.Duration) {
	g.advanceWindow(now)
	g.localRejected++
}

// RecordRemote notes that a request of another site has come. RecordRemoteDone must follow.
func (g *Grant) RecordRemote(now time.Duration) {
	g.advanceWindow(now)
	g.remoteRequests++
	g.inFlight++
	g.maxInFlight = max(g.maxInFlight, g.inFlight)
}

// RecordRemoteDone notes that one has its response, and whether it was rejected.
func (g *Grant) RecordRemoteDone(now time.Duration, rejected bool) {
	g.advanceWindow(now)
	g.inFlight = max(0, g.inFlight-1)
	if rejected {
		g.remoteRejected++
	}
}

// Available is how many more requests of other sites may come now, beside those in flight.
func (g *Grant) Available(now time.Duration) int {
	g.advanceWindow(now)
	return max(0, int(g.size)-g.inFlight)
}

// advanceWindow closes the windows that are over.
func (g *Grant) advanceWindow(now time.Duration) {
	for n := 0; now-g.windowStart >= g.cfg.Window; n++ {
		if n > maxIdleWindows {
			g.windowStart = now
			break
		}
		g.windowStart += g.cfg.Window
		g.resize()
		g.localRequests, g.localRejected, g.remoteRequests, g.remoteRejected = 0, 0, 0, 0
		g.maxInFlight = g.inFlight
	}
}

// resize sets the size by the window that is over.
func (g *Grant) resize() {
	shortOfCapacity := g.localRequests > 0 && float64(g.localRejected) > g.cfg.MaxRejectedRatio*float64(g.localRequests)
	mostRemoteRejected := g.remoteRejected > 0 && 2*g.remoteRejected >= g.remoteRequests
	wasUsed := 2*g.maxInFlight >= int(g.size)
	switch {
	case shortOfCapacity || mostRemoteRejected:
		g.size /= 2
		g.slowStartThreshold = g.size
		if g.size < 1 {
			g.size = 0
		}
	case g.remoteRejected > 0: // about as much as the site can take
	case g.size < 1:
		g.size = 1 // one request shows whether there is capacity again
	case wasUsed:
		growth := g.size
		if g.slowStartThreshold > 0 && g.size >= g.slowStartThreshold {
			growth = max(1, g.size/congestionAvoidanceDivisor)
		}
		g.size = min(float64(g.cfg.Max), g.size+growth)
	}
}
