package gossip

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Failure detection as in SWIM (Das, Gupta, Motivala 2002): in each period one member is pinged, in turn; if it does not
// respond, others ping it on this process' behalf; if they hear nothing either, it is suspected, and dead unless it refutes the
// suspicion in time. Of Lifeguard (Dadgar, Phillips, Currey 2018): a process that has signs of being slow itself takes more
// time before it suspects others (local health), a suspicion lasts the longer the fewer share it, and a suspected member
// learns so from the ping.
const (
	// indirectPingCount is how many others are asked to ping a member that does not respond.
	indirectPingCount = 3
	// suspicionMinMultiplier times logFleetSize is the least time to refute a suspicion, in ping intervals.
	suspicionMinMultiplier = 4
	// suspicionMaxMultiplier times the least time is the longest.
	suspicionMaxMultiplier = 6
	// maxConfirmations is how many more who suspect a member shorten its time to refute to the least.
	maxConfirmations = 3
	// maxHealthScore bounds Lifeguard's local health score.
	maxHealthScore = 8
	// deadPingPeriods: once in so many periods a member that is gone is pinged, so that a partition that has healed is noticed.
	deadPingPeriods = 8
	// maxIndirectPingsPerMember bounds the pings on others' behalf, for each member of the fleet.
	maxIndirectPingsPerMember = 4
)

// failureDetector is the state of the pings of one node.
type failureDetector struct {
	ping            *pendingPing             // nil: none is in flight
	indirectPings   map[uint64]*indirectPing // on others' behalf, by the number of the ping
	nextPing        time.Duration
	nextExpiryCheck time.Duration // when suspicions and dead members are next checked for their end
	peerIndex       int           // of the next in Node.peers to ping
	periods         int           // that have begun
	healthScore     int           // 0: healthy, to maxHealthScore
}

// pendingPing is the ping of the present period.
type pendingPing struct {
	target       string
	seq          uint64
	indirectAt   time.Duration // when others are asked to ping the target
	deadline     time.Duration
	indirectSent bool
	missingNacks int // of those who were asked to ping
	acked        bool
}

// indirectPing is a ping on another's behalf.
type indirectPing struct {
	requester    string
	target       string
	requesterSeq uint64 // number of the requester's ping
	deadline     time.Duration
}

// HealthScore is Lifeguard's local health score: intervals are lengthened by so many times themselves; 0 to 8.
func (n *Node) HealthScore() int { return n.detector.healthScore }

// adjustHealth raises the health score on a sign that this process is slow or cut off, and lowers it on one of the contrary.
func (n *Node) adjustHealth(by int) {
	n.detector.healthScore = min(maxHealthScore, max(0, n.detector.healthScore+by))
}

// scaleByHealth lengthens a time by the health score.
func (n *Node) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+n.detector.healthScore)
}

// suspicionTimeout is how long a suspected member has to refute, given how many more than one suspect it.
func (n *Node) suspicionTimeout(confirmations int) time.Duration {
	least := time.Duration(suspicionMinMultiplier * n.logFleetSize() * float64(n.cfg.PingInterval))
	longest := suspicionMaxMultiplier * least
	share := math.Log(float64(confirmations)+1) / math.Log(maxConfirmations+1)
	return n.scaleByHealth(max(least, longest-time.Duration(share*float64(longest-least))))
}

// detectFailures pings one member in each period, and ends the pings and suspicions that are due.
func (n *Node) detectFailures(now time.Duration) {
	n.advancePing(now)
	n.startPing(now)
	n.expireIndirectPings(now)
	if now >= n.detector.nextExpiryCheck {
		n.detector.nextExpiryCheck = now + n.cfg.GossipInterval
		n.expireUnhealthy(now)
	}
}

// advancePing asks others to ping the target of the pending ping, or ends it.
func (n *Node) advancePing(now time.Duration) {
	ping := n.detector.ping
	switch {
	case ping == nil:
	case !ping.acked && !ping.indirectSent && now >= ping.indirectAt:
		ping.indirectSent = true
		helpers := n.randomMembers(indirectPingCount, func(m *member) bool { return m.Name != ping.target && m.State == Alive })
		for _, helper := range helpers {
			ping.missingNacks++
			n.send(helper, &Message{Kind: PingRequestMessage, Seq: ping.seq, Target: ping.target})
		}
	case now >= ping.deadline:
		n.detector.ping = nil
		if ping.acked {
			n.adjustHealth(-1)
			return
		}
		n.adjustHealth(1 + ping.missingNacks) // helpers that do not respond either: it may be this process that is cut off
		n.suspect(now, n.members[ping.target])
	}
}

// suspect suspects a member that did not respond.
func (n *Node) suspect(now time.Duration, m *member) {
	switch m.State {
	case Alive, Unknown:
		n.Stats.Suspicions++
	case Suspect:
	default:
		return
	}
	n.applyMemberState(now, MemberState{m.Name, m.Incarnation, m.Refutations, Suspect, n.cfg.Name})
}

// startPing begins a period if it is time.
func (n *Node) startPing(now time.Duration) {
	if n.detector.ping != nil || now < n.detector.nextPing {
		return
	}
	period := n.scaleByHealth(n.cfg.PingInterval)
	n.detector.nextPing = now + period
	target := n.nextPingTarget()
	if target == "" {
		return
	}
	n.lastSeq++
	n.detector.ping = &pendingPing{target: target, seq: n.lastSeq, indirectAt: now + period/3, deadline: now + period*9/10}
	n.send(target, &Message{Kind: PingMessage, Seq: n.lastSeq, Members: n.pingUpdates(target)})
}

// expireIndirectPings sends a Nack for each indirect ping without a response in time.
func (n *Node) expireIndirectPings(now time.Duration) {
	for _, seq := range slices.Sorted(maps.Keys(n.detector.indirectPings)) {
		if ping := n.detector.indirectPings[seq]; now >= ping.deadline {
			delete(n.detector.indirectPings, seq)
			n.send(ping.requester, &Message{Kind: NackMessage, Seq: ping.requesterSeq})
		}
	}
}

// expireUnhealthy declares suspected members dead that did not refute in time, and reaps the entries of those long dead.
func (n *Node) expireUnhealthy(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(n.unhealthy)) {
		m := n.members[name]
		switch {
		case m.State == Suspect && now >= m.stateSince+n.suspicionTimeout(len(m.suspectedBy)-1):
			n.setMemberState(now, m, MemberState{Name: name, Incarnation: m.Incarnation, Refutations: m.Refutations, State: Dead})
		case m.State == Dead && now >= m.stateSince+n.cfg.DeadRetention:
			if _, reaped := n.store.Incarnation(name); reaped < m.Incarnation {
				n.applyOwnerState(OwnerState{name, m.Incarnation, m.Incarnation})
			}
			delete(n.unhealthy, name)
		}
	}
}

// pingUpdates are the states that go with a ping or its ack; a member that is suspected can refute at once.
func (n *Node) pingUpdates(to string) []MemberState {
	updates := []MemberState{n.ownState()}
	if m := n.members[to]; m != nil && m.State != Unknown && m.State != Alive {
		updates = append(updates, m.MemberState)
	}
	return updates
}

// nextPingTarget is who is pinged next: all peers in a random order, drawn anew each time round, and now and then one that is
// gone; empty if there is none.
func (n *Node) nextPingTarget() string {
	d := &n.detector
	d.periods++
	if d.periods%deadPingPeriods == 0 {
		gone := n.randomMembers(1, func(m *member) bool { return m.State == Dead || m.State == Left || m.State == Unknown })
		if len(gone) > 0 {
			return gone[0]
		}
	}
	for range 2 * len(n.peers) {
		if d.peerIndex >= len(n.peers) {
			d.peerIndex = 0
			n.shuffle(n.peers)
		}
		name := n.peers[d.peerIndex]
		d.peerIndex++
		if s := n.members[name].State; s == Alive || s == Suspect || s == Unknown && n.stateCounts[Alive] == 0 {
			return name
		}
	}
	return ""
}

// handlePing acknowledges.
func (n *Node) handlePing(now time.Duration, from string, m *Message) {
	n.send(from, &Message{Kind: AckMessage, Seq: m.Seq, Load: n.catchUpLoad(now), Members: n.pingUpdates(from)})
}

// handlePingRequest pings the target on the sender's behalf.
func (n *Node) handlePingRequest(now time.Duration, from string, m *Message) {
	if n.members[m.Target] == nil || len(n.detector.indirectPings) >= maxIndirectPingsPerMember*len(n.memberNames) {
		return
	}
	n.lastSeq++
	n.detector.indirectPings[n.lastSeq] = &indirectPing{
		requester: from, target: m.Target, requesterSeq: m.Seq, deadline: now + n.scaleByHealth(n.cfg.PingInterval)/2,
	}
	n.send(m.Target, &Message{Kind: PingMessage, Seq: n.lastSeq, Members: n.pingUpdates(m.Target)})
}

// handleAck ends this process' own ping, or one on another's behalf.
func (n *Node) handleAck(from string, m *Message) {
	if ping := n.detector.ping; ping != nil && ping.seq == m.Seq {
		ping.acked = true
		return
	}
	if ping := n.detector.indirectPings[m.Seq]; ping != nil && ping.target == from {
		delete(n.detector.indirectPings, m.Seq)
		n.send(ping.requester, &Message{Kind: AckMessage, Seq: ping.requesterSeq, Members: []MemberState{n.members[from].MemberState}})
	}
}

// handleNack notes that a helper is alive, and heard nothing of the target either.
func (n *Node) handleNack(m *Message) {
	if ping := n.detector.ping; ping != nil && ping.seq == m.Seq {
		ping.missingNacks--
	}
}

// nextDetection is when detectFailures has something to do at the latest.
func (n *Node) nextDetection() time.Duration {
	at := n.detector.nextPing
	if len(n.unhealthy) > 0 {
		at = min(at, n.detector.nextExpiryCheck)
	}
	for _, ping := range n.detector.indirectPings {
		at = min(at, ping.deadline)
	}
	if ping := n.detector.ping; ping != nil {
		if !ping.indirectSent && !ping.acked {
			at = min(at, ping.indirectAt)
		}
		at = min(at, ping.deadline)
	}
	return at
}
