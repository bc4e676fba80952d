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
	"errors"
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
	leaveTimeout   = 3 * time.Second // for the tasks and the session that Host.Leave waits for

	leavePollInterval = 5 * time.Millisecond
	transferTimeout   = time.Second // for the consensus goroutine to take the transfer of leadership
)

// Config is the part of a process in its fleet.
type Config struct {
	Name           string            // of this process
	Secret         string            // file with the secret that all members share
	Store          string            // file of the voter; empty: the process has no vote, or VotersInMemory is set
	VotersInMemory bool              // voters keep their state in memory: it is lost with a majority of them
	Voters         []string          // names of the members that may vote
	Members        map[string]string // addresses by name
	LeaseTiming    lease.Timing
	Tick           time.Duration // of raft; a leader that is silent for ten ticks is replaced
	Tasks          []Task
	SharedState    *SharedStateConfig // nil: the process shares no state
	Zones          *ZonesConfig       // nil: no zone is failed over from automatically
}

// Task is a task that is done once for the whole fleet, by a request to one of the process' pools.
type Task struct {
	task.Spec
	Pool, Method, Path, Tenant, Body string

	Plain bool   // the pool speaks ordinary HTTP, see package httpservice
	Host  string // of the request; empty: the pool's name
}

// Sender sends a request through one of the process' pools, which balance and retry it like those of clients.
type Sender interface {
	Do(ctx context.Context, pool string, q *httpmsg.Request) (httpmsg.Response, error)
}

// Host is the part of a process in its fleet. Its methods are safe for concurrent use.
//
// Its goroutines: runTimers does what is due, runConsensus owns the voter, acceptConnections the listener; applyToPools and watchZones work with
// the pools, if state is shared; each link and connection has its own, and so has each task request and each save of the shared state. mu is
// never held while a pool, the store or a connection is waited for.
type Host struct {
	cfg      Config
	log      *slog.Logger
	clock    *Clock
	secret   []byte
	store    voterStore // nil: the process has no vote
	listener net.Listener
	sender   Sender
	traffic  traffic

	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	inbox      chan func(*voter) // work for the consensus goroutine
	timer      *time.Timer       // runs runDue

	// mu guards the fields below and all of shared but its channels.
	mu      sync.Mutex
	leaving bool   // no further slot is started: the process ends, or another one has its name
	fleetID string // that this process is admitted to; empty: not yet
	shared  *sharedState

	// Leases and tasks.
	session   *lease.Client
	runners   map[string]*taskRunner // by task
	handovers map[string]string      // members that get a lease once its task has nothing in flight

	// Requests to the leader.
	leader     *consensus.LeaderTracker
	pending    map[uint64]*pendingRequest // by handle
	lastHandle uint64

	// Connections.
	links       map[string]*link // to members, by name
	inbound     map[string]*conn // from members, by name: the newest
	conns       map[*conn]struct{}
	linkErrors  map[string]string // by member, as last logged
	peerFleetID string            // that a member said it is of

	// What the log was told last.
	loggedLeases        map[string]uint64 // tokens by name
	loggedChanges       uint64            // revision of the session
	loggedLapsed        bool              // the session had expired
	leasesLoggedAt      time.Duration
	rejectedConnections int // since rejectionLoggedAt
	rejectionLoggedAt   time.Duration
}

// New opens the store and the listener of a process. Nothing runs before Start.
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
	h := &Host{
		cfg:    cfg,
		log:    log.With("tier", cfg.Name),
		clock:  clock,
		secret: secret,
		inbox:  make(chan func(*voter), inboxLength),

		session:   lease.NewClient(cfg.LeaseTiming, cfg.Name, uuid.NewString()),
		runners:   map[string]*taskRunner{},
		handovers: map[string]string{},

		leader:  consensus.NewLeaderTracker(cfg.Voters, len(cfg.Name), cfg.LeaseTiming.KeepAliveInterval()),
		pending: map[uint64]*pendingRequest{},

		links:      map[string]*link{},
		inbound:    map[string]*conn{},
		conns:      map[*conn]struct{}{},
		linkErrors: map[string]string{},

		loggedLeases:      map[string]uint64{},
		rejectionLoggedAt: -rejectionLogInterval,
	}
	h.ctx, h.stop = context.WithCancel(context.Background())
	if err := h.openStore(); err != nil {
		return nil, err
	}
	if h.listener, err = net.Listen("tcp", cfg.Members[cfg.Name]); err != nil {
		if h.store != nil {
			err = errors.Join(err, h.store.Close())
		}
		return nil, fmt.Errorf("the tier's address: %w", err)
	}
	return h, nil
}

// openStore opens the store of a process that may vote.
func (h *Host) openStore() error {
	switch {
	case h.cfg.Store != "":
		store, err := OpenStore(h.cfg.Store, h.cfg.Name)
		if err != nil {
			return err
		}
		h.store, h.fleetID = store, store.Identity().Fleet
	case h.cfg.VotersInMemory && slices.Contains(h.cfg.Voters, h.cfg.Name):
		h.store = newMemory(h.cfg.Name)
	}
	return nil
}

// Start begins to take part in the fleet. Requests of tasks are sent by sender; if it is also a Pools, shared state is about its pools.
func (h *Host) Start(sender Sender) error {
	h.sender = sender
	v := &voter{callbacks: map[uint64]func(consensus.Response){}}
	if h.store != nil {
		if err := h.openVoter(v); err != nil {
			return err
		}
	}
	if err := h.prepareDue(sender); err != nil {
		return err
	}
	h.goroutines.Go(h.acceptConnections)
	h.goroutines.Go(func() { h.runConsensus(v) })
	h.goroutines.Go(h.runTimers)
	h.log.Info("fleet member started", "address", h.listener.Addr().String(), "incarnation", h.incarnation(), "seat", h.store != nil, "fleet", h.fleetID)
	return nil
}

// prepareDue creates the timer, the task runners and the shared state.
func (h *Host) prepareDue(sender Sender) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	interval := h.cfg.LeaseTiming.KeepAliveInterval()
	for _, cfg := range h.cfg.Tasks {
		h.runners[cfg.Name] = &taskRunner{cfg: cfg, core: task.NewRunner(cfg.Spec, interval/2, interval)}
		h.session.Acquire(taskLeaseName(cfg.Name), 1)
	}
	err := h.startSharedState(sender)
	h.timer = time.NewTimer(0)
	return err
}

// incarnation names this start of the process among all of the same name.
func (h *Host) incarnation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.session.Incarnation()
}

// Addr is where other processes connect.
func (h *Host) Addr() string { return h.listener.Addr().String() }

// Leave gives up the leases of this process in order and transfers the leadership of the consensus group, so that nobody has to wait for a
// lease to expire. It first waits for requests of tasks that are in flight, and returns once all is done, after some seconds at most. Close
// comes after it.
func (h *Host) Leave() {
	ctx, cancel := context.WithTimeout(h.ctx, leaveTimeout)
	defer cancel()
	h.mu.Lock()
	h.leaving = true
	if h.shared != nil {
		h.sendGossip(h.shared.node.Leave(h.clock.Now()))
	}
	h.mu.Unlock()
	pollUntil(ctx, func() bool { return !h.hasRunningTasks() })
	h.mu.Lock()
	h.session.Close()
	h.runDue()
	h.mu.Unlock()
	pollUntil(ctx, h.sessionClosed)
	h.transferLeadership()
}

// sessionClosed reports whether this process has no session any more.
func (h *Host) sessionClosed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.session.Closed() || h.session.SessionID() == 0
}

// pollUntil returns once done reports true, or ctx ends.
func pollUntil(ctx context.Context, done func() bool) {
	tick := time.NewTicker(leavePollInterval)
	defer tick.Stop()
	for ctx.Err() == nil && !done() {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// transferLeadership has another voter lead, if this one does, and gives it the time to ask for votes.
func (h *Host) transferLeadership() {
	transferred := make(chan struct{})
	h.enqueue(func(v *voter) {
		if v.node != nil {
			v.node.TransferLeadership()
		}
		close(transferred)
	})
	select {
	case <-transferred:
		select {
		case <-time.After(2 * h.cfg.Tick):
		case <-h.ctx.Done():
		}
	case <-h.ctx.Done():
	case <-time.After(transferTimeout):
	}
}

// Close ends all connections and goroutines at once and closes the store.
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

// runTimers does what is due, until the host closes.
func (h *Host) runTimers() {
	var observed chan struct{}
	if h.shared != nil {
		observed = h.shared.observed
	}
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-observed:
			h.scheduleObservations()
			continue
		case <-h.timer.C:
		}
		h.mu.Lock()
		h.runDue()
		h.mu.Unlock()
	}
}

// runDue does what is due for leases, tasks, shared state and pending requests, and sets the timer for the next time. The caller has mu.
func (h *Host) runDue() {
	if h.timer == nil || h.ctx.Err() != nil {
		return
	}
	now := h.clock.Now()
	h.finishHandovers()
	at := h.renewLeases(now)
	h.logLeaseChanges(now)
	h.handleSuperseded(now)
	at = min(at, h.runTasks(now))
	if h.shared != nil {
		at = min(at, h.runSharedState(now))
	}
	h.expirePending(now)
	h.timer.Reset(max(time.Millisecond, min(h.clock.Real(at-now), h.cfg.LeaseTiming.TTL)))
}
