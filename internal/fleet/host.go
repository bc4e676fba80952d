// Package fleet runs the membership of a process in a fleet. It owns the sockets, files, clocks and goroutines of the membership: the links
// between members, the process's voter in the consensus group, its session and leases, its tasks, and its copy of the state shared by
// gossip. Decisions are made by packages consensus, lease, task, gossip, zonefailover and zoneview. This package passes events to them and
// carries out the resulting actions.
//
// Host is the entry point. Each concern has a file: voter (consensus), leases, tasks, requests (to the leader), server (requests from
// members and operators), connections (from and to members), link and conn (transport), store and memory (state of the voter), sharedstate
// (gossip) with sharedstate_file and sharedstate_log, exclusions, zones, status, operator and clock.
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
	leaveTimeout   = 3 * time.Second // limits how long Host.Leave waits for the tasks and the session

	leavePollInterval = 5 * time.Millisecond
	transferTimeout   = time.Second // limits the wait for the consensus goroutine to start the transfer of leadership
)

// Config configures the membership of a process in its fleet.
type Config struct {
	Name           string            // name of this process
	Secret         string            // file with the secret that all members share
	Store          string            // file of the voter; empty: the process has no vote, or VotersInMemory is set
	VotersInMemory bool              // voters keep their state in memory; the state is lost if a majority of them ends
	Voters         []string          // names of the members that may vote
	Members        map[string]string // addresses by name
	LeaseTiming    lease.Timing
	Tick           time.Duration // interval of raft's logical clock; a leader without a heartbeat for ten ticks is replaced
	Tasks          []Task
	SharedState    *SharedStateConfig // nil: the process shares no state
	Zones          *ZonesConfig       // nil: no automatic zone failover by this process
}

// Task is a scheduled task of the fleet. A slot is one run of the task. The process that holds the task's lease executes a slot by sending
// a request through one of its own pools.
type Task struct {
	task.Spec
	Pool, Method, Path, Tenant, Body string

	Plain bool   // the pool speaks ordinary HTTP, see package httpservice
	Host  string // Host header of the request; empty: the pool's name
}

// Sender sends a request through one of the process's pools, which balance and retry the request like requests of clients. It must be
// safe for concurrent use.
type Sender interface {
	Do(ctx context.Context, pool string, q *httpmsg.Request) (httpmsg.InternalResponse, error)
}

// Host is the membership of a process in its fleet. Its methods are safe for concurrent use.
//
// Its goroutines: runTimers runs due work, runConsensus owns the voter, and acceptConnections owns the listener. If the process shares
// state and its sender implements Pools, applyToPools and watchZones call the pools. Each link, connection, task request and save of the
// shared state has its own goroutine. Except in Start, mu is never held while waiting for a pool, the store or a connection.
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
	timer      *time.Timer       // fires when runDue is due

	// mu guards the fields below. Start sets shared, and the pointer does not change afterwards. See sharedState for the fields of shared.
	mu      sync.Mutex
	leaving bool   // no further slot is started: the process is about to end, or has been superseded
	fleetID string // fleet that this process is admitted to; empty: none yet
	shared  *sharedState

	// Leases and tasks.
	session   *lease.Client
	runners   map[string]*taskRunner // by task
	handovers map[string]string      // target members by lease; a lease is transferred once its task has no request in flight

	// Requests to the leader.
	leader     *consensus.LeaderTracker
	pending    map[uint64]*pendingRequest // by handle
	lastHandle uint64

	// Connections.
	links       map[string]*link // to members, by name
	inbound     map[string]*conn // the newest connection from each member, by name
	conns       map[*conn]struct{}
	linkErrors  map[string]string // by member, as last logged
	peerFleetID string            // fleet that a member has reported to belong to

	// State of the last log lines.
	loggedLeases        map[string]uint64 // tokens by name
	loggedRevision      uint64            // Revision of the session
	loggedLapsed        bool              // this process could no longer act on its leases (ValidUntil of the session had passed)
	leasesLoggedAt      time.Duration
	rejectedConnections int // since rejectionLoggedAt
	rejectionLoggedAt   time.Duration
}

// New opens the store and the listener of a process. No goroutine runs before Start.
func New(cfg Config, log *slog.Logger) (*Host, error) {
	secret, err := os.ReadFile(cfg.Secret)
	if err != nil {
		return nil, fmt.Errorf("reading the fleet secret: %w", err)
	}
	if len(secret) < minSecretBytes {
		return nil, fmt.Errorf("%s: the fleet secret has %d bytes: at least %d are required", cfg.Secret, len(secret), minSecretBytes)
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

		// Processes whose names differ in length can start the round-robin at different voters.
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
		return nil, fmt.Errorf("listening on the fleet address: %w", err)
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

// Start starts the membership. Task requests are sent through sender. If sender also implements Pools, the shared state covers its pools.
func (h *Host) Start(sender Sender) error {
	h.sender = sender
	v := &voter{callbacks: map[uint64]func(consensus.Response){}}
	if h.store != nil {
		if err := h.openVoter(v); err != nil {
			return err
		}
	}
	if err := h.initState(sender); err != nil {
		return err
	}
	h.goroutines.Go(h.acceptConnections)
	h.goroutines.Go(func() { h.runConsensus(v) })
	h.goroutines.Go(h.runTimers)
	h.log.Info("fleet member started", "address", h.listener.Addr().String(), "incarnation", h.incarnation(), "seat", h.store != nil, "fleet", h.fleetID)
	return nil
}

// initState creates the timer, the task runners and the shared state.
func (h *Host) initState(sender Sender) error {
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

// incarnation returns the ID that distinguishes this start of the process from all others of the same name.
func (h *Host) incarnation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.session.Incarnation()
}

// Addr returns the address on which this process accepts connections.
func (h *Host) Addr() string { return h.listener.Addr().String() }

// Leave leaves the fleet gracefully. It releases the leases of this process and transfers the leadership of the consensus group, so that no
// other member has to wait for a lease to expire. It first waits for task requests in flight. It returns once all of this is done, after a
// few seconds at most. Close must be called after Leave.
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

// sessionClosed reports whether this process no longer has a session.
func (h *Host) sessionClosed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.session.Closed() || h.session.SessionID() == 0
}

// pollUntil returns once done returns true or ctx ends.
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

// transferLeadership transfers the leadership to another voter if this process is the leader, and waits for the other voter to request
// votes.
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

// Close closes all connections, ends all goroutines without waiting for requests in flight, and closes the store.
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

// runTimers runs due work until the host closes.
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

// runDue runs the due work of leases, tasks, shared state and pending requests, and sets the timer for the next call. The caller must hold
// mu.
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
