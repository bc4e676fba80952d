package gossip

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

func names(n int) (all []string) {
	for i := range n {
		all = append(all, string(rune('a'+i%26))+fmt.Sprint(i/26))
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
	late  time.Duration // messages are late by up to so much
	twice bool
	bytes map[string]int          // that went to somebody
	armed map[*Node]time.Duration // when they tick next
	// Another process of a name, or none: it hears what goes to the name, too.
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
func (p *pending) Push(x any)   { *p = append(*p, x.(item)) }
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
	w.until("all know of all", 20*time.Second, func() bool {
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

// start starts a process that knows nothing; one that has the name is gone.
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
		copies := 1
		if w.twice {
			copies = 2
		}
		for range copies {
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

// same reports whether all hold the same copies.
func (w *network) same() bool {
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

// TestSplit: both sides of a split write, one decides, each gives the other up; after the healing all hold the same, the decision and what is
// newest; what was taken back meanwhile does not come back.
func TestSplit(t *testing.T) {
	w := newNetwork(t, 10)
	w.up["a"].Put("dead/old", []byte("1"))
	w.up["j"].Put("dead/old", []byte("1"))
	w.until("all have it", 5*time.Second, w.same)
	side := func(name string) bool { return name < "f" }
	w.cut = func(from, to string) bool { return side(from) != side(to) }
	w.run(time.Second)
	w.up["b"].Put("dead/box", []byte("1"))
	w.up["i"].Put("dead/box", []byte("2"))
	w.up["a"].Delete("dead/old")
	w.up["c"].ApplyDecision("order/box", 7, []byte("avoid"))
	w.until("the other side is given up", 2*time.Minute, func() bool {
		n := w.up["b"]
		return n.Count(Dead) == 5 && !w.holds("b", "j", "dead/old") && !w.holds("h", "a", "dead/old")
	})
	w.cut = nil
	took := w.until("all hold the same of all", 20*time.Second, func() bool {
		for _, n := range w.up {
			if n.Count(Alive) != 9 {
				return false
			}
		}
		return w.same()
	})
	t.Logf("healed within %v", took)
	for name := range w.up {
		if !w.holds(name, "b", "dead/box") || !w.holds(name, "i", "dead/box") || !w.holds(name, "j", "dead/old") || !w.holds(name, ConsensusOwner, "order/box") {
			t.Errorf("%s lacks something", name)
		}
		if w.holds(name, "a", "dead/old") {
			t.Errorf("%s holds what was taken back", name)
		}
	}
}

// TestCutOffOne: one that was cut off from 49, long enough to be given up, and wrote meanwhile.
func TestCutOffOne(t *testing.T) {
	w := newNetwork(t, 30)
	w.up["c"].Put("dead/x", []byte("1"))
	w.until("all have it", 5*time.Second, w.same)
	w.cut = func(from, to string) bool { return from == "c" || to == "c" }
	w.until("it is given up", 2*time.Minute, func() bool { return !w.holds("a", "c", "dead/x") })
	inc := w.up["c"].Incarnation()
	w.up["c"].Put("dead/y", []byte("1"))
	w.cut = nil
	w.until("all hold what it writes", 30*time.Second, func() bool { return w.same() && w.holds("a", "c", "dead/x") && w.holds("a", "c", "dead/y") })
	if w.up["c"].Incarnation() <= inc {
		t.Error("it was given up, and goes on with the incarnation that was")
	}
}

// TestOneWay: nothing gets from one to another, both ways to all others go: nobody is held for dead.
func TestOneWay(t *testing.T) {
	w := newNetwork(t, 8)
	w.cut = func(from, to string) bool { return from == "a" && to == "b" }
	w.run(time.Minute)
	for name, n := range w.up {
		if n.Count(Dead) > 0 {
			t.Errorf("%s holds somebody for dead", name)
		}
	}
	if n := w.up["a"].Stats.Suspicions; n > 0 {
		t.Errorf("it suspects whom it can't reach itself %d times, though others can", n)
	}
	w.up["a"].Put("dead/x", nil)
	w.up["a"].Put("dead/y", []byte("1"))
	w.until("what it writes comes by way of others", 10*time.Second, func() bool { return w.holds("b", "a", "dead/y") })
}

// TestRestarts: 100 starts of one name within a minute: the newest one's entries hold in the end, and none of an older one's.
func TestRestarts(t *testing.T) {
	w := newNetwork(t, 8)
	w.late, w.twice = 300*ms, true
	for i := range 100 {
		n := w.start("d")
		n.Put(fmt.Sprintf("dead/%d", i), []byte("1"))
		w.run(600 * ms)
	}
	w.late, w.twice = 0, false
	w.until("all hold the newest", 20*time.Second, func() bool { return w.same() && w.holds("a", "d", "dead/99") })
	w.up["a"].store.ForEach("dead/", func(e *Entry) bool {
		if e.Owner == "d" && e.Key != "dead/99" {
			t.Errorf("%s of an older start", e.Key)
		}
		return true
	})
}

// TestDeletedAgainstLateCopy: what was taken back stays so against copies of before that come late, also after the owner has forgotten that it
// ever had it.
func TestDeletedAgainstLateCopy(t *testing.T) {
	w := newNetwork(t, 4)
	n := w.up["a"]
	n.Put("dead/x", []byte("1"))
	late, _ := n.store.Get("a", "dead/x")
	w.until("all have it", 5*time.Second, w.same)
	n.Delete("dead/x")
	for i := range 3 * MaxKeysPerOwner { // many more keys than are kept: the owner begins anew
		key := fmt.Sprintf("dead/%d", i)
		if !n.Put(key, []byte("1")) {
			t.Fatalf("no room for %s", key)
		}
		n.Delete(key)
	}
	w.until("all are in step", 20*time.Second, w.same)
	w.send("b", []Envelope{{"c", &Message{Kind: RumorMessage, Entries: []Entry{late}}}})
	w.run(5 * time.Second)
	for name := range w.up {
		if w.holds(name, "a", "dead/x") {
			t.Errorf("%s: a late copy came back", name)
		}
	}
}

// TestPaused: one stands still for ten seconds and goes on with what it knew: it is suspected and objects, and nothing that was taken back
// meanwhile comes back by it.
func TestPaused(t *testing.T) {
	w := newNetwork(t, 10)
	w.up["a"].Put("dead/x", []byte("1"))
	w.until("all have it", 5*time.Second, w.same)
	paused := w.up["e"]
	delete(w.up, "e")
	w.run(2 * time.Second)
	w.up["a"].Delete("dead/x")
	w.run(8 * time.Second)
	w.up["e"] = paused
	w.send("e", paused.Tick(w.now))
	w.arm("e", paused)
	w.until("it is alive again to all, and in step", 20*time.Second, func() bool {
		for name, n := range w.up {
			if name != "e" && n.Member("e").State != Alive || w.holds(name, "a", "dead/x") {
				return false
			}
		}
		return w.same()
	})
	for name := range w.up {
		if w.holds(name, "a", "dead/x") {
			t.Errorf("%s holds what was taken back", name)
		}
	}
}

// TestTwoOfOneName: both write anew above each other at a bounded rate, and the others hold one of them at a time.
func TestTwoOfOneName(t *testing.T) {
	w := newNetwork(t, 5)
	w.up["b"].Put("dead/first", []byte("1"))
	w.twin, w.twinOf = New(w.now, config("b", 5, 99)), "b"
	w.twin.Put("dead/twin", []byte("1"))
	before := max(w.up["b"].Incarnation(), w.twin.Incarnation()) >> incarnationRandomBits
	both := 0
	for range 400 { // 20 s
		w.send("b", w.twin.Tick(w.now))
		w.run(50 * ms)
		if w.holds("a", "b", "dead/twin") && w.holds("a", "b", "dead/first") {
			both++
		}
	}
	n := max(w.up["b"].Incarnation(), w.twin.Incarnation())>>incarnationRandomBits - before
	if t.Logf("%d incarnations", n); n < 5 || n > 50 {
		t.Errorf("%d incarnations within 20 s: some are wanted, and not more than each can begin once a second", n)
	}
	if both > 0 {
		t.Error("entries of two processes are held for one's")
	}
}

// TestLeave: who ends in order is known to have left within a second, and what it wrote goes with it.
func TestLeave(t *testing.T) {
	w := newNetwork(t, 10)
	w.up["f"].Put("dead/x", []byte("1"))
	w.until("all have it", 5*time.Second, w.same)
	out := w.up["f"].Leave(w.now)
	delete(w.up, "f")
	w.send("f", out)
	w.until("all know", 2*time.Second, func() bool {
		for name, n := range w.up {
			if n.Member("f").State != Left || w.holds(name, "f", "dead/x") {
				return false
			}
		}
		return true
	})
}

// TestManyReturn: 20 of 40 return at one moment with nothing: each has all within seconds, and those that stand give no more than their
// budget in any second.
func TestManyReturn(t *testing.T) {
	w := newNetwork(t, 40)
	for name, n := range w.up {
		for i := range 100 {
			n.Put(fmt.Sprintf("dead/%s%d", name, i), make([]byte, 200))
		}
	}
	w.until("all have it", 2*time.Minute, w.same)
	names := names(40)
	const budget = 1 << 16
	for i, name := range names {
		if i >= 20 {
			w.start(name)
		}
		w.up[name].cfg.CatchUpBudget, w.up[name].catchUp.budget = budget, 0
	}
	before := map[string]int{}
	for _, name := range names {
		before[name] = w.up[name].Stats.CatchUpBytes
	}
	from := w.now
	took := w.until("all have caught up", 3*time.Minute, func() bool {
		for _, name := range names {
			if _, ok := w.up[name].InSync(w.now); !ok {
				return false
			}
		}
		return w.same()
	})
	turned := 0
	for name, n := range w.up {
		turned += n.Stats.CatchUpRejected
		if gave := float64(n.Stats.CatchUpBytes - before[name]); gave > budget*((w.now-from).Seconds()+1)+maxSyncReplyBytes {
			t.Errorf("%s gave %.0f bytes within %v", name, gave, w.now-from)
		}
	}
	if turned == 0 {
		t.Error("nobody was turned away: nothing was shown")
	}
	t.Logf("in %v; %d asks were turned away", took, turned)
}

// TestNoCouncil: without the council's word the decided state stays as it was, and what is observed goes on.
func TestNoCouncil(t *testing.T) {
	w := newNetwork(t, 6)
	w.up["a"].ApplyDecision("order/x", 3, []byte("avoid"))
	w.up["b"].ApplyDecision("order/x", 2, nil) // has heard less
	w.until("all have the newest", 5*time.Second, func() bool { return w.same() && w.holds("f", ConsensusOwner, "order/x") })
	w.up["c"].Put("dead/y", []byte("1"))
	w.until("what is observed goes on", 5*time.Second, func() bool { return w.holds("f", "c", "dead/y") })
	w.up["d"].ApplyDecision("order/x", 9, nil)
	w.until("what is lifted is lifted everywhere", 5*time.Second, func() bool { return w.same() && !w.holds("a", ConsensusOwner, "order/x") })
}

// TestCutOffAtEveryPiece: the connection of one that catches up ends after its first message, after its second, and so on, each time: what has
// come counts, and it has all in the end; no piece is taken for more than it was.
func TestCutOffAtEveryPiece(t *testing.T) {
	for cut := 1; cut < 12; cut++ {
		w := newNetwork(t, 3)
		for i := range 120 {
			w.up["a"].Put(fmt.Sprintf("dead/%03d", i), make([]byte, 600))
		}
		w.until("all have it", 20*time.Second, w.same)
		w.start("c")
		passed, pieces := 0, 0
		w.cut = func(from, to string) bool {
			if to != "c" {
				return false
			}
			passed++
			if passed > cut { // nothing more gets there for a while, then as many again
				passed = -3
				pieces++
			}
			return passed < 0
		}
		w.until(fmt.Sprintf("all is there, %d messages at a time", cut), time.Minute, w.same)
		if cut < 3 && pieces == 0 {
			t.Error("nothing was cut off")
		}
	}
}

// TestAnotherFleet: what processes of another fleet say, whose names this one does not know, is kept out and counted, and costs nothing.
func TestAnotherFleet(t *testing.T) {
	w := newNetwork(t, 4)
	before := w.up["a"].store.Counts
	stranger := &Message{Kind: RumorMessage, Members: []MemberState{{"stranger", 1 << incarnationRandomBits, 0, Alive, ""}}, Owners: []OwnerState{{"stranger", 9, 9}},
		Entries: []Entry{{"stranger", "dead/x", Version{1, 1}, [][]byte{content("")}}}}
	w.send("b", []Envelope{{"a", stranger}})
	w.run(time.Second)
	if c := w.up["a"].store.Counts; c.Unknown < before.Unknown+3 || len(w.up["a"].store.all()) > 0 {
		t.Errorf("%+v, %v", c, w.up["a"].store.all())
	}
	if out := w.up["a"].Receive(w.now, "stranger", stranger); len(out) > 0 {
		t.Error("one that is no member is answered")
	}
}

// TestEvidence: one witness is not believed, nor dead ones, nor this process' own word; what a witness takes back, or does not find out anew,
// counts no more. Whoever says that all is well changes nothing: there is nothing to say it with.
func TestEvidence(t *testing.T) {
	w := newNetwork(t, 6)
	v := NewFailureReports(2)
	a := w.up["a"]
	look := func() []string {
		w.run(2 * time.Second)
		v.Update(w.now, a, a.store.TakeChanges())
		return v.Hints(a)
	}
	w.up["b"].Put("dead/farm/box", nil)
	if h := look(); len(h) != 0 {
		t.Fatalf("one witness is believed: %v", h)
	}
	w.up["c"].Put("dead/farm/box", nil)
	if h := look(); len(h) != 1 {
		t.Fatalf("two are not: %v", h)
	}
	v.Record(w.now, a, "dead/farm/box", true)
	if h := v.Hints(a); len(h) != 0 {
		t.Errorf("it is told what it has found out itself: %v", h)
	}
	w.run(ownReportTTL + time.Second)
	look()
	if h := look(); len(h) != 1 || v.OwnCount() != 0 || w.holds("b", "a", "dead/farm/box") {
		t.Errorf("%v; what it does not find out anew still counts: %d", h, v.OwnCount())
	}
	w.up["c"].Delete("dead/farm/box")
	if h := look(); len(h) != 0 {
		t.Errorf("it was taken back, and counts: %v", h)
	}
	w.up["d"].Put("dead/farm/box", nil)
	if h := look(); len(h) != 1 {
		t.Fatal("two witnesses again")
	}
	delete(w.up, "d")
	w.until("d is held for dead", time.Minute, func() bool { w.run(time.Second); return a.Member("d").State == Dead })
	if h := look(); len(h) != 0 {
		t.Errorf("the word of one that is dead counts: %v", h)
	}
}

// TestCouncilAnew: half of the processes know that the council was founded anew, and half hold larger numbers of the former one's: nothing of the
// former is taken over by who knows, and once all know all are equal.
func TestCouncilAnew(t *testing.T) {
	w := newNetwork(t, 6)
	former, present := FleetTag("former"), FleetTag("present")
	for _, n := range w.up {
		n.Store().SetFleetTag(former)
	}
	w.up["a"].ApplyDecision("order/x", 50, []byte("avoid"))
	w.up["a"].ApplyDecision("order/y", 51, []byte("avoid"))
	w.until("all have it", 5*time.Second, func() bool { return w.same() && w.holds("f", ConsensusOwner, "order/y") })
	for _, name := range []string{"a", "b", "c"} {
		w.up[name].Store().SetFleetTag(present)
	}
	w.up["b"].ApplyDecision("order/x", 1, []byte("new"))
	w.run(5 * time.Second)
	for _, name := range []string{"a", "b", "c"} {
		if e, ok := w.up[name].Store().Get(ConsensusOwner, "order/x"); !ok || e.Sequence != 1 {
			t.Errorf("%s holds %+v", name, e)
		}
		if w.holds(name, ConsensusOwner, "order/y") {
			t.Errorf("%s has an order of the former council", name)
		}
	}
	if w.up["b"].Store().Counts.ForeignFleet == 0 {
		t.Error("nothing of the former was kept out: nothing was shown")
	}
	for _, n := range w.up {
		n.Store().SetFleetTag(present)
	}
	w.until("all are equal", 5*time.Second, func() bool {
		e, ok := w.up["f"].Store().Get(ConsensusOwner, "order/x")
		return w.same() && ok && e.Sequence == 1 && !w.holds("f", ConsensusOwner, "order/y")
	})
}

// TestLastingDifference: copies that differ for as long as one has not heard which council counts must not keep both busy: a look is begun at most once
// a round of gossip.
func TestLastingDifference(t *testing.T) {
	w := newNetwork(t, 2)
	w.up["a"].Store().SetFleetTag(FleetTag("present"))
	w.up["b"].Store().SetFleetTag(FleetTag("former"))
	w.up["a"].ApplyDecision("order/x", 1, []byte("avoid"))
	w.up["b"].ApplyDecision("order/y", 2, []byte("avoid"))
	w.run(time.Second)
	before := map[string]int{}
	for name, n := range w.up {
		before[name] = n.Stats.Syncs
	}
	const over = 20 * time.Second
	w.run(over)
	for name, n := range w.up {
		if looks := n.Stats.Syncs - before[name]; looks > int(over/n.cfg.GossipInterval)+1 || looks < 2 {
			t.Errorf("%s has looked %d times within %v, a round of gossip being %v", name, looks, over, n.cfg.GossipInterval)
		}
	}
}
