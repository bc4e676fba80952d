package downstream

import (
	"cmp"
	lists "container/list"
	"math"
	"slices"
	"time"

	"sorrelrudder/internal/process"
)

// Evict closes a connection without a complete request to free its file descriptor, and reports whether there was one. It picks the first
// that exists of:
//   - a connection that has received its last response and lingers;
//   - the oldest connection that has never sent a byte, if it is older than newConnGrace;
//   - a connection whose request has stalled;
//   - a multiplexed connection without open requests;
//   - a connection of a pool that exceeds its quota, starting with the largest excess: the idle connection with the lowest
//     value to the idle policy, or a new connection with a lower value;
//   - a new connection;
//   - an idle connection of a pool within its quota.
//
// While an evicted multiplexed connection has not closed yet, Evict skips the kinds that the list names after multiplexed connections, and
// returns true.
func (s *Server) Evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evictLocked()
}

// evictLocked implements Evict. The caller holds mu.
func (s *Server) evictLocked() bool {
	newest := &s.waiting[newConns]
	if s.evictFirst(&s.waiting[lingeringConns], 0) || s.evictFirst(newest, newConnGrace) || s.evictStalledRead() {
		return true
	}
	if s.multiplexedEvictions < maxMultiplexedEvictions && s.evictMultiplexed() {
		return true
	}
	if s.multiplexedEvictions > 0 { // an evicted connection is about to close
		return true
	}
	exceeding, within := s.poolsByExcess()
	if len(exceeding) > 0 {
		first := newest.Front()
		if first != nil && s.idleValue(first) < s.lowestIdleValue(s.idle[exceeding[0]]) && s.evictFirst(newest, 0) {
			return true
		}
	}
	return s.evictFromPools(exceeding) || s.evictFirst(newest, 0) || s.evictFromPools(within)
}

// descriptorsShort reports whether connections are about to be evicted for want of descriptors.
func (s *Server) descriptorsShort() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idlePolicy.ShouldEvictAhead(s.now())
}

// poolsByExcess returns the pools that have idle connections: those that exceed their quota, and those within it. Both are in descending
// order of excess. The caller holds mu.
func (s *Server) poolsByExcess() (exceeding, within []PoolID) {
	type candidate struct {
		id     PoolID
		excess int64
	}
	candidates := make([]candidate, 0, len(s.idle))
	for id := range s.idle {
		candidates = append(candidates, candidate{id, s.handler.ConnectionExcess(id)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.excess, a.excess), cmp.Compare(a.id, b.id))
	})
	for _, c := range candidates {
		if c.excess > 0 {
			exceeding = append(exceeding, c.id)
		} else {
			within = append(within, c.id)
		}
	}
	return exceeding, within
}

// evictFromPools closes an idle connection of the first pool that has one, and reports whether there was one. The caller holds mu.
func (s *Server) evictFromPools(ids []PoolID) bool {
	return slices.ContainsFunc(ids, func(id PoolID) bool { return s.evictLowestValue(s.idle[id]) })
}

// lowestIdleValue returns the lowest idle value of the connections of one pool. The caller holds mu.
func (s *Server) lowestIdleValue(conns *idleConns) float64 {
	lowest := math.Inf(1)
	for i := range conns {
		if e := conns[i].Front(); e != nil {
			lowest = min(lowest, s.idleValue(e))
		}
	}
	return lowest
}

// evictLowestValue closes the idle connection with the lowest value of one pool: an exploratory one if there is one, and otherwise the
// first of one of the other lists. It reports whether there was one. The caller holds mu.
func (s *Server) evictLowestValue(conns *idleConns) bool {
	first, second := oneRequestConns, severalRequestConns
	if a, b := conns[first].Front(), conns[second].Front(); a != nil && b != nil && s.idleValue(a) > s.idleValue(b) {
		first, second = second, first
	}
	return s.evictFirst(&conns[exploratoryConns], 0) || s.evictFirst(&conns[first], 0) || s.evictFirst(&conns[second], 0)
}

// idleValue returns the value of a waiting connection to the idle policy. The caller holds mu.
func (s *Server) idleValue(e *lists.Element) float64 {
	c := e.Value.(*clientConn)
	return s.idlePolicy.GittinsIndex(c.pool, c.idleKind(), time.Since(c.listedSince))
}

// evictFirst closes the first connection of a list that has been in the list for minAge and has no unread input, and reports whether there
// was one. The caller holds mu.
func (s *Server) evictFirst(l *connList, minAge time.Duration) bool {
	for e := l.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		if time.Since(c.listedSince) < minAge {
			return false
		}
		if !process.NothingToRead(c.Conn) { // its goroutine is about to read a request or the end of the stream
			continue
		}
		s.logEviction(c)
		s.requestClose(c)
		return true
	}
	return false
}

// logEviction logs that c is closed to free its descriptor. The caller holds mu.
func (s *Server) logEviction(c *clientConn) {
	s.events.Info("connection evicted", "from", c.RemoteAddr().String(), "responses", c.responses, "waited_ms", time.Since(c.listedSince).Milliseconds())
}

// evictStalledRead closes the connection with an incomplete request that has received no bytes for the longest time, if that time is at
// least stalledReadAge. It searches at most maxStalledScan connections. The caller holds mu.
func (s *Server) evictStalledRead() bool {
	var stalled *clientConn
	longest, scanned := stalledReadAge, 0
	for e := s.waiting[readingConns].Front(); e != nil && scanned < maxStalledScan; e = e.Next() {
		scanned++
		if c := e.Value.(*clientConn); c.sinceLastRead() >= longest && process.NothingToRead(c.Conn) {
			stalled, longest = c, c.sinceLastRead()
		}
	}
	if stalled == nil {
		return false
	}
	s.logEviction(stalled)
	s.requestClose(stalled)
	return true
}

// evictMultiplexed drains the multiplexed connection that has been without open requests for the longest time, and reports whether there
// was one. The caller holds mu.
func (s *Server) evictMultiplexed() bool {
	e := s.waiting[multiplexedConns].Front()
	if e == nil {
		return false
	}
	c := e.Value.(*clientConn)
	s.removeFromList(c)
	s.drainMultiplexed(c)
	c.evicting = true
	s.multiplexedEvictions++
	return true
}
