package gossip

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Failure detection follows SWIM (Das, Gupta, Motivala 2002). In each period one member is pinged, in turn. If it does not respond,
// other members ping it on behalf of this process (indirect ping). If they receive no response either, the member is suspected. It
// is declared dead unless it refutes the suspicion in time.
//
// Three extensions come from Lifeguard (Dadgar, Phillips, Currey 2018). A process that shows signs of being slow itself waits longer
// before it suspects others (local health). A suspicion lasts longer if fewer members confirm it. A ping tells a suspected member
// that it is suspected.
const (
	// indirectPingCount is the number of members that are asked to ping a member that does not respond.
	indirectPingCount = 3
	// suspicionMinMultiplier times logFleetSize is the minimum suspicion timeout, in ping intervals.
	suspicionMinMultiplier = 4
	// suspicionMaxMultiplier times the minimum is the maximum suspicion timeout.
	suspicionMaxMultiplier = 6
	// maxConfirmations is the number of further members whose suspicion reduces the timeout to the minimum.
	maxConfirmations = 3
	// maxHealthScore is the maximum of Lifeguard's local health score.
	maxHealthScore = 8
	// deadPingPeriods is the number of periods between two pings of a member that is dead, left or unknown. These pings detect that
	// a partition has healed.
	deadPingPeriods = 8
	// maxIndirectPingsPerMember times the fleet size is the maximum number of pending indirect pings.
	maxIndirectPingsPerMember = 4
)

// failureDetector is the state of the failure detection of one node.
type failureDetector struct {
	ping            *pendingPing             // nil if none is in flight
	indirectPings   map[uint64]*indirectPing // sent on behalf of other members, by sequence number of the ping
	nextPing        time.Duration
	nextExpiryCheck time.Duration // time of the next check for expired suspicions and for dead members to reap
	peerIndex       int           // index in Node.peers of the next member to ping
	periods         int           // number of periods started
	healthScore     int           // from 0 (healthy) to maxHealthScore
}

// pendingPing is the ping of the current period.
type pendingPing struct {
	target       string
	seq          uint64
	indirectAt   time.Duration // time at which other members are asked to ping the target
	deadline     time.Duration
	indirectSent bool
	missingNacks int // members asked for an indirect ping that have not sent a Nack
	acked        bool
}

// indirectPing is a ping on behalf of another member.
type indirectPing struct {
	requester    string
	target       string
	requesterSeq uint64 // sequence number of the requester's ping
	deadline     time.Duration
}

// HealthScore returns Lifeguard's local health score, from 0 to 8. Ping intervals and timeouts are multiplied by the score plus one.
func (n *Node) HealthScore() int { return n.detector.healthScore }

// adjustHealth changes the health score by delta. A positive delta indicates that this process is slow or isolated,
// a negative delta that it is healthy.
func (n *Node) adjustHealth(delta int) {
	n.detector.healthScore = min(maxHealthScore, max(0, n.detector.healthScore+delta))
}

// scaleByHealth multiplies a duration by the health score plus one.
func (n *Node) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+n.detector.healthScore)
}

// suspicionTimeout returns the time that a suspected member has to refute the suspicion. confirmations is the number of further
// members that suspect it.
func (n *Node) suspicionTimeout(confirmations int) time.Duration {
	minimum := time.Duration(suspicionMinMultiplier * n.logFleetSize() * float64(n.cfg.PingInterval))
	maximum := suspicionMaxMultiplier * minimum
	fraction := math.Log(float64(confirmations)+1) / math.Log(maxConfirmations+1)
	return n.scaleByHealth(max(minimum, maximum-time.Duration(fraction*float64(maximum-minimum))))
}

// detectFailures pings one member in each period, and processes pings and suspicions whose time has passed.
func (n *Node) detectFailures(now time.Duration) {
	n.advancePing(now)
	n.startPing(now)
	n.expireIndirectPings(now)
	if now >= n.detector.nextExpiryCheck {
		n.detector.nextExpiryCheck = now + n.cfg.GossipInterval
		n.expireUnhealthy(now)
	}
}

// advancePing requests indirect pings of the target if the pending ping is late, and evaluates the ping at its deadline.
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
		n.adjustHealth(1 + ping.missingNacks) // if the helpers do not respond either, this process may be isolated
		n.suspect(now, n.members[ping.target])
	}
}

// suspect marks a member that did not respond as suspected by this process.
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

// startPing starts a new period if it is due.
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

// expireIndirectPings sends a Nack to the requester of each indirect ping that has timed out.
func (n *Node) expireIndirectPings(now time.Duration) {
	for _, seq := range slices.Sorted(maps.Keys(n.detector.indirectPings)) {
		if ping := n.detector.indirectPings[seq]; now >= ping.deadline {
			delete(n.detector.indirectPings, seq)
			n.send(ping.requester, &Message{Kind: NackMessage, Seq: ping.requesterSeq})
		}
	}
}

// expireUnhealthy declares suspected members dead if they did not refute the suspicion in time, and reaps the entries of members that
// have been dead for DeadRetention.
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

// pingUpdates returns the member states that are sent with a ping or an Ack. If the recipient is not considered alive, they include
// its state, so that it can refute a suspicion immediately.
func (n *Node) pingUpdates(to string) []MemberState {
	updates := []MemberState{n.ownState()}
	if m := n.members[to]; m != nil && m.State != Unknown && m.State != Alive {
		updates = append(updates, m.MemberState)
	}
	return updates
}

// nextPingTarget returns the name of the next member to ping, or an empty string if there is none. It cycles through the peers in a
// random order, which is shuffled for each cycle. Once in deadPingPeriods it returns a member that is dead, left or unknown.
func (n *Node) nextPingTarget() string {
	d := &n.detector
	d.periods++
	if d.periods%deadPingPeriods == 0 {
		unavailable := n.randomMembers(1, func(m *member) bool { return m.State == Dead || m.State == Left || m.State == Unknown })
		if len(unavailable) > 0 {
			return unavailable[0]
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

// handlePing replies with an Ack.
func (n *Node) handlePing(now time.Duration, from string, m *Message) {
	n.send(from, &Message{Kind: AckMessage, Seq: m.Seq, Load: n.catchUpLoad(now), Members: n.pingUpdates(from)})
}

// handlePingRequest pings the target on behalf of the sender.
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

// handleAck completes this process's own ping, or an indirect ping, whose requester then receives an Ack.
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

// handleNack records that a helper is alive but received no response from the target.
func (n *Node) handleNack(m *Message) {
	if ping := n.detector.ping; ping != nil && ping.seq == m.Seq {
		ping.missingNacks--
	}
}

// nextDetection returns the time at which detectFailures must be called next.
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
