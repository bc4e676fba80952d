package gossip

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"sorrelrudder/internal/virtualtime"
)

const ms = time.Millisecond

// names returns the names of the first n members: a, b, ...
func names(n int) []string {
	var all []string
	for i := range n {
		all = append(all, string(rune('a'+i%26))+strconv.Itoa(i/26))
	}
	for i := range min(n, 26) {
		all[i] = string(rune('a' + i))
	}
	return all
}

// config returns the configuration of a member of a fleet of the given size.
func config(name string, size int, seed uint64) Config {
	c := DefaultConfig()
	c.Name, c.Members, c.Kinds, c.DecidedKinds, c.Seed = name, names(size), kinds, decidedKinds, seed
	c.DeadRetention = 10 * time.Second
	return c
}

// network delivers messages between nodes in virtual time.
type network struct {
	virtualtime.Scheduler
	t     *testing.T
	rng   *rand.Rand
	nodes map[string]*Node // running processes, by name
	size  int
	// cut reports whether the link from one member to another is cut, so that its messages are lost; nil if no link is.
	cut       func(from, to string) bool
	maxDelay  time.Duration           // maximum additional delay of a message
	duplicate bool                    // deliver each message twice
	bytes     map[string]int          // number of bytes sent to each member
	nextTicks map[*Node]time.Duration // scheduled time of the next tick
	// twin is a second process with the name twinOf, which also receives the messages to that name; nil if there is none.
	twin   *Node
	twinOf string
}

// newNetwork starts a fleet and returns when all members consider each other alive.
func newNetwork(t *testing.T, size int) *network {
	w := &network{t: t, rng: rand.New(rand.NewPCG(5, 5)), nodes: map[string]*Node{}, size: size, bytes: map[string]int{}, nextTicks: map[*Node]time.Duration{}}
	for _, name := range names(size) {
		w.start(name)
	}
	w.until("all members are alive to all", 20*time.Second, func() bool {
		for _, n := range w.nodes {
			if n.Count(Alive) != size-1 {
				return false
			}
		}
		return true
	})
	return w
}

// start starts a process with an empty store. It replaces a running process with the same name.
func (w *network) start(name string) *Node {
	n := New(w.Now(), config(name, w.size, w.rng.Uint64()))
	w.nodes[name] = n
	w.scheduleTick(name, n)
	return n
}

// scheduleTick schedules the next tick of a node, unless an earlier one is already scheduled.
func (w *network) scheduleTick(name string, n *Node) {
	next := n.NextTick()
	if at, scheduled := w.nextTicks[n]; scheduled && at <= next {
		return
	}
	w.nextTicks[n] = next
	w.After(max(ms, next-w.Now()), func() {
		if w.nodes[name] == n && w.nextTicks[n] == next {
			delete(w.nextTicks, n)
			w.send(name, n.Tick(w.Now()))
			w.scheduleTick(name, n)
		}
	})
}

// send encodes messages and schedules their delivery.
func (w *network) send(from string, out []Envelope) {
	for _, o := range out {
		m, err := Decode(o.Message.Encode())
		if err != nil {
			w.t.Fatal(err)
		}
		if w.cut != nil && w.cut(from, o.To) {
			continue
		}
		w.bytes[o.To] += len(o.Message.Encode())
		deliveries := 1
		if w.duplicate {
			deliveries = 2
		}
		for range deliveries {
			d := ms + time.Duration(w.rng.Int64N(int64(w.maxDelay+ms)))
			w.After(d, func() {
				if to := w.nodes[o.To]; to != nil {
					w.send(o.To, to.Receive(w.Now(), from, m))
					w.scheduleTick(o.To, to)
				}
				if o.To == w.twinOf {
					w.send(o.To, w.twin.Receive(w.Now(), from, m))
				}
			})
		}
	}
}

// run runs the events of a period of virtual time.
func (w *network) run(d time.Duration) {
	w.RunUntil(w.Now() + d)
}

// until runs until a condition is true, and returns the virtual time that this took. It fails the test after the timeout.
func (w *network) until(condition string, timeout time.Duration, isTrue func() bool) time.Duration {
	w.t.Helper()
	startedAt := w.Now()
	for !isTrue() {
		if w.Now() > startedAt+timeout {
			w.t.Fatalf("condition not true after %v: %s", timeout, condition)
		}
		w.run(20 * ms)
	}
	return w.Now() - startedAt
}

// equal reports whether all replicas have equal digests.
func (w *network) equal() bool {
	first := w.nodes["a"]
	for _, n := range w.nodes {
		for _, kind := range n.store.kinds {
			if n.store.Digest(kind) != first.store.Digest(kind) {
				return false
			}
		}
	}
	return true
}

// holds reports whether the replica of a member has an entry that is not deleted.
func (w *network) holds(at, owner, key string) bool {
	e, ok := w.nodes[at].store.Get(owner, key)
	return ok && !e.Deleted()
}
