package gossip

import (
	"slices"
	"time"
)

const (
	// maxSyncReplyBytes is about how many bytes of entries a reply may carry.
	maxSyncReplyBytes = 24 << 10
	// syncTimeoutRounds is how long the first reply is waited for, in gossip intervals.
	syncTimeoutRounds = 4
	// syncCandidates is how many members are drawn for an exchange; the one with the least load is chosen.
	syncCandidates = 3
	// maxLeavesPerMessage bounds the leaves whose entries are listed in one message.
	maxLeavesPerMessage = 64
	// maxEntriesPerLeaf bounds the entries listed of one leaf.
	maxEntriesPerLeaf = maxEntryDigests / maxLeavesPerMessage
)

// membersKind stands for the states of the members among the kinds whose digest trees are compared.
const membersKind = "*members"

// syncState is the anti-entropy exchange that this process has started, and what it knows of its replica by the last ones.
type syncState struct {
	peer       string // of the exchange that is open; empty: none
	seq        uint64 // number of its messages
	startedAt  time.Duration
	deadline   time.Duration
	unanswered bool          // no reply has come yet
	next       time.Duration // when the next exchange starts
	behind     bool          // the newest exchange found a difference, or none was answered since the start
	inSyncAt   time.Duration // when the replica was last equal to another; negative: never
}

// InSync reports whether the replica was found equal to another's since the process started, and how long ago the last time; if
// never, how long ago the process started.
func (n *Node) InSync(now time.Duration) (ago time.Duration, ok bool) {
	if n.sync.inSyncAt < 0 {
		return now - n.startedAt, false
	}
	return now - n.sync.inSyncAt, true
}

// digestsOf is the digest tree of a kind, nil if the kind is not known here.
func (n *Node) digestsOf(kind string) *digestTree {
	if kind == membersKind {
		return n.memberDigests
	}
	return n.store.digests[kind]
}

// rangeDigest is the digest of a range that is sent to peers.
func (n *Node) rangeDigest(kind string, level uint8, index int) uint64 {
	if kind == membersKind {
		return n.memberDigests.rangeDigest(level, index)
	}
	digest := n.store.rangeDigest(kind, level, index)
	for leaf, assumed := range n.assumedDigests[kind] {
		if inRange(level, index, leaf) {
			digest += assumed - n.store.digests[kind].leaves[leaf]
		}
	}
	return digest
}

// localVersion is the version and the digest of an entry as it is here.
func (n *Node) localVersion(kind string, id EntryID) (v Version, digest uint64, ok bool) {
	if kind == membersKind {
		s := n.Member(id.owner)
		return s.version(), s.digest(), s.State <= Left
	}
	e, ok := n.store.Get(id.owner, id.key)
	if !ok {
		return v, 0, false
	}
	return e.Version, e.Digest(), true
}

// tickSync ends an exchange that is over, and starts one that is due.
func (n *Node) tickSync(now time.Duration) {
	if n.sync.peer != "" && now >= n.sync.deadline {
		n.sync.peer = ""
		if n.sync.behind { // the rest is asked of another, but no more than once a round: replicas differ while rumors spread
			n.sync.next = max(now, n.sync.startedAt+n.cfg.GossipInterval+n.jitter(n.cfg.GossipInterval/2))
		}
	}
	if now >= n.sync.next {
		n.sync.next = now + n.cfg.SyncInterval/2 + n.jitter(n.cfg.SyncInterval)
		n.startSync(now)
	}
}

// startSync sends the root digests of all kinds to another member, unless an exchange is open.
func (n *Node) startSync(now time.Duration) {
	if n.sync.peer != "" {
		return
	}
	peer := n.syncCandidate(now)
	if peer == "" {
		return
	}
	n.lastSeq++
	n.sync.seq, n.sync.peer, n.sync.unanswered = n.lastSeq, peer, true
	n.sync.startedAt, n.sync.deadline = now, now+syncTimeoutRounds*n.cfg.GossipInterval
	n.Stats.Syncs++
	m := &Message{Kind: SyncMessage, Seq: n.sync.seq, Members: []MemberState{n.ownState()}}
	for _, kind := range append([]string{membersKind}, n.store.kinds...) {
		m.Ranges = append(m.Ranges, RangeDigest{kind, rootLevel, 0, n.rangeDigest(kind, rootLevel, 0)})
	}
	n.send(peer, m)
}

// syncCandidate is the least loaded of a few random members that are alive, or a random one if none is alive; empty: none.
func (n *Node) syncCandidate(now time.Duration) string {
	candidates := n.randomMembers(syncCandidates, func(m *member) bool { return m.State == Alive && now >= m.busyUntil })
	if len(candidates) == 0 {
		candidates = n.randomMembers(1, func(m *member) bool { return m.State != Alive })
	}
	if len(candidates) == 0 {
		return ""
	}
	best := candidates[0]
	for _, name := range candidates[1:] {
		if n.members[name].load < n.members[best].load {
			best = name
		}
	}
	return best
}

// syncReply is a message that answers a Sync message, as it is put together.
type syncReply struct {
	*Message
	room int // bytes of entries that still fit
}

// handleSync compares the sender's digests with this process' own, and replies with what the sender lacks and what is wanted of
// it. Each step goes down a level of the trees, so that an exchange ends. What a lost message leaves out the next exchange
// finds again. news says whether the message had entries that were news.
func (n *Node) handleSync(now time.Duration, from string, m, answer *Message, news bool) {
	reply := &syncReply{Message: answer, room: maxSyncReplyBytes}
	opens := false
	for _, r := range m.Ranges {
		if n.compareRange(r, reply) && r.Level == rootLevel {
			opens = true
		}
	}
	for _, leaf := range m.Leaves {
		n.reconcileLeaf(leaf, reply)
	}
	if n.sync.peer == from && n.sync.seq == m.Seq {
		n.handleSyncReply(now, from, m, reply, news)
	} else if len(reply.Entries) > 0 {
		n.chargeCatchUp(now, from, reply)
	}
	if opens || !reply.isEmpty() {
		reply.Load = n.catchUpLoad(now)
		n.send(from, reply.Message)
	}
}

// compareRange answers a digest that differs from this process' own with the next level down, and reports whether the range is
// known here.
func (n *Node) compareRange(r RangeDigest, reply *syncReply) bool {
	index := int(r.Index)
	switch {
	case n.digestsOf(r.Kind) == nil: // a kind of a newer version of the program
		n.store.Counts.Unknown++
		return false
	case !validRange(r.Level, index):
		n.store.Counts.Invalid++
		return false
	}
	switch {
	case n.rangeDigest(r.Kind, r.Level, index) == r.Digest:
	case r.Digest == 0: // the sender has nothing of it: it is sent as much as fits
		n.appendRange(r, reply)
	case r.Level < leafLevel:
		n.appendSubranges(r, reply)
	case len(reply.Leaves) < maxLeavesPerMessage:
		reply.Leaves = append(reply.Leaves, n.leafDigest(r.Kind, index))
	}
	return true
}

// appendSubranges adds the digests one level below a range.
func (n *Node) appendSubranges(r RangeDigest, reply *syncReply) {
	level := r.Level + 1
	for i := range treeFanout {
		if len(reply.Ranges) >= maxRangeDigests {
			return
		}
		index := int(r.Index)*treeFanout + i
		reply.Ranges = append(reply.Ranges, RangeDigest{r.Kind, level, uint16(index), n.rangeDigest(r.Kind, level, index)})
	}
}

// handleSyncReply takes in a reply in the exchange that this process has started.
func (n *Node) handleSyncReply(now time.Duration, from string, m *Message, reply *syncReply, news bool) {
	if n.sync.unanswered && !m.Busy {
		n.sync.unanswered = false
		// News of members are always under way: they do not make a replica differ.
		n.sync.behind = slices.ContainsFunc(m.Ranges, func(r RangeDigest) bool { return r.Kind != membersKind })
		if !n.sync.behind {
			n.sync.inSyncAt = now
			n.Stats.SyncsEqual++
		}
	}
	switch {
	case m.Busy:
		n.members[from].busyUntil = now + busyPause + n.jitter(busyPause)
		n.sync.peer = ""
		n.sync.next = min(n.sync.next, now+n.jitter(n.cfg.SyncInterval))
	case m.isEmpty():
		n.sync.peer = ""
	default:
		n.sync.deadline = now // entries that were asked for come all the same
		if news || len(reply.Ranges)+len(reply.Leaves) == 0 {
			n.sync.peer = ""
			n.sync.next = min(n.sync.next, now+n.cfg.GossipInterval/2+n.jitter(n.cfg.GossipInterval/2)) // there may be more
		}
	}
}

// leafDigest lists the entries of a leaf that are here, and asks for those that are not.
func (n *Node) leafDigest(kind string, index int) LeafDigest {
	leaf := LeafDigest{Kind: kind, Index: uint16(index), RequestMissing: true}
	for _, id := range n.digestsOf(kind).leafEntries(index) {
		if version, digest, ok := n.localVersion(kind, id); ok && len(leaf.Entries) < maxEntriesPerLeaf {
			leaf.Entries = append(leaf.Entries, EntryDigest{id.owner, id.key, version, digest})
		}
	}
	return leaf
}

// reconcileLeaf answers a list of the sender's entries of a leaf with those that it lacks and, if it asks, with those that are
// wanted of it.
func (n *Node) reconcileLeaf(leaf LeafDigest, reply *syncReply) {
	tree := n.digestsOf(leaf.Kind)
	if tree == nil || int(leaf.Index) >= leafCount {
		n.store.Counts.Invalid++
		return
	}
	theirs := map[EntryID]bool{}
	wanted := LeafDigest{Kind: leaf.Kind, Index: leaf.Index}
	for _, head := range leaf.Entries {
		id := EntryID{head.Owner, head.Key}
		theirs[id] = true
		if version, digest, want := n.compareEntry(leaf.Kind, id, head, reply); want {
			wanted.Entries = append(wanted.Entries, EntryDigest{Owner: head.Owner, Key: head.Key, Version: version, Digest: digest})
		}
	}
	if !leaf.RequestMissing {
		return
	}
	for _, id := range tree.leafEntries(int(leaf.Index)) {
		if !theirs[id] {
			n.appendEntry(leaf.Kind, id, reply)
		}
	}
	if len(wanted.Entries) > 0 {
		reply.Leaves = append(reply.Leaves, wanted)
		n.assumeMerged(leaf)
	}
}

// compareEntry compares an entry of the sender's with the one here, sends the latter if the sender lacks it, and returns the
// version and digest here and whether the sender's is wanted.
func (n *Node) compareEntry(kind string, id EntryID, theirs EntryDigest, reply *syncReply) (version Version, digest uint64, want bool) {
	version, digest, present := n.localVersion(kind, id)
	if present {
		order := version.Compare(theirs.Version)
		switch {
		case order > 0:
			n.appendEntry(kind, id, reply)
			return version, digest, false
		case order == 0 && digest == theirs.Digest:
			return version, digest, false
		case order == 0: // siblings: each sends its own
			n.appendEntry(kind, id, reply)
		}
	}
	if kind != membersKind {
		incarnation, reaped := n.store.Incarnation(id.owner)
		if theirs.Incarnation < incarnation || theirs.Incarnation <= reaped {
			reply.Owners = appendOwnerState(reply.Owners, OwnerState{id.owner, incarnation, reaped})
			return version, digest, false
		}
	}
	return version, digest, true
}

// assumeMerged injects FaultPartialMerge: the digest of a leaf is what the sender says, whether or not its entries come.
func (n *Node) assumeMerged(leaf LeafDigest) {
	if n.cfg.Fault != FaultPartialMerge || leaf.Kind == membersKind {
		return
	}
	total := uint64(0)
	for _, head := range leaf.Entries {
		total += head.Digest
	}
	if n.assumedDigests == nil {
		n.assumedDigests = map[string]map[int]uint64{}
	}
	if n.assumedDigests[leaf.Kind] == nil {
		n.assumedDigests[leaf.Kind] = map[int]uint64{}
	}
	n.assumedDigests[leaf.Kind][int(leaf.Index)] = total
}

// appendRange adds all entries of a range that are here, as far as they fit.
func (n *Node) appendRange(r RangeDigest, reply *syncReply) {
	tree := n.digestsOf(r.Kind)
	first, end := rangeLeaves(r.Level, int(r.Index))
	for leaf := first; leaf < end && reply.room > 0; leaf++ {
		for _, id := range tree.leafEntries(leaf) {
			n.appendEntry(r.Kind, id, reply)
		}
	}
}

// appendEntry adds an entry that is here, or a member's state, if it fits.
func (n *Node) appendEntry(kind string, id EntryID, reply *syncReply) {
	if reply.room <= 0 {
		return
	}
	if kind == membersKind {
		if s := n.Member(id.owner); s.State <= Left && len(reply.Members) < maxMemberStates {
			reply.Members = append(reply.Members, s)
			reply.room -= recordOverhead + len(s.Name)
		}
		return
	}
	if e, ok := n.store.Get(id.owner, id.key); ok && len(reply.Entries) < maxEntries {
		reply.Entries = append(reply.Entries, e)
		reply.room -= e.size()
	}
}

// appendOwnerState adds a state that is not there yet, if it fits.
func appendOwnerState(states []OwnerState, s OwnerState) []OwnerState {
	if len(states) >= maxOwnerStates || slices.Contains(states, s) {
		return states
	}
	return append(states, s)
}
