package policy

import (
	"errors"
	"testing"
)

// TestConfigOutOfRange guards against a Balancer that accepts a Config with a value out of range.
func TestConfigOutOfRange(t *testing.T) {
	tests := map[string]func(*Config){
		"no instances":              func(c *Config) { c.InstanceCount = 0 },
		"instance":                  func(c *Config) { c.InstanceIndex = 1 },
		"attempts":                  func(c *Config) { c.MaxAttempts = 0 },
		"minimum capacity":          func(c *Config) { c.SlowStartMinCapacity = 1.5 },
		"negative slow start":       func(c *Config) { c.SlowStartDuration = -1 },
		"negative resolution":       func(c *Config) { c.TimerResolution = -1 },
		"objective":                 func(c *Config) { c.Classes[0].LatencyObjective = 0 },
		"objective beyond deadline": func(c *Config) { c.Classes[0].Deadline = 1 },
		"priority weight":           func(c *Config) { c.Classes[0].PriorityWeight = -1 },
	}
	for name, change := range tests {
		cfg := testConfig()
		change(&cfg)
		if _, err := New(cfg, 1); !errors.Is(err, ErrInvalidConfig) {
			t.Errorf("%s: error %v, want ErrInvalidConfig", name, err)
		}
	}
}
