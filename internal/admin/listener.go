package admin

import (
	"net"
	"slices"
	"sync"
)

// MaxConnections bounds the connections that are open at once, and so the descriptors that a Server takes beside its
// listener. One more closes the oldest: a request takes no time, so that the oldest is one that never completes its own.
const MaxConnections = 6

// limitedListener is a listener with at most MaxConnections open connections.
type limitedListener struct {
	net.Listener

	mu          sync.Mutex     // guards connections
	connections []*limitedConn // oldest first
}

// limitedConn is a connection of a limitedListener.
type limitedConn struct {
	net.Conn
	listener *limitedListener
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &limitedConn{conn, l}
	if oldest := l.add(c); oldest != nil {
		_ = oldest.Close() // its peer has not completed a request
	}
	return c, nil
}

// add adds a connection, and returns the one that has to close for it, or nil.
func (l *limitedListener) add(c *limitedConn) (oldest *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections = append(l.connections, c)
	if len(l.connections) > MaxConnections {
		oldest = l.connections[0]
	}
	return oldest
}

// remove removes a connection, if it is still there.
func (l *limitedListener) remove(c *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.connections, c); i >= 0 {
		l.connections = slices.Delete(l.connections, i, i+1)
	}
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
