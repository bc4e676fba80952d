package upstream

import (
	"context"
	"slices"
	"time"

	"sorrelrudder/policy"
)

const (
	// idleLimitFraction is the fraction of the endpoints' idle limit after which an idle connection is closed. Endpoints close a
	// connection at their limit, and a request sent at that moment would be lost to a reset.
	idleLimitFraction = 0.6
	// minIdleBeforeReuse is how long a connection must be idle before it is reused. An endpoint may send a response a second time some
	// milliseconds after the first. If a request were sent before that copy has arrived, the copy would be taken for its response.
	minIdleBeforeReuse = 20 * time.Millisecond
	// minSweepInterval is the shortest interval between two sweeps for expired idle connections.
	minSweepInterval = 10 * time.Millisecond
)

// idleTimeoutFor returns how long an idle connection is kept. If open connections have a cost, an open connection costs
// ConnectionCost/100 of an endpoint's quota, and a handshake costs HandshakeCost of a request's quota. Both cost the same after
// 100 x HandshakeCost/ConnectionCost requests of an endpoint. Each request is assumed to take no longer than the shortest latency
// objective.
func idleTimeoutFor(cfg policy.Config) time.Duration {
	timeout := time.Duration(float64(cfg.ConnIdle) * idleLimitFraction)
	if cfg.ConnectionCost <= 0 {
		return timeout
	}
	for _, class := range cfg.Classes {
		breakEven := time.Duration(100 * cfg.HandshakeCost / cfg.ConnectionCost * float64(class.LatencyObjective))
		timeout = min(timeout, breakEven)
	}
	return timeout
}

// takeIdle returns an idle connection to p for the purpose, or nil if there is none. It discards connections that the endpoint has closed
// or on which it has sent unsolicited data: a request on the former would end with a reset, and on the latter the client would get a
// response that is not its own.
func (u *ConnPool) takeIdle(p *Peer, purpose Purpose) *Conn {
	for {
		c := u.popIdle(p, purpose)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < u.idleTimeout && c.nothingToRead() {
			return c
		}
		c.Discard()
	}
}

// popIdle removes and returns the most recently used idle connection to p that has been idle for minIdleBeforeReuse. If there is none, it
// removes and returns the most recently used one that the purpose allows to reuse earlier, or returns nil.
func (u *ConnPool) popIdle(p *Peer, purpose Purpose) *Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	i := lastIndexFunc(p.idle, func(c *Conn) bool { return time.Since(c.idleSince) >= minIdleBeforeReuse })
	if i < 0 && purpose == ForDistinctRequest {
		i = lastIndexFunc(p.idle, func(c *Conn) bool { return c.lastLoadReport != nil })
	}
	if i < 0 {
		return nil
	}
	c := p.idle[i]
	u.setIdle(p, slices.Delete(p.idle, i, i+1))
	return c
}

// lastIndexFunc returns the index of the last connection that satisfies f, or -1 if none does.
func lastIndexFunc(conns []*Conn, f func(*Conn) bool) int {
	for i, c := range slices.Backward(conns) {
		if f(c) {
			return i
		}
	}
	return -1
}

// setIdle replaces the idle connections of p. The caller holds mu.
func (u *ConnPool) setIdle(p *Peer, idle []*Conn) {
	p.idle = idle
	if len(idle) > 0 {
		u.peersWithIdle[p] = struct{}{}
	} else {
		delete(u.peersWithIdle, p)
	}
}

// PutIdle keeps c for reuse. It closes c if connections are not kept for long enough to be reused, if descriptors are scarce, if the peer
// is retired, or if data follows the response. Data that arrives later is detected by takeIdle.
func (u *ConnPool) PutIdle(c *Conn) { u.putIdle(c, nil) }

// PutIdleAfterHealthCheck is PutIdle for a connection on which a health check was answered with the given load report. A late second copy
// of that response can be told from the response to a distinct request, so the connection may be reused for one at once.
func (u *ConnPool) PutIdleAfterHealthCheck(c *Conn, loadReport []byte) { u.putIdle(c, loadReport) }

func (u *ConnPool) putIdle(c *Conn, loadReport []byte) {
	c.lastLoadReport = loadReport
	if u.idleTimeout <= minIdleBeforeReuse || u.descriptors.Scarce() || c.reader.Buffered() > 0 {
		c.Discard()
		return
	}
	c.idleSince = time.Now()
	if !u.pushIdle(c) {
		c.Discard()
	}
}

// pushIdle adds c to the idle connections of its peer as the most recently used. It returns false if the peer is retired.
func (u *ConnPool) pushIdle(c *Conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.peer.retired {
		return false
	}
	u.setIdle(c.peer, append(c.peer.idle, c))
	return true
}

// CloseIdle closes the idle connections to p.
func (u *ConnPool) CloseIdle(p *Peer) {
	u.mu.Lock()
	idle := p.idle
	u.setIdle(p, nil)
	u.mu.Unlock()
	discardAll(idle)
}

// Retire closes the idle connections to p. From then on no connection to p is kept.
func (u *ConnPool) Retire(p *Peer) {
	u.mu.Lock()
	p.retired = true
	u.mu.Unlock()
	u.CloseIdle(p)
}

// EvictIdle closes one idle connection of an arbitrary peer to release its descriptor. It returns false if there is none.
func (u *ConnPool) EvictIdle() bool {
	c := u.popAnyIdle()
	if c == nil {
		return false
	}
	c.Discard()
	return true
}

// popAnyIdle removes and returns the least recently used idle connection of an arbitrary peer. It returns nil if there is none.
func (u *ConnPool) popAnyIdle() *Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	for p := range u.peersWithIdle {
		c := p.idle[0]
		u.setIdle(p, p.idle[1:])
		return c
	}
	return nil
}

// SweepIdle periodically closes connections that have been idle for the idle timeout. It returns when ctx is done, or at once if idle
// connections are not kept.
func (u *ConnPool) SweepIdle(ctx context.Context) {
	if u.idleTimeout <= 0 {
		return
	}
	ticker := time.NewTicker(max(u.idleTimeout/4, minSweepInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			u.closeExpired()
		}
	}
}

// closeExpired closes the connections that have been idle for the idle timeout.
func (u *ConnPool) closeExpired() {
	var expired []*Conn
	u.mu.Lock()
	for p := range u.peersWithIdle {
		n := 0
		for n < len(p.idle) && time.Since(p.idle[n].idleSince) >= u.idleTimeout {
			n++
		}
		expired = append(expired, p.idle[:n]...)
		u.setIdle(p, slices.Delete(p.idle, 0, n))
	}
	u.mu.Unlock()
	discardAll(expired)
}

func discardAll(conns []*Conn) {
	for _, c := range conns {
		c.Discard()
	}
}
