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

// SharedStateConfig says how a process takes part in the state that the fleet shares by gossip.
type SharedStateConfig struct {
	GossipInterval time.Duration // interval between rounds of gossip
	PingInterval   time.Duration // interval between pings of members
	SyncInterval   time.Duration // interval between rounds of anti-entropy
	DeadRetention  time.Duration // how long entries of a dead member are kept
	Fanout         int           // members that a change is sent to in a round
	ReporterQuorum int           // members that must report an endpoint before it is hinted at
	CatchUpBudget  float64       // bytes a second for members that catch up
	Store          string        // file that keeps the state for the next start; empty: none
	StatsInterval  time.Duration // interval between lines of statistics in the log; 0: none
}

// Pools is the process' own pools, as shared state sees and steers them. Its methods are called without the host's lock, but for
// OnReachabilityChange at the start, and from several goroutines; the host finds them by asserting that its Sender has them.
type Pools interface {
	// OnReachabilityChange registers f, which is called under a pool's lock for each attempt or health check that an endpoint leaves
	// unanswered, and once it answers again.
	OnReachabilityChange(f func(pool, endpoint string, unreachable bool))
	// HintUnreachable tells a pool that other members cannot reach an endpoint.
	HintUnreachable(pool, endpoint string)
	// ExcludeEndpoints replaces what a pool sends nothing new to, what it treats as warming up, and which of the first it may use again
	// once they have restarted. It reports whether that took effect: not if no ready endpoint would be left.
	ExcludeEndpoints(pool string, excluded, recovering, untilRestart map[string]bool) (applied bool)
	// PoolNames returns the names of all pools.
	PoolNames() []string
	// ReadyEndpoints returns the zones of a pool's ready endpoints by their names.
	ReadyEndpoints(pool string) (zones map[string]string)
	// CheckHealth sends an endpoint a health check, waits for it, and reports whether it was answered.
	CheckHealth(pool, endpoint string) (answered bool)
	// AttemptOutcomes calls f for each zone with the attempts answered and failed there since the start, and the sum of their delays.
	AttemptOutcomes(pool string, f func(zone string, answered, failed int64, delay time.Duration))
}

const (
	maxObservations    = 1024                   // not yet looked at; more are dropped, and will be made again
	poolUpdateInterval = 100 * time.Millisecond // of hints and exclusions
	saveInterval       = 10 * time.Second
)

// falseReportsVariable is an environment variable for end-to-end tests: a comma-separated list of POOL/SERVER that the process reports as
// unreachable whatever it sees.
const falseReportsVariable = "SORRELRUDDER_LAB_LIES"

// observation is a change that a pool has seen in an endpoint.
type observation struct {
	pool, endpoint string
	unreachable    bool
}

// sharedState is the part of a process in the shared state. Host.mu guards all fields but the channels and those set at the start only
// (cfg, pools).
type sharedState struct {
	cfg   SharedStateConfig
	node  *gossip.Node
	pools Pools // nil: the process has none

	// What this process' pools see.
	observations    chan observation
	observed        chan struct{} // signals that observations is not empty
	observationsAt  time.Duration // not looked at before
	evidence        *gossip.FailureReports
	evidenceChanged bool // hints have to be worked out again
	hintsAt         time.Duration
	hinted          int      // hints given since the start
	falseReports    []string // for end-to-end tests

	// What operators and zone failover have decided.
	decisionsApplied  uint64        // number of the newest decision taken over from the log of this process' voter
	completeUntil     time.Duration // all that was decided until then is known here; below 0: that is not known
	exclusionsChanged bool
	excluded          map[string]exclusions // in force, by pool
	notApplied        map[string]bool       // pools that refused theirs: no ready endpoint would be left
	zones             zoneFailover

	// Work for applyToPools.
	work          chan struct{} // signals that one of the next two is not empty
	hints         map[string]bool
	dueExclusions map[string]exclusions

	// Health checks of zones.
	healthCheckKeys   map[string]bool // entries that this process has written
	healthCheckRounds int

	saveAt              time.Duration
	loaded              int  // entries taken over from the file at the start
	foreignFormatLogged bool // once for each start
	loggedAt            time.Duration
	loggedFrames        int64 // sent until loggedAt
	loggedBytes         int64
}

// newSharedState returns the shared state of member name, with what its file has kept.
func newSharedState(now time.Duration, name string, cfg SharedStateConfig, gossipCfg gossip.Config, zones *ZonesConfig) (*sharedState, error) {
	s := &sharedState{
		cfg:  cfg,
		node: gossip.New(now, gossipCfg),

		observations: make(chan observation, maxObservations),
		observed:     make(chan struct{}, 1),
		evidence:     gossip.NewFailureReports(cfg.ReporterQuorum),

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

// observe queues what a pool has seen. It is called under the pool's lock and does not wait.
func (s *sharedState) observe(pool, endpoint string, unreachable bool) {
	select {
	case s.observations <- observation{pool, endpoint, unreachable}:
	default:
	}
	signal(s.observed)
}

// signal makes a channel of length one readable.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // it is already
	}
}

// gossipConfig is the configuration of this process' gossip node.
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

// startSharedState begins to take part in the shared state, if the configuration says so. The caller has mu.
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

// runSharedState does what is due for the shared state: evidence, gossip, zones, statistics and its file. It returns when it has to be called again at the latest. The caller has mu.
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

// recordObservations turns what the pools have seen into evidence.
func (s *sharedState) recordObservations(now time.Duration) {
	s.observationsAt = now + poolUpdateInterval
	for n := len(s.observations); n > 0; n-- {
		o := <-s.observations
		s.evidenceChanged = true
		if o.unreachable && s.excluded[o.pool].excluded[o.endpoint] {
			continue // health checks look after what is excluded: an earlier report must not delay its recovery
		}
		if key := gossip.PoolKey(gossip.UnreachableKind, o.pool, o.endpoint); key != "" {
			s.evidence.Record(now, s.node, key, o.unreachable)
		}
	}
	for _, server := range s.falseReports {
		s.evidenceChanged = true
		s.evidence.Record(now, s.node, gossip.UnreachableKind+"/"+server, true)
	}
}

// nextRun is when runSharedState has to be called again at the latest.
func (s *sharedState) nextRun() time.Duration {
	at := s.node.NextTick()
	if s.pools != nil && s.evidenceChanged {
		at = min(at, s.hintsAt)
	}
	z := &s.zones
	if z.enabled() && (len(z.controllers) > 0 || s.node.Store().Digest(gossip.UnreachableKind) != 0) {
		at = min(at, z.judgeAt) // this process decides, or there is a report to look into
	}
	if s.cfg.StatsInterval > 0 {
		at = min(at, s.loggedAt+s.cfg.StatsInterval)
	}
	return at
}

// saveSharedState writes the state's file in a goroutine of its own. The caller has mu.
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

// scheduleObservations has the observations of pools recorded soon: many that come together are recorded together.
func (h *Host) scheduleObservations() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() == nil {
		h.timer.Reset(max(0, h.clock.Real(h.shared.observationsAt-h.clock.Now())))
	}
}

// processChanges works out what follows from changes of the shared state, and hands it to applyToPools. The caller has mu.
func (h *Host) processChanges(now time.Duration) {
	shared := h.shared
	for _, e := range shared.node.TakeEvents() {
		h.log.Info("member state changed", "name", e.Name, "was", e.From.String(), "is", e.To.String())
	}
	shared.updateEvidence(now)
	if shared.pools == nil || now < shared.hintsAt {
		return
	}
	shared.hintsAt = now + poolUpdateInterval
	hints := shared.evidence.Hints(shared.node)
	shared.evidenceChanged = len(hints) > 0 || shared.evidence.OwnCount() > 0 // a hint is repeated while it holds; own reports expire
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

// updateEvidence takes over the entries that have changed.
func (s *sharedState) updateEvidence(now time.Duration) {
	changed := s.node.Store().TakeChanges()
	for _, p := range changed {
		s.exclusionsChanged = s.exclusionsChanged || p.Owner() == gossip.ConsensusOwner
	}
	s.evidenceChanged = s.evidenceChanged || len(changed) > 0 || s.exclusionsChanged
	s.evidence.Update(now, s.node, changed)
}

// sendGossip sends messages to others. The caller has mu.
func (h *Host) sendGossip(out []gossip.Envelope) {
	var last *gossip.Message
	var data []byte
	for _, o := range out {
		if o.Message != last { // several members often get the same message
			last, data = o.Message, o.Message.Encode()
		}
		if l := h.linkTo(o.To); l != nil {
			l.send(kindGossip, data)
		}
	}
}

// handleGossip takes a message about shared state.
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

// rejectGossip logs a message that cannot be read. One of another format says that a member runs another version: that is logged once.
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

// noteDecisionDigest compares this process' copy of all decisions with the leader's digest of them as of at: if they are equal, all that was
// decided until then is known here. The caller has mu.
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

// applyDecisions takes over what the log of this process' voter has decided. The caller has mu.
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
	case !shared.evidence.Withdraw(shared.node, key):
		return fmt.Errorf("%q has written nothing under %q: ask the member that has", h.cfg.Name, key)
	}
	h.runDue()
	return nil
}
