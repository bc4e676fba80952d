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
	// shutdownTime is the time from the start of a graceful shutdown until the process ends.
	shutdownTime = 500 * time.Millisecond
	// maxWallClockOffset is the exclusive upper bound of the offset of a process's wall clock, in milliseconds.
	maxWallClockOffset = 500
)

// process is one process of the fleet, with its clocks, disk, voter, session and shared state. The disk and the clocks outlive a restart.
type process struct {
	simulation  *simulation
	index       int
	name        string
	clockRate   float64 // rate of the monotonic clock; 1 is true time
	clockOffset time.Duration
	startCount  int    // number of starts; events that an earlier start scheduled are dropped
	incarnation string // identity of the current start
	up          bool
	pausedUntil time.Duration
	leaving     bool

	voter     bool // the fleet's configuration lets the process vote
	disk      *disk
	diskCount int
	raftID    uint64          // 0: not admitted as a voter yet
	node      *consensus.Node // nil: the process runs no voter
	wasLeader bool

	leaders  *consensus.LeaderTracker
	calls    map[uint64]*call // pending calls by handle
	lastCall uint64           // number of the latest call

	session      *lease.Client
	advanceRound int // number of the latest scheduled advance; earlier ones are dropped
	nextAccess   map[string]time.Duration
	runner       *task.Runner
	shared       *sharedState // nil without Options.SharedState
}

// newProcess returns a process that has not been started, with a clock drawn from setup. The process with index 0 bootstraps the fleet.
func newProcess(s *simulation, index int, setup *rand.Rand) *process {
	p := &process{simulation: s, index: index, name: processName(index), voter: index < s.voterCount}
	p.clockRate = 1 + maxClockDrift*(2*setup.Float64()-1)
	if setup.IntN(2) == 0 { // half of the clocks run at one of the two bounds of the drift
		p.clockRate = []float64{1 - maxClockDrift, 1 + maxClockDrift}[setup.IntN(2)]
	}
	p.clockOffset = time.Duration(setup.Int64N(int64(time.Hour)))
	p.disk = &disk{simulation: s, process: p}
	if index == 0 {
		p.bootstrap()
	}
	return p
}

// clock returns the time of the process's monotonic clock.
func (p *process) clock() time.Duration {
	return p.clockOffset + time.Duration(float64(p.simulation.Now())*p.clockRate)
}

// virtualDuration returns the virtual time in which the process's monotonic clock advances by d.
func (p *process) virtualDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / p.clockRate)
}

// wallClock returns the time of the process's wall clock.
func (p *process) wallClock() time.Time {
	offset := time.Duration(p.index*83%maxWallClockOffset) * time.Millisecond
	return time.Unix(1_800_000_000, 0).Add(p.simulation.Now() + offset)
}

// start starts the process unless it is already running.
func (p *process) start() {
	if p.up {
		return
	}
	s := p.simulation
	p.startCount++
	p.incarnation = fmt.Sprintf("%s/%d", p.name, p.startCount)
	p.up, p.leaving, p.wasLeader = true, false, false
	s.trace("%s starts", p.name)
	p.calls, p.nextAccess = map[uint64]*call{}, map[string]time.Duration{}
	p.startSession()
	p.runner = task.NewRunner(s.task, 200*time.Millisecond, 500*time.Millisecond)
	p.leaders = consensus.NewLeaderTracker(s.voterNames(), s.processRandom.IntN(s.voterCount), leaseTiming.KeepAliveInterval())
	p.startNode()
	p.startSharing()
	p.schedule(time.Duration(s.processRandom.IntN(50))*time.Millisecond, p.tick)
	p.schedule(0, p.advance)
}

// startSession creates a new lease client, which opens a session and acquires all leases.
func (p *process) startSession() {
	timing := leaseTiming
	if p.simulation.options.Bug == BugLongTTL {
		timing.TTL = timing.TTL * 3 / 2
	}
	p.session = lease.NewClient(timing, p.name, fmt.Sprintf("start-%d", p.startCount))
	for _, l := range p.simulation.leases {
		p.session.Acquire(l.name, l.limit)
	}
	p.session.Acquire(taskLease, 1)
	if p.simulation.options.ZoneFailover {
		p.session.Acquire(zoneview.LeaseName, 1)
	}
}

// kill ends the process without a shutdown.
func (p *process) kill() {
	if p.up {
		p.simulation.trace("%s ends", p.name)
	}
	p.up, p.node = false, nil
}

// wipe replaces the process's disk by an empty one. The process must be admitted as a voter again.
func (p *process) wipe() {
	p.disk = &disk{simulation: p.simulation, process: p}
	p.raftID = 0
	p.diskCount++
}

// shutDown begins a graceful shutdown, which ends the process after shutdownTime.
func (p *process) shutDown() {
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

// deliver calls run now or, if the process is paused, at the end of the pause. The call is dropped if the process ends or restarts before.
func (p *process) deliver(run func()) {
	start := p.startCount
	var attempt func()
	attempt = func() {
		if !p.up || p.startCount != start {
			return
		}
		if now := p.simulation.Now(); now < p.pausedUntil {
			p.simulation.After(p.pausedUntil-now, attempt)
			return
		}
		run()
	}
	attempt()
}

// schedule calls run in the process after a delay, as deliver does. The call is dropped if the process ends or restarts before.
func (p *process) schedule(delay time.Duration, run func()) {
	start := p.startCount
	p.simulation.After(delay, func() {
		if p.startCount == start {
			p.deliver(run)
		}
	})
}
