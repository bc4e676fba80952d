// Package sitelink connects the gateway to its peers at other sites. It forwards requests that a pool has rejected to the gateway of
// another site, and accepts requests that other sites forward. It implements gateway.Extension; only the sorrelrudder binary includes it.
// Package spillover decides when requests are forwarded, how many and of which class. The decision module decides whether an attempt may
// start, and sees the remote site as the only endpoint of a separate pool.
package sitelink

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"sorrelrudder/internal/downstream"
	"sorrelrudder/internal/gateway"
)

var _ gateway.Extension = (*Extension)(nil)

// Extension implements gateway.Extension for one process. Its methods are safe for concurrent use, except Start and Close.
type Extension struct {
	cfg       Config
	log       *slog.Logger
	origin    time.Time // zero point of the clock that spillover and the header fields use
	serverTLS *tls.Config
	clientTLS *tls.Config // both nil: no TLS

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // of all links
	draining   atomic.Bool

	links map[string]*poolLink // by name of the pool; not modified after New
}

// New returns the extension of a process with the configuration cfg, which Validate must have accepted. It reads the certificates and
// opens no connections.
func New(cfg Config, log *slog.Logger) (*Extension, error) {
	e := &Extension{cfg: cfg, log: log, origin: time.Now().Add(-time.Hour), links: map[string]*poolLink{}}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	if cfg.TLS != nil {
		if err := e.loadTLS(cfg.TLS); err != nil {
			return nil, err
		}
	}
	for name, p := range cfg.Pools {
		e.links[name] = newPoolLink(e, name, p)
	}
	return e, nil
}

// now returns the time since origin.
func (e *Extension) now() time.Duration { return time.Since(e.origin) }

// Start opens the links of g. The pools of g must have been started.
func (e *Extension) Start(g *gateway.Gateway) error {
	for name, l := range e.links {
		if l.cfg.Peer == "" {
			continue
		}
		if err := l.start(g, e.peer(l.cfg.Peer)); err != nil {
			return fmt.Errorf("open site link of pool %q: %w", name, err)
		}
	}
	return nil
}

// Spillover implements gateway.Extension.
func (e *Extension) Spillover(pool string) gateway.Spillover {
	if l := e.links[pool]; l != nil {
		return l
	}
	return nil
}

// Handler implements gateway.Extension.
func (e *Extension) Handler(g *gateway.Gateway) downstream.Handler { return &handler{e, g} }

// Drain implements gateway.Extension.
func (e *Extension) Drain() {
	e.draining.Store(true)
	for _, l := range e.links {
		l.drain()
	}
}

// Close implements gateway.Extension. It returns after all goroutines of the links have ended.
func (e *Extension) Close() {
	e.cancel()
	e.goroutines.Wait()
	for _, l := range e.links {
		l.close()
	}
}
