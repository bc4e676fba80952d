package simulation

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
	"sorrelrudder/internal/zoneview"
)

// seedLibrary has the log's library draw its elections' times from the seed: it takes them from crypto/rand. That is one variable of
// the whole process, so that runs are played one at a time in each.
func seedLibrary(seed uint64) (restore func()) {
	was := rand.Reader
	rand.Reader = seeded{mrand.New(mrand.NewPCG(seed, 4))}
	return func() { rand.Reader = was }
}

type seeded struct{ r *mrand.Rand }

func (s seeded) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(s.r.Uint32())
	}
	return len(b), nil
}

var _ io.Reader = seeded{}

var errDisk = errors.New("sync failed")

// disk keeps what it was told, and over a crash what it had synced.
type disk struct {
	w    *world
	p    *proc
	now  consensus.PersistentState // what was written
	sure consensus.PersistentState // what was synced
	old  consensus.PersistentState // an older copy
}

func (d *disk) Save(s consensus.PersistentState, sync bool) error {
	if d.w.syncFails[d.p.i] && sync {
		delete(d.w.syncFails, d.p.i)
		return errDisk
	}
	if !sync { // as the program's store does: it would be learnt anew
		return nil
	}
	if s.HardState != nil {
		d.now.HardState = s.HardState
	}
	if s.Snapshot != nil {
		d.now.Snapshot = s.Snapshot
		if s.ReplaceLog {
			d.now.Entries = nil
		} else if len(d.now.Entries) > 0 {
			first := d.now.Entries[0].GetIndex()
			if at := s.Snapshot.GetMetadata().GetIndex(); at >= first {
				d.now.Entries = slices.Clone(d.now.Entries[min(uint64(len(d.now.Entries)), at-first+1):])
			}
		}
	}
	if len(s.Entries) > 0 {
		keep := 0
		if len(d.now.Entries) > 0 && s.Entries[0].GetIndex() > d.now.Entries[0].GetIndex() {
			keep = int(s.Entries[0].GetIndex() - d.now.Entries[0].GetIndex())
		}
		d.now.Entries = append(d.now.Entries[:keep:keep], s.Entries...)
	}
	if d.w.o.Bug != BugNoSync {
		d.sure = d.now
		d.w.counts["syncs"]++
	}
	return nil
}

// proc is one process.
type proc struct {
	w           *world
	i           int
	name        string
	voter       bool // it has a seat by the fleet's file
	rate        float64
	offset      time.Duration
	started     int // counts starts; what an earlier one left behind is void
	nonce       string
	stores      int // counts disks
	up          bool
	pausedUntil time.Duration

	disk  *disk
	id    uint64 // 0: no identity
	fleet string
	node  *consensus.Node
	led   bool

	keeper  *lease.Client
	runner  *task.Runner
	looks   int
	guide   *consensus.LeaderTracker
	asks    map[uint64]*call
	lastAsk uint64
	nextAct map[string]time.Duration
	leaving bool
	rep     *shared // nil: no state is shared
}

func newProc(w *world, i int, made *mrand.Rand) *proc {
	p := &proc{w: w, i: i, name: fmt.Sprintf("p%d", i), voter: i < w.voters}
	// Within the bound that the rules name, and at the bound as often as not.
	p.rate = 1 + drift*(2*made.Float64()-1)
	if made.IntN(2) == 0 {
		p.rate = []float64{1 - drift, 1 + drift}[made.IntN(2)]
	}
	p.offset = time.Duration(made.Int64N(int64(time.Hour)))
	p.disk = &disk{w: w, p: p}
	if i == 0 { // the founder
		p.id, p.fleet = 1, "fleet"
		names := make([]string, w.voters)
		for i := range names {
			names[i] = fmt.Sprintf("p%d", i)
		}
		s, err := consensus.BootstrapSnapshot(consensus.NewStateMachine("fleet", p.name, p.store(), names))
		if err != nil {
			panic(err)
		}
		if err := p.disk.Save(consensus.PersistentState{Snapshot: s, HardState: consensus.BootstrapHardState()}, true); err != nil {
			panic(err)
		}
		p.disk.sure = p.disk.now
	}
	return p
}

func (p *proc) store() string { return fmt.Sprintf("%s-disk-%d", p.name, p.stores) }

// clock is the process' own.
func (p *proc) clock() time.Duration { return p.offset + time.Duration(float64(p.w.now)*p.rate) }

// councilClock is what the council judges by.
func (p *proc) councilClock() time.Duration {
	at := p.clock()
	if p.w.o.Bug == BugWallClock { // set forth by 2 s every five, at times that differ between processes
		at += (p.w.now + time.Duration(p.i)*700*time.Millisecond) / (5 * time.Second) * 2 * time.Second
	}
	return at
}

func (p *proc) start() {
	if p.up {
		return
	}
	p.started++
	p.nonce = fmt.Sprintf("%s/%d", p.name, p.started)
	p.up, p.leaving, p.led = true, false, false
	p.w.note("%s starts", p.name)
	p.asks, p.nextAct = map[uint64]*call{}, map[string]time.Duration{}
	kept := rules
	if p.w.o.Bug == BugLongTTL {
		kept.TTL = kept.TTL * 3 / 2
	}
	p.keeper = lease.NewClient(kept, p.name, fmt.Sprintf("start-%d", p.started))
	p.runner = task.NewRunner(p.w.spec, 200*time.Millisecond, 500*time.Millisecond)
	for _, n := range p.w.names {
		p.keeper.Acquire(n.name, n.limit)
	}
	p.keeper.Acquire("task/t", 1)
	if p.w.o.ZoneFailover {
		p.keeper.Acquire(zoneview.LeaseName, 1)
	}
	names := make([]string, p.w.voters)
	for i := range names {
		names[i] = p.w.procs[i].name
	}
	p.guide = consensus.NewLeaderTracker(names, p.w.own.IntN(p.w.voters), rules.KeepAliveInterval())
	p.sit()
	p.shares()
	p.soon(time.Duration(p.w.own.IntN(50))*time.Millisecond, p.beat)
	p.soon(0, p.keep)
}

// sit begins to take part in the council, if the process has an identity there.
func (p *proc) sit() {
	p.node = nil
	if !p.voter || p.id == 0 {
		return
	}
	if p.w.o.Bug == BugStaleDisk && p.disk.old.Snapshot != nil {
		p.disk.sure = p.disk.old
	}
	p.disk.now = p.disk.sure
	if p.disk.sure.Snapshot != nil {
		p.disk.old = p.disk.sure
	}
	n, err := consensus.New(consensus.Config{ID: p.id, LeaseTiming: rules, Persisted: p.disk.sure, SnapshotEntries: 64, ClockBasedReads: p.w.o.Bug == BugUnconfirmedLeader})
	if err != nil {
		p.w.breaks("%s does not start: %v", p.name, err)
		return
	}
	p.node = n
}

func (p *proc) kill() {
	if p.up {
		p.w.note("%s ends", p.name)
	}
	p.up, p.node = false, nil
}

// leave ends the process in order.
func (p *proc) leave() {
	p.leaving = true
	if p.rep != nil {
		p.says(p.rep.node.Leave(p.clock()))
	}
	p.keeper.Close()
	if p.node != nil {
		p.node.TransferLeadership()
	}
	p.work()
	p.keep()
	p.soon(500*time.Millisecond, p.kill)
}

// deliver has the process do something now, or once it goes on.
func (p *proc) deliver(do func()) {
	started := p.started
	var try func()
	try = func() {
		if !p.up || p.started != started {
			return
		}
		if p.w.now < p.pausedUntil {
			p.w.after(p.pausedUntil-p.w.now, try)
			return
		}
		do()
	}
	try()
}

// soon has it do something later.
func (p *proc) soon(d time.Duration, do func()) {
	started := p.started
	p.w.after(d, func() {
		if p.started == started {
			p.deliver(do)
		}
	})
}

// beat is the council's tick.
func (p *proc) beat() {
	p.soon(tick, p.beat)
	if p.node != nil {
		p.node.Tick(p.councilClock())
		p.work()
	} else if p.voter && p.id == 0 {
		p.admit()
	}
}

// admit asks the council for an identity.
func (p *proc) admit() {
	if p.w.own.IntN(4) > 0 { // so that a council is whole before the first fault, but for chances that no run meets
		return
	}
	p.call(consensus.Request{Voter: &consensus.VoterCommand{Op: consensus.OpAdmit, Name: p.name, StoreID: p.store()}}, func(r consensus.Response) {
		if r.Voter != nil && r.Voter.RaftID != 0 && p.id == 0 {
			p.id, p.fleet = r.Voter.RaftID, r.Voter.FleetID
			p.w.note("%s has the identity %d, votes %v", p.name, p.id, r.Voter.Votes)
			p.sit()
		}
	})
}

// work does what the node wants done.
func (p *proc) work() {
	if p.node == nil {
		return
	}
	out, err := p.node.Process(p.councilClock(), p.disk)
	if err != nil {
		p.w.note("%s: %v", p.name, err)
		if !errors.Is(err, errDisk) {
			p.w.breaks("%s: %v", p.name, err)
		}
		p.kill()
		p.w.after(700*time.Millisecond, p.start)
		return
	}
	if p.node.IsLeader() && !p.led && p.w.o.Bug == BugNoLeaseGrace {
		p.offset += 2 * rules.TTL // as if the term had passed
	}
	p.led = p.node.IsLeader()
	p.w.watch.decides(p.node.StateMachine())
	p.takesOrders()
	for _, e := range out.Events {
		p.w.note("%s: %s %v", p.name, eventTexts[e.Kind], e.Args)
	}
	for _, m := range out.Messages {
		to := p.w.byName(p.node.NameOf(m.GetTo()))
		if to == nil {
			continue
		}
		data, err := consensus.EncodeMessage(m)
		if err != nil {
			panic(err)
		}
		from := m.GetFrom()
		p.w.carry(p, to, m.GetType().String(), func() { to.step(p, from, data) })
	}
	for _, r := range out.Replies {
		p.answer(r)
	}
	for _, name := range out.ChangedMembers {
		if to := p.w.byName(name); to != nil {
			p.w.carry(p, to, "wake", func() {
				to.keeper.Refresh()
				to.keep()
			})
		}
	}
}

func (w *world) byName(name string) *proc {
	for _, p := range w.procs {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (p *proc) step(from *proc, id uint64, data []byte) {
	if p.node == nil {
		return
	}
	m, err := consensus.DecodeMessage(data)
	if err == nil {
		p.node.LearnName(id, from.name)
		err = p.node.Step(p.councilClock(), m)
	}
	if err != nil && !errors.Is(err, raft.ErrStepLocalMsg) {
		p.w.breaks("%s: %v", p.name, err)
		return
	}
	p.work()
}

// call is a request to the council without its answer.
type call struct {
	q    consensus.Request
	then func(consensus.Response)
	to   string
	hops int
}

// call asks the council, by whom the guide picks. Without an answer then is never called.
func (p *proc) call(q consensus.Request, then func(consensus.Response)) {
	p.lastAsk++
	handle := uint64(p.i)<<56 | uint64(p.started)<<40 | p.lastAsk
	c := &call{q: q, then: then}
	p.asks[handle] = c
	delete(p.asks, handle-64)
	p.pass(handle, c)
	p.soon(rules.KeepAliveInterval()/2, func() {
		if p.asks[handle] == c {
			p.guide.Unreachable(p.clock(), c.to)
		}
	})
}

func (p *proc) pass(handle uint64, c *call) {
	c.to = p.guide.Pick(p.clock())
	to := p.w.byName(c.to)
	p.w.carry(p, to, "ask", func() {
		if to.node == nil {
			p.w.carry(to, p, "elsewhere", func() { p.answered(handle, consensus.Response{NotLeader: true}) })
			return
		}
		to.node.Submit(to.councilClock(), handle, c.q)
		to.work()
	})
}

// answer carries an answer to who asked.
func (p *proc) answer(r consensus.Reply) {
	to := p.w.procs[r.Handle>>56]
	p.w.carry(p, to, "answer", func() { to.answered(r.Handle, r.Response) })
}

func (p *proc) answered(handle uint64, r consensus.Response) {
	c := p.asks[handle]
	if c == nil {
		return
	}
	if r.NotLeader {
		if p.guide.Redirected(p.clock(), c.to, r.Leader) && c.hops < 3 {
			c.hops++
			p.pass(handle, c)
			return
		}
		delete(p.asks, handle)
		return
	}
	p.guide.LeaderConfirmed(c.to)
	delete(p.asks, handle)
	c.then(r)
}

// keep does what the process wants for its leases and its task.
func (p *proc) keep() {
	now := p.clock()
	asks, at := p.keeper.Next(now)
	for _, a := range asks {
		began := p.w.now
		if a.Command != nil {
			if id := (firstAsk{p.i, a.SessionID, a.Command.Seq}); p.w.o.RecordHistory && p.w.asked[id] == 0 {
				p.w.asked[id] = began
			}
		}
		p.call(consensus.Request{Lease: &a}, func(r consensus.Response) {
			if r.Lease != nil {
				p.w.remember(p.i, a, *r.Lease, began)
				p.keeper.HandleResponse(*r.Lease)
				p.keep()
			}
		})
	}
	if p.leaving {
		return
	}
	for _, n := range p.w.names {
		p.act(n)
	}
	token, until, _ := p.keeper.Token(now, "task/t")
	act, next := p.runner.Next(now, p.wall(), token, until)
	p.run(act)
	at = min(at, next)
	if at <= now {
		at = now + time.Millisecond
	}
	// The newest look replaces those that were to come.
	p.looks++
	look, started := p.looks, p.started
	p.w.after(max(time.Millisecond, min(time.Duration(float64(at-now)/p.rate), 50*time.Millisecond)), func() {
		if p.started == started && p.looks == look {
			p.deliver(p.keep)
		}
	})
}

// wall is the process' wall clock, which is off by up to half a second.
func (p *proc) wall() time.Time {
	return time.Unix(1_800_000_000, 0).Add(p.w.now + time.Duration(p.i*83%500)*time.Millisecond)
}

// act acts on a lease: mostly at once, at times after a pause that the process does not notice, as if it had been stopped between
// the look and the act.
func (p *proc) act(n leaseName) {
	now := p.clock()
	token, _, ok := p.keeper.Token(now, n.name)
	if !ok || now < p.nextAct[n.name] {
		return
	}
	p.nextAct[n.name] = now + 30*time.Millisecond
	late := time.Duration(0)
	if p.w.own.IntN(20) == 0 {
		late = time.Duration(p.w.own.IntN(3000)) * time.Millisecond
	}
	p.w.after(late, func() { p.w.watch.act(n, p, token, late > 0) })
}

// run carries out what the task's runner wants.
func (p *proc) run(a task.Action) {
	switch {
	case a.FetchRecord:
		asked := p.runner.FetchedAt()
		p.call(consensus.Request{TaskRecords: []string{p.w.spec.Name}}, func(r consensus.Response) {
			if r.TaskRecords != nil {
				p.runner.HandleRecord(asked, r.TaskRecords[p.w.spec.Name])
				p.keep()
			}
		})
	case a.Command != nil:
		c := *a.Command
		p.w.note("%s asks: %s slot %d by %d %s", p.name, c.Op, c.Slot, c.Token, c.Outcome)
		p.call(consensus.Request{Task: &c}, func(r consensus.Response) {
			if r.Task != nil {
				p.w.note("%s hears of %s slot %d: %s", p.name, c.Op, c.Slot, r.Task.Refusal)
				token, _, _ := p.keeper.Token(p.clock(), "task/t")
				p.runner.HandleResult(p.clock(), c, *r.Task, token)
				p.keep()
			}
		})
	case a.Send != nil:
		p.send(*a.Send)
	}
}

// send sends the request of a slot to a server that does it, refuses it or loses the answer.
func (p *proc) send(s task.SlotRequest) {
	w := p.w
	w.watch.sent()
	w.note("%s sends slot %d by %d, attempt %d", p.name, s.Slot, s.Token, s.Attempt)
	draw := w.net.IntN(100)
	took := time.Duration(5+w.net.IntN(60)) * time.Millisecond
	back := func(o task.Outcome, after time.Duration) {
		p.soon(after, func() {
			p.runner.HandleOutcome(p.clock(), o, p.clock()+20*time.Millisecond)
			p.keep()
		})
	}
	limit := time.Duration(float64(s.Deadline-p.clock()) / p.rate)
	if w.o.Bug == BugEarlyCompletion {
		back(task.OutcomeDone, 0)
	}
	switch {
	case draw < 10: // lost on the way: nobody knows
		back(task.OutcomeUnknown, limit)
	case draw < 20:
		back(task.OutcomeRejected, took)
	case draw < 30 || took >= limit: // done, and the answer is lost
		w.after(took, func() { w.watch.did(s) })
		back(task.OutcomeUnknown, limit)
	default:
		w.after(took, func() { w.watch.did(s) })
		back(task.OutcomeDone, took+time.Millisecond)
	}
}

// operate has an operator ask for something until it is done.
func (w *world) operate(f Fault) {
	p := w.procs[f.Target%len(w.procs)]
	q := consensus.Request{Voter: &consensus.VoterCommand{Op: consensus.OpReplace, Name: p.name}}
	if f.Kind == FaultRevoke {
		q = consensus.Request{Lease: &lease.Request{Command: &lease.Command{Op: lease.OpRevoke, Name: w.names[f.Peer%len(w.names)].name}}}
	}
	w.asks(func() consensus.Request { return q }, func(consensus.Response) bool { return true })
}

// asks has an operator ask the council until it is done.
func (w *world) asks(q func() consensus.Request, answered func(consensus.Response) (done bool)) {
	from := w.procs[len(w.procs)-1]
	tries := 0
	var ask func()
	ask = func() {
		if tries++; tries > 100 {
			return
		}
		if from.up && w.now >= from.pausedUntil {
			from.call(q(), func(r consensus.Response) {
				if answered(r) {
					tries = 100
				}
			})
		}
		w.after(200*time.Millisecond, ask)
	}
	ask()
}
