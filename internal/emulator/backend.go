package emulator

import (
	"time"

	"sorrelrudder/policy"
)

const (
	// cellsPerZone is the number of cells into which the backends of a zone are divided.
	cellsPerZone = 4
	// errorResponseTime is the time that a backend takes to respond with an injected error.
	errorResponseTime = 2 * time.Millisecond
)

// backend is one process of a backend server.
type backend struct {
	id      string
	index   int // index in the fleet; a replacement takes over the index of its predecessor
	machine MachineType
	zone    string
	cell    int
	started policy.Time // 0: before the start of the run

	draining      bool
	stopped       bool    // the process has ended and connections are refused
	silent        bool    // the backend neither responds nor accepts connections, and requests in execution are lost
	collapsed     bool    // like silent, caused by too much load during warming up
	partitioned   bool    // the backend works but is unreachable for every instance
	errorFraction float64 // fraction of requests that get an immediate error response

	busy         int // busy cores
	queue        []*job
	connections  int
	queueHistory []queueSample // newest last
	warmingWork  []arrival     // work received within the collapse window while warming up
}

// job is an attempt that is queued or executed at a backend.
type job struct {
	attempt *attempt
	work    time.Duration
}

// queueSample is the length of a backend's queue at a point in time.
type queueSample struct {
	at     policy.Time
	length int
}

// newBackend returns a backend whose zone, cell and machine type follow from its index. Machine types are scattered over the indexes, so
// that any range of indexes contains all types.
func (e *Emulation) newBackend(id string, index int, started policy.Time) *backend {
	zones := e.scenario.Zones
	return &backend{
		id:      id,
		index:   index,
		machine: e.scenario.machineAt(index),
		zone:    zones[index%len(zones)],
		cell:    index % (cellsPerZone * len(zones)),
		started: started,
	}
}

// machineAt returns the machine type of the backend at an index.
func (s *Scenario) machineAt(index int) MachineType {
	position := float64(scatter(index)) / scatterRange
	sum := 0.0
	for _, machine := range s.MachineTypes {
		if sum += machine.Fraction; position < sum {
			return machine
		}
	}
	return s.MachineTypes[len(s.MachineTypes)-1]
}

// backendByID returns the newest running backend with the given ID. If none is running, it returns the oldest stopped one, or nil if there
// is none.
func (e *Emulation) backendByID(id policy.EndpointID) *backend {
	var found *backend
	for _, b := range e.backends {
		if policy.EndpointID(b.id) == id && (found == nil || !b.stopped) {
			found = b
		}
	}
	return found
}

// capacityFraction returns the fraction of its full capacity that the backend currently has.
func (b *backend) capacityFraction(e *Emulation) float64 {
	age := e.scheduler.Now() - b.started
	if b.started == 0 || age >= e.scenario.SlowStartDuration {
		return 1
	}
	minimum := e.scenario.SlowStartMinCapacity
	return minimum + (1-minimum)*float64(age)/float64(e.scenario.SlowStartDuration)
}

// capacity returns the work that the backend executes per second, in seconds of work.
func (b *backend) capacity(e *Emulation) float64 {
	return float64(b.machine.Cores) * b.machine.Speed * b.capacityFraction(e)
}

// unreachable reports whether the backend responds to no request and no health check.
func (b *backend) unreachable() bool {
	return b.stopped || b.silent || b.collapsed || b.partitioned
}

// receive handles an attempt whose request has arrived completely.
func (b *backend) receive(e *Emulation, a *attempt) {
	switch {
	case b.unreachable():
		return // the connection stays open until resetConnections resets it
	case b.draining:
		a.respond(e, policy.StatusOverloaded)
		return
	case b.errorFraction > 0 && e.rng.Float64() < b.errorFraction:
		e.scheduler.After(errorResponseTime, func() { a.respond(e, policy.StatusApplicationError) })
		return
	case b.busy >= b.machine.Cores && len(b.queue) >= e.scenario.MaxQueueLength:
		a.respond(e, policy.StatusOverloaded)
		return
	}
	work := a.request.client.work
	b.recordWarmingWork(e, work, a.request.instance.notifiedStarts[policy.EndpointID(b.id)] == b.started)
	b.queue = append(b.queue, &job{a, work})
	b.startJobs(e)
}

// startJobs starts queued jobs on free cores. Neither a timeout nor a cancellation stops a job.
func (b *backend) startJobs(e *Emulation) {
	for b.busy < b.machine.Cores && len(b.queue) > 0 && (b.partitioned || !b.unreachable()) {
		next := b.queue[0]
		b.queue = b.queue[1:]
		b.busy++
		e.observer.attemptExecuted(next.attempt)
		e.scheduler.After(time.Duration(float64(next.work)/(b.machine.Speed*b.capacityFraction(e))), func() {
			b.busy--
			if !b.unreachable() {
				next.attempt.respond(e, policy.StatusOK)
			}
			b.startJobs(e)
		})
	}
	b.recordQueueLength(e)
}

// recordQueueLength records the length of the queue for load reports.
func (b *backend) recordQueueLength(e *Emulation) {
	for len(b.queueHistory) > 1 && b.queueHistory[1].at <= e.scheduler.Now()-e.scenario.LoadReportAge {
		b.queueHistory = b.queueHistory[1:]
	}
	b.queueHistory = append(b.queueHistory, queueSample{e.scheduler.Now(), len(b.queue)})
}

// reportedQueueLength returns the queue length that a health check reports. It is the length of LoadReportAge ago.
func (b *backend) reportedQueueLength(e *Emulation) float64 {
	length := 0
	for _, sample := range b.queueHistory {
		if sample.at <= e.scheduler.Now()-e.scenario.LoadReportAge {
			length = sample.length
		}
	}
	return float64(length)
}
