package downstream

import (
	"context"
	"net"
	"time"
)

// CloseAfterResponse makes connections close with their next response, and leaves idle ones open. Drain follows.
func (s *Server) CloseAfterResponse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Drain makes connections close with their next response, and closes idle ones. A request that crosses that comes again on
// a new connection.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.dismissIdle(func(*clientConn) bool { return true })
}

// DrainListener does as Drain for the connections that came in at ln, which the caller closes.
func (s *Server) DrainListener(ln net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener := s.listeners[ln]
	if listener == nil {
		return
	}
	delete(s.listeners, ln)
	listener.draining = true
	s.dismissIdle(func(c *clientConn) bool { return c.listener == listener })
}

// dismissIdle dismisses the idle connections that match, drains the multiplexed ones, and shortens the wait of new ones for
// their first request. The caller holds mu.
func (s *Server) dismissIdle(match func(*clientConn) bool) {
	for _, conns := range s.idle {
		for i := range conns {
			s.dismissMatching(&conns[i], match)
		}
	}
	for c := range s.conns {
		if c.drainSignal != nil && match(c) {
			s.removeFromList(c)
			s.drainMultiplexed(c)
		}
	}
	for e := s.waiting[newConns].Front(); e != nil; e = e.Next() {
		if c := e.Value.(*clientConn); match(c) {
			c.SetDeadline(time.Now().Add(drainFirstRequestTimeout))
		}
	}
}

// dismissMatching dismisses the connections of a list that match. The caller holds mu.
func (s *Server) dismissMatching(l *connList, match func(*clientConn) bool) {
	for e := l.Front(); e != nil; {
		next := e.Next()
		if c := e.Value.(*clientConn); match(c) {
			s.dismiss(c)
		}
		e = next
	}
}

// Wait returns nil once all connections have ended. If ctx ends before, it closes those that are left and returns the error
// of ctx.
func (s *Server) Wait(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		s.goroutines.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
	}
	s.closeAll()
	return ctx.Err()
}

// closeAll closes the sockets of all connections, whatever they carry.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.closeDelimited {
			c.reset()
		} else {
			c.Conn.Close()
		}
	}
}
