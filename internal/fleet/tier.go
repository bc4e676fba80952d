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
	Name           string
	Secret         string            // file
	Store          string            // file; empty: this process has no seat, or keeps what it promises in memory
	VotersInMemory bool              // the council is in memory: with its majority all that was promised is forgotten
	Voters         []string          // who may have a seat
	Members        map[string]string // addresses by name
	Rules          lease.Timing
	Tick           time.Duration // of the council: a leader that is silent for ten is replaced
	Tasks          []Task
	SharedState    *SharedStateConfig // nil: the process shares no state with others
	Zones          *ZonesConfig       // nil: no zone is left by itself
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
	Do(ctx context.Context, pool string, q *httpmsg.Request) (httpmsg.Response, error)
}

const (
	maxPendingRequests   = 1024 // of this process, without their answers
	inboxLength          = 1024
	maxForwards          = 3
	minSecretBytes       = 16
	leaveTimeout         = 3 * time.Second
	operatorName         = "operator"
	manyLeases           = 256
	leaseLogInterval     = 200 * time.Millisecond // with many leases
	rejectionLogInterval = time.Second            // between two lines on connections that were turned away
)

// Host is one process' part.
type Host struct {
	cfg      Config
	log      *slog.Logger
	clock    *Clock
	secret   []byte
	store    voterStore // nil: no seat
	listener net.Listener
	sender   Sender
	fleetID  string // of the store, once it is known
	traffic  traffic

	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	inbox      chan func(*voter)
	timer      *time.Timer

	mu                  sync.Mutex
	session             *lease.Client
	runners             map[string]*taskRunner
	links               map[string]*link
	inbound             map[string]*conn // by the peer's name, the newest
	conns               map[*conn]struct{}
	pending             map[uint64]*pendingRequest
	lastHandle          uint64
	leader              *consensus.LeaderTracker
	loggedLeases        map[string]uint64 // as it was logged
	leaving             bool
	loggedChanges       uint64 // keeper's changes that were told
	loggedLapsed        bool   // the session had, then
	leasesLoggedAt      time.Duration
	rejectedConnections int // connections turned away since that was logged
	rejectionLoggedAt   time.Duration
	linkErrors          map[string]string
	shared              *sharedState      // nil: none
	peerFleetID         string            // a fleet that a member is of
	handovers           map[string]string // leases that go to a member once nothing of them is out
}

type taskRunner struct {
	cfg       Task
	core      *task.Runner
	notBefore time.Duration // not to be asked before
}

// pendingRequest is a request of this process to the council.
type pendingRequest struct {
	request    consensus.Request
	onResponse func(consensus.Response) // called under mu
	forwards   int
	sentAt     time.Duration
	sentTo     string // whom it went to last
	late       bool   // it was not answered in time
	onLost     func() // called under mu once no answer is waited for any more; nil: it is asked again by itself
}

// voter is this process' part in the council. Only the council's goroutine has it.
type voter struct {
	node          *consensus.Node
	callbacks     map[uint64]func(consensus.Response)
	lastHandle    uint64
	nextAdmission time.Duration
	err           error
}

// New makes the part of a process. It opens its store and its listener, and does nothing yet.
func New(cfg Config, log *slog.Logger) (*Host, error) {
	secret, err := os.ReadFile(cfg.Secret)
	if err != nil {
		return nil, fmt.Errorf("the tier's secret: %w", err)
	}
	if len(secret) < minSecretBytes {
		return nil, fmt.Errorf("%s: the tier's secret has %d bytes, fewer than %d", cfg.Secret, len(secret), minSecretBytes)
	}
	clock, err := NewClock()
	if err != nil {
		return nil, err
	}
	t := &Host{
		cfg: cfg, log: log.With("tier", cfg.Name), clock: clock, secret: secret, inbox: make(chan func(*voter), inboxLength),
		session: lease.NewClient(cfg.Rules, cfg.Name, uuid.NewString()), runners: map[string]*taskRunner{}, links: map[string]*link{},
		inbound: map[string]*conn{}, conns: map[*conn]struct{}{}, pending: map[uint64]*pendingRequest{}, loggedLeases: map[string]uint64{}, linkErrors: map[string]string{}, handovers: map[string]string{},
		rejectionLoggedAt: -rejectionLogInterval, leader: consensus.NewLeaderTracker(cfg.Voters, len(cfg.Name), cfg.Rules.KeepAliveInterval()),
	}
	t.ctx, t.stop = context.WithCancel(context.Background())
	if cfg.Store != "" {
		store, err := OpenStore(cfg.Store, cfg.Name)
		if err != nil {
			return nil, err
		}
		t.store, t.fleetID = store, store.Identity().Fleet
	} else if cfg.VotersInMemory && slices.Contains(cfg.Voters, cfg.Name) {
		t.store = newMemory(cfg.Name)
	}
	if t.listener, err = net.Listen("tcp", cfg.Members[cfg.Name]); err != nil {
		if t.store != nil {
			t.store.Close()
		}
		return nil, fmt.Errorf("the tier's address: %w", err)
	}
	return t, nil
}

// Start begins to take part. Requests of tasks go through s.
func (t *Host) Start(s Sender) error {
	t.sender = s
	st := &voter{callbacks: map[uint64]func(consensus.Response){}}
	if t.store != nil {
		if err := t.openVoter(st); err != nil {
			return err
		}
	}
	t.mu.Lock()
	for _, cfg := range t.cfg.Tasks {
		t.runners[cfg.Name] = &taskRunner{cfg: cfg, core: task.NewRunner(cfg.Spec, t.cfg.Rules.KeepAliveInterval()/2, t.cfg.Rules.KeepAliveInterval())}
		t.session.Acquire(taskLeaseName(cfg.Name), 1)
	}
	err := t.startSharedState(s)
	t.timer = time.NewTimer(0)
	t.mu.Unlock()
	if err != nil {
		return err
	}
	t.goroutines.Go(t.acceptConnections)
	t.goroutines.Go(func() { t.runConsensus(st) })
	t.goroutines.Go(t.runTimers)
	t.log.Info("the tier is up", "address", t.listener.Addr().String(), "incarnation", t.incarnation(), "seat", t.store != nil, "fleet", t.fleetID)
	return nil
}

func (t *Host) incarnation() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.session.Incarnation()
}

// Addr is where other processes connect.
func (t *Host) Addr() string { return t.listener.Addr().String() }

// taskLeaseName is the lease whose holder does a task.
func taskLeaseName(task string) string { return "task/" + task }

// Leave gives up in order what this process holds, and hands on the council's lead: nobody has to wait for a term. It returns once
// that has been heard, or soon. What is out for tasks is waited for first.
func (t *Host) Leave() {
	until := time.Now().Add(leaveTimeout)
	t.mu.Lock()
	t.leaving = true
	if t.shared != nil {
		t.sendGossip(t.shared.node.Leave(t.clock.Now()))
	}
	t.mu.Unlock()
	for time.Now().Before(until) && t.hasRunningTasks() {
		time.Sleep(5 * time.Millisecond)
	}
	t.mu.Lock()
	t.session.Close()
	t.runDue()
	t.mu.Unlock()
	for time.Now().Before(until) {
		t.mu.Lock()
		closed := t.session.Closed() || t.session.SessionID() == 0
		t.mu.Unlock()
		if closed {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	handed := make(chan struct{})
	t.enqueue(func(s *voter) {
		if s.node != nil {
			s.node.TransferLeadership()
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

func (t *Host) hasRunningTasks() bool {
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
func (t *Host) Close() error {
	t.stop()
	t.listener.Close()
	t.mu.Lock()
	for c := range t.conns {
		c.Close()
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	t.mu.Unlock()
	t.goroutines.Wait()
	if t.store != nil {
		return t.store.Close()
	}
	return nil
}

// HeldLease says whether this process may act on a lease now, with which fencing token, and for how long at most.
func (t *Host) HeldLease(name string) (token uint64, left time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	token, until, ok := t.session.Token(now, name)
	return token, t.clock.Real(until - now), ok
}

// AcquireLease has this process hold a lease, of which limit may be held at once over the fleet, or wait for it.
func (t *Host) AcquireLease(name string, limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.session.Acquire(name, limit)
	t.runDue()
}

// ReleaseLease gives a lease up, to a member or, with an empty name, to whoever waits. What is done under it must have ended.
func (t *Host) ReleaseLease(name, to string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.session.Release(name, to)
	t.runDue()
}

// GuardLease returns a context that ends before the process' right to act on a lease does, and the token to act with. A resource that checks
// tokens is safe against all that comes later than that; for one that does not, an act that was begun in time and arrives late is not.
func (t *Host) GuardLease(ctx context.Context, name string) (context.Context, context.CancelFunc, uint64, error) {
	token, left, ok := t.HeldLease(name)
	if !ok {
		return nil, nil, 0, fmt.Errorf("the lease %q is not held here", name)
	}
	ctx, cancel := context.WithCancel(ctx)
	var again func(d time.Duration)
	again = func(d time.Duration) {
		timer := time.AfterFunc(d, func() {
			if now, left, ok := t.HeldLease(name); ok && now == token {
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

// runTimers looks at what is to be asked and done, whenever that is due.
func (t *Host) runTimers() {
	var nudge chan struct{}
	if t.shared != nil {
		nudge = t.shared.observed
	}
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-nudge:
			t.scheduleObservations()
			continue
		case <-t.timer.C:
		}
		t.mu.Lock()
		t.runDue()
		t.mu.Unlock()
	}
}

// runDue does what is due for the leases and the tasks. The caller has mu.
func (t *Host) runDue() {
	if t.timer == nil || t.ctx.Err() != nil {
		return
	}
	now := t.clock.Now()
	t.finishHandovers()
	asks, at := t.session.Next(now)
	for _, a := range asks {
		t.submit(&pendingRequest{request: consensus.Request{Lease: &a}, onResponse: func(r consensus.Response) {
			t.noteDecided(now, r.Digest)
			if r.Lease != nil {
				t.session.HandleResponse(*r.Lease)
			}
		}})
	}
	t.logLeaseChanges(now)
	wall := time.Now()
	for _, r := range t.runners {
		token, until, _ := t.session.Token(now, taskLeaseName(r.cfg.Name))
		if _, passing := t.handovers[taskLeaseName(r.cfg.Name)]; (t.leaving || passing) && !r.core.Busy() {
			continue
		}
		act, next := r.core.Next(now, wall, token, until)
		t.runTaskAction(r, act)
		at = min(at, next)
	}
	if t.shared != nil {
		at = min(at, t.runGossip(now))
	}
	for handle, c := range t.pending { // those whose answer is late, or was lost
		if !c.late && now > c.sentAt+t.cfg.Rules.KeepAliveInterval()/2 {
			c.late = true
			t.leader.Unreachable(now, c.sentTo)
		}
		if now > c.sentAt+t.cfg.Rules.TTL {
			delete(t.pending, handle)
			if c.onLost != nil {
				c.onLost()
			}
		}
	}
	t.timer.Reset(max(time.Millisecond, min(t.clock.Real(at-now), t.cfg.Rules.TTL)))
}

// logLeaseChanges logs what has changed of what this process holds. The caller has mu.
func (t *Host) logLeaseChanges(now time.Duration) {
	// With many leases each look costs.
	n, lapsed := t.session.Revision(), now >= t.session.ValidUntil()
	if n == t.loggedChanges && lapsed == t.loggedLapsed || len(t.loggedLeases) > manyLeases && now < t.leasesLoggedAt+leaseLogInterval {
		return
	}
	t.loggedChanges, t.loggedLapsed, t.leasesLoggedAt = n, lapsed, now
	held := map[string]uint64{}
	for _, name := range t.session.Held(now) {
		if token, _, ok := t.session.Token(now, name); ok {
			held[name] = token
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.loggedLeases)) {
		if held[name] != t.loggedLeases[name] {
			t.log.Info("lease lost", "name", name, "token", t.loggedLeases[name])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(held)) {
		if held[name] != t.loggedLeases[name] {
			t.log.Info("lease held", "name", name, "token", held[name])
		}
	}
	t.loggedLeases = held
	if t.session.Superseded() && !t.leaving {
		t.leaving = true
		if t.shared != nil {
			t.sendGossip(t.shared.node.Leave(now))
		}
		t.log.Error("another process has this one's name: this one holds no lease and does no task any more", "name", t.cfg.Name)
	}
}

// runTaskAction carries out what a task's runner wants. The caller has mu.
func (t *Host) runTaskAction(r *taskRunner, a task.Action) {
	switch {
	case a.FetchRecord:
		asked := r.core.FetchedAt()
		t.submit(&pendingRequest{request: consensus.Request{TaskRecords: []string{r.cfg.Name}}, onResponse: func(res consensus.Response) {
			if res.TaskRecords != nil {
				r.core.HandleRecord(asked, res.TaskRecords[r.cfg.Name])
			}
		}})
	case a.Command != nil:
		c := *a.Command
		t.submit(&pendingRequest{request: consensus.Request{Task: &c}, onResponse: func(res consensus.Response) {
			if res.Task != nil {
				now := t.clock.Now()
				token, _, _ := t.session.Token(now, taskLeaseName(r.cfg.Name))
				r.core.HandleResult(now, c, *res.Task, token)
				if c.Op == task.OpFinish && res.Task.Refusal == "" {
					t.log.Info("task slot", "task", r.cfg.Name, "slot", c.Slot, "outcome", string(c.Outcome), "token", c.Token)
				}
			}
		}})
	case a.Send != nil:
		s := *a.Send
		t.goroutines.Go(func() { t.sendTaskRequest(r, s) })
	}
}

// submit asks the council, by whom this process takes for its leader. The caller has mu.
func (t *Host) submit(c *pendingRequest) {
	if len(t.pending) >= maxPendingRequests {
		if c.onLost != nil {
			c.onLost()
		}
		return // it is asked again
	}
	t.lastHandle++
	c.sentAt = t.clock.Now()
	t.pending[t.lastHandle] = c
	t.sendToLeader(t.lastHandle, c)
}

// sendToLeader sends a request to whom this process takes for the leader. The caller has mu.
func (t *Host) sendToLeader(handle uint64, c *pendingRequest) {
	now := t.clock.Now()
	to := t.leader.Pick(now)
	c.sentTo = to
	if to == t.cfg.Name && t.store != nil {
		q := c.request
		if !t.tryEnqueue(func(s *voter) { t.propose(s, q, func(r consensus.Response) { t.handleResponse(handle, r) }) }) {
			t.leader.Unreachable(now, to)
		}
		return
	}
	data, err := json.Marshal(rpc{Handle: handle, Request: c.request})
	if err != nil {
		t.log.Error("a request that can't be written", "err", err)
		return
	}
	l := t.linkTo(to)
	if l == nil || !l.send(kindRequest, data) {
		t.leader.Unreachable(now, to)
	}
}

// rpc is a request as it goes over a link, and its answer.
type rpc struct {
	Handle   uint64             `json:"handle"`
	Request  consensus.Request  `json:"request,omitzero"`
	Response consensus.Response `json:"response,omitzero"`
	Status   *Status            `json:"status,omitempty"`

	// Of operators, to this very process; Why says what became of it.
	Found    bool             `json:"found,omitempty"`
	Handover *handoverRequest `json:"handover,omitempty"`
	Forget   string           `json:"forget,omitempty"`
	Why      string           `json:"why,omitempty"`
}

// handleResponse takes an answer of the council. One who does not lead says who may: the same request goes there, a few times.
func (t *Host) handleResponse(handle uint64, r consensus.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.pending[handle]
	if c == nil {
		return
	}
	if r.NotLeader {
		if t.leader.Redirected(t.clock.Now(), c.sentTo, r.Leader) && c.forwards < maxForwards {
			c.forwards++
			t.sendToLeader(handle, c)
			return
		}
		delete(t.pending, handle)
		c.onResponse(r)
		return
	}
	t.leader.LeaderConfirmed(c.sentTo)
	delete(t.pending, handle)
	c.onResponse(r)
	t.runDue()
}

// linkTo is the way to a member, nil if there is none of that name. The caller has mu.
func (t *Host) linkTo(name string) *link {
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
		return hello{Name: t.cfg.Name, To: name, Fleet: t.fleetID}
	}, t.handleFrame, func(err error) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.leader.Unreachable(t.clock.Now(), name)
		if t.linkErrors[name] != err.Error() {
			t.linkErrors[name] = err.Error()
			t.log.Warn("the link to a member is broken", "member", name, "err", err)
		}
	})
	l.traffic, l.onHello = &t.traffic, t.notePeerFleet
	t.links[name] = l
	t.goroutines.Go(func() { l.run(t.ctx) })
	return l
}

// notePeerFleet notes of which fleet a member is.
func (t *Host) notePeerFleet(h hello) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerFleetID = cmp.Or(h.Fleet, t.peerFleetID)
}

// enqueue has the council's goroutine do something; it waits for room.
func (t *Host) enqueue(f func(*voter)) {
	select {
	case t.inbox <- f:
	case <-t.ctx.Done():
	}
}

func (t *Host) tryEnqueue(f func(*voter)) bool {
	select {
	case t.inbox <- f:
		return true
	default:
		return false
	}
}

// acceptConnections takes the connections of others.
func (t *Host) acceptConnections() {
	room := make(chan struct{}, maxInboundConnections)
	for {
		raw, err := t.listener.Accept()
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
			t.logRejectedConnection("", errors.New("too many connections"))
			continue
		}
		t.goroutines.Go(func() {
			defer func() { <-room }()
			t.serveConnection(raw)
		})
	}
}

func (t *Host) serveConnection(raw net.Conn) {
	defer raw.Close()
	stop := context.AfterFunc(t.ctx, func() { raw.Close() })
	defer stop()
	t.mu.Lock()
	me := hello{Name: t.cfg.Name, Fleet: t.fleetID}
	t.mu.Unlock()
	c, err := acceptConn(raw, t.secret, me, func(h hello) error {
		switch {
		case h.Name != operatorName && t.cfg.Members[h.Name] == "":
			return fmt.Errorf("%q: %w", h.Name, errUnknownMember)
		case h.To != "" && h.To != t.cfg.Name:
			return fmt.Errorf("%q looks for %q here", h.Name, h.To)
		case h.Fleet != "" && me.Fleet != "" && h.Fleet != me.Fleet:
			return fmt.Errorf("%q is of the fleet %s, and this process of %s", h.Name, h.Fleet, me.Fleet)
		}
		return nil
	})
	if err != nil {
		t.logRejectedConnection(raw.RemoteAddr().String(), err)
		return
	}
	c.traffic = &t.traffic
	t.mu.Lock()
	t.peerFleetID = cmp.Or(c.peer.Fleet, t.peerFleetID)
	t.conns[c] = struct{}{}
	t.inbound[c.peer.Name] = c
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.conns, c)
		if t.inbound[c.peer.Name] == c {
			delete(t.inbound, c.peer.Name)
		}
		t.mu.Unlock()
	}()
	for {
		c.SetReadDeadline(time.Now().Add(2 * idleTimeout))
		kind, payload, err := c.read(maxFrameBytes)
		if err != nil {
			if errors.Is(err, errBadTag) || errors.Is(err, errFrameTooLong) {
				t.logRejectedConnection(c.peer.Name, err)
			}
			return
		}
		t.handleFrame(c, kind, payload)
	}
}

// logRejectedConnection logs connections that are turned away, once a second at most.
func (t *Host) logRejectedConnection(from string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rejectedConnections++
	if now := t.clock.Now(); now >= t.rejectionLoggedAt+rejectionLogInterval {
		t.log.Warn("a connection to the tier was turned away", "from", from, "err", err, "count", t.rejectedConnections)
		t.rejectedConnections, t.rejectionLoggedAt = 0, now
	}
}

// handleFrame takes a frame.
func (t *Host) handleFrame(c *conn, kind byte, payload []byte) {
	switch kind {
	case kindRaft:
		m, err := consensus.DecodeMessage(payload)
		if err != nil {
			t.logRejectedConnection(c.peer.Name, err)
			return
		}
		from := c.peer.Name
		t.enqueue(func(s *voter) {
			if s.node == nil {
				return
			}
			s.node.LearnName(m.GetFrom(), from)
			if err := s.node.Step(t.clock.Now(), m); err != nil {
				t.logRejectedConnection(from, err)
			}
		})
	case kindRequest:
		var a rpc
		if err := json.Unmarshal(payload, &a); err != nil {
			t.logRejectedConnection(c.peer.Name, err)
			return
		}
		t.serveRequest(c, a)
	case kindResponse:
		var a rpc
		if err := json.Unmarshal(payload, &a); err != nil {
			t.logRejectedConnection(c.peer.Name, err)
			return
		}
		t.handleResponse(a.Handle, a.Response)
	case kindPing:
		if c.write(kindPong, nil) != nil {
			c.Close()
		}
	case kindGossip:
		t.handleGossip(c.peer.Name, payload)
	case kindWake:
		t.mu.Lock()
		t.session.Refresh()
		t.runDue()
		t.mu.Unlock()
	}
}

// serveRequest answers a request of another process, or of an operator: of those it finds out itself who can answer.
func (t *Host) serveRequest(c *conn, a rpc) {
	say := func(b rpc) {
		b.Handle = a.Handle
		data, err := json.Marshal(b)
		if err != nil {
			t.log.Error("an answer that can't be written", "err", err)
			return
		}
		if err := c.write(kindResponse, data); err != nil {
			c.Close()
		}
	}
	answer := func(r consensus.Response, s *Status) { say(rpc{Response: r, Status: s}) }
	done := func(err error) {
		if err != nil {
			say(rpc{Why: err.Error()})
			return
		}
		say(rpc{})
	}
	switch {
	case c.peer.Name == operatorName && a.Found:
		t.enqueue(func(s *voter) { done(t.bootstrap(s)) })
	case c.peer.Name == operatorName && a.Handover != nil:
		done(t.startHandover(*a.Handover))
	case c.peer.Name == operatorName && a.Forget != "":
		done(t.forgetEntry(a.Forget))
	case a.Request.Status:
		t.status(func(s *Status) { answer(consensus.Response{}, s) })
	case c.peer.Name == operatorName:
		t.mu.Lock()
		defer t.mu.Unlock()
		c := &pendingRequest{request: a.Request, onResponse: func(r consensus.Response) { t.goroutines.Go(func() { answer(r, nil) }) }}
		if o := a.Request.Decision; o != nil && o.Conditional { // its answer may be lost with a leader: asking again has no second effect
			c.onLost = func() { c.onResponse(consensus.Response{NotLeader: true}) }
		}
		t.submit(c)
	case t.store == nil:
		answer(consensus.Response{NotLeader: true}, nil)
	default:
		t.enqueue(func(s *voter) { t.propose(s, a.Request, func(r consensus.Response) { answer(r, nil) }) })
	}
}
