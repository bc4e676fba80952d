package emulator

import (
	"errors"
	"time"

	"sorrelrudder/internal/zonefailover"
	"sorrelrudder/policy"
)

// Scenario is the complete input of a run. Equal scenarios give equal runs.
type Scenario struct {
	Seed          uint64
	Duration      time.Duration
	StartupWindow time.Duration // period over which the starts of the instances are spread
	InstanceCount int
	BackendCount  int
	Zones         []string // instances and backends are assigned to the zones in turn

	SameZoneDelay     time.Duration // one way
	CrossZoneDelay    time.Duration // one way
	HandshakeDuration time.Duration // of a new connection, in addition to the round trip

	MachineTypes   []MachineType
	MaxQueueLength int           // maximum number of requests in the queue of a backend
	MaxConnections int           // connections that a backend accepts; 0: no limit
	LoadReportAge  time.Duration // age of the queue length that a health check reports

	SlowStartMinCapacity float64 // fraction of its full capacity with which a backend starts
	SlowStartDuration    time.Duration

	// A backend that is warming up collapses permanently if it receives more than CollapseFactor times the work that it can execute within
	// CollapseWindow. If CollapseFactor is 0, no backend collapses.
	CollapseFactor   float64
	CollapseWindow   time.Duration
	CollapseDisabled bool // record the load, but let no backend collapse

	Classes   []Class
	Clients   Clients
	Discovery Discovery
	// Policy is the configuration of the instances' balancers. The index and number of instances, the zone, the classes and the slow start
	// are overwritten with values from the fields above.
	Policy  policy.Config
	Events  []ScheduledEvent
	Sharing Sharing
}

// MachineType is a type of machine that backends run on.
type MachineType struct {
	Name     string
	Fraction float64 // fraction of the backends
	Cores    int
	Speed    float64 // seconds of work that a core executes per second
}

// Class is a class of requests.
type Class struct {
	policy.Class
	Fraction      float64       // fraction of the clients' requests
	MeanWork      time.Duration // work for one core of speed 1; lognormally distributed
	WorkVariation float64       // coefficient of variation of the work
}

// Clients describes the behavior of the clients.
type Clients struct {
	RequestsPerSecond float64 // of all clients together, without retries
	// RateSpread makes the request rates of the instances differ. Their weights range from 1 to 1+RateSpread.
	RateSpread float64
	// InstanceWeight returns the weight of an instance. If nil, the weights follow from RateSpread.
	InstanceWeight         func(index int, zone string) float64
	MaxRetries             int
	RetryDelay             time.Duration
	AttemptTimeoutFraction float64 // timeout of a retryable attempt as a fraction of the deadline; 0: the whole deadline
	HonorRetryAfter        bool    // a Retry-After replaces RetryDelay
}

// Discovery describes the capacity and the delays of the discovery service.
type Discovery struct {
	WatchesPerSecond  float64       // watch requests that the service can serve
	MaxQueueDelay     time.Duration // a watch request that would wait longer is rejected
	NotificationDelay time.Duration // time from a change to its notification
}

// ScheduledEvent is a change of the emulated fleet at a scheduled time.
type ScheduledEvent struct {
	At    time.Duration // time since the start of the run
	Apply func(*Emulation)
}

// Sharing selects the observations that instances share with each other. With the zero value they share none.
type Sharing struct {
	Delay        time.Duration // time from an observation to its arrival at the other instances
	Quorum       int           // number of instances that must report a backend within hintInterval before the other instances receive the hint
	Unreachable  bool          // share hints that a backend is unreachable
	LoadReports  bool          // share load reports of health checks
	LearnedState bool          // give a starting instance the latencies and the delay model of another one
	EndpointList bool          // give a starting instance the current endpoint list
	ZoneFailover bool          // let one controller decide for all instances which zones they use
	ZoneRules    zonefailover.Rules
}

// DefaultPolicy returns the default configuration of the balancers. It leaves the fields unset that a Scenario determines.
func DefaultPolicy() policy.Config {
	return policy.Config{
		HealthChecksAllowed: true,
		CancellationAllowed: true,
		HedgingAllowed:      true,
		RetryAfterHonored:   true,
		MaxAttempts:         3,
		MaxRetryAfter:       1500 * time.Millisecond,
		DialTimeout:         250 * time.Millisecond,
		ConnIdle:            5 * time.Second,
		TimerResolution:     time.Millisecond,
		PollInterval:        10 * time.Second,
		ResponseGrace:       5 * time.Millisecond,
		HealthCheckCost:     0.08,
		HandshakeCost:       0.08,
		CrossZoneCost:       0.03,
	}
}

// ErrInvalidScenario is wrapped by the errors that New returns for an invalid scenario.
var ErrInvalidScenario = errors.New("emulator: invalid scenario")

// validate returns an error if a required field of the scenario is unset.
func (s *Scenario) validate() error {
	if s.InstanceCount < 1 || s.BackendCount < 1 || len(s.MachineTypes) == 0 || len(s.Zones) == 0 || len(s.Classes) == 0 {
		return errors.New("at least one instance, backend, machine type, zone and class is required")
	}
	if s.Duration <= 0 || s.Clients.RequestsPerSecond <= 0 || s.Discovery.WatchesPerSecond <= 0 {
		return errors.New("duration, request rate and discovery capacity must be greater than 0")
	}
	return nil
}

// meanWork returns the mean work of a request over all classes.
func (s *Scenario) meanWork() time.Duration {
	work, fraction := 0.0, 0.0
	for _, class := range s.Classes {
		work += class.Fraction * float64(class.MeanWork)
		fraction += class.Fraction
	}
	return time.Duration(work / fraction)
}

// maxDeadline returns the longest deadline of a class.
func (s *Scenario) maxDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// InFraction reports whether the instance or backend at index belongs to a subset of about the given fraction of all indexes. The subset is
// spread over all zones. The subset of a larger fraction contains that of a smaller one.
func InFraction(index int, fraction float64) bool {
	return float64(scatter(index)) < fraction*scatterRange
}

// scatterRange is the exclusive upper bound of the values of scatter.
const scatterRange = 1000

// scatter maps consecutive indexes to values in [0, scatterRange) that are far apart.
func scatter(index int) int {
	const multiplier = 7919 // coprime to scatterRange
	return index * multiplier % scatterRange
}
