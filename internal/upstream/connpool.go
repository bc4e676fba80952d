// Package upstream holds the connections of one pool to its endpoints: which are idle, what is read of a response and for how long, and
// whether a request whose exchange broke off can have been executed. Connections carry one request at a time (HTTP/1.1). It chooses no
// endpoint, and neither retries nor gives up by itself.
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
	// idleLimitFraction is the part of the endpoints' idle limit after which an idle connection is closed: endpoints close it at the
	// limit, and a request that crosses that is lost to a reset.
	idleLimitFraction = 0.6
	// minIdleBeforeReuse is how long a connection should have been idle before it is used again: what an endpoint sends behind its
	// response shows by then. One idle for less is used only if the alternative is to dial.
	minIdleBeforeReuse = 5 * time.Millisecond
	// minSweepInterval is the least time between two looks for connections that have been idle for too long.
	minSweepInterval = 10 * time.Millisecond
	// connBufferBytes is the size of each of a connection's two buffers: most heads and responses fit.
	connBufferBytes = 4 << 10
)

// Descriptors are the file descriptors that the connections of a pool may take.
type Descriptors interface {
	// Acquire waits for a descriptor and returns the function that gives it back.
	Acquire(ctx context.Context) (release func(), err error)
	// Scarce reports whether idle connections should not be kept.
	Scarce() bool
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// ConnPool holds the connections to the peers of a pool. Its methods may be called from any goroutine.
type ConnPool struct {
	descriptors Descriptors
	dialTimeout time.Duration
	idleTimeout time.Duration // how long a connection is kept idle; 0 and below: not at all
	dial        DialFunc
	dialCount   atomic.Int64

	// mu guards peersWithIdle, and retired and idle of each Peer. No connection is used or closed under it.
	mu            sync.Mutex
	peersWithIdle map[*Peer]struct{}
}

// New returns the connections of a pool that has the settings given.
func New(cfg policy.Config, descriptors Descriptors) *ConnPool {
	return &ConnPool{
		descriptors: descriptors, dialTimeout: cfg.DialTimeout, idleTimeout: idleTimeoutFor(cfg),
		peersWithIdle: map[*Peer]struct{}{}, dial: dialTCP,
	}
}

// idleTimeoutFor returns how long a connection is kept idle. Where open connections have a cost, one costs ConnectionCost/100 of an
// endpoint's quota and a handshake HandshakeCost of a request's: they balance after 100 x HandshakeCost/ConnectionCost requests of an
// endpoint, each taken to last for no longer than the shortest latency objective.
func idleTimeoutFor(cfg policy.Config) time.Duration {
	timeout := time.Duration(float64(cfg.ConnIdle) * idleLimitFraction)
	if cfg.ConnectionCost <= 0 {
		return timeout
	}
	for _, class := range cfg.Classes {
		balance := time.Duration(100 * cfg.HandshakeCost / cfg.ConnectionCost * float64(class.LatencyObjective))
		timeout = min(timeout, balance)
	}
	return timeout
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1} // idle connections do not live long enough for it
	return d.DialContext(ctx, "tcp", addr)
}

// SetDialer sets what opens connections. It is called before any is opened.
func (u *ConnPool) SetDialer(dial DialFunc) { u.dial = dial }

// DialCount returns how many connections have been opened, or tried.
func (u *ConnPool) DialCount() int64 { return u.dialCount.Load() }

// Connect returns an idle connection to p, or opens one, for an exchange that ends at the deadline. The error is a NoDescriptorError if
// none could be tried, or that of the dial.
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

// open opens a connection to p.
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

// takeIdle returns an idle connection to p, or nil. One on which the endpoint has closed, or has sent something unasked, is of no use:
// what is written to it would end as a reset, or be answered with what was meant for another request.
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

// popIdle removes the youngest idle connection to p that has been idle for minIdleBeforeReuse, or else the oldest, and returns it; nil:
// there is none.
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

// PutIdle keeps c for the next exchange, or closes it if something came behind the response. What comes later shows when it is used
// again.
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

// pushIdle makes c the youngest idle connection to its peer, unless that is retired, and reports whether it has.
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

// Retire closes the idle connections to p and has it keep none any more.
func (u *ConnPool) Retire(p *Peer) {
	u.mu.Lock()
	p.retired = true
	u.mu.Unlock()
	u.CloseIdle(p)
}

// EvictIdle closes an idle connection of any peer, and reports whether there was one.
func (u *ConnPool) EvictIdle() bool {
	c := u.popAnyIdle()
	if c == nil {
		return false
	}
	c.Discard()
	return true
}

// popAnyIdle removes the oldest idle connection of any peer and returns it; nil: there is none.
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

// SweepIdle closes connections that have been idle for the idle timeout, until ctx ends.
func (u *ConnPool) SweepIdle(ctx context.Context) {
	if u.idleTimeout <= 0 {
		return
	}
	tick := time.NewTicker(max(u.idleTimeout/4, minSweepInterval))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
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
