package consensus

import "time"

// LeaderTracker decides which member a process sends its requests to: the leader as far as it is known, and otherwise one member after
// the other. A member that did not answer is left out for a while, even if others take it for the leader. Its times are of the process's
// monotonic clock.
type LeaderTracker struct {
	members          []string
	leader           string
	current          int // index in members of the one that was picked last
	unreachableUntil map[string]time.Duration
	backoff          time.Duration
}

// NewLeaderTracker returns a tracker that knows no leader and picks the member after members[start] first. backoff is how long a member
// that did not answer is left out.
func NewLeaderTracker(members []string, start int, backoff time.Duration) *LeaderTracker {
	return &LeaderTracker{members: members, current: start, unreachableUntil: map[string]time.Duration{}, backoff: backoff}
}

// Leader is the member that is taken for the leader, empty if none is.
func (t *LeaderTracker) Leader() string { return t.leader }

// Pick returns the member to ask now. If none is reachable it returns the next one all the same.
func (t *LeaderTracker) Pick(now time.Duration) string {
	if t.leader != "" && t.unreachableUntil[t.leader] <= now {
		return t.leader
	}
	t.leader = ""
	for range t.members {
		t.advance()
		if t.unreachableUntil[t.members[t.current]] <= now {
			return t.members[t.current]
		}
	}
	t.advance()
	return t.members[t.current]
}

func (t *LeaderTracker) advance() { t.current = (t.current + 1) % len(t.members) }

// LeaderConfirmed tells that a member has answered as the leader.
func (t *LeaderTracker) LeaderConfirmed(member string) {
	delete(t.unreachableUntil, member)
	t.leader = member
}

// Redirected tells that a member does not lead, and which one it takes for the leader, or empty. It reports whether that one is worth
// asking at once.
func (t *LeaderTracker) Redirected(now time.Duration, member, leader string) bool {
	delete(t.unreachableUntil, member)
	if t.leader == member {
		t.leader = ""
	}
	if leader == "" || leader == member || t.unreachableUntil[leader] > now {
		return false
	}
	t.leader = leader
	return true
}

// Unreachable tells that a member did not answer in time, or can't be reached.
func (t *LeaderTracker) Unreachable(now time.Duration, member string) {
	t.unreachableUntil[member] = now + t.backoff
	if t.leader == member {
		t.leader = ""
	}
}
