package fleet

import (
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zoneview"
)

// SharedStateConfig configures the participation of a process in the state that the fleet shares by gossip.
type SharedStateConfig struct {
	GossipInterval time.Duration // interval between rounds of gossip
	PingInterval   time.Duration // interval between pings of members
	SyncInterval   time.Duration // interval between rounds of anti-entropy
	DeadRetention  time.Duration // how long entries of a dead member are kept
	Fanout         int           // number of members that receive a change in one round
	ReporterQuorum int           // number of members that must report an endpoint before pools get a hint about it
	CatchUpBudget  float64       // bytes per second sent to members that catch up
	Store          string        // file that keeps the state for the next start; empty: none
	StatsInterval  time.Duration // interval between log lines with statistics; 0: none
}

// Pools gives the shared state access to the process's own pools. The host uses its Sender as Pools if the sender implements this
// interface. The methods are called from several goroutines and without the host's lock, except OnReachabilityChange at the start.
type Pools interface {
	// OnReachabilityChange registers f. A pool calls f under its lock for each attempt or health check that an endpoint leaves unanswered,
	// and once the endpoint answers again.
	OnReachabilityChange(f func(pool, endpoint string, unreachable bool))
	// HintUnreachable hints to a pool that other members cannot reach an endpoint.
	HintUnreachable(pool, endpoint string)
	// ExcludeEndpoints replaces three sets of a pool's endpoints: those that receive no new requests, those that are treated as warming up,
	// and those of the excluded that may be used again once they have restarted. It reports whether the sets were applied. They are not if
	// no ready endpoint would be left.
	ExcludeEndpoints(pool string, excluded, recovering, untilRestart map[string]bool) (applied bool)
	// PoolNames returns the names of all pools.
	PoolNames() []string
	// ReadyEndpoints returns the zones of a pool's ready endpoints, by endpoint name.
	ReadyEndpoints(pool string) (zones map[string]string)
	// CheckHealth sends a health check to an endpoint, waits for the response, and reports whether there was one.
	CheckHealth(pool, endpoint string) (answered bool)
	// AttemptOutcomes calls f for each zone of a pool with the number of attempts that were answered and that failed since the start, and
	// the sum of the latencies of the answered ones.
	AttemptOutcomes(pool string, f func(zone string, answered, failed int64, totalLatency time.Duration))
}

const (
	maxObservations    = 1024                   // queued; further ones are dropped, since the pools observe the same again
	poolUpdateInterval = 100 * time.Millisecond // minimum between two updates of hints and exclusions
	saveInterval       = 10 * time.Second
)

// falseReportsVariable names an environment variable for end-to-end tests. Its value is a comma-separated list of POOL/ENDPOINT that
// the process always reports as unreachable.
const falseReportsVariable = "SORRELRUDDER_LAB_LIES"

// observation is a change in an endpoint's reachability that a pool has observed.
type observation struct {
	pool, endpoint string
	unreachable    bool
}

// sharedState is the participation of a process in the shared state. Host.mu guards all fields but the channels and those that are set at
// the start only (cfg, pools).
type sharedState struct {
	cfg   SharedStateConfig
	node  *gossip.Node
	pools Pools // nil: the process has no pools

	// Observations of this process's pools.
	observations chan observation
	observed     chan struct{} // signals that observations is not empty
	// observationsAt is the earliest time for which scheduleObservations sets the timer. Each run of runSharedState records the queued
	// observations, even if it is earlier.
	observationsAt        time.Duration
	failureReports        *gossip.FailureReports
	failureReportsChanged bool // the hints must be computed again
	hintsAt               time.Duration
	hinted                int      // hints since the start; each repetition of a hint counts
	falseReports          []string // POOL/ENDPOINT, for end-to-end tests

	// Decisions of operators and of zone failover.
	decisionsApplied  uint64        // number of the newest decision applied from the log of this process's voter
	completeUntil     time.Duration // this process knows all decisions made until then; negative: unknown
	exclusionsChanged bool
	excluded          map[string]exclusions // in force, by pool
	notApplied        map[string]bool       // pools that rejected their exclusions: no ready endpoint would be left
	zones             zoneFailover

	// Work for applyToPools.
	work          chan struct{} // signals that hints or dueExclusions is not empty
	hints         map[string]bool
	dueExclusions map[string]exclusions

	// Health checks of zones.
	healthCheckKeys   map[string]bool // entries that this process has written
	healthCheckRounds int

	saveAt              time.Duration
	loaded              int  // entries restored from the file at the start
	foreignFormatLogged bool // an unsupported format is logged once per start
	loggedAt            time.Duration
	loggedFrames        int64 // frames sent until loggedAt
	loggedBytes         int64
}

// newSharedState returns the shared state of the member of that name, with the contents of its file.
func newSharedState(now time.Duration, name string, cfg SharedStateConfig, gossipCfg gossip.Config, zones *ZonesConfig) (*sharedState, error) {
	s := &sharedState{
		cfg:  cfg,
		node: gossip.New(now, gossipCfg),

		observations:   make(chan observation, maxObservations),
		observed:       make(chan struct{}, 1),
		failureReports: gossip.NewFailureReports(cfg.ReporterQuorum),

		completeUntil: -1,
		excluded:      map[string]exclusions{},
		notApplied:    map[string]bool{},
		zones:         newZoneFailover(zones),

		work:          make(chan struct{}, 1),
		hints:         map[string]bool{},
		dueExclusions: map[string]exclusions{},

		healthCheckKeys: map[string]bool{},
		saveAt:          now + saveInterval,
	}
	if err := s.restore(now, name); err != nil {
		return nil, err
	}
	if list := os.Getenv(falseReportsVariable); list != "" {
		s.falseReports = strings.Split(list, ",")
	}
	return s, nil
}

// observe queues an observation of a pool. It is called under the pool's lock and does not block.
func (s *sharedState) observe(pool, endpoint string, unreachable bool) {
	select {
	case s.observations <- observation{pool, endpoint, unreachable}:
	default:
	}
	signal(s.observed)
}

// signal makes a channel of capacity one readable, without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // readable already
	}
}

// gossipConfig returns the configuration of this process's gossip node.
func (h *Host) gossipConfig() gossip.Config {
	c := h.cfg.SharedState
	cfg := gossip.DefaultConfig()
	cfg.Name = h.cfg.Name
	cfg.Members = slices.Sorted(maps.Keys(h.cfg.Members))
	cfg.Kinds = []string{gossip.UnreachableKind, zoneview.ZoneCheckKind, zoneview.GrayFailureKind}
	cfg.DecidedKinds = consensus.DecisionKinds
	cfg.GossipInterval = c.GossipInterval
	cfg.PingInterval = c.PingInterval
	cfg.SyncInterval = c.SyncInterval
	cfg.DeadRetention = c.DeadRetention
	cfg.Fanout = c.Fanout
	cfg.CatchUpBudget = c.CatchUpBudget
	seed := fnv.New64a()
	seed.Write([]byte(h.session.Incarnation()))
	cfg.Seed = seed.Sum64()
	return cfg
}

// startSharedState starts the participation in the shared state if it is configured. The caller must hold mu.
func (h *Host) startSharedState(sender Sender) error {
	if h.cfg.SharedState == nil {
		return nil
	}
	shared, err := newSharedState(h.clock.Now(), h.cfg.Name, *h.cfg.SharedState, h.gossipConfig(), h.cfg.Zones)
	if err != nil {
		return err
	}
	h.shared = shared
	shared.pools, _ = sender.(Pools)
	if shared.pools == nil {
		return nil
	}
	shared.pools.OnReachabilityChange(shared.observe)
	h.goroutines.Go(h.applyToPools)
	h.goroutines.Go(h.watchZones)
	if h.cfg.Zones != nil && h.cfg.Zones.Automatic != ZonesOff {
		h.session.Acquire(zoneview.LeaseName, 1)
	}
	return nil
}

// runSharedState runs the due work of the shared state: failure reports, gossip, zones, statistics and the file. It returns the latest time
// of the next call. The caller must hold mu.
func (h *Host) runSharedState(now time.Duration) time.Duration {
	shared := h.shared
	shared.recordObservations(now)
	h.sendGossip(shared.node.Tick(now))
	h.processChanges(now)
	h.judgeZones(now)
	if shared.cfg.StatsInterval > 0 && now >= shared.loggedAt+shared.cfg.StatsInterval {
		h.logSharedState(now)
	}
	if shared.cfg.Store != "" && now >= shared.saveAt {
		h.saveSharedState(now)
	}
	return shared.nextRun()
}

// recordObservations turns the queued observations of the pools into failure reports.
func (s *sharedState) recordObservations(now time.Duration) {
	s.observationsAt = now + poolUpdateInterval
	for n := len(s.observations); n > 0; n-- {
		o := <-s.observations
		s.failureReportsChanged = true
		if o.unreachable && s.excluded[o.pool].excluded[o.endpoint] {
			continue // health checks observe excluded endpoints: an earlier report must not delay their recovery
		}
		if key := gossip.PoolKey(gossip.UnreachableKind, o.pool, o.endpoint); key != "" {
			s.failureReports.Record(now, s.node, key, o.unreachable)
		}
	}
	for _, poolEndpoint := range s.falseReports {
		s.failureReportsChanged = true
		s.failureReports.Record(now, s.node, gossip.UnreachableKind+"/"+poolEndpoint, true)
	}
}

// nextRun returns the latest time of the next call of runSharedState.
func (s *sharedState) nextRun() time.Duration {
	at := s.node.NextTick()
	if s.pools != nil && s.failureReportsChanged {
		at = min(at, s.hintsAt)
	}
	z := &s.zones
	if z.enabled() && (len(z.controllers) > 0 || s.node.Store().Digest(gossip.UnreachableKind) != 0) {
		at = min(at, z.judgeAt) // this process judges zones, or there is a report to check
	}
	if s.cfg.StatsInterval > 0 {
		at = min(at, s.loggedAt+s.cfg.StatsInterval)
	}
	return at
}

// saveSharedState writes the file of the shared state in a goroutine of its own. The caller must hold mu.
func (h *Host) saveSharedState(now time.Duration) {
	shared := h.shared
	shared.saveAt = now + saveInterval
	data := shared.snapshot(h.cfg.Name)
	h.goroutines.Go(func() {
		if err := writeFileAtomically(shared.cfg.Store, data); err != nil {
			h.log.Warn("saving the shared state failed", "err", err)
		}
	})
}

// scheduleObservations schedules the recording of queued observations, so that many that arrive at about the same time are recorded
// together.
func (h *Host) scheduleObservations() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() == nil {
		h.timer.Reset(max(0, h.clock.Real(h.shared.observationsAt-h.clock.Now())))
	}
}

// processChanges computes the hints and exclusions that follow from changes of the shared state, and passes them to applyToPools. The
// caller must hold mu.
func (h *Host) processChanges(now time.Duration) {
	shared := h.shared
	for _, e := range shared.node.TakeEvents() {
		h.log.Info("member state changed", "name", e.Name, "was", e.From.String(), "is", e.To.String())
	}
	shared.updateFailureReports(now)
	if shared.pools == nil || now < shared.hintsAt {
		return
	}
	shared.hintsAt = now + poolUpdateInterval
	hints := shared.failureReports.Hints(shared.node)
	// A hint is repeated while it is in force, and own reports expire.
	shared.failureReportsChanged = len(hints) > 0 || shared.failureReports.OwnCount() > 0
	shared.hinted += len(hints)
	for _, key := range hints {
		shared.hints[key] = true
	}
	var due map[string]exclusions
	if shared.exclusionsChanged {
		shared.exclusionsChanged = false
		due = shared.changedExclusions()
	}
	maps.Copy(shared.dueExclusions, due)
	if len(hints)+len(due) > 0 {
		signal(shared.work)
	}
}

// updateFailureReports updates the failure reports with the entries that have changed.
func (s *sharedState) updateFailureReports(now time.Duration) {
	changed := s.node.Store().TakeChanges()
	for _, p := range changed {
		s.exclusionsChanged = s.exclusionsChanged || p.Owner() == gossip.ConsensusOwner
	}
	s.failureReportsChanged = s.failureReportsChanged || len(changed) > 0 || s.exclusionsChanged
	s.failureReports.Update(now, s.node, changed)
}

// sendGossip sends gossip messages to other members. The caller must hold mu.
func (h *Host) sendGossip(out []gossip.Envelope) {
	var last *gossip.Message
	var data []byte
	for _, o := range out {
		if o.Message != last { // the same message often goes to several members
			last, data = o.Message, o.Message.Encode()
		}
		if l := h.linkTo(o.To); l != nil {
			l.send(kindGossip, data)
		}
	}
}

// handleGossip handles a gossip message of a member.
func (h *Host) handleGossip(from string, payload []byte) {
	m, err := gossip.Decode(payload)
	if err != nil {
		h.rejectGossip(from, err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.shared == nil {
		return
	}
	now := h.clock.Now()
	h.sendGossip(h.shared.node.Receive(now, from, m))
	h.processChanges(now)
	h.runDue()
}

// rejectGossip logs a message that cannot be decoded. A message of an unsupported format means that a member runs another version. It is
// logged once.
func (h *Host) rejectGossip(from string, err error) {
	foreign := errors.Is(err, gossip.ErrUnsupportedFormat)
	h.mu.Lock()
	shared := h.shared
	logged := shared == nil || foreign && shared.foreignFormatLogged
	if shared != nil && foreign {
		shared.foreignFormatLogged = true
	}
	h.mu.Unlock()
	if !logged {
		h.logRejectedConnection(from, err)
	}
}

// noteDecisionDigest compares this process's copy of all decisions with the leader's digest of them. at is when the request for the digest
// was sent. If the digests are equal, this process knows all decisions made until then. The caller must hold mu.
func (h *Host) noteDecisionDigest(at time.Duration, d *consensus.DecisionDigest) {
	if h.shared == nil || d == nil {
		return
	}
	store := h.shared.node.Store()
	store.SetFleetTag(gossip.FleetTag(d.FleetID))
	if store.Digest(consensus.OperatorKind)+store.Digest(consensus.ZoneKind) == d.Checksum {
		h.shared.completeUntil = max(h.shared.completeUntil, at)
	}
}

// applyDecisions applies new decisions from the log of this process's voter to the shared state. The caller must hold mu.
func (h *Host) applyDecisions(m *consensus.StateMachine) {
	shared := h.shared
	if shared == nil || m == nil {
		return
	}
	shared.node.Store().SetFleetTag(gossip.FleetTag(m.FleetID))
	if m.LastDecision <= shared.decisionsApplied {
		return
	}
	shared.decisionsApplied = m.DecisionsSince(shared.decisionsApplied, func(key string, d consensus.Decision) {
		shared.node.ApplyDecision(key, d.Number, d.Bytes())
	})
	h.runDue()
}

// forgetEntry withdraws the entry that this process has written under a key.
func (h *Host) forgetEntry(key string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	shared := h.shared
	switch {
	case shared == nil:
		return errors.New("this process shares no state: [tier.copies] is missing in its file")
	case !shared.failureReports.Withdraw(shared.node, key):
		return fmt.Errorf("%q has written nothing under %q: ask the member that has", h.cfg.Name, key)
	}
	h.runDue()
	return nil
}
