package fleet

import (
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zonefailover"
	"sorrelrudder/internal/zoneview"
)

// SharedStateConfig is what a process is told of the state that the fleet's processes share.
type SharedStateConfig struct {
	Gossip, Probe, Sync, Keep time.Duration
	Fanout, Witnesses         int
	Budget                    float64       // bytes a second to those that catch up
	Store                     string        // file for what it knows, read at the next start; empty: none
	Figures                   time.Duration // how often the log is told figures; 0: never
}

// Pools is what shared state is about: the process' own pools.
type Pools interface {
	OnUnresponsive(f func(pool, server string, is bool))
	HintUnreachable(pool, server string)
	ExcludeEndpoints(pool string, servers, returning, soft map[string]bool) (done bool)
	PoolNames() []string
	ReadyEndpoints(pool string) (zones map[string]string) // by the server's name
	CheckHealth(pool, server string) (answers bool)
	AttemptOutcomes(pool string, f func(zone string, answered, failed int64, delay time.Duration)) // by zone, since the start
}

const (
	observationsLength = 1024 // what pools have seen, until it is looked at; more is dropped, and seen again
	hintInterval       = 100 * time.Millisecond
	saveInterval       = 10 * time.Second
)

// observation is something that a pool has seen of a server.
type observation struct {
	pool, server string
	silent       bool
}

// sharedState is a process' part in the shared state. All of it is under the tier's mu, but for sights.
type sharedState struct {
	cfg                 SharedStateConfig
	node                *gossip.Node
	evidence            *gossip.FailureReports
	pools               Pools
	observations        chan observation
	commandsApplied     uint64        // the number of the newest order that was taken from the council's log here
	observed            chan struct{} // there is something among sights
	observationsAt      time.Duration // before it sights are not looked at for a nudge
	hintsAt             time.Duration
	evidenceChanged     bool // the evidence or the orders may have changed since hints were looked for, or some stand
	saveAt              time.Duration
	exclusionsChanged   bool          // the orders in force have changed
	foreignFormatLogged bool          // a peer of another format was told of
	completeUntil       time.Duration // the newest moment up to which all that was decided is known to be here; below 0: none
	excluded            map[string]exclusions
	work                chan struct{}         // something of the next two is there
	hints               map[string]bool       // servers to be hinted at
	dueExclusions       map[string]exclusions // to be carried out, by pool
	notApplied          map[string]bool       // pools whose orders can't be carried out: no ready server would be left
	loaded              int
	hinted              int
	zones               zoneFailover
	healthCheckKeys     map[string]bool // keys of looks that are written
	healthCheckRounds   int
	loggedAt            time.Duration
	loggedFrames        int64 // sent until toldAt
	loggedBytes         int64
	falseReports        []string // only the laboratory's
}

// falseReportsVariable names the laboratory's setting: servers, as POOL/SERVER and separated by commas, that the process says are dead, whatever it sees.
const falseReportsVariable = "SORRELRUDDER_LAB_LIES"

// startSharedState begins to take part in the shared state. The caller has mu.
func (t *Host) startSharedState(s Sender) error {
	c := t.cfg.SharedState
	if c == nil {
		return nil
	}
	cfg := gossip.DefaultConfig()
	cfg.Name, cfg.Members = t.cfg.Name, slices.Sorted(maps.Keys(t.cfg.Members))
	cfg.Kinds, cfg.DecidedKinds = []string{gossip.UnreachableKind, zoneview.ZoneCheckKind, zoneview.GrayFailureKind}, consensus.DecisionKinds
	cfg.GossipInterval, cfg.PingInterval, cfg.SyncInterval, cfg.DeadRetention, cfg.Fanout, cfg.CatchUpBudget = c.Gossip, c.Probe, c.Sync, c.Keep, c.Fanout, c.Budget
	h := fnv.New64a()
	h.Write([]byte(t.session.Incarnation()))
	cfg.Seed = h.Sum64()
	now := t.clock.Now()
	k := &sharedState{
		cfg: *c, node: gossip.New(now, cfg), evidence: gossip.NewFailureReports(c.Witnesses), observations: make(chan observation, observationsLength), observed: make(chan struct{}, 1), completeUntil: -1,
		excluded: map[string]exclusions{}, notApplied: map[string]bool{}, work: make(chan struct{}, 1),
		zones: zoneFailover{cfg: t.cfg.Zones, ramps: map[string]*zonefailover.Controller{}, advised: map[string]string{}, causes: map[string]zonefailover.Cause{}, checkDue: make(chan struct{}, 1), grey: map[string]*zonefailover.GrayDetector{}, greyKeys: map[string]bool{}}, healthCheckKeys: map[string]bool{},
		hints: map[string]bool{}, dueExclusions: map[string]exclusions{}, saveAt: now + saveInterval,
	}
	if err := k.restore(now, t.cfg.Name); err != nil {
		return err
	}
	if lies := os.Getenv(falseReportsVariable); lies != "" {
		k.falseReports = strings.Split(lies, ",")
	}
	k.pools, _ = s.(Pools)
	if k.pools != nil {
		k.pools.OnUnresponsive(func(pool, server string, is bool) { // under a pool's lock: it must not wait
			select {
			case k.observations <- observation{pool, server, is}:
			default:
			}
			select {
			case k.observed <- struct{}{}:
			default: // it will find them
			}
		})
	}
	t.shared = k
	if k.pools != nil {
		t.goroutines.Go(t.applyToPools)
		t.goroutines.Go(t.watchZones)
		if t.cfg.Zones != nil && t.cfg.Zones.Automatic != ZonesOff {
			t.session.Acquire(zoneview.LeaseName, 1)
		}
	}
	return nil
}

// runGossip does what is due for the shared state, and returns when it is to be called again at the latest. The caller has mu.
func (t *Host) runGossip(now time.Duration) time.Duration {
	k := t.shared
	k.observationsAt = now + hintInterval
	for n := len(k.observations); n > 0; n-- {
		s := <-k.observations
		k.evidenceChanged = true
		if s.silent && k.excluded[s.pool].excluded[s.server] {
			continue // what is left out is for those that look: a word of before must not stand in the way of a return
		}
		if key := gossip.PoolKey(gossip.UnreachableKind, s.pool, s.server); key != "" {
			k.evidence.Record(now, k.node, key, s.silent)
		}
	}
	for _, lie := range k.falseReports {
		k.evidenceChanged = true
		k.evidence.Record(now, k.node, gossip.UnreachableKind+"/"+lie, true)
	}
	t.sendGossip(k.node.Tick(now))
	t.processChanges(now)
	t.judgeZones(now)
	if k.cfg.Figures > 0 && now >= k.loggedAt+k.cfg.Figures {
		t.logSharedState(now)
	}
	if k.cfg.Store != "" && now >= k.saveAt {
		k.saveAt = now + saveInterval
		data := k.snapshot(t.cfg.Name)
		t.goroutines.Go(func() {
			if err := writeFileAtomically(k.cfg.Store, data); err != nil {
				t.log.Warn("what is shared could not be kept", "err", err)
			}
		})
	}
	at := k.node.NextTick()
	if k.pools != nil && k.evidenceChanged {
		at = min(at, k.hintsAt)
	}
	if z := &k.zones; z.cfg != nil && z.cfg.Automatic != ZonesOff && (len(z.ramps) > 0 || k.node.Store().Digest(gossip.UnreachableKind) != 0) {
		at = min(at, z.judgeAt) // while this process decides, or there is something to look at
	}
	if k.cfg.Figures > 0 {
		at = min(at, k.loggedAt+k.cfg.Figures)
	}
	return at
}

// scheduleObservations has what pools have seen be looked at soon: not at each sight, of which there may be many.
func (t *Host) scheduleObservations() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() == nil {
		t.timer.Reset(max(0, t.clock.Real(t.shared.observationsAt-t.clock.Now())))
	}
}

// SharedStateLogMessage is the message of the log's line on shared state. 'sorrelrudder fleet' counts it over all processes.
const SharedStateLogMessage = "shared state"

// logSharedState tells the log what has become of the shared state. The caller has mu.
func (t *Host) logSharedState(now time.Duration) {
	k := t.shared
	frames, bytes := t.traffic.gossipFrames.Load(), t.traffic.gossipBytes.Load()
	step, whole := k.ages(now)
	dead, orders := 0, 0
	k.node.Store().ForEach("", func(e *gossip.Entry) bool {
		if len(e.Values()) > 0 && gossip.KindOf(e.Key) == consensus.OperatorKind {
			orders++
		} else if len(e.Values()) > 0 {
			dead++
		}
		return true
	})
	t.log.Info(SharedStateLogMessage, "frames", frames-k.loggedFrames, "bytes", bytes-k.loggedBytes, "in_step_ms", step, "decided_ms", whole, "alive", k.node.Count(gossip.Alive)+1,
		"suspect", k.node.Count(gossip.Suspect), "gone", k.node.Count(gossip.Dead), "dead", dead, "orders", orders, "hinted", k.hinted, "differ", k.node.Store().Counts.Conflicts)
	k.loggedFrames, k.loggedBytes, k.loggedAt = frames, bytes, now
}

// ages are how many milliseconds ago the copies were seen to equal another's, and as of how long ago all that was decided is here; -1: neither
// is known since the start.
func (k *sharedState) ages(now time.Duration) (step, whole int64) {
	step, whole = -1, -1
	if ago, ok := k.node.InSync(now); ok {
		step = ago.Milliseconds()
	}
	if k.completeUntil >= 0 {
		whole = (now - k.completeUntil).Milliseconds()
	}
	return step, whole
}

// processChanges looks at what has changed in the copies. The caller has mu.
func (t *Host) processChanges(now time.Duration) {
	k := t.shared
	for _, e := range k.node.TakeEvents() {
		t.log.Info("a member", "name", e.Name, "was", e.From.String(), "is", e.To.String())
	}
	changed := k.node.Store().TakeChanges()
	for _, p := range changed {
		k.exclusionsChanged = k.exclusionsChanged || p.Owner() == gossip.ConsensusOwner
	}
	k.evidenceChanged = k.evidenceChanged || len(changed) > 0 || k.exclusionsChanged
	k.evidence.Update(now, k.node, changed)
	if k.pools == nil || now < k.hintsAt {
		return
	}
	k.hintsAt = now + hintInterval
	hints := k.evidence.Hints(k.node)
	k.evidenceChanged = len(hints) > 0 || k.evidence.OwnCount() > 0 // hints are given again while they stand, and what was seen here ages
	k.hinted += len(hints)
	var due map[string]exclusions
	if k.exclusionsChanged {
		k.exclusionsChanged = false
		due = k.changedExclusions()
	}
	for _, key := range hints {
		k.hints[key] = true
	}
	maps.Copy(k.dueExclusions, due)
	if len(hints)+len(due) > 0 {
		select {
		case k.work <- struct{}{}:
		default: // it will find them
		}
	}
}

// applyToPools has the pools hear and do what is due, one thing after the other: an older order never comes after a newer. A pool is asked without any
// lock of the tier.
func (t *Host) applyToPools() {
	k := t.shared
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-k.work:
		}
		t.mu.Lock()
		hints, due := k.hints, k.dueExclusions
		k.hints, k.dueExclusions = map[string]bool{}, map[string]exclusions{}
		t.mu.Unlock()
		t.applyExclusions(due)
		for _, key := range slices.Sorted(maps.Keys(hints)) {
			if pool, server, ok := gossip.SplitPoolKey(key); ok {
				k.pools.HintUnreachable(pool, server)
			}
		}
	}
}

// exclusions are what a pool is to do: send nothing new to some servers, but for those of soft that have started again, and take others, which the fleet
// has begun to use again, for cold.
type exclusions struct{ excluded, recovering, untilRestart map[string]bool }

func (o exclusions) equal(p exclusions) bool {
	return maps.Equal(o.excluded, p.excluded) && maps.Equal(o.recovering, p.recovering) && maps.Equal(o.untilRestart, p.untilRestart)
}

// changedExclusions are the orders that have changed, by pool; a pool that had some and has none is there with none.
func (k *sharedState) changedExclusions() map[string]exclusions {
	next := map[string]exclusions{}
	at := func(pool string) exclusions {
		if next[pool].excluded == nil {
			next[pool] = exclusions{map[string]bool{}, map[string]bool{}, map[string]bool{}}
		}
		return next[pool]
	}
	k.node.Store().ForEach(consensus.OperatorKind+"/", func(e *gossip.Entry) bool {
		if pool, server, ok := gossip.SplitPoolKey(e.Key); ok && len(e.Values()) > 0 {
			at(pool).excluded[server] = true
		}
		return true
	})
	k.addZoneExclusions(at)
	out := map[string]exclusions{}
	for pool, o := range next {
		if !o.equal(k.excluded[pool]) {
			out[pool] = o
		}
	}
	for pool := range k.excluded {
		if next[pool].excluded == nil {
			out[pool] = exclusions{}
		}
	}
	k.excluded = next
	return out
}

// applyExclusions has the pools avoid what is ordered.
func (t *Host) applyExclusions(due map[string]exclusions) {
	k := t.shared
	for _, pool := range slices.Sorted(maps.Keys(due)) {
		done := k.pools.ExcludeEndpoints(pool, due[pool].excluded, due[pool].recovering, due[pool].untilRestart)
		t.mu.Lock()
		for server := range due[pool].excluded {
			k.evidence.Record(t.clock.Now(), k.node, gossip.PoolKey(gossip.UnreachableKind, pool, server), false)
		}
		t.runDue()
		t.mu.Unlock()
		names := slices.Sorted(maps.Keys(due[pool].excluded))
		if done {
			t.log.Info("orders are carried out", "pool", pool, "avoided", names)
		} else {
			t.log.Warn("orders are not carried out: no ready server would be left", "pool", pool, "avoided", names)
		}
		t.mu.Lock()
		k.notApplied[pool] = !done
		t.mu.Unlock()
	}
}

// sendGossip sends messages to others. The caller has mu.
func (t *Host) sendGossip(out []gossip.Envelope) {
	var last *gossip.Message
	var data []byte
	for _, o := range out {
		if o.Message != last { // one message often goes to several
			last, data = o.Message, o.Message.Encode()
		}
		if l := t.linkTo(o.To); l != nil {
			l.send(kindGossip, data)
		}
	}
}

// handleGossip takes a message about shared state.
func (t *Host) handleGossip(from string, payload []byte) {
	m, err := gossip.Decode(payload)
	t.mu.Lock()
	k := t.shared
	if k == nil {
		t.mu.Unlock()
		return
	}
	if err != nil {
		told := k.foreignFormatLogged && errors.Is(err, gossip.ErrUnsupportedFormat)
		k.foreignFormatLogged = k.foreignFormatLogged || errors.Is(err, gossip.ErrUnsupportedFormat)
		t.mu.Unlock()
		if !told {
			t.logRejectedConnection(from, err)
		}
		return
	}
	now := t.clock.Now()
	t.sendGossip(k.node.Receive(now, from, m))
	t.processChanges(now)
	t.runDue()
	t.mu.Unlock()
}

// noteDecided takes the council's word, asked for at that moment, of how far it has come: who has the same sum has all that was decided before.
func (t *Host) noteDecided(at time.Duration, d *consensus.DecisionDigest) {
	k := t.shared
	if k == nil || d == nil {
		return
	}
	k.node.Store().SetFleetTag(gossip.FleetTag(d.FleetID))
	if k.node.Store().Digest(consensus.OperatorKind)+k.node.Store().Digest(consensus.ZoneKind) == d.Checksum {
		k.completeUntil = max(k.completeUntil, at)
	}
}

// applyOperatorCommands takes over what the log here has decided. The caller has mu.
func (t *Host) applyOperatorCommands(f *consensus.StateMachine) {
	k := t.shared
	if k == nil || f == nil {
		return
	}
	k.node.Store().SetFleetTag(gossip.FleetTag(f.FleetID))
	if f.LastDecision > k.commandsApplied {
		k.commandsApplied = f.DecisionsSince(k.commandsApplied, func(key string, o consensus.Decision) { k.node.ApplyDecision(key, o.Number, o.Bytes()) })
		t.runDue()
	}
}

// SharedStateStatus is what a process tells operators of the shared state.
type SharedStateStatus struct {
	Incarnation uint64              `json:"incarnation"`
	Members     map[string]string   `json:"members"`    // by name: alive, suspect, dead, left, unheard of
	Health      int                 `json:"health"`     // 0: its own; more: how much it lengthens its times for troubles of its own
	InStepMs    int64               `json:"in_step_ms"` // ago its copies were seen to equal another's; below 0: not since the start
	DecidedMs   int64               `json:"decided_ms"` // ago: all that was decided until then is here; below 0: that is not known
	Entries     []SharedEntryStatus `json:"entries"`
	Hints       []string            `json:"hints,omitempty"`           // servers that are hinted at now
	Kept        []string            `json:"not_carried_out,omitempty"` // pools whose orders would leave no server
	Hinted      int                 `json:"hinted"`                    // hints given so far
	Zones       []ZoneStatus        `json:"zones,omitempty"`
	Sums        map[string]uint64   `json:"sums"`
	Figures     gossip.Stats        `json:"figures"`
	Refused     gossip.Counts       `json:"refused"`
}

// SharedEntryStatus is one entry, as it is told.
type SharedEntryStatus struct {
	Owner  string   `json:"owner"`
	Key    string   `json:"key"`
	Inc    uint64   `json:"inc"`
	Seq    uint64   `json:"seq"`
	Values []string `json:"values,omitempty"` // none: taken back; several: contents of one version that differ
}

// sharedStateStatus tells of the shared state, nil without any. The caller has mu.
func (t *Host) sharedStateStatus(now time.Duration) *SharedStateStatus {
	k := t.shared
	if k == nil {
		return nil
	}
	s := &SharedStateStatus{
		Incarnation: k.node.Incarnation(), Members: map[string]string{}, Health: k.node.HealthScore(), Hints: k.evidence.Hints(k.node),
		Hinted: k.hinted, Sums: map[string]uint64{}, Figures: k.node.Stats, Refused: k.node.Store().Counts,
	}
	s.InStepMs, s.DecidedMs = k.ages(now)
	for name := range t.cfg.Members {
		s.Members[name] = k.node.Member(name).State.String()
	}
	s.Zones = k.zonesStatus()
	for _, kind := range append([]string{gossip.UnreachableKind, zoneview.ZoneCheckKind, zoneview.GrayFailureKind}, consensus.DecisionKinds...) {
		s.Sums[kind] = k.node.Store().Digest(kind)
	}
	for pool, kept := range k.notApplied {
		if kept {
			s.Kept = append(s.Kept, pool)
		}
	}
	slices.Sort(s.Kept)
	k.node.Store().ForEach("", func(e *gossip.Entry) bool {
		c := SharedEntryStatus{Owner: e.Owner, Key: e.Key, Inc: e.Incarnation, Seq: e.Sequence}
		for _, v := range e.Values() {
			c.Values = append(c.Values, string(v))
		}
		s.Entries = append(s.Entries, c)
		return len(s.Entries) < maxStatusEntries
	})
	return s
}

const maxStatusEntries = 20000

// forgetEntry takes back what this process says under a key.
func (t *Host) forgetEntry(key string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.shared
	switch {
	case k == nil:
		return errors.New("this process shares no state: [tier.copies] is missing in its file")
	case !k.evidence.Withdraw(k.node, key):
		return fmt.Errorf("%q has written nothing under %q: ask the member that has", t.cfg.Name, key)
	}
	t.runDue()
	return nil
}

// snapshot is what is kept for the next start.
func (k *sharedState) snapshot(name string) []byte {
	m := &gossip.Message{Kind: gossip.SyncMessage, Target: name}
	m.Owners = append(m.Owners, gossip.OwnerState{Name: name, Incarnation: k.node.Incarnation()})
	k.node.Store().ForEach("", func(e *gossip.Entry) bool {
		if e.Owner == name {
			return true // what it saw itself is to be seen anew
		}
		m.Entries = append(m.Entries, *e)
		return len(m.Entries) < maxSavedEntries
	})
	return sealFile(m.Encode())
}

const maxSavedEntries = 2000

// restore takes over what the last start has kept. What is in it is old, and counts for nothing that a newer word of its owner contradicts; a file
// that is damaged, another's or of another format is put aside, since all of it can be had from others.
func (k *sharedState) restore(now time.Duration, name string) error {
	if k.cfg.Store == "" {
		return nil
	}
	data, err := os.ReadFile(k.cfg.Store)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	var m *gossip.Message
	if err == nil {
		data, err = unsealFile(data)
	}
	if err == nil {
		m, err = gossip.Decode(data)
	}
	if err == nil && m.Target != name {
		err = fmt.Errorf("it was kept by %q", m.Target)
	}
	if err != nil {
		aside := k.cfg.Store + ".damaged"
		if moved := os.Rename(k.cfg.Store, aside); moved != nil {
			return fmt.Errorf("what was shared: %s: %w; and it can't be put aside: %w", k.cfg.Store, err, moved)
		}
		return nil
	}
	k.node.Restore(now, m)
	k.loaded = len(m.Entries)
	return nil
}

// writeFileAtomically writes a file so that a crash leaves the old one or the new one.
func writeFileAtomically(path string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // gone once it has its name
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", strings.TrimSpace(path), err)
	}
	return nil
}
