package gossip

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// State is what is held of a member.
type State uint8

// The states, in the order in which they outweigh each other within one life.
const (
	Alive   State = 0
	Suspect State = 1
	Dead    State = 2
	Left    State = 3 // it has said so itself
	Unknown State = 4 // nobody has told anything of it yet
)

// String names a state.
func (s State) String() string {
	if s > Unknown {
		return "?"
	}
	return [...]string{"alive", "suspect", "dead", "left", "unheard of"}[s]
}

// MemberState is what is told of a member. Of two the one of the larger incarnation counts, then of the larger life, then the worse.
type MemberState struct {
	Name        string
	Incarnation uint64
	Refutations uint32 // a member that hears that it is suspected begins another
	State       State
	SuspectedBy string // Suspect: who has found it silent
}

func (s MemberState) compare(t MemberState) int {
	return cmp.Or(cmp.Compare(s.Incarnation, t.Incarnation), cmp.Compare(s.Refutations, t.Refutations), cmp.Compare(s.State, t.State))
}

// version orders what is told of a member, as that of an entry.
func (s MemberState) version() Version {
	return Version{s.Incarnation, uint64(s.Refutations)<<8 | uint64(s.State)}
}

func (s MemberState) digest() uint64 {
	v := s.version()
	return mix64(mix64(v.Incarnation)+v.Sequence) ^ mix64(uint64(leafIndex(s.Name, ""))+uint64(len(s.Name)))
}

// member is what a process holds of another.
type member struct {
	MemberState
	stateSince  time.Duration   // of the state
	suspectedBy map[string]bool // who have found it silent, of themselves
	load        uint16          // that it told last
	busyUntil   time.Duration   // it has no room for those that catch up until then
}

// Membership as in SWIM (Das, Gupta, Motivala 2002): each period one member is asked, in turn; where it does not answer others ask it; where
// these hear nothing either it is suspected, and dead once it has had time to object. Of Lifeguard (Dadgar, Phillips, Currey 2018): a
// process that hears of its own troubles takes more time before it accuses (local health), suspicion lasts the longer the fewer share it, and
// who asks a suspected member tells it so first.
const (
	indirectPingCount      = 3 // others that are asked to ask
	suspicionMinMultiplier = 4 // times the logarithm of the size, in periods: the least time to object
	suspicionMaxMultiplier = 6 // times that at most
	maxConfirmations       = 3 // that shorten it to the least
	maxHealthScore         = 8
	deadPingPeriods        = 8 // each so many periods one that is dead is asked, so that a split that has healed is noticed
	retransmitMultiplier   = 3 // times the logarithm of the size a rumour is sent on
)

// pendingPing is the member that is being asked.
type pendingPing struct {
	target       string
	seq          uint64
	indirectAt   time.Duration // when others are asked
	deadline     time.Duration
	indirectSent bool
	missingNacks int // that are missing
	acked        bool
}

// indirectPing is an ask on another's behalf.
type indirectPing struct {
	requester    string
	target       string
	requesterSeq uint64 // of the other's ask
	deadline     time.Duration
}

// scaleByHealth is by how much the process' own troubles lengthen its times.
func (n *Node) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+n.healthScore)
}

// adjustHealth notes signs of the process' own health: below 0 of a good one.
func (n *Node) adjustHealth(by int) { n.healthScore = min(maxHealthScore, max(0, n.healthScore+by)) }

// logFleetSize is the logarithm of the number of members that may be there, at least 1.
func (n *Node) logFleetSize() float64 {
	return max(1, math.Log10(float64(n.presentMembers()+1)))
}

// presentMembers is how many members are not known to be gone.
func (n *Node) presentMembers() int {
	return n.stateCounts[Alive] + n.stateCounts[Suspect] + 1
}

// suspicionTimeout is how long a suspected member has to object.
func (n *Node) suspicionTimeout(accusers int) time.Duration {
	least := time.Duration(suspicionMinMultiplier * n.logFleetSize() * float64(n.cfg.PingInterval))
	most := suspicionMaxMultiplier * least
	share := math.Log(float64(accusers)+1) / math.Log(maxConfirmations+1)
	return n.scaleByHealth(max(least, most-time.Duration(share*float64(most-least))))
}

// applyMemberState takes what somebody tells of a member, and reports whether it was new.
func (n *Node) applyMemberState(now time.Duration, s MemberState) bool {
	if s.Name == n.cfg.Name {
		return n.applyOwnState(now, s)
	}
	m := n.members[s.Name]
	if m == nil || s.State > Left {
		n.store.Counts.Unknown++
		return false
	}
	if s.State == Suspect && m.State == Suspect && s.Incarnation == m.Incarnation && s.Refutations == m.Refutations {
		if s.SuspectedBy == "" || m.suspectedBy[s.SuspectedBy] || len(m.suspectedBy) > maxConfirmations {
			return false
		}
		m.suspectedBy[s.SuspectedBy] = true // one more who found out by itself
		m.SuspectedBy = s.SuspectedBy
		return true
	}
	if m.State != Unknown && s.compare(m.MemberState) <= 0 {
		return false
	}
	n.setMemberState(now, m, s)
	return true
}

func (n *Node) setMemberState(now time.Duration, m *member, s MemberState) {
	n.stateCounts[m.State]--
	n.stateCounts[s.State]++
	if m.State != s.State {
		n.events = append(n.events, MemberEvent{s.Name, m.State, s.State})
	}
	if m.State != Unknown {
		n.memberDigests.remove(m.Name, "", m.digest())
	}
	n.memberDigests.add(s.Name, "", s.digest())
	delete(n.unhealthy, s.Name)
	if s.State == Suspect || s.State == Dead {
		n.unhealthy[s.Name] = struct{}{}
	}
	m.MemberState, m.stateSince, m.suspectedBy = s, now, nil
	switch s.State {
	case Suspect:
		m.suspectedBy = map[string]bool{s.SuspectedBy: true}
	case Left:
		n.applyOwnerState(OwnerState{s.Name, s.Incarnation, s.Incarnation}) // what it wrote is taken back with it
	case Dead:
		n.Stats.Deaths++
	}
	n.applyOwnerState(OwnerState{Name: s.Name, Incarnation: s.Incarnation})
	n.spreadRumor(rumorKey{member: s.Name})
}

// applyOwnState hears what others hold of this process, and objects.
func (n *Node) applyOwnState(now time.Duration, s MemberState) bool {
	switch {
	case n.left:
	case s.Incarnation > n.incarnation: // an earlier start of this name, or another process that has it: all is written anew above it
		n.reincarnate(now, s.Incarnation)
	case s.Incarnation == n.incarnation && s.State != Alive && s.Refutations >= n.refutations:
		n.refutations = s.Refutations + 1
		n.updateOwnDigest()
		n.adjustHealth(1) // somebody had no answer in time
		n.Stats.Refutations++
		n.spreadRumor(rumorKey{member: n.cfg.Name})
	}
	return false
}

// ownState is what this process tells of itself.
func (n *Node) ownState() MemberState {
	s := MemberState{Name: n.cfg.Name, Incarnation: n.incarnation, Refutations: n.refutations}
	if n.left {
		s.State = Left
	}
	return s
}

// detectFailures asks one member a period, and ends what is over.
func (n *Node) detectFailures(now time.Duration) {
	if p := n.ping; p != nil {
		m := n.members[p.target]
		switch {
		case !p.acked && !p.indirectSent && now >= p.indirectAt:
			p.indirectSent = true
			for _, via := range n.randomMembers(indirectPingCount, func(o *member) bool { return o.Name != p.target && o.State == Alive }) {
				p.missingNacks++
				n.send(via, &Message{Kind: PingRequestMessage, Seq: p.seq, Target: p.target})
			}
		case now >= p.deadline:
			n.ping = nil
			if p.acked {
				n.adjustHealth(-1)
				break
			}
			n.adjustHealth(1 + p.missingNacks) // those that were asked to ask say nothing either: it may be this process that hears badly
			if m.State == Alive || m.State == Unknown {
				n.Stats.Suspicions++
				n.applyMemberState(now, MemberState{m.Name, m.Incarnation, m.Refutations, Suspect, n.cfg.Name})
			} else if m.State == Suspect {
				n.applyMemberState(now, MemberState{m.Name, m.Incarnation, m.Refutations, Suspect, n.cfg.Name})
			}
		}
	}
	if n.ping == nil && now >= n.nextPing {
		n.nextPing = now + n.scaleByHealth(n.cfg.PingInterval)
		if target := n.nextPingTarget(); target != "" {
			n.lastSeq++
			n.ping = &pendingPing{target: target, seq: n.lastSeq, indirectAt: now + n.scaleByHealth(n.cfg.PingInterval)/3, deadline: now + n.scaleByHealth(n.cfg.PingInterval)*9/10}
			n.send(target, &Message{Kind: PingMessage, Seq: n.lastSeq, Members: n.pingUpdates(target)})
		}
	}
	for seq, r := range n.indirectPings {
		if now >= r.deadline {
			delete(n.indirectPings, seq)
			n.send(r.requester, &Message{Kind: NackMessage, Seq: r.requesterSeq})
		}
	}
	if now < n.nextExpiryCheck {
		return
	}
	n.nextExpiryCheck = now + n.cfg.GossipInterval
	for _, name := range slices.Sorted(maps.Keys(n.unhealthy)) {
		m := n.members[name]
		switch {
		case m.State == Suspect && now >= m.stateSince+n.suspicionTimeout(len(m.suspectedBy)-1):
			n.setMemberState(now, m, MemberState{Name: name, Incarnation: m.Incarnation, Refutations: m.Refutations, State: Dead})
		case m.State == Dead && now >= m.stateSince+n.cfg.DeadRetention:
			// Its entries have aged out. Whoever still has them is told so, and they can't come back: it must begin another incarnation.
			if _, gone := n.store.Incarnation(name); gone < m.Incarnation {
				n.applyOwnerState(OwnerState{name, m.Incarnation, m.Incarnation})
			}
			delete(n.unhealthy, name)
		}
	}
}

// pingUpdates is what a member is told of itself as it is asked: one that is suspected hears so first of all.
func (n *Node) pingUpdates(name string) []MemberState {
	all := []MemberState{n.ownState()}
	if m := n.members[name]; m != nil && m.State != Unknown && m.State != Alive {
		all = append(all, m.MemberState)
	}
	return all
}

// nextPingTarget is who is asked next: all in a drawn order, anew each time round; of those that are gone one now and then.
func (n *Node) nextPingTarget() string {
	n.pingCount++
	if n.pingCount%deadPingPeriods == 0 {
		if lost := n.randomMembers(1, func(m *member) bool { return m.State == Dead || m.State == Left || m.State == Unknown }); len(lost) > 0 {
			return lost[0]
		}
	}
	for range 2 * len(n.pingOrder) {
		if n.pingIndex >= len(n.pingOrder) {
			n.pingIndex = 0
			n.rng.Shuffle(len(n.pingOrder), func(i, j int) { n.pingOrder[i], n.pingOrder[j] = n.pingOrder[j], n.pingOrder[i] })
		}
		name := n.pingOrder[n.pingIndex]
		n.pingIndex++
		if s := n.members[name].State; s == Alive || s == Suspect || s == Unknown && n.stateCounts[Alive] == 0 {
			return name
		}
	}
	return ""
}

// randomMembers draws up to k members that fit.
func (n *Node) randomMembers(k int, fits func(*member) bool) []string {
	var all []string
	for try := 0; try < 8*k && len(all) < k; try++ { // with many members a few draws are enough
		m := n.members[n.pingOrder[n.rng.IntN(len(n.pingOrder))]]
		if fits(m) && !slices.Contains(all, m.Name) {
			all = append(all, m.Name)
		}
	}
	if len(all) < k {
		var rest []string
		for _, name := range n.pingOrder {
			if m := n.members[name]; fits(m) && !slices.Contains(all, name) {
				rest = append(rest, name)
			}
		}
		n.rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
		all = append(all, rest[:min(len(rest), k-len(all))]...)
	}
	return all
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)) }
