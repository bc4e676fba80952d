package sidecar

import (
	"context"
	"log/slog"
	"reflect"
	"sync"
	"time"

	"sorrelrudder/internal/gateway"
)

// Sidecar is one real sidecar of the platform: a gateway with one pool.
type Sidecar struct {
	*gateway.Gateway
	log *slog.Logger

	mu  sync.Mutex
	cfg Config
}

// maxDrainTime is the longest deadline after which the platform kills a process that was told to end, if settings give a longer one.
const maxDrainTime = 3 * time.Second

// poolName is the name of the only pool.
const poolName = "platform"

// gatewayConfig is cfg as the process takes it. Requests wait in the module for the platform's first list.
func (c *Config) gatewayConfig() gateway.Config {
	return gateway.Config{
		Name: c.Name, MemoryMB: max(c.MemoryMB/c.processCount(), gateway.MinMemoryMB), AdminAddress: c.AdminAddress, StatsInterval: c.StatsInterval,
		MaxDrain:    maxDrainTime,
		Descriptors: max(c.MaxDescriptors/c.processCount(), gateway.MinDescriptors),
		Listeners:   []gateway.Listener{{Name: c.Name, Address: c.Listen, FD: c.ListenerFD}},
		Pools: []gateway.Pool{{
			Name: poolName, Settings: c.Settings, Discovery: c.Discovery, CachedList: c.CachedList, Seed: c.Seed,
			Limits: gateway.Limits{Weight: 1, QueueWithoutEndpoints: true},
		}},
	}
}

// New makes a sidecar. It opens no socket for clients.
func New(cfg Config, log *slog.Logger) (*Sidecar, error) {
	for _, what := range cfg.Settings.Assumptions {
		log.Warn("the settings leave out", "what", what)
	}
	g, err := gateway.New(cfg.gatewayConfig(), log)
	if err != nil {
		return nil, err
	}
	return &Sidecar{Gateway: g, cfg: cfg, log: log}, nil
}

// Reload takes over a configuration that has replaced the one in force. Discovery may move under load; the environment
// is the same as at the start, so that where the file names another address than it did, the file is right. What else
// has changed waits for the next start, and the log says so: the platform tells it to a new process.
func (s *Sidecar) Reload(next Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.discoveryInFile != s.cfg.discoveryInFile && next.discoveryInFile != "" {
		s.log.Info("discovery has moved", "from", s.cfg.Discovery, "to", next.discoveryInFile)
		moved := s.cfg
		moved.Discovery, moved.discoveryInFile = next.discoveryInFile, next.discoveryInFile
		if err := s.Apply(moved.gatewayConfig()); err != nil {
			s.log.Error("reload: the running configuration stays in force", "err", err)
			return
		}
		s.cfg = moved
	}
	for what, changed := range map[string]bool{
		"name": next.Name != s.cfg.Name, "listen": next.Listen != s.cfg.Listen,
		"limits":   next.MemoryMB != s.cfg.MemoryMB || next.MaxDescriptors != s.cfg.MaxDescriptors,
		"admin":    next.AdminAddress != s.cfg.AdminAddress,
		"settings": !reflect.DeepEqual(next.Settings, s.cfg.Settings),
	} {
		if changed {
			s.log.Warn("a change takes effect at the next start only", "of", what)
		}
	}
	s.log.Info("reloaded", "load", s.String())
}

// Run serves until ctx ends, and then drains. It returns once all that was taken is answered.
func (s *Sidecar) Run(ctx context.Context) error {
	if err := s.start(ctx); err != nil {
		s.Close()
		return err
	}
	return s.Gateway.Run(ctx)
}
