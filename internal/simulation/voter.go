package simulation

import (
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"

	"sorrelrudder/internal/consensus"
)

const (
	// fleetID is the fleet's name.
	fleetID = "fleet"
	// snapshotEntries is the number of log entries after which a voter makes a snapshot.
	snapshotEntries = 64
	// restartDelay is how long a process is down whose disk has failed.
	restartDelay = 700 * time.Millisecond
)

// voterNames returns the names of the voters.
func (s *simulation) voterNames() []string {
	names := make([]string, s.voters)
	for i := range names {
		names[i] = processName(i)
	}
	return names
}

// bootstrap writes the fleet's first state to the process' disk.
func (p *process) bootstrap() {
	p.raftID = 1
	snapshot, err := consensus.BootstrapSnapshot(consensus.NewStateMachine(fleetID, p.name, p.storeID(), p.simulation.voterNames()))
	if err != nil {
		panic(err)
	}
	first := consensus.PersistentState{Snapshot: snapshot, HardState: consensus.BootstrapHardState()}
	if err := p.disk.Save(first, true); err != nil {
		panic(err)
	}
	p.disk.synced = p.disk.written
}

// storeID returns the identity of the process' disk.
func (p *process) storeID() string { return fmt.Sprintf("%s-disk-%d", p.name, p.diskCount) }

// raftClock returns the time that the voter judges leases by.
func (p *process) raftClock() time.Duration {
	now := p.clock()
	if p.simulation.options.Bug == BugWallClock { // set forward by 2 s every 5 s, at times that differ between processes
		stagger := time.Duration(p.index) * 700 * time.Millisecond
		now += (p.simulation.now + stagger) / (5 * time.Second) * 2 * time.Second
	}
	return now
}

// startNode starts the voter, if the process has been admitted as one.
func (p *process) startNode() {
	p.node = nil
	if !p.voter || p.raftID == 0 {
		return
	}
	node, err := consensus.New(consensus.Config{
		ID:              p.raftID,
		LeaseTiming:     leaseTiming,
		Persisted:       p.disk.open(),
		SnapshotEntries: snapshotEntries,
		ClockBasedReads: p.simulation.options.Bug == BugUnconfirmedLeader,
	})
	if err != nil {
		p.simulation.reportViolation("%s does not start: %v", p.name, err)
		return
	}
	p.node = node
}

// tick passes the time to the voter, or has the process ask to be admitted as one.
func (p *process) tick() {
	p.schedule(raftTick, p.tick)
	if p.node != nil {
		p.node.Tick(p.raftClock())
		p.processNode()
	} else if p.voter && p.raftID == 0 {
		p.requestAdmission()
	}
}

// requestAdmission asks the consensus group for an identity, now and then.
func (p *process) requestAdmission() {
	if p.simulation.processRandom.IntN(4) > 0 {
		return
	}
	request := consensus.Request{Voter: &consensus.VoterCommand{Op: consensus.OpAdmit, Name: p.name, StoreID: p.storeID()}}
	p.call(request, func(r consensus.Response) {
		if r.Voter != nil && r.Voter.RaftID != 0 && p.raftID == 0 {
			p.raftID = r.Voter.RaftID
			p.simulation.trace("%s has the identity %d, votes %v", p.name, p.raftID, r.Voter.Votes)
			p.startNode()
		}
	})
}

// processNode saves what the voter has to save, and carries out what it returns.
func (p *process) processNode() {
	if p.node == nil {
		return
	}
	out, err := p.node.Process(p.raftClock(), p.disk)
	if err != nil {
		p.restartAfter(err)
		return
	}
	if p.node.IsLeader() && !p.wasLeader && p.simulation.options.Bug == BugNoLeaseGrace {
		p.clockOffset += 2 * leaseTiming.TTL // as if the leases that it finds had expired
	}
	p.wasLeader = p.node.IsLeader()
	p.simulation.observer.decisionsApplied(p.node.StateMachine())
	p.applyDecisions()
	for _, e := range out.Events {
		p.simulation.trace("%s: %s %v", p.name, eventTexts[e.Kind], e.Args)
	}
	p.sendOutput(out)
}

// restartAfter restarts the process after an error of its voter. Only a failed sync is expected.
func (p *process) restartAfter(err error) {
	p.simulation.trace("%s: %v", p.name, err)
	if !errors.Is(err, errSync) {
		p.simulation.reportViolation("%s: %v", p.name, err)
	}
	p.kill()
	p.simulation.after(restartDelay, p.start)
}

// stepNode passes a message of another voter to this one.
func (p *process) stepNode(from *process, fromID uint64, data []byte) {
	if p.node == nil {
		return
	}
	m, err := consensus.DecodeMessage(data)
	if err == nil {
		p.node.LearnName(fromID, from.name)
		err = p.node.Step(p.raftClock(), m)
	}
	if err != nil && !errors.Is(err, raft.ErrStepLocalMsg) {
		p.simulation.reportViolation("%s: %v", p.name, err)
		return
	}
	p.processNode()
}
