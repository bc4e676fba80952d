package simulation

import (
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"

	"sorrelrudder/internal/consensus"
)

const (
	// fleetID is the ID of the simulated fleet.
	fleetID = "fleet"
	// snapshotEntries is the number of log entries after which a voter takes a snapshot.
	snapshotEntries = 64
	// restartDelay is how long a process is down after its voter has failed.
	restartDelay = 700 * time.Millisecond
)

// voterNames returns the names of the voters.
func (s *simulation) voterNames() []string {
	names := make([]string, s.voterCount)
	for i := range names {
		names[i] = processName(i)
	}
	return names
}

// bootstrap writes the initial state of the fleet to the process's disk. The process becomes the first voter.
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

// storeID returns the identity of the process's current disk.
func (p *process) storeID() string { return fmt.Sprintf("%s-disk-%d", p.name, p.diskCount) }

// raftClock returns the time by which the voter expires leases.
func (p *process) raftClock() time.Duration {
	now := p.clock()
	if p.simulation.options.Bug == BugWallClock { // jumps forward by 2 s every 5 s, at different times in each process
		stagger := time.Duration(p.index) * 700 * time.Millisecond
		now += (p.simulation.Now() + stagger) / (5 * time.Second) * 2 * time.Second
	}
	return now
}

// startNode starts the voter from the state on its disk, if the process has been admitted as a voter.
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

// tick advances the voter's clock. If the process may vote but is not admitted yet, tick requests the admission instead.
func (p *process) tick() {
	p.schedule(raftTick, p.tick)
	if p.node != nil {
		p.node.Tick(p.raftClock())
		p.processNode()
	} else if p.voter && p.raftID == 0 {
		p.requestAdmission()
	}
}

// requestAdmission asks the consensus group for a raft ID, in one of four calls on average, and starts the voter with it.
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

// processNode lets the voter process its input and save its state, and handles its output. An error restarts the process.
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
		p.clockOffset += 2 * leaseTiming.TTL // the leader's clock jumps, so that the leases it has taken over expire
	}
	p.wasLeader = p.node.IsLeader()
	p.simulation.observer.decisionsApplied(p.node.StateMachine())
	p.applyDecisions()
	for _, e := range out.Events {
		p.simulation.trace("%s: %s %v", p.name, eventTexts[e.Kind], e.Args)
	}
	p.sendOutput(out)
}

// restartAfter restarts the process after an error of its voter. Any error but a failed sync is a violation.
func (p *process) restartAfter(err error) {
	p.simulation.trace("%s: %v", p.name, err)
	if !errors.Is(err, errSync) {
		p.simulation.reportViolation("%s: %v", p.name, err)
	}
	p.kill()
	p.simulation.After(restartDelay, p.start)
}

// stepNode passes a message from another voter to this process's voter.
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
