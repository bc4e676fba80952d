package downstream

import (
	lists "container/list"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"sorrelrudder/internal/keepalive"
	"sorrelrudder/internal/process"
)

// clientConn is the connection of a client.
type clientConn struct {
	net.Conn          // a *tls.Conn after a TLS handshake; written by the connection's goroutine under Server.mu
	listener          *serverListener
	releaseDescriptor func()
	reader            *requestReader
	lastRead          atomic.Int64 // time of the last read that returned bytes, in nanoseconds since processStart

	// Only the connection's goroutine uses the fields below.
	watchTimer       *time.Timer // used by awaitResponse
	peerName         string      // result of Options.PeerName
	lastResponseSent bool        // the last response was written completely
	http10           bool        // the last request was HTTP/1.0, which has no chunked encoding
	headRequest      bool        // the last request was HEAD, whose response has no body

	// Server.mu guards the fields below. Only the connection's goroutine writes pool and counted, so it may read them without the lock.
	pool           PoolID         // pool of the last request
	counted        bool           // counted in the quota of pool; if not, the connection closes with its next response
	list           *connList      // nil while a request is open
	element        *lists.Element // element of list
	listedSince    time.Time      // time at which the connection was added to list
	responses      int            // number of responses written
	idleLimit      keepalive.Wait // idle timeout set by the idle policy
	idleOutcomeDue bool           // the outcome of idleLimit has not been reported to the idle policy yet
	evicting       bool           // counted in Server.multiplexedEvictions
	drainSignal    chan struct{}  // of a multiplexed connection; closed and set to nil to stop it from accepting requests
	closeDelimited bool           // a response is being written whose end is the close of the connection (RFC 9112, section 6.3)
}

func newClientConn(conn net.Conn, listener *serverListener, release func()) *clientConn {
	c := &clientConn{Conn: conn, listener: listener, releaseDescriptor: release}
	c.reader = newRequestReader(readRecorder{c})
	return c
}

// processStart is the zero time of clientConn.lastRead.
var processStart = time.Now()

// readRecorder reads from a connection, and records in lastRead when bytes arrived.
type readRecorder struct{ conn *clientConn }

// Read implements io.Reader.
func (r readRecorder) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if n > 0 {
		r.conn.lastRead.Store(int64(time.Since(processStart)))
	}
	return n, err
}

// sinceLastRead returns the time since bytes last arrived.
func (c *clientConn) sinceLastRead() time.Duration {
	return time.Since(processStart) - time.Duration(c.lastRead.Load())
}

// clientGone reports whether the client has closed the connection. It is safe for concurrent use.
func (c *clientConn) clientGone() bool {
	return c.reader.clientClosed.Load() || process.PeerClosed(c.Conn)
}

// clientMayBeGone reports whether the client may have closed the connection behind input that has not been read. It is safe for concurrent use.
func (c *clientConn) clientMayBeGone() bool { return process.InputBacklogged(c.Conn) }

// noPendingInput reports whether there is no unread input: neither bytes nor the end of the stream.
func (c *clientConn) noPendingInput() bool {
	return c.reader.buffered.Buffered() == 0 && process.NothingToRead(c.Conn)
}

// Close implements net.Conn. It also releases the connection's file descriptor to the quota.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.releaseDescriptor()
	return err
}

// reset closes the socket with a TCP reset. It is used where a client would mistake an ordinary close for the end of its response.
func (c *clientConn) reset() {
	conn := c.Conn
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
		_ = tcp.Close()
	}
}

// serveConn serves the requests of a connection one after the other, and closes the connection.
func (s *Server) serveConn(c *clientConn) {
	defer s.closeConn(c)
	if done := s.handshake(c); done || c.listener.H2C && s.serveH2C(c) {
		return
	}
	var backoff readBackoff
	refused := 0 // sound requests that were rejected without an endpoint, in a row
	for s.awaitRequest(c) {
		begin := time.Now()
		r, err := c.reader.readRequest()
		if err != nil {
			s.rejectUnreadable(c, err)
			return
		}
		c.http10, c.headRequest = r.http10, r.Method == http.MethodHead
		r.RemoteAddr, r.Secure, r.ClientGone, r.ClientMayBeGone = c.RemoteAddr(), c.listener.TLS != nil, c.clientGone, c.clientMayBeGone
		outcome := s.handleRequest(c, r)
		if !outcome.keepOpen {
			return
		}
		malformedDelay := backoff.record(outcome)
		delay := max(malformedDelay, s.handler.ReadDelay(c.pool, backoff.rejected))
		if outcome.refused() {
			refused++
		} else {
			refused = 0
		}
		if outcome.local && !s.throttle(c, begin, refused) {
			return
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		if !s.markIdle(c) {
			return
		}
	}
}

// readBackoff counts the consecutive requests of a connection that were not admitted.
type readBackoff struct {
	malformed int // consecutive malformed requests
	rejected  int // requests since the last admitted one that were rejected and not malformed
}

// record counts a request. If the request was malformed, it returns the delay until the connection is read again.
func (b *readBackoff) record(o requestOutcome) time.Duration {
	switch {
	case o.admitted:
		*b = readBackoff{}
		return 0
	case o.status < http.StatusBadRequest, o.status == http.StatusTooManyRequests, o.status >= http.StatusInternalServerError:
		b.malformed = 0
		b.rejected++
		return 0
	}
	delay := min(minMalformedDelay<<min(b.malformed, 10), maxMalformedDelay)
	b.malformed++
	return delay
}

// closeConn closes and removes a connection.
func (s *Server) closeConn(c *clientConn) {
	if c.lastResponseSent {
		s.linger(c)
	}
	_ = c.Close() // all output has been written
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeFromList(c)
	if c.evicting {
		s.multiplexedEvictions--
	}
	s.endIdle(c, 0, false) // for a connection that was never idle
	s.idlePolicy.Unassign(c.pool)
	s.idlePolicy.Closed()
	if c.counted {
		s.handler.ReleaseConnection(c.pool)
	}
	delete(s.conns, c)
	s.goroutines.Done()
}

// linger closes the sending side of a connection, then reads and discards input for at most lingerTimeout. Closing a socket with unread
// bytes would reset the connection, and the client might lose its response. A lingering connection is the first to be evicted.
func (s *Server) linger(c *clientConn) {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	s.mu.Lock()
	s.removeFromList(c)
	c.SetDeadline(time.Now().Add(lingerTimeout))
	s.addToList(c, &s.waiting[lingeringConns])
	s.mu.Unlock()
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // until the client closes, the deadline passes, or requestClose is called
}
