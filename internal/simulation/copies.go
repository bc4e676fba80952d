package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zoneview"
)

const (
	copiesKind = "dead"
	// writesTo is when the last is written; all copies are to be equal at the end.
	writesTo = 26 * time.Second
)

// shared is a process' part in the shared state, and what the observer has seen of it since its start.
type shared struct {
	node   *gossip.Node
	ticks  uint64
	armed  time.Duration // when the next tick is, by the process' clock; below 0: none is due
	orders uint64
	newest map[gossip.EntryID]gossip.Version
	gone   map[gossip.EntryID]bool
	zoner  *zoner // nil: no zones are played
}

// shares begins to take part in the shared state, as a process does that starts.
func (p *proc) shares() {
	if !p.w.o.SharedState {
		return
	}
	cfg := gossip.DefaultConfig()
	cfg.GossipInterval, cfg.SyncInterval, cfg.DeadRetention = 150*time.Millisecond, time.Second, 4*time.Second
	cfg.Name, cfg.Kinds, cfg.DecidedKinds, cfg.Seed = p.name, []string{copiesKind, zoneview.ZoneCheckKind}, consensus.DecisionKinds, p.w.rumours.Uint64()
	if slices.Contains(gossip.InjectedFaults, gossip.InjectedFault(p.w.o.Bug)) {
		cfg.Fault = gossip.InjectedFault(p.w.o.Bug)
	}
	for _, q := range p.w.procs {
		cfg.Members = append(cfg.Members, q.name)
	}
	p.rep = &shared{node: gossip.New(p.clock(), cfg), newest: map[gossip.EntryID]gossip.Version{}, gone: map[gossip.EntryID]bool{}, armed: -1}
	p.gossipLater()
	p.soon(time.Duration(p.w.rumours.IntN(800))*time.Millisecond, p.writes)
	if p.w.o.ZoneFailover {
		p.rep.zoner = &zoner{evidence: gossip.NewFailureReports(2), asking: -1, looked: map[string]bool{}}
		p.soon(time.Duration(p.w.rumours.IntN(300))*time.Millisecond, p.watchesZones)
	}
}

// gossipLater has the copies tick when they want to, unless they do so sooner already.
func (p *proc) gossipLater() {
	next := p.rep.node.NextTick()
	if p.rep.armed >= 0 && p.rep.armed <= next {
		return
	}
	p.rep.armed = next
	p.rep.ticks++
	tick, rep := p.rep.ticks, p.rep
	p.soon(max(time.Millisecond, time.Duration(float64(next-p.clock())/p.rate)), func() {
		if p.rep == rep && rep.ticks == tick {
			rep.armed = -1
			p.says(rep.node.Tick(p.clock()))
		}
	})
}

// says carries messages, and has the observer look at what has changed.
func (p *proc) says(out []gossip.Envelope) {
	for _, o := range out {
		to := p.w.byName(o.To)
		p.w.carry(p, to, "copies", func() {
			if to.rep != nil {
				to.says(to.rep.node.Receive(to.clock(), p.name, o.Message))
			}
		})
	}
	p.w.watch.copies(p)
	p.gossipLater()
}

// writes has the process write something, or take it back, again and again.
func (p *proc) writes() {
	if p.w.now > writesTo {
		return
	}
	key := fmt.Sprintf("%s/%d", copiesKind, p.w.rumours.IntN(4))
	if p.w.rumours.IntN(3) == 0 {
		p.rep.node.Delete(key)
	} else {
		p.rep.node.Put(key, []byte{byte(p.w.rumours.IntN(3))})
	}
	if p.w.rumours.IntN(12) == 0 {
		key := fmt.Sprintf("%s/%d", consensus.OperatorKind, p.w.rumours.IntN(3))
		p.call(consensus.Request{Decision: &consensus.DecisionCommand{Key: key, Value: p.name, Withdraw: p.w.rumours.IntN(2) == 0}}, func(consensus.Response) {})
	}
	p.w.watch.copies(p)
	p.gossipLater()
	p.soon(200*time.Millisecond+time.Duration(p.w.rumours.IntN(1500))*time.Millisecond, p.writes)
}

// takesOrders takes over what the council's log has decided.
func (p *proc) takesOrders() {
	if p.rep == nil || p.node == nil || p.node.StateMachine() == nil {
		return
	}
	p.rep.node.Store().SetFleetTag(gossip.FleetTag(p.node.StateMachine().FleetID))
	p.rep.orders = p.node.StateMachine().DecisionsSince(p.rep.orders, func(key string, o consensus.Decision) { p.rep.node.ApplyDecision(key, o.Number, o.Bytes()) })
	p.w.watch.copies(p)
	p.gossipLater()
}

// copies looks at what has changed at a process: a version never goes back, and what was gone does not come back as it was.
func (o *observer) copies(p *proc) {
	changed := p.rep.node.Store().TakeChanges()
	if p.rep.zoner != nil {
		p.rep.zoner.evidence.Update(p.clock(), p.rep.node, changed)
	}
	if slices.ContainsFunc(changed, func(at gossip.EntryID) bool { return at.Owner() == gossip.ConsensusOwner }) {
		o.carries(p)
	}
	for _, at := range changed {
		e, ok := p.rep.node.Store().Get(at.Owner(), at.Key())
		if !ok {
			p.rep.gone[at] = true
			continue
		}
		was, had := p.rep.newest[at]
		switch c := e.Compare(was); {
		case had && c < 0:
			o.w.breaks("%s: %s of %s goes back from %v to %v", p.name, at.Key(), at.Owner(), was, e.Version)
		case had && c == 0 && p.rep.gone[at]:
			o.w.breaks("%s: %s of %s was gone and is there again as it was, %v", p.name, at.Key(), at.Owner(), e.Version)
		}
		p.rep.newest[at] = e.Version
		delete(p.rep.gone, at)
		o.w.counts["copies"]++
	}
}

// equalCopies says at the end what differs among the processes, of which all has been well for ten seconds.
func (o *observer) equalCopies(decided *consensus.StateMachine) {
	var first *proc
	for _, p := range o.w.procs {
		if p.rep == nil || !p.up {
			continue
		}
		if first == nil {
			first = p
		}
		for _, q := range o.w.procs {
			if s := p.rep.node.Member(q.name).State; q != p && s != gossip.Alive {
				o.w.breaks("%s holds %s for %s at the end", p.name, q.name, s)
			}
		}
		var mine, firsts []string
		list := func(to *[]string) func(*gossip.Entry) bool {
			return func(e *gossip.Entry) bool {
				*to = append(*to, fmt.Sprintf("%s %s %v %q", e.Owner, e.Key, e.Version, e.Siblings))
				return true
			}
		}
		p.rep.node.Store().ForEach("", list(&mine))
		first.rep.node.Store().ForEach("", list(&firsts))
		for i := range max(len(mine), len(firsts)) {
			if i >= len(mine) || i >= len(firsts) || mine[i] != firsts[i] {
				o.w.breaks("copies of %s and %s differ at the end: %.200q, %.200q", first.name, p.name, firsts[min(i, len(firsts)):min(i+2, len(firsts))], mine[min(i, len(mine)):min(i+2, len(mine))])
				return
			}
		}
	}
	if decided == nil || first == nil {
		return
	}
	for key, order := range decided.Decisions {
		e, ok := first.rep.node.Store().Get(gossip.ConsensusOwner, key)
		if !ok || e.Sequence != order.Number || (len(e.Values()) > 0) == order.Withdrawn {
			o.w.breaks("%s: the council has decided %+v, and copies hold %+v", key, order, e)
		}
	}
	o.w.counts["orders"] += float64(decided.LastDecision)
}

func copiesSource(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 6)) }
