package sidecar

import (
	"context"
	"log/slog"
	"reflect"
	"sync"
	"time"

	"sorrelrudder/internal/gateway"
)

const (
	// maxDrainTime bounds draining even if the settings have longer deadlines: the platform kills a process that does not exit soon after
	// it was asked to shut down.
	maxDrainTime = 3 * time.Second
	// poolName is the name of the only pool.
	poolName = "platform"
)

// Sidecar is a gateway with one pool. Reload may be called while Run serves.
type Sidecar struct {
	*gateway.Gateway
	log *slog.Logger

	// mu guards cfg, except for SharedDir, which does not change. The gateway's Apply is called while mu is held.
	mu  sync.Mutex
	cfg Config
}

// New returns a sidecar that has not opened its listening socket yet.
func New(cfg Config, log *slog.Logger) (*Sidecar, error) {
	for _, what := range cfg.Settings.Assumptions {
		log.Warn("settings incomplete, default assumed", "what", what)
	}
	g, err := gateway.New(cfg.gatewayConfig(), log)
	if err != nil {
		return nil, err
	}
	return &Sidecar{Gateway: g, cfg: cfg, log: log}, nil
}

// gatewayConfig returns the configuration of the gateway. It has this process's share of the limits. Requests are queued until the first
// endpoint list arrives.
func (c *Config) gatewayConfig() gateway.Config {
	return gateway.Config{
		Name:          c.Name,
		AdminAddress:  c.AdminAddress,
		StatsInterval: c.StatsInterval,
		MaxDrain:      maxDrainTime,
		MemoryMB:      max(c.MemoryMB/c.processCount(), gateway.MinMemoryMB),
		Descriptors:   max(c.MaxDescriptors/c.processCount(), gateway.MinDescriptors),
		Listeners:     []gateway.Listener{{Name: c.Name, Address: c.Listen, FD: c.ListenerFD}},
		Pools: []gateway.Pool{{
			Name: poolName, Settings: c.Settings, Discovery: c.Discovery, CachedList: c.CachedList, Seed: c.Seed,
			Limits: gateway.Limits{Weight: 1, QueueWithoutEndpoints: true},
		}},
	}
}

// processCount returns the number of processes that share the sidecar's limits, this one included.
func (c *Config) processCount() int { return 1 + c.siblings }

// Reload applies a configuration that replaces the one in force. Only the address of the discovery service changes at run time. The
// environment is the same as at the start, so a new address in the file takes precedence over GW_DISCOVERY. Other changes take effect at
// the next start: the platform passes them to a new process. Those that unappliedChanges returns are logged.
func (s *Sidecar) Reload(next Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.discoveryInFile != s.cfg.discoveryInFile && next.discoveryInFile != "" {
		if err := s.moveDiscovery(next.discoveryInFile); err != nil {
			s.log.Error("reload: the running configuration stays in force", "err", err)
			return
		}
	}
	for _, key := range s.cfg.unappliedChanges(&next) {
		s.log.Warn("configuration change takes effect at the next start", "of", key)
	}
	s.log.Info("reloaded", "load", s.String())
}

// moveDiscovery switches to the discovery service at another address. The caller holds mu.
func (s *Sidecar) moveDiscovery(addr string) error {
	s.log.Info("discovery address changed", "from", s.cfg.Discovery, "to", addr)
	moved := s.cfg
	moved.Discovery, moved.discoveryInFile = addr, addr
	if err := s.Apply(moved.gatewayConfig()); err != nil {
		return err
	}
	s.cfg = moved
	return nil
}

// unappliedChanges returns the keys whose values in next differ from c and that a reload does not apply. It compares neither the seed nor
// the cached list, nor what only the environment sets.
func (c *Config) unappliedChanges(next *Config) []string {
	var keys []string
	for _, value := range []struct {
		key     string
		changed bool
	}{
		{"name", next.Name != c.Name},
		{"listen", next.Listen != c.Listen},
		{"limits", next.MemoryMB != c.MemoryMB || next.MaxDescriptors != c.MaxDescriptors},
		{"admin", next.AdminAddress != c.AdminAddress},
		{"settings", !reflect.DeepEqual(next.Settings, c.Settings)},
	} {
		if value.changed {
			keys = append(keys, value.key)
		}
	}
	return keys
}

// Run serves until ctx is done, and then drains. It returns once all accepted requests have been answered or the time for draining is
// over.
func (s *Sidecar) Run(ctx context.Context) error {
	if err := s.start(ctx); err != nil {
		s.Close()
		return err
	}
	return s.Gateway.Run(ctx)
}
