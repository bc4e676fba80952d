package downstream

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sorrelrudder/internal/httpmsg"
)

// writeResponse writes a response, and reports whether another request may follow on c. With last it may not.
func (s *Server) writeResponse(c *clientConn, resp httpmsg.Response, last bool) (keepOpen bool) {
	last = s.decideLast(c, last)
	f := frameResponse(c, &resp)
	last = last || f.closeDelimited
	head := encodeResponse(&resp, f, last)
	c.SetDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(head)
	if resp.Remainder != nil {
		if err == nil {
			err = s.writeRemainder(c, resp.Remainder, f)
		}
		resp.Remainder.Close(err == nil)
		if err != nil && f.length < 0 {
			c.reset() // the client must not take the end of the connection for that of the response
		}
	}
	c.endsInOrder = err == nil && last
	return err == nil && !last
}

// decideLast counts a response on c, and reports whether it is the last: because last says so, the connection is to close,
// or the idle policy does not let it wait for another request, unless one has come already.
func (s *Server) decideLast(c *clientConn, last bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.responses++
	if last || s.closesAfterResponse(c) {
		return true
	}
	return !s.beginIdle(c) && c.nothingPending()
}

// responseFraming is how the end of a response is told to the client (RFC 9112, section 6.3).
type responseFraming struct {
	length         int64 // of the body, in bytes; -1: not known
	hasBody        bool
	tellsLength    bool // by Content-Length
	chunked        bool
	closeDelimited bool // by the end of the connection
}

// frameResponse decides how the end of a response to the last request of c is told.
func frameResponse(c *clientConn, resp *httpmsg.Response) responseFraming {
	f := responseFraming{
		length:  responseLength(resp, c.headRequest),
		hasBody: !c.headRequest && !bodiless(resp.Status),
	}
	f.tellsLength = f.length >= 0 && (f.hasBody || c.headRequest)
	if f.hasBody && f.length < 0 {
		f.chunked, f.closeDelimited = !c.http10, c.http10
	}
	return f
}

// responseLength is the length of a response's body in bytes, or, in the response to HEAD, that which it would have; -1: it
// is not known.
func responseLength(resp *httpmsg.Response, headRequest bool) int64 {
	switch {
	case resp.Remainder != nil:
		return resp.Remainder.Length()
	case headRequest && len(resp.Body) == 0:
		return resp.Length
	}
	return int64(len(resp.Body))
}

// bodiless reports whether responses of a status have no body.
func bodiless(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

// retryAfterSeconds is the value of a Retry-After field.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}

// encodeResponse returns the header of a response and resp.Body.
func encodeResponse(resp *httpmsg.Response, f responseFraming, last bool) []byte {
	var b bytes.Buffer
	b.Grow(256 + len(resp.Body))
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(resp.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(resp.Status))
	b.WriteString("\r\n")
	if resp.Header != nil {
		_ = resp.Header.Write(&b) // a buffer takes all
	}
	if resp.RetryAfter > 0 {
		writeField(&b, "Retry-After", retryAfterSeconds(resp.RetryAfter))
	}
	if last {
		writeField(&b, "Connection", "close")
	}
	switch {
	case f.chunked:
		writeField(&b, "Transfer-Encoding", "chunked")
	case f.tellsLength:
		writeField(&b, "Content-Length", strconv.FormatInt(f.length, 10))
	}
	b.WriteString("\r\n")
	switch {
	case f.chunked && len(resp.Body) > 0:
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(resp.Body), resp.Body)
	case f.hasBody:
		b.Write(resp.Body)
	}
	return b.Bytes()
}

func writeField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// writeRemainder writes the remainder of a response's body as it comes.
func (s *Server) writeRemainder(c *clientConn, remainder httpmsg.ResponseStream, f responseFraming) error {
	s.setCloseDelimited(c, f.length < 0 && !f.chunked)
	defer s.setCloseDelimited(c, false)
	err := copyRemainder(remainder, func(p []byte) error {
		c.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
		return c.writePart(p, f.chunked)
	})
	if err == nil && f.chunked {
		_, err = io.WriteString(c.Conn, "0\r\n\r\n")
	}
	return err
}

// writePart writes a part of a body.
func (c *clientConn) writePart(p []byte, chunked bool) error {
	if !chunked {
		_, err := c.Write(p)
		return err
	}
	chunk := net.Buffers{[]byte(strconv.FormatInt(int64(len(p)), 16) + "\r\n"), p, []byte("\r\n")}
	_, err := chunk.WriteTo(c.Conn)
	return err
}

// setCloseDelimited notes whether an end of c would pass for that of its response: closeAll then resets it.
func (s *Server) setCloseDelimited(c *clientConn, is bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.closeDelimited = is
}

// copyBuffers are of copyBufferBytes.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// copyRemainder passes what comes of a body to write until its end, which is no error.
func copyRemainder(from httpmsg.BodyStream, write func(p []byte) error) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := from.Read(buffer[:])
		if n > 0 {
			if werr := write(buffer[:n]); werr != nil {
				return werr
			}
		}
		switch {
		case isEOF(err):
			return nil
		case err != nil:
			return err
		}
	}
}

// isEOF reports whether err is the end of a complete body. An io.EOF that is wrapped is that of something else.
func isEOF(err error) bool {
	return err == io.EOF //nolint:errorlint // see above
}
