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

// watchConn is the connection of a watch. It bounds the size of messages and the time without data. Each received byte, also of an empty
// line, extends the read deadline. A message that has begun and the first message have a deadline of their own, which further bytes do not
// extend.
type watchConn struct {
	net.Conn
	staleness       staleness.Bound
	readBudget      int       // bytes that the rest of the head or of the current message may have
	messageDeadline time.Time // deadline of the first message, or of a later one that has begun; zero: none
	timedOut        bool
}

// newWatchConn returns the connection of a call that started at the given time.
func newWatchConn(nc net.Conn, bound staleness.Bound, started time.Time) *watchConn {
	c := &watchConn{Conn: nc, staleness: bound, messageDeadline: started.Add(bound.CallTimeout), readBudget: maxHeadBytes}
	c.SetDeadline(c.messageDeadline)
	return c
}

// Read implements net.Conn. It extends the read deadline if bytes arrive.
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

// nextByteDeadline returns the deadline for the next byte.
func (c *watchConn) nextByteDeadline() time.Time {
	deadline := time.Now().Add(c.staleness.WatchTimeout)
	if !c.messageDeadline.IsZero() && c.messageDeadline.Before(deadline) {
		return c.messageDeadline
	}
	return deadline
}

// expectMessage sets the size limit of a message in place of that of the head.
func (c *watchConn) expectMessage() { c.readBudget = maxMessageBytes }

// messageBegun starts the deadline of a message.
func (c *watchConn) messageBegun() {
	if c.messageDeadline.IsZero() {
		c.messageDeadline = time.Now().Add(c.staleness.WatchTimeout)
	}
}

// messageComplete ends the deadline of a message and resets the size limit.
func (c *watchConn) messageComplete() {
	c.expectMessage()
	c.messageDeadline = time.Time{}
	c.SetReadDeadline(time.Now().Add(c.staleness.WatchTimeout))
}

// messageObserver is the body of a watch. It starts the deadline of a message on the connection when the message begins.
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

// beginsMessage reports whether text, which follows a message, contains the start of the next one. It may also be true for text within a
// message.
func beginsMessage(text []byte) bool { return bytes.IndexByte(text, '{') >= 0 }
