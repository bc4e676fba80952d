package gossip

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Node is one process' part in the protocol. The caller passes in messages (Receive) and time (Tick, no later than NextTick),
// and sends the messages that come out. It is not safe for concurrent use.
type Node struct {
	cfg         Config
	rng         *rand.Rand
	startedAt   time.Duration
	store       *Store
	self        ownRecord
	memberNames map[string]bool // of all members, this process included

	members       map[string]*member  // the others
	peers         []string            // their names, in the order in which they are pinged
	memberDigests *digestTree         // of the states of all members, this process included
	stateCounts   [Unknown + 1]int    // others in each state
	unhealthy     map[string]struct{} // members that are suspected, or dead and not reaped yet
	events        []MemberEvent       // see TakeEvents

	lastSeq    uint64 // number of the newest request
	detector   failureDetector
	rumors     rumorQueue
	nextGossip time.Duration
	sync       syncState
	catchUp    catchUp
	outbox     []Envelope

	assumedDigests map[string]map[int]uint64 // with FaultPartialMerge: digests of leaves, by kind, that replace the true ones

	Stats Stats
}

// New returns the part of a process that starts now. It takes the first incarnation, and a later one as soon as it hears of one
// of an earlier start.
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
	// Processes that start at the same moment do not all act at the same moment.
	n.detector.nextPing = now + n.jitter(cfg.PingInterval)
	n.nextGossip = now + n.jitter(cfg.GossipInterval)
	n.sync.next = now + n.jitter(cfg.GossipInterval)
	return n
}

func newRand(seed uint64) *rand.Rand {
	const stream = 0x9e3779b97f4a7c15
	return rand.New(rand.NewPCG(seed, stream))
}

// jitter is a random part of a time.
func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.rng.Float64() * float64(d))
}

// Store is the process' replica.
func (n *Node) Store() *Store { return n.store }

// NextTick is when Tick has something to do at the latest.
func (n *Node) NextTick() time.Duration {
	if n.self.left {
		return math.MaxInt64
	}
	at := min(n.nextDetection(), n.sync.next)
	if !n.rumors.isEmpty() { // without news a process is woken by its pings and exchanges alone
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

// Tick does what is due, and returns the messages to send.
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

// Receive takes in a message of another member, and returns the messages to send. One of a process that is no member is dropped
// and counted.
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
	news := n.receiveEntries(now, m, answer)
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
		n.handleSync(now, from, m, answer, news)
	}
	if m.Kind != SyncMessage && len(answer.Owners) > 0 {
		n.send(from, answer)
	}
	return n.takeOutbox()
}

// receiveOwnerStates takes in owners' states. If others have reaped this process' own incarnation it begins another.
func (n *Node) receiveOwnerStates(now time.Duration, states []OwnerState) {
	for _, s := range states {
		if s.Name == n.cfg.Name && s.Reaped >= n.self.incarnation {
			n.reincarnate(now, s.Reaped)
		} else if n.store.ApplyOwnerState(s) {
			n.rumors.add(rumorKey{owner: s.Name})
		}
	}
}

// receiveEntries merges entries, and reports whether any was news. answer gets the states of owners whose entries are outdated.
func (n *Node) receiveEntries(now time.Duration, m, answer *Message) (news bool) {
	entries := m.Entries
	if n.cfg.Fault == FaultPartialMerge && m.Kind == SyncMessage {
		entries = entries[:len(entries)/2]
	}
	for _, e := range entries {
		if e.Owner == n.cfg.Name {
			if e.Compare(Version{n.self.incarnation, n.self.sequence}) > 0 { // written by an earlier start, or by another process
				n.reincarnate(now, e.Incarnation)
			}
			continue
		}
		if n.store.Merge(e) {
			news = true
			n.rumors.add(rumorKey{owner: e.Owner, key: e.Key})
		} else if incarnation, reaped := n.store.Incarnation(e.Owner); e.Incarnation < incarnation || e.Incarnation <= reaped {
			answer.Owners = appendOwnerState(answer.Owners, OwnerState{e.Owner, incarnation, reaped})
		}
	}
	return news
}

// applyOwnerState takes over an owner's state. That its entries were reaped is news for others, too; its incarnation they learn
// with its entries.
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
