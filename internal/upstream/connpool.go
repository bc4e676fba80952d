// Package upstream manages the connections of one pool to its endpoints. It keeps idle connections for reuse, bounds the size and the
// duration of responses, and distinguishes failures after which a request may have been executed from those before. Connections carry one
// request at a time (HTTP/1.1). The caller chooses the endpoints, and decides about retries and cancellation.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sorrelrudder/policy"
)

const (
	// idleLimitFraction is the fraction of the endpoints' idle limit after which an idle connection is closed. Endpoints close a
	// connection at their limit, and a request sent at that moment would be lost to a reset.
	idleLimitFraction = 0.6
	// minIdleBeforeReuse is how long a connection should be idle before it is reused. Data that an endpoint sends after its response has
	// arrived by then. A connection that has been idle for less is reused only if the alternative is to dial.
	minIdleBeforeReuse = 5 * time.Millisecond
	// minSweepInterval is the shortest interval between two sweeps for expired idle connections.
	minSweepInterval = 10 * time.Millisecond
	// connBufferBytes is the size of a connection's read buffer and of its write buffer. Most heads and responses fit.
	connBufferBytes = 4 << 10
)

// Descriptors is the budget of file descriptors for the connections of a pool.
type Descriptors interface {
	// Acquire waits until a descriptor is available or ctx is done. It returns the function that releases the descriptor.
	Acquire(ctx context.Context) (release func(), err error)
	// Scarce reports whether descriptors are so scarce that idle connections should not be kept.
	Scarce() bool
}

// DialFunc opens a connection to addr, a host and port.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// ConnPool manages the connections of a pool to its peers. Its methods are safe for concurrent use, except SetDialer.
type ConnPool struct {
	descriptors Descriptors
	dialTimeout time.Duration
	idleTimeout time.Duration // how long an idle connection is kept; 0 or less: not at all
	dial        DialFunc
	dialCount   atomic.Int64

	// mu guards peersWithIdle, and retired and idle of each Peer. No connection is used or closed while it is held.
	mu            sync.Mutex
	peersWithIdle map[*Peer]struct{}
}

// New returns a ConnPool for a pool with the given settings. It has no connections yet.
func New(cfg policy.Config, descriptors Descriptors) *ConnPool {
	return &ConnPool{
		descriptors: descriptors, dialTimeout: cfg.DialTimeout, idleTimeout: idleTimeoutFor(cfg),
		peersWithIdle: map[*Peer]struct{}{}, dial: dialTCP,
	}
}

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

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1} // idle connections are closed before a keep-alive probe would be sent
	return d.DialContext(ctx, "tcp", addr)
}

// SetDialer replaces the function that opens connections. It must be called before the first connection is opened.
func (u *ConnPool) SetDialer(dial DialFunc) { u.dial = dial }

// DialCount returns the number of dials so far, including failed ones.
func (u *ConnPool) DialCount() int64 { return u.dialCount.Load() }

// Connect returns an idle connection to p, or opens one, for an exchange that must end by the deadline. The error is a NoDescriptorError
// if this process lacked a resource to open a connection, and otherwise the error of the dial.
func (u *ConnPool) Connect(ctx context.Context, p *Peer, deadline time.Time) (*Conn, error) {
	c := u.takeIdle(p)
	if c == nil {
		var err error
		c, err = u.open(ctx, p, deadline)
		if err != nil {
			return nil, err
		}
	}
	c.deadline, c.responseBegun = deadline, false
	c.SetDeadline(deadline)
	return c, nil
}

// open opens a connection to p. It returns the errors of Connect.
func (u *ConnPool) open(ctx context.Context, p *Peer, deadline time.Time) (*Conn, error) {
	ctx, cancel := context.WithDeadline(ctx, earlier(deadline, time.Now().Add(u.dialTimeout)))
	defer cancel()
	release, err := u.descriptors.Acquire(ctx)
	if err != nil {
		return nil, NoDescriptorError{Err: err}
	}
	u.dialCount.Add(1)
	nc, err := u.dial(ctx, p.addr)
	if err != nil {
		release()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
			err = NoDescriptorError{Err: err}
		}
		return nil, err
	}
	c := &Conn{Conn: nc, peer: p, release: release}
	c.reader, c.writer = bufio.NewReaderSize(c, connBufferBytes), bufio.NewWriterSize(nc, connBufferBytes)
	return c, nil
}

// takeIdle returns a usable idle connection to p, or nil if there is none. It discards connections that the endpoint has closed or on
// which it has sent unsolicited data: a request on the former would end with a reset, and on the latter the client would get a response
// that is not its own.
func (u *ConnPool) takeIdle(p *Peer) *Conn {
	for {
		c := u.popIdle(p)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < u.idleTimeout && c.nothingToRead() {
			return c
		}
		c.Discard()
	}
}

// popIdle removes and returns the most recently used idle connection to p that has been idle for minIdleBeforeReuse, or else the least
// recently used one. It returns nil if there is none.
func (u *ConnPool) popIdle(p *Peer) *Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	i := n - 1
	for i > 0 && time.Since(p.idle[i].idleSince) < minIdleBeforeReuse {
		i--
	}
	c := p.idle[i]
	u.setIdle(p, slices.Delete(p.idle, i, i+1))
	return c
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

// PutIdle keeps c for reuse. It closes c if connections are not kept, if descriptors are scarce, if the peer is retired, or if data
// follows the response. Data that arrives later is detected by takeIdle.
func (u *ConnPool) PutIdle(c *Conn) {
	if u.idleTimeout <= 0 || u.descriptors.Scarce() || c.reader.Buffered() > 0 {
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

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
