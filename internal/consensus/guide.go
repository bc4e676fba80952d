package consensus

import "time"

// LeaderTracker decides whom of the council a process asks: the leader, as far as it knows one, and otherwise one after the other. One that
// does not answer is left out for a while, also if others still take it for the leader. Its times are of the process' clock.
type LeaderTracker struct {
	members          []string
	leader           string
	next             int
	unreachableUntil map[string]time.Duration // until when
	backoff          time.Duration
}

// NewLeaderTracker returns one that begins with the turn-th of the names. pause is for how long one that was silent is left out.
func NewLeaderTracker(names []string, turn int, pause time.Duration) *LeaderTracker {
	return &LeaderTracker{members: names, next: turn, unreachableUntil: map[string]time.Duration{}, backoff: pause}
}

// Leader is whom the process takes for the leader, empty if nobody.
func (g *LeaderTracker) Leader() string { return g.leader }

// Pick says whom to ask.
func (g *LeaderTracker) Pick(now time.Duration) string {
	if g.leader != "" && g.unreachableUntil[g.leader] <= now {
		return g.leader
	}
	g.leader = ""
	for range g.members {
		g.next = (g.next + 1) % len(g.members)
		if g.unreachableUntil[g.members[g.next]] <= now {
			return g.members[g.next]
		}
	}
	g.next = (g.next + 1) % len(g.members)
	return g.members[g.next] // all are silent: whoever it is
}

// LeaderConfirmed tells that one has answered as the leader.
func (g *LeaderTracker) LeaderConfirmed(who string) {
	delete(g.unreachableUntil, who)
	g.leader = who
}

// Redirected tells that one does not lead, and whom it takes for the leader. It reports whether that one is worth asking at once.
func (g *LeaderTracker) Redirected(now time.Duration, who, leader string) bool {
	delete(g.unreachableUntil, who)
	if g.leader == who {
		g.leader = ""
	}
	if leader == "" || leader == who || g.unreachableUntil[leader] > now {
		return false
	}
	g.leader = leader
	return true
}

// Unreachable tells that one did not answer in time, or can't be reached.
func (g *LeaderTracker) Unreachable(now time.Duration, who string) {
	g.unreachableUntil[who] = now + g.backoff
	if g.leader == who {
		g.leader = ""
	}
}
