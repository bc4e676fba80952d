package downstream

import (
	"cmp"
	lists "container/list"
	"math"
	"slices"
	"time"

	"sorrelrudder/internal/process"
)

// Evict dismisses a connection without a complete request, so that its descriptor becomes free, and reports whether there
// was one. It takes, in this order:
//   - one that has had its last response and lingers;
//   - the oldest that has never sent anything, unless it is new;
//   - one whose request has stalled;
//   - a multiplexed one without open requests;
//   - of the pools that exceed their quota, the furthest beyond it first: the idle one of the least value to the idle
//     policy, or a new one of less value;
//   - a new one;
//   - an idle one of a pool within its quota.
func (s *Server) Evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evictLocked()
}

// evictLocked is Evict. The caller holds mu.
func (s *Server) evictLocked() bool {
	newest := &s.waiting[newConns]
	if s.evictFirst(&s.waiting[lingeringConns], 0) || s.evictFirst(newest, newConnGrace) || s.evictStalledRead() {
		return true
	}
	if s.multiplexedEvictions < maxMultiplexedEvictions && s.evictMultiplexed() {
		return true
	}
	if s.multiplexedEvictions > 0 { // one is about to close
		return true
	}
	beyond, within := s.poolsByExcess()
	if len(beyond) > 0 {
		first := newest.Front()
		if first != nil && s.idleValue(first) < s.lowestIdleValue(s.idle[beyond[0]]) && s.evictFirst(newest, 0) {
			return true
		}
	}
	return s.evictFromPools(beyond) || s.evictFirst(newest, 0) || s.evictFromPools(within)
}

// poolsByExcess returns the pools that have idle connections, those beyond their quota and those within it, each with the
// furthest beyond first. The caller holds mu.
func (s *Server) poolsByExcess() (beyond, within []PoolID) {
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
			beyond = append(beyond, c.id)
		} else {
			within = append(within, c.id)
		}
	}
	return beyond, within
}

// evictFromPools dismisses an idle connection of the first pool that has one. The caller holds mu.
func (s *Server) evictFromPools(ids []PoolID) bool {
	return slices.ContainsFunc(ids, func(id PoolID) bool { return s.evictLowestValue(s.idle[id]) })
}

// lowestIdleValue returns the least value of the connections of one pool. The caller holds mu.
func (s *Server) lowestIdleValue(conns *idleConns) float64 {
	lowest := math.Inf(1)
	for i := range conns {
		if e := conns[i].Front(); e != nil {
			lowest = min(lowest, s.idleValue(e))
		}
	}
	return lowest
}

// evictLowestValue dismisses the idle connection of one pool that is of the least value: an exploratory one, else the first
// of one of the other lists. The caller holds mu.
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

// evictFirst dismisses the first connection of a list that has been there for minAge and has sent nothing that is still to
// be read. The caller holds mu.
func (s *Server) evictFirst(l *connList, minAge time.Duration) bool {
	for e := l.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		if time.Since(c.listedSince) < minAge {
			return false
		}
		if !process.NothingToRead(c.Conn) { // its goroutine is about to read a request, or the end
			continue
		}
		s.dismiss(c)
		return true
	}
	return false
}

// evictStalledRead dismisses the connection whose request has brought nothing for longest, from stalledReadAge on. The
// caller holds mu.
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
	s.dismiss(stalled)
	return true
}

// evictMultiplexed drains the multiplexed connection that has been without open requests for longest. The caller holds mu.
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
