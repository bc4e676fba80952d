// Package simulation runs fleets in virtual time. It runs the production code of consensus, leases, tasks, gossip and zone failover on a
// simulated network, simulated disks and simulated clocks, whose faults are drawn from a seed. An observer checks the invariants of the
// fleet throughout the run. It relies on no internal state of the code under test. Equal options give equal runs, byte for byte.
//
// An operating-system process can run only one simulation at a time, since raft draws its election timeouts from a random source that the
// whole process shares.
package simulation

import (
	"fmt"
	"hash"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"

	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
	"sorrelrudder/internal/virtualtime"
)

// Phases of a run, as virtual times since its start.
const (
	faultsFrom      = 6 * time.Second // all voters have been admitted by then
	faultsUntil     = 18 * time.Second
	healedAt        = 23 * time.Second // all faults have ended, and all processes run
	endAt           = 33 * time.Second
	randomLossUntil = endAt - 4*time.Second // two random losses after this time could leave a member suspected at the end
)

const (
	// raftTick is the interval between two ticks of a voter.
	raftTick = 50 * time.Millisecond
	// maxClockDrift bounds how far the rate of a process's clock is from true time, as a fraction.
	maxClockDrift = 0.05
	// maxEvents bounds the number of events of a run.
	maxEvents = 2_000_000
)

// taskName is the name of the task that the processes run. taskLease is the name of the task's lease.
const (
	taskName  = "t"
	taskLease = "task/t"
)

var leaseTiming = lease.Timing{TTL: 1500 * time.Millisecond, MaxClockDrift: maxClockDrift, SafetyMargin: 10 * time.Millisecond}

// Numbers of the random streams of a seed. Draws from one stream do not change the draws from another.
const (
	networkStream = iota + 1
	processStream
	setupStream
	raftStream
	_
	gossipStream
	zoneFaultStream
)

// randomStream returns a new random source for a stream of a seed.
func randomStream(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// Options are the parameters of a run.
type Options struct {
	Seed          uint64
	Bug           InjectedBug
	Faults        []Fault   // used instead of the faults drawn from the seed, unless nil
	Trace         io.Writer // receives the trace, one line per event, unless nil
	TraceMessages bool      // the trace also has each message
	RecordHistory bool      // record the operations on the leases in Outcome.History
	SharedState   bool      // processes share state by gossip
	ZoneFailover  bool      // processes fail over between zones of servers; requires SharedState
}

// Outcome is the result of a run.
type Outcome struct {
	Seed         uint64             `json:"seed"`
	SharedState  bool               `json:"copies,omitempty"`
	ZoneFailover bool               `json:"zones,omitempty"`
	Violation    string             `json:"broken,omitempty"` // the first violation, which ends the run; empty: none
	ViolatedAt   time.Duration      `json:"at,omitempty"`
	Faults       []Fault            `json:"faults"`
	Hash         uint64             `json:"hash"` // over the trace
	Counts       map[string]float64 `json:"counts"`
	History      []Operation        `json:"-"` // nil without Options.RecordHistory
}

// leaseSlots is the name of a lease and the number of processes that may hold it at once.
type leaseSlots struct {
	name  string
	limit int
}

// simulation is one run. It is not safe for concurrent use.
type simulation struct {
	virtualtime.Scheduler
	options Options

	networkRandom *rand.Rand // fates and delays of messages and requests
	processRandom *rand.Rand // random choices of processes
	gossipRandom  *rand.Rand // random choices of processes about shared state and zones

	voterCount int // the first voterCount processes are voters
	processes  []*process
	leases     []leaseSlots
	task       task.Spec
	servers    *zoneServers // nil without zone failover

	faults       []Fault
	blockedLinks map[link]int      // number of faults that block each link
	lossFaults   int               // number of active FaultLoss faults
	delayFaults  int               // number of active FaultDelay faults
	failNextSync map[int]bool      // by index of the process
	zoneCommands [zoneCount]uint64 // by zone: number of operators' commands so far

	observer   *observer
	traceHash  hash.Hash64
	violation  string
	violatedAt time.Duration
	counts     map[string]float64
	history    history
}

// Run runs one simulation. A panic counts as a violation. It must not be called concurrently, since it replaces crypto/rand.Reader.
func Run(o Options) (out Outcome) {
	restore := seedRaft(o.Seed)
	defer restore()
	s := newSimulation(o)
	defer func() {
		if r := recover(); r != nil {
			s.reportViolation("panic: %v", r)
		}
		out = s.outcome()
	}()
	s.play()
	return out
}

// newSimulation draws the fleet and its faults from the seed, starts the processes, and schedules the faults.
func newSimulation(o Options) *simulation {
	s := &simulation{
		options:       o,
		networkRandom: randomStream(o.Seed, networkStream),
		processRandom: randomStream(o.Seed, processStream),
		gossipRandom:  randomStream(o.Seed, gossipStream),
		blockedLinks:  map[link]int{},
		failNextSync:  map[int]bool{},
		traceHash:     fnv.New64a(),
		counts:        map[string]float64{},
		history:       history{firstSubmitted: map[commandID]time.Duration{}},
	}
	setup := randomStream(o.Seed, setupStream)
	s.voterCount = []int{1, 3, 3, 5, 5}[setup.IntN(5)]
	processCount := s.voterCount + 2 + setup.IntN(3)
	s.leases = []leaseSlots{{"one", 1}, {"two", 2}}
	s.task = drawTask(setup)
	if o.ZoneFailover {
		s.servers = newZoneServers()
	}
	s.observer = newObserver(s)
	s.chooseFaults(setup, processCount)
	for index := range processCount {
		s.processes = append(s.processes, newProcess(s, index, setup))
	}
	for _, p := range s.processes {
		p.start()
	}
	for _, fault := range s.faults {
		s.After(fault.At, func() { s.inject(fault) })
	}
	s.After(healedAt, s.heal)
	return s
}

// drawTask draws the task that the processes run.
func drawTask(setup *rand.Rand) task.Spec {
	return task.Spec{
		Name:            taskName,
		Interval:        400 * time.Millisecond,
		Missed:          []task.MissedPolicy{task.MissedSkip, task.MissedRunNewest, task.MissedRunEach}[setup.IntN(3)],
		Idempotency:     task.Idempotency(setup.IntN(3)),
		DedupWindow:     4 * time.Second,
		DedupEverywhere: true,
		Deadline:        300 * time.Millisecond,
		MaxAttempts:     2,
		MaxClockDrift:   maxClockDrift,
	}
}

// play runs all events until endAt, and then the checks at the end of a run. A violation ends it early.
func (s *simulation) play() {
	for played := 0; !s.Idle() && s.violation == ""; played++ {
		if played > maxEvents {
			s.reportViolation("the run does not come to its end")
			return
		}
		if !s.DueBy(endAt) {
			s.observer.finish()
			return
		}
		s.Step()
		s.observer.checkHolders()
		s.observer.checkRelapses()
	}
}

// outcome returns the result of the run so far.
func (s *simulation) outcome() Outcome {
	return Outcome{
		Seed:         s.options.Seed,
		SharedState:  s.options.SharedState,
		ZoneFailover: s.options.ZoneFailover,
		Violation:    s.violation,
		ViolatedAt:   s.violatedAt,
		Faults:       s.faults,
		Hash:         s.traceHash.Sum64(),
		Counts:       s.counts,
		History:      s.history.operations,
	}
}

// reportViolation records a violation of an invariant, if it is the first one of the run.
func (s *simulation) reportViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation, s.violatedAt = fmt.Sprintf(format, args...), s.Now()
		s.trace("BROKEN %s", s.violation)
	}
}

// trace adds a line to the trace and its hash.
func (s *simulation) trace(format string, args ...any) {
	line := fmt.Sprintf("%10.6f %s\n", s.Now().Seconds(), fmt.Sprintf(format, args...))
	s.traceHash.Write([]byte(line))
	if s.options.Trace != nil {
		fmt.Fprint(s.options.Trace, line)
	}
}

// process returns the process with the given name, or nil if there is none.
func (s *simulation) process(name string) *process {
	for _, p := range s.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}
