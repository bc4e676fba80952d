package simulation

import (
	"fmt"
	"slices"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zoneview"
)

const (
	// writtenKind is the kind of the entries that processes write.
	writtenKind = "dead"
	// writesUntil is when the last entry is written; at the end all processes have to hold the same.
	writesUntil = 26 * time.Second
)

// sharedState is a process' part in the shared state, and what the observer has seen of it since the process started.
type sharedState struct {
	node          *gossip.Node
	scheduled     uint64        // ticks that were scheduled; only the newest one is due
	nextTick      time.Duration // by the process' clock; below 0: none is due
	lastDecision  uint64        // of the consensus group, that was applied
	versions      map[gossip.EntryID]gossip.Version
	deleted       map[gossip.EntryID]bool
	zoneDecisions *zoneMember // nil: there are no zones
}

// startSharing joins the shared state, if the run has one.
func (p *process) startSharing() {
	s := p.simulation
	if !s.options.SharedState {
		return
	}
	p.shared = &sharedState{
		node:     gossip.New(p.clock(), p.gossipConfig()),
		versions: map[gossip.EntryID]gossip.Version{},
		deleted:  map[gossip.EntryID]bool{},
		nextTick: -1,
	}
	p.scheduleGossip()
	p.schedule(time.Duration(s.gossipRandom.IntN(800))*time.Millisecond, p.writeSharedState)
	if s.options.ZoneFailover {
		p.shared.zoneDecisions = newZoneMember()
		p.schedule(time.Duration(s.gossipRandom.IntN(300))*time.Millisecond, p.observeZones)
	}
}

// gossipConfig returns the configuration of the process' part in the shared state.
func (p *process) gossipConfig() gossip.Config {
	s := p.simulation
	cfg := gossip.DefaultConfig()
	cfg.GossipInterval = 150 * time.Millisecond
	cfg.SyncInterval = time.Second
	cfg.DeadRetention = 4 * time.Second
	cfg.Name = p.name
	cfg.Kinds = []string{writtenKind, zoneview.ZoneCheckKind}
	cfg.DecidedKinds = consensus.DecisionKinds
	cfg.Seed = s.gossipRandom.Uint64()
	if fault := gossip.InjectedFault(s.options.Bug); slices.Contains(gossip.InjectedFaults, fault) {
		cfg.Fault = fault
	}
	for _, member := range s.processes {
		cfg.Members = append(cfg.Members, member.name)
	}
	return cfg
}

// scheduleGossip schedules the next tick of gossip, unless one is due before.
func (p *process) scheduleGossip() {
	shared := p.shared
	next := shared.node.NextTick()
	if shared.nextTick >= 0 && shared.nextTick <= next {
		return
	}
	shared.nextTick = next
	shared.scheduled++
	tick := shared.scheduled
	p.schedule(max(time.Millisecond, p.elapsing(next-p.clock())), func() {
		if p.shared == shared && shared.scheduled == tick {
			shared.nextTick = -1
			p.sendGossip(shared.node.Tick(p.clock()))
		}
	})
}

// sendGossip sends messages, and has the observer check what has changed.
func (p *process) sendGossip(out []gossip.Envelope) {
	s := p.simulation
	for _, envelope := range out {
		to := s.process(envelope.To)
		s.transmit(p, to, "copies", func() {
			if to.shared != nil {
				to.sendGossip(to.shared.node.Receive(to.clock(), p.name, envelope.Message))
			}
		})
	}
	p.sharedStateChanged()
}

// sharedStateChanged has the observer check what has changed, and schedules the gossip of it.
func (p *process) sharedStateChanged() {
	p.simulation.observer.sharedStateChanged(p)
	p.scheduleGossip()
}

// writeSharedState has the process write or delete entries, and submit operators' commands, until writesUntil.
func (p *process) writeSharedState() {
	s, rng := p.simulation, p.simulation.gossipRandom
	if s.now > writesUntil {
		return
	}
	key := fmt.Sprintf("%s/%d", writtenKind, rng.IntN(4))
	if rng.IntN(3) == 0 {
		p.shared.node.Delete(key)
	} else {
		p.shared.node.Put(key, []byte{byte(rng.IntN(3))})
	}
	if rng.IntN(12) == 0 {
		decided := fmt.Sprintf("%s/%d", consensus.OperatorKind, rng.IntN(3))
		command := &consensus.DecisionCommand{Key: decided, Value: p.name, Withdraw: rng.IntN(2) == 0}
		p.call(consensus.Request{Decision: command}, func(consensus.Response) {})
	}
	p.sharedStateChanged()
	p.schedule(200*time.Millisecond+time.Duration(rng.IntN(1500))*time.Millisecond, p.writeSharedState)
}

// applyDecisions copies what the consensus group has decided from the voter's log to the shared state.
func (p *process) applyDecisions() {
	if p.shared == nil || p.node == nil || p.node.StateMachine() == nil {
		return
	}
	decided, node := p.node.StateMachine(), p.shared.node
	node.Store().SetFleetTag(gossip.FleetTag(decided.FleetID))
	p.shared.lastDecision = decided.DecisionsSince(p.shared.lastDecision, func(key string, d consensus.Decision) {
		node.ApplyDecision(key, d.Number, d.Bytes())
	})
	p.sharedStateChanged()
}
