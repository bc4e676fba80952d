package gossip

import "math"

const (
	// maxRumorBytes is about how long a message with rumors may get.
	maxRumorBytes = 1200
	// maxRumors bounds the rumors that wait; with more news anti-entropy has to do.
	maxRumors = 1024
	// retransmitMultiplier times logFleetSize is how often a rumor is sent.
	retransmitMultiplier = 3
	// recordOverhead is about how many bytes the numbers of a state or an entry take in a message.
	recordOverhead = 12
)

// rumorKey names what a rumor is about: a member, or an owner's state if there is no key, or an entry.
type rumorKey struct {
	member string
	owner  string
	key    string
}

// rumor is news that waits to be sent; what is sent is the state at that time.
type rumor struct {
	key           rumorKey
	transmissions int
	superseded    bool // by another rumor with the same key
}

// rumorQueue holds the rumors that wait, those with the fewest transmissions first.
type rumorQueue struct {
	byKey           map[rumorKey]*rumor
	byTransmissions [][]*rumor // by how often they were sent
}

func newRumorQueue() rumorQueue { return rumorQueue{byKey: map[rumorKey]*rumor{}} }

func (q *rumorQueue) isEmpty() bool { return len(q.byKey) == 0 }

// add queues a rumor, in place of one with the same key if there is one.
func (q *rumorQueue) add(key rumorKey) {
	if waiting := q.byKey[key]; waiting != nil {
		waiting.superseded = true
	} else if len(q.byKey) >= maxRumors {
		return
	}
	r := &rumor{key: key}
	q.byKey[key] = r
	q.enqueue(r)
}

func (q *rumorQueue) enqueue(r *rumor) {
	for len(q.byTransmissions) <= r.transmissions {
		q.byTransmissions = append(q.byTransmissions, nil)
	}
	q.byTransmissions[r.transmissions] = append(q.byTransmissions[r.transmissions], r)
}

// send passes rumors to write, which returns their size, until the message is full; a rumor is dropped after so many
// transmissions.
func (q *rumorQueue) send(maxTransmissions int, write func(rumorKey) (size int)) {
	size := 0
	var sent []*rumor
	for i, queue := range q.byTransmissions {
		for len(queue) > 0 && size <= maxRumorBytes {
			r := queue[0]
			queue = queue[1:]
			if r.superseded {
				continue
			}
			size += write(r.key)
			sent = append(sent, r)
		}
		q.byTransmissions[i] = queue
	}
	for _, r := range sent {
		r.transmissions++
		if r.transmissions >= maxTransmissions {
			delete(q.byKey, r.key)
		} else {
			q.enqueue(r)
		}
	}
}

// sendRumors sends one message with the freshest rumors to a few random members.
func (n *Node) sendRumors() {
	if n.rumors.isEmpty() {
		return
	}
	recipients := n.randomMembers(n.cfg.Fanout, func(m *member) bool { return m.State == Alive || m.State == Suspect })
	if len(recipients) == 0 {
		return
	}
	m := &Message{Kind: RumorMessage}
	maxTransmissions := int(math.Ceil(retransmitMultiplier * n.logFleetSize()))
	n.rumors.send(maxTransmissions, func(key rumorKey) int { return n.appendRumor(m, key) })
	for _, name := range recipients {
		n.send(name, m)
	}
}

// appendRumor adds what a rumor is about, as it is now, to a message, and returns about how many bytes it takes.
func (n *Node) appendRumor(m *Message, key rumorKey) int {
	switch {
	case key.member != "":
		s := n.Member(key.member)
		if s.State > Left {
			return 0
		}
		m.Members = append(m.Members, s)
		return s.size()
	case key.key == "":
		incarnation, reaped := n.store.Incarnation(key.owner)
		m.Owners = append(m.Owners, OwnerState{key.owner, incarnation, reaped})
		return recordOverhead + len(key.owner)
	}
	e, ok := n.store.Get(key.owner, key.key)
	if !ok {
		return 0
	}
	m.Entries = append(m.Entries, e)
	return e.size()
}
