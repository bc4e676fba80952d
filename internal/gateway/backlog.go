package gateway

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// acceptWindow is how long new connections may go on coming after SIGTERM, and some more.
	acceptWindow = 500 * time.Millisecond
	// backlogIdleTimeout is how long no connection may come before the backlog counts as empty.
	backlogIdleTimeout = 50 * time.Millisecond
)

// drainableListener is a listener that can be drained: it goes on accepting until a time, and then until no more
// connections wait. Closing it at once would reset those that the kernel has accepted.
type drainableListener struct {
	*net.TCPListener
	inherited bool // others hold the socket too: what waits there is for them
	mu        sync.Mutex
	until     time.Time // zero: not draining
}

// drain starts the draining; Accept fails once the backlog is empty after until, or at once where others accept there.
func (b *drainableListener) drain(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inherited {
		b.SetDeadline(time.Unix(1, 0))
		return
	}
	b.until = until
	b.SetDeadline(until.Add(backlogIdleTimeout))
}

// Accept is the method of net.Listener.
func (b *drainableListener) Accept() (net.Conn, error) {
	b.mu.Lock()
	if now := time.Now(); !b.until.IsZero() && now.After(b.until) {
		b.SetDeadline(now.Add(backlogIdleTimeout))
	}
	b.mu.Unlock()
	c, err := b.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed // a time-out would make the server try again
	}
	return c, err
}
