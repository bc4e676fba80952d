package downstream

import (
	"errors"
	"os"
	"time"

	"sorrelrudder/internal/keepalive"
	"sorrelrudder/internal/process"
)

// The lists of Server.waiting: connections without a complete request that are not idle between two.
const (
	newConns         = iota // no request has come yet
	readingConns            // one has begun to come
	multiplexedConns        // multiplexed, without an open request
	lingeringConns          // the last response is written, see linger
	waitingLists
)

// The lists of idleConns.
const (
	exploratoryConns    = iota // not worth keeping, and kept to see whether they are used
	oneRequestConns            // have brought one request
	severalRequestConns        // have brought more
	idleLists
)

// idleConns are the idle connections whose last request was for one pool. Each list is ordered by age, and so by value to
// the idle policy.
type idleConns [idleLists]connList

// empty reports whether there are none.
func (i *idleConns) empty() bool {
	return i[exploratoryConns].Len()+i[oneRequestConns].Len()+i[severalRequestConns].Len() == 0
}

// listFor returns the list that idle connection c belongs in.
func (i *idleConns) listFor(c *clientConn) *connList {
	switch {
	case c.idleLimit.Explore:
		return &i[exploratoryConns]
	case c.responses == 1:
		return &i[oneRequestConns]
	}
	return &i[severalRequestConns]
}

// addToList adds c, which is in no list, to one. The caller holds mu.
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

// idleKind is the kind of c to the idle policy. The caller holds mu.
func (c *clientConn) idleKind() keepalive.Kind {
	return keepalive.Kind(min(c.responses, int(keepalive.SeveralRequests)))
}

// beginIdle asks the idle policy how long c, without an open request, may wait for one, and reports whether it may at all.
// The caller holds mu.
func (s *Server) beginIdle(c *clientConn) bool {
	if s.options.LongLived {
		c.idleLimit = keepalive.Wait{Max: keepalive.MaxIdle}
		return true
	}
	c.idleLimit = s.idlePolicy.BeginIdle(s.now(), c.pool, c.idleKind())
	c.idleOutcomeDue = c.idleLimit.Max > 0
	return c.idleOutcomeDue
}

// endIdle tells the idle policy how the wait of c ended, unless it was told before. The caller holds mu.
func (s *Server) endIdle(c *clientConn, after time.Duration, used bool) {
	if c.idleOutcomeDue {
		c.idleOutcomeDue = false
		s.idlePolicy.EndIdle(c.pool, c.idleKind(), c.idleLimit, after, used)
	}
}

// startWaiting lists c, which has no open request, and has it wait for one as long as the idle policy lets it. The caller
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

// markIdle has c wait for its next request, and reports whether there may be one. One that has come already is still
// answered while the server drains.
func (s *Server) markIdle(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeFromList(c)
	if s.closesAfterResponse(c) && c.nothingPending() {
		return false
	}
	s.startWaiting(c)
	s.dismissExpired(c.pool)
	return true
}

// awaitRequest waits for the first byte of a request, and reports whether it has come: also at the very end of the wait,
// or once c was dismissed.
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

// markActive notes that c has brought a complete request: it cannot be dismissed any more, and if it was, that is undone.
func (s *Server) markActive(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeFromList(c)
	c.SetDeadline(time.Time{})
}

// setPool notes which pool the request is for that c has brought. Only the goroutine of c calls it, while c is in no list
// of idle connections.
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

// dismiss makes the goroutine of c, which has no complete request, close it unless a request has come meanwhile. Its
// descriptor stays taken until then. The caller holds mu.
func (s *Server) dismiss(c *clientConn) {
	s.removeFromList(c)
	c.SetReadDeadline(time.Unix(1, 0))
}

// dismissExpired dismisses idle connections of a pool that, by what the idle policy has learned since, are not worth keeping
// any more: at most one of each list at a time, and no exploratory one. The caller holds mu.
func (s *Server) dismissExpired(id PoolID) {
	conns := s.idle[id]
	if conns == nil {
		return
	}
	s.dismissFirstIfExpired(&conns[oneRequestConns])
	s.dismissFirstIfExpired(&conns[severalRequestConns])
}

// dismissFirstIfExpired dismisses the first connection of an idle list if it is expired. The caller holds mu.
func (s *Server) dismissFirstIfExpired(l *connList) {
	first := l.Front()
	if first == nil {
		return
	}
	c := first.Value.(*clientConn)
	if s.idlePolicy.Expired(c.pool, c.idleKind(), time.Since(c.listedSince)) && process.NothingToRead(c.Conn) {
		s.dismiss(c)
	}
}
