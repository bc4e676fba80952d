package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// drainWindow is how long new connections may go on coming after SIGTERM, and some more.
	drainWindow = 500 * time.Millisecond
	// backlogQuiet is how long no connection may come before the backlog counts as empty.
	backlogQuiet = 50 * time.Millisecond
	// drainSlack is what the last answers may take beyond the longest deadline.
	drainSlack = 150 * time.Millisecond
)

// Sidecar is one real sidecar.
type Sidecar struct {
	cfg    Config
	log    *slog.Logger
	host   *host
	server *http.Server
	socks  *sockets
	idle   *idleClients
	stop   context.CancelFunc
}

// New makes a sidecar. It opens no socket.
func New(cfg Config, log *slog.Logger) (*Sidecar, error) {
	ctx, stop := context.WithCancel(context.Background())
	s := &Sidecar{
		cfg: cfg, log: log, socks: newSockets(cfg.Sockets), idle: &idleClients{idle: map[net.Conn]int64{}}, stop: stop,
	}
	up := newUpstreams(cfg.Settings.Config, s.socks)
	s.socks.evict = []func() bool{func() bool { return up.closeIdle(0, 1) > 0 }, s.idle.evict}
	var err error
	if s.host, err = newHost(ctx, cfg, up, log); err != nil {
		stop()
		return nil, err
	}
	go up.sweep(ctx)
	s.server = newServer(&clients{host: s.host, room: newRoom(cfg.MemoryMB)}, s.idle, log)
	return s, nil
}

// Run serves until ctx ends, and then drains. It returns once all that was taken is answered.
func (s *Sidecar) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return s.serve(ctx, ln.(*net.TCPListener))
}

func (s *Sidecar) serve(ctx context.Context, ln *net.TCPListener) error {
	defer s.stop()
	backlog := &backlog{TCPListener: ln}
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(&listener{backlog, context.Background(), s.socks}) }()
	s.log.Info("ready", "name", s.cfg.Name, "listen", ln.Addr().String(), "load", s.host.String())
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	s.log.Info("draining", "load", s.host.String())
	// Answers close their connections from here on, and idle ones are closed: a request that crosses that comes
	// again on a new connection, which is still accepted.
	s.server.SetKeepAlivesEnabled(false)
	end, cancel := context.WithTimeout(context.Background(), drainWindow+s.host.longest+drainSlack)
	defer cancel()
	backlog.drain(time.Now().Add(drainWindow))
	select {
	case <-served: // the backlog is empty
	case <-end.Done():
	}
	err := s.server.Shutdown(end)
	s.log.Info("drained", "load", s.host.String(), "err", err)
	return nil
}

// backlog is a listener that can be drained: it goes on accepting until a time, and then until no more
// connections wait. Closing it at once would reset those that the kernel has accepted.
type backlog struct {
	*net.TCPListener
	mu    sync.Mutex
	until time.Time // zero: not draining
}

// drain starts the draining; Accept fails once the backlog is empty after until.
func (b *backlog) drain(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.until = until
	b.SetDeadline(until.Add(backlogQuiet))
}

// Accept is the method of net.Listener.
func (b *backlog) Accept() (net.Conn, error) {
	b.mu.Lock()
	if now := time.Now(); !b.until.IsZero() && now.After(b.until) {
		b.SetDeadline(now.Add(backlogQuiet))
	}
	b.mu.Unlock()
	c, err := b.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed // a time-out would make the server try again
	}
	return c, err
}
