// Package fleet is the host of a fleet's processes that know each other: the links between them, the council at those that have a
// seat, this process' leases and its tasks. It carries out what packages council, lease and task decide, and decides nothing.
package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
)

// Config is what a process is told of its fleet.
type Config struct {
	Name    string
	Secret  string            // file
	Store   string            // file; empty: this process has no seat, or keeps what it promises in memory
	Memory  bool              // the council is in memory: with its majority all that was promised is forgotten
	Council []string          // who may have a seat
	Members map[string]string // addresses by name
	Rules   lease.Rules
	Tick    time.Duration // of the council: a leader that is silent for ten is replaced
	Tasks   []Task
	Copies  *CopiesConfig // nil: the process shares no state with others
	Zones   *ZonesConfig  // nil: no zone is left by itself
}

// Task is work that is done once for the whole fleet.
type Task struct {
	task.Spec
	Pool, Method, Path, Tenant, Body string

	Plain bool   // the pool speaks plain HTTP
	Host  string // whom its servers are asked for; empty: the pool's name
}

// Sender sends a request through the process' pools, under the four rules.
type Sender interface {
	Do(ctx context.Context, pool string, q *httpmsg.Request) (httpmsg.Answer, error)
}

const (
	mostAsks     = 1024 // of this process, without their answers
	inboxLen     = 1024
	mostHops     = 3
	leastSecret  = 16
	closeTime    = 3 * time.Second
	operatorName = "operator"
	manyLeases   = 256
	tellEvery    = 200 * time.Millisecond // with many leases
	complainTime = time.Second            // between two lines on connections that were turned away
)

// Tier is one process' part.
type Tier struct {
	cfg    Config
	log    *slog.Logger
	clock  *Clock
	secret []byte
	store  promises // nil: no seat
	ln     net.Listener
	sender Sender
	fleet  string // of the store, once it is known
	sent   traffic

	ctx   context.Context
	stop  context.CancelFunc
	done  sync.WaitGroup
	inbox chan func(*seat)
	timer *time.Timer

	mu       sync.Mutex
	keeper   *lease.Keeper
	runners  map[string]*runner
	links    map[string]*link
	inward   map[string]*conn // by the peer's name, the newest
	conns    map[*conn]struct{}
	asks     map[uint64]*call
	lastAsk  uint64
	guide    *consensus.Guide
	held     map[string]uint64 // as it was logged
	leaving  bool
	toldOf   uint64 // keeper's changes that were told
	lapsed   bool   // the session had, then
	lookedAt time.Duration
	refused  int // connections turned away since that was logged
	toldAt   time.Duration
	linkErr  map[string]string
	copies   *copies           // nil: none
	heard    string            // a fleet that a member is of
	passing  map[string]string // leases that go to a member once nothing of them is out
}

type runner struct {
	cfg  Task
	core *task.Runner
	next time.Duration // not to be asked before
}

// call is a request of this process to the council.
type call struct {
	q    consensus.Request
	then func(consensus.Response) // called under mu
	hops int
	at   time.Duration
	to   string // whom it went to last
	late bool   // it was not answered in time
	lost func() // called under mu once no answer is waited for any more; nil: it is asked again by itself
}

// seat is this process' part in the council. Only the council's goroutine has it.
type seat struct {
	node    *consensus.Node
	routes  map[uint64]func(consensus.Response)
	last    uint64
	admitAt time.Duration
	failed  error
}

// New makes the part of a process. It opens its store and its listener, and does nothing yet.
func New(cfg Config, log *slog.Logger) (*Tier, error) {
	secret, err := os.ReadFile(cfg.Secret)
	if err != nil {
		return nil, fmt.Errorf("the tier's secret: %w", err)
	}
	if len(secret) < leastSecret {
		return nil, fmt.Errorf("%s: the tier's secret has %d bytes, fewer than %d", cfg.Secret, len(secret), leastSecret)
	}
	clock, err := NewClock()
	if err != nil {
		return nil, err
	}
	t := &Tier{
		cfg: cfg, log: log.With("tier", cfg.Name), clock: clock, secret: secret, inbox: make(chan func(*seat), inboxLen),
		keeper: lease.NewKeeper(cfg.Rules, cfg.Name, uuid.NewString()), runners: map[string]*runner{}, links: map[string]*link{},
		inward: map[string]*conn{}, conns: map[*conn]struct{}{}, asks: map[uint64]*call{}, held: map[string]uint64{}, linkErr: map[string]string{}, passing: map[string]string{},
		toldAt: -complainTime, guide: consensus.NewGuide(cfg.Council, len(cfg.Name), cfg.Rules.RenewEvery()),
	}
	t.ctx, t.stop = context.WithCancel(context.Background())
	if cfg.Store != "" {
		store, err := OpenStore(cfg.Store, cfg.Name)
		if err != nil {
			return nil, err
		}
		t.store, t.fleet = store, store.Identity().Fleet
	} else if cfg.Memory && slices.Contains(cfg.Council, cfg.Name) {
		t.store = newMemory(cfg.Name)
	}
	if t.ln, err = net.Listen("tcp", cfg.Members[cfg.Name]); err != nil {
		if t.store != nil {
			t.store.Close()
		}
		return nil, fmt.Errorf("the tier's address: %w", err)
	}
	return t, nil
}

// Start begins to take part. Requests of tasks go through s.
func (t *Tier) Start(s Sender) error {
	t.sender = s
	st := &seat{routes: map[uint64]func(consensus.Response){}}
	if t.store != nil {
		if err := t.sit(st); err != nil {
			return err
		}
	}
	t.mu.Lock()
	for _, cfg := range t.cfg.Tasks {
		t.runners[cfg.Name] = &runner{cfg: cfg, core: task.NewRunner(cfg.Spec, t.cfg.Rules.RenewEvery()/2, t.cfg.Rules.RenewEvery())}
		t.keeper.Want(leaseOf(cfg.Name), 1)
	}
	err := t.share(s)
	t.timer = time.NewTimer(0)
	t.mu.Unlock()
	if err != nil {
		return err
	}
	t.done.Go(t.accept)
	t.done.Go(func() { t.preside(st) })
	t.done.Go(t.rounds)
	t.log.Info("the tier is up", "address", t.ln.Addr().String(), "incarnation", t.keeperStart(), "seat", t.store != nil, "fleet", t.fleet)
	return nil
}

func (t *Tier) keeperStart() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keeper.Start()
}

// Addr is where other processes connect.
func (t *Tier) Addr() string { return t.ln.Addr().String() }

// leaseOf is the lease whose holder does a task.
func leaseOf(task string) string { return "task/" + task }

// Leave gives up in order what this process holds, and hands on the council's lead: nobody has to wait for a term. It returns once
// that has been heard, or soon. What is out for tasks is waited for first.
func (t *Tier) Leave() {
	until := time.Now().Add(closeTime)
	t.mu.Lock()
	t.leaving = true
	if t.copies != nil {
		t.say(t.copies.node.Leave(t.clock.Now()))
	}
	t.mu.Unlock()
	for time.Now().Before(until) && t.running() {
		time.Sleep(5 * time.Millisecond)
	}
	t.mu.Lock()
	t.keeper.Close()
	t.keep()
	t.mu.Unlock()
	for time.Now().Before(until) {
		t.mu.Lock()
		closed := t.keeper.Closed() || t.keeper.Session() == 0
		t.mu.Unlock()
		if closed {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	handed := make(chan struct{})
	t.post(func(s *seat) {
		if s.node != nil {
			s.node.Transfer()
		}
		close(handed)
	})
	select {
	case <-handed:
		time.Sleep(2 * t.cfg.Tick) // the successor asks for votes
	case <-t.ctx.Done():
	case <-time.After(time.Second):
	}
}

func (t *Tier) running() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.runners {
		if r.core.Busy() {
			return true
		}
	}
	return false
}

// Close ends at once.
func (t *Tier) Close() error {
	t.stop()
	t.ln.Close()
	t.mu.Lock()
	for c := range t.conns {
		c.Close()
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	t.mu.Unlock()
	t.done.Wait()
	if t.store != nil {
		return t.store.Close()
	}
	return nil
}

// Holding says whether this process may act on a lease now, with which fencing token, and for how long at most.
func (t *Tier) Holding(name string) (token uint64, left time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	token, until, ok := t.keeper.Holding(now, name)
	return token, t.clock.Real(until - now), ok
}

// Want has this process hold a lease, of which limit may be held at once over the fleet, or wait for it.
func (t *Tier) Want(name string, limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keeper.Want(name, limit)
	t.keep()
}

// Unwant gives a lease up, to a member or, with an empty name, to whoever waits. What is done under it must have ended.
func (t *Tier) Unwant(name, to string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keeper.Unwant(name, to)
	t.keep()
}

// Guard returns a context that ends before the process' right to act on a lease does, and the token to act with. A resource that checks
// tokens is safe against all that comes later than that; for one that does not, an act that was begun in time and arrives late is not.
func (t *Tier) Guard(ctx context.Context, name string) (context.Context, context.CancelFunc, uint64, error) {
	token, left, ok := t.Holding(name)
	if !ok {
		return nil, nil, 0, fmt.Errorf("the lease %q is not held here", name)
	}
	ctx, cancel := context.WithCancel(ctx)
	var again func(d time.Duration)
	again = func(d time.Duration) {
		timer := time.AfterFunc(d, func() {
			if now, left, ok := t.Holding(name); ok && now == token {
				again(left)
				return
			}
			cancel()
		})
		context.AfterFunc(ctx, func() { timer.Stop() })
	}
	again(left)
	return ctx, cancel, token, nil
}

// rounds looks at what is to be asked and done, whenever that is due.
func (t *Tier) rounds() {
	var nudge chan struct{}
	if t.copies != nil {
		nudge = t.copies.nudge
	}
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-nudge:
			t.look()
			continue
		case <-t.timer.C:
		}
		t.mu.Lock()
		t.keep()
		t.mu.Unlock()
	}
}

// keep does what is due for the leases and the tasks. The caller has mu.
func (t *Tier) keep() {
	if t.timer == nil || t.ctx.Err() != nil {
		return
	}
	now := t.clock.Now()
	t.passOn()
	asks, at := t.keeper.Next(now)
	for _, a := range asks {
		t.call(&call{q: consensus.Request{Lease: &a}, then: func(r consensus.Response) {
			t.decidedAt(now, r.Decided)
			if r.Lease != nil {
				t.keeper.Answered(t.clock.Now(), *r.Lease)
			}
		}})
	}
	t.tell(now)
	wall := time.Now()
	for _, r := range t.runners {
		token, until, _ := t.keeper.Holding(now, leaseOf(r.cfg.Name))
		if _, passing := t.passing[leaseOf(r.cfg.Name)]; (t.leaving || passing) && !r.core.Busy() {
			continue
		}
		act, next := r.core.Next(now, wall, token, until)
		t.do(r, act)
		at = min(at, next)
	}
	if t.copies != nil {
		at = min(at, t.gossip(now))
	}
	for handle, c := range t.asks { // those whose answer is late, or was lost
		if !c.late && now > c.at+t.cfg.Rules.RenewEvery()/2 {
			c.late = true
			t.guide.Silence(now, c.to)
		}
		if now > c.at+t.cfg.Rules.Term {
			delete(t.asks, handle)
			if c.lost != nil {
				c.lost()
			}
		}
	}
	t.timer.Reset(max(time.Millisecond, min(t.clock.Real(at-now), t.cfg.Rules.Term)))
}

// tell logs what has changed of what this process holds. The caller has mu.
func (t *Tier) tell(now time.Duration) {
	// With many leases each look costs.
	n, lapsed := t.keeper.Changes(), now >= t.keeper.Until()
	if n == t.toldOf && lapsed == t.lapsed || len(t.held) > manyLeases && now < t.lookedAt+tellEvery {
		return
	}
	t.toldOf, t.lapsed, t.lookedAt = n, lapsed, now
	held := map[string]uint64{}
	for _, name := range t.keeper.Held(now) {
		if token, _, ok := t.keeper.Holding(now, name); ok {
			held[name] = token
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.held)) {
		if held[name] != t.held[name] {
			t.log.Info("lease lost", "name", name, "token", t.held[name])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(held)) {
		if held[name] != t.held[name] {
			t.log.Info("lease held", "name", name, "token", held[name])
		}
	}
	t.held = held
	if t.keeper.Gone() && !t.leaving {
		t.leaving = true
		if t.copies != nil {
			t.say(t.copies.node.Leave(now))
		}
		t.log.Error("another process has this one's name: this one holds no lease and does no task any more", "name", t.cfg.Name)
	}
}

// do carries out what a task's runner wants. The caller has mu.
func (t *Tier) do(r *runner, a task.Action) {
	switch {
	case a.Look:
		asked := r.core.LookedAt()
		t.call(&call{q: consensus.Request{Pages: []string{r.cfg.Name}}, then: func(res consensus.Response) {
			if res.Pages != nil {
				r.core.Looked(t.clock.Now(), asked, res.Pages[r.cfg.Name])
			}
		}})
	case a.Command != nil:
		c := *a.Command
		t.call(&call{q: consensus.Request{Slot: &c}, then: func(res consensus.Response) {
			if res.Slot != nil {
				now := t.clock.Now()
				token, _, _ := t.keeper.Holding(now, leaseOf(r.cfg.Name))
				r.core.Answered(now, c, *res.Slot, token)
				if c.Op == task.Finish && res.Slot.Why == "" {
					t.log.Info("task slot", "task", r.cfg.Name, "slot", c.Slot, "outcome", string(c.Outcome), "token", c.Token)
				}
			}
		}})
	case a.Send != nil:
		s := *a.Send
		t.done.Go(func() { t.send(r, s) })
	}
}

// call asks the council, by whom this process takes for its leader. The caller has mu.
func (t *Tier) call(c *call) {
	if len(t.asks) >= mostAsks {
		if c.lost != nil {
			c.lost()
		}
		return // it is asked again
	}
	t.lastAsk++
	c.at = t.clock.Now()
	t.asks[t.lastAsk] = c
	t.pass(t.lastAsk, c)
}

// pass sends a request to whom this process takes for the leader. The caller has mu.
func (t *Tier) pass(handle uint64, c *call) {
	now := t.clock.Now()
	to := t.guide.Pick(now)
	c.to = to
	if to == t.cfg.Name && t.store != nil {
		q := c.q
		if !t.tryPost(func(s *seat) { t.ask(s, q, func(r consensus.Response) { t.answered(handle, r) }) }) {
			t.guide.Silence(now, to)
		}
		return
	}
	data, err := json.Marshal(asked{Handle: handle, Request: c.q})
	if err != nil {
		t.log.Error("a request that can't be written", "err", err)
		return
	}
	l := t.linkTo(to)
	if l == nil || !l.send(kindAsk, data) {
		t.guide.Silence(now, to)
	}
}

// asked is a request as it goes over a link, and its answer.
type asked struct {
	Handle   uint64             `json:"handle"`
	Request  consensus.Request  `json:"request,omitzero"`
	Response consensus.Response `json:"response,omitzero"`
	Status   *Status            `json:"status,omitempty"`

	// Of operators, to this very process; Why says what became of it.
	Found    bool      `json:"found,omitempty"`
	Handover *handover `json:"handover,omitempty"`
	Forget   string    `json:"forget,omitempty"`
	Why      string    `json:"why,omitempty"`
}

// answered takes an answer of the council. One who does not lead says who may: the same request goes there, a few times.
func (t *Tier) answered(handle uint64, r consensus.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.asks[handle]
	if c == nil {
		return
	}
	if r.Elsewhere {
		if t.guide.Elsewhere(t.clock.Now(), c.to, r.Leader) && c.hops < mostHops {
			c.hops++
			t.pass(handle, c)
			return
		}
		delete(t.asks, handle)
		c.then(r)
		return
	}
	t.guide.Led(c.to)
	delete(t.asks, handle)
	c.then(r)
	t.keep()
}

// linkTo is the way to a member, nil if there is none of that name. The caller has mu.
func (t *Tier) linkTo(name string) *link {
	if l := t.links[name]; l != nil {
		return l
	}
	address := t.cfg.Members[name]
	if address == "" || name == t.cfg.Name || t.ctx.Err() != nil {
		return nil
	}
	l := newLink(address, t.secret, func() hello {
		t.mu.Lock()
		defer t.mu.Unlock()
		return hello{Name: t.cfg.Name, To: name, Fleet: t.fleet}
	}, t.take, func(err error) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.guide.Silence(t.clock.Now(), name)
		if t.linkErr[name] != err.Error() {
			t.linkErr[name] = err.Error()
			t.log.Warn("the link to a member is broken", "member", name, "err", err)
		}
	})
	l.sent, l.met = &t.sent, t.hear
	t.links[name] = l
	t.done.Go(func() { l.run(t.ctx) })
	return l
}

// hear notes of which fleet a member is.
func (t *Tier) hear(h hello) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard = cmp.Or(h.Fleet, t.heard)
}

// post has the council's goroutine do something; it waits for room.
func (t *Tier) post(f func(*seat)) {
	select {
	case t.inbox <- f:
	case <-t.ctx.Done():
	}
}

func (t *Tier) tryPost(f func(*seat)) bool {
	select {
	case t.inbox <- f:
		return true
	default:
		return false
	}
}

// accept takes the connections of others.
func (t *Tier) accept() {
	room := make(chan struct{}, mostInward)
	for {
		raw, err := t.ln.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			select {
			case <-t.ctx.Done():
				return
			case <-time.After(20 * time.Millisecond): // out of descriptors, say
			}
			continue
		}
		select {
		case room <- struct{}{}:
		default:
			raw.Close()
			t.complain("", errors.New("too many connections"))
			continue
		}
		t.done.Go(func() {
			defer func() { <-room }()
			t.serve(raw)
		})
	}
}

func (t *Tier) serve(raw net.Conn) {
	defer raw.Close()
	stop := context.AfterFunc(t.ctx, func() { raw.Close() })
	defer stop()
	t.mu.Lock()
	me := hello{Name: t.cfg.Name, Fleet: t.fleet}
	t.mu.Unlock()
	c, err := accept(raw, t.secret, me, func(h hello) error {
		switch {
		case h.Name != operatorName && t.cfg.Members[h.Name] == "":
			return fmt.Errorf("%q: %w", h.Name, errNobody)
		case h.To != "" && h.To != t.cfg.Name:
			return fmt.Errorf("%q looks for %q here", h.Name, h.To)
		case h.Fleet != "" && me.Fleet != "" && h.Fleet != me.Fleet:
			return fmt.Errorf("%q is of the fleet %s, and this process of %s", h.Name, h.Fleet, me.Fleet)
		}
		return nil
	})
	if err != nil {
		t.complain(raw.RemoteAddr().String(), err)
		return
	}
	c.sent = &t.sent
	t.mu.Lock()
	t.heard = cmp.Or(c.peer.Fleet, t.heard)
	t.conns[c] = struct{}{}
	t.inward[c.peer.Name] = c
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.conns, c)
		if t.inward[c.peer.Name] == c {
			delete(t.inward, c.peer.Name)
		}
		t.mu.Unlock()
	}()
	for {
		c.SetReadDeadline(time.Now().Add(2 * idleTime))
		kind, payload, err := c.read(mostFrame)
		if err != nil {
			if errors.Is(err, errTag) || errors.Is(err, errLong) {
				t.complain(c.peer.Name, err)
			}
			return
		}
		t.take(c, kind, payload)
	}
}

// complain logs connections that are turned away, once a second at most.
func (t *Tier) complain(from string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused++
	if now := t.clock.Now(); now >= t.toldAt+complainTime {
		t.log.Warn("a connection to the tier was turned away", "from", from, "err", err, "count", t.refused)
		t.refused, t.toldAt = 0, now
	}
}

// take takes a frame.
func (t *Tier) take(c *conn, kind byte, payload []byte) {
	switch kind {
	case kindRaft:
		m, err := consensus.DecodeMessage(payload)
		if err != nil {
			t.complain(c.peer.Name, err)
			return
		}
		from := c.peer.Name
		t.post(func(s *seat) {
			if s.node == nil {
				return
			}
			s.node.Heard(m.GetFrom(), from)
			if err := s.node.Step(t.clock.Now(), m); err != nil {
				t.complain(from, err)
			}
		})
	case kindAsk:
		var a asked
		if err := json.Unmarshal(payload, &a); err != nil {
			t.complain(c.peer.Name, err)
			return
		}
		t.serveAsk(c, a)
	case kindAnswer:
		var a asked
		if err := json.Unmarshal(payload, &a); err != nil {
			t.complain(c.peer.Name, err)
			return
		}
		t.answered(a.Handle, a.Response)
	case kindPing:
		if c.write(kindPong, nil) != nil {
			c.Close()
		}
	case kindGossip:
		t.hearCopies(c.peer.Name, payload)
	case kindWake:
		t.mu.Lock()
		t.keeper.Wake()
		t.keep()
		t.mu.Unlock()
	}
}

// serveAsk answers a request of another process, or of an operator: of those it finds out itself who can answer.
func (t *Tier) serveAsk(c *conn, a asked) {
	say := func(b asked) {
		b.Handle = a.Handle
		data, err := json.Marshal(b)
		if err != nil {
			t.log.Error("an answer that can't be written", "err", err)
			return
		}
		if err := c.write(kindAnswer, data); err != nil {
			c.Close()
		}
	}
	answer := func(r consensus.Response, s *Status) { say(asked{Response: r, Status: s}) }
	done := func(err error) {
		if err != nil {
			say(asked{Why: err.Error()})
			return
		}
		say(asked{})
	}
	switch {
	case c.peer.Name == operatorName && a.Found:
		t.post(func(s *seat) { done(t.found(s)) })
	case c.peer.Name == operatorName && a.Handover != nil:
		done(t.handOver(*a.Handover))
	case c.peer.Name == operatorName && a.Forget != "":
		done(t.forget(a.Forget))
	case a.Request.State:
		t.status(func(s *Status) { answer(consensus.Response{}, s) })
	case c.peer.Name == operatorName:
		t.mu.Lock()
		defer t.mu.Unlock()
		c := &call{q: a.Request, then: func(r consensus.Response) { t.done.Go(func() { answer(r, nil) }) }}
		if o := a.Request.Order; o != nil && o.Built { // its answer may be lost with a leader: asking again has no second effect
			c.lost = func() { c.then(consensus.Response{Elsewhere: true}) }
		}
		t.call(c)
	case t.store == nil:
		answer(consensus.Response{Elsewhere: true}, nil)
	default:
		t.post(func(s *seat) { t.ask(s, a.Request, func(r consensus.Response) { answer(r, nil) }) })
	}
}
