package gossip

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Node runs the gossip protocol of one process. The caller passes in messages (Receive) and the time (Tick, no later than NextTick),
// and sends the messages that these methods return. A Node is not safe for concurrent use.
type Node struct {
	cfg         Config
	rng         *rand.Rand
	startedAt   time.Duration
	store       *Store
	self        ownRecord
	memberNames map[string]bool // names of all members, including this process

	members       map[string]*member  // the other members, by name
	peers         []string            // names of the other members, in the order in which they are pinged
	memberDigests *digestTree         // digest tree of the states of all members, including this process
	stateCounts   [Unknown + 1]int    // number of other members in each state
	unhealthy     map[string]struct{} // names of members that are suspected, or dead and not reaped yet
	events        []MemberEvent       // see TakeEvents

	lastSeq    uint64 // sequence number of the newest request
	detector   failureDetector
	rumors     rumorQueue
	nextGossip time.Duration
	sync       syncState
	catchUp    catchUp
	outbox     []Envelope

	assumedDigests map[string]map[int]uint64 // with FaultPartialMerge: digests by kind and leaf that replace the actual ones

	Stats Stats
}

// New returns the node of a process that starts now. The node starts with the first incarnation. It switches to a larger incarnation
// when it receives state of an earlier start.
func New(now time.Duration, cfg Config) *Node {
	n := &Node{
		cfg:           cfg,
		rng:           newRand(cfg.Seed),
		startedAt:     now,
		self:          ownRecord{values: map[string][]byte{}},
		memberNames:   map[string]bool{},
		members:       map[string]*member{},
		memberDigests: &digestTree{},
		unhealthy:     map[string]struct{}{},
		detector:      failureDetector{indirectPings: map[uint64]*indirectPing{}},
		rumors:        newRumorQueue(),
		sync:          syncState{behind: true, inSyncAt: -1},
		catchUp:       catchUp{budget: cfg.CatchUpBudget, updatedAt: now, peers: map[string]time.Duration{}},
	}
	for _, name := range cfg.Members {
		n.memberNames[name] = true
		if name != cfg.Name {
			n.peers = append(n.peers, name)
			n.members[name] = &member{MemberState: MemberState{Name: name, State: Unknown}}
		}
	}
	slices.Sort(n.peers)
	n.shuffle(n.peers)
	n.stateCounts[Unknown] = len(n.peers)
	n.store = NewStore(cfg.Kinds, cfg.DecidedKinds, func(owner string) bool { return n.memberNames[owner] }, cfg.Fault)
	n.startIncarnation(now, 1)
	// The jitter desynchronizes processes that start at the same time.
	n.detector.nextPing = now + n.jitter(cfg.PingInterval)
	n.nextGossip = now + n.jitter(cfg.GossipInterval)
	n.sync.next = now + n.jitter(cfg.GossipInterval)
	return n
}

func newRand(seed uint64) *rand.Rand {
	const stream = 0x9e3779b97f4a7c15
	return rand.New(rand.NewPCG(seed, stream))
}

// jitter returns a random duration from 0 up to d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.rng.Float64() * float64(d))
}

// Store returns the replica of this process.
func (n *Node) Store() *Store { return n.store }

// NextTick returns the time at which Tick must be called next. After Leave it returns the maximum duration.
func (n *Node) NextTick() time.Duration {
	if n.self.left {
		return math.MaxInt64
	}
	at := min(n.nextDetection(), n.sync.next)
	if !n.rumors.isEmpty() { // without rumors, only pings and exchanges require a tick
		at = min(at, n.nextGossip)
	}
	if n.sync.peer != "" {
		at = min(at, n.sync.deadline)
	}
	if n.self.reincarnateAt > 0 {
		at = min(at, n.self.reincarnateAt)
	}
	return at
}

// Tick runs the actions that are due and returns the messages to send.
func (n *Node) Tick(now time.Duration) []Envelope {
	if n.self.left {
		return nil
	}
	if n.self.reincarnateAt > 0 && now >= n.self.reincarnateAt {
		n.reincarnate(now, n.self.conflictingIncarnation)
	}
	n.detectFailures(now)
	if now >= n.nextGossip {
		n.nextGossip = now + n.cfg.GossipInterval
		n.sendRumors()
	}
	n.tickSync(now)
	return n.takeOutbox()
}

// Receive processes a message from another member and returns the messages to send. A message from a process that is not a member, or
// that arrives after Leave, is dropped and counted.
func (n *Node) Receive(now time.Duration, from string, m *Message) []Envelope {
	peer := n.members[from]
	if peer == nil || n.self.left {
		n.store.Counts.Unknown++
		return nil
	}
	peer.load = m.Load
	for _, s := range m.Members {
		n.applyMemberState(now, s)
	}
	n.receiveOwnerStates(now, m.Owners)
	answer := &Message{Kind: SyncMessage, Seq: m.Seq}
	changed := n.receiveEntries(now, m, answer)
	switch m.Kind {
	case PingMessage:
		n.handlePing(now, from, m)
	case PingRequestMessage:
		n.handlePingRequest(now, from, m)
	case AckMessage:
		n.handleAck(from, m)
	case NackMessage:
		n.handleNack(m)
	case SyncMessage:
		n.handleSync(now, from, m, answer, changed)
	}
	if m.Kind != SyncMessage && len(answer.Owners) > 0 {
		n.send(from, answer)
	}
	return n.takeOutbox()
}

// receiveOwnerStates applies received owner states. If other members have reaped this process's incarnation, this process starts a new
// one.
func (n *Node) receiveOwnerStates(now time.Duration, states []OwnerState) {
	for _, s := range states {
		if s.Name == n.cfg.Name && s.Reaped >= n.self.incarnation {
			n.reincarnate(now, s.Reaped)
		} else if n.store.ApplyOwnerState(s) {
			n.rumors.add(rumorKey{owner: s.Name})
		}
	}
}

// receiveEntries merges the entries of m and reports whether any of them changed the replica. It adds the owner states of outdated
// entries to answer.
func (n *Node) receiveEntries(now time.Duration, m, answer *Message) (changed bool) {
	entries := m.Entries
	if n.cfg.Fault == FaultPartialMerge && m.Kind == SyncMessage {
		entries = entries[:len(entries)/2]
	}
	for _, e := range entries {
		if e.Owner == n.cfg.Name {
			if e.Compare(Version{n.self.incarnation, n.self.sequence}) > 0 { // written by an earlier start or by another process with the same name
				n.reincarnate(now, e.Incarnation)
			}
			continue
		}
		if n.store.Merge(e) {
			changed = true
			n.rumors.add(rumorKey{owner: e.Owner, key: e.Key})
		} else if incarnation, reaped := n.store.Incarnation(e.Owner); e.Incarnation < incarnation || e.Incarnation <= reaped {
			answer.Owners = appendOwnerState(answer.Owners, OwnerState{e.Owner, incarnation, reaped})
		}
	}
	return changed
}

// applyOwnerState applies an owner state. A reaped incarnation is spread as a rumor. A new incarnation alone is not, because other
// members learn it from the owner's entries.
func (n *Node) applyOwnerState(s OwnerState) {
	if n.store.ApplyOwnerState(s) && s.Reaped > 0 {
		n.rumors.add(rumorKey{owner: s.Name})
	}
}

func (n *Node) send(to string, m *Message) { n.outbox = append(n.outbox, Envelope{to, m}) }

func (n *Node) takeOutbox() []Envelope {
	outbox := n.outbox
	n.outbox = nil
	return outbox
}
