package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"

	"sorrelrudder/internal/pool"
	"sorrelrudder/internal/quota"
	"sorrelrudder/internal/upstream"
)

// NewAuxiliaryPool starts a pool that is not part of the configuration, such as a pool of endpoints at another site. It uses only
// descriptors that are not reserved for configured pools. The caller must close it.
func (g *Gateway) NewAuxiliaryPool(cfg pool.Config, dial func(context.Context, string) (net.Conn, error), log *slog.Logger) (*pool.Pool, error) {
	id := g.nextPoolID()
	conns := upstream.New(cfg.Settings.Config, g.descriptors.Pool(id))
	conns.SetDialer(dial)
	g.descriptors.Register(id, quota.Claim{Limit: quota.Unlimited}, conns.EvictIdle)
	p, err := pool.New(cfg, conns, log)
	if err != nil {
		g.descriptors.Unregister(id)
		return nil, fmt.Errorf("pool %q: %w", cfg.Name, err)
	}
	return p, nil
}

// nextPoolID returns an ID that has not been used by any pool.
func (g *Gateway) nextPoolID() quota.PoolID {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	g.lastPoolID++
	return g.lastPoolID
}
