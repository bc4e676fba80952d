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
	Unheard State = 4 // nobody has told anything of it yet
)

// String names a state.
func (s State) String() string {
	if s > Unheard {
		return "?"
	}
	return [...]string{"alive", "suspect", "dead", "left", "unheard of"}[s]
}

// MemberState is what is told of a member. Of two the one of the larger incarnation counts, then of the larger life, then the worse.
type MemberState struct {
	Name  string
	Inc   uint64
	Life  uint32 // a member that hears that it is suspected begins another
	State State
	By    string // Suspect: who has found it silent
}

func (s MemberState) compare(t MemberState) int {
	return cmp.Or(cmp.Compare(s.Inc, t.Inc), cmp.Compare(s.Life, t.Life), cmp.Compare(s.State, t.State))
}

// version orders what is told of a member, as that of an entry.
func (s MemberState) version() Version { return Version{s.Inc, uint64(s.Life)<<8 | uint64(s.State)} }

func (s MemberState) sum() uint64 {
	v := s.version()
	return mix(mix(v.Inc)+v.Seq) ^ mix(uint64(leafOf(s.Name, ""))+uint64(len(s.Name)))
}

// member is what a process holds of another.
type member struct {
	MemberState
	since    time.Duration   // of the state
	accusers map[string]bool // who have found it silent, of themselves
	load     uint16          // that it told last
	busy     time.Duration   // it has no room for those that catch up until then
}

// Membership as in SWIM (Das, Gupta, Motivala 2002): each period one member is asked, in turn; where it does not answer others ask it; where
// these hear nothing either it is suspected, and dead once it has had time to object. Of Lifeguard (Dadgar, Phillips, Currey 2018): a
// process that hears of its own troubles takes more time before it accuses (local health), suspicion lasts the longer the fewer share it, and
// who asks a suspected member tells it so first.
const (
	asksForMe      = 3 // others that are asked to ask
	suspicionAlpha = 4 // times the logarithm of the size, in periods: the least time to object
	suspicionBeta  = 6 // times that at most
	confirmations  = 3 // that shorten it to the least
	mostHealth     = 8
	deadAskedEvery = 8 // each so many periods one that is dead is asked, so that a split that has healed is noticed
	rumourTimes    = 3 // times the logarithm of the size a rumour is sent on
)

// probing is the member that is being asked.
type probing struct {
	target   string
	seq      uint64
	indirect time.Duration // when others are asked
	end      time.Duration
	asked    bool
	nacks    int // that are missing
	answered bool
}

// relay is an ask on another's behalf.
type relay struct {
	for_   string
	target string
	seq    uint64 // of the other's ask
	until  time.Duration
}

// scale is by how much the process' own troubles lengthen its times.
func (n *Node) scale(d time.Duration) time.Duration { return d * time.Duration(1+n.health) }

// ail notes signs of the process' own health: below 0 of a good one.
func (n *Node) ail(by int) { n.health = min(mostHealth, max(0, n.health+by)) }

// logSize is the logarithm of the number of members that may be there, at least 1.
func (n *Node) logSize() float64 {
	return max(1, math.Log10(float64(n.there()+1)))
}

// there is how many members are not known to be gone.
func (n *Node) there() int {
	return n.counts[Alive] + n.counts[Suspect] + 1
}

// objection is how long a suspected member has to object.
func (n *Node) objection(accusers int) time.Duration {
	least := time.Duration(suspicionAlpha * n.logSize() * float64(n.cfg.Probe))
	most := suspicionBeta * least
	share := math.Log(float64(accusers)+1) / math.Log(confirmations+1)
	return n.scale(max(least, most-time.Duration(share*float64(most-least))))
}

// told takes what somebody tells of a member, and reports whether it was new.
func (n *Node) told(now time.Duration, s MemberState) bool {
	if s.Name == n.cfg.Name {
		return n.toldOfMe(now, s)
	}
	m := n.members[s.Name]
	if m == nil || s.State > Left {
		n.copies.Counts.Unknown++
		return false
	}
	if s.State == Suspect && m.State == Suspect && s.Inc == m.Inc && s.Life == m.Life {
		if s.By == "" || m.accusers[s.By] || len(m.accusers) > confirmations {
			return false
		}
		m.accusers[s.By] = true // one more who found out by itself
		m.By = s.By
		return true
	}
	if m.State != Unheard && s.compare(m.MemberState) <= 0 {
		return false
	}
	n.set(now, m, s)
	return true
}

func (n *Node) set(now time.Duration, m *member, s MemberState) {
	n.counts[m.State]--
	n.counts[s.State]++
	if m.State != s.State {
		n.events = append(n.events, Event{s.Name, m.State, s.State})
	}
	if m.State != Unheard {
		n.table.remove(m.Name, "", m.sum())
	}
	n.table.add(s.Name, "", s.sum())
	delete(n.watched, s.Name)
	if s.State == Suspect || s.State == Dead {
		n.watched[s.Name] = struct{}{}
	}
	m.MemberState, m.since, m.accusers = s, now, nil
	switch s.State {
	case Suspect:
		m.accusers = map[string]bool{s.By: true}
	case Left:
		n.learn(OwnerState{s.Name, s.Inc, s.Inc}) // what it wrote is taken back with it
	case Dead:
		n.Figures.Deaths++
	}
	n.learn(OwnerState{Name: s.Name, Inc: s.Inc})
	n.rumour(rumourKey{member: s.Name})
}

// toldOfMe hears what others hold of this process, and objects.
func (n *Node) toldOfMe(now time.Duration, s MemberState) bool {
	switch {
	case n.left:
	case s.Inc > n.inc: // an earlier start of this name, or another process that has it: all is written anew above it
		n.renew(now, s.Inc)
	case s.Inc == n.inc && s.State != Alive && s.Life >= n.life:
		n.life = s.Life + 1
		n.tableSelf()
		n.ail(1) // somebody had no answer in time
		n.Figures.Objections++
		n.rumour(rumourKey{member: n.cfg.Name})
	}
	return false
}

// me is what this process tells of itself.
func (n *Node) me() MemberState {
	s := MemberState{Name: n.cfg.Name, Inc: n.inc, Life: n.life}
	if n.left {
		s.State = Left
	}
	return s
}

// watchOver asks one member a period, and ends what is over.
func (n *Node) watchOver(now time.Duration) {
	if p := n.asking; p != nil {
		m := n.members[p.target]
		switch {
		case !p.answered && !p.asked && now >= p.indirect:
			p.asked = true
			for _, via := range n.some(asksForMe, func(o *member) bool { return o.Name != p.target && o.State == Alive }) {
				p.nacks++
				n.send(via, &Message{Kind: PingReq, Seq: p.seq, Target: p.target})
			}
		case now >= p.end:
			n.asking = nil
			if p.answered {
				n.ail(-1)
				break
			}
			n.ail(1 + p.nacks) // those that were asked to ask say nothing either: it may be this process that hears badly
			if m.State == Alive || m.State == Unheard {
				n.Figures.Suspicions++
				n.told(now, MemberState{m.Name, m.Inc, m.Life, Suspect, n.cfg.Name})
			} else if m.State == Suspect {
				n.told(now, MemberState{m.Name, m.Inc, m.Life, Suspect, n.cfg.Name})
			}
		}
	}
	if n.asking == nil && now >= n.nextProbe {
		n.nextProbe = now + n.scale(n.cfg.Probe)
		if target := n.turn(); target != "" {
			n.lastSeq++
			n.asking = &probing{target: target, seq: n.lastSeq, indirect: now + n.scale(n.cfg.Probe)/3, end: now + n.scale(n.cfg.Probe)*9/10}
			n.send(target, &Message{Kind: Ping, Seq: n.lastSeq, Members: n.about(target)})
		}
	}
	for seq, r := range n.relays {
		if now >= r.until {
			delete(n.relays, seq)
			n.send(r.for_, &Message{Kind: Nack, Seq: r.seq})
		}
	}
	if now < n.nextJudge {
		return
	}
	n.nextJudge = now + n.cfg.Gossip
	for _, name := range slices.Sorted(maps.Keys(n.watched)) {
		m := n.members[name]
		switch {
		case m.State == Suspect && now >= m.since+n.objection(len(m.accusers)-1):
			n.set(now, m, MemberState{Name: name, Inc: m.Inc, Life: m.Life, State: Dead})
		case m.State == Dead && now >= m.since+n.cfg.Keep:
			// Its entries have aged out. Whoever still has them is told so, and they can't come back: it must begin another incarnation.
			if _, gone := n.copies.Inc(name); gone < m.Inc {
				n.learn(OwnerState{name, m.Inc, m.Inc})
			}
			delete(n.watched, name)
		}
	}
}

// about is what a member is told of itself as it is asked: one that is suspected hears so first of all.
func (n *Node) about(name string) []MemberState {
	all := []MemberState{n.me()}
	if m := n.members[name]; m != nil && m.State != Unheard && m.State != Alive {
		all = append(all, m.MemberState)
	}
	return all
}

// turn is who is asked next: all in a drawn order, anew each time round; of those that are gone one now and then.
func (n *Node) turn() string {
	n.turns++
	if n.turns%deadAskedEvery == 0 {
		if lost := n.some(1, func(m *member) bool { return m.State == Dead || m.State == Left || m.State == Unheard }); len(lost) > 0 {
			return lost[0]
		}
	}
	for range 2 * len(n.order) {
		if n.at >= len(n.order) {
			n.at = 0
			n.rng.Shuffle(len(n.order), func(i, j int) { n.order[i], n.order[j] = n.order[j], n.order[i] })
		}
		name := n.order[n.at]
		n.at++
		if s := n.members[name].State; s == Alive || s == Suspect || s == Unheard && n.counts[Alive] == 0 {
			return name
		}
	}
	return ""
}

// some draws up to k members that fit.
func (n *Node) some(k int, fits func(*member) bool) []string {
	var all []string
	for try := 0; try < 8*k && len(all) < k; try++ { // with many members a few draws are enough
		m := n.members[n.order[n.rng.IntN(len(n.order))]]
		if fits(m) && !slices.Contains(all, m.Name) {
			all = append(all, m.Name)
		}
	}
	if len(all) < k {
		var rest []string
		for _, name := range n.order {
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
