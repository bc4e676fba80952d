// Package settings translates the operators' settings object, which the
// simulator's first message and the sidecar's configuration share, for the
// decision module. It decides nothing itself.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"sorrelrudder/internal/staleness"
	"sorrelrudder/policy"
)

// Settings is what a host needs of the settings object.
type Settings struct {
	Config           policy.Config
	LoadReportFields []string      // names of the values in a load report, in their order
	DrainGrace       time.Duration // how long sends to a server may go on that drains or is gone; 0: not told
	Assumptions      []string      // what the settings leave out that the rules rest on, and what is taken for it
}

// object mirrors the keys that the module uses; others are skipped.
type object struct {
	GroupSize      int            `json:"GroupSize"`
	Ordinal        int            `json:"Ordinal"`
	Zone           string         `json:"Zone"`
	MembershipMode string         `json:"MembershipMode"`
	OverShareWorth float64        `json:"OverShareWorth"`
	TickUs         int64          `json:"TickUs"`
	Limits         limits         `json:"Limits"`
	RequestClasses []requestClass `json:"RequestClasses"`
	Safety         safety         `json:"Safety"`
	FamilyInfo     familyInfo     `json:"FamilyInfo"`
	Tariffs        tariffs        `json:"Tariffs"`
	Telemetry      telemetry      `json:"Telemetry"`
	Tenants        []tenant       `json:"Tenants"`
}

type limits struct {
	Cancelling      bool  `json:"Cancelling"`
	MayDuplicate    bool  `json:"MayDuplicate"`
	Probes          bool  `json:"Probes"`
	RetryAfter      bool  `json:"RetryAfter"`
	ConnIdleUs      int64 `json:"ConnIdleUs"`
	DialTimeoutUs   int64 `json:"DialTimeoutUs"`
	MaxRetryAfterUs int64 `json:"MaxRetryAfterUs"`
	SendCap         int   `json:"SendCap"`
}

type requestClass struct {
	Name       string  `json:"Name"`
	Effect     string  `json:"Effect"`
	Group      string  `json:"Group"`
	AimUs      int64   `json:"AimUs"`
	DeadlineUs int64   `json:"DeadlineUs"`
	KeyTtlUs   int64   `json:"KeyTtlUs"`
	Worth      float64 `json:"Worth"`
	LateShare  float64 `json:"LateShare"`
}

type safety struct {
	AskEveryUs      int64   `json:"AskEveryUs"`
	DrainGraceUs    int64   `json:"DrainGraceUs"`
	GraceToAnswerUs int64   `json:"GraceToAnswerUs"`
	RampTimeUs      int64   `json:"RampTimeUs"`
	ColdFrom        float64 `json:"ColdFrom"`
}

type familyInfo struct {
	WarmKeys bool `json:"WarmKeys"`
}

type tariffs struct {
	Connection float64 `json:"Connection"`
	CrossZone  float64 `json:"CrossZone"`
	Handshake  float64 `json:"Handshake"`
	Probe      float64 `json:"Probe"`
}

type telemetry struct {
	Fields []string `json:"Fields"`
	Via    string   `json:"Via"`
}

type tenant struct {
	Name          string  `json:"Name"`
	AllowancePerS float64 `json:"AllowancePerS"`
}

var idempotencyByName = map[string]policy.Idempotency{
	"read_like": policy.Idempotent, "idempotency_key": policy.IdempotentByKey, "non_idempotent": policy.NonIdempotent,
}

var dedupScopeByName = map[string]policy.DedupScope{
	"": policy.DedupEverywhere, "all": policy.DedupEverywhere, "zone": policy.DedupZone, "cell": policy.DedupCell,
}

// Parse reads the settings object. An error names the key at fault.
func Parse(text []byte) (Settings, error) {
	var s object
	if err := json.Unmarshal(text, &s); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if err := s.validate(); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	cfg := policy.Config{
		KeyAffinity:   s.FamilyInfo.WarmKeys,
		InstanceIndex: s.Ordinal, InstanceCount: s.GroupSize, Zone: s.Zone, OverQuotaWeight: s.OverShareWorth,
		EndpointsPushed: s.MembershipMode == "pushed", HealthChecksAllowed: s.Limits.Probes, CancellationAllowed: s.Limits.Cancelling,
		HedgingAllowed: s.Limits.MayDuplicate, RetryAfterHonored: s.Limits.RetryAfter, MaxAttempts: s.Limits.SendCap,
		MaxRetryAfter: Micros(s.Limits.MaxRetryAfterUs), DialTimeout: Micros(s.Limits.DialTimeoutUs),
		ConnIdle: Micros(s.Limits.ConnIdleUs), TimerResolution: Micros(s.TickUs), InlineLoadReports: s.Telemetry.Via == "inline",
		PollInterval: Micros(s.Safety.AskEveryUs), ResponseGrace: Micros(s.Safety.GraceToAnswerUs),
		SlowStartMinCapacity: s.Safety.ColdFrom, SlowStartDuration: Micros(s.Safety.RampTimeUs),
		HealthCheckCost: s.Tariffs.Probe, ConnectionCost: s.Tariffs.Connection,
		HandshakeCost: s.Tariffs.Handshake, CrossZoneCost: s.Tariffs.CrossZone,
	}
	for _, c := range s.RequestClasses {
		cfg.Classes = append(cfg.Classes, policy.Class{
			Name: c.Name, Idempotency: idempotencyByName[c.Effect], DedupScope: dedupScopeByName[c.Group], DedupWindow: Micros(c.KeyTtlUs),
			LatencyObjective: Micros(c.AimUs), Deadline: Micros(c.DeadlineUs), PriorityWeight: c.Worth, LateWeightFraction: c.LateShare,
		})
	}
	for _, t := range s.Tenants {
		cfg.Tenants = append(cfg.Tenants, policy.Tenant{Name: t.Name, RateQuota: t.AllowancePerS})
	}
	out := Settings{Config: cfg, LoadReportFields: s.Telemetry.Fields, DrainGrace: Micros(s.Safety.DrainGraceUs)}
	out.applyDefaults()
	return out, nil
}

const (
	// defaultPollInterval is taken where the settings do not say for how long a list may be held on to.
	defaultPollInterval = 10 * time.Second
	// maxDuration bounds the times of the settings: beyond it a slip in the unit is likelier than a deployment.
	maxDuration = time.Hour
)

// applyDefaults takes what is safe under the rules for what the settings leave out.
func (s *Settings) applyDefaults() {
	if s.Config.PollInterval == 0 {
		s.Config.PollInterval = defaultPollInterval
		s.Assumptions = append(s.Assumptions, fmt.Sprintf("Safety.AskEveryUs: %v", defaultPollInterval))
	}
	if s.DrainGrace == 0 {
		s.Assumptions = append(s.Assumptions, "Safety.DrainGraceUs: the shortest that is known")
	}
	for _, c := range s.Config.Classes {
		if c.Idempotency == policy.IdempotentByKey && c.DedupWindow == 0 {
			s.Assumptions = append(s.Assumptions, fmt.Sprintf("RequestClasses %q: KeyTtlUs: none, so that nothing is repeated that may have run", c.Name))
		}
	}
}

// ListStaleness is how old the list of servers may get by these settings.
func (s *Settings) ListStaleness() staleness.Bound {
	return staleness.BoundFor(s.Config.EndpointsPushed, s.Config.PollInterval, s.DrainGrace)
}

// validate guards against what the module would reject or misread, by the names that the operators use.
func (s *object) validate() error {
	for _, c := range s.RequestClasses {
		_, effect := idempotencyByName[c.Effect]
		_, group := dedupScopeByName[c.Group]
		switch {
		case !effect:
			return fmt.Errorf("RequestClasses %q: Effect is %q", c.Name, c.Effect)
		case !group:
			return fmt.Errorf("RequestClasses %q: Group is %q", c.Name, c.Group)
		case c.AimUs <= 0:
			return fmt.Errorf("RequestClasses %q: AimUs is %d, not above 0", c.Name, c.AimUs)
		case c.DeadlineUs < c.AimUs:
			return fmt.Errorf("RequestClasses %q: DeadlineUs is %d, below AimUs", c.Name, c.DeadlineUs)
		case c.KeyTtlUs < 0 || c.KeyTtlUs > (24*time.Hour).Microseconds():
			return fmt.Errorf("RequestClasses %q: KeyTtlUs is %d, outside 0 to a day", c.Name, c.KeyTtlUs)
		case c.Worth < 0:
			return fmt.Errorf("RequestClasses %q: Worth is %v, below 0", c.Name, c.Worth)
		}
	}
	switch {
	case s.GroupSize < 1:
		return fmt.Errorf("GroupSize is %d, below 1", s.GroupSize)
	case s.Ordinal < 0 || s.Ordinal >= s.GroupSize:
		return fmt.Errorf("Ordinal is %d, outside a group of %d", s.Ordinal, s.GroupSize)
	case s.Limits.SendCap < 1:
		return fmt.Errorf("Limits.SendCap is %d, below 1", s.Limits.SendCap)
	case !(s.Safety.ColdFrom >= 0 && s.Safety.ColdFrom <= 1):
		return fmt.Errorf("Safety.ColdFrom is %v, outside 0 to 1", s.Safety.ColdFrom)
	}
	for _, d := range []struct {
		key   string
		value int64
	}{
		{"TickUs", s.TickUs},
		{"Limits.ConnIdleUs", s.Limits.ConnIdleUs},
		{"Limits.DialTimeoutUs", s.Limits.DialTimeoutUs},
		{"Limits.MaxRetryAfterUs", s.Limits.MaxRetryAfterUs},
		{"Safety.AskEveryUs", s.Safety.AskEveryUs},
		{"Safety.DrainGraceUs", s.Safety.DrainGraceUs},
		{"Safety.GraceToAnswerUs", s.Safety.GraceToAnswerUs},
		{"Safety.RampTimeUs", s.Safety.RampTimeUs},
	} {
		if d.value < 0 {
			return fmt.Errorf("%s is %d, below 0", d.key, d.value)
		}
		if d.value > maxDuration.Microseconds() {
			return fmt.Errorf("%s is %d, above an hour", d.key, d.value)
		}
	}
	return nil
}

// EmptyLoadReport returns a report in which nothing is reported.
func EmptyLoadReport() policy.LoadReport {
	return policy.LoadReport{Queue: -1, InFlight: -1, Latency: -1, ErrorRate: -1}
}

// SetLoadField notes the value that a report gives under a field's name. Fields that the module has no use for are
// skipped.
func SetLoadField(l *policy.LoadReport, field string, value float64) {
	switch field {
	case "queue":
		l.Queue = value
	case "inflight":
		l.InFlight = value
	case "latency_ms":
		l.Latency = value
	case "eps":
		l.ErrorRate = value
	}
}

// Micros is a time given in microseconds.
func Micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
