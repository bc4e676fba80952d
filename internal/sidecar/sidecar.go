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

// drainMost is the longest deadline after which the platform kills a process that was told to end, if settings give a longer one.
const drainMost = 3 * time.Second

// poolName is the name of the only pool.
const poolName = "platform"

// gatewayConfig is cfg as the process takes it. Requests wait in the module for the platform's first list.
func (c *Config) gatewayConfig() gateway.Config {
	return gateway.Config{
		Name: c.Name, MemoryMB: max(c.MemoryMB/c.processes(), gateway.LeastMemoryMB), Admin: c.Admin, FiguresEvery: c.Figures,
		DrainMost:   drainMost,
		Descriptors: max(c.Sockets/c.processes(), gateway.LeastDescriptors),
		Listeners:   []gateway.Listener{{Name: c.Name, Address: c.Listen, FD: c.FD}},
		Pools: []gateway.Pool{{
			Name: poolName, Settings: c.Settings, Discovery: c.Discovery, Known: c.Known, Seed: c.Seed,
			Limits: gateway.Limits{Weight: 1, Hold: true},
		}},
	}
}

// New makes a sidecar. It opens no socket for clients.
func New(cfg Config, log *slog.Logger) (*Sidecar, error) {
	for _, what := range cfg.Settings.Assumed {
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
	if next.filed != s.cfg.filed && next.filed != "" {
		s.log.Info("discovery has moved", "from", s.cfg.Discovery, "to", next.filed)
		moved := s.cfg
		moved.Discovery, moved.filed = next.filed, next.filed
		if err := s.Apply(moved.gatewayConfig()); err != nil {
			s.log.Error("reload: the running configuration stays in force", "err", err)
			return
		}
		s.cfg = moved
	}
	for what, changed := range map[string]bool{
		"name": next.Name != s.cfg.Name, "listen": next.Listen != s.cfg.Listen,
		"limits":   next.MemoryMB != s.cfg.MemoryMB || next.Sockets != s.cfg.Sockets,
		"admin":    next.Admin != s.cfg.Admin,
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
	if err := s.open(ctx); err != nil {
		s.Close()
		return err
	}
	return s.Gateway.Run(ctx)
}
