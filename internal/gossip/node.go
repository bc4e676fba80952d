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
	Name    string
	Members []string      // all, this one included
	Kinds   []string      // that members write
	Decided []string      // that the council does
	Gossip  time.Duration // between two rounds of telling what is new
	Fanout  int           // how many are told in a round
	Probe   time.Duration // in which one member is asked whether it is there
	Sync    time.Duration // between two looks whether one's copies differ from another's
	Keep    time.Duration // what a member wrote counts for so long after its death
	Budget  float64       // bytes a second that go to those that catch up
	Seed    uint64
	Plant   Plant
}

// Usual are times that suit a fleet within one region.
func Usual() Config {
	return Config{
		Gossip: 100 * time.Millisecond, Fanout: 3, Probe: 500 * time.Millisecond, Sync: 2 * time.Second, Keep: 30 * time.Second, Budget: 1 << 20,
	}
}

// Out is a message and to whom it goes.
type Out struct {
	To      string
	Message *Message
}

// Event is a change of what is held of a member.
type Event struct {
	Name     string
	From, To State
}

// Figures count what a node has done.
type Figures struct {
	Suspicions int `json:"Suspicions"` // found here
	Objections int `json:"Objections"` // of this process
	Deaths     int `json:"Deaths"`     // held to be dead here
	Syncs      int `json:"Syncs"`      // looks at another's copies
	Equal      int `json:"Equal"`      // of them those that found no difference
	Helped     int `json:"Helped"`     // bytes of entries that went to those that catch up
	Turned     int `json:"Turned"`     // asks of those that catch up that were turned away for want of room
}

const (
	// rumourBytes is about how long a message with what is new may become, answerBytes one to somebody who catches up.
	rumourBytes = 1200
	answerBytes = 24 << 10
	// syncTime is how long an answer to a look is waited for, in rounds of gossip.
	syncTime = 4
	// mostRumours bounds what waits to be told.
	mostRumours = 1024
	mostTold    = 64 // leaves of which heads are told in one message
	// incBits is how much of an incarnation is drawn, so that two processes of one name differ in it.
	incBits = 16
	// renewPause is the least time between two incarnations that a process begins because it has heard of a newer one: two processes of one
	// name must not fill the network with their quarrel.
	renewPause = time.Second
)

type rumourKey struct {
	member string // either a member
	owner  string // or an owner's state, where key is empty, or an entry
	key    string
}

type rumour struct {
	key  rumourKey
	sent int
	over bool // another of the same key has taken its place
}

// Node is one process' part.
type Node struct {
	cfg     Config
	rng     *rand.Rand
	copies  *Copies
	names   map[string]bool
	order   []string // the others, in the order in which they are asked
	at      int
	turns   int
	members map[string]*member
	table   *sums // of what is held of members, this one included
	counts  [Unheard + 1]int
	watched map[string]struct{} // suspected or dead, and not given up yet

	inc              uint64 // this process' incarnation
	life             uint32
	seq              uint64
	mine             map[string][]byte // what it has written, nil: taken back
	left             bool
	health           int
	renewAt, renewed time.Duration
	heardInc         uint64
	tableMe          uint64                    // of this process in the table
	assumed          map[string]map[int]uint64 // only with a mistake planted: sums that are told in place of true ones

	asking                                     *probing
	relays                                     map[uint64]*relay
	lastSeq                                    uint64
	nextProbe, nextGossip, nextSync, nextJudge time.Duration

	rumours   map[rumourKey]*rumour
	queues    [][]*rumour // by how often they were sent
	syncSeq   uint64
	syncTo    string
	syncEnd   time.Duration
	lookedAt  time.Duration // when the newest look was begun
	syncFirst bool          // no answer has come yet
	behind    bool          // the newest look has found a difference, or none has been answered since the start
	step      time.Duration // when the copies were last seen to equal another's
	began     time.Duration
	helped    time.Duration // of the budget
	budget    float64
	helping   map[string]time.Duration

	out     []Out
	events  []Event
	Figures Figures
}

// New returns the part of a process that starts now. It takes the first incarnation, and the next as soon as it hears of an earlier one of its own.
func New(now time.Duration, cfg Config) *Node {
	n := &Node{
		cfg: cfg, rng: newRand(cfg.Seed), names: map[string]bool{}, members: map[string]*member{}, table: &sums{}, watched: map[string]struct{}{},
		mine: map[string][]byte{}, relays: map[uint64]*relay{}, rumours: map[rumourKey]*rumour{}, helping: map[string]time.Duration{},
		step: -1, behind: true, began: now, helped: now, budget: cfg.Budget,
	}
	for _, name := range cfg.Members {
		n.names[name] = true
		if name != cfg.Name {
			n.order = append(n.order, name)
			n.members[name] = &member{MemberState: MemberState{Name: name, State: Unheard}}
		}
	}
	slices.Sort(n.order)
	n.rng.Shuffle(len(n.order), func(i, j int) { n.order[i], n.order[j] = n.order[j], n.order[i] })
	n.counts[Unheard] = len(n.order)
	n.copies = NewCopies(cfg.Kinds, cfg.Decided, func(owner string) bool { return n.names[owner] }, cfg.Plant)
	n.begin(now, 1)
	// Processes that start at one moment do not all act at one.
	n.nextProbe, n.nextGossip = now+n.jitter(cfg.Probe), now+n.jitter(cfg.Gossip)
	n.nextSync = now + n.jitter(cfg.Gossip)
	return n
}

func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.rng.Float64() * float64(d))
}

// begin begins an incarnation: all that the process has written is written anew, and what it had taken back is forgotten with the older one.
func (n *Node) begin(now time.Duration, number uint64) {
	n.inc = number<<incBits | n.rng.Uint64()&(1<<incBits-1)
	n.life, n.renewed = 0, now
	n.copies.Learn(OwnerState{Name: n.cfg.Name, Inc: n.inc})
	n.rumour(rumourKey{member: n.cfg.Name})
	for _, key := range slices.Sorted(maps.Keys(n.mine)) {
		if n.mine[key] == nil {
			delete(n.mine, key)
			continue
		}
		n.write(key, n.mine[key])
	}
	n.tableSelf()
}

// tableSelf keeps this process in the table that is compared with others'.
func (n *Node) tableSelf() {
	if n.tableMe != 0 {
		n.table.remove(n.cfg.Name, "", n.tableMe)
	}
	n.tableMe = n.me().sum()
	n.table.add(n.cfg.Name, "", n.tableMe)
}

// renew has the process write all anew above an incarnation of its name that it has heard of.
func (n *Node) renew(now time.Duration, heard uint64) {
	n.heardInc = max(n.heardInc, heard)
	if n.renewAt == 0 {
		n.renewAt = max(now, n.renewed+renewPause)
		if n.renewed == n.began { // the first time at once: it is an earlier start's
			n.renewAt = now
		}
	}
	if now >= n.renewAt {
		n.renewAt = 0
		n.begin(now, n.heardInc>>incBits+1)
	}
}

// Restore takes over what an earlier start of this process has kept: entries of others, and its own incarnation, above which it goes on.
func (n *Node) Restore(now time.Duration, m *Message) {
	for _, o := range m.Owners {
		if o.Name == n.cfg.Name && o.Inc >= n.inc {
			n.begin(now, o.Inc>>incBits+1)
		}
	}
	for _, e := range m.Entries {
		if e.Owner != n.cfg.Name {
			n.copies.Merge(e)
		}
	}
	n.copies.Changed() // old: it is no news
}

// Put writes a value under a key of a kind that members write. It reports whether there is room.
func (n *Node) Put(key string, value []byte) bool {
	if len(value) > MostValue || len(key) > MostKeyLen || n.left {
		return false
	}
	if n.mine[key] == nil && len(n.mine) >= MostKeys-1 {
		live := 0
		for _, v := range n.mine {
			if v != nil {
				live++
			}
		}
		if live >= MostKeys/2 {
			return false
		}
		n.begin(n.renewed, n.inc>>incBits+1) // forgets what was taken back
	}
	if was, had := n.mine[key]; had && was != nil && string(was) == string(value) {
		return true
	}
	n.mine[key] = append([]byte{}, value...)
	n.write(key, n.mine[key])
	return true
}

// Delete takes back what the process has written under a key.
func (n *Node) Delete(key string) {
	if n.mine[key] != nil {
		n.mine[key] = nil
		n.write(key, nil)
	}
}

func (n *Node) write(key string, value []byte) {
	n.seq++
	e := Entry{Owner: n.cfg.Name, Key: key, Version: Version{n.inc, n.seq}, Contents: [][]byte{contentOf(value)}}
	if n.copies.Merge(e) {
		n.rumour(rumourKey{owner: e.Owner, key: key})
	}
}

// Decide takes what the council has decided, from the log or from another's word: number grows with each decision. value nil: taken back.
func (n *Node) Decide(key string, number uint64, value []byte) {
	if n.copies.Merge(DecidedEntry(max(1, n.copies.council), key, number, value)) {
		n.rumour(rumourKey{owner: Council, key: key})
	}
}

// DecidedEntry is the copy of a decision of the council that tag stands for.
func DecidedEntry(tag uint64, key string, number uint64, value []byte) Entry {
	return Entry{Owner: Council, Key: key, Version: Version{tag, number}, Contents: [][]byte{contentOf(value)}}
}

// contentOf is a value as entries have it; nil: taken back.
func contentOf(value []byte) []byte {
	if value == nil {
		return []byte{absent}
	}
	return append([]byte{present}, value...)
}

// Leave tells that the process ends: what it wrote is taken back with it.
func (n *Node) Leave(now time.Duration) []Out {
	n.left = true
	n.tableSelf()
	n.rumour(rumourKey{member: n.cfg.Name})
	n.nextGossip = now
	n.gossip(now)
	return n.taken()
}

// Copies are those that the process has.
func (n *Node) Copies() *Copies { return n.copies }

// Inc is the process' incarnation.
func (n *Node) Inc() uint64 { return n.inc }

// Member is what is held of one.
func (n *Node) Member(name string) MemberState {
	if name == n.cfg.Name {
		return n.me()
	}
	if m := n.members[name]; m != nil {
		return m.MemberState
	}
	return MemberState{Name: name, State: Unheard}
}

// Count is how many members are in a state, as far as is known here.
func (n *Node) Count(s State) int { return n.counts[s] }

// Health is how much the process' own troubles lengthen its times: 0, not at all, to 8.
func (n *Node) Health() int { return n.health }

// Events returns the changes of members since it was last called.
func (n *Node) Events() []Event {
	all := n.events
	n.events = nil
	return all
}

// Caught reports whether the copies were seen to equal another's since the start, and how long ago the last time.
func (n *Node) Caught(now time.Duration) (ago time.Duration, ok bool) {
	if n.step < 0 {
		return now - n.began, false
	}
	return now - n.step, true
}

// rumour has something be told to others. With too much that is new the looks at each other's copies have to do.
func (n *Node) rumour(k rumourKey) {
	if was := n.rumours[k]; was != nil {
		was.over = true
	} else if len(n.rumours) >= mostRumours {
		return
	}
	r := &rumour{key: k}
	n.rumours[k] = r
	n.queue(r)
}

func (n *Node) queue(r *rumour) {
	for len(n.queues) <= r.sent {
		n.queues = append(n.queues, nil)
	}
	n.queues[r.sent] = append(n.queues[r.sent], r)
}

func (n *Node) learn(s OwnerState) {
	if n.copies.Learn(s) && s.Gone > 0 {
		n.rumour(rumourKey{owner: s.Name})
	}
}

func (n *Node) send(to string, m *Message) { n.out = append(n.out, Out{to, m}) }

func (n *Node) taken() []Out {
	out := n.out
	n.out = nil
	return out
}

// Next is when Tick has something to do at the latest.
func (n *Node) Next() time.Duration {
	if n.left {
		return math.MaxInt64
	}
	at := min(n.nextProbe, n.nextSync)
	if len(n.rumours) > 0 { // with nothing new nobody is woken: a process at rest is woken by its probes alone
		at = min(at, n.nextGossip)
	}
	if len(n.watched) > 0 {
		at = min(at, n.nextJudge)
	}
	for _, r := range n.relays {
		at = min(at, r.until)
	}
	if n.syncTo != "" {
		at = min(at, n.syncEnd)
	}
	if p := n.asking; p != nil {
		if !p.asked && !p.answered {
			at = min(at, p.indirect)
		}
		at = min(at, p.end)
	}
	if n.renewAt > 0 {
		at = min(at, n.renewAt)
	}
	return at
}

// Tick does what is due.
func (n *Node) Tick(now time.Duration) []Out {
	if n.left {
		return nil
	}
	if n.renewAt > 0 && now >= n.renewAt {
		n.renew(now, n.heardInc)
	}
	n.watchOver(now)
	if now >= n.nextGossip {
		n.nextGossip = now + n.cfg.Gossip
		n.gossip(now)
	}
	if n.syncTo != "" && now >= n.syncEnd {
		n.syncTo = ""
		if n.behind { // what has come counts; the rest is asked of another at once
			// But no more than once a round: copies may differ for as long as one has not heard what the other has.
			n.nextSync = max(now, n.lookedAt+n.cfg.Gossip+n.jitter(n.cfg.Gossip/2))
		}
	}
	if now >= n.nextSync {
		n.nextSync = now + n.cfg.Sync/2 + n.jitter(n.cfg.Sync)
		n.look(now)
	}
	return n.taken()
}

// gossip tells some others what is new, that first which has been told least.
func (n *Node) gossip(now time.Duration) {
	if len(n.rumours) == 0 {
		return
	}
	most := int(math.Ceil(rumourTimes * n.logSize()))
	to := n.some(n.cfg.Fanout, func(m *member) bool { return m.State == Alive || m.State == Suspect })
	if len(to) == 0 {
		return
	}
	m := &Message{Kind: Gossip}
	size := 0
	var told []*rumour
	for i := range n.queues {
		q := n.queues[i]
		for len(q) > 0 && size <= rumourBytes {
			r := q[0]
			q = q[1:]
			if r.over {
				continue
			}
			size += n.tell(m, r.key)
			told = append(told, r)
		}
		n.queues[i] = q
	}
	for _, r := range told {
		if r.sent++; r.sent >= most {
			delete(n.rumours, r.key)
		} else {
			n.queue(r)
		}
	}
	for _, name := range to {
		n.send(name, m)
	}
}

// tell adds to a message what a rumour is about, as it is now, and returns about how many bytes that has.
func (n *Node) tell(m *Message, k rumourKey) int {
	switch {
	case k.member != "":
		s := n.Member(k.member)
		if s.State > Left {
			return 0
		}
		m.Members = append(m.Members, s)
		return 12 + len(s.Name) + len(s.By)
	case k.key == "":
		inc, gone := n.copies.Inc(k.owner)
		m.Owners = append(m.Owners, OwnerState{k.owner, inc, gone})
		return 12 + len(k.owner)
	}
	e, ok := n.copies.Get(k.owner, k.key)
	if !ok {
		return 0
	}
	m.Entries = append(m.Entries, e)
	return e.size()
}

func (e *Entry) size() int {
	size := 12 + len(e.Owner) + len(e.Key)
	for _, c := range e.Contents {
		size += len(c)
	}
	return size
}

// Take takes a message of another process.
func (n *Node) Take(now time.Duration, from string, m *Message) []Out {
	peer := n.members[from]
	if peer == nil || n.left {
		n.copies.Counts.Unknown++
		return nil
	}
	peer.load = m.Load
	answer := &Message{Kind: Sync, Seq: m.Seq}
	for _, s := range m.Members {
		n.told(now, s)
	}
	for _, s := range m.Owners {
		if s.Name == n.cfg.Name && s.Gone >= n.inc {
			n.renew(now, s.Gone) // others have given this incarnation up
		} else if n.copies.Learn(s) {
			n.rumour(rumourKey{owner: s.Name})
		}
	}
	entries := m.Entries
	if n.cfg.Plant == HalfPiece && m.Kind == Sync {
		entries = entries[:len(entries)/2]
	}
	fresh := false
	for _, e := range entries {
		if e.Owner == n.cfg.Name {
			if e.Inc > n.inc || e.Inc == n.inc && e.Seq > n.seq {
				n.renew(now, e.Inc)
			}
			continue
		}
		if n.copies.Merge(e) {
			fresh = true
			n.rumour(rumourKey{owner: e.Owner, key: e.Key})
		} else if inc, gone := n.copies.Inc(e.Owner); e.Inc < inc || e.Inc <= gone {
			answer.Owners = appendOwner(answer.Owners, OwnerState{e.Owner, inc, gone})
		}
	}
	switch m.Kind {
	case Ping:
		n.send(from, &Message{Kind: Ack, Seq: m.Seq, Load: n.load(now), Members: n.about(from)})
	case PingReq:
		if n.members[m.Target] != nil && len(n.relays) < 4*len(n.names) {
			n.lastSeq++
			n.relays[n.lastSeq] = &relay{for_: from, target: m.Target, seq: m.Seq, until: now + n.scale(n.cfg.Probe)/2}
			n.send(m.Target, &Message{Kind: Ping, Seq: n.lastSeq, Members: n.about(m.Target)})
		}
	case Ack:
		if p := n.asking; p != nil && p.seq == m.Seq {
			p.answered = true
		} else if r := n.relays[m.Seq]; r != nil && r.target == from {
			delete(n.relays, m.Seq)
			n.send(r.for_, &Message{Kind: Ack, Seq: r.seq, Members: []MemberState{n.members[from].MemberState}})
		}
	case Nack:
		if p := n.asking; p != nil && p.seq == m.Seq {
			p.nacks--
		}
	case Sync:
		n.compare(now, from, m, answer, fresh)
	}
	if m.Kind != Sync && len(answer.Owners) > 0 {
		n.send(from, answer)
	}
	return n.taken()
}

func appendOwner(all []OwnerState, s OwnerState) []OwnerState {
	if len(all) >= mostOwners || slices.Contains(all, s) {
		return all
	}
	return append(all, s)
}
