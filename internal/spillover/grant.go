package spillover

import "time"

// GrantConfig is what the operator says of the room that a site grants.
type GrantConfig struct {
	Window time.Duration // over which its own state is judged, above 0
	First  int           // granted at the start
	Most   int           // granted at most
	// Short is the part of its own requests that a site may turn down in a window and still count as having room, 0 to 1.
	Short float64
}

// Grant decides how many requests of other sites a site takes at once. It is doubled in each window in which the site turned
// nothing down and the room was used, and halved in each in which it did: a site that is short itself soon takes nothing, and
// asks for little again once it is not. Above half of what was too much last it grows by a quarter (the slow start and the
// avoidance of congestion of TCP). It is not safe for concurrent use.
type Grant struct {
	cfg   GrantConfig
	size  float64
	slow  float64 // from here on it grows by a quarter; 0: nothing was too much yet
	from  time.Duration
	own   int // requests of the site's own clients in the window
	short int // of them turned down
	taken int // foreign ones
	full  int // of them turned down
	most  int // out at once
	out   int
}

// NewGrant returns what a site grants at its start.
func NewGrant(cfg GrantConfig) *Grant {
	return &Grant{cfg: cfg, size: float64(min(cfg.First, cfg.Most))}
}

// Own notes a request of the site's own clients, and Short that one was turned down.
func (g *Grant) Own(now time.Duration) { g.advance(now); g.own++ }

// Short notes that one of them was turned down.
func (g *Grant) Short(now time.Duration) { g.advance(now); g.short++ }

// Taken notes that a foreign request has come. Back must follow.
func (g *Grant) Taken(now time.Duration) {
	g.advance(now)
	g.taken++
	g.out++
	g.most = max(g.most, g.out)
}

// Back notes that one has its answer, and whether that was a refusal.
func (g *Grant) Back(now time.Duration, refused bool) {
	g.advance(now)
	g.out = max(0, g.out-1)
	if refused {
		g.full++
	}
}

// Room is how many more foreign requests may come now, beside those that are out.
func (g *Grant) Room(now time.Duration) int {
	g.advance(now)
	return max(0, int(g.size)-g.out)
}

func (g *Grant) advance(now time.Duration) {
	for n := 0; now-g.from >= g.cfg.Window; n++ {
		if n > 8 { // nothing has happened for long: the windows are all alike
			g.from = now
			break
		}
		g.from += g.cfg.Window
		shortOwn := g.own > 0 && float64(g.short) > g.cfg.Short*float64(g.own)
		switch {
		case shortOwn || g.full > 0 && 2*g.full >= g.taken:
			g.size /= 2
			g.slow = g.size
			if g.size < 1 {
				g.size = 0
			}
		case g.full > 0: // about as much as can be taken
		case g.size < 1:
			g.size = 1 // one shows whether there is room again
		case 2*g.most >= int(g.size):
			more := g.size
			if g.slow > 0 && g.size >= g.slow {
				more = max(1, g.size/4)
			}
			g.size = min(float64(g.cfg.Most), g.size+more)
		}
		g.own, g.short, g.taken, g.full, g.most = 0, 0, 0, 0, g.out
	}
}
