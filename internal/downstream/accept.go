package downstream

import (
	"context"
	"errors"
	"net"
	"runtime"
	"sync"
	"time"

	"sorrelrudder/internal/process"
)

// Serve calls ServeWithOptions for a listener that supports HTTP/1.1 only.
func (s *Server) Serve(ctx context.Context, ln net.Listener, acceptors int) error {
	return s.ServeWithOptions(ctx, ln, acceptors, ListenerOptions{})
}

// ServeWithOptions accepts and serves connections from a listener. It returns the error of Accept once the listener is closed, or the error
// of ctx once ctx ends; accepted connections stay open. The end of ctx does not interrupt a call of Accept that waits for a connection.
//
// While no file descriptor is free, new connections wait in the kernel's backlog. acceptors is the number of goroutines that accept
// concurrently: with several, the others accept while one waits for a descriptor.
func (s *Server) ServeWithOptions(ctx context.Context, ln net.Listener, acceptors int, o ListenerOptions) error {
	listener := &serverListener{ListenerOptions: o}
	s.mu.Lock()
	s.listeners[ln] = listener
	s.mu.Unlock()
	ended := make(chan error, acceptors)
	for range acceptors {
		go func() { ended <- s.acceptAll(ctx, ln, listener) }()
	}
	var err error
	for range acceptors {
		err = <-ended
	}
	return err
}

// acceptAll implements ServeWithOptions for one goroutine. It retries errors of Accept after acceptRetryDelay unless the listener is closed.
func (s *Server) acceptAll(ctx context.Context, ln net.Listener, listener *serverListener) error {
	for {
		release, err := s.descriptors.AcquireClient(ctx)
		if err != nil {
			return err
		}
		conn, err := ln.Accept()
		switch {
		case err == nil && s.accepts.record(s.now()) && process.PeerClosed(conn):
			conn.Close() // it would only delay the connections behind it in the backlog
			release()
			s.events.Info("connection closed by its client before it was accepted", "from", conn.RemoteAddr().String())
			runtime.Gosched()
			continue
		case err == nil:
			process.LimitSendBuffer(conn)
			c := newClientConn(conn, listener, release)
			s.register(c)
			go s.serveConn(c)
			continue
		case errors.Is(err, net.ErrClosed):
			release()
			return err
		}
		release()
		s.events.Warn("accepting a connection failed", "err", err)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(acceptRetryDelay):
		}
	}
}

// acceptRate recognizes bursts of connections. It is safe for concurrent use.
type acceptRate struct {
	mu       sync.Mutex
	begin    time.Duration // of the current interval
	accepted int           // connections since begin
}

// record counts a connection that is accepted at now, and reports whether it belongs to a burst.
func (r *acceptRate) record(now time.Duration) (burst bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.begin >= acceptRateInterval {
		r.begin, r.accepted = now, 0
	}
	r.accepted++
	return r.accepted > maxAcceptsWithoutBurst
}

// register adds a new connection to the server and starts its wait for the first request.
func (s *Server) register(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	c.counted = s.handler.AcquireConnection(0)
	s.idlePolicy.Resize(s.descriptors.MaxClients())
	s.idlePolicy.Opened(s.now())
	s.idlePolicy.Assign(0)
	if s.idlePolicy.ShouldEvictAhead(s.now()) { // so that the next connection need not wait for a descriptor
		s.evictLocked()
	}
	s.beginIdle(c)
	s.startWaiting(c)
	s.goroutines.Add(1)
}
