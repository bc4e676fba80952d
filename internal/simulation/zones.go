package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zonefailover"
	"sorrelrudder/internal/zoneview"
)

// The faults of servers, by zone. They are drawn only where zones are played.
const (
	FaultZoneDown      FaultKind = "zone-down" // no server of a zone answers anybody
	FaultZonePartition FaultKind = "zone-torn" // members of one zone get no answer from another
	FaultBadRelease    FaultKind = "release"   // two servers of each zone answer nobody, as of a bad release
	FaultZoneShift     FaultKind = "zone-word" // an operator leaves a zone, and after a while has it decided by itself again
)

// Mistakes about zones that can be planted.
const (
	BugLocalRanking    InjectedBug = "own-rank"         // each process has an order of servers of its own: parts are given out twice
	BugMinorityDecides InjectedBug = "minority-decides" // a process that can't ask decides by itself
	BugWallClockRamp   InjectedBug = "wall-return"      // a return is paced by a wall clock
	BugNoRelapse       InjectedBug = "no-way-back"      // a step that hurts is not taken back
	BugBlindRamp       InjectedBug = "blind-steps"      // a return goes on whatever those say that look
	BugTwoZonesLeft    InjectedBug = "two-at-once"      // what the others can bear is not looked at
	BugCommandRepeated InjectedBug = "word-repeated"    // an operator's word is carried out as often as it comes
	BugNoWarmUp        InjectedBug = "warm-at-once"     // a zone counts as warm with its last step
)

var zonePlants = []InjectedBug{BugLocalRanking, BugMinorityDecides, BugWallClockRamp, BugNoRelapse, BugBlindRamp, BugTwoZonesLeft, BugCommandRepeated, BugNoWarmUp}

// NeedsZoneFailover reports whether a mistake is one about zones.
func (p InjectedBug) NeedsZoneFailover() bool { return slices.Contains(zonePlants, p) }

const (
	zonePool = "farm"
	zones    = 3
	perZone  = 3
	// believed is for how long what members said of a server may outlive its being so: their words' time, and that in which one who is gone is missed.
	believed = 9 * time.Second
	// heardOf is after how long the one who decides has heard of a zone that is down throughout, whatever goes wrong meanwhile; soon where nothing
	// else does.
	heardOf = 6 * time.Second
	soon    = 2500 * time.Millisecond
)

// zoneRules are short, so that a run sees returns and relapses.
func (w *world) zoneRules() zonefailover.Rules {
	r := zonefailover.DefaultRules()
	r.StepDuration, r.HoldDown, r.MaxHoldDown, r.WarmUp = 300*time.Millisecond, 500*time.Millisecond, 2*time.Second, 900*time.Millisecond
	if w.o.Bug == BugNoWarmUp {
		r.WarmUp = 1
	}
	if w.o.Bug == BugTwoZonesLeft {
		r.MinRemainingCapacity, r.MaxUnreachableElsewhere = 0, 0.59
	}
	return r
}

// field is the truth about the servers.
type field struct {
	list  map[string]string // zones by server
	down  [zones]int        // faults at work
	torn  [zones][zones]int // from, to
	bad   int               // releases
	since [zones]time.Duration
	blind [zones][zones]time.Duration // to whom, when last: they can have said so for a while after
	last  [zones]time.Duration        // that a zone was seen to be lost, to members of two zones or more
	is    [zones]bool
}

func zoneName(z int) string { return string(rune('a' + z)) }

func newField() *field {
	f := &field{list: map[string]string{}}
	for z := range zones {
		f.last[z] = -time.Hour
		for from := range zones {
			f.blind[z][from] = -time.Hour
		}
		for i := range perZone {
			f.list[fmt.Sprint(zoneName(z), i)] = zoneName(z)
		}
	}
	return f
}

// answers reports whether a server answers members of a zone.
func (f *field) answers(server string, from int) bool {
	z := int(server[0] - 'a')
	return f.down[z] == 0 && f.torn[from][z] == 0 && (f.bad == 0 || server[1] == '0')
}

// note keeps since when zones are lost. Most of a zone's servers have to be silent to members of two zones; a release does that too, where the
// other zones' servers have recovered in the members' eyes and this one's have not.
func (f *field) note(now time.Duration) {
	for z := range zones {
		blind := 0
		for from := range zones {
			if f.torn[from][z] > 0 || f.down[z] > 0 || f.bad > 0 {
				f.blind[z][from] = now
			}
			if now <= f.blind[z][from]+soon {
				blind++
			}
		}
		if blind > 1 {
			f.last[z] = now
		}
		if is := f.down[z] > 0; is != f.is[z] {
			f.is[z], f.since[z] = is, now
		}
	}
}

// drawZones draws what happens to servers.
func drawZones(rng *rand.Rand, alone bool) []Fault {
	var all []Fault
	if alone { // nothing else goes wrong: a zone that goes again while it is being returned to
		zone := rng.IntN(zones)
		at := faultsFrom + time.Duration(rng.IntN(2000))*time.Millisecond
		all = append(all, Fault{At: at, Kind: FaultZoneDown, Target: zone, Duration: time.Duration(1000+rng.IntN(4000)) * time.Millisecond})
		// While it is returned to: its servers answer again, and a hold and three steps follow.
		at += all[0].Duration + 400*time.Millisecond + time.Duration(rng.IntN(1600))*time.Millisecond
		return append(all, Fault{At: at, Kind: FaultZoneDown, Target: zone, Duration: time.Duration(3000+rng.IntN(3000)) * time.Millisecond})
	}
	for n := 1 + rng.IntN(4); n > 0; n-- {
		f := Fault{At: faultsFrom + time.Duration(rng.Int64N(int64(faultsTo-faultsFrom-2*time.Second))), Target: rng.IntN(zones), Peer: rng.IntN(zones), Duration: time.Duration(200+rng.IntN(6500)) * time.Millisecond}
		f.Kind = []FaultKind{FaultZoneDown, FaultZoneDown, FaultZoneDown, FaultZoneDown, FaultZonePartition, FaultBadRelease, FaultZoneShift}[rng.IntN(7)]
		all = append(all, f)
	}
	return all
}

// strikeZones has a fault of servers happen, and reports whether it was one.
func (w *world) strikeZones(f Fault) bool {
	if w.field == nil {
		return false
	}
	count := func(n *int) {
		w.field.note(w.now)
		*n++
		w.field.note(w.now)
		w.after(f.Duration, func() {
			w.field.note(w.now)
			*n--
			w.field.note(w.now)
		})
	}
	switch f.Kind {
	case FaultZoneDown:
		count(&w.field.down[f.Target%zones])
	case FaultZonePartition:
		count(&w.field.torn[f.Peer%zones][f.Target%zones])
	case FaultBadRelease:
		count(&w.field.bad)
	case FaultZoneShift:
		w.order(f.Target%zones, zonefailover.State{Manual: true, Reason: "an operator"})
		w.after(f.Duration, func() { w.order(f.Target%zones, zonefailover.State{Reason: "an operator lets go"}) })
	default:
		return false
	}
	return true
}

// order has an operator decide of a zone.
func (w *world) order(zone int, s zonefailover.State) {
	c := consensus.DecisionCommand{Key: gossip.PoolKey(consensus.ZoneKind, zonePool, zoneName(zone)), Value: s.Encode(), Conditional: w.o.Bug != BugCommandRepeated}
	w.words[zone]++ // whoever gives the next has given up on the one before; copies of it may still be on their way
	word := w.words[zone]
	w.asks(func() consensus.Request {
		ask := c
		return consensus.Request{Decision: &ask}
	}, func(r consensus.Response) (done bool) {
		if r.Decision == nil || w.words[zone] != word {
			return true
		}
		next, again := c.Rebase(r.Decision)
		c = next
		return !again
	})
}

// zoner is a process' part in leaving zones.
type zoner struct {
	evidence *gossip.FailureReports
	keeper   *zonefailover.Controller // nil: it does not hold the lease
	asking   time.Duration            // since; below 0: nothing is asked
	looked   map[string]bool
	turn     int
	id       string // of the decisions by which it was looked at what it leaves out
}

func (p *proc) members() map[string]string {
	all := map[string]string{}
	for _, q := range p.w.procs {
		all[q.name] = zoneName(q.i % zones)
	}
	return all
}

// avoids are the servers that the process leaves out.
func (p *proc) avoids() map[string]bool {
	if p.w.o.Bug == BugLocalRanking {
		list := map[string]string{}
		turned := map[string]string{}
		for server, zone := range p.w.field.list {
			as := fmt.Sprint(zone, (int(server[1]-'0')+p.i)%perZone)
			list[as], turned[as] = zone, server
		}
		all, _, _ := zoneview.Exclusions(p.rep.node, zonePool, list)
		own := map[string]bool{}
		for as := range all {
			own[turned[as]] = true
		}
		return own
	}
	all, _, _ := zoneview.Exclusions(p.rep.node, zonePool, p.w.field.list)
	return all
}

// watchesZones has the process meet servers, look at zones that were left, and decide if it is for it to.
func (p *proc) watchesZones() {
	z, n, rng := p.rep.zoner, p.rep.node, p.w.rumours
	now := p.clock()
	avoid := p.avoids()
	for _, server := range slices.Sorted(maps.Keys(p.w.field.list)) {
		if avoid[server] { // what it leaves out it says nothing of
			z.evidence.Record(now, n, gossip.PoolKey(gossip.UnreachableKind, zonePool, server), false)
		} else if rng.IntN(2) == 0 {
			z.evidence.Record(now, n, gossip.PoolKey(gossip.UnreachableKind, zonePool, server), !p.w.field.answers(server, p.i%zones))
		}
	}
	z.turn++
	wanted := map[string]bool{}
	r := p.w.zoneRules()
	looks := zoneview.AssignedChecks(n, &r, p.members(), p.name, zonePool, p.w.field.list, z.turn)
	for _, zone := range slices.Sorted(maps.Keys(looks)) {
		answered := 0
		for _, server := range looks[zone] {
			if p.w.field.answers(server, p.i%zones) {
				answered++
			}
		}
		key := gossip.PoolKey(zoneview.ZoneCheckKind, zonePool, zone)
		wanted[key] = true
		n.Put(key, zoneview.EncodeZoneCheck(answered, len(looks[zone])))
		z.looked[key] = true
	}
	for _, key := range slices.Sorted(maps.Keys(z.looked)) {
		if !wanted[key] {
			n.Delete(key)
			delete(z.looked, key)
		}
	}
	p.decidesZones(now)
	p.w.watch.copies(p)
	p.gossipLater()
	p.soon(150*time.Millisecond+time.Duration(rng.IntN(200))*time.Millisecond, p.watchesZones)
}

// decidesZones is what the holder of the lease does.
func (p *proc) decidesZones(now time.Duration) {
	z, n := p.rep.zoner, p.rep.node
	token, _, held := p.keeper.Token(now, zoneview.LeaseName)
	alone := p.w.o.Bug == BugMinorityDecides && !held && p.keeper.SessionID() != 0 && now >= p.keeper.ValidUntil()
	if (!held || p.leaving) && !alone {
		z.keeper, z.asking = nil, -1
		return
	}
	if z.keeper == nil {
		z.keeper = zonefailover.NewController(p.w.zoneRules())
	}
	scene := zoneview.Snapshot(n, p.members(), zonePool, p.w.field.list)
	switch p.w.o.Bug {
	case BugWallClockRamp:
		now += p.w.now / (700 * time.Millisecond) * 400 * time.Millisecond // set forth now and then
	case BugBlindRamp:
		scene.ZoneChecks = slices.DeleteFunc(scene.ZoneChecks, func(l zonefailover.ZoneCheck) bool {
			s, is := scene.States[l.Zone]
			return is && s.Step < zonefailover.FullStep
		})
		for _, member := range slices.Sorted(maps.Keys(scene.MemberZones)) {
			for zone := range zones {
				if s, is := scene.States[zoneName(zone)]; is && s.Step < zonefailover.FullStep {
					scene.ZoneChecks = append(scene.ZoneChecks, zonefailover.ZoneCheck{Member: member, Zone: zoneName(zone), AllHealthy: true})
				}
			}
		}
	case BugMinorityDecides:
		scene.FleetSize = len(scene.MemberZones)
	}
	change, _ := z.keeper.Next(now, scene)
	if change == nil || z.asking >= 0 && p.clock() < z.asking+rules.KeepAliveInterval() {
		return
	}
	if p.w.o.Bug == BugNoRelapse && change.State.Relapses > scene.States[change.Zone].Relapses {
		return
	}
	c := zoneview.ShiftCommand(n, zonePool, *change, token)
	if alone {
		n.ApplyDecision(c.Key, c.BasedOn+1, []byte(c.Value))
		return
	}
	z.asking = p.clock()
	p.call(consensus.Request{Decision: &c}, func(r consensus.Response) {
		z.asking = -1
		if r.Decision != nil && r.Decision.Refusal == "" && p.rep != nil && p.rep.node == n {
			n.ApplyDecision(c.Key, r.Decision.Number, []byte(c.Value))
			p.w.watch.copies(p)
			p.gossipLater()
		}
	})
}

// zonesWatch is what the observer remembers of zones. It reads the council's log and what processes leave out, and knows the truth.
type zonesWatch struct {
	number uint64 // of the newest decision that was seen in the log
	states [zones]zonefailover.State
	at     [zones]time.Duration // of the newest decision
	values map[uint64]string    // of decisions, by number
}

// decides looks at what is new in the log.
func (o *observer) decides(f *consensus.StateMachine) {
	z := o.zones
	if z == nil || f == nil || f.LastDecision <= z.number {
		return
	}
	whole := true
	next := z.number
	f.DecisionsSince(z.number, func(key string, d consensus.Decision) {
		whole = whole && d.Number == next+1 // else something between has been overwritten in one piece
		next = d.Number
		z.values[d.Number] = key + " " + d.Value
		pool, name, ok := gossip.SplitPoolKey(key)
		if gossip.KindOf(key) != consensus.ZoneKind || !ok || pool != zonePool {
			return
		}
		s, err := zonefailover.Decode(d.Value)
		if err != nil {
			o.w.breaks("the council has decided %q: %v", d.Value, err)
			return
		}
		o.judge(int(name[0]-'a'), s, d, whole)
	})
	z.number = f.LastDecision
}

// judge says whether a decision may be one.
func (o *observer) judge(zone int, s zonefailover.State, d consensus.Decision, whole bool) {
	z, w := o.zones, o.w
	was, at := z.states[zone], z.at[zone]
	z.states[zone], z.at[zone] = s, w.now
	w.counts["zone_decisions"]++
	w.note("decided: zone %s %s, number %d, token %d", zoneName(zone), s.Encode(), d.Number, d.Token)
	if d.Token == 0 || !whole { // by an operator, or what was before is not known
		return
	}
	forward := s.Step > was.Step
	warm := was.WarmingUp && !s.WarmingUp && s.Step == was.Step
	switch {
	case was.Manual:
		w.breaks("zone %s is decided by itself against an operator's word", zoneName(zone))
	case s.WarmingUp != (forward && s.Step == zonefailover.FullStep):
		w.breaks("zone %s is decided to be at step %d, cold: %v", zoneName(zone), s.Step, s.WarmingUp)
	case warm:
	case !legalStep(was.Step, s.Step, forward):
		w.breaks("zone %s goes from step %d to %d", zoneName(zone), was.Step, s.Step)
	case was.Step == zonefailover.FullStep && w.now > w.field.last[zone]+believed && !w.field.is[zone]:
		w.breaks("zone %s is left, and was well to all but one zone for %v", zoneName(zone), w.now-w.field.last[zone])
	case forward && w.field.is[zone] && (w.now > w.field.since[zone]+heardOf || w.now > w.field.since[zone]+soon && w.calm(w.field.since[zone]-rules.TTL)):
		w.breaks("zone %s is returned to, to step %d, and has been down for %v", zoneName(zone), s.Step, w.now-w.field.since[zone])
	}
	usual := (&world{}).zoneRules()
	least := usual.StepDuration
	if was.Step == 0 {
		least = min(usual.HoldDown<<min(was.Relapses, 20), usual.MaxHoldDown)
	}
	if warm {
		least = usual.WarmUp
		w.counts["zones_warm"]++
	}
	if (forward || warm) && w.now < at+time.Duration(float64(least)/(1+drift)) {
		w.breaks("zone %s goes to step %d, cold: %v, after %v, %v at least", zoneName(zone), s.Step, s.WarmingUp, w.now-at, least)
	}
	if warm {
		return
	}
	if !forward && was.Step == zonefailover.FullStep {
		w.counts["zones_left"]++
		for other := range zones {
			if other != zone && z.states[other].Step < zonefailover.FullStep && !z.states[other].Manual {
				w.breaks("zone %s is left while zone %s is not wholly in use", zoneName(zone), zoneName(other))
			}
		}
	}
	if !forward && was.Step < zonefailover.FullStep {
		w.counts["zone_relapses"]++
	}
	if forward && s.Step == zonefailover.FullStep {
		w.counts["zones_returned"]++
	}
}

// carries looks at what a process has of the council's decisions on zones, and at what it leaves out.
func (o *observer) carries(p *proc) {
	if o.zones == nil {
		return
	}
	id := ""
	p.rep.node.Store().ForEachOf(gossip.ConsensusOwner, consensus.ZoneKind+"/", func(e *gossip.Entry) bool {
		id += fmt.Sprint(e.Key, e.Sequence, " ")
		if want, decided := o.zones.values[e.Sequence]; e.Sequence > o.zones.number || decided && len(e.Values()) == 1 && want != e.Key+" "+string(e.Values()[0]) {
			o.w.breaks("%s holds %s by number %d, %q, which the council has not decided", p.name, e.Key, e.Sequence, e.Siblings)
		}
		return true
	})
	if id == p.rep.zoner.id {
		return
	}
	p.rep.zoner.id = id
	avoid := fmt.Sprint(slices.Sorted(maps.Keys(p.avoids())))
	if first, had := o.avoids[id]; had && first != avoid {
		o.w.breaks("%s leaves out %s by the decisions by which others leave out %s", p.name, avoid, first)
	}
	o.avoids[id] = avoid
}

// retires looks whether a return into a zone that is down goes on.
func (o *observer) retires() {
	if o.zones == nil {
		return
	}
	w := o.w
	for zone, s := range o.zones.states {
		alike := false // lost together with another one it is not to be left
		for other := range zones {
			alike = alike || other != zone && w.now <= w.field.last[other]+soon+believed
		}
		if !alike && s.Step > 0 && s.Step < zonefailover.FullStep && !s.Manual && w.field.is[zone] && w.now > w.field.since[zone]+soon && w.now > o.zones.at[zone]+soon && w.calm(w.now-soon-rules.TTL) {
			w.breaks("zone %s has been down for %v and is still used at step %d", zoneName(zone), w.now-w.field.since[zone], s.Step)
		}
	}
}

// calm reports whether nothing but servers has failed since then.
func (w *world) calm(since time.Duration) bool {
	for _, f := range w.faults {
		switch f.Kind {
		case FaultZoneDown, FaultZonePartition, FaultBadRelease, FaultZoneShift:
		default:
			if f.At <= w.now && f.At+f.Duration+4*time.Second > since {
				return false
			}
		}
	}
	return true
}

// endZones says at the end what is not wholly in use, with all well for long.
func (o *observer) endZones() {
	if o.zones == nil {
		return
	}
	for zone, s := range o.zones.states {
		if s.Recovering() {
			o.w.breaks("zone %s is at step %d (pinned: %v, cold: %v) at the end", zoneName(zone), s.Step, s.Manual, s.WarmingUp)
		}
	}
	for _, p := range o.w.procs {
		if p.up && len(p.avoids()) > 0 {
			o.w.breaks("%s leaves out %v at the end", p.name, slices.Sorted(maps.Keys(p.avoids())))
		}
	}
}

// legalStep reports whether a zone may go from one step of the ramp to another: it is left, recovers by a step, or falls back by two.
func legalStep(from, to int, forward bool) bool {
	return from == zonefailover.FullStep && to == 0 ||
		forward && to == from+1 ||
		from > 0 && to == max(0, from-2)
}
