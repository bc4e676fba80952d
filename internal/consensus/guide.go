package consensus

import "time"

// Guide decides whom of the council a process asks: the leader, as far as it knows one, and otherwise one after the other. One that
// does not answer is left out for a while, also if others still take it for the leader. Its times are of the process' clock.
type Guide struct {
	names  []string
	leader string
	turn   int
	silent map[string]time.Duration // until when
	pause  time.Duration
}

// NewGuide returns one that begins with the turn-th of the names. pause is for how long one that was silent is left out.
func NewGuide(names []string, turn int, pause time.Duration) *Guide {
	return &Guide{names: names, turn: turn, silent: map[string]time.Duration{}, pause: pause}
}

// Leader is whom the process takes for the leader, empty if nobody.
func (g *Guide) Leader() string { return g.leader }

// Pick says whom to ask.
func (g *Guide) Pick(now time.Duration) string {
	if g.leader != "" && g.silent[g.leader] <= now {
		return g.leader
	}
	g.leader = ""
	for range g.names {
		g.turn = (g.turn + 1) % len(g.names)
		if g.silent[g.names[g.turn]] <= now {
			return g.names[g.turn]
		}
	}
	g.turn = (g.turn + 1) % len(g.names)
	return g.names[g.turn] // all are silent: whoever it is
}

// Led tells that one has answered as the leader.
func (g *Guide) Led(who string) {
	delete(g.silent, who)
	g.leader = who
}

// Elsewhere tells that one does not lead, and whom it takes for the leader. It reports whether that one is worth asking at once.
func (g *Guide) Elsewhere(now time.Duration, who, leader string) bool {
	delete(g.silent, who)
	if g.leader == who {
		g.leader = ""
	}
	if leader == "" || leader == who || g.silent[leader] > now {
		return false
	}
	g.leader = leader
	return true
}

// Silence tells that one did not answer in time, or can't be reached.
func (g *Guide) Silence(now time.Duration, who string) {
	g.silent[who] = now + g.pause
	if g.leader == who {
		g.leader = ""
	}
}
