package discovery

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"sorrelrudder/internal/staleness"
)

// watchConn is the connection of a watch. It bounds messages in bytes, and the wait for what never comes: every byte, of an empty line
// too, moves the time on by which the next must have come, but for a message that has begun, or a first one, which has to be complete
// in its own time.
type watchConn struct {
	net.Conn
	staleness       staleness.Bound
	readBudget      int       // bytes that may still come of the head or the present message
	messageDeadline time.Time // the message has to be complete by then; zero: none has begun
	timedOut        bool
}

// newWatchConn returns the connection of a call that started at the time given.
func newWatchConn(nc net.Conn, bound staleness.Bound, started time.Time) *watchConn {
	c := &watchConn{Conn: nc, staleness: bound, messageDeadline: started.Add(bound.CallTimeout), readBudget: maxHeadBytes}
	c.SetDeadline(c.messageDeadline)
	return c
}

// Read implements net.Conn.
func (c *watchConn) Read(p []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, errMessageTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.readBudget)])
	c.readBudget -= n
	c.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	if n > 0 {
		c.SetReadDeadline(c.nextByteDeadline())
	}
	return n, err
}

// nextByteDeadline returns by when the next byte has to come.
func (c *watchConn) nextByteDeadline() time.Time {
	deadline := time.Now().Add(c.staleness.WatchTimeout)
	if !c.messageDeadline.IsZero() && c.messageDeadline.Before(deadline) {
		return c.messageDeadline
	}
	return deadline
}

// expectMessage notes that messages follow, and no head any more.
func (c *watchConn) expectMessage() { c.readBudget = maxMessageBytes }

// messageBegun notes that a message has begun.
func (c *watchConn) messageBegun() {
	if c.messageDeadline.IsZero() {
		c.messageDeadline = time.Now().Add(c.staleness.WatchTimeout)
	}
}

// messageComplete notes that a message is complete.
func (c *watchConn) messageComplete() {
	c.expectMessage()
	c.messageDeadline = time.Time{}
	c.SetReadDeadline(time.Now().Add(c.staleness.WatchTimeout))
}

// messageObserver is the body of a watch: it notes on the connection when a message begins.
type messageObserver struct {
	io.Reader
	conn *watchConn
}

// Read implements io.Reader.
func (r messageObserver) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if beginsMessage(p[:n]) {
		r.conn.messageBegun()
	}
	return n, err
}

// beginsMessage reports whether a message begins in text, which follows one, or goes on there.
func beginsMessage(text []byte) bool { return bytes.IndexByte(text, '{') >= 0 }
