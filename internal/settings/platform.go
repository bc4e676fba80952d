package settings

import (
	"fmt"
	"time"

	"sorrelrudder/policy"
)

// object is the platform's settings object. Its tags map the platform's keys to the usual terms. Keys without a field here are ignored.
// Durations are in microseconds; an absent duration is 0.
type object struct {
	InstanceCount     int            `json:"GroupSize"`
	InstanceIndex     int            `json:"Ordinal"`
	Zone              string         `json:"Zone"`
	DiscoveryMode     string         `json:"MembershipMode"`
	OverQuotaWeight   float64        `json:"OverShareWorth"`
	TimerResolutionUs int64          `json:"TickUs"`
	Limits            limits         `json:"Limits"`
	Classes           []requestClass `json:"RequestClasses"`
	Safety            safety         `json:"Safety"`
	Family            family         `json:"FamilyInfo"`
	Costs             costs          `json:"Tariffs"`
	Telemetry         telemetry      `json:"Telemetry"`
	Tenants           []tenant       `json:"Tenants"`
}

// limits holds what the platform allows.
type limits struct {
	CancellationAllowed bool  `json:"Cancelling"`
	HedgingAllowed      bool  `json:"MayDuplicate"`
	HealthChecksAllowed bool  `json:"Probes"`
	RetryAfterHonored   bool  `json:"RetryAfter"`
	ConnIdleUs          int64 `json:"ConnIdleUs"`
	DialTimeoutUs       int64 `json:"DialTimeoutUs"`
	MaxRetryAfterUs     int64 `json:"MaxRetryAfterUs"`
	MaxAttempts         int   `json:"SendCap"`
}

// requestClass describes the requests of one class.
type requestClass struct {
	Name               string  `json:"Name"`
	Idempotency        string  `json:"Effect"`
	DedupScope         string  `json:"Group"`
	LatencyObjectiveUs int64   `json:"AimUs"`
	DeadlineUs         int64   `json:"DeadlineUs"`
	DedupWindowUs      int64   `json:"KeyTtlUs"`
	PriorityWeight     float64 `json:"Worth"`
	LateWeightFraction float64 `json:"LateShare"`
}

// safety holds the times on which the platform's rules are based, and the capacity at which slow start begins.
type safety struct {
	PollIntervalUs       int64   `json:"AskEveryUs"`
	DrainGraceUs         int64   `json:"DrainGraceUs"`
	ResponseGraceUs      int64   `json:"GraceToAnswerUs"`
	SlowStartDurationUs  int64   `json:"RampTimeUs"`
	SlowStartMinCapacity float64 `json:"ColdFrom"`
}

// family describes the kind of deployment.
type family struct {
	KeyAffinity bool `json:"WarmKeys"`
}

// costs holds the points that the platform deducts from a score, each multiplied by the share or rate of its operation.
type costs struct {
	Connection  float64 `json:"Connection"`
	CrossZone   float64 `json:"CrossZone"`
	Handshake   float64 `json:"Handshake"`
	HealthCheck float64 `json:"Probe"`
}

// telemetry describes how endpoints report their load.
type telemetry struct {
	LoadReportFields []string `json:"Fields"`
	LoadReportsVia   string   `json:"Via"`
}

// tenant is a client with a quota.
type tenant struct {
	Name      string  `json:"Name"`
	RateQuota float64 `json:"AllowancePerS"`
}

// Values of MembershipMode and Via. Any other value means that the endpoint list is polled, or that load reports come with health checks.
const (
	discoveryPushed   = "pushed"
	loadReportsInline = "inline"
)

// idempotencyByName maps the values of the key Effect.
var idempotencyByName = map[string]policy.Idempotency{
	"read_like": policy.Idempotent, "idempotency_key": policy.IdempotentByKey, "non_idempotent": policy.NonIdempotent,
}

// dedupScopeByName maps the values of the key Group.
var dedupScopeByName = map[string]policy.DedupScope{
	"": policy.DedupEverywhere, "all": policy.DedupEverywhere, "zone": policy.DedupZone, "cell": policy.DedupCell,
}

const (
	// maxDuration is the upper bound of the durations outside the classes. A longer one is more likely a mistake in the unit than a real
	// deployment.
	maxDuration = time.Hour
	// maxDedupWindow is the upper bound of the deduplication window of a class.
	maxDedupWindow = 24 * time.Hour
)

// config returns the decision module's configuration.
func (s *object) config() policy.Config {
	cfg := policy.Config{
		KeyAffinity:          s.Family.KeyAffinity,
		InstanceIndex:        s.InstanceIndex,
		InstanceCount:        s.InstanceCount,
		Zone:                 s.Zone,
		OverQuotaWeight:      s.OverQuotaWeight,
		EndpointsPushed:      s.DiscoveryMode == discoveryPushed,
		HealthChecksAllowed:  s.Limits.HealthChecksAllowed,
		CancellationAllowed:  s.Limits.CancellationAllowed,
		HedgingAllowed:       s.Limits.HedgingAllowed,
		RetryAfterHonored:    s.Limits.RetryAfterHonored,
		MaxAttempts:          s.Limits.MaxAttempts,
		MaxRetryAfter:        Micros(s.Limits.MaxRetryAfterUs),
		DialTimeout:          Micros(s.Limits.DialTimeoutUs),
		ConnIdle:             Micros(s.Limits.ConnIdleUs),
		TimerResolution:      Micros(s.TimerResolutionUs),
		InlineLoadReports:    s.Telemetry.LoadReportsVia == loadReportsInline,
		PollInterval:         Micros(s.Safety.PollIntervalUs),
		ResponseGrace:        Micros(s.Safety.ResponseGraceUs),
		SlowStartMinCapacity: s.Safety.SlowStartMinCapacity,
		SlowStartDuration:    Micros(s.Safety.SlowStartDurationUs),
		HealthCheckCost:      s.Costs.HealthCheck,
		ConnectionCost:       s.Costs.Connection,
		HandshakeCost:        s.Costs.Handshake,
		CrossZoneCost:        s.Costs.CrossZone,
	}
	for _, c := range s.Classes {
		cfg.Classes = append(cfg.Classes, c.config())
	}
	for _, t := range s.Tenants {
		cfg.Tenants = append(cfg.Tenants, policy.Tenant{Name: t.Name, RateQuota: t.RateQuota})
	}
	return cfg
}

// config returns the decision module's configuration of the class.
func (c *requestClass) config() policy.Class {
	return policy.Class{
		Name:               c.Name,
		Idempotency:        idempotencyByName[c.Idempotency],
		DedupScope:         dedupScopeByName[c.DedupScope],
		DedupWindow:        Micros(c.DedupWindowUs),
		LatencyObjective:   Micros(c.LatencyObjectiveUs),
		Deadline:           Micros(c.DeadlineUs),
		PriorityWeight:     c.PriorityWeight,
		LateWeightFraction: c.LateWeightFraction,
	}
}

// KeyError reports an invalid value of a key of the settings object.
type KeyError struct {
	Key     string // path of the key, as operators write it
	Problem string // the value and what is wrong with it, such as "is 0, want at least 1"
}

// Error implements error.
func (e *KeyError) Error() string { return e.Key + " " + e.Problem }

// keyError returns a KeyError whose problem is the formatted text.
func keyError(key, format string, args ...any) *KeyError {
	return &KeyError{Key: key, Problem: fmt.Sprintf(format, args...)}
}

// validate checks the values that the decision module would reject or misinterpret. It returns nil if all are valid.
func (s *object) validate() *KeyError {
	for _, c := range s.Classes {
		if err := c.validate(); err != nil {
			return &KeyError{Key: fmt.Sprintf("RequestClasses %q: %s", c.Name, err.Key), Problem: err.Problem}
		}
	}
	switch {
	case s.InstanceCount < 1:
		return keyError("GroupSize", "is %d, want at least 1", s.InstanceCount)
	case s.InstanceIndex < 0 || s.InstanceIndex >= s.InstanceCount:
		return keyError("Ordinal", "is %d, want at least 0 and less than GroupSize, %d", s.InstanceIndex, s.InstanceCount)
	case s.Limits.MaxAttempts < 1:
		return keyError("Limits.SendCap", "is %d, want at least 1", s.Limits.MaxAttempts)
	case !isFraction(s.Safety.SlowStartMinCapacity):
		return keyError("Safety.ColdFrom", "is %v, want 0 to 1", s.Safety.SlowStartMinCapacity)
	}
	return s.validateTimes()
}

// isFraction reports whether v is in the range 0 to 1. It is false for NaN.
func isFraction(v float64) bool { return v >= 0 && v <= 1 }

// validate checks a class. It returns nil if all values are valid.
func (c *requestClass) validate() *KeyError {
	_, knownIdempotency := idempotencyByName[c.Idempotency]
	_, knownScope := dedupScopeByName[c.DedupScope]
	switch {
	case !knownIdempotency:
		return keyError("Effect", "is %q, want read_like, idempotency_key or non_idempotent", c.Idempotency)
	case !knownScope:
		return keyError("Group", "is %q, want all, zone, cell or an empty text", c.DedupScope)
	case c.LatencyObjectiveUs <= 0:
		return keyError("AimUs", "is %d, want more than 0", c.LatencyObjectiveUs)
	case c.DeadlineUs < c.LatencyObjectiveUs:
		return keyError("DeadlineUs", "is %d, want at least AimUs", c.DeadlineUs)
	case c.DedupWindowUs < 0 || c.DedupWindowUs > maxDedupWindow.Microseconds():
		return keyError("KeyTtlUs", "is %d, want 0 to one day in microseconds", c.DedupWindowUs)
	case c.PriorityWeight < 0:
		return keyError("Worth", "is %v, want at least 0", c.PriorityWeight)
	}
	return nil
}

// validateTimes checks the durations outside the classes. It returns nil if all are valid.
func (s *object) validateTimes() *KeyError {
	for _, t := range []struct {
		key string
		us  int64
	}{
		{"TickUs", s.TimerResolutionUs},
		{"Limits.ConnIdleUs", s.Limits.ConnIdleUs},
		{"Limits.DialTimeoutUs", s.Limits.DialTimeoutUs},
		{"Limits.MaxRetryAfterUs", s.Limits.MaxRetryAfterUs},
		{"Safety.AskEveryUs", s.Safety.PollIntervalUs},
		{"Safety.DrainGraceUs", s.Safety.DrainGraceUs},
		{"Safety.GraceToAnswerUs", s.Safety.ResponseGraceUs},
		{"Safety.RampTimeUs", s.Safety.SlowStartDurationUs},
	} {
		if t.us < 0 {
			return keyError(t.key, "is %d, want at least 0", t.us)
		}
		if t.us > maxDuration.Microseconds() {
			return keyError(t.key, "is %d, want at most one hour in microseconds", t.us)
		}
	}
	return nil
}
