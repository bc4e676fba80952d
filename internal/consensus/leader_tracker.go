package consensus

import "time"

// LeaderTracker picks the member to which a request for the leader is sent: the leader if known, otherwise the given members in
// round-robin order. A member that did not answer is skipped for the backoff time, even if other members report it as the leader. All times
// are readings of the process's monotonic clock. It is not safe for concurrent use.
type LeaderTracker struct {
	members          []string
	leader           string
	current          int // index in members of the last pick in round-robin order; the start value before the first pick
	unreachableUntil map[string]time.Duration
	backoff          time.Duration
}

// NewLeaderTracker returns a tracker that knows no leader. Its first pick is members[(start+1) modulo len(members)]: with different start
// values, processes send their first requests to different members. backoff is how long a member that did not answer is skipped.
func NewLeaderTracker(members []string, start int, backoff time.Duration) *LeaderTracker {
	return &LeaderTracker{members: members, current: start, unreachableUntil: map[string]time.Duration{}, backoff: backoff}
}

// Leader returns the presumed leader, empty if none is known.
func (t *LeaderTracker) Leader() string { return t.leader }

// Pick returns the member to send a request to now. If all members are skipped, it returns the next one in round-robin order.
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

// advance moves to the next member in round-robin order.
func (t *LeaderTracker) advance() { t.current = (t.current + 1) % len(t.members) }

// LeaderConfirmed records that a member has answered as the leader.
func (t *LeaderTracker) LeaderConfirmed(member string) {
	delete(t.unreachableUntil, member)
	t.leader = member
}

// Redirected records that a member is not the leader. leader is the member that it reports as the leader, or empty. The result tells
// whether to send the request to leader at once. It is false if leader is empty, is member itself, or is skipped.
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

// Unreachable records that a member did not answer in time or can't be reached.
func (t *LeaderTracker) Unreachable(now time.Duration, member string) {
	t.unreachableUntil[member] = now + t.backoff
	if t.leader == member {
		t.leader = ""
	}
}
