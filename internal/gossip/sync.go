package gossip

import (
	"slices"
	"time"
)

// membersKind stands for what is held of members, among the kinds that are compared.
const membersKind = "*members"

// digestsOf are those of a kind, nil if it is not known here.
func (n *Node) digestsOf(kind string) *digestTree {
	if kind == membersKind {
		return n.memberDigests
	}
	return n.store.digests[kind]
}

func (n *Node) rangeDigest(kind string, level uint8, index int) uint64 {
	if kind == membersKind {
		return n.memberDigests.rangeDigest(level, index)
	}
	x := n.store.rangeDigest(kind, level, index)
	for leaf, assumed := range n.assumedDigests[kind] { // only with a mistake planted
		if level == 0 || level == 1 && leaf/treeFanout == index || level == 2 && leaf == index {
			x += assumed - n.store.digests[kind].leaves[leaf]
		}
	}
	return x
}

// localVersion is the version and the sum of what is here.
func (n *Node) localVersion(kind string, p EntryID) (v Version, sum uint64, ok bool) {
	if kind == membersKind {
		s := n.Member(p.owner)
		return s.version(), s.digest(), s.State <= Left
	}
	e, ok := n.store.Get(p.owner, p.key)
	if !ok {
		return v, 0, false
	}
	return e.Version, e.digest(), true
}

// startSync asks another whether its copies equal this process': of those drawn the one that has least to do.
func (n *Node) startSync(now time.Duration) {
	if n.syncPeer != "" {
		return
	}
	to := n.randomMembers(3, func(m *member) bool { return m.State == Alive && now >= m.busyUntil })
	if len(to) == 0 { // nobody is known to be there yet, or any more
		to = n.randomMembers(1, func(m *member) bool { return m.State != Alive })
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
	n.syncSeq, n.syncPeer, n.syncDeadline, n.syncUnanswered, n.syncStartedAt = n.lastSeq, best, now+syncTimeoutRounds*n.cfg.GossipInterval, true, now
	n.Stats.Syncs++
	m := &Message{Kind: SyncMessage, Seq: n.syncSeq, Members: []MemberState{n.ownState()}}
	for _, kind := range append([]string{membersKind}, n.store.kinds...) {
		m.Ranges = append(m.Ranges, RangeDigest{kind, 0, 0, n.rangeDigest(kind, 0, 0)})
	}
	n.send(best, m)
}

// handleSync takes what another tells of its copies, and answers with what it lacks and with what is asked for in return. Each step goes down a
// level, so that it ends; what a lost message leaves out the next look finds again, and what has come counts as it is, whole or not.
func (n *Node) handleSync(now time.Duration, from string, m, answer *Message, fresh bool) {
	asked := false // it begins with this message
	room := maxSyncReplyBytes
	for _, r := range m.Ranges {
		s := n.digestsOf(r.Kind)
		index := int(r.Index)
		switch {
		case s == nil: // of a newer program: kept out, and the rest goes on
			n.store.Counts.Unknown++
			continue
		case r.Level > 2 || r.Level == 0 && index > 0 || r.Level == 1 && index >= treeFanout || r.Level == 2 && index >= leafCount:
			n.store.Counts.Invalid++
			continue
		}
		asked = asked || r.Level == 0
		if n.rangeDigest(r.Kind, r.Level, index) == r.Digest {
			continue
		}
		if r.Digest == 0 { // there is nothing at all: it is given as much as there is room for, and asks again
			n.appendRange(r, answer, &room)
			continue
		}
		if r.Level < 2 {
			for i := range treeFanout {
				if len(answer.Ranges) < maxRangeDigests {
					answer.Ranges = append(answer.Ranges, RangeDigest{r.Kind, r.Level + 1, uint16(index*treeFanout + i), n.rangeDigest(r.Kind, r.Level+1, index*treeFanout+i)})
				}
			}
		} else if len(answer.Leaves) < maxLeavesPerMessage {
			answer.Leaves = append(answer.Leaves, n.leafDigest(r.Kind, index))
		}
	}
	for _, l := range m.Leaves {
		n.reconcileLeaf(now, l, answer, &room)
	}
	if n.syncPeer == from && n.syncSeq == m.Seq {
		n.handleSyncReply(now, from, m, answer, fresh)
	} else if len(answer.Entries) > 0 {
		n.chargeCatchUp(now, from, answer)
	}
	if asked || len(answer.Owners)+len(answer.Members)+len(answer.Entries)+len(answer.Ranges)+len(answer.Leaves) > 0 {
		answer.Load = n.catchUpLoad(now)
		n.send(from, answer)
	}
}

// handleSyncReply takes an answer to this process' own look.
func (n *Node) handleSyncReply(now time.Duration, from string, m, answer *Message, fresh bool) {
	if n.syncUnanswered && !m.Busy {
		n.syncUnanswered = false
		n.behind = true
		if !slices.ContainsFunc(m.Ranges, func(r RangeDigest) bool { return r.Kind != membersKind }) {
			n.behind = false
			n.inSyncAt = now // of what is held of members some is always on its way
			n.Stats.SyncsEqual++
		}
	}
	switch {
	case m.Busy:
		n.members[from].busyUntil = now + time.Second + n.jitter(time.Second)
		n.syncPeer = ""
		n.nextSync = min(n.nextSync, now+n.jitter(n.cfg.SyncInterval))
	case len(m.Ranges)+len(m.Leaves)+len(m.Entries)+len(m.Members)+len(m.Owners) == 0:
		n.syncPeer = ""
	default:
		n.syncDeadline = now                                     // what was asked for comes all the same; waiting for it was slower (docs/design/replica.md)
		if fresh || len(answer.Ranges)+len(answer.Leaves) == 0 { // there may be more: look again soon
			n.syncPeer = ""
			n.nextSync = min(n.nextSync, now+n.cfg.GossipInterval/2+n.jitter(n.cfg.GossipInterval/2))
		}
	}
}

// leafDigest tells what is here of a range at the bottom, and asks for what is not.
func (n *Node) leafDigest(kind string, index int) LeafDigest {
	l := LeafDigest{Kind: kind, Index: uint16(index), RequestMissing: true}
	for _, p := range n.digestsOf(kind).leafEntries(index) {
		if v, sum, ok := n.localVersion(kind, p); ok && len(l.Entries) < maxEntryDigests/maxLeavesPerMessage {
			l.Entries = append(l.Entries, EntryDigest{p.owner, p.key, v, sum})
		}
	}
	return l
}

// reconcileLeaf answers what another tells of a range at the bottom: with what it lacks, and if it asks with what is wanted of it.
func (n *Node) reconcileLeaf(now time.Duration, l LeafDigest, answer *Message, room *int) {
	s := n.digestsOf(l.Kind)
	if s == nil || int(l.Index) >= leafCount {
		n.store.Counts.Invalid++
		return
	}
	theirs := map[EntryID]EntryDigest{}
	want := LeafDigest{Kind: l.Kind, Index: l.Index}
	total := uint64(0)
	for _, h := range l.Entries {
		p := EntryID{h.Owner, h.Key}
		theirs[p] = h
		total += h.Digest
		v, sum, ok := n.localVersion(l.Kind, p)
		switch c := v.Compare(h.Version); {
		case ok && (c > 0 || c == 0 && sum != h.Digest):
			n.appendEntry(l.Kind, p, answer, room)
			if c > 0 {
				continue
			}
		case ok && c == 0:
			continue
		}
		if inc, gone := n.store.Incarnation(h.Owner); l.Kind != membersKind && (h.Incarnation < inc || h.Incarnation <= gone) {
			answer.Owners = appendOwnerState(answer.Owners, OwnerState{h.Owner, inc, gone})
			continue
		}
		want.Entries = append(want.Entries, EntryDigest{Owner: h.Owner, Key: h.Key, Version: v, Digest: sum})
	}
	if !l.RequestMissing {
		return
	}
	for _, p := range s.leafEntries(int(l.Index)) {
		if _, has := theirs[p]; !has {
			n.appendEntry(l.Kind, p, answer, room)
		}
	}
	if len(want.Entries) > 0 {
		answer.Leaves = append(answer.Leaves, want)
		if n.cfg.Fault == FaultPartialMerge && l.Kind != membersKind {
			if n.assumedDigests == nil {
				n.assumedDigests = map[string]map[int]uint64{}
			}
			if n.assumedDigests[l.Kind] == nil {
				n.assumedDigests[l.Kind] = map[int]uint64{}
			}
			n.assumedDigests[l.Kind][int(l.Index)] = total
		}
	}
}

// appendRange adds all that is here of a range, as far as there is room.
func (n *Node) appendRange(r RangeDigest, answer *Message, room *int) {
	per := 1
	for range 2 - int(r.Level) {
		per *= treeFanout
	}
	s := n.digestsOf(r.Kind)
	for leaf := int(r.Index) * per; leaf < (int(r.Index)+1)*per && *room > 0; leaf++ {
		for _, p := range s.leafEntries(leaf) {
			n.appendEntry(r.Kind, p, answer, room)
		}
	}
}

// appendEntry adds what is here to an answer, as long as there is room.
func (n *Node) appendEntry(kind string, p EntryID, answer *Message, room *int) {
	if *room <= 0 {
		return
	}
	if kind == membersKind {
		if s := n.Member(p.owner); s.State <= Left && len(answer.Members) < maxMemberStates {
			answer.Members = append(answer.Members, s)
			*room -= 12 + len(s.Name)
		}
		return
	}
	if e, ok := n.store.Get(p.owner, p.key); ok && len(answer.Entries) < maxEntries {
		answer.Entries = append(answer.Entries, e)
		*room -= e.size()
	}
}

// chargeCatchUp counts what goes to one that catches up against the budget, so that many that return at once do not stop those that stand.
func (n *Node) chargeCatchUp(now time.Duration, from string, answer *Message) {
	n.catchUpBudget = min(n.cfg.CatchUpBudget, n.catchUpBudget+(now-n.budgetUpdatedAt).Seconds()*n.cfg.CatchUpBudget)
	n.budgetUpdatedAt = now
	if n.catchUpBudget <= 0 {
		answer.Entries, answer.Leaves, answer.Ranges = nil, nil, nil
		answer.Busy = true
		n.Stats.CatchUpRejected++
		return
	}
	for i := range answer.Entries {
		n.catchUpBudget -= float64(answer.Entries[i].size())
		n.Stats.CatchUpBytes += answer.Entries[i].size()
	}
	n.catchUpPeers[from] = now
}

// catchUpLoad is how many others were helped within the last second.
func (n *Node) catchUpLoad(now time.Duration) uint16 {
	for name, at := range n.catchUpPeers {
		if now > at+time.Second {
			delete(n.catchUpPeers, name)
		}
	}
	return uint16(len(n.catchUpPeers))
}
