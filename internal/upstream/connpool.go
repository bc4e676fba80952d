// Package upstream manages the connections of one pool to its endpoints. It keeps idle connections for reuse, bounds the size and the
// duration of responses, and distinguishes failures after which a request may have been executed from those before. Connections carry one
// request at a time (HTTP/1.1). The caller chooses the endpoints, and decides about retries and cancellation.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sorrelrudder/internal/process"
	"sorrelrudder/policy"
)

// connBufferBytes is the size of a connection's read buffer and of its write buffer. Most heads and responses fit.
const connBufferBytes = 4 << 10

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

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1} // idle connections are closed before a keep-alive probe would be sent
	return d.DialContext(ctx, "tcp", addr)
}

// SetDialer replaces the function that opens connections. It must be called before the first connection is opened.
func (u *ConnPool) SetDialer(dial DialFunc) { u.dial = dial }

// DialCount returns the number of dials so far, including failed ones.
func (u *ConnPool) DialCount() int64 { return u.dialCount.Load() }

// Purpose is what a connection is used for next.
type Purpose int

const (
	// ForHealthCheck is a health check.
	ForHealthCheck Purpose = iota
	// ForRequest is a client's request.
	ForRequest
	// ForDistinctRequest is a client's request whose response can be told from a load report by its body.
	ForDistinctRequest
)

// Connect returns an idle connection to p, or opens one, for an exchange that must end by the deadline. The error is a NoDescriptorError
// if this process lacked a resource to open a connection, and otherwise the error of the dial.
func (u *ConnPool) Connect(ctx context.Context, p *Peer, purpose Purpose, deadline time.Time) (*Conn, error) {
	c := u.takeIdle(p, purpose)
	if c == nil && purpose != ForHealthCheck {
		c = u.awaitReusable(ctx, p)
	}
	if c == nil {
		var err error
		c, err = u.open(ctx, p, deadline)
		if err != nil {
			return nil, err
		}
	}
	if purpose != ForDistinctRequest {
		c.lastLoadReport = nil
	}
	c.purpose, c.deadline, c.responseBegun = purpose, deadline, false
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
	process.LimitSendBuffer(nc)
	c := &Conn{Conn: nc, peer: p, release: release}
	c.reader, c.writer = bufio.NewReaderSize(c, connBufferBytes), bufio.NewWriterSize(nc, connBufferBytes)
	return c, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
