// Package settings translates the platform's settings object, which the simulator's first message and the sidecar's configuration share,
// for the decision module and its hosts. The themed names of the platform are mapped to the terms of the field here, and nowhere else.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"sorrelrudder/internal/staleness"
	"sorrelrudder/policy"
)

// defaultPollInterval is taken where the settings do not say how long a list may be used.
const defaultPollInterval = 10 * time.Second

// Settings is what a host needs of the settings object.
type Settings struct {
	Config           policy.Config
	LoadReportFields []string      // names of the values in a load report, in their order
	DrainGrace       time.Duration // how long an endpoint that drains or is removed may still be sent requests; 0: not known
	Assumptions      []string      // what the settings leave out that the rules rest on, and what is taken for it
}

// Parse reads the settings object. The error wraps a *KeyError, or one of encoding/json.
func Parse(text []byte) (Settings, error) {
	var s object
	if err := json.Unmarshal(text, &s); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if err := s.validate(); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	out := Settings{
		Config: s.config(), LoadReportFields: s.Telemetry.LoadReportFields, DrainGrace: Micros(s.Safety.DrainGraceUs),
	}
	out.applyDefaults()
	return out, nil
}

// applyDefaults takes what is safe under the rules for what the settings leave out.
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

func (s *Settings) assume(what string) { s.Assumptions = append(s.Assumptions, what) }

// ListStaleness returns how old the endpoint list may get by these settings.
func (s *Settings) ListStaleness() staleness.Bound {
	return staleness.BoundFor(s.Config.EndpointsPushed, s.Config.PollInterval, s.DrainGrace)
}

// Micros converts a time in microseconds.
func Micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
