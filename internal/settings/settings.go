// Package settings parses the platform's settings object into the configuration of the decision module and its hosts. The object is part
// of the simulator's first message and of the sidecar's configuration. This package alone maps the platform's keys to the usual terms.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"sorrelrudder/internal/staleness"
	"sorrelrudder/policy"
)

// defaultPollInterval is used if the settings do not specify the age above which an endpoint list is out of date.
const defaultPollInterval = 10 * time.Second

// Settings is the part of the settings object that a host needs.
type Settings struct {
	Config           policy.Config
	LoadReportFields []string      // names of the values in a load report, in their order
	DrainGrace       time.Duration // how long a draining or removed endpoint may still be sent requests; 0: unknown
	Assumptions      []string      // missing settings on which rules are based, each with the default that is used
}

// Parse parses and validates the settings object. The error wraps a *KeyError or an error of encoding/json.
func Parse(text []byte) (Settings, error) {
	var s object
	if err := json.Unmarshal(text, &s); err != nil {
		return Settings{}, fmt.Errorf("parse settings: %w", err)
	}
	if err := s.validate(); err != nil {
		return Settings{}, fmt.Errorf("validate settings: %w", err)
	}
	out := Settings{
		Config: s.config(), LoadReportFields: s.Telemetry.LoadReportFields, DrainGrace: Micros(s.Safety.DrainGraceUs),
	}
	out.applyDefaults()
	return out, nil
}

// applyDefaults replaces missing settings by defaults that are safe under the rules, and records each in Assumptions.
func (s *Settings) applyDefaults() {
	if s.Config.PollInterval == 0 {
		s.Config.PollInterval = defaultPollInterval
		s.assume(fmt.Sprintf("Safety.AskEveryUs: %v", defaultPollInterval))
	}
	if s.DrainGrace == 0 {
		s.assume("Safety.DrainGraceUs: the shortest that is known")
	}
	for _, c := range s.Config.Classes {
		if c.Idempotency == policy.IdempotentByKey && c.DedupWindow == 0 {
			s.assume(fmt.Sprintf("RequestClasses %q: KeyTtlUs: none, so that nothing is repeated that may have run", c.Name))
		}
	}
}

// assume records a default that replaces a missing setting.
func (s *Settings) assume(what string) { s.Assumptions = append(s.Assumptions, what) }

// ListStaleness returns the bound on the age of the endpoint list under these settings.
func (s *Settings) ListStaleness() staleness.Bound {
	return staleness.BoundFor(s.Config.EndpointsPushed, s.Config.PollInterval, s.DrainGrace)
}

// Micros converts microseconds to a duration.
func Micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
