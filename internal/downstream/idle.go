package downstream

import (
	"errors"
	"os"
	"time"

	"sorrelrudder/internal/keepalive"
	"sorrelrudder/internal/process"
)

// The lists of Server.waiting, which hold connections without a complete request, except those that are idle between two requests.
const (
	newConns         = iota // no request has begun to arrive
	readingConns            // a request has begun to arrive
	multiplexedConns        // multiplexed connections without open requests
	lingeringConns          // the last response has been written, see linger
	waitingLists            // number of lists
)

// The lists of idleConns.
const (
	exploratoryConns    = iota // not worth keeping by the idle policy, but kept to learn whether clients reuse them
	oneRequestConns            // connections that have had one request
	severalRequestConns        // connections that have had several requests
	idleLists                  // number of lists
)

// idleConns are the idle connections whose last request was for one pool. Each list is ordered by age, which is also the order by value to
// the idle policy.
type idleConns [idleLists]connList

// empty reports whether all lists are empty.
func (i *idleConns) empty() bool {
	return i[exploratoryConns].Len()+i[oneRequestConns].Len()+i[severalRequestConns].Len() == 0
}

// listFor returns the list to which idle connection c belongs.
func (i *idleConns) listFor(c *clientConn) *connList {
	switch {
	case c.idleLimit.Explore:
		return &i[exploratoryConns]
	case c.responses == 1:
		return &i[oneRequestConns]
	}
	return &i[severalRequestConns]
}

// addToList adds c to list l. Connection c must not be in a list. The caller holds mu.
func (s *Server) addToList(c *clientConn, l *connList) {
	c.list, c.listedSince = l, time.Now()
	c.element = l.PushBack(c)
}

// removeFromList removes c from its list, if it is in one. The caller holds mu.
func (s *Server) removeFromList(c *clientConn) {
	if c.element == nil {
		return
	}
	c.list.Remove(c.element)
	c.list, c.element = nil, nil
	if conns := s.idle[c.pool]; conns != nil && conns.empty() {
		delete(s.idle, c.pool)
	}
}

// idleKind returns the kind of c for the idle policy. The caller holds mu.
func (c *clientConn) idleKind() keepalive.Kind {
	return keepalive.Kind(min(c.responses, int(keepalive.SeveralRequests)))
}

// beginIdle sets the idle timeout of c, which has no open request, to the one that the idle policy returns. It reports whether c may stay
// open at all. The caller holds mu.
func (s *Server) beginIdle(c *clientConn) bool {
	if s.options.LongLived {
		c.idleLimit = keepalive.Wait{Max: keepalive.MaxIdle}
		return true
	}
	c.idleLimit = s.idlePolicy.BeginIdle(s.now(), c.pool, c.idleKind())
	c.idleOutcomeDue = c.idleLimit.Max > 0
	return c.idleOutcomeDue
}

// endIdle reports the outcome of the idle period of c to the idle policy, unless it has been reported before. The caller holds mu.
func (s *Server) endIdle(c *clientConn, after time.Duration, used bool) {
	if c.idleOutcomeDue {
		c.idleOutcomeDue = false
		s.idlePolicy.EndIdle(c.pool, c.idleKind(), c.idleLimit, after, used)
	}
}

// startWaiting adds c, which has no open request, to the list to which it belongs, and sets its deadline by the idle timeout. The caller
// holds mu.
func (s *Server) startWaiting(c *clientConn) {
	if c.responses == 0 {
		s.addToList(c, &s.waiting[newConns])
	} else {
		conns := s.idle[c.pool]
		if conns == nil {
			conns = &idleConns{}
			s.idle[c.pool] = conns
		}
		s.addToList(c, conns.listFor(c))
	}
	wait := c.idleLimit.Max
	if s.closesAfterResponse(c) {
		wait = drainFirstRequestTimeout
	}
	c.SetDeadline(c.listedSince.Add(wait))
}

// closesAfterResponse reports whether c closes with its next response. The caller holds mu.
func (s *Server) closesAfterResponse(c *clientConn) bool {
	return s.draining || c.listener.draining || c.pool != 0 && !c.counted
}

// markIdle starts the wait of c for its next request, and reports whether c may stay open. A draining server still answers a request that
// has already arrived.
func (s *Server) markIdle(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeFromList(c)
	if s.closesAfterResponse(c) && c.noPendingInput() {
		return false
	}
	s.startWaiting(c)
	s.closeExpired(c.pool)
	return true
}

// awaitRequest waits for the first byte of a request, and reports whether it has arrived. A byte that arrives just as the deadline passes,
// or after requestClose was called, counts too.
func (s *Server) awaitRequest(c *clientConn) bool {
	err := c.reader.awaitFirstByte()
	begun := err == nil || errors.Is(err, os.ErrDeadlineExceeded) && !process.NothingToRead(c.Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeFromList(c)
	now := time.Now()
	s.endIdle(c, now.Sub(c.listedSince), begun)
	c.SetDeadline(now.Add(headerTimeout))
	if begun {
		s.addToList(c, &s.waiting[readingConns])
	}
	return begun
}

// markActive records that c has received a complete request. From then on c cannot be evicted. It removes the deadline, which also cancels
// a call of requestClose.
func (s *Server) markActive(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeFromList(c)
	c.SetDeadline(time.Time{})
}

// setPool records the pool of the last request of c. It must be called by the goroutine of c, or with multiplexedConn.mu held if c is
// multiplexed, and not while c is in a list of idle connections.
func (s *Server) setPool(c *clientConn, id PoolID) {
	if c.pool == id && c.counted {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.counted {
		s.handler.ReleaseConnection(c.pool)
	}
	s.idlePolicy.Unassign(c.pool)
	s.idlePolicy.Assign(id)
	c.pool, c.counted = id, s.handler.AcquireConnection(id)
}

// requestClose makes the goroutine of c close c, unless a request has arrived in the meantime. Connection c must not have a complete
// request. Its file descriptor is in use until the goroutine has closed c. The caller holds mu.
func (s *Server) requestClose(c *clientConn) {
	s.removeFromList(c)
	c.SetReadDeadline(time.Unix(1, 0))
}

// closeExpired closes idle connections of a pool that are no longer worth keeping according to what the idle policy has learned since. It
// closes at most one connection of each list, and no exploratory ones. The caller holds mu.
func (s *Server) closeExpired(id PoolID) {
	conns := s.idle[id]
	if conns == nil {
		return
	}
	s.closeFirstIfExpired(&conns[oneRequestConns])
	s.closeFirstIfExpired(&conns[severalRequestConns])
}

// closeFirstIfExpired closes the first connection of an idle list if it is expired. The caller holds mu.
func (s *Server) closeFirstIfExpired(l *connList) {
	first := l.Front()
	if first == nil {
		return
	}
	c := first.Value.(*clientConn)
	if s.idlePolicy.Expired(c.pool, c.idleKind(), time.Since(c.listedSince)) && process.NothingToRead(c.Conn) {
		s.requestClose(c)
	}
}
