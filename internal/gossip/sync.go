package gossip

import (
	"slices"
	"time"
)

// membersKind stands for what is held of members, among the kinds that are compared.
const membersKind = "*members"

// sumsOf are those of a kind, nil if it is not known here.
func (n *Node) sumsOf(kind string) *sums {
	if kind == membersKind {
		return n.table
	}
	return n.copies.sums[kind]
}

func (n *Node) sumAt(kind string, level uint8, index int) uint64 {
	if kind == membersKind {
		return n.table.at(level, index)
	}
	x := n.copies.sumAt(kind, level, index)
	for leaf, assumed := range n.assumed[kind] { // only with a mistake planted
		if level == 0 || level == 1 && leaf/fan == index || level == 2 && leaf == index {
			x += assumed - n.copies.sums[kind].leaf[leaf]
		}
	}
	return x
}

// have is the version and the sum of what is here.
func (n *Node) have(kind string, p Place) (v Version, sum uint64, ok bool) {
	if kind == membersKind {
		s := n.Member(p.owner)
		return s.version(), s.sum(), s.State <= Left
	}
	e, ok := n.copies.Get(p.owner, p.key)
	if !ok {
		return v, 0, false
	}
	return e.Version, e.sum(), true
}

// look asks another whether its copies equal this process': of those drawn the one that has least to do.
func (n *Node) look(now time.Duration) {
	if n.syncTo != "" {
		return
	}
	to := n.some(3, func(m *member) bool { return m.State == Alive && now >= m.busy })
	if len(to) == 0 { // nobody is known to be there yet, or any more
		to = n.some(1, func(m *member) bool { return m.State != Alive })
	}
	if len(to) == 0 {
		return
	}
	best := to[0]
	for _, name := range to[1:] {
		if n.members[name].load < n.members[best].load {
			best = name
		}
	}
	n.lastSeq++
	n.syncSeq, n.syncTo, n.syncEnd, n.syncFirst, n.lookedAt = n.lastSeq, best, now+syncTime*n.cfg.Gossip, true, now
	n.Figures.Syncs++
	m := &Message{Kind: Sync, Seq: n.syncSeq, Members: []MemberState{n.me()}}
	for _, kind := range append([]string{membersKind}, n.copies.kinds...) {
		m.Ranges = append(m.Ranges, Range{kind, 0, 0, n.sumAt(kind, 0, 0)})
	}
	n.send(best, m)
}

// compare takes what another tells of its copies, and answers with what it lacks and with what is asked for in return. Each step goes down a
// level, so that it ends; what a lost message leaves out the next look finds again, and what has come counts as it is, whole or not.
func (n *Node) compare(now time.Duration, from string, m, answer *Message, fresh bool) {
	asked := false // it begins with this message
	room := answerBytes
	for _, r := range m.Ranges {
		s := n.sumsOf(r.Kind)
		index := int(r.Index)
		switch {
		case s == nil: // of a newer program: kept out, and the rest goes on
			n.copies.Counts.Unknown++
			continue
		case r.Level > 2 || r.Level == 0 && index > 0 || r.Level == 1 && index >= fan || r.Level == 2 && index >= leaves:
			n.copies.Counts.Illegal++
			continue
		}
		asked = asked || r.Level == 0
		if n.sumAt(r.Kind, r.Level, index) == r.Sum {
			continue
		}
		if r.Sum == 0 { // there is nothing at all: it is given as much as there is room for, and asks again
			n.giveRange(r, answer, &room)
			continue
		}
		if r.Level < 2 {
			for i := range fan {
				if len(answer.Ranges) < mostRanges {
					answer.Ranges = append(answer.Ranges, Range{r.Kind, r.Level + 1, uint16(index*fan + i), n.sumAt(r.Kind, r.Level+1, index*fan+i)})
				}
			}
		} else if len(answer.Leaves) < mostTold {
			answer.Leaves = append(answer.Leaves, n.leaf(r.Kind, index))
		}
	}
	for _, l := range m.Leaves {
		n.settle(now, l, answer, &room)
	}
	if n.syncTo == from && n.syncSeq == m.Seq {
		n.step1(now, from, m, answer, fresh)
	} else if len(answer.Entries) > 0 {
		n.help(now, from, answer)
	}
	if asked || len(answer.Owners)+len(answer.Members)+len(answer.Entries)+len(answer.Ranges)+len(answer.Leaves) > 0 {
		answer.Load = n.load(now)
		n.send(from, answer)
	}
}

// step1 takes an answer to this process' own look.
func (n *Node) step1(now time.Duration, from string, m, answer *Message, fresh bool) {
	if n.syncFirst && !m.Busy {
		n.syncFirst = false
		n.behind = true
		if !slices.ContainsFunc(m.Ranges, func(r Range) bool { return r.Kind != membersKind }) {
			n.behind = false
			n.step = now // of what is held of members some is always on its way
			n.Figures.Equal++
		}
	}
	switch {
	case m.Busy:
		n.members[from].busy = now + time.Second + n.jitter(time.Second)
		n.syncTo = ""
		n.nextSync = min(n.nextSync, now+n.jitter(n.cfg.Sync))
	case len(m.Ranges)+len(m.Leaves)+len(m.Entries)+len(m.Members)+len(m.Owners) == 0:
		n.syncTo = ""
	default:
		n.syncEnd = now                                          // what was asked for comes all the same; waiting for it was slower (docs/design/replica.md)
		if fresh || len(answer.Ranges)+len(answer.Leaves) == 0 { // there may be more: look again soon
			n.syncTo = ""
			n.nextSync = min(n.nextSync, now+n.cfg.Gossip/2+n.jitter(n.cfg.Gossip/2))
		}
	}
}

// leaf tells what is here of a range at the bottom, and asks for what is not.
func (n *Node) leaf(kind string, index int) Leaf {
	l := Leaf{Kind: kind, Index: uint16(index), Ask: true}
	for _, p := range n.sumsOf(kind).places(index) {
		if v, sum, ok := n.have(kind, p); ok && len(l.Heads) < mostHeads/mostTold {
			l.Heads = append(l.Heads, Head{p.owner, p.key, v, sum})
		}
	}
	return l
}

// settle answers what another tells of a range at the bottom: with what it lacks, and if it asks with what is wanted of it.
func (n *Node) settle(now time.Duration, l Leaf, answer *Message, room *int) {
	s := n.sumsOf(l.Kind)
	if s == nil || int(l.Index) >= leaves {
		n.copies.Counts.Illegal++
		return
	}
	theirs := map[Place]Head{}
	want := Leaf{Kind: l.Kind, Index: l.Index}
	total := uint64(0)
	for _, h := range l.Heads {
		p := Place{h.Owner, h.Key}
		theirs[p] = h
		total += h.Sum
		v, sum, ok := n.have(l.Kind, p)
		switch c := v.Compare(h.Version); {
		case ok && (c > 0 || c == 0 && sum != h.Sum):
			n.give(l.Kind, p, answer, room)
			if c > 0 {
				continue
			}
		case ok && c == 0:
			continue
		}
		if inc, gone := n.copies.Inc(h.Owner); l.Kind != membersKind && (h.Inc < inc || h.Inc <= gone) {
			answer.Owners = appendOwner(answer.Owners, OwnerState{h.Owner, inc, gone})
			continue
		}
		want.Heads = append(want.Heads, Head{Owner: h.Owner, Key: h.Key, Version: v, Sum: sum})
	}
	if !l.Ask {
		return
	}
	for _, p := range s.places(int(l.Index)) {
		if _, has := theirs[p]; !has {
			n.give(l.Kind, p, answer, room)
		}
	}
	if len(want.Heads) > 0 {
		answer.Leaves = append(answer.Leaves, want)
		if n.cfg.Plant == HalfPiece && l.Kind != membersKind {
			if n.assumed == nil {
				n.assumed = map[string]map[int]uint64{}
			}
			if n.assumed[l.Kind] == nil {
				n.assumed[l.Kind] = map[int]uint64{}
			}
			n.assumed[l.Kind][int(l.Index)] = total
		}
	}
}

// giveRange adds all that is here of a range, as far as there is room.
func (n *Node) giveRange(r Range, answer *Message, room *int) {
	per := 1
	for range 2 - int(r.Level) {
		per *= fan
	}
	s := n.sumsOf(r.Kind)
	for leaf := int(r.Index) * per; leaf < (int(r.Index)+1)*per && *room > 0; leaf++ {
		for _, p := range s.places(leaf) {
			n.give(r.Kind, p, answer, room)
		}
	}
}

// give adds what is here to an answer, as long as there is room.
func (n *Node) give(kind string, p Place, answer *Message, room *int) {
	if *room <= 0 {
		return
	}
	if kind == membersKind {
		if s := n.Member(p.owner); s.State <= Left && len(answer.Members) < mostMembers {
			answer.Members = append(answer.Members, s)
			*room -= 12 + len(s.Name)
		}
		return
	}
	if e, ok := n.copies.Get(p.owner, p.key); ok && len(answer.Entries) < mostEntries {
		answer.Entries = append(answer.Entries, e)
		*room -= e.size()
	}
}

// help counts what goes to one that catches up against the budget, so that many that return at once do not stop those that stand.
func (n *Node) help(now time.Duration, from string, answer *Message) {
	n.budget = min(n.cfg.Budget, n.budget+(now-n.helped).Seconds()*n.cfg.Budget)
	n.helped = now
	if n.budget <= 0 {
		answer.Entries, answer.Leaves, answer.Ranges = nil, nil, nil
		answer.Busy = true
		n.Figures.Turned++
		return
	}
	for i := range answer.Entries {
		n.budget -= float64(answer.Entries[i].size())
		n.Figures.Helped += answer.Entries[i].size()
	}
	n.helping[from] = now
}

// load is how many others were helped within the last second.
func (n *Node) load(now time.Duration) uint16 {
	for name, at := range n.helping {
		if now > at+time.Second {
			delete(n.helping, name)
		}
	}
	return uint16(len(n.helping))
}
