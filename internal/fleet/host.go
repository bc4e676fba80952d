// Package fleet hosts the part of a process in a fleet whose members know each other. It owns the sockets, files, clocks and
// goroutines of that part: the links between members, the process' vote in the consensus group, its session and leases, its tasks,
// and its copy of the state shared by gossip. What is decided is decided by packages consensus, lease, task, gossip, zonefailover
// and zoneview; this one feeds them events and carries out their answers.
//
// Host is the entry point. Each concern has its file: voter (consensus), leases, tasks, requests (to the leader), connections
// (from and to members), link and conn (transport), store, sharedstate (gossip), exclusions, zones, status and operator.
package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"

	"github.com/google/uuid"
)

const (
	minSecretBytes = 16
	leaveTimeout   = 3 * time.Second // for all that Host.Leave waits for
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
func (h *Host) Start(s Sender) error {
	h.sender = s
	st := &voter{callbacks: map[uint64]func(consensus.Response){}}
	if h.store != nil {
		if err := h.openVoter(st); err != nil {
			return err
		}
	}
	h.mu.Lock()
	for _, cfg := range h.cfg.Tasks {
		h.runners[cfg.Name] = &taskRunner{cfg: cfg, core: task.NewRunner(cfg.Spec, h.cfg.Rules.KeepAliveInterval()/2, h.cfg.Rules.KeepAliveInterval())}
		h.session.Acquire(taskLeaseName(cfg.Name), 1)
	}
	err := h.startSharedState(s)
	h.timer = time.NewTimer(0)
	h.mu.Unlock()
	if err != nil {
		return err
	}
	h.goroutines.Go(h.acceptConnections)
	h.goroutines.Go(func() { h.runConsensus(st) })
	h.goroutines.Go(h.runTimers)
	h.log.Info("the tier is up", "address", h.listener.Addr().String(), "incarnation", h.incarnation(), "seat", h.store != nil, "fleet", h.fleetID)
	return nil
}

func (h *Host) incarnation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.session.Incarnation()
}

// Addr is where other processes connect.
func (h *Host) Addr() string { return h.listener.Addr().String() }

// Leave gives up in order what this process holds, and hands on the council's lead: nobody has to wait for a term. It returns once
// that has been heard, or soon. What is out for tasks is waited for first.
func (h *Host) Leave() {
	until := time.Now().Add(leaveTimeout)
	h.mu.Lock()
	h.leaving = true
	if h.shared != nil {
		h.sendGossip(h.shared.node.Leave(h.clock.Now()))
	}
	h.mu.Unlock()
	for time.Now().Before(until) && h.hasRunningTasks() {
		time.Sleep(5 * time.Millisecond)
	}
	h.mu.Lock()
	h.session.Close()
	h.runDue()
	h.mu.Unlock()
	for time.Now().Before(until) {
		h.mu.Lock()
		closed := h.session.Closed() || h.session.SessionID() == 0
		h.mu.Unlock()
		if closed {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	handed := make(chan struct{})
	h.enqueue(func(s *voter) {
		if s.node != nil {
			s.node.TransferLeadership()
		}
		close(handed)
	})
	select {
	case <-handed:
		time.Sleep(2 * h.cfg.Tick) // the successor asks for votes
	case <-h.ctx.Done():
	case <-time.After(time.Second):
	}
}

// Close ends at once.
func (h *Host) Close() error {
	h.stop()
	h.listener.Close()
	h.mu.Lock()
	for c := range h.conns {
		c.Close()
	}
	if h.timer != nil {
		h.timer.Stop()
	}
	h.mu.Unlock()
	h.goroutines.Wait()
	if h.store != nil {
		return h.store.Close()
	}
	return nil
}

// runTimers looks at what is to be asked and done, whenever that is due.
func (h *Host) runTimers() {
	var nudge chan struct{}
	if h.shared != nil {
		nudge = h.shared.observed
	}
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-nudge:
			h.scheduleObservations()
			continue
		case <-h.timer.C:
		}
		h.mu.Lock()
		h.runDue()
		h.mu.Unlock()
	}
}

// runDue does what is due for the leases and the tasks. The caller has mu.
func (h *Host) runDue() {
	if h.timer == nil || h.ctx.Err() != nil {
		return
	}
	now := h.clock.Now()
	h.finishHandovers()
	asks, at := h.session.Next(now)
	for _, a := range asks {
		h.submit(&pendingRequest{request: consensus.Request{Lease: &a}, onResponse: func(r consensus.Response) {
			h.noteDecisionDigest(now, r.Digest)
			if r.Lease != nil {
				h.session.HandleResponse(h.clock.Now(), *r.Lease)
			}
		}})
	}
	h.logLeaseChanges(now)
	wall := time.Now()
	for _, r := range h.runners {
		token, until, _ := h.session.Token(now, taskLeaseName(r.cfg.Name))
		if _, passing := h.handovers[taskLeaseName(r.cfg.Name)]; (h.leaving || passing) && !r.core.Busy() {
			continue
		}
		act, next := r.core.Next(now, wall, token, until)
		h.runTaskAction(r, act)
		at = min(at, next)
	}
	if h.shared != nil {
		at = min(at, h.runGossip(now))
	}
	for handle, c := range h.pending { // those whose answer is late, or was lost
		if !c.late && now > c.sentAt+h.cfg.Rules.KeepAliveInterval()/2 {
			c.late = true
			h.leader.Unreachable(now, c.sentTo)
		}
		if now > c.sentAt+h.cfg.Rules.TTL {
			delete(h.pending, handle)
			if c.onLost != nil {
				c.onLost()
			}
		}
	}
	h.timer.Reset(max(time.Millisecond, min(h.clock.Real(at-now), h.cfg.Rules.TTL)))
}
