package simulation

import (
	"math/rand/v2"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/lease"
)

// chooseFaults takes the faults from the options or, if there are none, draws them. It always draws from setup, so that later draws from
// setup are the same in both cases.
func (s *simulation) chooseFaults(setup *rand.Rand, processCount int) {
	s.faults = s.options.Faults
	drawn := drawFaults(setup, s.voterCount, processCount, faultsFrom, faultsUntil)
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
	s.faults = append(s.faults, drawZoneFaults(randomStream(s.options.Seed, zoneFaultStream), onlyZones)...)
}

// inject starts a fault. It ignores faults from healedAt on.
func (s *simulation) inject(f Fault) {
	if s.Now() >= healedAt {
		return
	}
	s.trace("FAULT %s", f)
	if s.injectZoneFault(f) {
		return
	}
	p := s.processes[f.Target%len(s.processes)]
	switch f.Kind {
	case FaultPause:
		p.pausedUntil = max(p.pausedUntil, s.Now()+f.Duration)
	case FaultKill, FaultWipe:
		p.kill()
		if f.Kind == FaultWipe && p.voter {
			p.wipe()
		}
		s.After(f.Duration, p.start)
	case FaultKillAll:
		s.killAll(f.Duration)
	case FaultLeave:
		p.deliver(p.shutDown)
		s.After(f.Duration+time.Second, p.start)
	case FaultOneWay:
		s.block(p.index, f.Peer%len(s.processes), f.Duration)
	case FaultIsolate:
		s.isolate(p, f.Duration)
	case FaultPartition:
		s.partition(f.Target, f.Duration)
	case FaultLoss:
		s.activateFor(&s.lossFaults, f.Duration)
	case FaultDelay:
		s.activateFor(&s.delayFaults, f.Duration)
	case FaultSync:
		s.failNextSync[f.Target] = true
	case FaultRevoke:
		s.revoke(s.leases[f.Peer%len(s.leases)].name)
	case FaultReplace:
		s.replaceVoter(p)
	}
}

// killAll ends all processes, and restarts them one after the other from a quarter of the duration on.
func (s *simulation) killAll(duration time.Duration) {
	for i, p := range s.processes {
		p.kill()
		s.After(duration/4+time.Duration(i)*50*time.Millisecond, p.start)
	}
}

// isolate blocks the links of a process to and from all others.
func (s *simulation) isolate(p *process, duration time.Duration) {
	for _, other := range s.processes {
		s.block(p.index, other.index, duration)
		s.block(other.index, p.index, duration)
	}
}

// partition blocks the links in both directions between the processes whose bits are set in bits and all others.
func (s *simulation) partition(bits int, duration time.Duration) {
	for _, a := range s.processes {
		for _, b := range s.processes {
			if bits>>a.index&1 != bits>>b.index&1 {
				s.block(a.index, b.index, duration)
			}
		}
	}
}

// activateFor increments a count of active faults for a duration.
func (s *simulation) activateFor(active *int, duration time.Duration) {
	*active++
	s.After(duration, func() { *active-- })
}

// revoke submits an operator's command that revokes a lease.
func (s *simulation) revoke(name string) {
	s.submitOnce(consensus.Request{Lease: &lease.Request{Command: &lease.Command{Op: lease.OpRevoke, Name: name}}})
}

// replaceVoter submits an operator's command that makes the current identity of a process a voter, in place of its former identity.
func (s *simulation) replaceVoter(p *process) {
	s.submitOnce(consensus.Request{Voter: &consensus.VoterCommand{Op: consensus.OpReplace, Name: p.name}})
}

// submitOnce has an operator submit a request until its first response arrives.
func (s *simulation) submitOnce(request consensus.Request) {
	s.submitUntilDone(func() consensus.Request { return request }, func(consensus.Response) bool { return true })
}

// heal ends the blocked links, failing syncs and pauses, and starts the processes that are down. Other faults end by themselves.
func (s *simulation) heal() {
	s.trace("all is well from here on")
	clear(s.blockedLinks)
	clear(s.failNextSync)
	for _, p := range s.processes {
		p.pausedUntil = min(p.pausedUntil, s.Now())
		p.start()
	}
	for _, f := range s.faults { // the earlier attempts may have had no response
		if f.Kind == FaultReplace {
			s.replaceVoter(s.processes[f.Target%len(s.processes)])
		}
	}
}
