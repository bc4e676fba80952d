package downstream

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"

	"sorrelrudder/internal/process"
)

// watchForClose watches whether the client closes the connection while its request is open. It reads input of the client ahead into the
// buffer; once the buffer is full, it polls the socket. The returned channel is closed when the client has closed the connection, when the
// connection's read deadline passes, or, if the socket is polled, once stop is closed. clientClosed then tells whether the client has
// closed the connection.
func (r *requestReader) watchForClose(c net.Conn, stop <-chan struct{}) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var err error
		for err == nil {
			_, err = r.buffered.Peek(r.buffered.Buffered() + 1)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			r.clientClosed.Store(pollForClose(c, stop))
		case !errors.Is(err, os.ErrDeadlineExceeded):
			r.clientClosed.Store(true)
		}
	}()
	return ended
}

// pollForClose polls c until the peer has closed it or stop is closed, and reports whether the peer has closed it.
func pollForClose(c net.Conn, stop <-chan struct{}) (closed bool) {
	tick := time.NewTicker(closePollInterval)
	defer tick.Stop()
	for {
		if process.PeerClosed(c) {
			return true
		}
		select {
		case <-stop:
			return false
		case <-tick.C:
		}
	}
}
