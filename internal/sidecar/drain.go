package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"reflect"
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
	// drainQuiet is how long a connection that has brought no request is still waited for while the sidecar drains.
	drainQuiet = 300 * time.Millisecond
)

// Sidecar is one real sidecar.
type Sidecar struct {
	cfg    Config
	log    *slog.Logger
	host   *host
	server *server
	stop   context.CancelFunc
}

// New makes a sidecar. It opens no socket.
func New(cfg Config, log *slog.Logger) (*Sidecar, error) {
	ctx, stop := context.WithCancel(context.Background())
	socks := newSockets(cfg.Sockets)
	up := newUpstreams(cfg.Settings.Config, socks)
	h, err := newHost(ctx, cfg, up, log)
	if err != nil {
		stop()
		return nil, err
	}
	s := &Sidecar{cfg: cfg, log: log, host: h, server: newServer(h, cfg.MemoryMB, socks, log), stop: stop}
	socks.evict = []func() bool{up.evict, s.server.evict}
	go up.sweep(ctx)
	return s, nil
}

// Reload takes over a configuration that has replaced the one in force. Discovery may move under load; the environment
// is the same as at the start, so that where the file names another address than it did, the file is right. What else
// has changed waits for the next start, and the log says so: listener, limits and rules hold for requests that are open.
// Reload must not be called from two goroutines at once.
func (s *Sidecar) Reload(next Config) {
	if next.filed != s.cfg.filed && next.filed != "" {
		s.log.Info("discovery has moved", "from", s.cfg.Discovery, "to", next.filed)
		s.cfg.Discovery, s.cfg.filed = next.filed, next.filed
		s.host.setDiscovery(next.filed)
	}
	for what, changed := range map[string]bool{
		"name": next.Name != s.cfg.Name, "listen": next.Listen != s.cfg.Listen,
		"limits":   next.MemoryMB != s.cfg.MemoryMB || next.Sockets != s.cfg.Sockets,
		"settings": !reflect.DeepEqual(next.Settings, s.cfg.Settings),
	} {
		if changed {
			s.log.Warn("a change takes effect at the next start only", "of", what)
		}
	}
	s.log.Info("reloaded", "load", s.host.String())
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
	accepting, stop := context.WithCancel(context.Background())
	defer stop()
	accepted := make(chan error, 1)
	go func() { accepted <- s.server.accept(accepting, backlog) }()
	s.log.Info("ready", "name", s.cfg.Name, "listen", ln.Addr().String(), "load", s.host.String())
	select {
	case err := <-accepted:
		return fmt.Errorf("accept: %w", err)
	case <-ctx.Done():
	}
	s.log.Info("draining", "load", s.host.String())
	end, cancel := context.WithTimeout(context.Background(), drainWindow+s.host.longest+drainSlack)
	defer cancel()
	// Answers close their connections from here on, and idle ones are closed: a request that crosses that comes
	// again on a new connection, which is still accepted.
	s.server.drain()
	backlog.drain(time.Now().Add(drainWindow))
	select {
	case <-accepted: // the backlog is empty
	case <-end.Done():
	}
	stop()
	ln.Close()
	err := s.server.wait(end)
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
