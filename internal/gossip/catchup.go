package gossip

import "time"

const (
	// busyPause is the least time for which a member that was busy is not asked again; up to as much again is added at random.
	busyPause = time.Second
	// catchUpLoadWindow is how long a member that was sent entries counts as load.
	catchUpLoadWindow = time.Second
)

// catchUp is the budget for entries sent to members that catch up, so that many that return at once do not slow down the rest.
type catchUp struct {
	budget    float64                  // bytes that may be sent; negative after a large reply
	updatedAt time.Duration            // of the budget
	peers     map[string]time.Duration // members that were sent entries, and when last
}

// chargeCatchUp charges a reply to the budget; if there is none left the reply says so, and has no entries.
func (n *Node) chargeCatchUp(now time.Duration, to string, reply *syncReply) {
	c := &n.catchUp
	c.budget = min(n.cfg.CatchUpBudget, c.budget+(now-c.updatedAt).Seconds()*n.cfg.CatchUpBudget)
	c.updatedAt = now
	if c.budget <= 0 {
		reply.Entries, reply.Leaves, reply.Ranges = nil, nil, nil
		reply.Busy = true
		n.Stats.CatchUpRejected++
		return
	}
	for i := range reply.Entries {
		size := reply.Entries[i].size()
		c.budget -= float64(size)
		n.Stats.CatchUpBytes += size
	}
	c.peers[to] = now
}

// catchUpLoad is how many members were sent entries lately.
func (n *Node) catchUpLoad(now time.Duration) uint16 {
	for name, at := range n.catchUp.peers {
		if now > at+catchUpLoadWindow {
			delete(n.catchUp.peers, name)
		}
	}
	return uint16(len(n.catchUp.peers))
}
