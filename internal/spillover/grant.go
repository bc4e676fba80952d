package spillover

import "time"

// GrantConfig is what the operator says of the room that a site grants.
type GrantConfig struct {
	Window  time.Duration // over which its own state is judged, above 0
	Initial int           // granted at the start
	Max     int           // granted at most
	// MaxRejectedRatio is the part of its own requests that a site may turn down in a window and still count as having room, 0 to 1.
	MaxRejectedRatio float64
}

// Grant decides how many requests of other sites a site takes at once. It is doubled in each window in which the site turned
// nothing down and the room was used, and halved in each in which it did: a site that is short itself soon takes nothing, and
// asks for little again once it is not. Above half of what was too much last it grows by a quarter (the slow start and the
// avoidance of congestion of TCP). It is not safe for concurrent use.
type Grant struct {
	cfg                GrantConfig
	size               float64
	slowStartThreshold float64 // from here on it grows by a quarter; 0: nothing was too much yet
	windowStart        time.Duration
	localRequests      int // requests of the site's own clients in the window
	localRejected      int // of them turned down
	remoteRequests     int // foreign ones
	remoteRejected     int // of them turned down
	maxInFlight        int // out at once
	inFlight           int
}

// NewGrant returns what a site grants at its start.
func NewGrant(cfg GrantConfig) *Grant {
	return &Grant{cfg: cfg, size: float64(min(cfg.Initial, cfg.Max))}
}

// RecordLocal notes a request of the site's own clients, and Short that one was turned down.
func (g *Grant) RecordLocal(now time.Duration) { g.advance(now); g.localRequests++ }

// RecordLocalRejected notes that one of them was turned down.
func (g *Grant) RecordLocalRejected(now time.Duration) { g.advance(now); g.localRejected++ }

// RecordRemote notes that a foreign request has come. Back must follow.
func (g *Grant) RecordRemote(now time.Duration) {
	g.advance(now)
	g.remoteRequests++
	g.inFlight++
	g.maxInFlight = max(g.maxInFlight, g.inFlight)
}

// RecordRemoteDone notes that one has its answer, and whether that was a refusal.
func (g *Grant) RecordRemoteDone(now time.Duration, refused bool) {
	g.advance(now)
	g.inFlight = max(0, g.inFlight-1)
	if refused {
		g.remoteRejected++
	}
}

// Available is how many more foreign requests may come now, beside those that are out.
func (g *Grant) Available(now time.Duration) int {
	g.advance(now)
	return max(0, int(g.size)-g.inFlight)
}

func (g *Grant) advance(now time.Duration) {
	for n := 0; now-g.windowStart >= g.cfg.Window; n++ {
		if n > 8 { // nothing has happened for long: the windows are all alike
			g.windowStart = now
			break
		}
		g.windowStart += g.cfg.Window
		shortOwn := g.localRequests > 0 && float64(g.localRejected) > g.cfg.MaxRejectedRatio*float64(g.localRequests)
		switch {
		case shortOwn || g.remoteRejected > 0 && 2*g.remoteRejected >= g.remoteRequests:
			g.size /= 2
			g.slowStartThreshold = g.size
			if g.size < 1 {
				g.size = 0
			}
		case g.remoteRejected > 0: // about as much as can be taken
		case g.size < 1:
			g.size = 1 // one shows whether there is room again
		case 2*g.maxInFlight >= int(g.size):
			more := g.size
			if g.slowStartThreshold > 0 && g.size >= g.slowStartThreshold {
				more = max(1, g.size/4)
			}
			g.size = min(float64(g.cfg.Max), g.size+more)
		}
		g.localRequests, g.localRejected, g.remoteRequests, g.remoteRejected, g.maxInFlight = 0, 0, 0, 0, g.inFlight
	}
}
