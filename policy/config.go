package policy

import (
	"errors"
	"fmt"
	"time"
)

// Idempotency says what a repeat of a request does.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // no harm
	IdempotentByKey                    // it is dropped, within a scope and a window of time
	NonIdempotent                      // it is executed again: never allowed
)

// DedupScope says which endpoints drop repeats of a request with an idempotency key.
type DedupScope int

// The dedup scopes.
const (
	DedupEverywhere DedupScope = iota // all
	DedupZone                         // those of the zone that got it first
	DedupCell                         // those of the cell that got it first
)

// Class describes a class of requests.
type Class struct {
	Name               string
	Idempotency        Idempotency
	DedupScope         DedupScope    // of IdempotentByKey
	DedupWindow        time.Duration // of IdempotentByKey: how long repeats are dropped
	LatencyObjective   time.Duration // a response within it has the full priority weight
	Deadline           time.Duration // of the client, over all its tries
	PriorityWeight     float64
	LateWeightFraction float64 // share of the weight that a response after the objective has; 0: late responses are of no use
}

// Tenant describes a tenant's quota over all instances.
type Tenant struct {
	Name      string
	RateQuota float64 // requests a second
}

// Config is what an instance is told at its start.
type Config struct {
	InstanceIndex, InstanceCount int // this instance's number in its group, from 0
	Zone                         string
	Classes                      []Class
	Tenants                      []Tenant // not used by the decisions
	OverQuotaWeight              float64  // weight of requests beyond a tenant's quota; not used by the decisions

	EndpointsPushed     bool // the endpoint list comes without a watch
	HealthChecksAllowed bool
	CancellationAllowed bool
	HedgingAllowed      bool // a request may have two attempts in flight
	RetryAfterHonored   bool // clients wait as Reject tells them
	MaxAttempts         int  // of one request
	MaxRetryAfter       time.Duration
	DialTimeout         time.Duration
	ConnIdle            time.Duration // a connection is closed after it
	TimerResolution     time.Duration // least time between two events of the host

	InlineLoadReports bool // responses carry load reports; otherwise only health checks do. The host reads it
	KeyAffinity       bool // an endpoint does less work for a key that it met lately

	PollInterval         time.Duration // an endpoint list older than this is out of date
	PollMaxBackoff       time.Duration // from a failed call for the list to the next; 0: PollInterval
	WatchReopenMaxDelay  time.Duration // from the loss of a watch to the call; 0: PollInterval
	ResponseGrace        time.Duration // a client is answered within it after Request.Expires; not used by the decisions
	SlowStartMinCapacity float64       // capacity of an endpoint at its start, as a fraction of full
	SlowStartDuration    time.Duration // it has its full capacity after it

	// Costs, in points of the result.
	HealthCheckCost float64 // of one health check for each request
	ConnectionCost  float64 // of 100 open connections at each endpoint
	HandshakeCost   float64 // of one new connection for each request
	CrossZoneCost   float64 // of each attempt in another zone, as a fraction of all requests
}

// ErrInvalidConfig is wrapped by the error of New for a Config that is out of range.
var ErrInvalidConfig = errors.New("policy: invalid config")

// validate reports what in cfg is out of range.
func (cfg Config) validate() error {
	switch {
	case cfg.InstanceCount < 1 || cfg.InstanceIndex < 0 || cfg.InstanceIndex >= cfg.InstanceCount:
		return fmt.Errorf("%w: instance %d outside a group of %d", ErrInvalidConfig, cfg.InstanceIndex, cfg.InstanceCount)
	case cfg.MaxAttempts < 1:
		return fmt.Errorf("%w: MaxAttempts below 1", ErrInvalidConfig)
	case !(cfg.SlowStartMinCapacity >= 0 && cfg.SlowStartMinCapacity <= 1) || cfg.SlowStartDuration < 0:
		return fmt.Errorf("%w: SlowStartMinCapacity outside 0..1 or negative SlowStartDuration", ErrInvalidConfig)
	case cfg.TimerResolution < 0 || cfg.PollInterval < 0 || cfg.ResponseGrace < 0 || cfg.DialTimeout < 0:
		return fmt.Errorf("%w: negative duration", ErrInvalidConfig)
	}
	for _, c := range cfg.Classes {
		if c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective || c.PriorityWeight < 0 || c.DedupWindow < 0 {
			return fmt.Errorf("%w: class %q: LatencyObjective, Deadline, PriorityWeight or DedupWindow out of range", ErrInvalidConfig, c.Name)
		}
	}
	return nil
}
