package gossip

import "time"

const (
	// busyBackoff is the minimum time before a member that was busy is asked again. A random time of up to the same length is added.
	busyBackoff = time.Second
	// catchUpLoadWindow is the time for which a member that was sent entries counts toward the load.
	catchUpLoadWindow = time.Second
)

// catchUp is the budget for entries sent to members that catch up. It keeps the other members responsive when many members return at
// the same time.
type catchUp struct {
	budget    float64                  // bytes that may be sent; negative after a large reply
	updatedAt time.Duration            // time of the last update of the budget
	peers     map[string]time.Duration // time at which entries were last sent, by member
}

// chargeCatchUp charges the entries of a reply to the budget. If the budget is exhausted, it marks the reply as busy and removes the
// entries and digests.
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

// catchUpLoad returns the number of members that were sent entries within catchUpLoadWindow.
func (n *Node) catchUpLoad(now time.Duration) uint16 {
	for name, at := range n.catchUp.peers {
		if now > at+catchUpLoadWindow {
			delete(n.catchUp.peers, name)
		}
	}
	return uint16(len(n.catchUp.peers))
}
