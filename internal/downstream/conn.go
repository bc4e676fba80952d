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
	net.Conn          // of TLS once the handshake is over; written by its goroutine under Server.mu
	listener          *serverListener
	releaseDescriptor func()
	reader            *requestReader
	lastRead          atomic.Int64 // when something was read last, in nanoseconds since processStart

	// The connection's goroutine alone uses these.
	watchTimer  *time.Timer // of awaitResponse
	peerName    string      // by Options.PeerName
	endsInOrder bool        // it has had its last response complete
	http10      bool        // its last request was of HTTP/1.0, which has no chunked encoding
	headRequest bool        // its last request was HEAD, whose response has no body

	// Server.mu guards these. The connection's goroutine alone writes pool and counted, and so may read them without.
	pool           PoolID         // of its last request
	counted        bool           // in the quota of pool; if not, it closes with its next response
	list           *connList      // nil while a request is open
	element        *lists.Element // of list
	listedSince    time.Time      // in list
	responses      int            // written
	idleLimit      keepalive.Wait // by the idle policy
	idleOutcomeDue bool           // the idle policy is to be told how idleLimit ended
	evicting       bool           // counted in Server.multiplexedEvictions
	drainSignal    chan struct{}  // of a multiplexed connection; closed, and nil, once it is to take no further requests
	closeDelimited bool           // a response is on its way whose end is that of the connection (RFC 9112, section 6.3)
}

func newClientConn(conn net.Conn, listener *serverListener, release func()) *clientConn {
	c := &clientConn{Conn: conn, listener: listener, releaseDescriptor: release}
	c.reader = newRequestReader(readRecorder{c})
	return c
}

// processStart is the origin of clientConn.lastRead.
var processStart = time.Now()

// readRecorder reads from a connection, and records when something came.
type readRecorder struct{ conn *clientConn }

// Read implements io.Reader.
func (r readRecorder) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if n > 0 {
		r.conn.lastRead.Store(int64(time.Since(processStart)))
	}
	return n, err
}

// sinceLastRead returns for how long nothing has come.
func (c *clientConn) sinceLastRead() time.Duration {
	return time.Since(processStart) - time.Duration(c.lastRead.Load())
}

// clientGone reports whether the client has closed the connection. It may be called from any goroutine.
func (c *clientConn) clientGone() bool {
	return c.reader.clientClosed.Load() || process.PeerClosed(c.Conn)
}

// nothingPending reports whether nothing that has come, neither bytes nor the end, is still to be read.
func (c *clientConn) nothingPending() bool {
	return c.reader.buffered.Buffered() == 0 && process.NothingToRead(c.Conn)
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.releaseDescriptor()
	return err
}

// reset closes the socket with a reset, where a client would take an ordinary end for that of its response.
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

// serveConn answers the requests of a connection one after the other, and closes it.
func (s *Server) serveConn(c *clientConn) {
	defer s.closeConn(c)
	if done := s.handshake(c); done || c.listener.H2C && s.serveH2C(c) {
		return
	}
	var backoff readBackoff
	for s.awaitRequest(c) {
		r, err := c.reader.readRequest()
		if err != nil {
			s.rejectUnreadable(c, err)
			return
		}
		c.http10, c.headRequest = r.http10, r.Method == http.MethodHead
		r.RemoteAddr, r.Secure, r.ClientGone = c.RemoteAddr(), c.listener.TLS != nil, c.clientGone
		outcome := s.handleRequest(c, r)
		if !outcome.keepOpen {
			return
		}
		malformedDelay := backoff.record(outcome)
		if delay := max(malformedDelay, s.handler.ReadDelay(c.pool, backoff.rejected)); delay > 0 {
			time.Sleep(delay)
		}
		if !s.markIdle(c) {
			return
		}
	}
}

// readBackoff counts the last requests of a connection that were not admitted.
type readBackoff struct {
	malformed int // in a row
	rejected  int // in a row, and not malformed
}

// record counts a request, and returns how long the connection is not read if it was malformed.
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
	if c.endsInOrder {
		s.linger(c)
	}
	_ = c.Close() // nothing is lost: what it was to send has been written
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeFromList(c)
	if c.evicting {
		s.multiplexedEvictions--
	}
	s.endIdle(c, 0, false) // if it never came to wait
	s.idlePolicy.Unassign(c.pool)
	s.idlePolicy.Closed()
	if c.counted {
		s.handler.ReleaseConnection(c.pool)
	}
	delete(s.conns, c)
	s.goroutines.Done()
}

// linger ends the sending side of a connection, and for a moment reads and discards what still comes: a close with bytes
// unread would reset the connection, and the client might lose its response. Meanwhile it is the first to be evicted.
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
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // until the client closes, the deadline, or dismiss
}
