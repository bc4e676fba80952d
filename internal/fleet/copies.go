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

// CopiesConfig is what a process is told of the state that the fleet's processes share.
type CopiesConfig struct {
	Gossip, Probe, Sync, Keep time.Duration
	Fanout, Witnesses         int
	Budget                    float64       // bytes a second to those that catch up
	Store                     string        // file for what it knows, read at the next start; empty: none
	Figures                   time.Duration // how often the log is told figures; 0: never
}

// Pools is what shared state is about: the process' own pools.
type Pools interface {
	OnSilent(f func(pool, server string, is bool))
	Hint(pool, server string)
	Avoid(pool string, servers, returning, soft map[string]bool) (done bool)
	PoolNames() []string
	Servers(pool string) (zones map[string]string) // by the server's name
	Look(pool, server string) (answers bool)
	Outcomes(pool string, f func(zone string, answered, failed int64, delay time.Duration)) // by zone, since the start
}

const (
	sightsLen = 1024 // what pools have seen, until it is looked at; more is dropped, and seen again
	hintEvery = 100 * time.Millisecond
	saveEvery = 10 * time.Second
)

// sight is something that a pool has seen of a server.
type sight struct {
	pool, server string
	silent       bool
}

// copies is a process' part in the shared state. All of it is under the tier's mu, but for sights.
type copies struct {
	cfg      CopiesConfig
	node     *gossip.Node
	evidence *gossip.Evidence
	pools    Pools
	sights   chan sight
	orders   uint64        // the number of the newest order that was taken from the council's log here
	nudge    chan struct{} // there is something among sights
	sightAt  time.Duration // before it sights are not looked at for a nudge
	hintAt   time.Duration
	stirred  bool // the evidence or the orders may have changed since hints were looked for, or some stand
	saveAt   time.Duration
	ordered  bool          // the orders in force have changed
	foreign  bool          // a peer of another format was told of
	whole    time.Duration // the newest moment up to which all that was decided is known to be here; below 0: none
	avoiding map[string]orders
	work     chan struct{}     // something of the next two is there
	hints    map[string]bool   // servers to be hinted at
	due      map[string]orders // to be carried out, by pool
	kept     map[string]bool   // pools whose orders can't be carried out: no ready server would be left
	loaded   int
	hinted   int
	zones    zones
	looked   map[string]bool // keys of looks that are written
	turns    int
	toldAt   time.Duration
	frames   int64 // sent until toldAt
	bytes    int64
	lies     []string // only the laboratory's
}

// labLies names the laboratory's setting: servers, as POOL/SERVER and separated by commas, that the process says are dead, whatever it sees.
const labLies = "SORRELRUDDER_LAB_LIES"

// share begins to take part in the shared state. The caller has mu.
func (t *Tier) share(s Sender) error {
	c := t.cfg.Copies
	if c == nil {
		return nil
	}
	cfg := gossip.Usual()
	cfg.Name, cfg.Members = t.cfg.Name, slices.Sorted(maps.Keys(t.cfg.Members))
	cfg.Kinds, cfg.Decided = []string{gossip.DeadKind, zoneview.LookKind, zoneview.GreyKind}, consensus.DecidedKinds
	cfg.Gossip, cfg.Probe, cfg.Sync, cfg.Keep, cfg.Fanout, cfg.Budget = c.Gossip, c.Probe, c.Sync, c.Keep, c.Fanout, c.Budget
	h := fnv.New64a()
	h.Write([]byte(t.keeper.Start()))
	cfg.Seed = h.Sum64()
	now := t.clock.Now()
	k := &copies{
		cfg: *c, node: gossip.New(now, cfg), evidence: gossip.NewEvidence(c.Witnesses), sights: make(chan sight, sightsLen), nudge: make(chan struct{}, 1), whole: -1,
		avoiding: map[string]orders{}, kept: map[string]bool{}, work: make(chan struct{}, 1),
		zones: zones{cfg: t.cfg.Zones, keepers: map[string]*zonefailover.Keeper{}, advised: map[string]string{}, causes: map[string]zonefailover.Cause{}, look: make(chan struct{}, 1), grey: map[string]*zonefailover.Grey{}, said: map[string]bool{}}, looked: map[string]bool{},
		hints: map[string]bool{}, due: map[string]orders{}, saveAt: now + saveEvery,
	}
	if err := k.load(now, t.cfg.Name); err != nil {
		return err
	}
	if lies := os.Getenv(labLies); lies != "" {
		k.lies = strings.Split(lies, ",")
	}
	k.pools, _ = s.(Pools)
	if k.pools != nil {
		k.pools.OnSilent(func(pool, server string, is bool) { // under a pool's lock: it must not wait
			select {
			case k.sights <- sight{pool, server, is}:
			default:
			}
			select {
			case k.nudge <- struct{}{}:
			default: // it will find them
			}
		})
	}
	t.copies = k
	if k.pools != nil {
		t.done.Go(t.carry)
		t.done.Go(t.watchZones)
		if t.cfg.Zones != nil && t.cfg.Zones.Automatic != ZonesOff {
			t.keeper.Want(zoneview.Lease, 1)
		}
	}
	return nil
}

// gossip does what is due for the shared state, and returns when it is to be called again at the latest. The caller has mu.
func (t *Tier) gossip(now time.Duration) time.Duration {
	k := t.copies
	k.sightAt = now + hintEvery
	for n := len(k.sights); n > 0; n-- {
		s := <-k.sights
		k.stirred = true
		if s.silent && k.avoiding[s.pool].avoid[s.server] {
			continue // what is left out is for those that look: a word of before must not stand in the way of a return
		}
		if key := gossip.ServerKey(gossip.DeadKind, s.pool, s.server); key != "" {
			k.evidence.Saw(now, k.node, key, s.silent)
		}
	}
	for _, lie := range k.lies {
		k.stirred = true
		k.evidence.Saw(now, k.node, gossip.DeadKind+"/"+lie, true)
	}
	t.say(k.node.Tick(now))
	t.heed(now)
	t.judge(now)
	if k.cfg.Figures > 0 && now >= k.toldAt+k.cfg.Figures {
		t.tellCopies(now)
	}
	if k.cfg.Store != "" && now >= k.saveAt {
		k.saveAt = now + saveEvery
		data := k.snapshot(t.cfg.Name)
		t.done.Go(func() {
			if err := writeWhole(k.cfg.Store, data); err != nil {
				t.log.Warn("what is shared could not be kept", "err", err)
			}
		})
	}
	at := k.node.Next()
	if k.pools != nil && k.stirred {
		at = min(at, k.hintAt)
	}
	if z := &k.zones; z.cfg != nil && z.cfg.Automatic != ZonesOff && (len(z.keepers) > 0 || k.node.Copies().Sum(gossip.DeadKind) != 0) {
		at = min(at, z.judgeAt) // while this process decides, or there is something to look at
	}
	if k.cfg.Figures > 0 {
		at = min(at, k.toldAt+k.cfg.Figures)
	}
	return at
}

// look has what pools have seen be looked at soon: not at each sight, of which there may be many.
func (t *Tier) look() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() == nil {
		t.timer.Reset(max(0, t.clock.Real(t.copies.sightAt-t.clock.Now())))
	}
}

// CopiesFigures is the message of the log's line on shared state. 'sorrelrudder fleet' counts it over all processes.
const CopiesFigures = "shared state"

// tellCopies tells the log what has become of the shared state. The caller has mu.
func (t *Tier) tellCopies(now time.Duration) {
	k := t.copies
	frames, bytes := t.sent.gossipFrames.Load(), t.sent.gossipBytes.Load()
	step, whole := k.ages(now)
	dead, orders := 0, 0
	k.node.Copies().All("", func(e *gossip.Entry) bool {
		if len(e.Values()) > 0 && gossip.KindOf(e.Key) == consensus.OrderKind {
			orders++
		} else if len(e.Values()) > 0 {
			dead++
		}
		return true
	})
	t.log.Info(CopiesFigures, "frames", frames-k.frames, "bytes", bytes-k.bytes, "in_step_ms", step, "decided_ms", whole, "alive", k.node.Count(gossip.Alive)+1,
		"suspect", k.node.Count(gossip.Suspect), "gone", k.node.Count(gossip.Dead), "dead", dead, "orders", orders, "hinted", k.hinted, "differ", k.node.Copies().Counts.Differ)
	k.frames, k.bytes, k.toldAt = frames, bytes, now
}

// ages are how many milliseconds ago the copies were seen to equal another's, and as of how long ago all that was decided is here; -1: neither
// is known since the start.
func (k *copies) ages(now time.Duration) (step, whole int64) {
	step, whole = -1, -1
	if ago, ok := k.node.Caught(now); ok {
		step = ago.Milliseconds()
	}
	if k.whole >= 0 {
		whole = (now - k.whole).Milliseconds()
	}
	return step, whole
}

// heed looks at what has changed in the copies. The caller has mu.
func (t *Tier) heed(now time.Duration) {
	k := t.copies
	for _, e := range k.node.Events() {
		t.log.Info("a member", "name", e.Name, "was", e.From.String(), "is", e.To.String())
	}
	changed := k.node.Copies().Changed()
	for _, p := range changed {
		k.ordered = k.ordered || p.Owner() == gossip.Council
	}
	k.stirred = k.stirred || len(changed) > 0 || k.ordered
	k.evidence.Look(now, k.node, changed)
	if k.pools == nil || now < k.hintAt {
		return
	}
	k.hintAt = now + hintEvery
	hints := k.evidence.Hints(k.node)
	k.stirred = len(hints) > 0 || k.evidence.Own() > 0 // hints are given again while they stand, and what was seen here ages
	k.hinted += len(hints)
	var due map[string]orders
	if k.ordered {
		k.ordered = false
		due = k.ordersByPool()
	}
	for _, key := range hints {
		k.hints[key] = true
	}
	maps.Copy(k.due, due)
	if len(hints)+len(due) > 0 {
		select {
		case k.work <- struct{}{}:
		default: // it will find them
		}
	}
}

// carry has the pools hear and do what is due, one thing after the other: an older order never comes after a newer. A pool is asked without any
// lock of the tier.
func (t *Tier) carry() {
	k := t.copies
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-k.work:
		}
		t.mu.Lock()
		hints, due := k.hints, k.due
		k.hints, k.due = map[string]bool{}, map[string]orders{}
		t.mu.Unlock()
		t.carryOut(due)
		for _, key := range slices.Sorted(maps.Keys(hints)) {
			if pool, server, ok := gossip.ServerOf(key); ok {
				k.pools.Hint(pool, server)
			}
		}
	}
}

// orders are what a pool is to do: send nothing new to some servers, but for those of soft that have started again, and take others, which the fleet
// has begun to use again, for cold.
type orders struct{ avoid, returning, soft map[string]bool }

func (o orders) equal(p orders) bool {
	return maps.Equal(o.avoid, p.avoid) && maps.Equal(o.returning, p.returning) && maps.Equal(o.soft, p.soft)
}

// ordersByPool are the orders that have changed, by pool; a pool that had some and has none is there with none.
func (k *copies) ordersByPool() map[string]orders {
	next := map[string]orders{}
	at := func(pool string) orders {
		if next[pool].avoid == nil {
			next[pool] = orders{map[string]bool{}, map[string]bool{}, map[string]bool{}}
		}
		return next[pool]
	}
	k.node.Copies().All(consensus.OrderKind+"/", func(e *gossip.Entry) bool {
		if pool, server, ok := gossip.ServerOf(e.Key); ok && len(e.Values()) > 0 {
			at(pool).avoid[server] = true
		}
		return true
	})
	k.addZones(at)
	out := map[string]orders{}
	for pool, o := range next {
		if !o.equal(k.avoiding[pool]) {
			out[pool] = o
		}
	}
	for pool := range k.avoiding {
		if next[pool].avoid == nil {
			out[pool] = orders{}
		}
	}
	k.avoiding = next
	return out
}

// carryOut has the pools avoid what is ordered.
func (t *Tier) carryOut(due map[string]orders) {
	k := t.copies
	for _, pool := range slices.Sorted(maps.Keys(due)) {
		done := k.pools.Avoid(pool, due[pool].avoid, due[pool].returning, due[pool].soft)
		t.mu.Lock()
		for server := range due[pool].avoid {
			k.evidence.Saw(t.clock.Now(), k.node, gossip.ServerKey(gossip.DeadKind, pool, server), false)
		}
		t.keep()
		t.mu.Unlock()
		names := slices.Sorted(maps.Keys(due[pool].avoid))
		if done {
			t.log.Info("orders are carried out", "pool", pool, "avoided", names)
		} else {
			t.log.Warn("orders are not carried out: no ready server would be left", "pool", pool, "avoided", names)
		}
		t.mu.Lock()
		k.kept[pool] = !done
		t.mu.Unlock()
	}
}

// say sends messages to others. The caller has mu.
func (t *Tier) say(out []gossip.Out) {
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

// hearCopies takes a message about shared state.
func (t *Tier) hearCopies(from string, payload []byte) {
	m, err := gossip.Decode(payload)
	t.mu.Lock()
	k := t.copies
	if k == nil {
		t.mu.Unlock()
		return
	}
	if err != nil {
		told := k.foreign && errors.Is(err, gossip.ErrFormat)
		k.foreign = k.foreign || errors.Is(err, gossip.ErrFormat)
		t.mu.Unlock()
		if !told {
			t.complain(from, err)
		}
		return
	}
	now := t.clock.Now()
	t.say(k.node.Take(now, from, m))
	t.heed(now)
	t.keep()
	t.mu.Unlock()
}

// decidedAt takes the council's word, asked for at that moment, of how far it has come: who has the same sum has all that was decided before.
func (t *Tier) decidedAt(at time.Duration, d *consensus.Decided) {
	k := t.copies
	if k == nil || d == nil {
		return
	}
	k.node.Copies().Council(gossip.FleetTag(d.Fleet))
	if k.node.Copies().Sum(consensus.OrderKind)+k.node.Copies().Sum(consensus.ZoneKind) == d.Sum {
		k.whole = max(k.whole, at)
	}
}

// takeOrders takes over what the log here has decided. The caller has mu.
func (t *Tier) takeOrders(f *consensus.Fleet) {
	k := t.copies
	if k == nil || f == nil {
		return
	}
	k.node.Copies().Council(gossip.FleetTag(f.ID))
	if f.Ordered > k.orders {
		k.orders = f.OrdersSince(k.orders, func(key string, o consensus.Order) { k.node.Decide(key, o.Number, o.Bytes()) })
		t.keep()
	}
}

// CopiesStatus is what a process tells operators of the shared state.
type CopiesStatus struct {
	Incarnation uint64            `json:"incarnation"`
	Members     map[string]string `json:"members"`    // by name: alive, suspect, dead, left, unheard of
	Health      int               `json:"health"`     // 0: its own; more: how much it lengthens its times for troubles of its own
	InStepMs    int64             `json:"in_step_ms"` // ago its copies were seen to equal another's; below 0: not since the start
	DecidedMs   int64             `json:"decided_ms"` // ago: all that was decided until then is here; below 0: that is not known
	Entries     []CopyEntry       `json:"entries"`
	Hints       []string          `json:"hints,omitempty"`           // servers that are hinted at now
	Kept        []string          `json:"not_carried_out,omitempty"` // pools whose orders would leave no server
	Hinted      int               `json:"hinted"`                    // hints given so far
	Zones       []ZoneStatus      `json:"zones,omitempty"`
	Sums        map[string]uint64 `json:"sums"`
	Figures     gossip.Figures    `json:"figures"`
	Refused     gossip.Counts     `json:"refused"`
}

// CopyEntry is one entry, as it is told.
type CopyEntry struct {
	Owner  string   `json:"owner"`
	Key    string   `json:"key"`
	Inc    uint64   `json:"inc"`
	Seq    uint64   `json:"seq"`
	Values []string `json:"values,omitempty"` // none: taken back; several: contents of one version that differ
}

// copiesStatus tells of the shared state, nil without any. The caller has mu.
func (t *Tier) copiesStatus(now time.Duration) *CopiesStatus {
	k := t.copies
	if k == nil {
		return nil
	}
	s := &CopiesStatus{
		Incarnation: k.node.Inc(), Members: map[string]string{}, Health: k.node.Health(), Hints: k.evidence.Hints(k.node),
		Hinted: k.hinted, Sums: map[string]uint64{}, Figures: k.node.Figures, Refused: k.node.Copies().Counts,
	}
	s.InStepMs, s.DecidedMs = k.ages(now)
	for name := range t.cfg.Members {
		s.Members[name] = k.node.Member(name).State.String()
	}
	s.Zones = k.zonesStatus()
	for _, kind := range append([]string{gossip.DeadKind, zoneview.LookKind, zoneview.GreyKind}, consensus.DecidedKinds...) {
		s.Sums[kind] = k.node.Copies().Sum(kind)
	}
	for pool, kept := range k.kept {
		if kept {
			s.Kept = append(s.Kept, pool)
		}
	}
	slices.Sort(s.Kept)
	k.node.Copies().All("", func(e *gossip.Entry) bool {
		c := CopyEntry{Owner: e.Owner, Key: e.Key, Inc: e.Inc, Seq: e.Seq}
		for _, v := range e.Values() {
			c.Values = append(c.Values, string(v))
		}
		s.Entries = append(s.Entries, c)
		return len(s.Entries) < mostToldEntries
	})
	return s
}

const mostToldEntries = 20000

// forget takes back what this process says under a key.
func (t *Tier) forget(key string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.copies
	switch {
	case k == nil:
		return errors.New("this process shares no state: [tier.copies] is missing in its file")
	case !k.evidence.Forget(k.node, key):
		return fmt.Errorf("%q has written nothing under %q: ask the member that has", t.cfg.Name, key)
	}
	t.keep()
	return nil
}

// snapshot is what is kept for the next start.
func (k *copies) snapshot(name string) []byte {
	m := &gossip.Message{Kind: gossip.Sync, Target: name}
	m.Owners = append(m.Owners, gossip.OwnerState{Name: name, Inc: k.node.Inc()})
	k.node.Copies().All("", func(e *gossip.Entry) bool {
		if e.Owner == name {
			return true // what it saw itself is to be seen anew
		}
		m.Entries = append(m.Entries, *e)
		return len(m.Entries) < mostKept
	})
	return seal(m.Encode())
}

const mostKept = 2000

// load takes over what the last start has kept. What is in it is old, and counts for nothing that a newer word of its owner contradicts; a file
// that is damaged, another's or of another format is put aside, since all of it can be had from others.
func (k *copies) load(now time.Duration, name string) error {
	if k.cfg.Store == "" {
		return nil
	}
	data, err := os.ReadFile(k.cfg.Store)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	var m *gossip.Message
	if err == nil {
		data, err = unseal(data)
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

// writeWhole writes a file so that a crash leaves the old one or the new one.
func writeWhole(path string, data []byte) error {
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
