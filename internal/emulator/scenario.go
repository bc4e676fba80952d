package emulator

import (
	"errors"
	"time"

	"sorrelrudder/internal/zonefailover"
	"sorrelrudder/policy"
)

// Scenario is everything that a run depends on: runs of equal scenarios are equal.
type Scenario struct {
	Seed          uint64
	Duration      time.Duration
	StartupWindow time.Duration // over which the instances start
	InstanceCount int
	BackendCount  int
	Zones         []string // instances and backends are placed in them in turn

	SameZoneDelay     time.Duration // one way
	CrossZoneDelay    time.Duration // one way
	HandshakeDuration time.Duration // of a new connection, in addition to the round trip

	MachineTypes   []MachineType
	MaxQueueLength int           // requests that may wait at a backend
	MaxConnections int           // that a backend accepts; 0: no limit
	LoadReportAge  time.Duration // age of the queue length in a health check's answer

	SlowStartMinCapacity float64 // fraction of its capacity that a backend starts with
	SlowStartDuration    time.Duration

	// A backend that warms up collapses for good when it receives CollapseFactor times the work that it can do within
	// CollapseWindow. 0: none collapses.
	CollapseFactor   float64
	CollapseWindow   time.Duration
	CollapseDisabled bool // the load is only recorded

	Classes   []Class
	Clients   Clients
	Discovery Discovery
	// Policy configures the instances' balancers, except for the index and number of instances, the zone, the classes and the
	// slow start, which follow from the fields above.
	Policy  policy.Config
	Events  []ScheduledEvent
	Sharing Sharing
}

// MachineType is a type of machine that backends run on.
type MachineType struct {
	Name     string
	Fraction float64 // of the backends
	Cores    int
	Speed    float64 // seconds of work that a core does in a second
}

// Class is a class of requests.
type Class struct {
	policy.Class
	Fraction      float64       // of the clients' requests
	MeanWork      time.Duration // of one core at speed 1; the work is distributed lognormally
	WorkVariation float64       // coefficient of variation of the work
}

// Clients says how the clients behave.
type Clients struct {
	RequestsPerSecond float64 // of all clients, without retries
	// RateSpread makes the instances' request rates differ: the weights go from 1 to 1+RateSpread.
	RateSpread float64
	// InstanceWeight replaces these weights, unless it is nil.
	InstanceWeight         func(index int, zone string) float64
	MaxRetries             int
	RetryDelay             time.Duration
	AttemptTimeoutFraction float64 // timeout of an attempt that may be retried, as a fraction of the deadline; 0: the deadline
	HonorRetryAfter        bool    // a Retry-After replaces RetryDelay
}

// Discovery is the capacity and the delay of the discovery service.
type Discovery struct {
	WatchesPerSecond  float64       // watch requests that it can serve
	MaxQueueDelay     time.Duration // a watch request that would wait longer is rejected
	NotificationDelay time.Duration // from a change to its notification
}

// ScheduledEvent changes the emulated fleet at a time.
type ScheduledEvent struct {
	At    time.Duration // since the start
	Apply func(*Emulation)
}

// Sharing says what instances know of each other's observations. Its zero value shares nothing.
type Sharing struct {
	Delay        time.Duration // from an observation to its arrival at the other instances
	Quorum       int           // instances that have to report a backend within hintInterval before the others are given the hint
	Unreachable  bool          // hints that a backend is unreachable
	LoadReports  bool          // load reports of health checks
	LearnedState bool          // latencies and the delay model, for an instance that starts
	EndpointList bool          // the current endpoint list, for an instance that starts
	ZoneFailover bool          // one controller decides for all instances which zones they use
	ZoneRules    zonefailover.Rules
}

// DefaultPolicy returns the balancer's usual configuration. The fields that a Scenario determines are left unset.
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

// ErrInvalidScenario is wrapped by the errors of New for a scenario that cannot be run.
var ErrInvalidScenario = errors.New("emulator: invalid scenario")

// validate reports what a scenario lacks.
func (s *Scenario) validate() error {
	if s.InstanceCount < 1 || s.BackendCount < 1 || len(s.MachineTypes) == 0 || len(s.Zones) == 0 || len(s.Classes) == 0 {
		return errors.New("it needs instances, backends, machine types, zones and classes")
	}
	if s.Duration <= 0 || s.Clients.RequestsPerSecond <= 0 || s.Discovery.WatchesPerSecond <= 0 {
		return errors.New("it needs a duration, a rate of requests and a capacity of discovery")
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

// InFraction reports whether the instance or backend at index belongs to a subset of about that fraction of them. The subset is spread
// over all zones, and a larger fraction's contains that of a smaller one.
func InFraction(index int, fraction float64) bool {
	return float64(scatter(index)) < fraction*scatterRange
}

// scatterRange bounds the values of scatter.
const scatterRange = 1000

// scatter maps consecutive indexes to values in [0, scatterRange) that are far apart.
func scatter(index int) int {
	const multiplier = 7919 // coprime to scatterRange
	return index * multiplier % scatterRange
}
