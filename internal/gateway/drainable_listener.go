package gateway

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// acceptWindow is how long a draining listener accepts every connection that comes.
	acceptWindow = 500 * time.Millisecond
	// backlogIdleTimeout is how long after that no connection must come for the backlog to count as empty.
	backlogIdleTimeout = 50 * time.Millisecond
)

// drainableListener is a listener that goes on accepting after drain, until no connection waits in the kernel's backlog:
// closing it at once would reset those.
type drainableListener struct {
	*net.TCPListener
	inherited bool // other processes accept at the socket too, so that its backlog is for them

	mu    sync.Mutex // guards until
	until time.Time  // zero: not draining
}

// drain makes Accept return net.ErrClosed once the backlog is empty after until, or at once if the socket is inherited.
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
		return nil, net.ErrClosed // after a timeout the server would try again
	}
	return c, err
}

// setDeadline bounds Accept. It fails only on a closed listener, on which Accept fails too.
func (l *drainableListener) setDeadline(t time.Time) { _ = l.SetDeadline(t) }
