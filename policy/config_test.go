package policy

import "testing"

func TestConfigOutOfRange(t *testing.T) {
	tests := map[string]func(*Config){
		"no group":         func(c *Config) { c.InstanceCount = 0 },
		"ordinal":          func(c *Config) { c.InstanceIndex = 1 },
		"attempts":         func(c *Config) { c.MaxAttempts = 0 },
		"cold share":       func(c *Config) { c.SlowStartMinCapacity = 1.5 },
		"negative ramp":    func(c *Config) { c.SlowStartDuration = -1 },
		"negative tick":    func(c *Config) { c.TimerResolution = -1 },
		"aim":              func(c *Config) { c.Classes[0].LatencyObjective = 0 },
		"aim and deadline": func(c *Config) { c.Classes[0].Deadline = 1 },
		"worth":            func(c *Config) { c.Classes[0].PriorityWeight = -1 },
	}
	for name, change := range tests {
		cfg := testConfig()
		change(&cfg)
		if _, err := New(cfg, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
