package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
	"sorrelrudder/internal/zoneview"
)

const (
	// shutdownTime is how long a process that leaves goes on.
	shutdownTime = 500 * time.Millisecond
	// maxWallClockOffset bounds the offset of a process' wall clock, in milliseconds.
	maxWallClockOffset = 500
)

// process is one process of the fleet.
type process struct {
	simulation  *simulation
	index       int
	name        string
	clockRate   float64 // of its monotonic clock
	clockOffset time.Duration
	starts      int    // what an earlier start has scheduled is void
	incarnation string // of this start
	up          bool
	pausedUntil time.Duration
	leaving     bool

	voter     bool // by the fleet's configuration
	disk      *disk
	diskCount int
	raftID    uint64          // 0: it has not been admitted
	node      *consensus.Node // nil: it does not vote
	wasLeader bool

	leaders  *consensus.LeaderTracker
	calls    map[uint64]*call // by handle
	lastCall uint64

	session      *lease.Client
	sessionRound int // only the newest one is due
	nextAct      map[string]time.Duration
	runner       *task.Runner
	shared       *sharedState // nil: no state is shared
}

// newProcess draws a process' clock. The first process bootstraps the fleet.
func newProcess(s *simulation, index int, setup *rand.Rand) *process {
	p := &process{simulation: s, index: index, name: processName(index), voter: index < s.voters}
	p.clockRate = 1 + maxClockDrift*(2*setup.Float64()-1)
	if setup.IntN(2) == 0 { // as often as not at the bound
		p.clockRate = []float64{1 - maxClockDrift, 1 + maxClockDrift}[setup.IntN(2)]
	}
	p.clockOffset = time.Duration(setup.Int64N(int64(time.Hour)))
	p.disk = &disk{simulation: s, process: p}
	if index == 0 {
		p.bootstrap()
	}
	return p
}

// clock returns the time by the process' monotonic clock.
func (p *process) clock() time.Duration {
	return p.clockOffset + time.Duration(float64(p.simulation.now)*p.clockRate)
}

// elapsing returns how long it takes until the process' clock has advanced by d.
func (p *process) elapsing(d time.Duration) time.Duration {
	return time.Duration(float64(d) / p.clockRate)
}

// wallClock returns the time by the process' wall clock.
func (p *process) wallClock() time.Time {
	offset := time.Duration(p.index*83%maxWallClockOffset) * time.Millisecond
	return time.Unix(1_800_000_000, 0).Add(p.simulation.now + offset)
}

// start starts the process, unless it runs.
func (p *process) start() {
	if p.up {
		return
	}
	s := p.simulation
	p.starts++
	p.incarnation = fmt.Sprintf("%s/%d", p.name, p.starts)
	p.up, p.leaving, p.wasLeader = true, false, false
	s.trace("%s starts", p.name)
	p.calls, p.nextAct = map[uint64]*call{}, map[string]time.Duration{}
	p.startSession()
	p.runner = task.NewRunner(s.task, 200*time.Millisecond, 500*time.Millisecond)
	p.leaders = consensus.NewLeaderTracker(s.voterNames(), s.processRandom.IntN(s.voters), leaseTiming.KeepAliveInterval())
	p.startNode()
	p.startSharing()
	p.schedule(time.Duration(s.processRandom.IntN(50))*time.Millisecond, p.tick)
	p.schedule(0, p.advance)
}

// startSession makes a new session, which acquires all leases.
func (p *process) startSession() {
	timing := leaseTiming
	if p.simulation.options.Bug == BugLongTTL {
		timing.TTL = timing.TTL * 3 / 2
	}
	p.session = lease.NewClient(timing, p.name, fmt.Sprintf("start-%d", p.starts))
	for _, l := range p.simulation.leases {
		p.session.Acquire(l.name, l.limit)
	}
	p.session.Acquire(taskLease, 1)
	if p.simulation.options.ZoneFailover {
		p.session.Acquire(zoneview.LeaseName, 1)
	}
}

// kill ends the process without notice.
func (p *process) kill() {
	if p.up {
		p.simulation.trace("%s ends", p.name)
	}
	p.up, p.node = false, nil
}

// wipe replaces the process' disk by an empty one.
func (p *process) wipe() {
	p.disk = &disk{simulation: p.simulation, process: p}
	p.raftID = 0
	p.diskCount++
}

// leave shuts the process down in order.
func (p *process) leave() {
	p.leaving = true
	if p.shared != nil {
		p.sendGossip(p.shared.node.Leave(p.clock()))
	}
	p.session.Close()
	if p.node != nil {
		p.node.TransferLeadership()
	}
	p.processNode()
	p.advance()
	p.schedule(shutdownTime, p.kill)
}

// deliver runs something in the process now, or once its pause is over. It is dropped if the process ends before.
func (p *process) deliver(run func()) {
	start := p.starts
	var attempt func()
	attempt = func() {
		if !p.up || p.starts != start {
			return
		}
		if now := p.simulation.now; now < p.pausedUntil {
			p.simulation.after(p.pausedUntil-now, attempt)
			return
		}
		run()
	}
	attempt()
}

// schedule runs something in the process after a delay, unless it has ended by then.
func (p *process) schedule(delay time.Duration, run func()) {
	start := p.starts
	p.simulation.after(delay, func() {
		if p.starts == start {
			p.deliver(run)
		}
	})
}
