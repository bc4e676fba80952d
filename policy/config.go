package policy

import (
	"errors"
	"fmt"
	"time"
)

// Idempotency says what repeating a request of a class may do.
type Idempotency int

// The effects.
const (
	Idempotent      Idempotency = iota // may be repeated freely
	IdempotentByKey                    // repeats are dropped within a group for a while
	NonIdempotent                      // must never run twice
)

// DedupScope says which servers drop the repeats of a keyed request.
type DedupScope int

// The groups.
const (
	DedupEverywhere DedupScope = iota // every server
	DedupZone                         // the servers of the zone that got it first
	DedupCell                         // the servers of the cell that got it first
)

// Class describes one class of requests.
type Class struct {
	Name               string
	Idempotency        Idempotency
	DedupScope         DedupScope    // for Keyed
	DedupWindow        time.Duration // for Keyed: how long repeats are dropped
	LatencyObjective   time.Duration // answers within it have the full worth
	Deadline           time.Duration // the client's patience over all its tries
	PriorityWeight     float64
	LateWeightFraction float64 // share of the worth left after Aim
}

// Tenant describes one tenant's allowance over all sidecars.
type Tenant struct {
	Name      string
	RateQuota float64 // requests a second
}

// Config is what a sidecar is told at start.
type Config struct {
	InstanceIndex, InstanceCount int // this sidecar's number among its peers
	Zone                         string
	Classes                      []Class
	Tenants                      []Tenant
	OverQuotaWeight              float64 // worth of traffic beyond a tenant's allowance

	EndpointsPushed     bool // the server list arrives unasked
	HealthChecksAllowed bool
	CancellationAllowed bool
	HedgingAllowed      bool // a request may have two attempts out at once
	RetryAfterHonored   bool // clients heed the delay given with a refusal
	MaxAttempts         int
	MaxRetryAfter       time.Duration
	DialTimeout         time.Duration
	ConnIdle            time.Duration
	TimerResolution     time.Duration // least time between two events

	InlineLoadReports bool // answers carry load reports; otherwise only probes do
	KeyAffinity       bool // a server does less work for a key that it met lately

	PollInterval         time.Duration // without news this long, the list counts as told
	PollMaxBackoff       time.Duration // most from a failed call for the list to the next; 0: as AskEvery allows
	WatchReopenMaxDelay  time.Duration // most from the loss of the list to the call; 0: as AskEvery allows
	ResponseGrace        time.Duration
	SlowStartMinCapacity float64       // least share of capacity at a server's start
	SlowStartDuration    time.Duration // a server is warm after it

	HealthCheckCost, ConnectionCost, HandshakeCost, CrossZoneCost float64
}

// ErrInvalidConfig is the error of New for a Config that is out of range.
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
