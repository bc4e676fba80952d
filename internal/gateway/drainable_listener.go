package gateway

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// acceptWindow is how long a draining listener keeps accepting all connections.
	acceptWindow = 500 * time.Millisecond
	// backlogIdleTimeout applies after acceptWindow: once no connection has arrived for this long, the backlog counts as empty.
	backlogIdleTimeout = 50 * time.Millisecond
)

// drainableListener is a listener that keeps accepting after drain until the kernel's backlog is empty. Closing the socket at once would
// reset the connections in the backlog.
type drainableListener struct {
	*net.TCPListener
	inherited bool // other processes accept from the socket too and take over its backlog

	mu    sync.Mutex // guards until
	until time.Time  // zero: not draining
}

// drain makes Accept return net.ErrClosed once the backlog is empty after the given time, or at once if the socket is inherited.
func (l *drainableListener) drain(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inherited {
		l.setDeadline(time.Unix(1, 0))
		return
	}
	l.until = until
	l.setDeadline(until.Add(backlogIdleTimeout))
}

// Accept implements net.Listener.
func (l *drainableListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	if now := time.Now(); !l.until.IsZero() && now.After(l.until) {
		l.setDeadline(now.Add(backlogIdleTimeout))
	}
	l.mu.Unlock()
	c, err := l.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed // the server would retry Accept after a timeout error
	}
	return c, err
}

// setDeadline sets the deadline of Accept. It fails only if the listener is closed, in which case Accept fails too.
func (l *drainableListener) setDeadline(t time.Time) { _ = l.SetDeadline(t) }
