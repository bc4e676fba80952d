// Package simulation runs fleets in virtual time: the consensus group, leases, tasks, gossip and zone failover as they are, on a network,
// disks and clocks that a seed makes fail. An observer that reads none of their internal state checks what has to hold at all times.
// Equal options give equal runs, byte for byte.
//
// One process plays one run at a time, since raft draws its election timeouts from a source that all of the process shares.
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
)

// The phases of a run, since its start.
const (
	faultsFrom      = 6 * time.Second // by then the consensus group is complete
	faultsUntil     = 18 * time.Second
	healedAt        = 23 * time.Second // faults have ended, and all processes run
	endAt           = 33 * time.Second
	randomLossUntil = endAt - 4*time.Second // two losses after it could leave a member suspected at the end
)

const (
	// raftTick is the interval of the consensus group's ticks.
	raftTick = 50 * time.Millisecond
	// maxClockDrift bounds the rate by which a process' clock is fast or slow.
	maxClockDrift = 0.05
	// maxEvents bounds a run.
	maxEvents = 2_000_000
)

// taskName is the name of the task that the processes run, and taskLease that of its lease.
const (
	taskName  = "t"
	taskLease = "task/t"
)

var leaseTiming = lease.Timing{TTL: 1500 * time.Millisecond, MaxClockDrift: maxClockDrift, SafetyMargin: 10 * time.Millisecond}

// The random streams of a seed. Draws of one do not move those of another.
const (
	networkStream = iota + 1
	processStream
	setupStream
	raftStream
	_
	gossipStream
	zoneFaultStream
)

// random returns a stream of a seed.
func random(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// Options say what is run.
type Options struct {
	Seed          uint64
	Bug           InjectedBug
	Faults        []Fault   // in place of those that the seed draws, unless nil
	Trace         io.Writer // takes the events of the run as lines, unless nil
	TraceMessages bool      // also each message
	RecordHistory bool      // keep the operations on the leases
	SharedState   bool      // the processes share state by gossip
	ZoneFailover  bool      // and decide which zones of servers to use; needs SharedState
}

// Outcome is what came of a run.
type Outcome struct {
	Seed         uint64             `json:"seed"`
	SharedState  bool               `json:"copies,omitempty"`
	ZoneFailover bool               `json:"zones,omitempty"`
	Violation    string             `json:"broken,omitempty"` // the first one; it ends the run
	ViolatedAt   time.Duration      `json:"at,omitempty"`
	Faults       []Fault            `json:"faults"`
	Hash         uint64             `json:"hash"` // of the trace
	Counts       map[string]float64 `json:"counts"`
	History      []Operation        `json:"-"` // with Options.RecordHistory
}

// leaseSlots is a lease and the number of processes that may hold it at once.
type leaseSlots struct {
	name  string
	limit int
}

// simulation is one run. It belongs to one goroutine.
type simulation struct {
	scheduler
	options Options

	networkRandom *rand.Rand // what happens to messages and requests
	processRandom *rand.Rand // what processes draw
	gossipRandom  *rand.Rand // what they draw for shared state and zones

	voters    int // the first ones of the processes
	processes []*process
	leases    []leaseSlots
	task      task.Spec
	servers   *zoneServers // nil: there are no zones

	faults       []Fault
	blockedLinks map[link]int // and by how many faults
	lossFaults   int          // that are active
	delayFaults  int
	failNextSync map[int]bool      // by process
	zoneCommands [zoneCount]uint64 // that operators have given on zones

	observer   *observer
	traceHash  hash.Hash64
	violation  string
	violatedAt time.Duration
	counts     map[string]float64
	history    history
}

// Run plays one run.
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

// newSimulation draws the fleet and its faults, and starts the processes.
func newSimulation(o Options) *simulation {
	s := &simulation{
		options:       o,
		networkRandom: random(o.Seed, networkStream),
		processRandom: random(o.Seed, processStream),
		gossipRandom:  random(o.Seed, gossipStream),
		blockedLinks:  map[link]int{},
		failNextSync:  map[int]bool{},
		traceHash:     fnv.New64a(),
		counts:        map[string]float64{},
		history:       history{firstSubmitted: map[commandID]time.Duration{}},
	}
	setup := random(o.Seed, setupStream)
	s.voters = []int{1, 3, 3, 5, 5}[setup.IntN(5)]
	processCount := s.voters + 2 + setup.IntN(3)
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
		s.after(fault.At, func() { s.inject(fault) })
	}
	s.after(healedAt, s.heal)
	return s
}

// drawTask draws the task that the processes run.
func drawTask(setup *rand.Rand) task.Spec {
	return task.Spec{
		Name:          taskName,
		Interval:      400 * time.Millisecond,
		Missed:        []task.MissedPolicy{task.MissedSkip, task.MissedRunNewest, task.MissedRunEach}[setup.IntN(3)],
		Idempotency:   task.Idempotency(setup.IntN(3)),
		DedupWindow:   4 * time.Second,
		Deadline:      300 * time.Millisecond,
		MaxAttempts:   2,
		MaxClockDrift: maxClockDrift,
	}
}

// play runs all events until the end, or until a violation.
func (s *simulation) play() {
	for played := 0; len(s.queue) > 0 && s.violation == ""; played++ {
		if played > maxEvents {
			s.reportViolation("the run does not come to its end")
			return
		}
		if !s.dueBy(endAt) {
			s.observer.finish()
			return
		}
		s.step()
		s.observer.checkHolders()
		s.observer.checkRelapses()
	}
}

// outcome returns what came of the run.
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

// reportViolation records the first thing that must not happen.
func (s *simulation) reportViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation, s.violatedAt = fmt.Sprintf(format, args...), s.now
		s.trace("BROKEN %s", s.violation)
	}
}

// trace adds a line to the trace.
func (s *simulation) trace(format string, args ...any) {
	line := fmt.Sprintf("%10.6f %s\n", s.now.Seconds(), fmt.Sprintf(format, args...))
	s.traceHash.Write([]byte(line))
	if s.options.Trace != nil {
		fmt.Fprint(s.options.Trace, line)
	}
}

// process returns the process of that name, or nil.
func (s *simulation) process(name string) *process {
	for _, p := range s.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}
