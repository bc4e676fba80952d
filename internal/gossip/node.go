package gossip

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Config is what a process is told.
type Config struct {
	Name           string
	Members        []string      // all, this one included
	Kinds          []string      // that members write
	DecidedKinds   []string      // that the council does
	GossipInterval time.Duration // between two rounds of telling what is new
	Fanout         int           // how many are told in a round
	PingInterval   time.Duration // in which one member is asked whether it is there
	SyncInterval   time.Duration // between two looks whether one's copies differ from another's
	DeadRetention  time.Duration // what a member wrote counts for so long after its death
	CatchUpBudget  float64       // bytes a second that go to those that catch up
	Seed           uint64
	Fault          InjectedFault
}

// DefaultConfig are times that suit a fleet within one region.
func DefaultConfig() Config {
	return Config{
		GossipInterval: 100 * time.Millisecond, Fanout: 3, PingInterval: 500 * time.Millisecond, SyncInterval: 2 * time.Second, DeadRetention: 30 * time.Second, CatchUpBudget: 1 << 20,
	}
}

// Envelope is a message and to whom it goes.
type Envelope struct {
	To      string
	Message *Message
}

// MemberEvent is a change of what is held of a member.
type MemberEvent struct {
	Name     string
	From, To State
}

// Stats count what a node has done.
type Stats struct {
	Suspicions      int `json:"Suspicions"` // found here
	Refutations     int `json:"Objections"` // of this process
	Deaths          int `json:"Deaths"`     // held to be dead here
	Syncs           int `json:"Syncs"`      // looks at another's copies
	SyncsEqual      int `json:"Equal"`      // of them those that found no difference
	CatchUpBytes    int `json:"Helped"`     // bytes of entries that went to those that catch up
	CatchUpRejected int `json:"Turned"`     // asks of those that catch up that were turned away for want of room
}

const (
	// maxRumorBytes is about how long a message with what is new may become, answerBytes one to somebody who catches up.
	maxRumorBytes     = 1200
	maxSyncReplyBytes = 24 << 10
	// syncTimeoutRounds is how long an answer to a look is waited for, in rounds of gossip.
	syncTimeoutRounds = 4
	// maxRumors bounds what waits to be told.
	maxRumors           = 1024
	maxLeavesPerMessage = 64 // leaves of which heads are told in one message
	// incarnationRandomBits is how much of an incarnation is drawn, so that two processes of one name differ in it.
	incarnationRandomBits = 16
	// reincarnationInterval is the least time between two incarnations that a process begins because it has heard of a newer one: two processes of one
	// name must not fill the network with their quarrel.
	reincarnationInterval = time.Second
)

type rumorKey struct {
	member string // either a member
	owner  string // or an owner's state, where key is empty, or an entry
	key    string
}

type rumor struct {
	key           rumorKey
	transmissions int
	superseded    bool // another of the same key has taken its place
}

// Node is one process' part.
type Node struct {
	cfg           Config
	rng           *rand.Rand
	store         *Store
	memberNames   map[string]bool
	pingOrder     []string // the others, in the order in which they are asked
	pingIndex     int
	pingCount     int
	members       map[string]*member
	memberDigests *digestTree // of what is held of members, this one included
	stateCounts   [Unknown + 1]int
	unhealthy     map[string]struct{} // suspected or dead, and not given up yet

	incarnation                   uint64 // this process' incarnation
	refutations                   uint32
	sequence                      uint64
	ownValues                     map[string][]byte // what it has written, nil: taken back
	left                          bool
	healthScore                   int
	reincarnateAt, reincarnatedAt time.Duration
	conflictingIncarnation        uint64
	ownDigest                     uint64                    // of this process in the table
	assumedDigests                map[string]map[int]uint64 // only with a mistake planted: sums that are told in place of true ones

	ping                                            *pendingPing
	indirectPings                                   map[uint64]*indirectPing
	lastSeq                                         uint64
	nextPing, nextGossip, nextSync, nextExpiryCheck time.Duration

	rumors          map[rumorKey]*rumor
	rumorQueues     [][]*rumor // by how often they were sent
	syncSeq         uint64
	syncPeer        string
	syncDeadline    time.Duration
	syncStartedAt   time.Duration // when the newest look was begun
	syncUnanswered  bool          // no answer has come yet
	behind          bool          // the newest look has found a difference, or none has been answered since the start
	inSyncAt        time.Duration // when the copies were last seen to equal another's
	startedAt       time.Duration
	budgetUpdatedAt time.Duration // of the budget
	catchUpBudget   float64
	catchUpPeers    map[string]time.Duration

	outbox []Envelope
	events []MemberEvent
	Stats  Stats
}

// New returns the part of a process that starts now. It takes the first incarnation, and the next as soon as it hears of an earlier one of its own.
func New(now time.Duration, cfg Config) *Node {
	n := &Node{
		cfg: cfg, rng: newRand(cfg.Seed), memberNames: map[string]bool{}, members: map[string]*member{}, memberDigests: &digestTree{}, unhealthy: map[string]struct{}{},
		ownValues: map[string][]byte{}, indirectPings: map[uint64]*indirectPing{}, rumors: map[rumorKey]*rumor{}, catchUpPeers: map[string]time.Duration{},
		inSyncAt: -1, behind: true, startedAt: now, budgetUpdatedAt: now, catchUpBudget: cfg.CatchUpBudget,
	}
	for _, name := range cfg.Members {
		n.memberNames[name] = true
		if name != cfg.Name {
			n.pingOrder = append(n.pingOrder, name)
			n.members[name] = &member{MemberState: MemberState{Name: name, State: Unknown}}
		}
	}
	slices.Sort(n.pingOrder)
	n.rng.Shuffle(len(n.pingOrder), func(i, j int) { n.pingOrder[i], n.pingOrder[j] = n.pingOrder[j], n.pingOrder[i] })
	n.stateCounts[Unknown] = len(n.pingOrder)
	n.store = NewStore(cfg.Kinds, cfg.DecidedKinds, func(owner string) bool { return n.memberNames[owner] }, cfg.Fault)
	n.startIncarnation(now, 1)
	// Processes that start at one moment do not all act at one.
	n.nextPing, n.nextGossip = now+n.jitter(cfg.PingInterval), now+n.jitter(cfg.GossipInterval)
	n.nextSync = now + n.jitter(cfg.GossipInterval)
	return n
}

func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.rng.Float64() * float64(d))
}

// startIncarnation begins an incarnation: all that the process has written is written anew, and what it had taken back is forgotten with the older one.
func (n *Node) startIncarnation(now time.Duration, number uint64) {
	n.incarnation = number<<incarnationRandomBits | n.rng.Uint64()&(1<<incarnationRandomBits-1)
	n.refutations, n.reincarnatedAt = 0, now
	n.store.ApplyOwnerState(OwnerState{Name: n.cfg.Name, Incarnation: n.incarnation})
	n.spreadRumor(rumorKey{member: n.cfg.Name})
	for _, key := range slices.Sorted(maps.Keys(n.ownValues)) {
		if n.ownValues[key] == nil {
			delete(n.ownValues, key)
			continue
		}
		n.writeOwn(key, n.ownValues[key])
	}
	n.updateOwnDigest()
}

// updateOwnDigest keeps this process in the table that is compared with others'.
func (n *Node) updateOwnDigest() {
	if n.ownDigest != 0 {
		n.memberDigests.remove(n.cfg.Name, "", n.ownDigest)
	}
	n.ownDigest = n.ownState().digest()
	n.memberDigests.add(n.cfg.Name, "", n.ownDigest)
}

// reincarnate has the process write all anew above an incarnation of its name that it has heard of.
func (n *Node) reincarnate(now time.Duration, heard uint64) {
	n.conflictingIncarnation = max(n.conflictingIncarnation, heard)
	if n.reincarnateAt == 0 {
		n.reincarnateAt = max(now, n.reincarnatedAt+reincarnationInterval)
		if n.reincarnatedAt == n.startedAt { // the first time at once: it is an earlier start's
			n.reincarnateAt = now
		}
	}
	if now >= n.reincarnateAt {
		n.reincarnateAt = 0
		n.startIncarnation(now, n.conflictingIncarnation>>incarnationRandomBits+1)
	}
}

// Restore takes over what an earlier start of this process has kept: entries of others, and its own incarnation, above which it goes on.
func (n *Node) Restore(now time.Duration, m *Message) {
	for _, o := range m.Owners {
		if o.Name == n.cfg.Name && o.Incarnation >= n.incarnation {
			n.startIncarnation(now, o.Incarnation>>incarnationRandomBits+1)
		}
	}
	for _, e := range m.Entries {
		if e.Owner != n.cfg.Name {
			n.store.Merge(e)
		}
	}
	n.store.TakeChanges() // old: it is no news
}

// Put writes a value under a key of a kind that members write. It reports whether there is room.
func (n *Node) Put(key string, value []byte) bool {
	if len(value) > MaxValueBytes || len(key) > MaxKeyBytes || n.left {
		return false
	}
	if n.ownValues[key] == nil && len(n.ownValues) >= MaxKeysPerOwner-1 {
		live := 0
		for _, v := range n.ownValues {
			if v != nil {
				live++
			}
		}
		if live >= MaxKeysPerOwner/2 {
			return false
		}
		n.startIncarnation(n.reincarnatedAt, n.incarnation>>incarnationRandomBits+1) // forgets what was taken back
	}
	if was, had := n.ownValues[key]; had && was != nil && string(was) == string(value) {
		return true
	}
	n.ownValues[key] = append([]byte{}, value...)
	n.writeOwn(key, n.ownValues[key])
	return true
}

// Delete takes back what the process has written under a key.
func (n *Node) Delete(key string) {
	if n.ownValues[key] != nil {
		n.ownValues[key] = nil
		n.writeOwn(key, nil)
	}
}

func (n *Node) writeOwn(key string, value []byte) {
	n.sequence++
	e := Entry{Owner: n.cfg.Name, Key: key, Version: Version{n.incarnation, n.sequence}, Siblings: [][]byte{encodeContent(value)}}
	if n.store.Merge(e) {
		n.spreadRumor(rumorKey{owner: e.Owner, key: key})
	}
}

// ApplyDecision takes what the council has decided, from the log or from another's word: number grows with each decision. value nil: taken back.
func (n *Node) ApplyDecision(key string, number uint64, value []byte) {
	if n.store.Merge(DecidedEntry(max(1, n.store.fleetTag), key, number, value)) {
		n.spreadRumor(rumorKey{owner: ConsensusOwner, key: key})
	}
}

// DecidedEntry is the copy of a decision of the council that tag stands for.
func DecidedEntry(tag uint64, key string, number uint64, value []byte) Entry {
	return Entry{Owner: ConsensusOwner, Key: key, Version: Version{tag, number}, Siblings: [][]byte{encodeContent(value)}}
}

// encodeContent is a value as entries have it; nil: taken back.
func encodeContent(value []byte) []byte {
	if value == nil {
		return []byte{tombstoneMark}
	}
	return append([]byte{valueMark}, value...)
}

// Leave tells that the process ends: what it wrote is taken back with it.
func (n *Node) Leave(now time.Duration) []Envelope {
	n.left = true
	n.updateOwnDigest()
	n.spreadRumor(rumorKey{member: n.cfg.Name})
	n.nextGossip = now
	n.sendRumors(now)
	return n.takeOutbox()
}

// Store are those that the process has.
func (n *Node) Store() *Store { return n.store }

// Incarnation is the process' incarnation.
func (n *Node) Incarnation() uint64 { return n.incarnation }

// Member is what is held of one.
func (n *Node) Member(name string) MemberState {
	if name == n.cfg.Name {
		return n.ownState()
	}
	if m := n.members[name]; m != nil {
		return m.MemberState
	}
	return MemberState{Name: name, State: Unknown}
}

// Count is how many members are in a state, as far as is known here.
func (n *Node) Count(s State) int { return n.stateCounts[s] }

// HealthScore is how much the process' own troubles lengthen its times: 0, not at all, to 8.
func (n *Node) HealthScore() int { return n.healthScore }

// TakeEvents returns the changes of members since it was last called.
func (n *Node) TakeEvents() []MemberEvent {
	all := n.events
	n.events = nil
	return all
}

// InSync reports whether the copies were seen to equal another's since the start, and how long ago the last time.
func (n *Node) InSync(now time.Duration) (ago time.Duration, ok bool) {
	if n.inSyncAt < 0 {
		return now - n.startedAt, false
	}
	return now - n.inSyncAt, true
}

// spreadRumor has something be told to others. With too much that is new the looks at each other's copies have to do.
func (n *Node) spreadRumor(k rumorKey) {
	if was := n.rumors[k]; was != nil {
		was.superseded = true
	} else if len(n.rumors) >= maxRumors {
		return
	}
	r := &rumor{key: k}
	n.rumors[k] = r
	n.enqueueRumor(r)
}

func (n *Node) enqueueRumor(r *rumor) {
	for len(n.rumorQueues) <= r.transmissions {
		n.rumorQueues = append(n.rumorQueues, nil)
	}
	n.rumorQueues[r.transmissions] = append(n.rumorQueues[r.transmissions], r)
}

func (n *Node) applyOwnerState(s OwnerState) {
	if n.store.ApplyOwnerState(s) && s.Reaped > 0 {
		n.spreadRumor(rumorKey{owner: s.Name})
	}
}

func (n *Node) send(to string, m *Message) { n.outbox = append(n.outbox, Envelope{to, m}) }

func (n *Node) takeOutbox() []Envelope {
	out := n.outbox
	n.outbox = nil
	return out
}

// NextTick is when Tick has something to do at the latest.
func (n *Node) NextTick() time.Duration {
	if n.left {
		return math.MaxInt64
	}
	at := min(n.nextPing, n.nextSync)
	if len(n.rumors) > 0 { // with nothing new nobody is woken: a process at rest is woken by its probes alone
		at = min(at, n.nextGossip)
	}
	if len(n.unhealthy) > 0 {
		at = min(at, n.nextExpiryCheck)
	}
	for _, r := range n.indirectPings {
		at = min(at, r.deadline)
	}
	if n.syncPeer != "" {
		at = min(at, n.syncDeadline)
	}
	if p := n.ping; p != nil {
		if !p.indirectSent && !p.acked {
			at = min(at, p.indirectAt)
		}
		at = min(at, p.deadline)
	}
	if n.reincarnateAt > 0 {
		at = min(at, n.reincarnateAt)
	}
	return at
}

// Tick does what is due.
func (n *Node) Tick(now time.Duration) []Envelope {
	if n.left {
		return nil
	}
	if n.reincarnateAt > 0 && now >= n.reincarnateAt {
		n.reincarnate(now, n.conflictingIncarnation)
	}
	n.detectFailures(now)
	if now >= n.nextGossip {
		n.nextGossip = now + n.cfg.GossipInterval
		n.sendRumors(now)
	}
	if n.syncPeer != "" && now >= n.syncDeadline {
		n.syncPeer = ""
		if n.behind { // what has come counts; the rest is asked of another at once
			// But no more than once a round: copies may differ for as long as one has not heard what the other has.
			n.nextSync = max(now, n.syncStartedAt+n.cfg.GossipInterval+n.jitter(n.cfg.GossipInterval/2))
		}
	}
	if now >= n.nextSync {
		n.nextSync = now + n.cfg.SyncInterval/2 + n.jitter(n.cfg.SyncInterval)
		n.startSync(now)
	}
	return n.takeOutbox()
}

// sendRumors tells some others what is new, that first which has been told least.
func (n *Node) sendRumors(now time.Duration) {
	if len(n.rumors) == 0 {
		return
	}
	most := int(math.Ceil(retransmitMultiplier * n.logFleetSize()))
	to := n.randomMembers(n.cfg.Fanout, func(m *member) bool { return m.State == Alive || m.State == Suspect })
	if len(to) == 0 {
		return
	}
	m := &Message{Kind: RumorMessage}
	size := 0
	var told []*rumor
	for i := range n.rumorQueues {
		q := n.rumorQueues[i]
		for len(q) > 0 && size <= maxRumorBytes {
			r := q[0]
			q = q[1:]
			if r.superseded {
				continue
			}
			size += n.appendRumor(m, r.key)
			told = append(told, r)
		}
		n.rumorQueues[i] = q
	}
	for _, r := range told {
		if r.transmissions++; r.transmissions >= most {
			delete(n.rumors, r.key)
		} else {
			n.enqueueRumor(r)
		}
	}
	for _, name := range to {
		n.send(name, m)
	}
}

// appendRumor adds to a message what a rumour is about, as it is now, and returns about how many bytes that has.
func (n *Node) appendRumor(m *Message, k rumorKey) int {
	switch {
	case k.member != "":
		s := n.Member(k.member)
		if s.State > Left {
			return 0
		}
		m.Members = append(m.Members, s)
		return 12 + len(s.Name) + len(s.SuspectedBy)
	case k.key == "":
		inc, gone := n.store.Incarnation(k.owner)
		m.Owners = append(m.Owners, OwnerState{k.owner, inc, gone})
		return 12 + len(k.owner)
	}
	e, ok := n.store.Get(k.owner, k.key)
	if !ok {
		return 0
	}
	m.Entries = append(m.Entries, e)
	return e.size()
}

func (e *Entry) size() int {
	size := 12 + len(e.Owner) + len(e.Key)
	for _, c := range e.Siblings {
		size += len(c)
	}
	return size
}

// Receive takes a message of another process.
func (n *Node) Receive(now time.Duration, from string, m *Message) []Envelope {
	peer := n.members[from]
	if peer == nil || n.left {
		n.store.Counts.Unknown++
		return nil
	}
	peer.load = m.Load
	answer := &Message{Kind: SyncMessage, Seq: m.Seq}
	for _, s := range m.Members {
		n.applyMemberState(now, s)
	}
	for _, s := range m.Owners {
		if s.Name == n.cfg.Name && s.Reaped >= n.incarnation {
			n.reincarnate(now, s.Reaped) // others have given this incarnation up
		} else if n.store.ApplyOwnerState(s) {
			n.spreadRumor(rumorKey{owner: s.Name})
		}
	}
	entries := m.Entries
	if n.cfg.Fault == FaultPartialMerge && m.Kind == SyncMessage {
		entries = entries[:len(entries)/2]
	}
	fresh := false
	for _, e := range entries {
		if e.Owner == n.cfg.Name {
			if e.Incarnation > n.incarnation || e.Incarnation == n.incarnation && e.Sequence > n.sequence {
				n.reincarnate(now, e.Incarnation)
			}
			continue
		}
		if n.store.Merge(e) {
			fresh = true
			n.spreadRumor(rumorKey{owner: e.Owner, key: e.Key})
		} else if inc, gone := n.store.Incarnation(e.Owner); e.Incarnation < inc || e.Incarnation <= gone {
			answer.Owners = appendOwnerState(answer.Owners, OwnerState{e.Owner, inc, gone})
		}
	}
	switch m.Kind {
	case PingMessage:
		n.send(from, &Message{Kind: AckMessage, Seq: m.Seq, Load: n.catchUpLoad(now), Members: n.pingUpdates(from)})
	case PingRequestMessage:
		if n.members[m.Target] != nil && len(n.indirectPings) < 4*len(n.memberNames) {
			n.lastSeq++
			n.indirectPings[n.lastSeq] = &indirectPing{requester: from, target: m.Target, requesterSeq: m.Seq, deadline: now + n.scaleByHealth(n.cfg.PingInterval)/2}
			n.send(m.Target, &Message{Kind: PingMessage, Seq: n.lastSeq, Members: n.pingUpdates(m.Target)})
		}
	case AckMessage:
		if p := n.ping; p != nil && p.seq == m.Seq {
			p.acked = true
		} else if r := n.indirectPings[m.Seq]; r != nil && r.target == from {
			delete(n.indirectPings, m.Seq)
			n.send(r.requester, &Message{Kind: AckMessage, Seq: r.requesterSeq, Members: []MemberState{n.members[from].MemberState}})
		}
	case NackMessage:
		if p := n.ping; p != nil && p.seq == m.Seq {
			p.missingNacks--
		}
	case SyncMessage:
		n.handleSync(now, from, m, answer, fresh)
	}
	if m.Kind != SyncMessage && len(answer.Owners) > 0 {
		n.send(from, answer)
	}
	return n.takeOutbox()
}

func appendOwnerState(all []OwnerState, s OwnerState) []OwnerState {
	if len(all) >= maxOwnerStates || slices.Contains(all, s) {
		return all
	}
	return append(all, s)
}
