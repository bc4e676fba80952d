package gossip

import (
	"math"
	"slices"
)

const (
	// maxRumorBytes is the approximate maximum size of a message with rumors.
	maxRumorBytes = 1200
	// maxRumors is the maximum number of queued rumors. Updates beyond it spread by anti-entropy only.
	maxRumors = 1024
	// retransmitMultiplier times logFleetSize is the number of times that a rumor is sent.
	retransmitMultiplier = 3
	// recordOverhead is the approximate size of the numbers of a state or an entry in a message, in bytes.
	recordOverhead = 12
)

// rumorKey identifies the subject of a rumor: the state of a member, an entry (owner and key), or an owner state (owner without key).
type rumorKey struct {
	member string
	owner  string
	key    string
}

// rumor is a queued update. A message carries the state at the time of sending.
type rumor struct {
	key           rumorKey
	transmissions int
	superseded    bool // replaced by a newer rumor with the same key
}

// rumorQueue holds the rumors to be sent, ordered by the number of transmissions so far, fewest first.
type rumorQueue struct {
	byKey           map[rumorKey]*rumor
	byTransmissions [][]*rumor // queues by number of transmissions
	superseded      int        // number of superseded rumors in the queues
}

func newRumorQueue() rumorQueue { return rumorQueue{byKey: map[rumorKey]*rumor{}} }

func (q *rumorQueue) isEmpty() bool { return len(q.byKey) == 0 }

// add queues a rumor. It replaces a queued rumor with the same key, whose transmissions no longer count. If the queue is full, a
// rumor with a new key is dropped.
func (q *rumorQueue) add(key rumorKey) {
	if queued := q.byKey[key]; queued != nil {
		queued.superseded = true
		q.superseded++
	} else if len(q.byKey) >= maxRumors {
		return
	}
	r := &rumor{key: key}
	q.byKey[key] = r
	q.enqueue(r)
	if q.superseded > maxRumors { // nothing is sent while no other member is reachable
		q.removeSuperseded()
	}
}

// removeSuperseded removes the superseded rumors from the queues.
func (q *rumorQueue) removeSuperseded() {
	for i, queue := range q.byTransmissions {
		q.byTransmissions[i] = slices.DeleteFunc(queue, func(r *rumor) bool { return r.superseded })
	}
	q.superseded = 0
}

func (q *rumorQueue) enqueue(r *rumor) {
	for len(q.byTransmissions) <= r.transmissions {
		q.byTransmissions = append(q.byTransmissions, nil)
	}
	q.byTransmissions[r.transmissions] = append(q.byTransmissions[r.transmissions], r)
}

// send passes rumors to write, which returns the size of each, until the message is full. A rumor is removed after maxTransmissions.
func (q *rumorQueue) send(maxTransmissions int, write func(rumorKey) (size int)) {
	size := 0
	var sent []*rumor
	for i, queue := range q.byTransmissions {
		for len(queue) > 0 && size <= maxRumorBytes {
			r := queue[0]
			queue = queue[1:]
			if r.superseded {
				q.superseded--
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

// sendRumors sends one message with the least transmitted rumors to a few random members.
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

// appendRumor adds the current state of a rumor's subject to a message, and returns its approximate size in bytes.
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
