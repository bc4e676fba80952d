package simulation

import (
	"container/heap"
	"fmt"
	"hash"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"

	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
)

const (
	tick       = 50 * time.Millisecond
	faultsFrom = 6 * time.Second // by then the fleet is founded
	faultsTo   = 18 * time.Second
	healed     = 23 * time.Second // all is well from then on
	end        = 33 * time.Second
	lossTo     = end - 4*time.Second // from then on nothing is lost by chance: with one to ask besides, two losses are a suspicion
	drift      = 0.05
	mostEvents = 2_000_000
)

var rules = lease.Timing{TTL: 1500 * time.Millisecond, MaxClockDrift: drift, SafetyMargin: 10 * time.Millisecond}

// event is something that happens.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Options say what is played.
type Options struct {
	Seed          uint64
	Bug           InjectedBug
	Faults        []Fault   // in place of those that the seed draws, if not nil
	Trace         io.Writer // the run as lines, or nil
	TraceMessages bool      // also each message
	RecordHistory bool      // keep the history of the leases
	SharedState   bool      // the processes share state
	ZoneFailover  bool      // and leave zones of servers; with Copies
}

// Outcome is what came of a run.
type Outcome struct {
	Seed         uint64             `json:"seed"`
	SharedState  bool               `json:"copies,omitempty"`
	ZoneFailover bool               `json:"zones,omitempty"`
	Violation    string             `json:"broken,omitempty"` // the first thing that must not be
	ViolatedAt   time.Duration      `json:"at,omitempty"`
	Faults       []Fault            `json:"faults"`
	Hash         uint64             `json:"hash"` // of all that happened, in order
	Counts       map[string]float64 `json:"counts"`
	History      []Operation        `json:"-"`
}

// Operation is an operation on the leases as its process saw it: a grant with its token, or a look (Token 0) with the largest number that
// the council had given.
type Operation struct {
	Process       int
	Start, End    time.Duration
	Token, LastID uint64
}

type firstAsk struct {
	process      int
	session, seq uint64
}

// remember keeps an operation. One that was asked several times began with the first of them.
func (w *world) remember(process int, q lease.Request, a lease.Response, began time.Duration) {
	switch {
	case !w.o.RecordHistory:
	case q.Command == nil && a.Refusal == "":
		w.ops = append(w.ops, Operation{Process: process, Start: began, End: w.now, LastID: a.LastID})
	case q.Command != nil && q.Command.Op == lease.OpAcquire && a.Result != nil && a.Result.Token != 0 && a.Result.PreviousVersion != a.Result.Version:
		id := firstAsk{process, q.SessionID, q.Command.Seq}
		if first, had := w.asked[id]; had {
			began = first
		}
		w.ops = append(w.ops, Operation{Process: process, Start: began, End: w.now, Token: a.Result.Token})
	}
}

// world is one run.
type world struct {
	o         Options
	now       time.Duration
	queue     events
	seq       uint64
	net       *rand.Rand // what the network does
	own       *rand.Rand // what processes draw
	rumours   *rand.Rand // what they draw for the state that they share
	procs     []*proc
	voters    int
	faults    []Fault
	cut       map[[2]int]int // links that pass nothing, and how often they were cut
	loss      int            // faults of that kind that are at work
	storm     int
	syncFails map[int]bool
	spec      task.Spec
	names     []leaseName
	watch     *observer
	hash      hash.Hash64
	broken    string
	brokenAt  time.Duration
	counts    map[string]float64
	ops       []Operation
	asked     map[firstAsk]time.Duration // when a command was asked first
	field     *field                     // nil: no zones are played
	words     [zones]int                 // that operators have given on zones
}

type leaseName struct {
	name  string
	limit int
}

// Run plays one run.
func Run(o Options) (out Outcome) {
	restore := seedLibrary(o.Seed)
	defer restore()
	w := &world{
		o: o, net: rand.New(rand.NewPCG(o.Seed, 1)), own: rand.New(rand.NewPCG(o.Seed, 2)), rumours: copiesSource(o.Seed), cut: map[[2]int]int{}, syncFails: map[int]bool{},
		hash: fnv.New64a(), counts: map[string]float64{}, asked: map[firstAsk]time.Duration{},
	}
	made := rand.New(rand.NewPCG(o.Seed, 3))
	w.voters = []int{1, 3, 3, 5, 5}[made.IntN(5)]
	processes := w.voters + 2 + made.IntN(3)
	w.names = []leaseName{{"one", 1}, {"two", 2}}
	w.spec = task.Spec{
		Name: "t", Interval: 400 * time.Millisecond, Missed: []task.MissedPolicy{task.MissedSkip, task.MissedRunNewest, task.MissedRunEach}[made.IntN(3)],
		Idempotency: task.Idempotency(made.IntN(3)), DedupWindow: 4 * time.Second, Deadline: 300 * time.Millisecond, MaxAttempts: 2, MaxClockDrift: drift,
	}
	if o.ZoneFailover {
		w.field = newField()
	}
	w.watch = newObserver(w)
	w.faults = o.Faults
	if drawn := draw(made, w.voters, processes, faultsFrom, faultsTo); w.faults == nil {
		w.faults = drawn
	}
	if o.ZoneFailover && o.Faults == nil {
		alone := o.Seed%4 == 0
		if alone {
			w.faults = []Fault{}
		}
		w.faults = append(w.faults, drawZones(rand.New(rand.NewPCG(o.Seed, 7)), alone)...)
	}
	for i := range processes {
		w.procs = append(w.procs, newProc(w, i, made))
	}
	for _, p := range w.procs {
		p.start()
	}
	for _, f := range w.faults {
		w.after(f.At, func() { w.strike(f) })
	}
	w.after(healed, w.heal)
	defer func() {
		if r := recover(); r != nil {
			w.breaks("panic: %v", r)
		}
		out = Outcome{Seed: o.Seed, SharedState: o.SharedState, ZoneFailover: o.ZoneFailover, Violation: w.broken, ViolatedAt: w.brokenAt, Faults: w.faults, Hash: w.hash.Sum64(), Counts: w.counts, History: w.ops}
	}()
	for played := 0; len(w.queue) > 0 && w.broken == ""; played++ {
		if played > mostEvents {
			w.breaks("the run does not come to its end")
			break
		}
		e := heap.Pop(&w.queue).(*event)
		if e.at > end {
			w.watch.end()
			break
		}
		w.now = e.at
		e.do()
		w.watch.look()
		w.watch.retires()
	}
	return out
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, &event{w.now + d, w.seq, do})
}

func (w *world) breaks(format string, args ...any) {
	if w.broken == "" {
		w.broken, w.brokenAt = fmt.Sprintf(format, args...), w.now
		w.note("BROKEN %s", w.broken)
	}
}

// note writes down what happens.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%10.6f %s\n", w.now.Seconds(), fmt.Sprintf(format, args...))
	w.hash.Write([]byte(line))
	if w.o.Trace != nil {
		fmt.Fprint(w.o.Trace, line)
	}
}

// carry takes something from one process to another, or loses it on the way.
func (w *world) carry(from, to *proc, what string, arrive func()) {
	w.counts["messages"]++
	if w.o.TraceMessages {
		w.note("%s to %s: %s", from.name, to.name, what)
	}
	if w.cut[[2]int{from.i, to.i}] > 0 || w.loss > 0 && w.net.IntN(100) < 30 || w.net.IntN(1000) < 2 && w.now < lossTo {
		w.counts["lost"]++
		return
	}
	copies := 1
	if w.storm > 0 && w.net.IntN(100) < 10 {
		copies = 2
	}
	for range copies {
		d := time.Duration(500+w.net.IntN(2500)) * time.Microsecond
		if w.storm > 0 {
			d += time.Duration(w.net.IntN(400)) * time.Millisecond
			if w.net.IntN(50) == 0 { // very late
				d += time.Duration(w.net.IntN(5000)) * time.Millisecond
			}
		}
		w.after(d, func() {
			if w.cut[[2]int{from.i, to.i}] > 0 {
				return
			}
			to.deliver(arrive)
		})
	}
}

// strike has a fault happen.
func (w *world) strike(f Fault) {
	if w.now >= healed {
		return
	}
	w.note("FAULT %s", f)
	if w.strikeZones(f) {
		return
	}
	p := w.procs[f.Target%len(w.procs)]
	block := func(a, b int) {
		if a == b {
			return
		}
		w.cut[[2]int{a, b}]++
		w.after(f.Duration, func() {
			if w.cut[[2]int{a, b}] > 0 {
				w.cut[[2]int{a, b}]--
			}
		})
	}
	switch f.Kind {
	case FaultPause:
		p.pausedUntil = max(p.pausedUntil, w.now+f.Duration)
	case FaultKill, FaultWipe:
		p.kill()
		if f.Kind == FaultWipe && p.voter {
			p.disk = &disk{w: w, p: p}
			p.id, p.fleet = 0, ""
			p.stores++
		}
		w.after(f.Duration, p.start)
	case FaultKillAll:
		for i, q := range w.procs {
			q.kill()
			w.after(f.Duration/4+time.Duration(i)*50*time.Millisecond, q.start)
		}
	case FaultLeave:
		p.deliver(p.leave)
		w.after(f.Duration+time.Second, p.start)
	case FaultOneWay:
		block(f.Target%len(w.procs), f.Peer%len(w.procs))
	case FaultIsolate:
		for _, q := range w.procs {
			block(p.i, q.i)
			block(q.i, p.i)
		}
	case FaultPartition:
		for _, a := range w.procs {
			for _, b := range w.procs {
				if f.Target>>a.i&1 != f.Target>>b.i&1 {
					block(a.i, b.i)
				}
			}
		}
	case FaultLoss:
		w.loss++
		w.after(f.Duration, func() { w.loss-- })
	case FaultDelay:
		w.storm++
		w.after(f.Duration, func() { w.storm-- })
	case FaultSync:
		w.syncFails[f.Target] = true
	case FaultRevoke, FaultReplace:
		w.operate(f)
	}
}

// heal ends what is still wrong, and starts what is down.
func (w *world) heal() {
	w.note("all is well from here on")
	clear(w.cut)
	clear(w.syncFails)
	for _, p := range w.procs {
		p.pausedUntil = min(p.pausedUntil, w.now)
		p.start()
	}
	for _, f := range w.faults { // what an operator could not get through before
		if f.Kind == FaultReplace {
			w.operate(f)
		}
	}
}
