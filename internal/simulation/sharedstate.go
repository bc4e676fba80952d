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
	// writtenKind is the kind of the gossip entries that processes write.
	writtenKind = "dead"
	// writesUntil is the time of the last write. The rest of the run suffices for all processes to converge to the same entries.
	writesUntil = 26 * time.Second
)

// sharedState is a process's replica of the shared state, with the observer's records of it since the process started.
type sharedState struct {
	node         *gossip.Node
	latestTick   uint64                            // number of the latest scheduled tick; earlier ones are dropped
	nextTick     time.Duration                     // by the process's clock; below 0: none is scheduled
	lastDecision uint64                            // number of the latest decision applied from the voter's log
	versions     map[gossip.EntryID]gossip.Version // latest version that the observer has seen
	deleted      map[gossip.EntryID]bool           // entries that the observer has seen removed from the store
	zoneFailover *zoneMember                       // nil without zone failover
}

// startSharing starts the gossip node, the writes and, with zone failover, the observation of zones. It does nothing without
// Options.SharedState.
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
		p.shared.zoneFailover = newZoneMember()
		p.schedule(time.Duration(s.gossipRandom.IntN(300))*time.Millisecond, p.observeZones)
	}
}

// gossipConfig returns the configuration of the process's gossip node.
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

// scheduleGossip schedules the next tick of the gossip node, unless an earlier or equal one is already scheduled.
func (p *process) scheduleGossip() {
	shared := p.shared
	next := shared.node.NextTick()
	if shared.nextTick >= 0 && shared.nextTick <= next {
		return
	}
	shared.nextTick = next
	shared.latestTick++
	tick := shared.latestTick
	p.schedule(max(time.Millisecond, p.virtualDuration(next-p.clock())), func() {
		if p.shared == shared && shared.latestTick == tick {
			shared.nextTick = -1
			p.sendGossip(shared.node.Tick(p.clock()))
		}
	})
}

// sendGossip sends gossip messages, and has the observer check the changes of the process's shared state.
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

// sharedStateChanged has the observer check the changes of the process's shared state, and schedules the next gossip tick.
func (p *process) sharedStateChanged() {
	p.simulation.observer.sharedStateChanged(p)
	p.scheduleGossip()
}

// writeSharedState writes or deletes a random entry, occasionally submits an operator's command, and schedules its next call, until
// writesUntil.
func (p *process) writeSharedState() {
	s, rng := p.simulation, p.simulation.gossipRandom
	if s.Now() > writesUntil {
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

// applyDecisions copies new decisions of the consensus group from the state of the process's voter to the shared state.
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
