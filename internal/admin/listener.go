package admin

import (
	"net"
	"slices"
	"sync"
)

// MaxConnections bounds the number of simultaneously open connections, and so the descriptors that a Server uses in addition to its
// listener. A further connection closes the oldest one. Requests take almost no time, so the oldest connection is one whose client does not
// complete its request.
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
		_ = oldest.Close() // the client has not completed its request
	}
	return c, nil
}

// add adds a connection. It returns the oldest connection if the limit is exceeded, or else nil. The caller closes that connection.
func (l *limitedListener) add(c *limitedConn) (oldest *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections = append(l.connections, c)
	if len(l.connections) > MaxConnections {
		oldest = l.connections[0]
	}
	return oldest
}

// remove removes a connection, if it has not been removed yet.
func (l *limitedListener) remove(c *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.connections, c); i >= 0 {
		l.connections = slices.Delete(l.connections, i, i+1)
	}
}

// Close implements net.Conn. It may be called more than once.
func (c *limitedConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
