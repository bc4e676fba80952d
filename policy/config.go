package policy

import (
	"errors"
	"fmt"
	"time"
)

// Idempotency is the effect of a repeated request.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // a repeat is harmless
	IdempotentByKey                    // a repeat is dropped within Class.DedupScope and Class.DedupWindow
	NonIdempotent                      // a repeat is executed again; allowed only if no earlier attempt can have been executed
)

// DedupScope is the set of endpoints that drop repeats of a request with an idempotency key.
type DedupScope int

// The dedup scopes.
const (
	DedupEverywhere DedupScope = iota // all endpoints
	DedupZone                         // endpoints of the zone that received the request first
	DedupCell                         // endpoints of the cell that received the request first
)

// Class describes a class of requests.
type Class struct {
	Name               string
	Idempotency        Idempotency
	DedupScope         DedupScope    // for IdempotentByKey
	DedupWindow        time.Duration // for IdempotentByKey: how long repeats are dropped
	LatencyObjective   time.Duration // a response within this time has the full priority weight
	Deadline           time.Duration // total time limit of the client, over all its tries of a request
	PriorityWeight     float64
	LateWeightFraction float64 // fraction of the weight of a response after the objective; 0: late responses are of no use
}

// Tenant describes the quota of a tenant over all instances.
type Tenant struct {
	Name      string
	RateQuota float64 // requests per second
}

// Config configures the Balancer of one instance.
type Config struct {
	InstanceIndex, InstanceCount int // index of this instance in its group, from 0, and size of the group
	Zone                         string
	Classes                      []Class
	Tenants                      []Tenant // not used by the decisions
	OverQuotaWeight              float64  // weight of requests beyond a tenant's quota; not used by the decisions

	EndpointsPushed     bool // the host receives the endpoint list without a watch
	HealthChecksAllowed bool
	CancellationAllowed bool
	HedgingAllowed      bool // a request may have two attempts in flight
	RetryAfterHonored   bool // clients wait for the retryAfter of Actions.Reject
	MaxAttempts         int  // attempts per request
	MaxRetryAfter       time.Duration
	DialTimeout         time.Duration
	ConnIdle            time.Duration // idle time after which a connection is closed; not used by the decisions
	TimerResolution     time.Duration // shortest time between two events of the host

	InlineLoadReports bool // responses carry load reports; otherwise only health checks do. Read by the host
	KeyAffinity       bool // an endpoint does less work for a key that it has served recently

	PollInterval         time.Duration // an endpoint list older than this is out of date; also sets the delays between calls to the list service
	PollMaxBackoff       time.Duration // longest delay from a failed call to the list service to the next call; 0: 1.5 times PollInterval
	WatchReopenMaxDelay  time.Duration // longest delay from the loss of a watch to the next call; 0: set by PollInterval and InstanceCount alone
	ResponseGrace        time.Duration // longest delay of a response after Request.Expires; not used by the decisions
	SlowStartMinCapacity float64       // capacity of an endpoint at its start, as a fraction of its full capacity
	SlowStartDuration    time.Duration // time from the start of an endpoint to its full capacity

	// Costs that the platform charges, in points.
	HealthCheckCost float64 // of one health check per request
	ConnectionCost  float64 // of 100 open connections per endpoint
	HandshakeCost   float64 // of one new connection per request; not used by the decisions
	CrossZoneCost   float64 // of one attempt in another zone per request
}

// ErrInvalidConfig is wrapped by the error that New returns for a Config with a value out of range.
var ErrInvalidConfig = errors.New("policy: invalid config")

// validate returns an error for the first value of cfg that is out of range, nil if there is none. The error wraps ErrInvalidConfig.
func (cfg Config) validate() error {
	switch {
	case cfg.InstanceCount < 1 || cfg.InstanceIndex < 0 || cfg.InstanceIndex >= cfg.InstanceCount:
		return fmt.Errorf("%w: InstanceIndex %d of InstanceCount %d: need InstanceCount >= 1 and 0 <= InstanceIndex < InstanceCount",
			ErrInvalidConfig, cfg.InstanceIndex, cfg.InstanceCount)
	case cfg.MaxAttempts < 1:
		return fmt.Errorf("%w: MaxAttempts must be at least 1", ErrInvalidConfig)
	case !(cfg.SlowStartMinCapacity >= 0 && cfg.SlowStartMinCapacity <= 1) || cfg.SlowStartDuration < 0:
		return fmt.Errorf("%w: SlowStartMinCapacity must be from 0 to 1, and SlowStartDuration at least 0", ErrInvalidConfig)
	case cfg.TimerResolution < 0 || cfg.PollInterval < 0 || cfg.ResponseGrace < 0 || cfg.DialTimeout < 0:
		return fmt.Errorf("%w: TimerResolution, PollInterval, ResponseGrace and DialTimeout must be at least 0", ErrInvalidConfig)
	}
	for _, c := range cfg.Classes {
		if c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective || c.PriorityWeight < 0 || c.DedupWindow < 0 {
			return fmt.Errorf("%w: class %q: need 0 < LatencyObjective <= Deadline, PriorityWeight >= 0 and DedupWindow >= 0", ErrInvalidConfig, c.Name)
		}
	}
	return nil
}
