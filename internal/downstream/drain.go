package downstream

import (
	"context"
	"net"
	"time"
)

// CloseAfterResponse makes connections close with their next response, and keeps idle connections open. The caller must call Drain later.
func (s *Server) CloseAfterResponse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Drain makes connections close with their next response, and closes idle connections. A client whose request arrives just as its idle
// connection is closed has to retry on a new connection.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.closeIdle(func(*clientConn) bool { return true })
}

// DrainListener is like Drain, but for the connections accepted from ln only. The caller must close ln.
func (s *Server) DrainListener(ln net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener := s.listeners[ln]
	if listener == nil {
		return
	}
	delete(s.listeners, ln)
	listener.draining = true
	s.closeIdle(func(c *clientConn) bool { return c.listener == listener })
}

// closeIdle closes the idle connections that match, drains the multiplexed ones, and shortens the time that new ones have for their first
// request. The caller holds mu.
func (s *Server) closeIdle(match func(*clientConn) bool) {
	for _, conns := range s.idle {
		for i := range conns {
			s.closeMatching(&conns[i], match)
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

// closeMatching calls requestClose for the connections of a list that match. The caller holds mu.
func (s *Server) closeMatching(l *connList, match func(*clientConn) bool) {
	for e := l.Front(); e != nil; {
		next := e.Next()
		if c := e.Value.(*clientConn); match(c) {
			s.requestClose(c)
		}
		e = next
	}
}

// Wait waits until all connections have ended and returns nil. If ctx ends before, it closes the remaining connections and returns the
// error of ctx.
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

// closeAll closes the sockets of all connections, also of those with open requests. It resets connections whose close the client would
// mistake for the end of its response.
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
