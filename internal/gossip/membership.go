package gossip

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// State is the state of a member in the view of one process. The numeric value is part of the wire format.
type State uint8

// The states of a member. Within one incarnation, a later state overrides an earlier one.
const (
	Alive   State = 0
	Suspect State = 1 // did not respond, and may refute the suspicion
	Dead    State = 2 // did not refute the suspicion in time
	Left    State = 3 // has left voluntarily
	Unknown State = 4 // no state was received yet; never sent
)

// String returns the name of the state.
func (s State) String() string {
	if s > Unknown {
		return "?"
	}
	return [...]string{"alive", "suspect", "dead", "left", "unheard of"}[s]
}

// MemberState is the disseminated state of a member. Of two member states, the one with the larger incarnation wins, then the one
// with more refutations, then the one with the larger State. Incarnation and Refutations together correspond to the incarnation
// number of SWIM.
type MemberState struct {
	Name        string
	Incarnation uint64 // see Version
	Refutations uint32 // number of suspicions that the member has refuted in this incarnation
	State       State
	SuspectedBy string // in state Suspect: name of a member that suspects this one
}

func (s MemberState) compare(t MemberState) int {
	return cmp.Or(cmp.Compare(s.Incarnation, t.Incarnation), cmp.Compare(s.Refutations, t.Refutations), cmp.Compare(s.State, t.State))
}

// version returns the member state's version in the form of an entry's version.
func (s MemberState) version() Version {
	return Version{s.Incarnation, uint64(s.Refutations)<<8 | uint64(s.State)}
}

func (s MemberState) digest() uint64 {
	v := s.version()
	return mix64(mix64(v.Incarnation)+v.Sequence) ^ mix64(uint64(leafIndex(s.Name, ""))+uint64(len(s.Name)))
}

// size returns the approximate size of the state in a message, in bytes.
func (s MemberState) size() int { return recordOverhead + len(s.Name) + len(s.SuspectedBy) }

// member is this process's record of another member.
type member struct {
	MemberState
	stateSince  time.Duration
	suspectedBy map[string]bool // names of the members that suspect it independently
	load        uint16          // catch-up load in its newest message
	busyUntil   time.Duration   // time until which it is not asked to help this process to catch up
}

// Member returns the state of a member or of this process. The state of a name that is not a member is Unknown.
func (n *Node) Member(name string) MemberState {
	if name == n.cfg.Name {
		return n.ownState()
	}
	if m := n.members[name]; m != nil {
		return m.MemberState
	}
	return MemberState{Name: name, State: Unknown}
}

// Count returns the number of other members that are in a state.
func (n *Node) Count(s State) int { return n.stateCounts[s] }

// TakeEvents returns the state changes of other members since the last call.
func (n *Node) TakeEvents() []MemberEvent {
	events := n.events
	n.events = nil
	return events
}

// ownState returns the member state of this process.
func (n *Node) ownState() MemberState {
	s := MemberState{Name: n.cfg.Name, Incarnation: n.self.incarnation, Refutations: n.self.refutations}
	if n.self.left {
		s.State = Left
	}
	return s
}

// presentMembers returns the number of alive and suspected members, including this process.
func (n *Node) presentMembers() int { return n.stateCounts[Alive] + n.stateCounts[Suspect] + 1 }

// logFleetSize returns the decimal logarithm of presentMembers()+1, at least 1.
func (n *Node) logFleetSize() float64 { return max(1, math.Log10(float64(n.presentMembers()+1))) }

// applyMemberState applies a received state of a member.
func (n *Node) applyMemberState(now time.Duration, s MemberState) {
	if s.Name == n.cfg.Name {
		n.applyOwnState(now, s)
		return
	}
	m := n.members[s.Name]
	switch {
	case m == nil || s.State > Left:
		n.store.Counts.Unknown++
	case s.State == Suspect && m.State == Suspect && s.Incarnation == m.Incarnation && s.Refutations == m.Refutations:
		m.confirmSuspicion(s.SuspectedBy)
	case m.State == Unknown || s.compare(m.MemberState) > 0:
		n.setMemberState(now, m, s)
	}
}

// confirmSuspicion records another member that suspects this member. Confirmations beyond maxConfirmations are ignored, because they
// do not shorten the suspicion timeout.
func (m *member) confirmSuspicion(by string) {
	if by == "" || m.suspectedBy[by] || len(m.suspectedBy) > maxConfirmations {
		return
	}
	m.suspectedBy[by] = true
	m.SuspectedBy = by
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
	case Left: // its entries are reaped
		n.applyOwnerState(OwnerState{s.Name, s.Incarnation, s.Incarnation})
	case Dead:
		n.Stats.Deaths++
	}
	n.applyOwnerState(OwnerState{Name: s.Name, Incarnation: s.Incarnation})
	n.rumors.add(rumorKey{member: s.Name})
}

// applyOwnState applies a state of this process that was received from another member. If the state is that of the current incarnation
// and not Alive, it is refuted. A larger incarnation comes from an earlier start or from another process with the same name. It makes
// this process start an incarnation that is larger still.
func (n *Node) applyOwnState(now time.Duration, s MemberState) {
	switch {
	case n.self.left:
	case s.Incarnation > n.self.incarnation:
		n.reincarnate(now, s.Incarnation)
	case s.Incarnation == n.self.incarnation && s.State != Alive && s.Refutations >= n.self.refutations:
		n.self.refutations = s.Refutations + 1
		n.updateOwnDigest()
		n.adjustHealth(1) // another member received no response in time
		n.Stats.Refutations++
		n.rumors.add(rumorKey{member: n.cfg.Name})
	}
}

// updateOwnDigest updates this process's own state in the digest tree of the members.
func (n *Node) updateOwnDigest() {
	if n.self.digest != 0 {
		n.memberDigests.remove(n.cfg.Name, "", n.self.digest)
	}
	n.self.digest = n.ownState().digest()
	n.memberDigests.add(n.cfg.Name, "", n.self.digest)
}

// drawsPerMember is the number of random draws per requested member before all members are searched.
const drawsPerMember = 8

// randomMembers returns the names of up to count random other members that match; none if this process is the only member.
func (n *Node) randomMembers(count int, matches func(*member) bool) []string {
	if len(n.peers) == 0 {
		return nil
	}
	var drawn []string
	for try := 0; try < drawsPerMember*count && len(drawn) < count; try++ {
		m := n.members[n.peers[n.rng.IntN(len(n.peers))]]
		if matches(m) && !slices.Contains(drawn, m.Name) {
			drawn = append(drawn, m.Name)
		}
	}
	if len(drawn) == count {
		return drawn
	}
	var rest []string
	for _, name := range n.peers {
		if matches(n.members[name]) && !slices.Contains(drawn, name) {
			rest = append(rest, name)
		}
	}
	n.shuffle(rest)
	return append(drawn, rest[:min(len(rest), count-len(drawn))]...)
}

func (n *Node) shuffle(names []string) {
	n.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}
