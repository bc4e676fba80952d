package gossip

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

const ms = time.Millisecond

// names are those of the first n members: a, b, ...
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

func config(name string, size int, seed uint64) Config {
	c := DefaultConfig()
	c.Name, c.Members, c.Kinds, c.DecidedKinds, c.Seed = name, names(size), kinds, decided, seed
	c.DeadRetention = 10 * time.Second
	return c
}

// network carries messages between nodes in virtual time.
type network struct {
	t     *testing.T
	now   time.Duration
	queue pending
	seq   int
	rng   *rand.Rand
	up    map[string]*Node
	size  int
	cut   func(from, to string) bool
	late  time.Duration // messages are delayed by up to so much
	twice bool
	bytes map[string]int          // that went to somebody
	armed map[*Node]time.Duration // when they tick next
	// twin is another process with the name twinOf, and receives its messages, too; nil: none.
	twin   *Node
	twinOf string
}

type item struct {
	at  time.Duration
	seq int
	do  func()
}

type pending []item

func (p pending) Len() int { return len(p) }

func (p pending) Less(i, j int) bool {
	return p[i].at < p[j].at || p[i].at == p[j].at && p[i].seq < p[j].seq
}

func (p pending) Swap(i, j int) { p[i], p[j] = p[j], p[i] }

func (p *pending) Push(x any) { *p = append(*p, x.(item)) }

func (p *pending) Pop() any {
	last := len(*p) - 1
	x := (*p)[last]
	*p = (*p)[:last]
	return x
}

func newNetwork(t *testing.T, size int) *network {
	w := &network{t: t, rng: rand.New(rand.NewPCG(5, 5)), up: map[string]*Node{}, size: size, bytes: map[string]int{}, armed: map[*Node]time.Duration{}}
	for _, name := range names(size) {
		w.start(name)
	}
	w.until("all members are alive to all", 20*time.Second, func() bool {
		for _, n := range w.up {
			if n.Count(Alive) != size-1 {
				return false
			}
		}
		return true
	})
	return w
}

func (w *network) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, item{w.now + d, w.seq, do})
}

// start starts a process with an empty store; a former one with the name is gone.
func (w *network) start(name string) *Node {
	n := New(w.now, config(name, w.size, w.rng.Uint64()))
	w.up[name] = n
	w.arm(name, n)
	return n
}

// arm has a process tick when it wants to, unless it does so sooner already.
func (w *network) arm(name string, n *Node) {
	next := n.NextTick()
	if at, is := w.armed[n]; is && at <= next {
		return
	}
	w.armed[n] = next
	w.after(max(ms, next-w.now), func() {
		if w.up[name] == n && w.armed[n] == next {
			delete(w.armed, n)
			w.send(name, n.Tick(w.now))
			w.arm(name, n)
		}
	})
}

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
		if w.twice {
			deliveries = 2
		}
		for range deliveries {
			d := ms + time.Duration(w.rng.Int64N(int64(w.late+ms)))
			w.after(d, func() {
				if to := w.up[o.To]; to != nil {
					w.send(o.To, to.Receive(w.now, from, m))
					w.arm(o.To, to)
				}
				if o.To == w.twinOf {
					w.send(o.To, w.twin.Receive(w.now, from, m))
				}
			})
		}
	}
}

func (w *network) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(item)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// until runs until something is so, and fails if that takes too long.
func (w *network) until(what string, most time.Duration, is func() bool) time.Duration {
	w.t.Helper()
	began := w.now
	for !is() {
		if w.now > began+most {
			w.t.Fatalf("after %v not so: %s", most, what)
		}
		w.run(20 * ms)
	}
	return w.now - began
}

// equal reports whether all replicas are equal.
func (w *network) equal() bool {
	first := w.up["a"]
	for _, n := range w.up {
		for _, kind := range n.store.kinds {
			if n.store.Digest(kind) != first.store.Digest(kind) {
				return false
			}
		}
	}
	return true
}

func (w *network) holds(at, owner, key string) bool {
	e, ok := w.up[at].store.Get(owner, key)
	return ok && !e.Deleted()
}
