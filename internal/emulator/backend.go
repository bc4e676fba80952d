package emulator

import (
	"time"

	"sorrelrudder/policy"
)

const (
	// cellsPerZone is the number of cells that a zone's backends are divided into.
	cellsPerZone = 4
	// errorResponseTime is how long a backend takes for an injected error.
	errorResponseTime = 2 * time.Millisecond
)

// backend is one process of a backend server.
type backend struct {
	id      string
	place   int // of its machine in the fleet; a successor takes the same one
	machine MachineType
	zone    string
	cell    int
	started policy.Time // 0: before the run

	draining      bool
	stopped       bool    // its process has ended: connections are refused
	silent        bool    // it neither answers nor accepts connections, and what runs there is lost
	collapsed     bool    // as silent, after too much load while it was warming up
	partitioned   bool    // it works, but no instance reaches it
	errorFraction float64 // of the requests that it answers with an error at once

	busy         int // cores
	queue        []*job
	connections  int
	queueHistory []queueSample // the newest last
	warmingWork  []arrival     // within the collapse window, while it is warming up
}

// job is an attempt that waits or runs at a backend.
type job struct {
	attempt *attempt
	work    time.Duration
}

// queueSample is the length of a backend's queue at a time.
type queueSample struct {
	at     policy.Time
	length int
}

// newBackend returns a backend whose zone, cell and machine type follow from its place. The machine types are scattered, so that any
// range of places has all of them.
func (e *Emulation) newBackend(id string, place int, started policy.Time) *backend {
	zones := e.scenario.Zones
	return &backend{
		id:      id,
		place:   place,
		machine: e.scenario.machineAt(place),
		zone:    zones[place%len(zones)],
		cell:    place % (cellsPerZone * len(zones)),
		started: started,
	}
}

// machineAt returns the machine type of a place.
func (s *Scenario) machineAt(place int) MachineType {
	position := float64(scatter(place)) / scatterRange
	sum := 0.0
	for _, machine := range s.MachineTypes {
		if sum += machine.Fraction; position < sum {
			return machine
		}
	}
	return s.MachineTypes[len(s.MachineTypes)-1]
}

// backendByID returns the newest running backend of that name, or the newest of all if none runs; nil if there was none.
func (e *Emulation) backendByID(id policy.EndpointID) *backend {
	var found *backend
	for _, b := range e.backends {
		if policy.EndpointID(b.id) == id && (found == nil || !b.stopped) {
			found = b
		}
	}
	return found
}

// capacityFraction returns the fraction of its capacity that the backend has now.
func (b *backend) capacityFraction(e *Emulation) float64 {
	age := e.now - b.started
	if b.started == 0 || age >= e.scenario.SlowStartDuration {
		return 1
	}
	least := e.scenario.SlowStartMinCapacity
	return least + (1-least)*float64(age)/float64(e.scenario.SlowStartDuration)
}

// capacity returns the work that the backend does in a second, in seconds.
func (b *backend) capacity(e *Emulation) float64 {
	return float64(b.machine.Cores) * b.machine.Speed * b.capacityFraction(e)
}

// unreachable reports whether the backend answers nothing.
func (b *backend) unreachable() bool {
	return b.stopped || b.silent || b.collapsed || b.partitioned
}

// receive handles an attempt whose last byte has arrived.
func (b *backend) receive(e *Emulation, a *attempt) {
	switch {
	case b.unreachable():
		return // the connection stays open, or resetConnections breaks it
	case b.draining:
		a.respond(e, policy.StatusOverloaded)
		return
	case b.errorFraction > 0 && e.rng.Float64() < b.errorFraction:
		e.after(errorResponseTime, func() { a.respond(e, policy.StatusApplicationError) })
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

// startJobs starts jobs while there are free cores. Neither a timeout nor a cancellation stops a job.
func (b *backend) startJobs(e *Emulation) {
	for b.busy < b.machine.Cores && len(b.queue) > 0 && (b.partitioned || !b.unreachable()) {
		next := b.queue[0]
		b.queue = b.queue[1:]
		b.busy++
		e.observer.attemptExecuted(next.attempt)
		e.after(time.Duration(float64(next.work)/(b.machine.Speed*b.capacityFraction(e))), func() {
			b.busy--
			if !b.unreachable() {
				next.attempt.respond(e, policy.StatusOK)
			}
			b.startJobs(e)
		})
	}
	b.recordQueueLength(e)
}

// recordQueueLength keeps the length of the queue for load reports.
func (b *backend) recordQueueLength(e *Emulation) {
	for len(b.queueHistory) > 1 && b.queueHistory[1].at <= e.now-e.scenario.LoadReportAge {
		b.queueHistory = b.queueHistory[1:]
	}
	b.queueHistory = append(b.queueHistory, queueSample{e.now, len(b.queue)})
}

// reportedQueueLength returns the queue length in the answer to a health check: that of LoadReportAge ago.
func (b *backend) reportedQueueLength(e *Emulation) float64 {
	length := 0
	for _, sample := range b.queueHistory {
		if sample.at <= e.now-e.scenario.LoadReportAge {
			length = sample.length
		}
	}
	return float64(length)
}
