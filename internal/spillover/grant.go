package spillover

import "time"

// GrantConfig holds the parameters of the capacity that a site grants to other sites.
type GrantConfig struct {
	Window  time.Duration // over which the local site's capacity is measured, above 0
	Initial int           // requests granted at the start
	Max     int           // maximum number of requests granted
	// MaxRejectedRatio is the largest fraction of its local requests, 0 to 1, that a site may reject in a window without counting as
	// short of capacity.
	MaxRejectedRatio float64
}

const (
	// maxIdleWindows limits how many windows are evaluated after the first one when a call comes after a long time without events.
	maxIdleWindows = 8
	// congestionAvoidanceDivisor sets the growth from the slow start threshold on: the grant grows by its size divided by this.
	congestionAvoidanceDivisor = 4
)

// Grant decides how many requests of other sites a site accepts at the same time. It follows TCP's slow start and congestion
// avoidance. After a window in which at least half of the grant was used and no remote request was rejected, the grant doubles, or
// grows by a quarter once it is at least half of the last size that was too large. After a window in which the site was short of
// capacity, or rejected at least half of the remote requests, the grant is halved. A site with a capacity shortage of its own soon
// grants nothing. After the shortage it starts again with one request. A Grant is not safe for concurrent use.
type Grant struct {
	cfg                GrantConfig
	size               float64 // requests
	slowStartThreshold float64 // the size from which the grant grows by a quarter; 0: no size was too large yet
	windowStart        time.Duration

	localRequests, localRejected   int // requests of the site's own clients in the window
	remoteRequests, remoteRejected int // requests of other sites in the window
	maxInFlight                    int // maximum of inFlight in the window
	inFlight                       int // requests of other sites
}

// NewGrant returns a grant of cfg.Initial requests, or of cfg.Max if that is less.
func NewGrant(cfg GrantConfig) *Grant {
	return &Grant{cfg: cfg, size: float64(min(cfg.Initial, cfg.Max))}
}

// RecordLocal records a request of one of the site's own clients.
func (g *Grant) RecordLocal(now time.Duration) {
	g.advanceWindow(now)
	g.localRequests++
}

// RecordLocalRejected records that a request passed to RecordLocal was rejected.
func (g *Grant) RecordLocalRejected(now time.Duration) {
	g.advanceWindow(now)
	g.localRejected++
}

// RecordRemote records the arrival of a request of another site. RecordRemoteDone must follow.
func (g *Grant) RecordRemote(now time.Duration) {
	g.advanceWindow(now)
	g.remoteRequests++
	g.inFlight++
	g.maxInFlight = max(g.maxInFlight, g.inFlight)
}

// RecordRemoteDone records that a request of another site is done, and whether it was rejected.
func (g *Grant) RecordRemoteDone(now time.Duration, rejected bool) {
	g.advanceWindow(now)
	g.inFlight = max(0, g.inFlight-1)
	if rejected {
		g.remoteRejected++
	}
}

// Available returns the number of requests of other sites that the grant allows now in addition to those in flight.
func (g *Grant) Available(now time.Duration) int {
	g.advanceWindow(now)
	return max(0, int(g.size)-g.inFlight)
}

// advanceWindow ends each window that is over and resizes the grant by the counts of that window.
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

// resize adapts the size of the grant to the counts of the window that has ended.
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
	case g.remoteRejected > 0: // the size is about the site's capacity and stays
	case g.size < 1:
		g.size = 1 // one request shows whether the site has capacity again
	case wasUsed:
		growth := g.size
		if g.slowStartThreshold > 0 && g.size >= g.slowStartThreshold {
			growth = max(1, g.size/congestionAvoidanceDivisor)
		}
		g.size = min(float64(g.cfg.Max), g.size+growth)
	}
}
