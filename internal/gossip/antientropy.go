package gossip

import (
	"slices"
	"time"
)

const (
	// maxSyncReplyBytes is the approximate maximum size of the entries in a reply.
	maxSyncReplyBytes = 24 << 10
	// syncTimeoutRounds is the timeout for the first reply, in gossip intervals.
	syncTimeoutRounds = 4
	// syncCandidates is the number of members drawn at random for an exchange. The member with the lowest load is chosen.
	syncCandidates = 3
	// maxLeavesPerMessage limits the leaves whose entries are listed in one message.
	maxLeavesPerMessage = 64
	// maxEntriesPerLeaf limits the entries listed for one leaf.
	maxEntriesPerLeaf = maxEntryDigests / maxLeavesPerMessage
)

// membersKind is the reserved kind under which the digest tree of the member states is compared.
const membersKind = "*members"

// syncState is the state of the anti-entropy exchange that this process has started, and the result of the previous exchanges.
type syncState struct {
	peer       string // peer of the open exchange; empty if none is open
	seq        uint64 // sequence number of the messages of the exchange
	startedAt  time.Duration
	deadline   time.Duration
	unanswered bool          // no reply has been received yet
	next       time.Duration // start time of the next exchange
	behind     bool          // the latest answered exchange found a difference, or none was answered since the start
	inSyncAt   time.Duration // time at which the replica was last found equal to another; negative if never
}

// InSync reports whether the replica was found equal to another replica since the process started. ago is the time since the replica
// was last found equal or, if ok is false, the time since the process started.
func (n *Node) InSync(now time.Duration) (ago time.Duration, ok bool) {
	if n.sync.inSyncAt < 0 {
		return now - n.startedAt, false
	}
	return now - n.sync.inSyncAt, true
}

// digestsOf returns the digest tree of a kind, or nil if this process does not know the kind.
func (n *Node) digestsOf(kind string) *digestTree {
	if kind == membersKind {
		return n.memberDigests
	}
	return n.store.digests[kind]
}

// rangeDigest returns the digest of a range as it is sent to peers.
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

// localVersion returns the version and the digest of the local replica of an entry. ok is false if there is none.
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

// tickSync closes an exchange whose deadline has passed, and starts an exchange that is due.
func (n *Node) tickSync(now time.Duration) {
	if n.sync.peer != "" && now >= n.sync.deadline {
		n.sync.peer = ""
		// The missing entries are requested from another member. The rate is limited to one exchange per gossip interval, because
		// replicas also differ while rumors spread.
		if n.sync.behind {
			n.sync.next = max(now, n.sync.startedAt+n.cfg.GossipInterval+n.jitter(n.cfg.GossipInterval/2))
		}
	}
	if now >= n.sync.next {
		n.sync.next = now + n.cfg.SyncInterval/2 + n.jitter(n.cfg.SyncInterval)
		n.startSync(now)
	}
}

// startSync sends the root digests of all kinds to another member, unless an exchange is already open.
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

// syncCandidate returns the name of the least loaded of a few random members that are alive and not busy. If no member is alive and not
// busy, it returns a random member that is not alive. If all members are alive but busy, it returns an empty string.
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

// syncReply is the reply to a Sync message while it is assembled.
type syncReply struct {
	*Message
	bytesLeft int // remaining size for entries
}

// handleSync compares the sender's digests with the local digests. The reply has the entries that the sender lacks and requests the
// entries that this process lacks. Each message descends one level of the trees, so that an exchange terminates. If a message is
// lost, the next exchange finds the same differences again. changed reports whether the message had entries that changed the replica.
func (n *Node) handleSync(now time.Duration, from string, m, answer *Message, changed bool) {
	reply := &syncReply{Message: answer, bytesLeft: maxSyncReplyBytes}
	opening := false
	for _, r := range m.Ranges {
		if n.compareRange(r, reply) && r.Level == rootLevel {
			opening = true
		}
	}
	for _, leaf := range m.Leaves {
		n.reconcileLeaf(leaf, reply)
	}
	if n.sync.peer == from && n.sync.seq == m.Seq {
		n.handleSyncReply(now, from, m, reply, changed)
	} else if len(reply.Entries) > 0 {
		n.chargeCatchUp(now, from, reply)
	}
	if opening || !reply.isEmpty() {
		reply.Load = n.catchUpLoad(now)
		n.send(from, reply.Message)
	}
}

// compareRange adds the next lower level to the reply if a digest differs from the local digest: the digests of the subranges or, for
// a leaf, the list of its entries. If the sender has no entries in the range, it adds the entries. It reports whether the range is
// valid and its kind known.
func (n *Node) compareRange(r RangeDigest, reply *syncReply) bool {
	index := int(r.Index)
	switch {
	case n.digestsOf(r.Kind) == nil: // a kind of a newer program version
		n.store.Counts.Unknown++
		return false
	case !validRange(r.Level, index):
		n.store.Counts.Invalid++
		return false
	}
	switch {
	case n.rangeDigest(r.Kind, r.Level, index) == r.Digest:
	case r.Digest == 0: // the sender has no entries in the range: send as many as fit
		n.appendRange(r, reply)
	case r.Level < leafLevel:
		n.appendSubranges(r, reply)
	case len(reply.Leaves) < maxLeavesPerMessage:
		reply.Leaves = append(reply.Leaves, n.leafDigest(r.Kind, index))
	}
	return true
}

// appendSubranges adds the digests of the ranges one level below a range.
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

// handleSyncReply processes a reply in the exchange that this process has started.
func (n *Node) handleSyncReply(now time.Duration, from string, m *Message, reply *syncReply, changed bool) {
	if n.sync.unanswered && !m.Busy {
		n.sync.unanswered = false
		// Updates of member states are always in transit. They do not count as a difference.
		n.sync.behind = slices.ContainsFunc(m.Ranges, func(r RangeDigest) bool { return r.Kind != membersKind })
		if !n.sync.behind {
			n.sync.inSyncAt = now
			n.Stats.SyncsEqual++
		}
	}
	switch {
	case m.Busy:
		n.members[from].busyUntil = now + busyBackoff + n.jitter(busyBackoff)
		n.sync.peer = ""
		n.sync.next = min(n.sync.next, now+n.jitter(n.cfg.SyncInterval))
	case m.isEmpty():
		n.sync.peer = ""
	default:
		n.sync.deadline = now // requested entries are merged even after the exchange is closed
		if changed || len(reply.Ranges)+len(reply.Leaves) == 0 {
			n.sync.peer = ""
			n.sync.next = min(n.sync.next, now+n.cfg.GossipInterval/2+n.jitter(n.cfg.GossipInterval/2)) // there may be more differences
		}
	}
}

// leafDigest lists the local entries of a leaf and requests the entries that are missing in the list.
func (n *Node) leafDigest(kind string, index int) LeafDigest {
	leaf := LeafDigest{Kind: kind, Index: uint16(index), RequestMissing: true}
	for _, id := range n.digestsOf(kind).leafEntries(index) {
		if version, digest, ok := n.localVersion(kind, id); ok && len(leaf.Entries) < maxEntriesPerLeaf {
			leaf.Entries = append(leaf.Entries, EntryDigest{id.owner, id.key, version, digest})
		}
	}
	return leaf
}

// reconcileLeaf compares the sender's list of entries of a leaf with the local entries. It adds newer local entries to the reply. If
// the sender has set RequestMissing, it also adds the entries that are not listed, and requests the listed entries that are missing or
// older here.
func (n *Node) reconcileLeaf(leaf LeafDigest, reply *syncReply) {
	tree := n.digestsOf(leaf.Kind)
	if tree == nil || int(leaf.Index) >= leafCount {
		n.store.Counts.Invalid++
		return
	}
	listed := map[EntryID]bool{}
	requested := LeafDigest{Kind: leaf.Kind, Index: leaf.Index}
	for _, remote := range leaf.Entries {
		id := EntryID{remote.Owner, remote.Key}
		listed[id] = true
		if version, digest, want := n.compareEntry(leaf.Kind, id, remote, reply); want {
			requested.Entries = append(requested.Entries, EntryDigest{Owner: remote.Owner, Key: remote.Key, Version: version, Digest: digest})
		}
	}
	if !leaf.RequestMissing {
		return
	}
	for _, id := range tree.leafEntries(int(leaf.Index)) {
		if !listed[id] {
			n.appendEntry(leaf.Kind, id, reply)
		}
	}
	if len(requested.Entries) > 0 {
		reply.Leaves = append(reply.Leaves, requested)
		n.assumeMerged(leaf)
	}
}

// compareEntry compares the sender's version of an entry with the local version, and adds the local entry to the reply if it is newer
// or a sibling. It returns the local version and digest, and whether the sender's entry is to be requested. If the incarnation of the
// sender's entry is outdated, the owner state is added to the reply and the entry is not requested.
func (n *Node) compareEntry(kind string, id EntryID, remote EntryDigest, reply *syncReply) (version Version, digest uint64, want bool) {
	version, digest, present := n.localVersion(kind, id)
	if present {
		order := version.Compare(remote.Version)
		switch {
		case order > 0:
			n.appendEntry(kind, id, reply)
			return version, digest, false
		case order == 0 && digest == remote.Digest:
			return version, digest, false
		case order == 0: // siblings: both sides send their own
			n.appendEntry(kind, id, reply)
		}
	}
	if kind != membersKind {
		incarnation, reaped := n.store.Incarnation(id.owner)
		if remote.Incarnation < incarnation || remote.Incarnation <= reaped {
			reply.Owners = appendOwnerState(reply.Owners, OwnerState{id.owner, incarnation, reaped})
			return version, digest, false
		}
	}
	return version, digest, true
}

// assumeMerged injects FaultPartialMerge: the digest of the leaf is taken from the sender's list, whether or not the entries arrive.
func (n *Node) assumeMerged(leaf LeafDigest) {
	if n.cfg.Fault != FaultPartialMerge || leaf.Kind == membersKind {
		return
	}
	total := uint64(0)
	for _, entry := range leaf.Entries {
		total += entry.Digest
	}
	if n.assumedDigests == nil {
		n.assumedDigests = map[string]map[int]uint64{}
	}
	if n.assumedDigests[leaf.Kind] == nil {
		n.assumedDigests[leaf.Kind] = map[int]uint64{}
	}
	n.assumedDigests[leaf.Kind][int(leaf.Index)] = total
}

// appendRange adds the local entries of a range until the reply is full.
func (n *Node) appendRange(r RangeDigest, reply *syncReply) {
	tree := n.digestsOf(r.Kind)
	first, end := rangeLeaves(r.Level, int(r.Index))
	for leaf := first; leaf < end && reply.bytesLeft > 0; leaf++ {
		for _, id := range tree.leafEntries(leaf) {
			n.appendEntry(r.Kind, id, reply)
		}
	}
}

// appendEntry adds the local replica of an entry, or a member state, unless the reply is full.
func (n *Node) appendEntry(kind string, id EntryID, reply *syncReply) {
	if reply.bytesLeft <= 0 {
		return
	}
	if kind == membersKind {
		if s := n.Member(id.owner); s.State <= Left && len(reply.Members) < maxMemberStates {
			reply.Members = append(reply.Members, s)
			reply.bytesLeft -= recordOverhead + len(s.Name)
		}
		return
	}
	if e, ok := n.store.Get(id.owner, id.key); ok && len(reply.Entries) < maxEntries {
		reply.Entries = append(reply.Entries, e)
		reply.bytesLeft -= e.size()
	}
}

// appendOwnerState adds a state unless it is already present or the maximum number is reached.
func appendOwnerState(states []OwnerState, s OwnerState) []OwnerState {
	if len(states) >= maxOwnerStates || slices.Contains(states, s) {
		return states
	}
	return append(states, s)
}
