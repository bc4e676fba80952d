package simulation

import (
	"math/rand/v2"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/lease"
)

// chooseFaults takes the faults of the options, or draws them. It always draws, so that the later draws of setup do not depend on it.
func (s *simulation) chooseFaults(setup *rand.Rand, processCount int) {
	s.faults = s.options.Faults
	drawn := drawFaults(setup, s.voters, processCount, faultsFrom, faultsUntil)
	if s.faults != nil {
		return
	}
	s.faults = drawn
	if !s.options.ZoneFailover {
		return
	}
	onlyZones := s.options.Seed%4 == 0
	if onlyZones {
		s.faults = []Fault{}
	}
	s.faults = append(s.faults, drawZoneFaults(random(s.options.Seed, zoneFaultStream), onlyZones)...)
}

// inject has a fault happen.
func (s *simulation) inject(f Fault) {
	if s.now >= healedAt {
		return
	}
	s.trace("FAULT %s", f)
	if s.injectZoneFault(f) {
		return
	}
	p := s.processes[f.Target%len(s.processes)]
	switch f.Kind {
	case FaultPause:
		p.pausedUntil = max(p.pausedUntil, s.now+f.Duration)
	case FaultKill, FaultWipe:
		p.kill()
		if f.Kind == FaultWipe && p.voter {
			p.wipe()
		}
		s.after(f.Duration, p.start)
	case FaultKillAll:
		s.killAll(f.Duration)
	case FaultLeave:
		p.deliver(p.leave)
		s.after(f.Duration+time.Second, p.start)
	case FaultOneWay:
		s.block(p.index, f.Peer%len(s.processes), f.Duration)
	case FaultIsolate:
		s.isolate(p, f.Duration)
	case FaultPartition:
		s.partition(f.Target, f.Duration)
	case FaultLoss:
		s.countWhile(&s.lossFaults, f.Duration)
	case FaultDelay:
		s.countWhile(&s.delayFaults, f.Duration)
	case FaultSync:
		s.failNextSync[f.Target] = true
	case FaultRevoke:
		s.revoke(s.leases[f.Peer%len(s.leases)].name)
	case FaultReplace:
		s.replaceVoter(p)
	}
}

// killAll ends all processes, and restarts them one after the other.
func (s *simulation) killAll(duration time.Duration) {
	for i, p := range s.processes {
		p.kill()
		s.after(duration/4+time.Duration(i)*50*time.Millisecond, p.start)
	}
}

// isolate blocks all links of a process.
func (s *simulation) isolate(p *process, duration time.Duration) {
	for _, other := range s.processes {
		s.block(p.index, other.index, duration)
		s.block(other.index, p.index, duration)
	}
}

// partition blocks the links between the processes whose bits are set and the others.
func (s *simulation) partition(bits int, duration time.Duration) {
	for _, a := range s.processes {
		for _, b := range s.processes {
			if bits>>a.index&1 != bits>>b.index&1 {
				s.block(a.index, b.index, duration)
			}
		}
	}
}

// countWhile counts an active fault for its duration.
func (s *simulation) countWhile(active *int, duration time.Duration) {
	*active++
	s.after(duration, func() { *active-- })
}

// revoke has an operator revoke a lease.
func (s *simulation) revoke(name string) {
	s.submitOnce(consensus.Request{Lease: &lease.Request{Command: &lease.Command{Op: lease.OpRevoke, Name: name}}})
}

// replaceVoter has an operator make the present identity of a process a voter, in place of its former one.
func (s *simulation) replaceVoter(p *process) {
	s.submitOnce(consensus.Request{Voter: &consensus.VoterCommand{Op: consensus.OpReplace, Name: p.name}})
}

// submitOnce has an operator submit a request until it is answered.
func (s *simulation) submitOnce(request consensus.Request) {
	s.submitUntilDone(func() consensus.Request { return request }, func(consensus.Response) bool { return true })
}

// heal ends all faults, and starts the processes that are down.
func (s *simulation) heal() {
	s.trace("all is well from here on")
	clear(s.blockedLinks)
	clear(s.failNextSync)
	for _, p := range s.processes {
		p.pausedUntil = min(p.pausedUntil, s.now)
		p.start()
	}
	for _, f := range s.faults { // the operator may have had no answer before
		if f.Kind == FaultReplace {
			s.replaceVoter(s.processes[f.Target%len(s.processes)])
		}
	}
}
