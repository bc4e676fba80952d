// Package emulator emulates a fleet in virtual time. The fleet consists of instances that each run a policy.Balancer, backends that can be
// slow, warming up, silent, failing or stopped, clients that time out and retry, and a discovery service that can be late or overloaded.
// Runs are deterministic: equal scenarios give equal results. An observer that shares no code with the balancer checks the rules that each
// instance has to follow.
//
// An Emulation is not safe for concurrent use.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sorrelrudder/internal/virtualtime"
	"sorrelrudder/policy"
)

// startTime is the clock reading at the start of a run. It is not zero because package policy treats a zero time as unset.
const startTime policy.Time = time.Hour

// drainDuration is the time for which a run continues after the last request has reached its deadline.
const drainDuration = 2 * time.Second

// Emulation is a run of a scenario.
type Emulation struct {
	scenario       Scenario
	scheduler      virtualtime.Scheduler
	rng            *rand.Rand // random source of the environment; each balancer has its own source
	arrivalsClosed bool

	dropFraction  float64 // fraction of the successful responses that are lost
	resetFraction float64 // fraction of the attempts whose connection is reset after transmission

	backends          []*backend
	discovery         *discoveryService
	instances         []*instance
	cumulativeWeights []float64 // of the instances, in the order of instances
	observer          *observer
	failureReporters  map[policy.EndpointID][]failureReporter
	zones             *zoneController // nil: zone failover is disabled
	// onAttemptFinished is called at the end of each attempt, unless it is nil.
	onAttemptFinished func(*attempt, policy.Status)

	Result Result
}

// New returns a run of the scenario that has not started. The error wraps ErrInvalidScenario or is an error of policy.New.
func New(scenario Scenario) (*Emulation, error) {
	if err := scenario.validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidScenario, err)
	}
	e := &Emulation{scenario: scenario, rng: rand.New(rand.NewPCG(scenario.Seed, 1))}
	e.scheduler.AdvanceTo(startTime)
	e.Result.Seconds = make([]Counts, int((scenario.Duration+time.Second-1)/time.Second)+1)
	e.observer = newObserver(e)
	for index := range scenario.BackendCount {
		e.backends = append(e.backends, e.newBackend(fmt.Sprintf("s%03d", index), index, 0))
	}
	e.discovery = newDiscoveryService(e)
	if scenario.Sharing.ZoneFailover {
		e.zones = newZoneController(e)
	}
	if err := e.addInstances(); err != nil {
		return nil, err
	}
	return e, nil
}

// addInstances creates the instances and the cumulative weights by which requests are distributed among them.
func (e *Emulation) addInstances() error {
	weight := 0.0
	for index := range e.scenario.InstanceCount {
		in, err := newInstance(e, index)
		if err != nil {
			return err
		}
		e.instances = append(e.instances, in)
		weight += e.scenario.Clients.weightOf(index, in.zone)
		e.cumulativeWeights = append(e.cumulativeWeights, weight)
	}
	return nil
}

// Run runs the scenario until every request has been answered or has reached its deadline, and returns the result. It must be called at
// most once.
func (e *Emulation) Run() *Result {
	e.schedule()
	end := startTime + e.scenario.Duration + e.scenario.maxDeadline() + drainDuration
	for e.scheduler.DueBy(end) {
		e.scheduler.Step()
	}
	e.observer.finish()
	for _, second := range e.Result.Seconds {
		e.Result.Total.Add(second)
	}
	return &e.Result
}

// schedule schedules the events that the scenario determines: starts, faults and arrivals.
func (e *Emulation) schedule() {
	for _, in := range e.instances {
		e.scheduler.After(time.Duration(e.rng.Float64()*float64(e.scenario.StartupWindow)), in.start)
	}
	for _, event := range e.scenario.Events {
		e.scheduler.After(event.At, func() { event.Apply(e) })
	}
	e.scheduler.After(e.scenario.StartupWindow, e.arrive)
	e.scheduler.After(e.scenario.Duration, func() { e.arrivalsClosed = true })
}

// Elapsed returns the virtual time since the start of the run.
func (e *Emulation) Elapsed() time.Duration { return e.scheduler.Now() - startTime }

// counts returns the counts of the current second.
func (e *Emulation) counts() *Counts {
	return &e.Result.Seconds[min(int(e.Elapsed()/time.Second), len(e.Result.Seconds)-1)]
}
